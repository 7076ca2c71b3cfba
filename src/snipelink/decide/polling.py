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

# Time between two polls while a change may come at any time, seconds: slowness changes
# a few times a second, and polling more often than 20 times changed little.
DEFAULT_INTERVAL_S = 0.05
# Time between two polls while none is expected, seconds; also bounds how late a change
# out of step, or the end of an endpoint, is seen.
APART_S = 0.5
# Shortest time between two polls where a change is expected, seconds.
NARROW_S = 0.03
# Time before the earliest expected moment of a change at which polls begin, seconds:
# more than an answer takes.
EARLY_S = 0.005
# Time after the latest expected moment of a change at which it is looked for, seconds.
SETTLE_S = 0.002
# Error of a period, as a share of the time since the last change that was seen.
DRIFT_SHARE = 0.01
# Weight of one change in the share of changes out of step, and the share above which
# the period does not hold for this endpoint. One change in four is in step by chance.
MISS_WEIGHT = 0.25
MAX_MISS_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """Monotonic times between which a change happened."""

    after: float
    until: float

    def moved(self, by_s: float) -> _Change:
        """Return the times of a change that much later."""
        drift_s = by_s * DRIFT_SHARE
        return _Change(self.after + by_s - drift_s, self.until + by_s + drift_s)


class PollSchedule:
    """Times of the polls of one endpoint.

    Parameters
    ----------
    shared : PeriodEstimator
        When endpoints change their slowness.
    """

    def __init__(self, shared: slowness_period.PeriodEstimator) -> None:
        self._rhythm = shared
        self._change: _Change | None = None
        self._reported_at: float | None = None
        self._miss_share = MAX_MISS_SHARE

    def on_report(self, now: float, *, changed: bool) -> None:
        """Note a report of the endpoint, of a poll or of an answer.

        Parameters
        ----------
        changed : bool
            Whether its slowness is another one than in the report before.
        """
        before, self._reported_at = self._reported_at, now
        if not changed:
            return
        if before is None:
            self._change = None
            return
        seen = _Change(before, now)
        expected = self._expected(before)
        if expected is None:
            self._change = seen
            return
        after = max(seen.after, expected.after)
        until = min(seen.until, expected.until)
        missed = after > until
        self._miss_share += MISS_WEIGHT * (missed - self._miss_share)
        self._change = seen if missed else _Change(after, until)

    def reset(self) -> None:
        """Forget the changes of the endpoint's former process."""
        self._change = None
        self._reported_at = None
        self._miss_share = MAX_MISS_SHARE

    def next_at(self, now: float) -> float:
        """Return the monotonic time of the next poll; it may have passed."""
        if self._reported_at is None:
            return now
        last = self._reported_at
        expected = self._expected(last)
        if expected is None or self._miss_share >= MAX_MISS_SHARE:
            return last + DEFAULT_INTERVAL_S
        begins_at = expected.after - EARLY_S
        if last < begins_at:
            # A change that this poll finds is out of step.
            return min(begins_at, last + APART_S)
        width_s = expected.until - expected.after
        step_s = min(DEFAULT_INTERVAL_S, max(NARROW_S, width_s / 2))
        return min(last + step_s, expected.until + SETTLE_S)

    def _expected(self, after: float) -> _Change | None:
        """Return when a change may come that a report at `after` has not shown."""
        period_s = self._rhythm.period_s
        if period_s is None or self._change is None:
            return None
        passed_s = after - self._change.until - SETTLE_S
        count = max(1, math.floor(passed_s / (period_s * (1.0 + DRIFT_SHARE))))
        while after >= self._change.moved(count * period_s).until + SETTLE_S:
            count += 1
        return self._change.moved(count * period_s)
