from __future__ import annotations

import asyncio
import socket

import pytest

from snipelink import clock
from snipelink.mesh import channel, connection_monitor
from tests.mesh import fleet
from tests.mesh.test_node import run

ADDRESS = ("127.0.0.9", 21396)
# Calls at once, each on a connection of its own, which is kept.
CALLS = 3


async def _ask_together(member: fleet.Member, name: str) -> list[int]:
    """Return the statuses of calls that run at the same time."""
    clients = [await fleet.Client.open(member) for _ in range(CALLS)]
    responses = await asyncio.gather(
        *(client.call(f"{name}{n}") for n, client in enumerate(clients))
    )
    return [response.status for response in responses]


async def _connected(
    noted: connection_monitor.ConnectionMonitor, role: connection_monitor.Role
) -> channel.Channel:
    listener = await channel.listen(ADDRESS, lambda _: asyncio.sleep(1.0), 1)
    try:
        return await noted.connect(role, ADDRESS, 1.0)
    finally:
        listener.close()


@pytest.mark.parametrize("role", connection_monitor.Role)
def test_silent_end_of_a_connection_is_counted_by_the_role_of_its_peer(
    role: connection_monitor.Role, caplog: pytest.LogCaptureFixture
) -> None:
    async def check() -> None:
        noted = connection_monitor.ConnectionMonitor()
        stream = await _connected(noted, role)
        before = clock.now()
        stream.connection_lost(TimeoutError(110, "Connection timed out"))
        assert noted.silent_count_by_role == dict.fromkeys(
            connection_monitor.Role, 0
        ) | {role: 1}
        assert not noted.trust.may_reuse(ADDRESS, before - 1.0)
        assert noted.trust.may_reuse(ADDRESS, before)

    asyncio.run(check())
    assert [each.message for each in caplog.records] == ["connection is silent"]


@pytest.mark.parametrize("error", [None, ConnectionResetError(104, "reset by peer")])
def test_reset_and_ordinary_end_are_not_taken_for_silence(
    error: Exception | None,
) -> None:
    async def check() -> None:
        noted = connection_monitor.ConnectionMonitor()
        stream = await _connected(noted, connection_monitor.Role.NODE)
        stream.connection_lost(error)
        assert not any(noted.silent_count_by_role.values())
        assert noted.trust.may_reuse(ADDRESS, clock.now() - 1.0)

    asyncio.run(check())


@pytest.mark.parametrize(
    ("role", "least_ms"),
    [(connection_monitor.Role.NODE, 700), (connection_monitor.Role.ENDPOINT, 1000)],
)
def test_unacknowledged_bytes_end_a_connection_within_the_time_of_a_call(
    role: connection_monitor.Role, least_ms: int
) -> None:
    """They ended it after 3 s, while callers wait for 1 to 2.5 s."""

    async def check() -> int:
        stream = await _connected(connection_monitor.ConnectionMonitor(), role)
        assert stream._transport is not None
        connection = stream._transport.get_extra_info("socket")
        timeout_ms: int = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        return timeout_ms

    # Packets that are lost twice in a row are acknowledged after 0.6 s; an endpoint
    # may be slow to read an upload.
    assert least_ms <= asyncio.run(check()) <= 1000


@run
async def test_calls_are_not_sent_on_kept_connections_beside_a_silent_one() -> None:
    """Each used to find out by itself, at the cost of its whole time limit."""
    async with fleet.running("rota", "archive", behind_proxies=True) as members:
        link = members[0].node_link
        assert link is not None
        assert await _ask_together(members[1], "warm") == [200] * CALLS
        link.silence_open_connections()
        client = await fleet.Client.open(members[1])
        started = clock.now()
        statuses = [(await client.call(f"c{n}")).status for n in range(CALLS)]
        assert statuses == [200] * CALLS
        # Less than one time limit for all of them.
        assert clock.now() - started < 0.9


@run
async def test_silent_connections_to_the_endpoint_are_found_by_polls() -> None:
    """Calls that may run once used to fail on them until the kernel's time-out."""
    routes = (fleet.route("rota"), fleet.route("rota", "/claim/", idempotent=False))
    async with fleet.running("rota", routes=routes, behind_proxies=True) as members:
        link = members[0].endpoint_link
        assert link is not None
        assert await _ask_together(members[0], "warm") == [200] * CALLS
        link.silence_open_connections()
        silenced = clock.now()
        # A poll that was answered just before is followed by one within 0.5 s.
        await asyncio.sleep(0.8)
        client = await fleet.Client.open(members[0])
        responses = [await client.call(f"c{n}", path="/claim/1") for n in range(CALLS)]
        assert [response.status for response in responses] == [200] * CALLS
        assert clock.now() - silenced < 1.2
        role = connection_monitor.Role.ENDPOINT
        assert members[0].node.connection_monitor.silent_count_by_role[role] >= 1


@run
async def test_poll_on_a_silent_connection_is_repeated_on_a_new_one() -> None:
    """An endpoint whose kept connections fall silent must not count as down."""
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
