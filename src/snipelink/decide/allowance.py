"""Which part of an allowance that all nodes share one node may use.

Load pattern: a store that comes back after it was away tells for about two seconds of
few of the machines, while all of them send calls and many calls fail. Nodes that divide
by what is published at the moment would take a multiple of the allowance together.
"""

from __future__ import annotations

import collections
import dataclasses

# Time for which a larger fleet is remembered, seconds: longer than the store, or
# machines that cannot reach it, are away in the disruptions that operators play.
REMEMBERED_S = 60.0


@dataclasses.dataclass(slots=True)
class _Seen:
    """A number of machines that was published until a monotonic time."""

    machines: int
    until: float


class Part:
    """Part of one node, by the largest fleet that was published lately.

    A fleet that shrinks is not believed for a while: its machines may only be missing
    in the list. One that grows is believed at once.
    """

    def __init__(self) -> None:
        # Falling numbers; the last one is published now.
        self._seen: collections.deque[_Seen] = collections.deque()

    def on_published(self, machines: int, now: float) -> None:
        """Take over the number of machines that are published from now on."""
        seen = self._seen
        if seen:
            seen[-1].until = now
        while seen and seen[-1].machines <= machines:
            seen.pop()
        seen.append(_Seen(machines, now))

    def machines(self, now: float) -> int:
        """Return the number of machines that share the allowance; 1 at least."""
        seen = self._seen
        while len(seen) > 1 and now - seen[0].until >= REMEMBERED_S:
            seen.popleft()
        return max(1, seen[0].machines) if seen else 1

    def of(self, total: float, now: float) -> float:
        """Return what this node may use of a total."""
        return total / self.machines(now)
