from __future__ import annotations

import asyncio
import itertools
import logging
import random
from typing import Any

import msgspec
import pytest

from snipelink import clock, errors
from snipelink.decide import crashes, slowness_period
from snipelink.generated import mesh
from snipelink.mesh import (
    calls,
    channel,
    connection_monitor,
    load_reports,
    peers,
    poison_requests,
)
from snipelink.observe import metrics
from snipelink.session import http
from tests.mesh import fleet

POISON_PATH = "/view/killer"
# Time until a crashed endpoint listens again; shorter than in production.
RESTART_DELAY_S = 0.4
# Time within which all nodes must refuse a poison request.
DISSEMINATION_LIMIT_S = 1.0


async def crash_on_poison_request(
    endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
) -> None:
    """Crash on the poison request and restart with the same identity.

    Answers all other requests.
    """
    await asyncio.sleep(endpoint.work_s)
    if request.path.endswith("/killer"):
        endpoint.crash(RESTART_DELAY_S, endpoint.instance)
        return
    stream.write(endpoint.response(request))


async def crash_with_new_identity(
    endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
) -> None:
    """Crash on the poison request and restart with a new identity.

    Answers all other requests.
    """
    if request.path.endswith("/killer"):
        endpoint.crash(RESTART_DELAY_S, f"{endpoint.instance}x")
        return
    await fleet.answer_ok(endpoint, request, stream)


async def reset_all_on_poison_request(
    endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
) -> None:
    if request.path.endswith("/killer"):
        endpoint.reset_connections()
        return
    await fleet.answer_ok(endpoint, request, stream)


def poison_request_count(members: list[fleet.Member]) -> int:
    return sum(
        seen.request.path.endswith("/killer")
        for member in members
        for seen in member.endpoint.received
    )


async def ask(member: fleet.Member, call_id: str, **fields: str) -> http.Response:
    client = await fleet.Client.open(member)
    try:
        return await client.call(call_id, **fields)
    finally:
        client.stream.abort()


def is_refused_as_suspect(response: http.Response) -> bool:
    return dict(response.headers).get("snipelink-error") == "crash-suspect"


def republish(members: list[fleet.Member]) -> None:
    fleet.publish(
        members, instances=tuple(fleet.published_instance(m) for m in members)
    )


async def repeat_until_refused(
    members: list[fleet.Member], service: str = "rota"
) -> None:
    """Send the poison request through a service's nodes in turn until it is refused."""
    callers = [m for m in members if m.endpoint.service == service]
    for index in range(40):
        republish(members)
        response = await ask(
            callers[index % len(callers)], f"k{index}", path=POISON_PATH
        )
        if is_refused_as_suspect(response):
            return
        await asyncio.sleep(0.1)
    raise AssertionError(
        f"{poison_request_count(members)} runs of the poison request, still not refused"
    )


@pytest.mark.parametrize("script", [crash_on_poison_request, crash_with_new_identity])
def test_poison_request_reaches_few_endpoints(script: fleet.Script) -> None:
    """Guards against a poison request that callers repeat endlessly on any machine."""

    async def check() -> None:
        async with fleet.running(*["rota"] * 5) as members:
            for member in members:
                member.endpoint.script = script
            await repeat_until_refused(members)
            await asyncio.sleep(DISSEMINATION_LIMIT_S)
            reached_count = poison_request_count(members)
            assert reached_count <= 4
            for index, member in enumerate(members * 2):
                republish(members)
                assert is_refused_as_suspect(
                    await ask(member, f"r{index}", path=POISON_PATH)
                )
            assert poison_request_count(members) == reached_count

    asyncio.run(check())


def test_non_idempotent_poison_request_is_refused_or_reported_as_unknown() -> None:
    """Guards against reporting a request as not run after it crashed an endpoint."""

    async def check() -> None:
        once = fleet.route("rota", "/claim/", idempotent=False)
        async with fleet.running(*["rota"] * 4, routes=(once,)) as members:
            for member in members:
                member.endpoint.script = crash_on_poison_request
            for index in range(10):
                before = poison_request_count(members)
                response = await ask(
                    members[index % 4], f"k{index}", path="/claim/killer", method="POST"
                )
                sent = poison_request_count(members) - before
                assert sent <= 1
                assert response.status == (502 if sent else 503)
                await asyncio.sleep(RESTART_DELAY_S)
            assert is_refused_as_suspect(response)
            assert poison_request_count(members) <= 3

    asyncio.run(check())


def test_calls_that_ran_during_crashes_are_served_afterwards() -> None:
    """Guards against suspecting calls that merely ran on endpoints that crashed."""

    async def check() -> None:
        async with fleet.running(*["rota"] * 4) as members:
            for member in members:
                member.endpoint.script = crash_on_poison_request
                member.endpoint.work_s = 0.1
            concurrent_paths: set[str] = set()
            crashed = False
            for index in range(20):
                paths = ["/view/often", *(f"/view/once-{index}-{i}" for i in range(4))]
                concurrent_paths.update(paths)
                asked = [
                    asyncio.ensure_future(ask(member, f"{index}{path}", path=path))
                    for path, member in zip(paths, itertools.cycle(members))
                ]
                await asyncio.sleep(0.05)
                response = await ask(members[index % 4], f"k{index}", path=POISON_PATH)
                await asyncio.gather(*asked)
                if is_refused_as_suspect(response):
                    crashed = True
                    break
                await asyncio.sleep(RESTART_DELAY_S)
            assert crashed
            await asyncio.sleep(DISSEMINATION_LIMIT_S)
            for index, path in enumerate(sorted(concurrent_paths)):
                response = await ask(members[index % 4], f"a{index}", path=path)
                assert response.status == 200, (path, response)

    asyncio.run(check())


def test_connection_resets_without_a_crash_block_no_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against suspecting requests whose connection is reset without a crash."""

    async def check() -> None:
        async with fleet.running("rota", "rota", "rota") as members:
            for member in members:
                member.endpoint.script = reset_all_on_poison_request
            for index in range(8):
                await ask(members[index % 3], f"k{index}", path=POISON_PATH)
                await asyncio.sleep(0.1)
            assert poison_request_count(members) >= 8
            for member in members:
                member.endpoint.script = fleet.answer_ok
            for index, member in enumerate(members):
                response = await ask(member, f"a{index}", path=POISON_PATH)
                assert response.status == 200

    with caplog.at_level(logging.WARNING):
        asyncio.run(check())
    assert "endpoint has crashed" not in caplog.messages


def test_planned_exit_of_an_endpoint_makes_no_request_suspect(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against suspecting calls that a leaving endpoint cut off."""

    async def check() -> None:
        once = fleet.route("rota", idempotent=False, timeout_s=5.0, target_s=4.0)
        async with fleet.running("rota", "rota", routes=(once,)) as members:
            leaving = members[0]
            leaving.endpoint.work_s = 5.0
            clients = []
            while not leaving.endpoint.running:
                clients.append(await fleet.Client.open(leaving))
                fields = {fleet.NAMES.remaining_ms: "4000"}
                clients[-1].send(f"c{len(clients)}", **fields)
                await asyncio.sleep(0.05)
            left = fleet.published_instance(leaving, leaving=True)
            fleet.publish(
                members, instances=(left, fleet.published_instance(members[1]))
            )
            await fleet.wait_until(lambda: fleet.all_up_to_date(members))
            await fleet.wait_until(
                lambda: (
                    not members[1].node.accepting_by_instance()[
                        leaving.endpoint.instance
                    ]
                )
            )
            assert leaving.endpoint.running
            leaving.endpoint.crash(5.0, leaving.endpoint.instance)
            await asyncio.sleep(0.3)

    with caplog.at_level(logging.WARNING):
        asyncio.run(check())
    assert "endpoint has crashed" not in caplog.messages


def test_crash_is_logged_with_the_calls_that_were_running(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a log that does not show the possible causes of a crash."""

    async def check() -> None:
        async with fleet.running("rota", routes=(fleet.route("rota"),)) as members:
            members[0].endpoint.script = crash_on_poison_request
            await ask(members[0], "k1", path=POISON_PATH)
            await fleet.wait_until(lambda: "endpoint has crashed" in caplog.messages)

    with caplog.at_level(logging.WARNING):
        asyncio.run(check())
    (record,) = [r for r in caplog.records if r.message == "endpoint has crashed"]
    assert [call["id"] for call in vars(record)["fields"]["calls"]] == ["k1"]


@pytest.mark.parametrize("service", ["rota", "archive"])
def test_node_that_starts_later_refuses_known_poison_requests(service: str) -> None:
    """Guards against a poison request that is repeated on a newly started machine."""

    async def check() -> None:
        async with fleet.running("rota", "rota", "rota", "archive") as members:
            for member in members:
                member.endpoint.script = crash_on_poison_request
            await repeat_until_refused(members, service)
            await asyncio.sleep(2 * DISSEMINATION_LIMIT_S)
            reached_count = poison_request_count(members)
            late = fleet.make_member(service, fleet.FakeStore())
            members.append(late)
            late.store.publish(members[0].store.state.configuration)
            late.store.state = members[0].store.state
            republish(members)
            await late.start()
            await fleet.wait_until(
                lambda: len(late.node.accepting_by_instance()) == len(members)
            )
            await asyncio.sleep(DISSEMINATION_LIMIT_S)
            # The nodes of the other endpoints would refuse the request, too. They are
            # closed, so that only the new node can refuse it.
            for member in members[:-1]:
                await member.end()
            assert is_refused_as_suspect(await ask(late, "r1", path=POISON_PATH))
            assert poison_request_count(members) == reached_count

    asyncio.run(check())


def make_call(target: str = POISON_PATH, **changes: Any) -> calls.Call:
    now = clock.now()
    values: dict[str, Any] = {
        "call_id": "c1",
        "service": "rota",
        "operation": "",
        "method": "GET",
        "target": target,
        "headers": [],
        "body": b"",
        "arrived_at": now,
        "target_at": now + 1.0,
        "deadline": now + 1.0,
        "priority": 2,
        "idempotent": True,
        "work_s": 0.01,
        "caller_service": "rota",
    }
    return calls.Call(**(values | changes))


def test_node_refuses_a_poison_request_from_another_node() -> None:
    """Guards against poison requests from nodes that do not know of a crash yet."""

    async def check() -> None:
        async with fleet.running("rota", "rota", "rota") as members:
            for member in members:
                member.endpoint.script = crash_on_poison_request
            await repeat_until_refused(members)
            await asyncio.sleep(DISSEMINATION_LIMIT_S)
            reached_count = poison_request_count(members)
            client = peers.PeerClient(
                fleet.PEER_PORT, connection_monitor.ConnectionMonitor()
            )
            for member in members:
                instance = member.endpoint.instance
                outcome = await client.call(member.host, instance, make_call())
                assert outcome.failure is not None
                assert outcome.failure.kind is errors.Kind.CRASH_SUSPECT
                assert not outcome.reached
            client.close()
            assert poison_request_count(members) == reached_count

    asyncio.run(check())


def test_fingerprint_is_independent_of_the_route_of_a_request() -> None:
    """Guards against unrecognized repeats and against refusing a different request."""
    first = poison_requests.fingerprint(make_call())
    again = make_call(call_id="c2", service="other part", headers=[("x", "1")])
    assert poison_requests.fingerprint(again) == first
    others = [
        make_call("/view/other"),
        make_call(body=b"x"),
        make_call(method="POST"),
        make_call(caller_service="archive"),
    ]
    assert first not in {poison_requests.fingerprint(call) for call in others}


class SimulatedNetwork(asyncio.DatagramTransport):
    """Simulated nodes whose datagrams are queued until `deliver` is called."""

    def __init__(self, count: int, followed: int) -> None:
        super().__init__()
        self.hosts = [f"10.0.0.{index}" for index in range(count)]
        self.sent: list[tuple[str, str, bytes]] = []
        self.nodes: list[poison_requests.PoisonRequestGuard] = []
        self.exchanges: list[load_reports.LoadExchange] = []
        self._followed = followed
        for index in range(count):
            self.add(index)

    def add(self, index: int) -> None:
        """Start a node, replacing the one with the same index."""
        host = self.hosts[index]
        rng = random.Random(index)
        table = load_reports.LoadTable(slowness_period.PeriodEstimator())
        load = mesh.Load(host, 1, 0, 0, 0, 4, 100, 0, True, 1, 1, False)
        exchange = load_reports.LoadExchange(
            host, 7000, table, lambda now: load, lambda *_: None, rng
        )
        exchange.connection_made(_QueueTransport(self, host))
        node = poison_requests.PoisonRequestGuard(
            host, exchange, metrics.Metrics(), rng
        )
        self.nodes[index:] = [node, *self.nodes[index + 1 :]]
        self.exchanges[index:] = [exchange, *self.exchanges[index + 1 :]]
        count = len(self.hosts)
        near = {self.hosts[(index + k) % count]: True for k in range(1, self._followed)}
        exchange.follow(near, clock.now())

    def deliver(self, lost_share: float, rng: random.Random) -> int:
        """Deliver datagrams until none are queued; return how many were sent."""
        count = 0
        while self.sent:
            sent, self.sent = self.sent, []
            for source, host, data in sent:
                count += 1
                if rng.random() >= lost_share and host in self.hosts:
                    exchange = self.exchanges[self.hosts.index(host)]
                    exchange.datagram_received(data, (source, 7000))
        return count

    def run_due_work(self, after_s: float = 0.0) -> None:
        """Run the due work of all nodes as of `after_s` seconds from now."""
        for node in self.nodes:
            node.run_due_work(clock.now() + after_s)

    def crash(self, index: int, *targets: str) -> None:
        node, now = self.nodes[index], clock.now()
        for target in targets:
            node.on_call_lost(make_call(target), now)
        node.on_connection_refused(f"i-{index}", now + crashes.LOSS_SETTLE_S)

    def refusing_count(self, target: str = POISON_PATH) -> int:
        call, now = make_call(target), clock.now()
        return sum(node.check(call, now) is not None for node in self.nodes)


class _QueueTransport(asyncio.DatagramTransport):
    def __init__(self, network: SimulatedNetwork, host: str) -> None:
        super().__init__()
        self._network = network
        self._host = host

    def sendto(self, data: bytes, addr: Any = None) -> None:
        self._network.sent.append((self._host, addr[0], data))


@pytest.mark.parametrize("seed", range(5))
def test_all_nodes_learn_of_a_crash_within_a_second_despite_datagram_loss(
    seed: int,
) -> None:
    """Guards against nodes that miss a crash and against a flood of datagrams."""
    rng = random.Random(seed)
    network = SimulatedNetwork(60, 18)
    network.deliver(0.0, rng)
    for _ in range(poison_requests.STARTUP_QUERY_COUNT):
        network.run_due_work()
        network.deliver(0.0, rng)
    sent = 0
    for index in (0, 30):
        network.crash(index, POISON_PATH, f"/view/once-{index}")
        sent += network.deliver(0.3, rng)
    for index in range(int(DISSEMINATION_LIMIT_S / 0.2)):
        network.run_due_work(0.2 * index)
        sent += network.deliver(0.3, rng)
    assert network.refusing_count() == 60
    assert network.refusing_count("/view/once-0") == 0
    assert sent <= 60 * 2 * poison_requests.GOSSIP_FANOUT * crashes.SEND_COUNT


@pytest.mark.parametrize("seed", range(10))
def test_popular_request_that_runs_during_many_kills_is_not_blocked(seed: int) -> None:
    """Guards against suspecting requests that often run on servers that are killed."""
    rng = random.Random(seed)
    network = SimulatedNetwork(60, 18)
    network.deliver(0.0, rng)
    paths = [f"/view/{index}" for index in range(50)]
    for _ in range(3000):
        rng.choice(network.nodes).on_call_answered(make_call(rng.choice(paths)))
    # The servers are killed one after the other, without time for clean runs in
    # between. The poison request runs on three of them.
    for index in range(30):
        running = rng.sample(paths, 4)
        network.crash(
            index, *running, *([POISON_PATH] if index in (10, 15, 20) else [])
        )
        network.deliver(0.3, rng)
        if index % 5 == 0:
            network.run_due_work(poison_requests.SUSPICION_DELAY_S)
            network.deliver(0.3, rng)
    for index in range(int(DISSEMINATION_LIMIT_S / 0.2)):
        network.run_due_work(0.2 * index)
        network.deliver(0.3, rng)
    refused = {path: network.refusing_count(path) for path in paths}
    assert not any(refused.values()), refused
    assert network.refusing_count() == 60


def test_restarted_node_queries_known_crashes() -> None:
    """Guards against a node that stays unaware of crashes while it was down."""
    rng = random.Random(1)
    network = SimulatedNetwork(20, 18)
    network.deliver(0.0, rng)
    network.crash(0, POISON_PATH)
    network.crash(1, POISON_PATH)
    for _ in range(10):
        network.run_due_work()
        network.deliver(0.0, rng)
    assert network.refusing_count() == 20
    network.add(7)
    network.deliver(0.0, rng)
    assert network.refusing_count() == 19
    network.nodes[7].run_due_work(clock.now())
    network.deliver(0.0, rng)
    assert network.refusing_count() == 20


def test_crash_with_the_maximum_of_calls_fits_one_datagram() -> None:
    """Guards against truncated datagrams and crashes that are split into several."""
    network = SimulatedNetwork(2, 2)
    network.deliver(0.0, random.Random(1))
    node, now = network.nodes[0], clock.now()
    for index in range(2 * crashes.MAX_SUSPECTS_PER_CRASH):
        node.on_call_lost(make_call(f"/view/{index}"), now)
    node.on_connection_refused("i" * 200, now + crashes.LOSS_SETTLE_S)
    for index in range(2 * crashes.MAX_SUSPECTS_PER_CRASH):
        for _ in range(2 * poison_requests.MAX_CLEAN_RUN_COUNT if index > 94 else 0):
            node.on_call_answered(make_call(f"/view/{index}"))
    sent = [
        data for _, _, data in network.sent if data[:1] == poison_requests.CRASH_KIND
    ]
    network.sent.clear()
    node.run_due_work(now)
    sent += [
        data for _, _, data in network.sent if data[:1] == poison_requests.CRASH_KIND
    ]
    assert len(sent) >= 2
    longest = max(map(len, sent))
    # The encoding of every count may be as long as that of the highest one.
    assert (
        longest + 2 * crashes.MAX_SUSPECTS_PER_CRASH <= load_reports.MAX_DATAGRAM_BYTES
    )


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode(["x", 0, [b"12345678"], []]),
        msgspec.msgpack.encode(["x", -5, [b"12345678"], [0]]),
    ],
)
def test_unreadable_crash_datagram_is_counted_and_dropped(body: bytes) -> None:
    network = SimulatedNetwork(2, 2)
    network.exchanges[0].datagram_received(b"C" + body, (network.hosts[1], 7000))
    assert network.exchanges[0].unreadable_datagrams == 1
