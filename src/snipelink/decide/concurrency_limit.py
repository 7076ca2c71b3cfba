"""Adaptive limit on the number of calls that run concurrently on an endpoint.

Some servers become slower once nearly all of their slots are in use. Under overload
all slots would be in use, which gives a lower throughput and a higher latency than
leaving some slots free. The node beside an endpoint measures the duration of calls at
each concurrency level and selects the level with the highest throughput.
"""

from __future__ import annotations

import dataclasses
import math

# Up to this fraction of the slots, concurrency is assumed not to affect durations.
UNCROWDED_RATIO = 0.7
# Weight, in calls, of the prior that calls take as long as expected. Durations vary by
# a third, so fewer samples are not conclusive. Because of the prior, a level without
# samples is tried once calls at the other levels take longer.
PRIOR_WEIGHT_CALLS = 4.0
# Half-life of the weight of samples; after a few half-lives a level that was avoided
# is tried again.
HALF_LIFE_S = 20.0
# Calls during which the concurrency changed by more cannot be assigned to a level.
MAX_CONCURRENCY_CHANGE = 1
# Calls that took a larger multiple of the expected work are ignored as outliers, since
# they do another kind of work.
MAX_WORK_RATIO = 4.0


@dataclasses.dataclass(slots=True)
class _DecayingMean:
    """Mean of samples whose weight decays exponentially."""

    total: float = 0.0
    weight: float = 0.0
    updated_at: float = 0.0

    def add(self, sample: float, now: float) -> None:
        """Add a sample."""
        decay = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        self.total = self.total * decay + sample
        self.weight = self.weight * decay + 1.0
        self.updated_at = now

    def value(self, now: float) -> float:
        """Return the mean of the samples and the prior, whose value is 1."""
        decay = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        return (self.total * decay + PRIOR_WEIGHT_CALLS) / (
            self.weight * decay + PRIOR_WEIGHT_CALLS
        )


class ConcurrencyLimit:
    """Estimates an endpoint's best concurrency from the durations of its calls."""

    def __init__(self) -> None:
        self._mean_by_level: dict[int, _DecayingMean] = {}

    def record(
        self, concurrency: tuple[int, int], work_ratio: float, slots: int, now: float
    ) -> None:
        """Record the work of one answered call.

        Parameters
        ----------
        concurrency : tuple of (int, int)
            Running calls at the start and at the end of the call, which is included.
        work_ratio : float
            Work of the call relative to the expected work, corrected for slowness.
        """
        if (
            abs(concurrency[1] - concurrency[0]) > MAX_CONCURRENCY_CHANGE
            or not 0.0 < work_ratio <= MAX_WORK_RATIO
        ):
            return
        level = max(*concurrency, _uncrowded_level(slots))
        self._mean_by_level.setdefault(level, _DecayingMean()).add(work_ratio, now)

    def limit(self, slots: int, now: float) -> int:
        """Return the concurrency with the highest throughput."""
        if slots <= 1 or not self._mean_by_level:
            return slots
        best, best_rate = slots, 0.0
        for level in range(_uncrowded_level(slots), slots + 1):
            mean = self._mean_by_level.get(level)
            rate = level / (mean.value(now) if mean else 1.0)
            if rate >= best_rate:
                best, best_rate = level, rate
        return best

    def reset(self) -> None:
        """Discard all samples, after the endpoint's process was replaced."""
        self._mean_by_level.clear()


def _uncrowded_level(slots: int) -> int:
    return max(1, math.floor(UNCROWDED_RATIO * slots))
