"""How long the present slowness of an endpoint is likely to last.

Load pattern: hosts whose load shifts at regular times, as where a scheduler deals out
shares of a processor in fixed periods. An endpoint that has just turned quick is then
quick for a whole period, while one that has long been quick may turn slow at once. The
period is learnt from the changes of all endpoints that a node hears of; where there is
none, the mean time of a phase is assumed.

It decides whether a call that runs on a slow endpoint is moved, which waiting calls can
still meet their objective and, among many endpoints with room, where a call runs.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence

# Time for which the present slowness is taken to last while no period is known,
# seconds: half of a phase on the hosts that were measured.
DEFAULT_PHASE_S = 0.25
# Gaps between changes that are kept, and those that are needed for a period; a node
# that hears thirty endpoints sees as many in a second.
MAX_GAPS = 120
MIN_GAPS = 16
# Gaps after which a period is worked out anew; each looks at all gaps that are kept.
RENEW_GAPS = 8
# How late a change may be seen: the time between two polls and of a report, seconds.
TOLERANCE_S = 0.06
# Mean of that time, seconds.
LAG_S = 0.025
# Time after the end of a period in which a change may not have been seen yet, seconds.
UNSURE_S = 0.08
# Shorter periods cannot be told from chance with that tolerance.
MIN_PERIOD_S = 0.25
# Share of gaps that must be multiples of a period; with gaps of any length about half
# of them would be.
MIN_SHARE = 0.75
# A change after a longer time without reports was seen too late to tell its time.
MAX_REPORT_GAP_S = 0.6


class PeriodEstimator:
    """Period with which the slowness of endpoints changes.

    Attributes
    ----------
    period_s : float or None
        Seconds between two times at which an endpoint may change; None if unknown.
    """

    def __init__(self) -> None:
        self._gaps: collections.deque[float] = collections.deque(maxlen=MAX_GAPS)
        self._new_gaps = 0
        self.period_s: float | None = None

    def add_gap(self, gap_s: float) -> None:
        """Take over the seconds between two changes of one endpoint."""
        self._gaps.append(gap_s)
        self._new_gaps += 1
        if len(self._gaps) >= MIN_GAPS and self._new_gaps >= RENEW_GAPS:
            self._new_gaps = 0
            self.period_s = _period_s(self._gaps)

    def phase_left_s(self, changed_at: float | None, now: float) -> float:
        """Return the seconds for which the present slowness is likely to last.

        Parameters
        ----------
        changed_at : float or None
            Monotonic time at which a change was last seen; None if unknown.
        """
        if self.period_s is None or changed_at is None:
            return DEFAULT_PHASE_S
        position_s = (now - changed_at + LAG_S) % self.period_s
        seen_now = now - changed_at < UNSURE_S
        if position_s < UNSURE_S and not seen_now:
            return 0.0
        return self.period_s - position_s


def _period_s(gaps: Sequence[float] | collections.deque[float]) -> float | None:
    ordered = sorted(gaps)
    shortest = ordered[len(ordered) // 10]
    similar = [gap for gap in ordered if abs(gap - shortest) <= TOLERANCE_S]
    guess = sum(similar) / len(similar)
    if guess < MIN_PERIOD_S:
        return None
    # Number of periods in each gap that fits.
    counts = {
        index: round(gap / guess)
        for index, gap in enumerate(ordered)
        if _is_multiple(gap, guess)
    }
    if len(counts) < MIN_SHARE * len(ordered):
        return None
    return sum(ordered[index] for index in counts) / sum(counts.values())


def _is_multiple(gap: float, period: float) -> bool:
    count = round(gap / period)
    return count >= 1 and abs(gap - count * period) <= TOLERANCE_S
