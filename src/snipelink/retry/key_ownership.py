"""Ownership of idempotency keys by endpoints, depending on the issue time of a key.

Each revision of the published set of objects may assign keys to other owners, and nodes
apply a revision at different times. Two nodes must never own a key at once. Ownership
therefore depends on the issue time in the key, and a change of owners leaves a gap of
issue times without an owner rather than an overlap:

- An owner holds a lease of ``lease_s``, which it renews on each confirmation that no
  newer revision exists. When it applies a newer revision, it no longer owns keys issued
  after the last renewal plus the lease plus the maximum clock skew.
- A new owner owns keys issued after the time at which it applied the new revision plus
  the lease plus twice the maximum clock skew.

A handover time derived from the published set closes the gap. The previous owners keep
the keys issued up to that time, and the new owners own the keys issued after it, unless
a new owner applied the revision too late.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection

from snipelink.balance import rendezvous

LEASE_S = 5.0
MAX_SKEW_S = 1.0
MAX_PERIOD_COUNT = 64


@dataclasses.dataclass(slots=True)
class _OwnershipPeriod:
    """Range of issue times, in Unix seconds, for which one set of owners is valid."""

    revision: int
    owners: frozenset[str]
    start: float
    end: float = math.inf
    follows_previous: bool = False
    confirmed: bool = False


class KeyOwnership:
    """Owners of the keys of one service, as known to one node; not thread-safe.

    Parameters
    ----------
    lease_s : float
        Time for which the confirmation that no newer revision exists is valid.
    max_skew_s : float
        Maximum difference between the wall clocks of two nodes.
    """

    def __init__(
        self, lease_s: float = LEASE_S, max_skew_s: float = MAX_SKEW_S
    ) -> None:
        self._lease_s = lease_s
        self._max_skew_s = max_skew_s
        self._periods: list[_OwnershipPeriod] = []
        self._lease_renewed_at = -math.inf
        self._lease_renewed_wall_time = -math.inf

    @property
    def revision(self) -> int:
        """Return the revision applied last; 0 before the first."""
        return self._periods[-1].revision if self._periods else 0

    @property
    def max_skew_s(self) -> float:
        """Return the maximum clock skew between two nodes."""
        return self._max_skew_s

    def apply_revision(
        self,
        revision: int,
        owners: Collection[str],
        wall_time: float,
        handover_time: float = -math.inf,
    ) -> None:
        """Apply the owners of a higher revision; a lower or equal one has no effect.

        Parameters
        ----------
        revision : int
            Revision of the set. When it does not directly follow the last one, keys
            issued around the change have no owner, because a skipped revision may have
            assigned them to another endpoint.
        owners : collection of str
            Endpoints of the service in that set, without those that are leaving.
        wall_time : float
            Current wall clock time, Unix seconds.
        handover_time : float
            Issue time, in Unix seconds, after which the owners of this revision own the
            keys. Every node must derive the same time from the published set, and the
            time must not decrease from one revision to the next. It closes the gap for
            nodes that apply the revision in time and have applied the previous one.
        """
        if revision <= self.revision:
            return
        names = frozenset(owners)
        # A skipped revision may leave keys with its previous owners until its handover
        # time, which is no later than the handover time of this revision.
        start = max(wall_time + self._lease_s + 2 * self._max_skew_s, handover_time)
        follows_last = revision == self.revision + 1
        if self._periods:
            current = self._periods[-1]
            if follows_last and current.owners == names:
                current.revision = revision
                return
            owned_until = (
                self._lease_renewed_wall_time + self._lease_s + self._max_skew_s
            )
            current.end = max(current.start, owned_until)
            if follows_last:
                current.end = max(current.end, handover_time)
            start = max(start, current.end)
        self._periods.append(
            _OwnershipPeriod(revision, names, start, follows_previous=follows_last)
        )
        del self._periods[:-MAX_PERIOD_COUNT]
        self._lease_renewed_at = self._lease_renewed_wall_time = -math.inf

    def renew_lease(self, revision: int, now: float, wall_time: float) -> None:
        """Renew the lease: no revision above the given one was published at ``now``.

        The caller must have queried, at or after ``now``, a source that cannot return a
        stale read: a majority of the owners, or the platform with a fresh answer.
        """
        if self._periods and revision == self.revision:
            self._periods[-1].confirmed = True
            self._lease_renewed_at = max(self._lease_renewed_at, now)
            self._lease_renewed_wall_time = max(
                self._lease_renewed_wall_time, wall_time
            )

    def has_lease(self, now: float) -> bool:
        """Return whether the lease on the applied revision is valid."""
        return now - self._lease_renewed_at <= self._lease_s

    def is_lease_renewal_due(self, now: float) -> bool:
        """Return whether less than half of the lease is left."""
        return now - self._lease_renewed_at > self._lease_s / 2

    def owner(self, key: str, issued_at: float) -> str | None:
        """Return the owner of a key with this issue time; None when it has none."""
        following: _OwnershipPeriod | None = None
        for period in reversed(self._periods):
            if issued_at > period.start:
                name = rendezvous.highest_ranked(key, period.owners)
                if issued_at <= period.end:
                    return name
                return (
                    name if self._owns_before_and_after(key, name, following) else None
                )
            following = period
        return None

    def route(self, key: str, issued_at: float) -> str | None:
        """Return the endpoint to send a key to; it refuses a key without an owner."""
        if not self._periods:
            return None
        fallback = rendezvous.highest_ranked(key, self._periods[-1].owners)
        return self.owner(key, issued_at) or fallback

    def _owns_before_and_after(
        self, key: str, name: str | None, following: _OwnershipPeriod | None
    ) -> bool:
        """Return whether one endpoint owns a key before and after a change.

        The later revision must have been confirmed. Otherwise an even newer revision
        may have been in force on other nodes when this node applied the later one.
        """
        return (
            following is not None
            and following.follows_previous
            and following.confirmed
            and rendezvous.highest_ranked(key, following.owners) == name
        )
