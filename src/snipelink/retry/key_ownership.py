"""Which endpoint owns an idempotency key, by the key's issue time.

Every revision of the set may move keys to other owners, and nodes adopt a revision at
different times. Ownership therefore depends on the issue time in the key, and the two
sides of a change leave a gap instead of an overlap:

- An owner holds a key only if it knew, no longer than ``lease_s`` ago, that no newer
  revision existed. It loses keys issued later than its last such knowledge plus the
  lease plus the clock skew.
- A new owner gains keys issued later than its adoption of the new revision plus the
  lease plus twice the clock skew.

A handover time in the published set closes the gap: the earlier owners keep the keys
issued up to it, and the later ones take over from it, unless they adopted too late.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection

from snipelink.balance import rendezvous

LEASE_S = 5.0
SKEW_S = 1.0
MAX_PERIODS = 64


@dataclasses.dataclass(slots=True)
class _Period:
    """Issue times, in Unix seconds, for which one set of owners holds the keys."""

    revision: int
    owners: frozenset[str]
    start: float
    end: float = math.inf
    follows_previous: bool = False
    confirmed: bool = False


class KeyOwnership:
    """Owners of the keys of one service as one node knows them; not thread-safe.

    Parameters
    ----------
    lease_s : float
        Time for which a confirmation that no newer revision exists is good.
    skew_s : float
        Most by which the wall clocks of two nodes may differ.
    """

    def __init__(self, lease_s: float = LEASE_S, skew_s: float = SKEW_S) -> None:
        self._lease_s = lease_s
        self._skew_s = skew_s
        self._periods: list[_Period] = []
        self._confirmed_at = -math.inf
        self._confirmed_wall = -math.inf

    @property
    def revision(self) -> int:
        """Return the revision adopted last; 0 before the first."""
        return self._periods[-1].revision if self._periods else 0

    @property
    def skew_s(self) -> float:
        """Return the clock skew that is allowed for."""
        return self._skew_s

    def apply_revision(
        self,
        revision: int,
        owners: Collection[str],
        wall: float,
        handover: float = -math.inf,
    ) -> None:
        """Take over a higher revision; a lower or equal one has no effect.

        Parameters
        ----------
        revision : int
            Revision of the set. When it is not the successor of the last one, keys
            issued around the change have no owner, because a revision in between may
            have given them to another endpoint.
        owners : collection of str
            Endpoints of the service in that set that are not leaving.
        wall : float
            Wall clock, Unix seconds.
        handover : float
            Issue time, in Unix seconds, from which the owners of this revision take
            over; every node must derive the same time from the published set, and
            it must not fall from one revision to the next. It closes the gap for nodes
            that adopt the revision in time and have seen the one before.
        """
        if revision <= self.revision:
            return
        names = frozenset(owners)
        # A revision that this node did not see may have left keys with its earlier
        # owners until its handover time, which is no later than this one's.
        start = max(wall + self._lease_s + 2 * self._skew_s, handover)
        follows = revision == self.revision + 1
        if self._periods:
            current = self._periods[-1]
            if follows and current.owners == names:
                current.revision = revision
                return
            known_until = self._confirmed_wall + self._lease_s + self._skew_s
            current.end = max(current.start, known_until)
            if follows:
                current.end = max(current.end, handover)
            start = max(start, current.end)
        self._periods.append(_Period(revision, names, start, follows_previous=follows))
        del self._periods[:-MAX_PERIODS]
        self._confirmed_at = self._confirmed_wall = -math.inf

    def renew_lease(self, revision: int, now: float, wall: float) -> None:
        """Record that at this moment no revision above the given one was published.

        The caller must have asked at or after ``now``, a source that cannot be stale:
        a majority of the owners, or the platform when its answer is known to be fresh.
        """
        if self._periods and revision == self.revision:
            self._periods[-1].confirmed = True
            self._confirmed_at = max(self._confirmed_at, now)
            self._confirmed_wall = max(self._confirmed_wall, wall)

    def has_lease(self, now: float) -> bool:
        """Return whether the lease on the adopted revision holds."""
        return now - self._confirmed_at <= self._lease_s

    def is_lease_renewal_due(self, now: float) -> bool:
        """Return whether less than half of the lease is left."""
        return now - self._confirmed_at > self._lease_s / 2

    def owner(self, key: str, issued: float) -> str | None:
        """Return the owner of a key issued at a time; None when it has none."""
        following: _Period | None = None
        for period in reversed(self._periods):
            if issued > period.start:
                name = rendezvous.winner(key, period.owners)
                if issued <= period.end:
                    return name
                return name if self._spans_gap(key, name, following) else None
            following = period
        return None

    def route(self, key: str, issued: float) -> str | None:
        """Return the endpoint to send a key to; it may refuse where none owns it."""
        if not self._periods:
            return None
        fallback = rendezvous.winner(key, self._periods[-1].owners)
        return self.owner(key, issued) or fallback

    def _spans_gap(self, key: str, name: str | None, following: _Period | None) -> bool:
        """Return whether one endpoint owns a key on both sides of a change.

        Without a confirmation of the later revision, yet another one may already have
        been in force elsewhere when it was adopted.
        """
        return (
            following is not None
            and following.follows_previous
            and following.confirmed
            and rendezvous.winner(key, following.owners) == name
        )
