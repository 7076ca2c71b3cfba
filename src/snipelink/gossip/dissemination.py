"""Records that are forwarded a limited number of times."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Hashable
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)


def transmit_limit(members: int) -> int:
    """Return how often a node forwards a record in a fleet of this size.

    Random forwarding reaches all of ``n`` nodes after about ``ln n`` sends by each; the
    comparison of checksums finds the nodes that were missed.
    """
    return math.ceil(math.log2(members + 2))


@dataclasses.dataclass(slots=True)
class _Rumour:
    sends_left: int
    expires_at: float


class Queue(Generic[Item]):
    """Records by value, bounded in number, sends and time.

    Parameters
    ----------
    capacity : int
        Records kept; the oldest is dropped first.
    keep_s : float
        Time for which a record is remembered, so that it is news only once.
    """

    def __init__(self, capacity: int, keep_s: float) -> None:
        self._capacity = capacity
        self._keep_s = keep_s
        self._rumours: dict[Item, _Rumour] = {}

    def __len__(self) -> int:
        return len(self._rumours)

    def add(self, item: Item, sends: int, now: float) -> bool:
        """Add a record to forward; return whether it is news."""
        if item in self._rumours:
            return False
        while len(self._rumours) >= self._capacity:
            del self._rumours[next(iter(self._rumours))]
        self._rumours[item] = _Rumour(sends, now + self._keep_s)
        return True

    def take_batch(self, count: int, now: float) -> list[Item]:
        """Return records to send now, those sent least often first."""
        self._expire(now)
        waiting = [item for item, r in self._rumours.items() if r.sends_left > 0]
        waiting.sort(key=lambda item: -self._rumours[item].sends_left)
        for item in waiting[:count]:
            self._rumours[item].sends_left -= 1
        return waiting[:count]

    def has_pending(self) -> bool:
        """Whether any record is still to be sent."""
        return any(r.sends_left > 0 for r in self._rumours.values())

    def _expire(self, now: float) -> None:
        for item, rumour in list(self._rumours.items()):
            if now >= rumour.expires_at:
                del self._rumours[item]
