"""Estimate of how long the present slowness of an endpoint will last.

The load of some hosts changes at regular times, for example where a scheduler assigns
processor time in fixed periods. An endpoint that has just become fast then stays fast
for a whole period, while one that has been fast for long may become slow at any moment.
The period is estimated from the slowness changes of all endpoints whose load reports a
node receives. If no period is found, a default phase duration is assumed.

The estimate determines whether a call on a slow endpoint is hedged, which waiting calls
can still meet their latency objective and, among many endpoints with free slots, where
a call runs.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence

# Assumed remaining time of the present slowness while no period is known; half of a
# typical phase.
DEFAULT_PHASE_S = 0.25
# Maximum number of gaps between changes that are stored. A node that follows thirty
# endpoints observes as many gaps in a second.
MAX_GAP_COUNT = 120
# Minimum number of gaps for an estimate of the period.
MIN_GAP_COUNT = 16
# Number of new gaps after which the period is estimated again. Each estimate scans all
# stored gaps.
REESTIMATION_GAP_COUNT = 8
# Error of a gap: a change is detected late by up to the time between two polls plus the
# delay of a report.
GAP_TOLERANCE_S = 0.06
# Mean delay until a change is detected.
MEAN_DETECTION_LAG_S = 0.025
# Time after the end of a period during which a change may still be undetected.
MAX_DETECTION_LAG_S = 0.08
# With `GAP_TOLERANCE_S`, shorter periods cannot be distinguished from random gaps.
MIN_PERIOD_S = 0.25
# Fraction of the gaps that must be multiples of a period; of random gaps, about half
# would be.
MIN_FITTING_RATIO = 0.75
# Time without reports after which the time of a change is unknown.
MAX_REPORT_GAP_S = 0.6


class PeriodEstimator:
    """Estimates the period with which the slowness of endpoints changes.

    Attributes
    ----------
    period_s : float or None
        Seconds between two possible changes of an endpoint; None if unknown.
    """

    def __init__(self) -> None:
        self._gaps: collections.deque[float] = collections.deque(maxlen=MAX_GAP_COUNT)
        self._new_gap_count = 0
        self.period_s: float | None = None

    def add_gap(self, gap_s: float) -> None:
        """Add the number of seconds between two changes of one endpoint."""
        self._gaps.append(gap_s)
        self._new_gap_count += 1
        if (
            len(self._gaps) >= MIN_GAP_COUNT
            and self._new_gap_count >= REESTIMATION_GAP_COUNT
        ):
            self._new_gap_count = 0
            self.period_s = _estimate_period_s(self._gaps)

    def phase_left_s(self, changed_at: float | None, now: float) -> float:
        """Return the seconds for which the present slowness is likely to last.

        Parameters
        ----------
        changed_at : float or None
            Monotonic time at which the last change was detected; None if unknown.
        """
        if self.period_s is None or changed_at is None:
            return DEFAULT_PHASE_S
        position_s = (now - changed_at + MEAN_DETECTION_LAG_S) % self.period_s
        just_changed = now - changed_at < MAX_DETECTION_LAG_S
        if position_s < MAX_DETECTION_LAG_S and not just_changed:
            return 0.0
        return self.period_s - position_s


def _estimate_period_s(
    gaps: Sequence[float] | collections.deque[float],
) -> float | None:
    ordered = sorted(gaps)
    shortest = ordered[len(ordered) // 10]
    similar = [gap for gap in ordered if abs(gap - shortest) <= GAP_TOLERANCE_S]
    guess = sum(similar) / len(similar)
    if guess < MIN_PERIOD_S:
        return None
    # Number of periods in each gap that is a multiple of the period.
    counts = {
        index: round(gap / guess)
        for index, gap in enumerate(ordered)
        if _is_multiple(gap, guess)
    }
    if len(counts) < MIN_FITTING_RATIO * len(ordered):
        return None
    return sum(ordered[index] for index in counts) / sum(counts.values())


def _is_multiple(gap: float, period: float) -> bool:
    count = round(gap / period)
    return count >= 1 and abs(gap - count * period) <= GAP_TOLERANCE_S
