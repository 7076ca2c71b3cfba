"""Which part of an allowance that all nodes share one node may use.

Load pattern: a store that comes back after it was away tells for about two seconds of
few of the machines, while all of them send calls and many calls fail. Nodes that divide
by what is published at the moment would take a multiple of the allowance together. And
processes are killed again and again; nothing lasts on a machine, so a new one does not
know what those before it have spent.
"""

from __future__ import annotations

import collections
import dataclasses

# Time for which a larger fleet is remembered, seconds: longer than the store, or
# machines that cannot reach it, are away in the disruptions that operators play.
REMEMBERED_S = 60.0
# Age of the first list from which on a part is earned, seconds: a list that was short
# at the start is whole by then, as entries come back within about two seconds of the
# store's return, and a node that is alone asks twice a second.
SETTLED_S = 2.5


@dataclasses.dataclass(slots=True)
class _Seen:
    """A number of machines that was published until a monotonic time."""

    machines: int
    until: float


class NodeShare:
    """Part of one node, by the largest fleet that was published lately.

    A fleet that shrinks is not believed for a while: its machines may only be missing
    in the list. One that grows is believed at once.

    A part is earned over the first window of a process, after which it is whole. In any
    window a machine then uses at most two parts, however often its processes end: one
    that was earned before it, and what is earned in it.
    """

    def __init__(self) -> None:
        # Falling numbers; the last one is published now.
        self._seen: collections.deque[_Seen] = collections.deque()
        self._first_at: float | None = None

    def on_published(self, machines: int, now: float) -> None:
        """Take over the number of machines that are published from now on."""
        if self._first_at is None and machines > 0:
            self._first_at = now
        seen = self._seen
        if seen:
            seen[-1].until = now
        while seen and seen[-1].machines <= machines:
            seen.pop()
        seen.append(_Seen(machines, now))

    def machine_count(self, now: float) -> int:
        """Return the number of machines that share the allowance; 1 at least."""
        seen = self._seen
        while len(seen) > 1 and now - seen[0].until >= REMEMBERED_S:
            seen.popleft()
        return max(1, seen[0].machines) if seen else 1

    def earned_ratio(self, window_s: float, now: float) -> float:
        """Return the share of the part that this process has earned so far."""
        if self._first_at is None:
            return 0.0
        known_s = now - self._first_at - SETTLED_S
        return max(0.0, min(1.0, known_s / window_s))

    def share_of(self, total: float, window_s: float, now: float) -> float:
        """Return what this node may use of a total, in any window."""
        return total / self.machine_count(now) * self.earned_ratio(window_s, now)
