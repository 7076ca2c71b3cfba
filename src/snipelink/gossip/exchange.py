"""Gossip protocol of a node: periodic rounds, pushes, pulls and anti-entropy."""

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

ROUND_INTERVAL_S = 1.0
PEERS_PER_ROUND = 2
PEERS_PER_STARTUP_ROUND = 6
PEERS_PER_PUSH = 6
# A departure is pushed repeatedly, because the process may end before its next round.
MAX_DEPARTURE_PUSHES = 6
DEPARTURE_PUSH_INTERVAL_S = 0.25
PEER_REFRESH_INTERVAL_S = 10.0
NO_PEERS_REFRESH_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 5.0
# A longer gap between two ticks means that the process was paused.
MIN_PAUSE_S = 0.5
# Messages that are read this soon after a pause may have waited in a buffer for an
# unknown time, so the confirmation ages in them are ignored.
PAUSE_BACKLOG_S = 1.0
ANSWER_TIMEOUT_S = 2.0
MISSED_ANSWERS_TO_SUSPECT = 3
MEMBERS_PER_MESSAGE = 60
QUEUED_RECORDS_PER_MESSAGE = 20
SUSPICIONS_PER_MESSAGE = 8
PULLS_PER_MESSAGE = 2
BUCKETS_PER_REQUEST = 2
SYNC_INTERVAL_S = 5.0
MAX_CONTACTS = 64
# Exceeds the number of nodes that read the platform within
# ``read_delays.MAX_CONFIRMATION_AGE_S``.
MAX_CONFIRMATION_STAMPS = 256
MAX_OPEN_QUESTIONS = 64
MAX_CRASH_SUSPECTS = 256
MAX_CRASH_SUSPECT_BYTES = 256
CRASH_SUSPECT_RETENTION_S = 120.0
MAX_QUEUED_MEMBERS = 1_024
QUEUED_MEMBER_RETENTION_S = 60.0
# Probability per round of probing a suspected member, which detects healed partitions.
SUSPECT_PROBE_PROBABILITY = 0.2

# Share of the budget's burst that a message must leave for more urgent messages.
NEWS_RESERVE_RATIO = 0.0
PULL_RESERVE_RATIO = 0.15
CHUNK_RESERVE_RATIO = 0.2
ROUND_RESERVE_RATIO = 0.3
SYNC_RESERVE_RATIO = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Destination of a message: an address, or an inbound connection by identity."""

    address: str = ""
    identity: bytes = b""


class Link(Protocol):
    """Unreliable transport of frames, which may lose or delay them."""

    def send(self, route: Route, frame: bytes) -> bool:
        """Send a frame; return False if it is known to be lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hooks:
    """Callbacks to the rest of the node, called in the exchange thread.

    Attributes
    ----------
    load : callable
        Returns the load report of this node, or None if it has none.
    on_load : callable
        Receives a peer's name, its load report and the age of the report in seconds.
    crash_suspects : callable
        Returns new records of calls that may have crashed an endpoint.
    on_crash_suspects : callable
        Receives records of such calls from peers.
    """

    load: Callable[[], model.LoadReport | None] = lambda: None
    on_load: Callable[[str, model.LoadReport, float], None] = lambda name, load, age: (
        None
    )
    crash_suspects: Callable[[], Sequence[bytes]] = tuple
    on_crash_suspects: Callable[[Sequence[bytes]], None] = lambda records: None


@dataclasses.dataclass(slots=True)
class _Contact:
    """State of the message exchange with another node.

    Attributes
    ----------
    awaiting_since : float or None
        Time of the first round message since the last answer, monotonic seconds; moved
        forward each time an answer counts as missed.
    missed_answers : int
        Answers missed in succession.
    revision : int
        Last revision that the node reported as in force.
    ready : bool
        Whether the node serves calls.
    """

    failure_domain: str = ""
    last_contact_at: float = float("-inf")
    awaiting_since: float | None = None
    missed_answers: int = 0
    revision: int = 0
    ready: bool = False


class Exchange:
    """Gossip of one node with its peers.

    `tick` and `receive` must be called from one thread; all other methods may be called
    from any thread.

    Parameters
    ----------
    set_store : Store
        Store of the object set in force.
    member_table : MemberTable
        Members; its own member is this node.
    budget : Budget
        Traffic budget, shared with the reader of the platform.
    link : Link
        Transport of frames.
    hooks : Hooks
        Callbacks for load reports and crash suspects.
    seeds : sequence of str
        Control addresses to contact until enough peers are known.
    now : float
        Start time, monotonic seconds.
    rng : random.Random
        Source of randomness.
    is_standalone : bool
        Whether the node has no control port.
    """

    def __init__(
        self,
        set_store: store.Store,
        member_table: table.MemberTable,
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
        self.fetcher = fetch.SetFetcher(set_store, rng)
        self._store = set_store
        self._table = member_table
        self._budget = budget
        self._link = link
        self._hooks = hooks
        self._seeds = list(seeds)
        self._rng = rng
        self._started_at = now
        self._last_tick_at = now
        self._next_round_at = now
        self._peers_refreshed_at = float("-inf")
        self._last_expiry_at = now
        self._confirmed_at = float("-inf")
        self._confirmed_by = ""
        self._confirmed_stamp = 0
        self._latest_stamps_by_node: dict[str, int] = {}
        self._last_platform_request_at = float("-inf")
        self._last_answered_question_at = float("-inf")
        self._last_question = 0
        self._sent_at_by_question: dict[int, float] = {}
        self._pushed_revision = 0
        self._departure_push_count = 0
        self._last_departure_push_at = float("-inf")
        self._merged_revision = 0
        self._contacts_by_name: dict[str, _Contact] = {}
        self._peers_by_name: dict[str, members.Member] = {}
        self._watcher_names: list[str] = []
        self._domain_size = 1
        self._servers_by_service: dict[str, list[members.Member]] = {}
        self._sync_route = Route()
        self._sync_buckets: list[int] = []
        self._next_sync_at = now
        self._member_queue: dissemination.Queue[members.Member] = dissemination.Queue(
            MAX_QUEUED_MEMBERS, QUEUED_MEMBER_RETENTION_S
        )
        self._crash_suspect_queue: dissemination.Queue[bytes] = dissemination.Queue(
            MAX_CRASH_SUSPECTS, CRASH_SUSPECT_RETENTION_S
        )

    @property
    def is_standalone(self) -> bool:
        """Whether this node has no control port and therefore no peers."""
        return self._is_standalone

    @property
    def is_watching(self) -> bool:
        """Whether this node watches the platform on behalf of its failure domain."""
        return self._is_standalone or self._table.own.name in self._watcher_names

    @property
    def domain_size(self) -> int:
        """Return the number of usable members in the own failure domain, at least 1."""
        return self._domain_size

    @property
    def confirmed_at(self) -> float:
        """Return when the platform last confirmed the revision in force to any node.

        The time is in monotonic seconds.
        """
        return self._confirmed_at

    def record_confirmation(self, revision: int, now: float) -> None:
        """Record that the platform answered with a revision at ``now``.

        The answer confirms the revision in force unless it names an older one. May be
        called from any thread.
        """
        self.platform_reads += 1
        self._last_platform_request_at = max(self._last_platform_request_at, now)
        self.platform_revision = max(self.platform_revision, revision)
        if revision >= self._store.revision():
            own = self._table.own
            started_at = members.started_at_ms(own.incarnation)
            self._confirmed_by = own.name
            self._confirmed_stamp = started_at + self.platform_reads
            self._confirmed_at = max(self._confirmed_at, now)

    def is_fresh(self, now: float, resumed_at: float = float("-inf")) -> bool:
        """Whether the node's information is current after a pause of the process.

        Messages that arrive after a pause may have been sent before or during it.
        Therefore only answers to requests that were sent after the pause count. If none
        arrives within ``startup.PEER_WAIT_S``, the node continues with its old
        information.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        resumed_at : float
            End of a pause that the caller has detected.
        """
        since = max(self.resumed_at, resumed_at)
        requested_at = max(
            self._last_platform_request_at, self._last_answered_question_at
        )
        return requested_at >= since or now - since >= startup.PEER_WAIT_S

    def readiness(self, now: float) -> startup.Readiness:
        """Return what this node still waits for after its start before it serves."""
        contacts = list(self._contacts_by_name.items())
        answers = {
            name: startup.ServingPeer(contact.failure_domain, contact.revision)
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
            claim.learned_at,
            answers,
            self.platform_reads,
            self.platform_revision,
            domains,
        )
        return startup.assess_readiness(evidence, self._started_at, now)

    def tick(self, now: float) -> None:
        """Send all messages that are due; must be called several times a second."""
        if now - self._last_tick_at > MIN_PAUSE_S:
            self._handle_pause(now)
        self._last_tick_at = now
        if not self.ready and self.readiness(now) is startup.Readiness.READY:
            self.ready = True
        self._queue_changes(now)
        self._refresh_peers(now)
        self._push_news(now)
        self._request_chunk(now)
        self._request_buckets(now)
        if now >= self._next_round_at:
            self._next_round_at = now + ROUND_INTERVAL_S * self._rng.uniform(0.75, 1.25)
            self._run_round(now)

    def receive(self, frame: bytes, route: Route, now: float) -> None:
        """Handle a frame from a peer; malformed frames are counted and dropped."""
        self._budget.charge(codec.network_bytes(frame), now)
        decoded = codec.decode(frame)
        if isinstance(decoded, result.Err):
            self.counts_by_event[f"refused-{decoded.err_value.value}"] += 1
            return
        message = decoded.ok_value
        if message.sender == self._table.own.name:
            self.counts_by_event["refused-own-name"] += 1
            return
        self.counts_by_event["received"] += 1
        sent_at = self._sent_at_by_question.pop(message.answers, float("-inf"))
        self._last_answered_question_at = max(self._last_answered_question_at, sent_at)
        self._merge_members(message, now)
        self._handle_news(message, now)
        self._handle_reports(message, now)
        for chunk in message.chunks[:PULLS_PER_MESSAGE]:
            if self.fetcher.receive(message.sender, chunk, now):
                self.counts_by_event["documents-from-peers"] += 1
        self._compare_checksums(message, route, now)
        self._reply(message, route, now)

    def _handle_pause(self, now: float) -> None:
        """Restart the detection of silent peers after a pause of this process.

        Answers that were due during the pause don't count as missed.
        """
        self.resumed_at = now
        self.counts_by_event["pauses"] += 1
        self._next_round_at = now
        for contact in self._contacts_by_name.values():
            contact.awaiting_since = None
            contact.missed_answers = 0

    def _queue_changes(self, now: float) -> None:
        accepted = self._store.in_force()
        if accepted is not None and accepted.revision > self._merged_revision:
            self._merged_revision = accepted.revision
            self._table.merge(_members_in_set(accepted.objects), now)
        transmissions = dissemination.transmit_limit(len(self._table))
        for changed in self._table.drain_changes():
            if changed.incarnation:
                self._member_queue.add(changed, transmissions, now)
        for record in self._hooks.crash_suspects():
            self._crash_suspect_queue.add(record, transmissions, now)
        if now - self._last_expiry_at >= EXPIRY_INTERVAL_S:
            self._last_expiry_at = now
            self._table.expire(now)

    def _refresh_peers(self, now: float) -> None:
        """Choose the peers and the watchers of the platform from the usable members."""
        interval = (
            PEER_REFRESH_INTERVAL_S
            if self._peers_by_name
            else NO_PEERS_REFRESH_INTERVAL_S
        )
        if now - self._peers_refreshed_at < interval:
            return
        self._peers_refreshed_at = now
        own = self._table.own
        usable = self._table.usable(now)
        accepted = self._store.in_force()
        called_services = set(accepted.objects.services_by_name) if accepted else set()
        epoch = int(now / peers.EPOCH_S)
        self._peers_by_name = peers.choose(
            own, usable, called_services - {own.service}, epoch
        )
        self._watcher_names = peers.choose_watchers(usable, own.failure_domain)
        same_domain = [m for m in usable if m.failure_domain == own.failure_domain]
        self._domain_size = max(1, len(same_domain))
        self._servers_by_service = {}
        for server in usable:
            if server.control_address and server.name != own.name:
                self._servers_by_service.setdefault(server.service, []).append(server)
        if len(self._contacts_by_name) > MAX_CONTACTS:
            self._drop_contacts()

    def _drop_contacts(self) -> None:
        by_last_contact = sorted(
            self._contacts_by_name,
            key=lambda n: self._contacts_by_name[n].last_contact_at,
        )
        for name in by_last_contact[: len(by_last_contact) - MAX_CONTACTS]:
            if name not in self._peers_by_name:
                del self._contacts_by_name[name]

    def _push_news(self, now: float) -> None:
        """Push a new set in force or the own departure to some peers at once."""
        revision = self._store.revision()
        leaving = self._table.own.state is members.State.LEAVING
        departure_due = (
            leaving
            and self._departure_push_count < MAX_DEPARTURE_PUSHES
            and now - self._last_departure_push_at >= DEPARTURE_PUSH_INTERVAL_S
        )
        if revision <= self._pushed_revision and not departure_due:
            return
        self._pushed_revision = revision
        if departure_due:
            self._departure_push_count += 1
            self._last_departure_push_at = now
        for peer in peers.sample(self._peers_by_name, PEERS_PER_PUSH, self._rng):
            message = self._new_message(now)
            message.members += self._take_queued_members(now)
            self._send(message, Route(peer.control_address), now, NEWS_RESERVE_RATIO)

    def _request_chunk(self, now: float) -> None:
        if self._store.claim().revision <= self._store.revision():
            return
        # The requested chunk is charged to this node's budget when it arrives.
        if (
            self._budget.available_ratio(now)
            < fetch.MAX_CHUNK_BYTES / budgets.BURST_BYTES
        ):
            return
        claimed_revision = self._store.claim().revision
        holders = {
            name: member
            for name, contact in self._contacts_by_name.items()
            if contact.revision >= claimed_revision
            and (member := self._table.get(name)) is not None
            and member.control_address
        }
        request = self.fetcher.next_request(holders, self._servers_by_service, now)
        if request is not None:
            message = self._new_message(now)
            message.pulls = [request.pull]
            route = Route(request.peer.control_address)
            self._send(message, route, now, PULL_RESERVE_RATIO)

    def _run_round(self, now: float) -> None:
        """Run a gossip round: send to a few peers and count missed answers.

        Seeds are contacted too while the node has too few peers.
        """
        is_settled = self.ready and self.is_fresh(now)
        count = PEERS_PER_ROUND if is_settled else PEERS_PER_STARTUP_ROUND
        targets = {m.name: m for m in self._round_targets(count, now)}
        for name, peer in targets.items():
            contact = self._contacts_by_name.setdefault(
                name, _Contact(peer.failure_domain)
            )
            self._check_answer(peer, contact, now)
            self._send_round_message(Route(peer.control_address), now)
        if not targets or (not self.ready and len(targets) < count):
            count = min(PEERS_PER_STARTUP_ROUND, len(self._seeds))
            for address in self._rng.sample(self._seeds, count):
                self._send_round_message(Route(address), now)

    def _round_targets(self, count: int, now: float) -> list[members.Member]:
        targets = peers.sample(self._peers_by_name, count, self._rng)
        unresponsive = [
            self._peers_by_name[name]
            for name, contact in self._contacts_by_name.items()
            if contact.missed_answers > 0 and name in self._peers_by_name
        ]
        unlisted = [m for m in self._table.unlisted_members() if m.control_address]
        targets += self._rng.sample(unresponsive, min(1, len(unresponsive)))
        targets += self._rng.sample(unlisted, min(1, len(unlisted)))
        if self._rng.random() < SUSPECT_PROBE_PROBABILITY:
            suspected = {s.name for s in self._table.active_suspicions(now)}
            names = sorted(suspected - {self._table.own.name})
            chosen = self._table.get(self._rng.choice(names)) if names else None
            if chosen is not None and chosen.control_address:
                targets.append(chosen)
        return targets

    def _send_round_message(self, route: Route, now: float) -> None:
        message = self._new_message(now)
        message.answer = True
        message.question = self._register_question(now)
        message.checksum = _root_checksum(self._table.bucket_checksums())
        message.members += self._take_queued_members(now)
        message.suspicions = self._sample_suspicions(now)
        message.crash_suspects = self._crash_suspect_queue.take_batch(
            QUEUED_RECORDS_PER_MESSAGE, now
        )
        self._send(message, route, now, ROUND_RESERVE_RATIO)

    def _register_question(self, now: float) -> int:
        self._last_question += 1
        sent_at_by_question = self._sent_at_by_question
        sent_at_by_question[self._last_question] = now
        while len(sent_at_by_question) > MAX_OPEN_QUESTIONS:
            del sent_at_by_question[next(iter(sent_at_by_question))]
        return self._last_question

    def _check_answer(
        self, peer: members.Member, contact: _Contact, now: float
    ) -> None:
        if contact.awaiting_since is None:
            contact.awaiting_since = now
            return
        if now - contact.awaiting_since < ANSWER_TIMEOUT_S:
            return
        contact.awaiting_since = now
        contact.missed_answers += 1
        if (
            contact.missed_answers >= MISSED_ANSWERS_TO_SUSPECT
            and not self._is_probably_isolated(now)
        ):
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
            self._table.add_suspicion(suspicion, now)

    def _is_probably_isolated(self, now: float) -> bool:
        """Whether this node itself is probably the cause of missing answers.

        That is the case if more than half of its peers miss answers, or if the process
        was paused recently.
        """
        contacts = [
            self._contacts_by_name[name]
            for name in self._peers_by_name
            if name in self._contacts_by_name
        ]
        unresponsive = sum(contact.missed_answers > 0 for contact in contacts)
        return (
            2 * unresponsive > len(contacts)
            or now - self.resumed_at < 5 * ROUND_INTERVAL_S
        )

    def _new_message(self, now: float) -> messages.ControlMessage:
        own = self._table.own
        accepted = self._store.in_force()
        news = messages.RevisionNews(
            accepted.revision if accepted else 0,
            accepted.digest if accepted else "",
            self.ready,
            self._confirmed_by,
            self._confirmed_stamp,
            self._confirmed_age_ms(now),
            [
                r
                for r in self._store.conflicting_revisions()
                if r > self._store.revision()
            ],
        )
        load = self._hooks.load()
        return messages.ControlMessage(
            codec.VERSION,
            own.name,
            own.incarnation,
            news=news,
            members=[_to_record(own)],
            loads=[messages.LoadRecord(own.name, _to_load_message(load))]
            if load
            else [],
        )

    def _confirmed_age_ms(self, now: float) -> int:
        age_s = now - self._confirmed_at
        return int(age_s * 1000) if age_s < 3600 else -1

    def _take_queued_members(self, now: float) -> list[messages.MemberRecord]:
        taken = self._member_queue.take_batch(QUEUED_RECORDS_PER_MESSAGE, now)
        own = self._table.own.name
        return [
            _to_record(member)
            for member in taken
            if member.name != own and self._table.get(member.name) == member
        ]

    def _sample_suspicions(self, now: float) -> list[messages.SuspicionRecord]:
        active = self._table.active_suspicions(now)
        chosen = self._rng.sample(active, min(SUSPICIONS_PER_MESSAGE, len(active)))
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
        reserve_ratio: float,
    ) -> bool:
        frame = codec.encode(message)
        if len(frame) > codec.MAX_FRAME_BYTES:
            self.counts_by_event["too-large-to-send"] += 1
            return False
        if not self._budget.try_spend(
            codec.network_bytes(frame), now, reserve_ratio=reserve_ratio
        ):
            self.counts_by_event["held-back"] += 1
            return False
        self.counts_by_event["sent"] += 1
        return self._link.send(route, frame)

    def _merge_members(self, message: messages.ControlMessage, now: float) -> None:
        reports = [_from_record(record) for record in message.members]
        for report in reports:
            if report.name == message.sender:
                self._table.merge_self_report(report, now)
        self._table.merge([r for r in reports if r.name != message.sender], now)

    def _handle_news(self, message: messages.ControlMessage, now: float) -> None:
        sender = self._table.get(message.sender)
        domain = sender.failure_domain if sender else ""
        contact = self._contacts_by_name.setdefault(message.sender, _Contact(domain))
        contact.failure_domain = domain
        contact.last_contact_at = now
        contact.awaiting_since = None
        contact.missed_answers = 0
        news = message.news
        if news is None:
            return
        contact.revision = news.revision
        contact.ready = news.ready
        origin = source.peer(message.sender, domain)
        for revision in news.conflicts[: store.MAX_CONFLICTS]:
            self._store.record_conflict(revision, origin, now)
        if news.revision > 0 and not self.fetcher.is_avoided(news.digest, now):
            self._store.record_claim(news.revision, news.digest, origin, now)
        if news.revision == self._store.revision() and news.confirmed_by:
            self._merge_confirmation(news, now)

    def _merge_confirmation(self, news: messages.RevisionNews, now: float) -> None:
        """Merge a confirmation that another node received from the platform.

        Each confirmation is identified by its node and stamp and is merged only once.
        Its age does not include the time in transit, so the age of a confirmation that
        circulates among the nodes would otherwise become too low.
        """
        node, stamp = news.confirmed_by, news.confirmed_stamp
        stamps = self._latest_stamps_by_node
        if stamp <= stamps.get(node, 0) or now - self.resumed_at < PAUSE_BACKLOG_S:
            return
        stamps.pop(node, None)
        stamps[node] = stamp
        while len(stamps) > MAX_CONFIRMATION_STAMPS:
            del stamps[next(iter(stamps))]
        confirmed_at = now - max(0, news.confirmed_age_ms) / 1000
        if confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
            self._confirmed_by, self._confirmed_stamp = node, stamp

    def _handle_reports(self, message: messages.ControlMessage, now: float) -> None:
        for record in message.suspicions[:SUSPICIONS_PER_MESSAGE]:
            suspicion = members.Suspicion(
                record.name,
                record.incarnation,
                record.version,
                record.observer,
                record.observer_domain,
                record.age_ms / 1000,
            )
            self._table.add_suspicion(suspicion, now)
        for load in message.loads[:1]:
            received = load.load
            report = model.LoadReport(
                received.running,
                received.queued,
                received.limit,
                received.leaving,
                received.slowness,
            )
            self._hooks.on_load(load.node, report, load.age_ms / 1000)
        transmissions = dissemination.transmit_limit(len(self._table))
        new_records = [
            record
            for record in message.crash_suspects[:QUEUED_RECORDS_PER_MESSAGE]
            if len(record) <= MAX_CRASH_SUSPECT_BYTES
            and self._crash_suspect_queue.add(record, transmissions, now)
        ]
        if new_records:
            self._hooks.on_crash_suspects(new_records)

    def _compare_checksums(
        self, message: messages.ControlMessage, route: Route, now: float
    ) -> None:
        """Schedule requests for the buckets whose checksums differ (anti-entropy)."""
        if (
            len(message.bucket_checksums) != table.BUCKET_COUNT
            or now < self._next_sync_at
        ):
            return
        own_checksums = self._table.bucket_checksums()
        differing = [
            index
            for index, checksum in enumerate(message.bucket_checksums)
            if checksum != own_checksums[index]
        ]
        self._rng.shuffle(differing)
        self._sync_route, self._sync_buckets = route, differing
        self._next_sync_at = now + SYNC_INTERVAL_S

    def _request_buckets(self, now: float) -> None:
        if (
            not self._sync_buckets
            or self._budget.available_ratio(now) < SYNC_RESERVE_RATIO
        ):
            return
        message = self._new_message(now)
        message.wanted_buckets = [
            self._sync_buckets.pop()
            for _ in range(min(BUCKETS_PER_REQUEST, len(self._sync_buckets)))
        ]
        self._send(message, self._sync_route, now, SYNC_RESERVE_RATIO)

    def _reply(
        self, message: messages.ControlMessage, route: Route, now: float
    ) -> None:
        for pull in message.pulls[:PULLS_PER_MESSAGE]:
            reply = self._new_message(now)
            reply.chunks = [fetch.make_chunk(self._store, pull)]
            self._send(reply, route, now, CHUNK_RESERVE_RATIO)
        for bucket in message.wanted_buckets[:BUCKETS_PER_REQUEST]:
            if 0 <= bucket < table.BUCKET_COUNT:
                self._send_bucket(bucket, route, now)
        sender_is_behind = message.news is not None and (
            0 < message.news.revision < self._store.revision()
        )
        if message.answer or sender_is_behind:
            reply = self._new_message(now)
            reply.answers = message.question
            checksums = self._table.bucket_checksums()
            if message.checksum not in (0, _root_checksum(checksums)):
                reply.bucket_checksums = checksums
            reply.members += self._take_queued_members(now)
            reply.crash_suspects = self._crash_suspect_queue.take_batch(
                QUEUED_RECORDS_PER_MESSAGE, now
            )
            reserve_ratio = (
                NEWS_RESERVE_RATIO if sender_is_behind else ROUND_RESERVE_RATIO
            )
            self._send(reply, route, now, reserve_ratio)

    def _send_bucket(self, bucket: int, route: Route, now: float) -> None:
        reports = [m for m in self._table.members_in_bucket(bucket) if m.incarnation]
        for start in range(0, len(reports), MEMBERS_PER_MESSAGE):
            reply = self._new_message(now)
            part = reports[start : start + MEMBERS_PER_MESSAGE]
            reply.members += [_to_record(member) for member in part]
            self._send(reply, route, now, SYNC_RESERVE_RATIO)


def _root_checksum(checksums: Sequence[int]) -> int:
    """Return a checksum over all buckets; never 0, which means no checksum."""
    packed = b"".join(checksum.to_bytes(8) for checksum in checksums)
    return int.from_bytes(hashlib.blake2b(packed, digest_size=7).digest()) + 1


def _members_in_set(objects: model.ObjectSet) -> list[members.Member]:
    """Return the nodes of the endpoints of a set as members without incarnation."""
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


def _to_record(member: members.Member) -> messages.MemberRecord:
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


def _from_record(record: messages.MemberRecord) -> members.Member:
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


def _to_load_message(load: model.LoadReport) -> messages.Load:
    return messages.Load(
        load.running, load.queued, load.limit, load.leaving, load.slowness
    )
