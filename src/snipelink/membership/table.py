"""Membership table: the members of the fleet and the rules that merge reports."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import random
import sys
import threading
from collections.abc import Iterable

from snipelink.membership import member as members

BUCKET_COUNT = 64
MAX_MEMBERS = 10_000
# A suspected member that is missing from the platform's list for this long is marked
# as leaving. A leaving member is removed this long after its last contact.
REMOVAL_DELAY_S = 600.0
MAX_TOMBSTONES = 2_048
TOMBSTONE_RETENTION_S = 3_600.0
SUSPICION_TIMEOUT_S = 30.0
MAX_SUSPICIONS_PER_MEMBER = 4
MIN_SUSPECTING_OBSERVERS = 2
MIN_SUSPECTING_DOMAINS = 2
# Maximum assumed difference between the platform's clock and a member's clock.
CLOCK_TOLERANCE_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """Entry of the platform's instance list.

    Attributes
    ----------
    since : float
        Start of the listed state, Unix seconds.
    """

    name: str
    leaving: bool
    since: float = 0.0
    failure_domain: str = ""
    region: str = ""
    control_address: str = ""


@dataclasses.dataclass(slots=True)
class _Entry:
    member: members.Member
    changed_at: float
    last_contact_at: float
    unlisted_since: float | None = None


@dataclasses.dataclass(slots=True)
class _TimedSuspicion:
    """Suspicion with the local monotonic time at which the observer raised it."""

    suspicion: members.Suspicion
    since: float


@dataclasses.dataclass(slots=True)
class _Tombstone:
    """Incarnation of a removed member, so that old reports don't add it again."""

    incarnation: str
    created_at: float


class MemberTable:
    """Thread-safe table of the members of the fleet by name.

    A report with a higher incarnation replaces one with a lower incarnation. Within an
    incarnation, a leaving member never becomes live again. A member is suspected only
    while observers in several failure domains can't reach it, so that one faulty link
    doesn't exclude a healthy member.

    Parameters
    ----------
    own : Member
        Report of this node about itself.
    now : float
        Start time of this node, monotonic seconds.
    rng : random.Random
        Source of the random part of new incarnations.
    """

    def __init__(self, own: members.Member, now: float, rng: random.Random) -> None:
        self.rejected_by_reason: collections.Counter[str] = collections.Counter()
        self._lock = threading.RLock()
        self._rng = rng
        self._own_name = own.name
        self._entries_by_name: dict[str, _Entry] = {}
        self._tombstones_by_name: dict[str, _Tombstone] = {}
        self._bucket_checksums = [0] * BUCKET_COUNT
        self._names_by_bucket: list[dict[str, None]] = [{} for _ in range(BUCKET_COUNT)]
        self._suspicions_by_name: dict[str, dict[str, _TimedSuspicion]] = {}
        self._changes: dict[str, None] = {}
        self._list_revision = -1
        self._store_member(own, now, last_contact_at=now)

    @property
    def own(self) -> members.Member:
        """Return this node as a member."""
        return self._entries_by_name[self._own_name].member

    def get(self, name: str) -> members.Member | None:
        """Return a member by name."""
        entry = self._entries_by_name.get(name)
        return entry.member if entry else None

    def __len__(self) -> int:
        return len(self._entries_by_name)

    def all(self) -> list[members.Member]:
        """Return all members."""
        with self._lock:
            return [entry.member for entry in self._entries_by_name.values()]

    def is_leaving(self, name: str, now: float) -> bool:
        """Whether a member is marked as leaving."""
        entry = self._entries_by_name.get(name)
        return entry is not None and entry.member.state is members.State.LEAVING

    def is_suspected(self, name: str, now: float) -> bool:
        """Whether observers in several failure domains report a member unreachable."""
        with self._lock:
            timed_suspicions = self._suspicions_by_name.get(name, {}).values()
            active = [
                timed.suspicion
                for timed in timed_suspicions
                if now - timed.since < SUSPICION_TIMEOUT_S
            ]
        domains = {suspicion.observer_domain for suspicion in active}
        return (
            len(active) >= MIN_SUSPECTING_OBSERVERS
            and len(domains) >= MIN_SUSPECTING_DOMAINS
        )

    def state(self, name: str, now: float) -> members.State | None:
        """Return the state of a member, None when it is unknown."""
        entry = self._entries_by_name.get(name)
        if entry is None or entry.member.state is members.State.LEAVING:
            return entry.member.state if entry else None
        suspected = self.is_suspected(name, now)
        return members.State.SUSPECTED if suspected else members.State.LIVE

    def usable(self, now: float) -> list[members.Member]:
        """Return the members that are neither leaving nor suspected."""
        with self._lock:
            suspected = {
                name
                for name in self._suspicions_by_name
                if self.is_suspected(name, now)
            }
            return [
                entry.member
                for name, entry in self._entries_by_name.items()
                if entry.member.state is members.State.LIVE and name not in suspected
            ]

    def contact_age_s(self, name: str, now: float) -> float | None:
        """Return the time since the last contact with a member, None if it is unknown.

        A contact is a message from the member, or a report from another node that
        changed the member's entry.
        """
        entry = self._entries_by_name.get(name)
        return now - entry.last_contact_at if entry else None

    def drain_changes(self) -> list[members.Member]:
        """Return the members that changed since the previous call."""
        with self._lock:
            names, self._changes = self._changes, {}
            entries = [self._entries_by_name.get(name) for name in names]
            return [entry.member for entry in entries if entry is not None]

    def merge_self_report(self, report: members.Member, now: float) -> bool:
        """Merge a member's report about itself; return whether its entry changed.

        A message from the member itself also clears the suspicions about it.
        """
        with self._lock:
            changed = self.merge([report], now) > 0
            entry = self._entries_by_name.get(report.name)
            if entry is not None and entry.member.incarnation == report.incarnation:
                entry.last_contact_at = max(entry.last_contact_at, now)
                self._suspicions_by_name.pop(report.name, None)
            return changed

    def merge(self, reports: Iterable[members.Member], now: float) -> int:
        """Merge reports from another node; return how many entries changed."""
        with self._lock:
            return sum(self._merge(report, now) for report in reports)

    def set_leaving(self, now: float) -> None:
        """Mark this node as leaving."""
        with self._lock:
            leaving = dataclasses.replace(self.own, state=members.State.LEAVING)
            self._store_member(leaving, now, now)

    def merge_instance_list(
        self, listed: Iterable[ListedInstance], revision: int, now: float
    ) -> int:
        """Merge the platform's instance list; return how many entries changed.

        The list adds members and marks members as leaving. It lags behind the fleet,
        so a member that is missing from the list is marked as leaving only after
        ``REMOVAL_DELAY_S``, and only while it is suspected.
        """
        with self._lock:
            if revision < self._list_revision:
                self.rejected_by_reason["old-list"] += 1
                return 0
            self._list_revision = revision
            listed_by_name = {entry.name: entry for entry in listed}
            changed_count = sum(
                self._merge_listed_instance(e, now) for e in listed_by_name.values()
            )
            for name, entry in self._entries_by_name.items():
                if name in listed_by_name:
                    entry.unlisted_since = None
                elif entry.unlisted_since is None:
                    entry.unlisted_since = now
            return changed_count

    def unlisted_members(self) -> list[members.Member]:
        """Return the other live members that are missing from the platform's list."""
        with self._lock:
            return [
                entry.member
                for name, entry in self._entries_by_name.items()
                if entry.unlisted_since is not None
                and entry.member.state is members.State.LIVE
                and name != self._own_name
            ]

    def add_suspicion(self, suspicion: members.Suspicion, now: float) -> bool:
        """Add a report that a member is unreachable; return whether it is new.

        Reports about another incarnation or version are ignored. A suspicion about
        this node is refuted by raising this node's version.
        """
        with self._lock:
            entry = self._entries_by_name.get(suspicion.name)
            if entry is None or suspicion.age_s >= SUSPICION_TIMEOUT_S:
                return False
            member = entry.member
            if (member.incarnation, member.version) != (
                suspicion.incarnation,
                suspicion.version,
            ):
                return False
            if suspicion.name == self._own_name:
                self._refute(now)
                return True
            return self._record_suspicion(suspicion, now - suspicion.age_s)

    def active_suspicions(self, now: float) -> list[members.Suspicion]:
        """Return the suspicions that have not expired, with their current ages."""
        with self._lock:
            return [
                dataclasses.replace(timed.suspicion, age_s=max(0.0, now - timed.since))
                for timed_by_observer in self._suspicions_by_name.values()
                for timed in timed_by_observer.values()
                if now - timed.since < SUSPICION_TIMEOUT_S
            ]

    def expire(self, now: float) -> int:
        """Remove expired members, suspicions and tombstones.

        Returns
        -------
        int
            Number of members that were removed.
        """
        with self._lock:
            removable = []
            for name, entry in list(self._entries_by_name.items()):
                if name == self._own_name:
                    continue
                if self._is_presumed_failed(entry, now):
                    departed = dataclasses.replace(
                        entry.member, state=members.State.LEAVING
                    )
                    self._store_member(departed, now, entry.last_contact_at)
                elif self._is_removable(entry, now):
                    removable.append(name)
            for name in removable:
                self._remove_member(name, now)
            self._expire_suspicions(now)
            for name, tombstone in list(self._tombstones_by_name.items()):
                if now - tombstone.created_at >= TOMBSTONE_RETENTION_S:
                    del self._tombstones_by_name[name]
            return len(removable)

    def bucket_checksums(self) -> list[int]:
        """Return the checksum of each bucket, for anti-entropy between nodes."""
        with self._lock:
            return list(self._bucket_checksums)

    def members_in_bucket(self, index: int) -> list[members.Member]:
        """Return the members of one bucket."""
        with self._lock:
            names = self._names_by_bucket[index]
            return [self._entries_by_name[name].member for name in names]

    def _merge(self, report: members.Member, now: float) -> bool:
        if not members.is_valid_incarnation(report.incarnation) or not report.name:
            self.rejected_by_reason["invalid"] += 1
            return False
        if report.name == self._own_name:
            return self._merge_own(report, now)
        entry = self._entries_by_name.get(report.name)
        if entry is None:
            return self._merge_new(report, now)
        combined = _combine(report, entry.member)
        if combined.rank == entry.member.rank:
            return False
        self._store_member(combined, now, now)
        return True

    def _merge_new(self, report: members.Member, now: float) -> bool:
        tombstone = self._tombstones_by_name.get(report.name)
        if tombstone is not None and report.incarnation <= tombstone.incarnation:
            return False
        if len(self._entries_by_name) >= MAX_MEMBERS:
            self.rejected_by_reason["full"] += 1
            return False
        self._store_member(report, now, now)
        return True

    def _merge_own(self, report: members.Member, now: float) -> bool:
        """Merge a report about this node; return whether its entry changed.

        A higher incarnation than the own one belongs to an earlier start whose clock
        was ahead; this node then takes an incarnation that sorts after it. The state
        ``leaving`` under the own incarnation is adopted, because the platform may
        retire this node. If the report has a higher version, this node takes the next
        version.
        """
        own = self.own
        if report.incarnation > own.incarnation:
            started = members.incarnation_after(
                report.incarnation, members.started_at_ms(own.incarnation), self._rng
            )
            self._store_member(dataclasses.replace(own, incarnation=started), now, now)
            return True
        if report.incarnation < own.incarnation:
            return False
        combined = _combine(report, own)
        if combined.rank == own.rank:
            return False
        if combined.version > own.version:
            combined = dataclasses.replace(combined, version=combined.version + 1)
        self._store_member(combined, now, now)
        return True

    def _merge_listed_instance(self, listed: ListedInstance, now: float) -> bool:
        entry = self._entries_by_name.get(listed.name)
        if entry is None:
            state = members.State.LEAVING if listed.leaving else members.State.LIVE
            report = members.Member(
                listed.name,
                state=state,
                failure_domain=listed.failure_domain,
                region=listed.region,
                control_address=listed.control_address,
            )
            return self._merge_new(report, now)
        if not listed.leaving or entry.member.state is members.State.LEAVING:
            return False
        started = members.started_at_ms(entry.member.incarnation)
        if listed.since * 1000 + CLOCK_TOLERANCE_MS < started:
            return False  # the list entry describes the previous incarnation
        self._store_member(
            dataclasses.replace(entry.member, state=members.State.LEAVING),
            now,
            entry.last_contact_at,
        )
        return True

    def _refute(self, now: float) -> None:
        own = self.own
        self._store_member(dataclasses.replace(own, version=own.version + 1), now, now)

    def _record_suspicion(self, suspicion: members.Suspicion, since: float) -> bool:
        timed_by_observer = self._suspicions_by_name.setdefault(suspicion.name, {})
        existing = timed_by_observer.get(suspicion.observer)
        if existing is not None:
            existing.since = max(existing.since, since)
            return False
        if len(timed_by_observer) >= MAX_SUSPICIONS_PER_MEMBER:
            return False
        timed_by_observer[suspicion.observer] = _TimedSuspicion(suspicion, since)
        return True

    def _expire_suspicions(self, now: float) -> None:
        for name, timed_by_observer in list(self._suspicions_by_name.items()):
            for observer, timed in list(timed_by_observer.items()):
                if now - timed.since >= SUSPICION_TIMEOUT_S:
                    del timed_by_observer[observer]
            if not timed_by_observer:
                del self._suspicions_by_name[name]

    def _is_presumed_failed(self, entry: _Entry, now: float) -> bool:
        since = entry.unlisted_since
        return (
            since is not None
            and now - since >= REMOVAL_DELAY_S
            and entry.member.state is members.State.LIVE
            and self.is_suspected(entry.member.name, now)
        )

    def _is_removable(self, entry: _Entry, now: float) -> bool:
        leaving = entry.member.state is members.State.LEAVING
        out_of_contact = (
            now - max(entry.last_contact_at, entry.changed_at) >= REMOVAL_DELAY_S
        )
        return leaving and out_of_contact

    def _store_member(
        self, member: members.Member, now: float, last_contact_at: float
    ) -> None:
        """Store a member, update its bucket checksum and clear its suspicions."""
        name = member.name
        previous = self._entries_by_name.get(name)
        bucket = bucket_of(name)
        if previous is not None:
            self._bucket_checksums[bucket] ^= previous.member.checksum()
        self._bucket_checksums[bucket] ^= member.checksum()
        self._names_by_bucket[bucket][name] = None
        self._suspicions_by_name.pop(name, None)
        unlisted_since = previous.unlisted_since if previous else None
        self._entries_by_name[name] = _Entry(
            _intern_strings(member), now, last_contact_at, unlisted_since
        )
        self._changes[name] = None
        self._tombstones_by_name.pop(name, None)

    def _remove_member(self, name: str, now: float) -> None:
        entry = self._entries_by_name.pop(name)
        bucket = bucket_of(name)
        self._bucket_checksums[bucket] ^= entry.member.checksum()
        del self._names_by_bucket[bucket][name]
        self._changes.pop(name, None)
        self._suspicions_by_name.pop(name, None)
        self._tombstones_by_name[name] = _Tombstone(entry.member.incarnation, now)
        while len(self._tombstones_by_name) > MAX_TOMBSTONES:
            del self._tombstones_by_name[next(iter(self._tombstones_by_name))]


def bucket_of(name: str) -> int:
    """Return the bucket of a member; all nodes compute the same one."""
    digest = hashlib.blake2b(name.encode(), digest_size=2).digest()
    return int.from_bytes(digest) % BUCKET_COUNT


def _combine(report: members.Member, existing: members.Member) -> members.Member:
    """Return the result of merging two reports; the operation is commutative.

    The higher incarnation replaces the lower one. Within an incarnation, the higher
    version and the state ``leaving`` win. Fields that are empty in the newer report are
    filled from the older one.
    """
    if report.incarnation != existing.incarnation:
        newer, older = (
            (report, existing)
            if report.incarnation > existing.incarnation
            else (existing, report)
        )
        state, version = newer.state, newer.version
    else:
        newer, older = (
            (report, existing) if report.rank > existing.rank else (existing, report)
        )
        leaving = members.State.LEAVING in (report.state, existing.state)
        state = members.State.LEAVING if leaving else members.State.LIVE
        version = newer.version
    return dataclasses.replace(
        newer,
        state=state,
        version=version,
        failure_domain=newer.failure_domain or older.failure_domain,
        region=newer.region or older.region,
        service=newer.service or older.service,
        control_address=newer.control_address or older.control_address,
    )


def _intern_strings(member: members.Member) -> members.Member:
    """Intern the strings that many members have in common, to save memory."""
    return dataclasses.replace(
        member,
        failure_domain=sys.intern(member.failure_domain),
        region=sys.intern(member.region),
        service=sys.intern(member.service),
    )
