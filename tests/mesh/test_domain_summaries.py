from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Any
from unittest import mock

import pytest

from snipelink import clock
from snipelink.decide import (
    domain_summary,
    placement,
    reporting,
    slowness_period,
    store_position,
    subsetting,
    summary_senders,
)
from snipelink.generated import mesh
from snipelink.mesh import (
    catalog,
    domain_summaries,
    load_reports,
    published_state,
    watcher,
)
from snipelink.observe import metrics
from tests.mesh import fleet

DOMAINS = ("a", "b", "c")
STEP_S = 1.0 / 16.0
FOLLOW_STEP_COUNT = 4
# Time after which all nodes follow each other and all senders have sent.
START_S = 0.6

Delivers = Callable[[str, str], bool]


class NetworkTransport(asyncio.DatagramTransport):
    """Delivers the datagrams of one node to the other nodes of a network."""

    def __init__(self, network: Network, host: str) -> None:
        super().__init__()
        self._network = network
        self._host = host

    def sendto(self, data: Any, addr: Any = None) -> None:
        self._network.send(self._host, addr[0], bytes(data))


class SummaryNode:
    """The parts of a node that exchange loads."""

    def __init__(
        self, network: Network, own: published_state.Instance, started_ms: int
    ) -> None:
        self.own = own
        self.running = 0
        self.started_ms = started_ms
        self.reported: list[watcher.ReportedState] = []
        rng = random.Random(f"{own.host}{started_ms}")
        self.catalog = catalog.Catalog(2.0)
        self.loads = load_reports.LoadTable(slowness_period.PeriodEstimator())
        self.exchange = load_reports.LoadExchange(
            own.host, 7000, self.loads, self._load, lambda *_: None, rng
        )
        self.exchange.connection_made(NetworkTransport(network, own.host))
        template = fleet.make_member(own.service, fleet.FakeStore()).node
        node_settings = dataclasses.replace(
            template._settings,
            host=own.host,
            failure_domain=own.failure_domain,
        )
        self.summaries = domain_summaries.DomainSummaries(
            node_settings,
            started_ms,
            self.catalog,
            self.loads,
            self.exchange,
            lambda state, _: self.reported.append(state),
            metrics.Metrics(),
            rng,
        )
        self.subset = subsetting.EndpointSubset(own.host)

    def apply(self, published: published_state.PublishedState, now: float) -> None:
        self.catalog.apply_snapshot(published, now)
        self.summaries.on_catalog_change(now)
        self.subset.set_endpoints(
            published.instances, self.own.failure_domain, self.summaries.services
        )

    def follow(self, now: float) -> None:
        def is_silent(host: str) -> bool:
            return self.exchange.is_silent(host, now)

        followed = self.subset.followed_hosts(is_silent)
        followed |= self.summaries.update_senders(is_silent)
        self.exchange.follow(followed, now)
        self.loads.update_silent_hosts(now)

    def candidate(
        self, instance: published_state.Instance, now: float
    ) -> placement.Candidate | None:
        near = instance.failure_domain == self.own.failure_domain
        return self.loads.candidate(instance, near=near, now=now)

    def has_heard_of(self, position: store_position.Position) -> bool:
        return any(state.position == position for state in self.reported)

    def _load(self, now: float) -> mesh.Load:
        revision = self.catalog.revision
        return mesh.Load(
            self.own.id,
            self.started_ms,
            0,
            self.running,
            0,
            self.own.slots,
            100,
            0,
            True,
            revision,
            1,
            False,
        )


class Network:
    """Nodes in several failure domains, in simulated time."""

    def __init__(self, count: int, other_count: int = 0) -> None:
        self.now = 100.0
        self.delivers: Delivers = lambda sender, receiver: True
        self.instances = [_instance(index, "rota", slots=3) for index in range(count)]
        self.instances += [
            _instance(count + index, "archive", slots=0) for index in range(other_count)
        ]
        self.published = published_state.PublishedState(5, None, tuple(self.instances))
        self.summary_bytes_by_pair: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.largest_datagram = 0
        self._pending: list[tuple[str, str, bytes]] = []
        self.nodes_by_host: dict[str, SummaryNode] = {}
        self.domains_by_host = {i.host: i.failure_domain for i in self.instances}
        for instance in self.instances:
            self.start(instance, started_ms=1000)

    def start(self, instance: published_state.Instance, started_ms: int) -> SummaryNode:
        node = SummaryNode(self, instance, started_ms)
        self.nodes_by_host[instance.host] = node
        node.apply(self.published, self.now)
        return node

    def nodes(self, domain: str) -> list[SummaryNode]:
        return [
            node
            for node in self.nodes_by_host.values()
            if node.own.failure_domain == domain
        ]

    def senders(self, domain: str, other: str) -> list[str]:
        hosts = [i.host for i in self.instances if i.failure_domain == domain]
        ordered = summary_senders.sender_order(domain, other, hosts)
        return ordered[: summary_senders.SENDER_COUNT]

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        if data[:1] == domain_summaries.SUMMARY_KIND:
            pair = (self.domains_by_host[sender], self.domains_by_host[receiver])
            self.summary_bytes_by_pair[pair] += len(data)
            self.largest_datagram = max(self.largest_datagram, len(data))
        if receiver in self.nodes_by_host and self.delivers(sender, receiver):
            self._pending.append((sender, receiver, data))

    def run(self, seconds: float) -> None:
        for step in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for node in list(self.nodes_by_host.values()):
                if step % FOLLOW_STEP_COUNT == 0:
                    node.follow(self.now)
                node.exchange.publish(self.now)
                node.summaries.send_due(self.now)
            self._deliver()

    def _deliver(self) -> None:
        while self._pending:
            sender, receiver, data = self._pending.pop(0)
            self.nodes_by_host[receiver].exchange.datagram_received(data, (sender, 0))

    def bytes_between_domains(self) -> int:
        return sum(
            count
            for (sender, receiver), count in self.summary_bytes_by_pair.items()
            if sender != receiver
        )

    def heard_ratio(self, domain: str, other: str) -> float:
        """Return the share of endpoints of a domain that another one may choose."""
        heard = [
            candidate is not None and not candidate.is_silent
            for node in self.nodes(other)
            for instance in self.instances
            if instance.failure_domain == domain
            for candidate in [node.candidate(instance, self.now)]
        ]
        return sum(heard) / len(heard)


def _instance(index: int, service: str, slots: int) -> published_state.Instance:
    domain = DOMAINS[index % len(DOMAINS)]
    host = f"10.{index % len(DOMAINS)}.{index // 200}.{index % 200}"
    return published_state.Instance(
        f"i-{index}", service, host, domain, False, slots=slots
    )


@pytest.fixture
def start() -> Iterator[Callable[..., Network]]:
    networks: list[Network] = []

    def build(count: int, other_count: int = 0) -> Network:
        networks.append(Network(count, other_count))
        networks[-1].run(START_S)
        return networks[-1]

    def now() -> float:
        return networks[-1].now if networks else 100.0

    with mock.patch.object(clock, "now", now):
        yield build


Start = Callable[..., Network]


def test_loads_of_all_endpoints_are_known_in_other_domains(start: Start) -> None:
    network = start(30)
    network.nodes_by_host["10.1.0.4"].running = 3
    network.run(0.5)
    assert network.heard_ratio("b", "a") == 1.0
    for node in network.nodes("a") + network.nodes("c"):
        candidate = node.candidate(network.instances[4], network.now)
        assert candidate is not None
        assert candidate.running == 3
        assert candidate.age_s <= placement.FRESH_REPORT_S


def test_bytes_between_domains_do_not_depend_on_the_number_of_nodes(
    start: Start,
) -> None:
    byte_counts = []
    for node_count in (30, 100, 300):
        network = start(30, node_count - 30)
        network.summary_bytes_by_pair.clear()
        network.run(1.0)
        byte_counts.append(network.bytes_between_domains())
        entry_bytes = 10 * domain_summary.ENTRY_BYTES
        summary_count = len(DOMAINS) * (len(DOMAINS) - 1) * 5
        least = summary_count * summary_senders.SENDER_COUNT * entry_bytes
        assert 0.75 * least <= byte_counts[-1] <= 2.0 * least
    assert max(byte_counts) < 1.05 * min(byte_counts)


def test_hundred_endpoints_of_a_domain_fit_into_datagrams(start: Start) -> None:
    network = start(300)
    assert network.largest_datagram <= load_reports.MAX_DATAGRAM_BYTES
    assert network.heard_ratio("a", "b") > 0.99


def test_services_with_many_slots_exchange_no_summaries(start: Start) -> None:
    network = start(0, 12)
    assert not network.summary_bytes_by_pair
    assert network.heard_ratio("a", "b") == 1.0


def test_loss_of_a_sender_costs_no_load_and_another_node_replaces_it(
    start: Start,
) -> None:
    network = start(30)
    dead = network.senders("a", "b")[0]
    del network.nodes_by_host[dead]
    for _ in range(8):
        network.run(0.3)
        heard = network.heard_ratio("a", "b")
        assert heard >= 0.9
    # The endpoint of the dead node is silent; the loads of the other nine are known.
    assert heard == 0.9
    sending = [n for n in network.nodes("a") if "b" in n.summaries.receiving_domains]
    assert len(sending) == summary_senders.SENDER_COUNT


def test_resumed_sender_does_not_tell_reports_that_waited_as_recent(
    start: Start,
) -> None:
    """Guards against calls to endpoints that were lost while a sender was paused."""
    network = start(30)
    paused = network.nodes_by_host.pop(network.senders("a", "b")[0])
    lost = next(
        instance
        for instance in network.instances
        if instance.failure_domain == "a"
        and instance.host not in network.senders("a", "b")
    )
    last_report = network.nodes_by_host[lost.host]._load(network.now)
    last_report.sequence = 1_000_000
    del network.nodes_by_host[lost.host]
    network.run(2.0)
    network.nodes_by_host[paused.own.host] = paused
    payload = load_reports.LOAD_KIND + load_reports._encoder.encode(last_report)
    paused.exchange.datagram_received(payload, (lost.host, 0))
    for _ in range(10):
        network.run(0.2)
        for node in network.nodes("b"):
            candidate = node.candidate(lost, network.now)
            assert candidate is None or candidate.is_silent
    assert "b" in paused.summaries.receiving_domains
    sent = paused.summaries.sent_datagrams
    network.run(0.5)
    assert paused.summaries.sent_datagrams > sent


def test_domain_behind_a_cut_link_is_silent_though_a_third_one_reaches_both(
    start: Start,
) -> None:
    network = start(30)
    domains = network.domains_by_host
    network.delivers = lambda sender, receiver: (
        {domains[sender], domains[receiver]} != {"a", "b"}
    )
    network.run(placement.SILENT_NODE_S + 0.3)
    assert network.heard_ratio("a", "b") == network.heard_ratio("b", "a") == 0.0
    assert network.heard_ratio("a", "c") == network.heard_ratio("c", "b") == 1.0
    network.delivers = lambda sender, receiver: True
    network.run(0.5)
    assert network.heard_ratio("a", "b") == 1.0


def test_node_that_is_cut_off_alone_is_silent_in_all_domains(start: Start) -> None:
    network = start(30)
    lost = next(
        instance
        for instance in network.instances
        if instance.host not in network.senders("a", "b") + network.senders("a", "c")
        and instance.failure_domain == "a"
    )
    network.delivers = lambda *hosts: lost.host not in hosts
    network.run(placement.SILENT_NODE_S + reporting.REPEAT_INTERVAL_S + STEP_S)
    for node in network.nodes("b") + network.nodes("c"):
        candidate = node.candidate(lost, network.now)
        assert candidate is not None
        assert candidate.is_silent
    assert network.heard_ratio("a", "b") == 0.9
    alone = network.nodes_by_host[lost.host]
    heard = [alone.candidate(i, network.now) for i in network.instances if i != lost]
    assert all(candidate is None or candidate.is_silent for candidate in heard)


def test_group_that_is_cut_off_and_the_others_know_their_own_loads(
    start: Start,
) -> None:
    network = start(60)
    group = {i.host for i in network.instances if int(i.id[2:]) // 3 % 3 == 0}
    network.delivers = lambda sender, receiver: (sender in group) == (receiver in group)
    network.run(3 * placement.SILENT_NODE_S)
    for node in network.nodes_by_host.values():
        for instance in network.instances:
            if instance.host == node.own.host:
                continue
            candidate = node.candidate(instance, network.now)
            is_heard = candidate is not None and not candidate.is_silent
            assert is_heard == ((instance.host in group) == (node.own.host in group))


def _summary(network: Network, sequence: int, running: int, **changes: Any) -> bytes:
    instance = network.instances[0]
    name = domain_summary.identity_hash(instance.id)
    entry = domain_summary.Entry(name, running, 0, 3, 100, 0)
    values = {
        "domain": "a",
        "host": instance.host,
        "started_ms": 7000,
        "sequence": sequence,
        "part": 0,
        "revision": 5,
        "configuration": 1,
        "entries": domain_summary.encode_parts([entry])[0],
    }
    message = mesh.DomainSummary(**(values | changes))
    payload = domain_summaries._encoder.encode(message)
    return domain_summaries.SUMMARY_KIND + payload


def _running(network: Network, node: SummaryNode) -> int | None:
    candidate = node.candidate(network.instances[0], network.now)
    return candidate.running if candidate else None


def test_reordered_summary_is_ignored_and_not_passed_on(start: Start) -> None:
    network = start(9)
    node, sender = network.nodes("b")[0], network.instances[0].host
    node.exchange.datagram_received(_summary(network, 500, 3), (sender, 0))
    passed_on = network.summary_bytes_by_pair["b", "b"]
    node.exchange.datagram_received(_summary(network, 499, 1), (sender, 0))
    assert _running(network, node) == 3
    assert network.summary_bytes_by_pair["b", "b"] == passed_on


def test_restarted_sender_is_heard_at_once(start: Start) -> None:
    network = start(9)
    node, sender = network.nodes("b")[0], network.instances[0].host
    node.exchange.datagram_received(_summary(network, 500, 3), (sender, 0))
    restarted = _summary(network, 1, 2, started_ms=6000)
    node.exchange.datagram_received(restarted, (sender, 0))
    assert _running(network, node) == 2
    node.exchange.datagram_received(_summary(network, 501, 1), (sender, 0))
    assert _running(network, node) == 2


def test_summary_is_passed_on_once_and_only_inside_the_domain(start: Start) -> None:
    network = start(30)
    network.summary_bytes_by_pair.clear()
    node, sender = network.nodes("b")[0], network.instances[0].host
    data = _summary(network, 500, 3)
    for _ in range(3):
        node.exchange.datagram_received(data, (sender, 0))
    assert dict(network.summary_bytes_by_pair) == {
        ("b", "b"): summary_senders.FANOUT * len(data)
    }


def test_newer_revision_is_reported_to_another_domain_at_once(start: Start) -> None:
    network = start(30)
    newer = dataclasses.replace(network.published, revision=6)
    for node in network.nodes("a"):
        node.apply(newer, network.now)
    network.run(2 * summary_senders.MIN_INTERVAL_S)
    position = newer.position
    informed = [n for n in network.nodes("b") if n.has_heard_of(position)]
    assert 1 <= len(informed) <= summary_senders.SENDER_COUNT
    state = informed[0].summaries.newest_state(network.published.position, network.now)
    assert state is not None
    assert state.position == position
    assert state.host in network.senders("a", "b")


def test_newer_era_is_reported_to_another_domain_at_once(start: Start) -> None:
    network = start(30)
    restored = dataclasses.replace(network.published, revision=1, era=1)
    for node in network.nodes("a"):
        node.apply(restored, network.now)
    network.run(2 * summary_senders.MIN_INTERVAL_S)
    assert any(node.has_heard_of(restored.position) for node in network.nodes("b"))


def test_sender_that_is_behind_does_not_hide_the_revision_of_another(
    start: Start,
) -> None:
    network = start(9)
    node, (first, second) = network.nodes("b")[0], network.senders("a", "b")
    for sender, revision in ((first, 7), (second, 6)):
        data = _summary(network, 900, 0, host=sender, revision=revision)
        node.exchange.datagram_received(data, (sender, 0))
    state = node.summaries.newest_state(network.published.position, network.now)
    assert state is not None
    assert (state.position.revision, state.host) == (7, first)


@pytest.mark.parametrize(("known_revision", "expected"), [(5, 0), (6, 0), (7, 1)])
def test_highest_version_counts_among_senders_that_are_not_ahead(
    start: Start, known_revision: int, expected: int
) -> None:
    """Guards against a version in force that a position hides after a restore."""
    network = start(9)
    node, senders = network.nodes("b")[0], network.senders("a", "b")
    for sender, revision, version in ((senders[0], 7, 5), (senders[1], 6, 8)):
        data = _summary(
            network, 900, 0, host=sender, revision=revision, configuration=version
        )
        node.exchange.datagram_received(data, (sender, 0))
    known = store_position.Position(0, known_revision)
    state = node.summaries.newest_state(known, network.now)
    assert state is not None
    assert state.host == senders[expected]
    later_era = store_position.Position(1, 1)
    assert node.summaries.newest_state(later_era, network.now) is None


def test_crash_reports_reach_some_nodes_of_other_domains(start: Start) -> None:
    network = start(30)
    for node in network.nodes_by_host.values():
        node.exchange.far_peer_hosts = node.summaries.random_far_hosts()
        domains = {network.domains_by_host[h] for h in node.exchange.peer_hosts()}
        assert domains == set(DOMAINS)


@pytest.mark.parametrize("domain", ["b", "unpublished"])
def test_summary_of_the_own_or_an_unknown_domain_is_ignored(
    start: Start, domain: str
) -> None:
    network = start(9)
    node, sender = network.nodes("b")[0], network.instances[0].host
    before = node.summaries.received_summaries
    data = _summary(network, 500, 3, domain=domain)
    node.exchange.datagram_received(data, (sender, 0))
    assert node.summaries.received_summaries == before
    assert _running(network, node) == 0


def test_unreadable_entries_are_counted_and_ignored(start: Start) -> None:
    network = start(9)
    node, sender = network.nodes("b")[0], network.instances[0].host
    data = _summary(network, 500, 3, entries=b"123")
    node.exchange.datagram_received(data, (sender, 0))
    assert node.exchange.unreadable_datagrams == 1
    assert _running(network, node) == 0


@contextlib.asynccontextmanager
async def _running_nodes(
    services_and_domains: list[tuple[str, str]],
) -> AsyncIterator[list[fleet.Member]]:
    """Start one node for each service and domain; all endpoints have few slots."""
    members = [
        fleet.make_member(service, fleet.FakeStore(), domain)
        for service, domain in services_and_domains
    ]
    instances = tuple(
        fleet.published_instance(member, failure_domain=domain, slots=3)
        for member, (_, domain) in zip(members, services_and_domains, strict=True)
    )
    fleet.publish(members, fleet.configuration(fleet.route("rota")), instances)
    for member in members:
        await member.start()
    try:
        await fleet.wait_until(
            lambda: all(
                len(member.node.accepting_by_instance()) == len(members)
                for member in members
            )
        )
        yield members
    finally:
        for member in members:
            await member.end()


def test_calls_reach_endpoints_that_only_summaries_tell() -> None:
    async def scenario() -> None:
        nodes = [("archive", "a"), ("archive", "a"), ("rota", "b"), ("rota", "b")]
        async with _running_nodes(nodes) as members:
            client = await fleet.Client.open(members[0])
            for index in range(10):
                response = await client.call(f"call-{index}")
                assert response.status == 200
            received = [len(member.endpoint.received) for member in members]
            assert received[:2] == [0, 0]
            assert sum(received) == 10

    asyncio.run(scenario())


def test_configuration_crosses_domains_without_the_store() -> None:
    async def scenario() -> None:
        nodes = [("rota", domain) for domain in "aabbcc"]
        async with _running_nodes(nodes) as members:
            for member in members[2:]:
                member.store.is_unavailable = True
            changed = fleet.configuration(fleet.route("rota"), version=2)
            fleet.publish(members[:2], changed)
            position = members[0].store.state.position
            await fleet.wait_until(
                lambda: all(member.node.position == position for member in members)
            )

    asyncio.run(scenario())
