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

KILLER = "/view/killer"
# Time after which a crashed endpoint is back, seconds; shorter than in service.
BACK_AFTER_S = 0.4
# Time within which all nodes know of a contained request, seconds.
KNOWN_WITHIN_S = 1.0


async def crash_on_killer(
    endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
) -> None:
    """Crash at the killer, come back as the same process; answer all else."""
    await asyncio.sleep(endpoint.work_s)
    if request.path.endswith("/killer"):
        endpoint.crash(BACK_AFTER_S, endpoint.instance)
        return
    stream.write(endpoint.response(request))


async def crash_and_change(
    endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
) -> None:
    """Crash at the killer, come back as another process; answer all else."""
    if request.path.endswith("/killer"):
        endpoint.crash(BACK_AFTER_S, f"{endpoint.instance}x")
        return
    await fleet.answer_ok(endpoint, request, stream)


async def reset_all_on_killer(
    endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
) -> None:
    if request.path.endswith("/killer"):
        endpoint.reset_connections()
        return
    await fleet.answer_ok(endpoint, request, stream)


def killers_seen(members: list[fleet.Member]) -> int:
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


def is_contained(response: http.Response) -> bool:
    return dict(response.headers).get("snipelink-error") == "crash-suspect"


def republish(members: list[fleet.Member]) -> None:
    fleet.publish(
        members, instances=tuple(fleet.published_instance(m) for m in members)
    )


async def contain(members: list[fleet.Member], service: str = "rota") -> None:
    """Repeat the killer at all nodes of its caller in turn until it is refused."""
    callers = [m for m in members if m.endpoint.service == service]
    for index in range(40):
        republish(members)
        response = await ask(callers[index % len(callers)], f"k{index}", path=KILLER)
        if is_contained(response):
            return
        await asyncio.sleep(0.1)
    raise AssertionError(f"{killers_seen(members)} endpoints ran it, and still do")


@pytest.mark.parametrize("script", [crash_on_killer, crash_and_change])
def test_request_that_crashes_endpoints_reaches_few(script: fleet.Script) -> None:
    """Guards against a request that comes again at any machine, without end."""

    async def check() -> None:
        async with fleet.running(*["rota"] * 5) as members:
            for member in members:
                member.endpoint.script = script
            await contain(members)
            await asyncio.sleep(KNOWN_WITHIN_S)
            reached = killers_seen(members)
            assert reached <= 4
            for index, member in enumerate(members * 2):
                republish(members)
                assert is_contained(await ask(member, f"r{index}", path=KILLER))
            assert killers_seen(members) == reached

    asyncio.run(check())


def test_request_that_may_run_once_is_refused_unsent_or_told_as_unknown() -> None:
    """Guards against `not run` for a request that has just crashed an endpoint."""

    async def check() -> None:
        once = fleet.route("rota", "/claim/", idempotent=False)
        async with fleet.running(*["rota"] * 4, routes=(once,)) as members:
            for member in members:
                member.endpoint.script = crash_on_killer
            for index in range(10):
                before = killers_seen(members)
                response = await ask(
                    members[index % 4], f"k{index}", path="/claim/killer", method="POST"
                )
                sent = killers_seen(members) - before
                assert sent <= 1
                assert response.status == (502 if sent else 503)
                await asyncio.sleep(BACK_AFTER_S)
            assert is_contained(response)
            assert killers_seen(members) <= 3

    asyncio.run(check())


def test_calls_beside_crashes_are_served_afterwards() -> None:
    """Guards against blame for calls that merely ran on endpoints that crashed."""

    async def check() -> None:
        async with fleet.running(*["rota"] * 4) as members:
            for member in members:
                member.endpoint.script = crash_on_killer
                member.endpoint.work_s = 0.1
            beside: set[str] = set()
            crashed = False
            for index in range(20):
                paths = ["/view/often", *(f"/view/once-{index}-{i}" for i in range(4))]
                beside.update(paths)
                asked = [
                    asyncio.ensure_future(ask(member, f"{index}{path}", path=path))
                    for path, member in zip(paths, itertools.cycle(members))
                ]
                await asyncio.sleep(0.05)
                response = await ask(members[index % 4], f"k{index}", path=KILLER)
                await asyncio.gather(*asked)
                if is_contained(response):
                    crashed = True
                    break
                await asyncio.sleep(BACK_AFTER_S)
            assert crashed
            await asyncio.sleep(KNOWN_WITHIN_S)
            for index, path in enumerate(sorted(beside)):
                response = await ask(members[index % 4], f"a{index}", path=path)
                assert response.status == 200, (path, response)

    asyncio.run(check())


def test_resets_without_a_crash_contain_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against blame where connections are reset and the process goes on."""

    async def check() -> None:
        async with fleet.running("rota", "rota", "rota") as members:
            for member in members:
                member.endpoint.script = reset_all_on_killer
            for index in range(8):
                await ask(members[index % 3], f"k{index}", path=KILLER)
                await asyncio.sleep(0.1)
            assert killers_seen(members) >= 8
            for member in members:
                member.endpoint.script = fleet.answer_ok
            for index, member in enumerate(members):
                response = await ask(member, f"a{index}", path=KILLER)
                assert response.status == 200

    with caplog.at_level(logging.WARNING):
        asyncio.run(check())
    assert "endpoint has crashed" not in caplog.messages


def test_planned_end_of_an_endpoint_blames_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against blame for calls that an endpoint broke off as it left."""

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


def test_crash_is_logged_with_the_calls_that_ran(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a crash whose cause cannot be told from the log."""

    async def check() -> None:
        async with fleet.running("rota", routes=(fleet.route("rota"),)) as members:
            members[0].endpoint.script = crash_on_killer
            await ask(members[0], "k1", path=KILLER)
            await fleet.wait_until(lambda: "endpoint has crashed" in caplog.messages)

    with caplog.at_level(logging.WARNING):
        asyncio.run(check())
    (record,) = [r for r in caplog.records if r.message == "endpoint has crashed"]
    assert [call["id"] for call in vars(record)["fields"]["calls"]] == ["k1"]


@pytest.mark.parametrize("service", ["rota", "archive"])
def test_node_that_starts_later_knows_what_is_contained(service: str) -> None:
    """Guards against requests that come again at a machine that was just started."""

    async def check() -> None:
        async with fleet.running("rota", "rota", "rota", "archive") as members:
            for member in members:
                member.endpoint.script = crash_on_killer
            await contain(members, service)
            await asyncio.sleep(2 * KNOWN_WITHIN_S)
            reached = killers_seen(members)
            late = fleet.make_member(service, fleet.FakeStore())
            members.append(late)
            late.store.publish(members[0].store.state.configuration)
            late.store.state = members[0].store.state
            republish(members)
            await late.start()
            await fleet.wait_until(
                lambda: len(late.node.accepting_by_instance()) == len(members)
            )
            await asyncio.sleep(KNOWN_WITHIN_S)
            # The node beside the endpoint refuses too; here only its own word counts.
            for member in members[:-1]:
                await member.end()
            assert is_contained(await ask(late, "r1", path=KILLER))
            assert killers_seen(members) == reached

    asyncio.run(check())


def make_call(target: str = KILLER, **changes: Any) -> calls.Call:
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


def test_node_beside_the_endpoint_refuses_what_another_one_sends() -> None:
    """Guards against nodes that have not heard of a crash yet."""

    async def check() -> None:
        async with fleet.running("rota", "rota", "rota") as members:
            for member in members:
                member.endpoint.script = crash_on_killer
            await contain(members)
            await asyncio.sleep(KNOWN_WITHIN_S)
            reached = killers_seen(members)
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
            assert killers_seen(members) == reached

    asyncio.run(check())


def test_fingerprint_is_that_of_the_request_whatever_its_way() -> None:
    """Guards against a repeat that is not recognised, and blame for another request."""
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


class Net(asyncio.DatagramTransport):
    """Nodes whose datagrams are kept until they are delivered."""

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
        """Start a node, anew if there is one."""
        host = self.hosts[index]
        rng = random.Random(index)
        table = load_reports.LoadTable(slowness_period.PeriodEstimator())
        load = mesh.Load(host, 1, 0, 0, 0, 4, 100, 0, True, 1, 1, False)
        exchange = load_reports.LoadExchange(
            host, 7000, table, lambda now: load, lambda *_: None, rng
        )
        exchange.connection_made(_Wire(self, host))
        node = poison_requests.PoisonRequestGuard(
            host, exchange, metrics.Metrics(), rng
        )
        self.nodes[index:] = [node, *self.nodes[index + 1 :]]
        self.exchanges[index:] = [exchange, *self.exchanges[index + 1 :]]
        count = len(self.hosts)
        near = {self.hosts[(index + k) % count]: True for k in range(1, self._followed)}
        exchange.follow(near, clock.now())

    def deliver(self, lost_share: float, rng: random.Random) -> int:
        """Deliver what was sent until nothing more is; return how many."""
        count = 0
        while self.sent:
            sent, self.sent = self.sent, []
            for source, host, data in sent:
                count += 1
                if rng.random() >= lost_share and host in self.hosts:
                    exchange = self.exchanges[self.hosts.index(host)]
                    exchange.datagram_received(data, (source, 7000))
        return count

    def look(self, after_s: float = 0.0) -> None:
        """Let all nodes look at what is due, some seconds from now."""
        for node in self.nodes:
            node.run_due_work(clock.now() + after_s)

    def crash(self, index: int, *targets: str) -> None:
        node, now = self.nodes[index], clock.now()
        for target in targets:
            node.on_call_lost(make_call(target), now)
        node.on_connection_refused(f"i-{index}", now + crashes.LOSS_SETTLE_S)

    def refusing(self, target: str = KILLER) -> int:
        call, now = make_call(target), clock.now()
        return sum(node.check(call, now) is not None for node in self.nodes)


class _Wire(asyncio.DatagramTransport):
    def __init__(self, net: Net, host: str) -> None:
        super().__init__()
        self._net = net
        self._host = host

    def sendto(self, data: bytes, addr: Any = None) -> None:
        self._net.sent.append((self._host, addr[0], data))


@pytest.mark.parametrize("seed", range(5))
def test_all_nodes_know_within_a_second_though_datagrams_get_lost(seed: int) -> None:
    """Guards against nodes that nobody tells, and against a flood of datagrams."""
    rng = random.Random(seed)
    net = Net(60, 18)
    net.deliver(0.0, rng)
    for _ in range(poison_requests.STARTUP_QUERY_COUNT):
        net.look()
        net.deliver(0.0, rng)
    sent = 0
    for index in (0, 30):
        net.crash(index, KILLER, f"/view/once-{index}")
        sent += net.deliver(0.3, rng)
    for index in range(int(KNOWN_WITHIN_S / 0.2)):
        net.look(0.2 * index)
        sent += net.deliver(0.3, rng)
    assert net.refusing() == 60
    assert net.refusing("/view/once-0") == 0
    assert sent <= 60 * 2 * poison_requests.GOSSIP_FANOUT * crashes.SEND_COUNT


@pytest.mark.parametrize("seed", range(10))
def test_popular_request_beside_many_kills_is_not_contained(seed: int) -> None:
    """Guards against blame for requests that often run on servers that are killed."""
    rng = random.Random(seed)
    net = Net(60, 18)
    net.deliver(0.0, rng)
    paths = [f"/view/{index}" for index in range(50)]
    for _ in range(3000):
        rng.choice(net.nodes).on_call_answered(make_call(rng.choice(paths)))
    # Killed one after the other, without time for clean runs between; the request that
    # crashes endpoints meets three of them meanwhile.
    for index in range(30):
        running = rng.sample(paths, 4)
        net.crash(index, *running, *([KILLER] if index in (10, 15, 20) else []))
        net.deliver(0.3, rng)
        if index % 5 == 0:
            net.look(poison_requests.BLAME_DELAY_S)
            net.deliver(0.3, rng)
    for index in range(int(KNOWN_WITHIN_S / 0.2)):
        net.look(0.2 * index)
        net.deliver(0.3, rng)
    refused = {path: net.refusing(path) for path in paths}
    assert not any(refused.values()), refused
    assert net.refusing() == 60


def test_node_that_starts_anew_asks_what_is_known() -> None:
    """Guards against a node that was down while the others were told."""
    rng = random.Random(1)
    net = Net(20, 18)
    net.deliver(0.0, rng)
    net.crash(0, KILLER)
    net.crash(1, KILLER)
    for _ in range(10):
        net.look()
        net.deliver(0.0, rng)
    assert net.refusing() == 20
    net.add(7)
    net.deliver(0.0, rng)
    assert net.refusing() == 19
    net.nodes[7].run_due_work(clock.now())
    net.deliver(0.0, rng)
    assert net.refusing() == 20


def test_crash_with_the_most_calls_fits_one_datagram() -> None:
    """Guards against datagrams that are cut, or that are judged in parts."""
    net = Net(2, 2)
    net.deliver(0.0, random.Random(1))
    node, now = net.nodes[0], clock.now()
    for index in range(2 * crashes.MAX_SUSPECTS_PER_CRASH):
        node.on_call_lost(make_call(f"/view/{index}"), now)
    node.on_connection_refused("i" * 200, now + crashes.LOSS_SETTLE_S)
    for index in range(2 * crashes.MAX_SUSPECTS_PER_CRASH):
        for _ in range(2 * poison_requests.MAX_CLEAN_RUN_COUNT if index > 94 else 0):
            node.on_call_answered(make_call(f"/view/{index}"))
    sent = [data for _, _, data in net.sent if data[:1] == poison_requests.CRASH_KIND]
    net.sent.clear()
    node.run_due_work(now)
    sent += [data for _, _, data in net.sent if data[:1] == poison_requests.CRASH_KIND]
    assert len(sent) >= 2
    longest = max(map(len, sent))
    # All counts may be as long as the highest one.
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
def test_crash_that_is_not_readable_is_counted_and_dropped(body: bytes) -> None:
    net = Net(2, 2)
    net.exchanges[0].datagram_received(b"C" + body, (net.hosts[1], 7000))
    assert net.exchanges[0].unreadable_datagrams == 1
