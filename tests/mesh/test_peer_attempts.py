from __future__ import annotations

import asyncio
import collections
import dataclasses
import random

import pytest

from bench import loopback
from bench.soak import links
from snipelink import clock, errors
from snipelink.generated import mesh
from snipelink.mesh import (
    calls,
    catalog,
    channel,
    connection_monitor,
    deduplication,
    frames,
    peer_attempts,
    peers,
)
from snipelink.session import http
from tests.mesh import fleet
from tests.mesh.test_node import arrivals, run

PORT = 21397
INSTANCE = "i-1"
NON_IDEMPOTENT = {"path": "/claim/1", "method": "POST", "body": b"x"}
ROUTES = (fleet.route("rota"), fleet.route("rota", "/claim/", idempotent=False))
# Run time of a call that is in flight when its connection goes silent, seconds.
LONG_RUN_S = 0.5
SEEDS = range(4)
# Time for which packets wait at a congested link, in each direction, seconds.
CONGESTED_DELAY_S = 0.25


class RefusingRunner:
    """Refuses a fifth of the calls, and counts the starts of the others."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.starts_by_id: collections.Counter[str] = collections.Counter()

    async def run(self, call: calls.Call, instance: str) -> calls.Outcome:
        if self._rng.random() < 0.2:
            return calls.failed_outcome(errors.Kind.OVERLOADED, "full")
        await asyncio.sleep(self._rng.uniform(0.0, 0.02))
        self.starts_by_id[call.call_id] += 1
        await asyncio.sleep(self._rng.uniform(0.0, 0.4))
        return calls.Outcome(http.Response(200, [], b""), reached=True)


def _call(call_id: str, for_s: float = 1.0) -> calls.Call:
    now = clock.now()
    return calls.Call(
        call_id, "rota", "r", "POST", "/claim/", [], b"", now, now + for_s, now + for_s,
        2, False, 0.1,
    )  # fmt: skip


@run
async def test_non_idempotent_call_is_not_lost_on_a_silent_connection() -> None:
    """Guards against an unknown outcome of a call sent on a silent connection.

    Without a retransmission, it ends with 502 or 504, because it may have run.
    """
    async with fleet.running(
        "rota", "archive", routes=ROUTES, behind_proxies=True
    ) as members:
        link = members[0].node_link
        assert link is not None
        client = await fleet.Client.open(members[1])
        assert (await client.call("c0", **NON_IDEMPOTENT)).status == 200
        link.silence_open_connections()
        started = clock.now()
        assert (await client.call("c1", **NON_IDEMPOTENT)).status == 200
        assert clock.now() - started < 0.5
        assert arrivals(members, "c1") == 1


def test_calls_are_hardly_repeated_over_a_congested_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against repeated calls that keep a congested link congested.

    The acknowledgement of each call took longer than its timeout, and each call was
    sent three times with its body.
    """
    monkeypatch.setattr(links, "ADDED_DELAY_S", CONGESTED_DELAY_S)
    call_count = 10

    async def check() -> int:
        routes = tuple(
            dataclasses.replace(each, timeout_s=3.0, target_s=2.0) for each in ROUTES
        )
        async with fleet.running(
            "rota", "archive", routes=routes, behind_proxies=True
        ) as members:
            link = members[0].node_link
            assert link is not None
            client = await fleet.Client.open(members[1])
            assert (await client.call("c", **NON_IDEMPOTENT)).status == 200
            link.active_fault = "delay"
            for index in range(call_count):
                response = await client.call(f"c{index}", **NON_IDEMPOTENT)
                assert response.status == 200
            return members[1].node._peers.calls_sent_again

    assert asyncio.run(check()) <= call_count // 2


@run
async def test_call_in_flight_when_its_connection_goes_silent_is_answered() -> None:
    """Guards against losing the answer of a call whose connection goes silent."""
    async with fleet.running(
        "rota", "archive", routes=ROUTES, behind_proxies=True
    ) as members:
        link = members[0].node_link
        assert link is not None
        members[0].endpoint.work_s = LONG_RUN_S
        client = await fleet.Client.open(members[1])
        client.send("c1", **NON_IDEMPOTENT)
        await fleet.wait_until(lambda: arrivals(members, "c1") == 1)
        await asyncio.sleep(0.05)
        link.silence_open_connections()
        response = await client.receive()
        assert response is not None
        assert response.status == 200
        assert arrivals(members, "c1") == 1
        # The new connection is reused, the silent one is not.
        members[0].endpoint.work_s = 0.0
        started = clock.now()
        assert (await client.call("c2", **NON_IDEMPOTENT)).status == 200
        assert clock.now() - started < peer_attempts.ACCEPT_TIMEOUT_S


@run
async def test_disconnected_caller_cancels_a_run_joined_by_a_retransmission() -> None:
    """Guards against a run that continues after its caller has disconnected.

    A retransmission has joined the run on a new connection; the run must be cancelled
    when that connection closes.
    """
    async with fleet.running(
        "rota", "archive", routes=ROUTES, behind_proxies=True
    ) as members:
        link, endpoint = members[0].node_link, members[0].endpoint
        assert link is not None
        endpoint.work_s = 0.9
        client = await fleet.Client.open(members[1])
        client.send("c1", **NON_IDEMPOTENT)
        await fleet.wait_until(lambda: endpoint.running == 1)
        link.silence_open_connections()
        await asyncio.sleep(0.6)
        assert endpoint.running == 1
        client.stream.abort()
        await fleet.wait_until(lambda: endpoint.running == 0, 0.2)


@pytest.mark.parametrize("seed", SEEDS)
def test_non_idempotent_call_starts_once_despite_random_faults(seed: int) -> None:
    """Guards against a retransmitted call that runs twice, or runs although refused."""
    rng = random.Random(f"sending/{seed}")
    host, proxy_host = loopback.next_host(), loopback.next_host()
    link = links.Link(host, proxy_host, PORT, {})
    endpoint = RefusingRunner(rng)
    client = peers.PeerClient(PORT, connection_monitor.ConnectionMonitor())
    outcomes_by_id: dict[str, calls.Outcome] = {}

    async def start(started_ms: int) -> peers.PeerPort:
        deduplicator = deduplication.Deduplicator(endpoint, started_ms)
        port = peers.PeerPort(deduplicator, catalog.Catalog(2.0))
        await port.start((host, PORT))
        return port

    async def make_call(number: int) -> None:
        await asyncio.sleep(rng.uniform(0.0, 3.0))
        name = f"c{number}"
        outcome = await client.call(proxy_host, INSTANCE, _call(name))
        outcomes_by_id[name] = outcome

    async def inject_faults() -> None:
        port = await start(1)
        for started_ms in range(2, 12):
            await asyncio.sleep(rng.uniform(0.1, 0.5))
            kind = rng.choice(["silence", "silence", "delay", "restart", "reset"])
            link.active_fault = "delay" if kind == "delay" else ""
            if kind == "silence":
                link.silence_open_connections()
            elif kind == "reset":
                link.reset_connections()
            elif kind == "restart":
                link.silence_open_connections()
                port.close()
                await asyncio.sleep(0.02)
                port = await start(started_ms)
        await asyncio.sleep(1.0)
        port.close()

    async def check() -> None:
        await link.start()
        fault_injection = asyncio.ensure_future(inject_faults())
        await asyncio.sleep(0.02)
        await asyncio.gather(*(make_call(number) for number in range(120)))
        await fault_injection
        client.close()
        link.close()

    asyncio.run(check())
    assert max(endpoint.starts_by_id.values()) == 1
    for name, outcome in outcomes_by_id.items():
        if outcome.response is not None:
            assert endpoint.starts_by_id[name] == 1
        elif outcome.failure is not None and outcome.failure.not_run:
            assert endpoint.starts_by_id[name] == 0, name
    # Resets and restarts fail the calls in flight, and a fifth of the calls is refused.
    assert sum(each.is_success for each in outcomes_by_id.values()) > 20
    assert client.calls_sent_again > 0


class _UnreachableAtFirst(connection_monitor.ConnectionMonitor):
    """Lets the next `timeouts` connection attempts time out."""

    def __init__(self) -> None:
        super().__init__()
        self.timeouts = 0

    async def connect(
        self, role: connection_monitor.Role, address: channel.Address, timeout_s: float
    ) -> channel.Channel:
        if self.timeouts:
            self.timeouts -= 1
            await asyncio.sleep(0.05)
            raise TimeoutError
        return await super().connect(role, address, timeout_s)


@run
async def test_non_idempotent_call_waits_for_a_node_that_recovers_in_time() -> None:
    """Guards against an unknown outcome of a call after a short pause of its node."""
    host, proxy_host = loopback.next_host(), loopback.next_host()
    link, runner, unreachable_at_first = (
        links.Link(host, proxy_host, PORT, {}),
        _SlowRunner(),
        _UnreachableAtFirst(),
    )
    await link.start()
    port = peers.PeerPort(deduplication.Deduplicator(runner, 1), catalog.Catalog(2.0))
    await port.start((host, PORT))
    client = peers.PeerClient(PORT, unreachable_at_first)
    assert (await client.call(proxy_host, INSTANCE, _call("c0"))).is_success
    link.silence_open_connections()
    unreachable_at_first.timeouts = 4
    assert (await client.call(proxy_host, INSTANCE, _call("c1"))).is_success
    assert runner.starts == 2
    for each in (client, port, link):
        each.close()


@run
async def test_body_that_is_still_being_sent_is_not_retransmitted() -> None:
    """Guards against sending each large body three times on a slow link."""
    host, proxy_host = loopback.next_host(), loopback.next_host()
    link, runner = links.Link(host, proxy_host, PORT, {}), _SlowRunner()
    await link.start()
    port = peers.PeerPort(deduplication.Deduplicator(runner, 1), catalog.Catalog(2.0))
    await port.start((host, PORT))
    client = peers.PeerClient(PORT, connection_monitor.ConnectionMonitor())
    assert (await client.call(proxy_host, INSTANCE, _call("c0"))).is_success
    link.active_fault = "delay"
    upload = dataclasses.replace(_call("c1", for_s=5.0), body=b"x" * 600_000)
    assert (await client.call(proxy_host, INSTANCE, upload)).is_success
    assert client.calls_sent_again == 0
    for each in (client, port, link):
        each.close()


class _DeduplicatorPort:
    """Sends each transmission to a deduplicator on a new connection."""

    def __init__(self, deduplicator: deduplication.Deduplicator) -> None:
        self._deduplicator = deduplicator
        self._listener: channel.Listener | None = None
        self._message: mesh.Call | None = None

    async def _serve(self, stream: channel.Channel) -> None:
        assert self._message is not None
        await self._deduplicator.serve(frames.FrameChannel(stream), self._message)

    async def send(self, message: mesh.Call) -> frames.FrameChannel:
        self._message = message
        address = (loopback.next_host(), PORT)
        listener = await channel.listen(address, self._serve, 1)
        stream = await channel.connect(address, 1.0)
        await asyncio.sleep(0.02)
        listener.stop_accepting()
        return frames.FrameChannel(stream)


def _message(sent: int, started_ms: int = 7, attempt: str = "a-1") -> mesh.Call:
    return mesh.Call(
        "c1", INSTANCE, "rota", "POST", "/claim/", [], b"", 900, 900, 100, 2, False,
        "rota", attempt, sent, started_ms,
    )  # fmt: skip


class _SlowRunner:
    """Runs each call for a fixed time and answers with a body."""

    def __init__(self, body: bytes = b"", for_s: float = 0.1) -> None:
        self._body = body
        self._for_s = for_s
        self.starts = 0

    async def run(self, call: calls.Call, instance: str) -> calls.Outcome:
        self.starts += 1
        await asyncio.sleep(self._for_s)
        return calls.Outcome(http.Response(200, [], self._body), reached=True)


async def _receive_kinds(connection: frames.FrameChannel) -> list[frames.Kind]:
    """Return the kinds of the received frames, up to a reply or the end of stream."""
    kinds: list[frames.Kind] = []
    async with asyncio.timeout(2.0):
        while (frame := await connection.receive()) is not None:
            kinds.append(frame[0])
            if frame[0] is frames.Kind.REPLY:
                break
    return kinds


async def _receive_failure(connection: frames.FrameChannel) -> str:
    async with asyncio.timeout(2.0):
        while (frame := await connection.receive()) is not None:
            if frame[0] is frames.Kind.REPLY:
                return peers.messages.decode_reply(frame[1]).failure
    raise AssertionError("no reply")


ACCEPTED, REPLY = frames.Kind.ACCEPTED, frames.Kind.REPLY


@run
async def test_first_transmission_that_arrives_last_starts_nothing() -> None:
    runner = _SlowRunner()
    port = _DeduplicatorPort(deduplication.Deduplicator(runner, 7))
    second = await port.send(_message(1))
    first = await port.send(_message(0))
    assert await _receive_kinds(first) == []
    assert await _receive_kinds(second) == [ACCEPTED, REPLY]
    assert runner.starts == 1


@run
async def test_retransmission_joins_the_run_or_gets_the_cached_reply() -> None:
    runner = _SlowRunner()
    port = _DeduplicatorPort(deduplication.Deduplicator(runner, 7))
    await port.send(_message(0))
    second = await port.send(_message(1))
    assert await _receive_kinds(second) == [ACCEPTED, REPLY]
    third = await port.send(_message(2))
    assert await _receive_kinds(third) == [ACCEPTED, REPLY]
    assert runner.starts == 1


@run
async def test_node_repeats_the_acknowledgement_while_a_call_runs() -> None:
    runner = _SlowRunner(for_s=peer_attempts.HEARTBEAT_INTERVAL_S * 2.5)
    port = _DeduplicatorPort(deduplication.Deduplicator(runner, 7))
    assert await _receive_kinds(await port.send(_message(0))) == [ACCEPTED] * 3 + [
        REPLY
    ]


@run
async def test_restarted_node_reports_an_earlier_attempt_as_unknown() -> None:
    runner = _SlowRunner()
    port = _DeduplicatorPort(deduplication.Deduplicator(runner, started_ms=8))
    failure = await _receive_failure(await port.send(_message(1, started_ms=7)))
    assert failure == errors.Kind.CONNECTION_LOST.value
    assert runner.starts == 0


@run
async def test_node_reports_a_dropped_attempt_as_unknown() -> None:
    runner = _SlowRunner(for_s=0.0)
    deduplicator = deduplication.Deduplicator(runner, 7)
    port = _DeduplicatorPort(deduplicator)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(deduplication, "MAX_RETAINED_ATTEMPTS", 1)
        for number in range(3):
            await port.send(_message(0, attempt=f"a-{number}"))
    failure = await _receive_failure(await port.send(_message(1, attempt="a-0")))
    assert failure == errors.Kind.CONNECTION_LOST.value
    assert runner.starts == 3


@run
async def test_large_answer_is_not_cached_and_its_call_does_not_run_again() -> None:
    runner = _SlowRunner(b"x" * (deduplication.MAX_CACHED_REPLY_BYTES + 1), for_s=0.0)
    port = _DeduplicatorPort(deduplication.Deduplicator(runner, 7))
    assert await _receive_kinds(await port.send(_message(0))) == [ACCEPTED, REPLY]
    failure = await _receive_failure(await port.send(_message(1)))
    assert failure == errors.Kind.CONNECTION_LOST.value
    assert runner.starts == 1


@run
async def test_sender_of_an_older_version_gets_only_the_reply() -> None:
    port = _DeduplicatorPort(deduplication.Deduplicator(_SlowRunner(), 7))
    assert await _receive_kinds(await port.send(_message(0, attempt=""))) == [REPLY]
