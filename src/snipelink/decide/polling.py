"""When a node polls its endpoint for its load.

The slowness of an endpoint changes at regular times (see `slowness_period`). A poll
between two such times returns nothing new, while a change that is detected late sends
calls to an endpoint that has just become slow. Polls are therefore frequent around the
times at which a change may occur and rare otherwise. While no period is known, or
changes do not follow it, polls are evenly spaced at a short interval.
"""

from __future__ import annotations

import dataclasses
import math

from snipelink.decide import slowness_period

# Interval of polls while a change may occur at any time. Slowness changes a few times
# per second; polling more than 20 times per second brings little benefit.
DEFAULT_INTERVAL_S = 0.05
# Interval of polls while no change is expected. It bounds the time until an unexpected
# change, or the end of the endpoint, is detected.
MAX_INTERVAL_S = 0.5
# Minimum interval of polls while a change is expected.
MIN_INTERVAL_S = 0.03
# Time between a poll and the earliest expected time of a change; it exceeds the time
# that an answer takes.
LEAD_S = 0.005
# Time between the latest expected time of a change and the poll that should detect it.
TRAIL_S = 0.002
# Error of a predicted change, as a fraction of the time since the last change.
PERIOD_ERROR_RATIO = 0.01
# Weight of one change in the moving average of the miss ratio, the fraction of changes
# outside their expected windows.
MISS_WEIGHT = 0.25
# Miss ratio from which the period is considered invalid for this endpoint. One random
# change in four falls into an expected window by chance.
MAX_MISS_RATIO = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class _ChangeWindow:
    """Monotonic times between which a change occurred or may occur."""

    earliest: float
    latest: float

    def shifted(self, by_s: float) -> _ChangeWindow:
        """Return the window of a change that occurs `by_s` seconds later."""
        drift_s = by_s * PERIOD_ERROR_RATIO
        return _ChangeWindow(
            self.earliest + by_s - drift_s, self.latest + by_s + drift_s
        )


class PollSchedule:
    """Schedules the polls of one endpoint.

    Parameters
    ----------
    period_estimator : PeriodEstimator
        Estimates the period of the slowness changes.
    """

    def __init__(self, period_estimator: slowness_period.PeriodEstimator) -> None:
        self._period_estimator = period_estimator
        self._last_change: _ChangeWindow | None = None
        self._last_report_at: float | None = None
        self._miss_ratio = MAX_MISS_RATIO

    def on_report(self, now: float, *, changed: bool) -> None:
        """Record a load report of the endpoint, received with a poll or an answer.

        Parameters
        ----------
        changed : bool
            Whether the slowness differs from the one in the previous report.
        """
        previous_at, self._last_report_at = self._last_report_at, now
        if not changed:
            return
        if previous_at is None:
            self._last_change = None
            return
        observed = _ChangeWindow(previous_at, now)
        expected = self._next_change(previous_at)
        if expected is None:
            self._last_change = observed
            return
        earliest = max(observed.earliest, expected.earliest)
        latest = min(observed.latest, expected.latest)
        missed = earliest > latest
        self._miss_ratio += MISS_WEIGHT * (missed - self._miss_ratio)
        self._last_change = observed if missed else _ChangeWindow(earliest, latest)

    def reset(self) -> None:
        """Discard the recorded changes, after the endpoint's process was replaced."""
        self._last_change = None
        self._last_report_at = None
        self._miss_ratio = MAX_MISS_RATIO

    def next_at(self, now: float) -> float:
        """Return the monotonic time of the next poll, which may be in the past."""
        if self._last_report_at is None:
            return now
        last = self._last_report_at
        expected = self._next_change(last)
        if expected is None or self._miss_ratio >= MAX_MISS_RATIO:
            return last + DEFAULT_INTERVAL_S
        begins_at = expected.earliest - LEAD_S
        if last < begins_at:
            # This poll is before the expected window; it detects unexpected changes.
            return min(begins_at, last + MAX_INTERVAL_S)
        width_s = expected.latest - expected.earliest
        step_s = min(DEFAULT_INTERVAL_S, max(MIN_INTERVAL_S, width_s / 2))
        return min(last + step_s, expected.latest + TRAIL_S)

    def _next_change(self, after: float) -> _ChangeWindow | None:
        """Return the window of the next change that a report at `after` cannot show."""
        period_s = self._period_estimator.period_s
        if period_s is None or self._last_change is None:
            return None
        passed_s = after - self._last_change.latest - TRAIL_S
        count = max(1, math.floor(passed_s / (period_s * (1.0 + PERIOD_ERROR_RATIO))))
        while after >= self._last_change.shifted(count * period_s).latest + TRAIL_S:
            count += 1
        return self._last_change.shifted(count * period_s)
