"""Members of the fleet by name, with merge rules and ages."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import random
import sys
import threading
from collections.abc import Iterable

from snipelink.membership import member as members

BUCKETS = 64
MAX_MEMBERS = 10_000
# Time after which a suspected member that the list lacks counts as gone, and after
# which a departed member is removed.
FORGET_S = 600.0
KEPT_TOMBSTONES = 2_048
TOMBSTONE_S = 3_600.0
SUSPICION_S = 30.0
MAX_SUSPICIONS_PER_MEMBER = 4
OBSERVERS_TO_SUSPECT = 2
DOMAINS_TO_SUSPECT = 2
# A stamp of the platform's clock may differ from a member's clock by this much.
CLOCK_TOLERANCE_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """Entry of the platform's instance list; ``since`` is in Unix seconds."""

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
    heard_at: float
    unlisted_since: float | None = None


@dataclasses.dataclass(slots=True)
class _Note:
    suspicion: members.Suspicion
    since: float


@dataclasses.dataclass(slots=True)
class _Tombstone:
    incarnation: str
    buried_at: float


class MemberTable:
    """Members by name; all methods may be called from any thread.

    A higher incarnation replaces a lower one. Within an incarnation a member that
    leaves never becomes live again. A member counts as suspected only when observers
    in several failure domains can't reach it, so one bad link condemns nobody.

    Parameters
    ----------
    own : Member
        This node.
    now : float
        Time of the start, monotonic seconds.
    rng : random.Random
        Randomness of incarnations.
    """

    def __init__(self, own: members.Member, now: float, rng: random.Random) -> None:
        self.rejected_by_reason: collections.Counter[str] = collections.Counter()
        self._lock = threading.RLock()
        self._rng = rng
        self._own_name = own.name
        self._entries_by_name: dict[str, _Entry] = {}
        self._tombstones_by_name: dict[str, _Tombstone] = {}
        self._checksums = [0] * BUCKETS
        self._names_by_bucket: list[dict[str, None]] = [{} for _ in range(BUCKETS)]
        self._suspicions_by_name: dict[str, dict[str, _Note]] = {}
        self._changes: dict[str, None] = {}
        self._list_revision = -1
        self._put(own, now, heard_at=now)

    @property
    def own(self) -> members.Member:
        """Return this node's own facts."""
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
        """Whether a member is known to leave."""
        entry = self._entries_by_name.get(name)
        return entry is not None and entry.member.state is members.State.LEAVING

    def is_suspected(self, name: str, now: float) -> bool:
        """Whether observers in several failure domains can't reach a member."""
        with self._lock:
            notes = self._suspicions_by_name.get(name, {}).values()
            fresh = [n.suspicion for n in notes if now - n.since < SUSPICION_S]
        domains = {suspicion.observer_domain for suspicion in fresh}
        return len(fresh) >= OBSERVERS_TO_SUSPECT and len(domains) >= DOMAINS_TO_SUSPECT

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
        """Return the time since a sign of life of a member reached this node."""
        entry = self._entries_by_name.get(name)
        return now - entry.heard_at if entry else None

    def take_changes(self) -> list[members.Member]:
        """Return the members that changed since the last call."""
        with self._lock:
            names, self._changes = self._changes, {}
            entries = [self._entries_by_name.get(name) for name in names]
            return [entry.member for entry in entries if entry is not None]

    def observe(self, seen: members.Member, now: float) -> bool:
        """Merge what a member says about itself, which also refutes suspicions."""
        with self._lock:
            changed = self.merge([seen], now) > 0
            entry = self._entries_by_name.get(seen.name)
            if entry is not None and entry.member.incarnation == seen.incarnation:
                entry.heard_at = max(entry.heard_at, now)
                self._suspicions_by_name.pop(seen.name, None)
            return changed

    def merge(self, facts: Iterable[members.Member], now: float) -> int:
        """Merge facts from another node; return how many were news."""
        with self._lock:
            return sum(self._merge(fact, now) for fact in facts)

    def set_leaving(self, now: float) -> None:
        """Announce that this node leaves."""
        with self._lock:
            leaving = dataclasses.replace(self.own, state=members.State.LEAVING)
            self._put(leaving, now, now)

    def merge_list(
        self, listed: Iterable[ListedInstance], revision: int, now: float
    ) -> int:
        """Merge the platform's instance list; return how many facts were news.

        The list lags: it adds members and starts departures, but a member missing in it
        counts as gone only after ``FORGET_S`` and only while it is suspected.
        """
        with self._lock:
            if revision < self._list_revision:
                self.rejected_by_reason["old-list"] += 1
                return 0
            self._list_revision = revision
            listed_by_name = {entry.name: entry for entry in listed}
            news = sum(self._merge_listed(e, now) for e in listed_by_name.values())
            for name, entry in self._entries_by_name.items():
                if name in listed_by_name:
                    entry.unlisted_since = None
                elif entry.unlisted_since is None:
                    entry.unlisted_since = now
            return news

    def unlisted(self) -> list[members.Member]:
        """Return live members that the platform's list lacks."""
        with self._lock:
            return [
                entry.member
                for name, entry in self._entries_by_name.items()
                if entry.unlisted_since is not None
                and entry.member.state is members.State.LIVE
                and name != self._own_name
            ]

    def suspect(self, suspicion: members.Suspicion, now: float) -> bool:
        """Note that an observer can't reach a member; return whether it is news."""
        with self._lock:
            entry = self._entries_by_name.get(suspicion.name)
            if entry is None or suspicion.age_s >= SUSPICION_S:
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
            return self._add_suspicion(suspicion, now - suspicion.age_s)

    def suspicions(self, now: float) -> list[members.Suspicion]:
        """Return the suspicions that have not expired, with their ages."""
        with self._lock:
            return [
                dataclasses.replace(note.suspicion, age_s=max(0.0, now - note.since))
                for notes in self._suspicions_by_name.values()
                for note in notes.values()
                if now - note.since < SUSPICION_S
            ]

    def expire(self, now: float) -> int:
        """Remove departed members and expired notes; return how many were removed."""
        with self._lock:
            gone = []
            for name, entry in list(self._entries_by_name.items()):
                if name == self._own_name:
                    continue
                if self._is_gone(entry, now):
                    left = dataclasses.replace(
                        entry.member, state=members.State.LEAVING
                    )
                    self._put(left, now, entry.heard_at)
                elif self._has_left(entry, now):
                    gone.append(name)
            for name in gone:
                self._bury(name, now)
            self._expire_suspicions(now)
            for name, tombstone in list(self._tombstones_by_name.items()):
                if now - tombstone.buried_at >= TOMBSTONE_S:
                    del self._tombstones_by_name[name]
            return len(gone)

    def checksums(self) -> list[int]:
        """Return a checksum of each bucket of members."""
        with self._lock:
            return list(self._checksums)

    def bucket(self, index: int) -> list[members.Member]:
        """Return the members of one bucket."""
        with self._lock:
            names = self._names_by_bucket[index]
            return [self._entries_by_name[name].member for name in names]

    def _merge(self, fact: members.Member, now: float) -> bool:
        if not members.is_valid_incarnation(fact.incarnation) or not fact.name:
            self.rejected_by_reason["invalid"] += 1
            return False
        if fact.name == self._own_name:
            return self._merge_own(fact, now)
        entry = self._entries_by_name.get(fact.name)
        if entry is None:
            return self._merge_new(fact, now)
        joined = _join(fact, entry.member)
        if joined.rank == entry.member.rank:
            return False
        self._put(joined, now, now)
        return True

    def _merge_new(self, fact: members.Member, now: float) -> bool:
        tombstone = self._tombstones_by_name.get(fact.name)
        if tombstone is not None and fact.incarnation <= tombstone.incarnation:
            return False
        if len(self._entries_by_name) >= MAX_MEMBERS:
            self.rejected_by_reason["full"] += 1
            return False
        self._put(fact, now, now)
        return True

    def _merge_own(self, fact: members.Member, now: float) -> bool:
        """Outrank facts of an earlier start; accept that the platform retires us."""
        own = self.own
        if fact.incarnation > own.incarnation:
            started = members.incarnation_after(
                fact.incarnation, members.started_at_ms(own.incarnation), self._rng
            )
            self._put(dataclasses.replace(own, incarnation=started), now, now)
            return True
        if fact.incarnation < own.incarnation:
            return False
        joined = _join(fact, own)
        if joined.rank == own.rank:
            return False
        if joined.version > own.version:
            joined = dataclasses.replace(joined, version=joined.version + 1)
        self._put(joined, now, now)
        return True

    def _merge_listed(self, listed: ListedInstance, now: float) -> bool:
        entry = self._entries_by_name.get(listed.name)
        if entry is None:
            state = members.State.LEAVING if listed.leaving else members.State.LIVE
            fact = members.Member(
                listed.name,
                state=state,
                failure_domain=listed.failure_domain,
                region=listed.region,
                control_address=listed.control_address,
            )
            return self._merge_new(fact, now)
        if not listed.leaving or entry.member.state is members.State.LEAVING:
            return False
        started = members.started_at_ms(entry.member.incarnation)
        if listed.since * 1000 + CLOCK_TOLERANCE_MS < started:
            return False  # the list still describes the previous incarnation
        self._put(
            dataclasses.replace(entry.member, state=members.State.LEAVING),
            now,
            entry.heard_at,
        )
        return True

    def _refute(self, now: float) -> None:
        own = self.own
        self._put(dataclasses.replace(own, version=own.version + 1), now, now)

    def _add_suspicion(self, suspicion: members.Suspicion, since: float) -> bool:
        notes = self._suspicions_by_name.setdefault(suspicion.name, {})
        known = notes.get(suspicion.observer)
        if known is not None:
            known.since = max(known.since, since)
            return False
        if len(notes) >= MAX_SUSPICIONS_PER_MEMBER:
            return False
        notes[suspicion.observer] = _Note(suspicion, since)
        return True

    def _expire_suspicions(self, now: float) -> None:
        for name, notes in list(self._suspicions_by_name.items()):
            for observer, note in list(notes.items()):
                if now - note.since >= SUSPICION_S:
                    del notes[observer]
            if not notes:
                del self._suspicions_by_name[name]

    def _is_gone(self, entry: _Entry, now: float) -> bool:
        since = entry.unlisted_since
        return (
            since is not None
            and now - since >= FORGET_S
            and entry.member.state is members.State.LIVE
            and self.is_suspected(entry.member.name, now)
        )

    def _has_left(self, entry: _Entry, now: float) -> bool:
        leaving = entry.member.state is members.State.LEAVING
        silent = now - max(entry.heard_at, entry.changed_at) >= FORGET_S
        return leaving and silent

    def _put(self, member: members.Member, now: float, heard_at: float) -> None:
        """Store a member and update checksums; suspicions of an older rank end."""
        name = member.name
        before = self._entries_by_name.get(name)
        bucket = bucket_of(name)
        if before is not None:
            self._checksums[bucket] ^= before.member.checksum()
        self._checksums[bucket] ^= member.checksum()
        self._names_by_bucket[bucket][name] = None
        self._suspicions_by_name.pop(name, None)
        unlisted_since = before.unlisted_since if before else None
        self._entries_by_name[name] = _Entry(
            _intern(member), now, heard_at, unlisted_since
        )
        self._changes[name] = None
        self._tombstones_by_name.pop(name, None)

    def _bury(self, name: str, now: float) -> None:
        entry = self._entries_by_name.pop(name)
        bucket = bucket_of(name)
        self._checksums[bucket] ^= entry.member.checksum()
        del self._names_by_bucket[bucket][name]
        self._changes.pop(name, None)
        self._suspicions_by_name.pop(name, None)
        self._tombstones_by_name[name] = _Tombstone(entry.member.incarnation, now)
        while len(self._tombstones_by_name) > KEPT_TOMBSTONES:
            del self._tombstones_by_name[next(iter(self._tombstones_by_name))]


def bucket_of(name: str) -> int:
    """Return the bucket of a member; equal at every node."""
    digest = hashlib.blake2b(name.encode(), digest_size=2).digest()
    return int.from_bytes(digest) % BUCKETS


def _join(fact: members.Member, known: members.Member) -> members.Member:
    """Return the facts that hold after both; the order of arguments is irrelevant.

    A later start replaces an earlier one. Within an incarnation the higher version and
    the state ``leaving`` hold. Addresses that one side doesn't know are kept.
    """
    if fact.incarnation != known.incarnation:
        newer, older = (
            (fact, known) if fact.incarnation > known.incarnation else (known, fact)
        )
        state, version = newer.state, newer.version
    else:
        newer, older = (fact, known) if fact.rank > known.rank else (known, fact)
        leaving = members.State.LEAVING in (fact.state, known.state)
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


def _intern(member: members.Member) -> members.Member:
    """Share the texts that many members have in common."""
    return dataclasses.replace(
        member,
        failure_domain=sys.intern(member.failure_domain),
        region=sys.intern(member.region),
        service=sys.intern(member.service),
    )
