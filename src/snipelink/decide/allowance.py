"""One node's share of an allowance that all nodes use together.

The share is the allowance divided by the number of published machines. Two situations
would let the nodes exceed the allowance:

- After an outage, the platform's store lists only a few of the machines for about two
  seconds, while all machines send calls and many calls fail. Nodes that divided by the
  current number would together use a multiple of the allowance.
- Processes are killed repeatedly and keep no state on the machine, so a new process
  does not know how much its predecessors have used.
"""

from __future__ import annotations

import collections
import dataclasses

# Time for which a larger fleet size still counts after the list has become shorter. It
# exceeds the outages of the store, and of machines' access to it, in fault injection.
FLEET_SIZE_RETENTION_S = 60.0
# Time after the first list before a node begins to earn its share. A list that was
# incomplete at first is complete by then: entries are back within about two seconds of
# the store's recovery, and a node that receives no reports reads the store twice a
# second.
LIST_SETTLE_S = 2.5


@dataclasses.dataclass(slots=True)
class _FleetSize:
    """A number of published machines and the monotonic time until which it held."""

    machine_count: int
    valid_until: float


class NodeShare:
    """Share of one node, based on the largest recently published fleet size.

    A smaller fleet size takes effect only after a delay, because the missing machines
    may be absent from the list only temporarily. A larger one takes effect at once.

    A process earns its share linearly over its first window. A machine therefore uses
    at most two shares in any window, however often its process is restarted: the one
    earned before the window and the one earned during it.
    """

    def __init__(self) -> None:
        # Sizes in decreasing order; the last one is the current size.
        self._recent_sizes: collections.deque[_FleetSize] = collections.deque()
        self._first_published_at: float | None = None

    def on_published(self, machine_count: int, now: float) -> None:
        """Record the number of machines that are published from now on."""
        if self._first_published_at is None and machine_count > 0:
            self._first_published_at = now
        sizes = self._recent_sizes
        if sizes:
            sizes[-1].valid_until = now
        while sizes and sizes[-1].machine_count <= machine_count:
            sizes.pop()
        sizes.append(_FleetSize(machine_count, now))

    def machine_count(self, now: float) -> int:
        """Return the number of machines that share the allowance, at least 1."""
        sizes = self._recent_sizes
        while len(sizes) > 1 and now - sizes[0].valid_until >= FLEET_SIZE_RETENTION_S:
            sizes.popleft()
        return max(1, sizes[0].machine_count) if sizes else 1

    def earned_ratio(self, window_s: float, now: float) -> float:
        """Return the fraction of its share that this process has earned so far."""
        if self._first_published_at is None:
            return 0.0
        known_s = now - self._first_published_at - LIST_SETTLE_S
        return max(0.0, min(1.0, known_s / window_s))

    def share_of(self, total: float, window_s: float, now: float) -> float:
        """Return the amount of a total that this node may use in any window."""
        return total / self.machine_count(now) * self.earned_ratio(window_s, now)
