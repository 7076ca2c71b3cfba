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
ONCE = {"path": "/claim/1", "method": "POST", "body": b"x"}
ROUTES = (fleet.route("rota"), fleet.route("rota", "/claim/", idempotent=False))
# A claim that the node beside the endpoint has accepted when the silence begins.
LONG_S = 0.5
SEEDS = range(4)


class Endpoint:
    """Counts the starts of calls; refuses some."""

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
        call_id, "rota", "r", "POST", "/claim/",[], b"", now, now + for_s, now + for_s,
        2, False, 0.1,
    )  # fmt: skip


@run
async def test_call_that_may_run_once_is_not_lost_on_a_silent_connection() -> None:
    """It used to end with 502 or 504: whether it had run was unknown."""
    async with fleet.running(
        "rota", "archive", routes=ROUTES, behind_proxies=True
    ) as members:
        link = members[0].node_link
        assert link is not None
        client = await fleet.Client.open(members[1])
        assert (await client.call("c0", **ONCE)).status == 200
        link.silence_open()
        started = clock.now()
        assert (await client.call("c1", **ONCE)).status == 200
        assert clock.now() - started < 0.5
        assert arrivals(members, "c1") == 1


@run
async def test_call_in_flight_when_its_connection_goes_silent_is_answered() -> None:
    """Its answer used to be lost."""
    async with fleet.running(
        "rota", "archive", routes=ROUTES, behind_proxies=True
    ) as members:
        link = members[0].node_link
        assert link is not None
        members[0].endpoint.work_s = LONG_S
        client = await fleet.Client.open(members[1])
        client.send("c1", **ONCE)
        await fleet.wait_until(lambda: arrivals(members, "c1") == 1)
        await asyncio.sleep(0.05)
        link.silence_open()
        response = await client.receive()
        assert response is not None
        assert response.status == 200
        assert arrivals(members, "c1") == 1
        # The connection that replaced it is kept, the silent one is not.
        members[0].endpoint.work_s = 0.0
        started = clock.now()
        assert (await client.call("c2", **ONCE)).status == 200
        assert clock.now() - started < peer_attempts.ACCEPT_TIMEOUT_S


@run
async def test_caller_that_leaves_stops_the_work_after_a_silence() -> None:
    """A run that was joined on another connection must end with that one."""
    async with fleet.running(
        "rota", "archive", routes=ROUTES, behind_proxies=True
    ) as members:
        link, endpoint = members[0].node_link, members[0].endpoint
        assert link is not None
        endpoint.work_s = 0.9
        client = await fleet.Client.open(members[1])
        client.send("c1", **ONCE)
        await fleet.wait_until(lambda: endpoint.running == 1)
        link.silence_open()
        await asyncio.sleep(0.6)
        assert endpoint.running == 1
        client.stream.abort()
        await fleet.wait_until(lambda: endpoint.running == 0, 0.2)


@pytest.mark.parametrize("seed", SEEDS)
def test_call_that_may_run_once_starts_once_over_random_losses(seed: int) -> None:
    """Sent again after a silence, it must run once, and not at all if refused."""
    rng = random.Random(f"sending/{seed}")
    host, proxy_host = loopback.next_host(), loopback.next_host()
    link = links.Link(host, proxy_host, PORT, {})
    endpoint = Endpoint(rng)
    client = peers.PeerClient(PORT, connection_monitor.ConnectionMonitor())
    outcomes_by_id: dict[str, calls.Outcome] = {}

    async def start(started_ms: int) -> peers.PeerPort:
        runs = deduplication.Deduplicator(endpoint, started_ms)
        port = peers.PeerPort(runs, catalog.Catalog(2.0))
        await port.start((host, PORT))
        return port

    async def ask(number: int) -> None:
        await asyncio.sleep(rng.uniform(0.0, 3.0))
        name = f"c{number}"
        outcome = await client.call(proxy_host, INSTANCE, _call(name))
        outcomes_by_id[name] = outcome

    async def disturb() -> None:
        port = await start(1)
        for started_ms in range(2, 12):
            await asyncio.sleep(rng.uniform(0.1, 0.5))
            kind = rng.choice(["silence", "silence", "delay", "restart", "reset"])
            link.mode = "delay" if kind == "delay" else ""
            if kind == "silence":
                link.silence_open()
            elif kind == "reset":
                link.reset()
            elif kind == "restart":
                link.silence_open()
                port.close()
                await asyncio.sleep(0.02)
                port = await start(started_ms)
        await asyncio.sleep(1.0)
        port.close()

    async def check() -> None:
        await link.start()
        disturbing = asyncio.ensure_future(disturb())
        await asyncio.sleep(0.02)
        await asyncio.gather(*(ask(number) for number in range(120)))
        await disturbing
        client.close()
        link.close()

    asyncio.run(check())
    assert max(endpoint.starts_by_id.values()) == 1
    for name, outcome in outcomes_by_id.items():
        if outcome.response is not None:
            assert endpoint.starts_by_id[name] == 1
        elif outcome.failure is not None and outcome.failure.not_run:
            assert endpoint.starts_by_id[name] == 0, name
    # Resets and restarts end calls in flight, and a fifth is refused.
    assert sum(each.is_success for each in outcomes_by_id.values()) > 20
    assert client.calls_sent_again > 0


class _Away(connection_monitor.ConnectionMonitor):
    """Connections to a node that does not answer for a while."""

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
async def test_call_that_may_run_once_waits_for_a_node_that_is_back_in_time() -> None:
    """A short freeze of the node must not leave the call unknown."""
    host, proxy_host = loopback.next_host(), loopback.next_host()
    link, runner, away = links.Link(host, proxy_host, PORT, {}), _Slow(), _Away()
    await link.start()
    port = peers.PeerPort(deduplication.Deduplicator(runner, 1), catalog.Catalog(2.0))
    await port.start((host, PORT))
    client = peers.PeerClient(PORT, away)
    assert (await client.call(proxy_host, INSTANCE, _call("c0"))).is_success
    link.silence_open()
    away.timeouts = 4
    assert (await client.call(proxy_host, INSTANCE, _call("c1"))).is_success
    assert runner.starts == 2
    for each in (client, port, link):
        each.close()


@run
async def test_body_that_is_still_on_its_way_is_not_sent_again() -> None:
    """On a slow link, each large body would otherwise be sent three times."""
    host, proxy_host = loopback.next_host(), loopback.next_host()
    link, runner = links.Link(host, proxy_host, PORT, {}), _Slow()
    await link.start()
    port = peers.PeerPort(deduplication.Deduplicator(runner, 1), catalog.Catalog(2.0))
    await port.start((host, PORT))
    client = peers.PeerClient(PORT, connection_monitor.ConnectionMonitor())
    assert (await client.call(proxy_host, INSTANCE, _call("c0"))).is_success
    link.mode = "delay"
    upload = dataclasses.replace(_call("c1", for_s=5.0), body=b"x" * 600_000)
    assert (await client.call(proxy_host, INSTANCE, upload)).is_success
    assert client.calls_sent_again == 0
    for each in (client, port, link):
        each.close()


class _Port:
    """Sends attempts to a node's runs on connections of their own."""

    def __init__(self, runs: deduplication.Deduplicator) -> None:
        self._runs = runs
        self._listener: channel.Listener | None = None
        self._message: mesh.Call | None = None

    async def _serve(self, stream: channel.Channel) -> None:
        assert self._message is not None
        await self._runs.serve(frames.FrameChannel(stream), self._message)

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
        "c1", INSTANCE, "rota", "POST", "/claim/",[], b"", 900, 900, 100, 2, False,
        "rota", attempt, sent, started_ms,
    )  # fmt: skip


class _Slow:
    """Runs each call for a time and answers with a body."""

    def __init__(self, body: bytes = b"", for_s: float = 0.1) -> None:
        self._body = body
        self._for_s = for_s
        self.starts = 0

    async def run(self, call: calls.Call, instance: str) -> calls.Outcome:
        self.starts += 1
        await asyncio.sleep(self._for_s)
        return calls.Outcome(http.Response(200, [], self._body), reached=True)


async def _kinds(connection: frames.FrameChannel) -> list[frames.Kind]:
    """Return the kinds of frames until a reply or the end."""
    kinds: list[frames.Kind] = []
    async with asyncio.timeout(2.0):
        while (frame := await connection.receive()) is not None:
            kinds.append(frame[0])
            if frame[0] is frames.Kind.REPLY:
                break
    return kinds


async def _failure(connection: frames.FrameChannel) -> str:
    async with asyncio.timeout(2.0):
        while (frame := await connection.receive()) is not None:
            if frame[0] is frames.Kind.REPLY:
                return peers.messages.decode_reply(frame[1]).failure
    raise AssertionError("no reply")


ACCEPTED, REPLY = frames.Kind.ACCEPTED, frames.Kind.REPLY


@run
async def test_first_sending_that_arrives_last_starts_nothing() -> None:
    runner = _Slow()
    port = _Port(deduplication.Deduplicator(runner, 7))
    second = await port.send(_message(1))
    first = await port.send(_message(0))
    assert await _kinds(first) == []
    assert await _kinds(second) == [ACCEPTED, REPLY]
    assert runner.starts == 1


@run
async def test_attempt_that_is_sent_again_joins_its_run_or_its_answer() -> None:
    runner = _Slow()
    port = _Port(deduplication.Deduplicator(runner, 7))
    await port.send(_message(0))
    second = await port.send(_message(1))
    assert await _kinds(second) == [ACCEPTED, REPLY]
    third = await port.send(_message(2))
    assert await _kinds(third) == [ACCEPTED, REPLY]
    assert runner.starts == 1


@run
async def test_node_gives_signs_of_life_while_a_call_runs() -> None:
    runner = _Slow(for_s=peer_attempts.HEARTBEAT_INTERVAL_S * 2.5)
    port = _Port(deduplication.Deduplicator(runner, 7))
    assert await _kinds(await port.send(_message(0))) == [ACCEPTED] * 3 + [REPLY]


@run
async def test_restarted_node_makes_no_promise_about_an_attempt_of_before() -> None:
    runner = _Slow()
    port = _Port(deduplication.Deduplicator(runner, started_ms=8))
    failure = await _failure(await port.send(_message(1, started_ms=7)))
    assert failure == errors.Kind.CONNECTION_LOST.value
    assert runner.starts == 0


@run
async def test_node_that_has_forgotten_attempts_makes_no_promise() -> None:
    runner = _Slow(for_s=0.0)
    runs = deduplication.Deduplicator(runner, 7)
    port = _Port(runs)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(deduplication, "MAX_RETAINED_ATTEMPTS", 1)
        for number in range(3):
            await port.send(_message(0, attempt=f"a-{number}"))
    failure = await _failure(await port.send(_message(1, attempt="a-0")))
    assert failure == errors.Kind.CONNECTION_LOST.value
    assert runner.starts == 3


@run
async def test_large_answer_is_not_held_and_its_call_does_not_run_again() -> None:
    runner = _Slow(b"x" * (deduplication.MAX_CACHED_REPLY_BYTES + 1), for_s=0.0)
    port = _Port(deduplication.Deduplicator(runner, 7))
    assert await _kinds(await port.send(_message(0))) == [ACCEPTED, REPLY]
    failure = await _failure(await port.send(_message(1)))
    assert failure == errors.Kind.CONNECTION_LOST.value
    assert runner.starts == 1


@run
async def test_caller_of_an_older_version_gets_its_reply_alone() -> None:
    port = _Port(deduplication.Deduplicator(_Slow(), 7))
    assert await _kinds(await port.send(_message(0, attempt=""))) == [REPLY]
