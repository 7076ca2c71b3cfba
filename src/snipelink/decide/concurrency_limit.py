"""Adaptive limit on the number of calls that run concurrently on an endpoint.

Some servers become slower once nearly all of their slots are in use. Under overload
all slots would be in use, which gives a lower throughput and a higher latency than
leaving some slots free. The node beside an endpoint measures the duration of calls at
each concurrency level and selects the level with the highest throughput.

A single endpoint needs seconds for that, at the expense of its callers: while some of a
service's endpoints are cut off or cold, the others are full, and each of them is slow
until it has measured why. Endpoints of one service behave alike, so their nodes
exchange the measurements.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Sequence

# Up to this fraction of the slots, concurrency is assumed not to affect durations.
UNCROWDED_RATIO = 0.7
# Weight, in calls, of the prior that calls take as long as expected. Durations vary by
# a third, so fewer samples are not conclusive. Because of the prior, a level without
# samples is tried once calls at the other levels take longer.
PRIOR_WEIGHT_CALLS = 4.0
# Maximum weight of the samples that another endpoint contributes to a level, and of
# all others together: an endpoint that differs from the others outweighs them soon.
MAX_PEER_WEIGHT_CALLS = 8.0
MAX_PEERS_WEIGHT_CALLS = 32.0
# Samples of smaller weight are not reported.
MIN_REPORTED_WEIGHT_CALLS = 1.0
# Half-life of the weight of samples; after a few half-lives a level that was avoided
# is tried again.
HALF_LIFE_S = 20.0
# Calls during which the concurrency changed by more cannot be assigned to a level.
MAX_CONCURRENCY_CHANGE = 1
# Calls that took a larger multiple of the expected work are ignored as outliers, since
# they do another kind of work.
MAX_WORK_RATIO = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class LevelSample:
    """Measured duration of the calls at one concurrency level.

    Attributes
    ----------
    level : int
        Calls that ran concurrently.
    mean_ratio : float
        Mean work of the calls relative to the expected work.
    weight_calls : float
        Weight of the mean, in calls.
    """

    level: int
    mean_ratio: float
    weight_calls: float


@dataclasses.dataclass(slots=True)
class _DecayingSum:
    """Sum of samples whose weight decays exponentially."""

    total: float = 0.0
    weight: float = 0.0
    updated_at: float = 0.0

    def add(self, sample: float, now: float) -> None:
        """Add a sample."""
        self.total, self.weight = self.at(now)
        self.total += sample
        self.weight += 1.0
        self.updated_at = now

    def at(self, now: float) -> tuple[float, float]:
        """Return the sum of the samples and their weight."""
        decay = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        return self.total * decay, self.weight * decay


class ConcurrencyLimit:
    """Estimates an endpoint's best concurrency from the durations of calls."""

    def __init__(self) -> None:
        self._sum_by_level: dict[int, _DecayingSum] = {}
        # Sums of the ratios and of the weights of the other endpoints' samples.
        self._peers_by_level: dict[int, tuple[float, float]] = {}

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
        self._sum_by_level.setdefault(level, _DecayingSum()).add(work_ratio, now)

    def samples(self, now: float) -> list[LevelSample]:
        """Return the measurements of this endpoint, without those of the others."""
        samples = []
        for level, entry in self._sum_by_level.items():
            total, weight = entry.at(now)
            if weight >= MIN_REPORTED_WEIGHT_CALLS:
                samples.append(LevelSample(level, total / weight, weight))
        return samples

    def set_peer_samples(
        self, samples_by_peer: Iterable[Sequence[LevelSample]]
    ) -> None:
        """Replace the measurements of the other endpoints of the service."""
        totals: dict[int, tuple[float, float]] = {}
        for samples in samples_by_peer:
            for sample in samples:
                total, weight = totals.get(sample.level, (0.0, 0.0))
                share = min(sample.weight_calls, MAX_PEER_WEIGHT_CALLS)
                totals[sample.level] = (
                    total + share * sample.mean_ratio,
                    weight + share,
                )
        self._peers_by_level = {
            level: (total * scale, weight * scale)
            for level, (total, weight) in totals.items()
            if (scale := min(1.0, MAX_PEERS_WEIGHT_CALLS / weight)) > 0.0
        }

    def limit(self, slots: int, now: float) -> int:
        """Return the concurrency with the highest throughput."""
        best, best_rate = slots, 0.0
        for level in range(_uncrowded_level(slots), slots + 1):
            total, weight = self._measured(level, now)
            mean = (total + PRIOR_WEIGHT_CALLS) / (weight + PRIOR_WEIGHT_CALLS)
            rate = level / mean
            if rate >= best_rate:
                best, best_rate = level, rate
        return best

    def reset(self) -> None:
        """Discard this endpoint's samples, after its process was replaced."""
        self._sum_by_level.clear()

    def _measured(self, level: int, now: float) -> tuple[float, float]:
        """Return the sum of all ratios at a level, and their weight."""
        total, weight = self._peers_by_level.get(level, (0.0, 0.0))
        entry = self._sum_by_level.get(level)
        if entry is not None:
            own_total, own_weight = entry.at(now)
            total, weight = total + own_total, weight + own_weight
        return total, weight


def _uncrowded_level(slots: int) -> int:
    return max(1, math.floor(UNCROWDED_RATIO * slots))
