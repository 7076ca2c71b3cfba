"""Floors of the priorities of the calls that wait for an endpoint.

With strict priorities, urgent calls that are already late would take all slots after a
burst, while timely calls of lower priority are refused. Each priority therefore has a
floor: within it, a timely call starts before late ones of higher priority. A less
urgent kind is never served more than a more urgent one: the floor holds only while all
more urgent kinds were served at least as large a share of the work that they offered.

The node of a caller applies the floors as well, to the calls that it sends to a
service. Otherwise it would refuse the calls that an endpoint's node would start.
"""

from __future__ import annotations

import dataclasses
import math

# Floor of a priority as a fraction of the work that starts.
FLOOR_RATIO = 0.25
# Time constant of the offered and started work of an endpoint, seconds.
TIME_CONSTANT_S = 1.0
# The same of the work that one node sends to a service, which is less.
SENT_TIME_CONSTANT_S = 10.0
# Work of which half is assumed to have at least any given priority, seconds.
PRIOR_OFFERED_S = 1.0
# Work below which nothing is known of the share that was served, seconds.
MIN_OFFERED_S = 1e-3


@dataclasses.dataclass(slots=True)
class _Work:
    """Decaying sums of the offered and the started work of a priority."""

    offered_s: float = 0.0
    started_s: float = 0.0


class ServiceFloor:
    """Work that was offered and started at an endpoint, by priority.

    Parameters
    ----------
    time_constant_s : float
        Time constant of the sums of work.

    Attributes
    ----------
    is_enabled : bool
        Whether floors apply; without them the order is by priority alone.
    """

    def __init__(self, time_constant_s: float = TIME_CONSTANT_S) -> None:
        self.is_enabled = False
        self._time_constant_s = time_constant_s
        self._work_by_priority: dict[int, _Work] = {}
        self._updated_at = 0.0

    def on_offer(self, priority: int, work_s: float, now: float) -> None:
        """Record the work of an offered call."""
        self._decay(now)
        self._work_by_priority.setdefault(priority, _Work()).offered_s += work_s

    def on_start(self, priority: int, work_s: float, now: float) -> None:
        """Record the work of a call that starts."""
        self._decay(now)
        self._work_by_priority.setdefault(priority, _Work()).started_s += work_s

    def holds(self, priority: int) -> bool:
        """Whether timely calls of a priority start before more urgent late ones."""
        if not self.is_enabled:
            return False
        own = self._work_by_priority.get(priority, _Work())
        started_s = sum(each.started_s for each in self._work_by_priority.values())
        if started_s > 0.0 and own.started_s >= FLOOR_RATIO * started_s:
            return False
        more_urgent = [
            work
            for each, work in self._work_by_priority.items()
            if each < priority and work.offered_s > MIN_OFFERED_S
        ]
        served = _served_ratio(own)
        return bool(more_urgent) and all(
            _served_ratio(work) >= served for work in more_urgent
        )

    def share_ahead(self, priority: int) -> float:
        """Return the fraction of waiting calls that start before a timely call.

        Calls of equal or higher priority start before it. Within a floor, few of them
        do: late ones of higher priority follow, and its own kind is served.
        """
        if self.holds(priority):
            return 0.0
        ahead_s = sum(
            work.offered_s
            for each, work in self._work_by_priority.items()
            if each <= priority
        )
        total_s = sum(work.offered_s for work in self._work_by_priority.values())
        return (ahead_s + PRIOR_OFFERED_S / 2) / (total_s + PRIOR_OFFERED_S)

    def starts_first(self, priority: int, *, is_late: bool) -> bool:
        """Whether a waiting call starts before those that exceed their floors.

        These are timely calls of the highest priority and those within their floors.
        Without floors, it holds for all calls.
        """
        if not self.is_enabled:
            return True
        highest = min(self._work_by_priority, default=priority)
        return not is_late and (priority <= highest or self.holds(priority))

    def _decay(self, now: float) -> None:
        decay = math.exp(-max(0.0, now - self._updated_at) / self._time_constant_s)
        self._updated_at = now
        for work in self._work_by_priority.values():
            work.offered_s *= decay
            work.started_s *= decay


def _served_ratio(work: _Work) -> float:
    if work.offered_s <= MIN_OFFERED_S:
        return 0.0
    return min(1.0, work.started_s / work.offered_s)
