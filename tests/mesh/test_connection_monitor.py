from __future__ import annotations

import asyncio
import socket

import pytest

from snipelink import clock
from snipelink.mesh import channel, connection_monitor
from tests.mesh import fleet
from tests.mesh.test_node import run

ADDRESS = ("127.0.0.9", 21396)
# Calls that run at the same time, so that each leaves a connection in the pool.
CALL_COUNT = 3


async def _run_concurrent_calls(member: fleet.Member, name: str) -> list[int]:
    """Return the statuses of calls that run at the same time."""
    clients = [await fleet.Client.open(member) for _ in range(CALL_COUNT)]
    responses = await asyncio.gather(
        *(client.call(f"{name}{n}") for n, client in enumerate(clients))
    )
    return [response.status for response in responses]


async def _open_connection(
    monitor: connection_monitor.ConnectionMonitor, role: connection_monitor.Role
) -> channel.Channel:
    listener = await channel.listen(ADDRESS, lambda _: asyncio.sleep(1.0), 1)
    try:
        return await monitor.connect(role, ADDRESS, 1.0)
    finally:
        listener.close()


@pytest.mark.parametrize("role", connection_monitor.Role)
def test_silent_connection_is_counted_by_the_role_of_its_peer(
    role: connection_monitor.Role, caplog: pytest.LogCaptureFixture
) -> None:
    async def check() -> None:
        monitor = connection_monitor.ConnectionMonitor()
        stream = await _open_connection(monitor, role)
        before = clock.now()
        stream.connection_lost(TimeoutError(110, "Connection timed out"))
        assert monitor.silent_count_by_role == dict.fromkeys(
            connection_monitor.Role, 0
        ) | {role: 1}
        assert not monitor.reuse_policy.may_reuse(ADDRESS, before - 1.0)
        assert monitor.reuse_policy.may_reuse(ADDRESS, before)

    asyncio.run(check())
    assert [each.message for each in caplog.records] == ["connection is silent"]


@pytest.mark.parametrize("error", [None, ConnectionResetError(104, "reset by peer")])
def test_reset_and_ordinary_close_do_not_count_as_silence(
    error: Exception | None,
) -> None:
    async def check() -> None:
        monitor = connection_monitor.ConnectionMonitor()
        stream = await _open_connection(monitor, connection_monitor.Role.NODE)
        stream.connection_lost(error)
        assert not any(monitor.silent_count_by_role.values())
        assert monitor.reuse_policy.may_reuse(ADDRESS, clock.now() - 1.0)

    asyncio.run(check())


@pytest.mark.parametrize(
    ("role", "least_ms"),
    [(connection_monitor.Role.NODE, 700), (connection_monitor.Role.ENDPOINT, 1000)],
)
def test_unacknowledged_bytes_end_a_connection_within_a_call_timeout(
    role: connection_monitor.Role, least_ms: int
) -> None:
    """Guards against detecting a dead connection only after callers have given up.

    Unacknowledged bytes ended a connection after 3 s; callers wait for 1 to 2.5 s.
    """

    async def check() -> int:
        stream = await _open_connection(connection_monitor.ConnectionMonitor(), role)
        assert stream._transport is not None
        connection = stream._transport.get_extra_info("socket")
        timeout_ms: int = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        return timeout_ms

    # A packet that is lost twice in a row is acknowledged after 0.6 s. An endpoint may
    # be slow to read an upload, so its limit is longer.
    assert least_ms <= asyncio.run(check()) <= 1000


@run
async def test_calls_avoid_pooled_connections_after_one_falls_silent() -> None:
    """Guards against calls that each detect silence at the cost of their time limit."""
    async with fleet.running("rota", "archive", behind_proxies=True) as members:
        link = members[0].node_link
        assert link is not None
        assert await _run_concurrent_calls(members[1], "warm") == [200] * CALL_COUNT
        link.silence_open_connections()
        client = await fleet.Client.open(members[1])
        started = clock.now()
        statuses = [(await client.call(f"c{n}")).status for n in range(CALL_COUNT)]
        assert statuses == [200] * CALL_COUNT
        # All calls together take less than the time limit of one.
        assert clock.now() - started < 0.9


@run
async def test_silent_endpoint_connections_are_detected_by_polls() -> None:
    """Guards against non-idempotent calls that fail on silent pooled connections.

    Calls failed until the kernel's timeout ended the connections.
    """
    routes = (fleet.route("rota"), fleet.route("rota", "/claim/", idempotent=False))
    async with fleet.running("rota", routes=routes, behind_proxies=True) as members:
        link = members[0].endpoint_link
        assert link is not None
        assert await _run_concurrent_calls(members[0], "warm") == [200] * CALL_COUNT
        link.silence_open_connections()
        silenced = clock.now()
        # Polls are at most 0.5 s apart, so one has failed by then.
        await asyncio.sleep(0.8)
        client = await fleet.Client.open(members[0])
        responses = [
            await client.call(f"c{n}", path="/claim/1") for n in range(CALL_COUNT)
        ]
        assert [response.status for response in responses] == [200] * CALL_COUNT
        assert clock.now() - silenced < 1.2
        role = connection_monitor.Role.ENDPOINT
        assert members[0].node.connection_monitor.silent_count_by_role[role] >= 1


@run
async def test_poll_on_a_silent_connection_is_repeated_on_a_new_one() -> None:
    """Guards against an endpoint that counts as down when pooled connections die."""
    async with fleet.running("rota", behind_proxies=True) as members:
        link = members[0].endpoint_link
        assert link is not None
        for _ in range(2):
            await asyncio.sleep(0.2)
            link.silence_open_connections()
            end_at = clock.now() + 1.2
            while clock.now() < end_at:
                assert members[0].node.accepting_by_instance()[
                    members[0].endpoint.instance
                ]
                await asyncio.sleep(0.01)
