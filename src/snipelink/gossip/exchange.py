"""What a node sends to its peers and how it handles what it receives."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import random
from collections.abc import Callable, Sequence
from typing import Protocol

import result

from snipelink import model
from snipelink.config import source, startup, store
from snipelink.generated import messages
from snipelink.gossip import budget as budgets
from snipelink.gossip import codec, dissemination, fetch, peers
from snipelink.membership import member as members
from snipelink.membership import table

ROUND_S = 1.0
PEERS_PER_ROUND = 2
PEERS_PER_START_ROUND = 6
PEERS_PER_PUSH = 6
# A departure is pushed several times, because the process may end before a round.
DEPARTURE_PUSHES = 6
DEPARTURE_PUSH_S = 0.25
REFRESH_S = 10.0
SHORTEST_REFRESH_S = 1.0
EXPIRE_S = 5.0
# A gap between two ticks above this is a pause of the process.
PAUSE_S = 0.5
# Messages read just after a pause have an unknown age, so their ages are not used.
BACKLOG_S = 1.0
ANSWER_TIMEOUT_S = 2.0
MISSES_TO_SUSPECT = 3
MEMBERS_PER_MESSAGE = 60
RUMOURS_PER_MESSAGE = 20
SUSPICIONS_PER_MESSAGE = 8
PULLS_PER_MESSAGE = 2
BUCKETS_PER_REQUEST = 2
SYNC_PAUSE_S = 5.0
MAX_CONTACTS = 64
# More than the nodes that read the platform within ``pacing.CONFIRMATION_LIMIT_S``.
MAX_STAMPS = 256
MAX_QUESTIONS = 64
MAX_CRASH_SUSPECTS = 256
MAX_CRASH_SUSPECT_BYTES = 256
CRASH_SUSPECT_S = 120.0
MEMBER_RUMOURS = 1_024
MEMBER_RUMOUR_S = 60.0
# Chance per round to try a suspected member, so that healed partitions are noticed.
RETRY_SUSPECTED = 0.2

# Shares of the budget's burst that less urgent messages leave to more urgent ones.
RESERVE_NEWS = 0.0
RESERVE_PULL = 0.15
RESERVE_SUPPLY = 0.2
RESERVE_ROUND = 0.3
RESERVE_SYNC = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where a message goes: to an address, or back over an inbound connection."""

    address: str = ""
    identity: bytes = b""


class Link(Protocol):
    """Transport of frames; it may lose or delay them."""

    def send(self, route: Route, frame: bytes) -> bool:
        """Hand over a frame; return False when it is certainly lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hooks:
    """Connections to the rest of the node; called in the exchange thread."""

    load: Callable[[], model.LoadReport | None] = lambda: None
    on_load: Callable[[str, model.LoadReport, float], None] = lambda name, load, age: (
        None
    )
    crash_suspects: Callable[[], Sequence[bytes]] = tuple
    on_crash_suspects: Callable[[Sequence[bytes]], None] = lambda records: None


@dataclasses.dataclass(slots=True)
class _Contact:
    """A node that this one exchanges messages with."""

    failure_domain: str = ""
    heard_at: float = float("-inf")
    asked_at: float | None = None
    misses: int = 0
    revision: int = 0
    ready: bool = False


class Exchange:
    """Exchange of one node; all methods but `record_confirmation` belong to one thread.

    Parameters
    ----------
    target : Store
        Accepted set.
    known : Table
        Members; its own member is this node.
    budget : Budget
        Byte and message budget, shared with the platform's reader.
    link : Link
        Transport.
    hooks : Hooks
        Load reports and crash suspects of the node.
    seeds : sequence of str
        Control addresses to ask while no members are known.
    now : float
        Start, monotonic seconds.
    rng : random.Random
        Randomness of all choices.
    is_standalone : bool
        Whether the node has no control port.
    """

    def __init__(
        self,
        target: store.Store,
        known: table.MemberTable,
        budget: budgets.Budget,
        link: Link,
        hooks: Hooks,
        seeds: Sequence[str],
        now: float,
        rng: random.Random,
        is_standalone: bool = False,
    ) -> None:
        self.counts_by_event: collections.Counter[str] = collections.Counter()
        self.ready = False
        self._is_standalone = is_standalone
        self.resumed_at = float("-inf")
        self.platform_reads = 0
        self.platform_revision = 0
        self.fetch = fetch.Fetch(target, rng)
        self._store = target
        self._table = known
        self._budget = budget
        self._link = link
        self._hooks = hooks
        self._seeds = list(seeds)
        self._rng = rng
        self._started_at = now
        self._ticked_at = now
        self._round_at = now
        self._refreshed_at = float("-inf")
        self._expired_at = now
        self._confirmed_at = float("-inf")
        self._confirmed_by = ""
        self._confirmed_stamp = 0
        self._stamps_by_node: dict[str, int] = {}
        self._platform_asked_at = float("-inf")
        self._answered_asked_at = float("-inf")
        self._question = 0
        self._asked_at_by_question: dict[int, float] = {}
        self._pushed_revision = 0
        self._departure_pushes = 0
        self._departure_pushed_at = float("-inf")
        self._merged_revision = 0
        self._contacts_by_name: dict[str, _Contact] = {}
        self._peers_by_name: dict[str, members.Member] = {}
        self._watchers: list[str] = []
        self._domain_size = 1
        self._servers_by_service: dict[str, list[members.Member]] = {}
        self._sync_route = Route()
        self._sync_buckets: list[int] = []
        self._sync_after = now
        self._member_rumours: dissemination.Queue[members.Member] = dissemination.Queue(
            MEMBER_RUMOURS, MEMBER_RUMOUR_S
        )
        self._crash_rumours: dissemination.Queue[bytes] = dissemination.Queue(
            MAX_CRASH_SUSPECTS, CRASH_SUSPECT_S
        )

    @property
    def is_standalone(self) -> bool:
        """Whether this node has no control port and therefore no peers."""
        return self._is_standalone

    @property
    def is_watching(self) -> bool:
        """Whether this node is one of those that watch the platform."""
        return self._is_standalone or self._table.own.name in self._watchers

    @property
    def domain_size(self) -> int:
        """Return the number of usable members of the own failure domain."""
        return self._domain_size

    @property
    def confirmed_at(self) -> float:
        """Return when the platform last confirmed that it has nothing newer."""
        return self._confirmed_at

    def record_confirmation(self, revision: int, now: float) -> None:
        """Note an answer of the platform that is as recent as ``now``.

        May be called from another thread.
        """
        self.platform_reads += 1
        self._platform_asked_at = max(self._platform_asked_at, now)
        self.platform_revision = max(self.platform_revision, revision)
        if revision >= self._store.revision():
            own = self._table.own
            started_at = members.started_at_ms(own.incarnation)
            self._confirmed_by = own.name
            self._confirmed_stamp = started_at + self.platform_reads
            self._confirmed_at = max(self._confirmed_at, now)

    def is_fresh(self, now: float, resumed_at: float = float("-inf")) -> bool:
        """Whether something asked after the last pause was answered.

        What arrives after a pause may have been sent before or during it, so only
        answers to later questions count. With no answer the node waits for
        ``startup.PEER_WAIT_S`` and goes on with what it has.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        resumed_at : float
            End of a pause that the caller has noticed.
        """
        since = max(self.resumed_at, resumed_at)
        asked_at = max(self._platform_asked_at, self._answered_asked_at)
        return asked_at >= since or now - since >= startup.PEER_WAIT_S

    def readiness(self, now: float) -> startup.Wait:
        """Return what this node waits for before it may serve."""
        contacts = list(self._contacts_by_name.items())
        answers = {
            name: startup.PeerAnswer(contact.failure_domain, contact.revision)
            for name, contact in contacts
            if contact.ready
        }
        own = self._table.own
        domains = {
            m.failure_domain for m in self._table.usable(now) if m.name != own.name
        }
        claim = self._store.claim()
        evidence = startup.Evidence(
            self._store.revision(),
            claim.revision,
            claim.heard_at,
            answers,
            self.platform_reads,
            self.platform_revision,
            domains,
        )
        return startup.judge(evidence, self._started_at, now)

    def tick(self, now: float) -> None:
        """Send what is due; to be called several times a second."""
        if now - self._ticked_at > PAUSE_S:
            self._resume(now)
        self._ticked_at = now
        if not self.ready and self.readiness(now) is startup.Wait.READY:
            self.ready = True
        self._note_changes(now)
        self._refresh(now)
        self._push(now)
        self._pull(now)
        self._sync(now)
        if now >= self._round_at:
            self._round_at = now + ROUND_S * self._rng.uniform(0.75, 1.25)
            self._round(now)

    def receive(self, frame: bytes, route: Route, now: float) -> None:
        """Handle a frame from a peer; a damaged one is counted and dropped."""
        self._budget.charge(codec.cost(frame), now)
        decoded = codec.decode(frame)
        if isinstance(decoded, result.Err):
            self.counts_by_event[f"refused-{decoded.err_value.value}"] += 1
            return
        message = decoded.ok_value
        if message.sender == self._table.own.name:
            self.counts_by_event["refused-own-name"] += 1
            return
        self.counts_by_event["received"] += 1
        asked_at = self._asked_at_by_question.pop(message.answers, float("-inf"))
        self._answered_asked_at = max(self._answered_asked_at, asked_at)
        self._take_members(message, now)
        self._take_news(message, now)
        self._take_records(message, now)
        for chunk in message.chunks[:PULLS_PER_MESSAGE]:
            if self.fetch.receive(message.sender, chunk, now):
                self.counts_by_event["documents-from-peers"] += 1
        self._take_checksums(message, route, now)
        self._reply(message, route, now)

    def _resume(self, now: float) -> None:
        """Forget what was awaited across a pause; ages from before it don't count."""
        self.resumed_at = now
        self.counts_by_event["pauses"] += 1
        self._round_at = now
        for contact in self._contacts_by_name.values():
            contact.asked_at = None
            contact.misses = 0

    def _note_changes(self, now: float) -> None:
        accepted = self._store.in_force()
        if accepted is not None and accepted.revision > self._merged_revision:
            self._merged_revision = accepted.revision
            self._table.merge(_members_of(accepted.objects), now)
        sends = dissemination.transmit_limit(len(self._table))
        for changed in self._table.take_changes():
            if changed.incarnation:
                self._member_rumours.add(changed, sends, now)
        for record in self._hooks.crash_suspects():
            self._crash_rumours.add(record, sends, now)
        if now - self._expired_at >= EXPIRE_S:
            self._expired_at = now
            self._table.expire(now)

    def _refresh(self, now: float) -> None:
        """Choose peers and watching nodes anew."""
        interval = REFRESH_S if self._peers_by_name else SHORTEST_REFRESH_S
        if now - self._refreshed_at < interval:
            return
        self._refreshed_at = now
        own = self._table.own
        usable = self._table.usable(now)
        accepted = self._store.in_force()
        called = set(accepted.objects.services_by_name) if accepted else set()
        epoch = int(now / peers.EPOCH_S)
        self._peers_by_name = peers.choose(own, usable, called - {own.service}, epoch)
        self._watchers = peers.watchers(usable, own.failure_domain)
        near = [m for m in usable if m.failure_domain == own.failure_domain]
        self._domain_size = max(1, len(near))
        self._servers_by_service = {}
        for server in usable:
            if server.control_address and server.name != own.name:
                self._servers_by_service.setdefault(server.service, []).append(server)
        if len(self._contacts_by_name) > MAX_CONTACTS:
            self._drop_contacts()

    def _drop_contacts(self) -> None:
        by_age = sorted(
            self._contacts_by_name, key=lambda n: self._contacts_by_name[n].heard_at
        )
        for name in by_age[: len(by_age) - MAX_CONTACTS]:
            if name not in self._peers_by_name:
                del self._contacts_by_name[name]

    def _push(self, now: float) -> None:
        """Tell some peers at once of a new set in force or of a departure."""
        revision = self._store.revision()
        leaving = self._table.own.state is members.State.LEAVING
        urgent = (
            leaving
            and self._departure_pushes < DEPARTURE_PUSHES
            and now - self._departure_pushed_at >= DEPARTURE_PUSH_S
        )
        if revision <= self._pushed_revision and not urgent:
            return
        self._pushed_revision = revision
        if urgent:
            self._departure_pushes += 1
            self._departure_pushed_at = now
        for peer in peers.sample(self._peers_by_name, PEERS_PER_PUSH, self._rng):
            message = self._message(now)
            message.members += self._rumoured_members(now)
            self._send(message, Route(peer.control_address), now, RESERVE_NEWS)

    def _pull(self, now: float) -> None:
        if self._store.claim().revision <= self._store.revision():
            return
        if self._budget.level(now) < fetch.CHUNK_BYTES / budgets.BURST_BYTES:
            return
        wanted = self._store.claim().revision
        holders = {
            name: member
            for name, contact in self._contacts_by_name.items()
            if contact.revision >= wanted
            and (member := self._table.get(name)) is not None
            and member.control_address
        }
        request = self.fetch.next_request(holders, self._servers_by_service, now)
        if request is not None:
            message = self._message(now)
            message.pulls = [request.pull]
            route = Route(request.peer.control_address)
            self._send(message, route, now, RESERVE_PULL)

    def _round(self, now: float) -> None:
        """Exchange news with a few peers and look for those that don't answer."""
        settled = self.ready and self.is_fresh(now)
        count = PEERS_PER_ROUND if settled else PEERS_PER_START_ROUND
        targets = {m.name: m for m in self._targets(count, now)}
        for name, peer in targets.items():
            contact = self._contacts_by_name.setdefault(
                name, _Contact(peer.failure_domain)
            )
            self._count_miss(peer, contact, now)
            self._send_round(Route(peer.control_address), now)
        if not targets or (not self.ready and len(targets) < count):
            count = min(PEERS_PER_START_ROUND, len(self._seeds))
            for address in self._rng.sample(self._seeds, count):
                self._send_round(Route(address), now)

    def _targets(self, count: int, now: float) -> list[members.Member]:
        targets = peers.sample(self._peers_by_name, count, self._rng)
        silent = [
            self._peers_by_name[name]
            for name, contact in self._contacts_by_name.items()
            if contact.misses > 0 and name in self._peers_by_name
        ]
        unlisted = [m for m in self._table.unlisted() if m.control_address]
        targets += self._rng.sample(silent, min(1, len(silent)))
        targets += self._rng.sample(unlisted, min(1, len(unlisted)))
        if self._rng.random() < RETRY_SUSPECTED:
            suspected = {s.name for s in self._table.suspicions(now)}
            names = sorted(suspected - {self._table.own.name})
            chosen = self._table.get(self._rng.choice(names)) if names else None
            if chosen is not None and chosen.control_address:
                targets.append(chosen)
        return targets

    def _send_round(self, route: Route, now: float) -> None:
        message = self._message(now)
        message.answer = True
        message.question = self._note_question(now)
        message.checksum = _root(self._table.checksums())
        message.members += self._rumoured_members(now)
        message.suspicions = self._suspicions(now)
        message.crash_suspects = self._crash_rumours.take_batch(
            RUMOURS_PER_MESSAGE, now
        )
        self._send(message, route, now, RESERVE_ROUND)

    def _note_question(self, now: float) -> int:
        self._question += 1
        asked_at = self._asked_at_by_question
        asked_at[self._question] = now
        while len(asked_at) > MAX_QUESTIONS:
            del asked_at[next(iter(asked_at))]
        return self._question

    def _count_miss(self, peer: members.Member, contact: _Contact, now: float) -> None:
        if contact.asked_at is None:
            contact.asked_at = now
            return
        if now - contact.asked_at < ANSWER_TIMEOUT_S:
            return
        contact.asked_at = now
        contact.misses += 1
        if contact.misses >= MISSES_TO_SUSPECT and not self._is_cut_off(now):
            own = self._table.own
            suspicion = members.Suspicion(
                peer.name,
                peer.incarnation,
                peer.version,
                own.name,
                own.failure_domain,
                0.0,
            )
            self.counts_by_event["suspicions"] += 1
            self._table.suspect(suspicion, now)

    def _is_cut_off(self, now: float) -> bool:
        """Whether this node itself is more likely at fault than its silent peers."""
        asked = [
            self._contacts_by_name[name]
            for name in self._peers_by_name
            if name in self._contacts_by_name
        ]
        silent = sum(contact.misses > 0 for contact in asked)
        return 2 * silent > len(asked) or now - self.resumed_at < 5 * ROUND_S

    def _message(self, now: float) -> messages.ControlMessage:
        own = self._table.own
        accepted = self._store.in_force()
        news = messages.RevisionNews(
            accepted.revision if accepted else 0,
            accepted.digest if accepted else "",
            self.ready,
            self._confirmed_by,
            self._confirmed_stamp,
            self._confirmed_age_ms(now),
            [r for r in self._store.conflicts() if r > self._store.revision()],
        )
        load = self._hooks.load()
        return messages.ControlMessage(
            codec.VERSION,
            own.name,
            own.incarnation,
            news=news,
            members=[_record(own)],
            loads=[messages.LoadRecord(own.name, _load(load))] if load else [],
        )

    def _confirmed_age_ms(self, now: float) -> int:
        age_s = now - self._confirmed_at
        return int(age_s * 1000) if age_s < 3600 else -1

    def _rumoured_members(self, now: float) -> list[messages.MemberRecord]:
        taken = self._member_rumours.take_batch(RUMOURS_PER_MESSAGE, now)
        own = self._table.own.name
        return [
            _record(member)
            for member in taken
            if member.name != own and self._table.get(member.name) == member
        ]

    def _suspicions(self, now: float) -> list[messages.SuspicionRecord]:
        known = self._table.suspicions(now)
        chosen = self._rng.sample(known, min(SUSPICIONS_PER_MESSAGE, len(known)))
        return [
            messages.SuspicionRecord(
                s.name,
                s.incarnation,
                s.observer,
                s.observer_domain,
                int(s.age_s * 1000),
                s.version,
            )
            for s in chosen
        ]

    def _send(
        self,
        message: messages.ControlMessage,
        route: Route,
        now: float,
        reserve: float,
    ) -> bool:
        frame = codec.encode(message)
        if len(frame) > codec.MAX_FRAME_BYTES:
            self.counts_by_event["too-large-to-send"] += 1
            return False
        if not self._budget.try_spend(codec.cost(frame), now, reserve=reserve):
            self.counts_by_event["held-back"] += 1
            return False
        self.counts_by_event["sent"] += 1
        return self._link.send(route, frame)

    def _take_members(self, message: messages.ControlMessage, now: float) -> None:
        facts = [_member(record) for record in message.members]
        for fact in facts:
            if fact.name == message.sender:
                self._table.observe(fact, now)
        self._table.merge([f for f in facts if f.name != message.sender], now)

    def _take_news(self, message: messages.ControlMessage, now: float) -> None:
        sender = self._table.get(message.sender)
        domain = sender.failure_domain if sender else ""
        contact = self._contacts_by_name.setdefault(message.sender, _Contact(domain))
        contact.failure_domain = domain
        contact.heard_at = now
        contact.asked_at = None
        contact.misses = 0
        news = message.news
        if news is None:
            return
        contact.revision = news.revision
        contact.ready = news.ready
        origin = source.peer(message.sender, domain)
        for revision in news.conflicts[: store.KEPT_CONFLICTS]:
            self._store.learn_conflict(revision, origin, now)
        if news.revision > 0 and not self.fetch.avoids(news.digest, now):
            self._store.learn(news.revision, news.digest, origin, now)
        if news.revision == self._store.revision() and news.confirmed_by:
            self._take_confirmation(news, now)

    def _take_confirmation(self, news: messages.RevisionNews, now: float) -> None:
        """Note an answer of the platform to another node.

        Each answer counts once. Its age lacks the time in transit, so an answer that
        circulated among the nodes would otherwise seem to become younger.
        """
        node, stamp = news.confirmed_by, news.confirmed_stamp
        stamps = self._stamps_by_node
        if stamp <= stamps.get(node, 0) or now - self.resumed_at < BACKLOG_S:
            return
        stamps.pop(node, None)
        stamps[node] = stamp
        while len(stamps) > MAX_STAMPS:
            del stamps[next(iter(stamps))]
        confirmed_at = now - max(0, news.confirmed_age_ms) / 1000
        if confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
            self._confirmed_by, self._confirmed_stamp = node, stamp

    def _take_records(self, message: messages.ControlMessage, now: float) -> None:
        for record in message.suspicions[:SUSPICIONS_PER_MESSAGE]:
            suspicion = members.Suspicion(
                record.name,
                record.incarnation,
                record.version,
                record.observer,
                record.observer_domain,
                record.age_ms / 1000,
            )
            self._table.suspect(suspicion, now)
        for load in message.loads[:1]:
            told = load.load
            report = model.LoadReport(
                told.running, told.queued, told.limit, told.leaving, told.slowness
            )
            self._hooks.on_load(load.node, report, load.age_ms / 1000)
        sends = dissemination.transmit_limit(len(self._table))
        news = [
            record
            for record in message.crash_suspects[:RUMOURS_PER_MESSAGE]
            if len(record) <= MAX_CRASH_SUSPECT_BYTES
            and self._crash_rumours.add(record, sends, now)
        ]
        if news:
            self._hooks.on_crash_suspects(news)

    def _take_checksums(
        self, message: messages.ControlMessage, route: Route, now: float
    ) -> None:
        """Start to fetch the buckets of members that differ."""
        if len(message.bucket_checksums) != table.BUCKETS or now < self._sync_after:
            return
        own = self._table.checksums()
        differing = [
            index
            for index, checksum in enumerate(message.bucket_checksums)
            if checksum != own[index]
        ]
        self._rng.shuffle(differing)
        self._sync_route, self._sync_buckets = route, differing
        self._sync_after = now + SYNC_PAUSE_S

    def _sync(self, now: float) -> None:
        if not self._sync_buckets or self._budget.level(now) < RESERVE_SYNC:
            return
        message = self._message(now)
        message.wanted_buckets = [
            self._sync_buckets.pop()
            for _ in range(min(BUCKETS_PER_REQUEST, len(self._sync_buckets)))
        ]
        self._send(message, self._sync_route, now, RESERVE_SYNC)

    def _reply(
        self, message: messages.ControlMessage, route: Route, now: float
    ) -> None:
        for pull in message.pulls[:PULLS_PER_MESSAGE]:
            answer = self._message(now)
            answer.chunks = [fetch.answer(self._store, pull)]
            self._send(answer, route, now, RESERVE_SUPPLY)
        for bucket in message.wanted_buckets[:BUCKETS_PER_REQUEST]:
            if 0 <= bucket < table.BUCKETS:
                self._send_bucket(bucket, route, now)
        behind = message.news is not None and (
            0 < message.news.revision < self._store.revision()
        )
        if message.answer or behind:
            answer = self._message(now)
            answer.answers = message.question
            checksums = self._table.checksums()
            if message.checksum not in (0, _root(checksums)):
                answer.bucket_checksums = checksums
            answer.members += self._rumoured_members(now)
            answer.crash_suspects = self._crash_rumours.take_batch(
                RUMOURS_PER_MESSAGE, now
            )
            reserve = RESERVE_NEWS if behind else RESERVE_ROUND
            self._send(answer, route, now, reserve)

    def _send_bucket(self, bucket: int, route: Route, now: float) -> None:
        facts = [m for m in self._table.bucket(bucket) if m.incarnation]
        for start in range(0, len(facts), MEMBERS_PER_MESSAGE):
            answer = self._message(now)
            part = facts[start : start + MEMBERS_PER_MESSAGE]
            answer.members += [_record(member) for member in part]
            self._send(answer, route, now, RESERVE_SYNC)


def _root(checksums: Sequence[int]) -> int:
    """Return a checksum over all buckets, never 0."""
    packed = b"".join(checksum.to_bytes(8) for checksum in checksums)
    return int.from_bytes(hashlib.blake2b(packed, digest_size=7).digest()) + 1


def _members_of(objects: model.ObjectSet) -> list[members.Member]:
    """Return the nodes beside the endpoints of a set, without incarnation."""
    return [
        members.Member(
            endpoint.name,
            failure_domain=endpoint.failure_domain,
            region=endpoint.region,
            service=endpoint.service,
            control_address=endpoint.control_address,
        )
        for service in objects.services_by_name.values()
        for endpoint in service.endpoints_by_name.values()
        if endpoint.control_address
    ]


def _record(member: members.Member) -> messages.MemberRecord:
    return messages.MemberRecord(
        member.name,
        member.incarnation,
        member.version,
        member.state is members.State.LEAVING,
        member.failure_domain,
        member.region,
        member.service,
        member.control_address,
    )


def _member(record: messages.MemberRecord) -> members.Member:
    return members.Member(
        record.name,
        record.incarnation,
        record.version,
        members.State.LEAVING if record.leaving else members.State.LIVE,
        record.failure_domain,
        record.region,
        record.service,
        record.control_address,
    )


def _load(load: model.LoadReport) -> messages.Load:
    return messages.Load(
        load.running, load.queued, load.limit, load.leaving, load.slowness
    )
