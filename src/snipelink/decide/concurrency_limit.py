"""How many calls an endpoint should run at once.

Load pattern: servers whose work takes longer once nearly all of their slots are in
use. At the worst load all slots are in use, so fewer calls are answered a second than
with some slots free, and each of them later. The node beside an endpoint compares the
time of work at each number of running calls, and lets as many run as give most answers.
"""

from __future__ import annotations

import dataclasses
import math

# Numbers of running calls up to this share of the slots are taken as alike.
ALIKE_SHARE = 0.7
# Weight, in calls, of the assumption that work takes as long as expected: the work of
# calls differs by a third, so fewer than these tell little. A number of running calls
# that was not seen is thus tried where the others take longer.
PRIOR_CALLS = 4.0
# Time in which what was seen loses half of its weight, seconds; the effect is looked
# for again after some of these.
HALF_LIFE_S = 20.0
# Largest change of the running calls during one call that still tells their number.
MAX_CHANGE = 1
# Work of one call relative to the expected one beyond which it is taken to be another
# kind of work.
MAX_RATIO = 4.0


@dataclasses.dataclass(slots=True)
class _Mean:
    """Mean of samples that lose their weight with time."""

    total: float = 0.0
    weight: float = 0.0
    at: float = 0.0

    def add(self, sample: float, now: float) -> None:
        """Take over a sample."""
        kept = 0.5 ** ((now - self.at) / HALF_LIFE_S)
        self.total = self.total * kept + sample
        self.weight = self.weight * kept + 1.0
        self.at = now

    def value(self, now: float) -> float:
        """Return the mean, with a prior of some calls that take as expected."""
        kept = 0.5 ** ((now - self.at) / HALF_LIFE_S)
        return (self.total * kept + PRIOR_CALLS) / (self.weight * kept + PRIOR_CALLS)


class ConcurrencyLimit:
    """Work of calls by the number of calls that run beside them."""

    def __init__(self) -> None:
        self._mean_by_running: dict[int, _Mean] = {}

    def record(
        self, running: tuple[int, int], ratio: float, slots: int, now: float
    ) -> None:
        """Take over the work of one answered call.

        Parameters
        ----------
        running : tuple of (int, int)
            Calls that ran at its start and at its end, with itself.
        ratio : float
            Undisturbed seconds of work that it took, relative to the expected ones.
        """
        if abs(running[1] - running[0]) > MAX_CHANGE or not 0.0 < ratio <= MAX_RATIO:
            return
        level = max(*running, _alike(slots))
        self._mean_by_running.setdefault(level, _Mean()).add(ratio, now)

    def limit(self, slots: int, now: float) -> int:
        """Return the number of running calls with most answers a second."""
        if slots <= 1 or not self._mean_by_running:
            return slots
        best, best_rate = slots, 0.0
        for level in range(_alike(slots), slots + 1):
            known = self._mean_by_running.get(level)
            rate = level / (known.value(now) if known else 1.0)
            if rate >= best_rate:
                best, best_rate = level, rate
        return best

    def forget(self) -> None:
        """Forget what was seen of a former process."""
        self._mean_by_running.clear()


def _alike(slots: int) -> int:
    return max(1, math.floor(ALIKE_SHARE * slots))
