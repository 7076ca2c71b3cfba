"""Nodes that exchange messages over in-memory links with a virtual clock."""

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
class Published:
    """Sets by revision; the last one is what the platform serves."""

    manifest: bytes = b""
    documents_by_key: dict[str, bytes] = dataclasses.field(default_factory=dict)
    revision: int = 0
    reachable: bool = True


@dataclasses.dataclass(slots=True)
class Node:
    name: str
    domain: str
    store: store.Store
    table: table.MemberTable
    budget: budget.Budget
    exchange: exchange.Exchange
    paused: bool = False
    inbox: list[tuple[bytes, exchange.Route]] = dataclasses.field(default_factory=list)
    crash_suspects: list[bytes] = dataclasses.field(default_factory=list)
    spent: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    highest: int = 0


class Fleet:
    """Virtual fleet; ``step`` moves the clock."""

    def __init__(self, count: int, seed: int, domains: int = 3) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.published = Published()
        self.loss = 0.0
        self.longest_delay_s = 0.05
        self.sides_by_name: dict[str, int] = {}
        self.nodes_by_name: dict[str, Node] = {}
        self._queue: list[tuple[float, int, str, str, bytes]] = []
        self._order = itertools.count()
        for index in range(count):
            self.start(f"n{index}", f"d{index % domains}")

    def start(self, name: str, domain: str) -> Node:
        """Start or restart a node, which then has forgotten everything."""
        unix_ms = START_UNIX_MS + int(self.now * 1000)
        own = member.Member(
            name,
            member.new_incarnation(unix_ms, self.rng),
            failure_domain=domain,
            service="rota",
            control_address=name,
        )
        target = store.Store("rota")
        known = table.MemberTable(own, self.now, self.rng)
        limit = budget.Budget(self.now)
        seeds = [n for n in self.nodes_by_name if n != name][:6]
        hooks = exchange.Hooks(
            crash_suspects=lambda: list(self.nodes_by_name[name].crash_suspects),
            on_crash_suspects=lambda records: self.nodes_by_name[
                name
            ].crash_suspects.extend(records),
        )
        link = _Link(self, name)
        agent = exchange.Exchange(
            target, known, limit, link, hooks, seeds, self.now, self.rng
        )
        node = Node(name, domain, target, known, limit, agent)
        self.nodes_by_name[name] = node
        return node

    def publish(self, servers: int = 2) -> int:
        """Publish the next set."""
        revision = self.published.revision + 1
        manifest, documents_by_key = sets.rendered(revision, servers)
        self.published = Published(
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

    def is_cut(self, one: str, other: str) -> bool:
        sides = self.sides_by_name
        return sides.get(one, 0) != sides.get(other, 0)

    def transmit(self, sender: str, receiver: str, frame: bytes) -> bool:
        node = self.nodes_by_name[sender]
        node.spent.append((self.now, codec.cost(frame)))
        if self.is_cut(sender, receiver) or self.rng.random() < self.loss:
            return True
        at = self.now + self.rng.uniform(0.001, self.longest_delay_s)
        item = (at, next(self._order), sender, receiver, frame)
        heapq.heappush(self._queue, item)
        return True

    def _run_node(self, node: Node) -> None:
        node.exchange.tick(self.now)
        while node.inbox and node.budget.may_receive(self.now):
            frame, route = node.inbox.pop(0)
            node.spent.append((self.now, codec.cost(frame)))
            node.exchange.receive(frame, route, self.now)
        if node.exchange.is_watching:
            self.read_platform(node)
        assert node.store.revision() >= node.highest, "the set in force was reverted"
        node.highest = node.store.revision()

    def read_platform(self, node: Node) -> None:
        published = self.published
        if not published.reachable or not published.revision:
            return
        if node.store.revision() < published.revision:
            node.store.offer(
                published.manifest, published.documents_by_key, PLATFORM, self.now
            )
        node.exchange.record_confirmation(published.revision, self.now)


class _Link:
    def __init__(self, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    def send(self, route: exchange.Route, frame: bytes) -> bool:
        return self._fleet.transmit(self._name, route.address, frame)


def most_in_a_window(spent: list[tuple[float, int]], window_s: float) -> int:
    """Return the most bytes spent in any window of this length."""
    most = total = start = 0
    for at, size in spent:
        total += size
        while spent[start][0] < at - window_s:
            total -= spent[start][1]
            start += 1
        most = max(most, total)
    return most


def manifest_of(content: bytes) -> generated.Manifest:
    decoded = documents.decode_manifest(content)
    assert isinstance(decoded, result.Ok)
    return decoded.ok_value
