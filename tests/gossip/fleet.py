"""Simulated fleet whose nodes gossip over in-memory links with a virtual clock."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random

import result

from snipelink.config import source, store
from snipelink.generated import documents as generated
from snipelink.gossip import budget, codec, exchange
from snipelink.membership import member, table
from snipelink.objects import documents
from tests.config import sets

STEP_S = 0.1
START_UNIX_MS = 1_700_000_000_000
PLATFORM = source.platform("http://127.0.0.1")


@dataclasses.dataclass(slots=True)
class PublishedSet:
    """Endpoint set that the simulated platform serves."""

    manifest: bytes = b""
    documents_by_key: dict[str, bytes] = dataclasses.field(default_factory=dict)
    revision: int = 0
    reachable: bool = True


@dataclasses.dataclass(slots=True)
class Node:
    """Simulated node.

    Attributes
    ----------
    network_bytes_by_time : list of (float, int)
        Time and size of each frame sent or received.
    highest_revision : int
        Highest revision that was in force.
    """

    name: str
    domain: str
    store: store.Store
    table: table.MemberTable
    budget: budget.Budget
    exchange: exchange.Exchange
    paused: bool = False
    inbox: list[tuple[bytes, exchange.Route]] = dataclasses.field(default_factory=list)
    crash_suspects: list[bytes] = dataclasses.field(default_factory=list)
    network_bytes_by_time: list[tuple[float, int]] = dataclasses.field(
        default_factory=list
    )
    highest_revision: int = 0


class Fleet:
    """Simulated fleet; `step` advances the virtual clock.

    Attributes
    ----------
    loss : float
        Probability that a frame is lost.
    sides_by_name : dict of str to int
        Side of the network partition for each node, 0 if absent; frames between
        different sides are lost.
    """

    def __init__(self, count: int, seed: int, domains: int = 3) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.published = PublishedSet()
        self.loss = 0.0
        self.longest_delay_s = 0.05
        self.sides_by_name: dict[str, int] = {}
        self.nodes_by_name: dict[str, Node] = {}
        self._queue: list[tuple[float, int, str, str, bytes]] = []
        self._sequence = itertools.count()
        for index in range(count):
            self.start(f"n{index}", f"d{index % domains}")

    def start(self, name: str, domain: str) -> Node:
        """Start or restart a node without any state from earlier starts."""
        unix_ms = START_UNIX_MS + int(self.now * 1000)
        own = member.Member(
            name,
            member.new_incarnation(unix_ms, self.rng),
            failure_domain=domain,
            service="rota",
            control_address=name,
        )
        target = store.Store("rota")
        member_table = table.MemberTable(own, self.now, self.rng)
        traffic_budget = budget.Budget(self.now)
        seeds = [n for n in self.nodes_by_name if n != name][:6]
        hooks = exchange.Hooks(
            crash_suspects=lambda: list(self.nodes_by_name[name].crash_suspects),
            on_crash_suspects=lambda records: self.nodes_by_name[
                name
            ].crash_suspects.extend(records),
        )
        link = _SimulatedLink(self, name)
        node_exchange = exchange.Exchange(
            target, member_table, traffic_budget, link, hooks, seeds, self.now, self.rng
        )
        node = Node(name, domain, target, member_table, traffic_budget, node_exchange)
        self.nodes_by_name[name] = node
        return node

    def publish(self, servers: int = 2) -> int:
        """Publish the next revision of the object set."""
        revision = self.published.revision + 1
        manifest, documents_by_key = sets.rendered(revision, servers)
        self.published = PublishedSet(
            manifest, documents_by_key, revision, self.published.reachable
        )
        return revision

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self) -> None:
        self.now += STEP_S
        while self._queue and self._queue[0][0] <= self.now:
            _, _, sender, receiver, frame = heapq.heappop(self._queue)
            target = self.nodes_by_name.get(receiver)
            if target is not None and len(target.inbox) < 64:
                target.inbox.append((frame, exchange.Route(sender)))
        for node in list(self.nodes_by_name.values()):
            if not node.paused:
                self._run_node(node)

    def in_force(self) -> set[int]:
        return {node.store.revision() for node in self.nodes_by_name.values()}

    def is_partitioned(self, one: str, other: str) -> bool:
        sides = self.sides_by_name
        return sides.get(one, 0) != sides.get(other, 0)

    def transmit(self, sender: str, receiver: str, frame: bytes) -> bool:
        node = self.nodes_by_name[sender]
        node.network_bytes_by_time.append((self.now, codec.network_bytes(frame)))
        if self.is_partitioned(sender, receiver) or self.rng.random() < self.loss:
            return True
        delivered_at = self.now + self.rng.uniform(0.001, self.longest_delay_s)
        item = (delivered_at, next(self._sequence), sender, receiver, frame)
        heapq.heappush(self._queue, item)
        return True

    def _run_node(self, node: Node) -> None:
        node.exchange.tick(self.now)
        while node.inbox and node.budget.may_receive(self.now):
            frame, route = node.inbox.pop(0)
            node.network_bytes_by_time.append((self.now, codec.network_bytes(frame)))
            node.exchange.receive(frame, route, self.now)
        if node.exchange.is_watching:
            self.read_platform(node)
        assert node.store.revision() >= node.highest_revision, (
            "the set in force was reverted"
        )
        node.highest_revision = node.store.revision()

    def read_platform(self, node: Node) -> None:
        published = self.published
        if not published.reachable or not published.revision:
            return
        if node.store.revision() < published.revision:
            node.store.offer(
                published.manifest, published.documents_by_key, PLATFORM, self.now
            )
        node.exchange.record_confirmation(published.revision, self.now)


class _SimulatedLink:
    def __init__(self, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    def send(self, route: exchange.Route, frame: bytes) -> bool:
        return self._fleet.transmit(self._name, route.address, frame)


def most_in_a_window(
    network_bytes_by_time: list[tuple[float, int]], window_s: float
) -> int:
    """Return the maximum number of bytes in any window of this length."""
    max_bytes = total = start = 0
    for spent_at, byte_count in network_bytes_by_time:
        total += byte_count
        while network_bytes_by_time[start][0] < spent_at - window_s:
            total -= network_bytes_by_time[start][1]
            start += 1
        max_bytes = max(max_bytes, total)
    return max_bytes


def manifest_of(content: bytes) -> generated.Manifest:
    decoded = documents.decode_manifest(content)
    assert isinstance(decoded, result.Ok)
    return decoded.ok_value
