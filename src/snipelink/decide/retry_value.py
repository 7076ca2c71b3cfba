"""Which further attempts get the last of a retry budget.

Nodes share a budget for further attempts with all others, so a node's part of it is
small. Where calls fail in quick succession, those that fail first would use it up,
whether or not their answers are still of use. Once little is left, further attempts are
granted by what they are worth.
"""

from __future__ import annotations

import enum

# Fraction of the budget from which on all attempts are granted.
AMPLE_RATIO = 0.5
# Fraction of the budget below which only the most urgent operations get attempts.
SCARCE_RATIO = 0.2
# Time for which an operation that asked for an attempt counts as present, seconds.
DEMAND_RETENTION_S = 2.0


class Denial(enum.Enum):
    """Why a further attempt is denied although the budget is not used up."""

    LATE = "late"
    LESS_URGENT = "less-urgent"


class DemandTracker:
    """Priorities of the calls that recently asked for further attempts, by service."""

    def __init__(self) -> None:
        self._last_at_by_priority: dict[str, dict[int, float]] = {}

    def record(self, service: str, priority: int, now: float) -> None:
        """Record that a call of a priority asks for a further attempt."""
        self._last_at_by_priority.setdefault(service, {})[priority] = now

    def is_most_urgent(self, service: str, priority: int, now: float) -> bool:
        """Whether no more urgent call has recently asked for a further attempt."""
        last_at_by_priority = self._last_at_by_priority.get(service, {})
        for other in [
            other
            for other, at in last_at_by_priority.items()
            if now - at > DEMAND_RETENTION_S
        ]:
            del last_at_by_priority[other]
        return all(priority <= other for other in last_at_by_priority)

    def retain(self, services: set[str]) -> None:
        """Discard the services that are not among the given ones."""
        for service in [s for s in self._last_at_by_priority if s not in services]:
            del self._last_at_by_priority[service]


def remaining_ratio(available: float, granted: int) -> float:
    """Return the fraction of a budget that is left after one more attempt.

    Parameters
    ----------
    available : float
        Attempts that could be spent now.
    granted : int
        Attempts that were granted in the last window.
    """
    total = available + granted
    return max(0.0, available - 1.0) / total if total > 0.0 else 0.0


def denial(
    left_ratio: float, *, is_in_time: bool, is_most_urgent: bool
) -> Denial | None:
    """Return why a further attempt is denied; None if it is granted.

    Parameters
    ----------
    left_ratio : float
        Fraction of the budget that is left after the attempt.
    is_in_time : bool
        Whether the attempt can still meet the latency objective of its call.
    is_most_urgent : bool
        Whether no more urgent operation of the service is in need of attempts.
    """
    if left_ratio >= AMPLE_RATIO:
        return None
    if not is_in_time:
        return Denial.LATE
    if left_ratio < SCARCE_RATIO and not is_most_urgent:
        return Denial.LESS_URGENT
    return None
