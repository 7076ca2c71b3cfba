"""Streaming estimator of one quantile."""

from __future__ import annotations

MAX_STEP_RATIO = 0.2
# The relative step falls as STEP_SAMPLE_COUNT divided by the number of samples.
STEP_SAMPLE_COUNT = 10


class QuantileEstimator:
    """Stochastic approximation of one quantile in constant memory.

    Parameters
    ----------
    quantile : float
        Quantile to estimate, between 0 and 1.
    min_step_ratio : float
        Lower bound of the relative step. With a smaller step, older samples have more
        weight and the estimate adapts more slowly.
    """

    __slots__ = ("_min_step_ratio", "_quantile", "count", "value")

    def __init__(self, quantile: float, min_step_ratio: float) -> None:
        self._quantile = quantile
        self._min_step_ratio = min_step_ratio
        self.value = 0.0
        self.count = 0

    def record(self, sample: float) -> bool:
        """Add a sample; return whether it was above the estimate."""
        self.count += 1
        if self.value <= 0.0:
            self.value = sample
            return False
        ratio = min(MAX_STEP_RATIO, STEP_SAMPLE_COUNT / self.count)
        step = self.value * max(self._min_step_ratio, ratio)
        if sample > self.value:
            self.value += step * self._quantile
            return True
        self.value -= step * (1.0 - self._quantile)
        return False
