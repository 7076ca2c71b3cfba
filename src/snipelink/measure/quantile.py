"""Streaming estimate of one quantile."""

from __future__ import annotations

MAX_STEP_RATIO = 0.2
STEP_SAMPLES = 10


class QuantileEstimator:
    """Stochastic estimate of one quantile in constant memory.

    Parameters
    ----------
    quantile : float
        Quantile to estimate, between 0 and 1.
    min_step_ratio : float
        Relative step after the first samples; the smaller, the longer the estimate
        remembers.
    """

    __slots__ = ("_min_step_ratio", "_quantile", "count", "value")

    def __init__(self, quantile: float, min_step_ratio: float) -> None:
        self._quantile = quantile
        self._min_step_ratio = min_step_ratio
        self.value = 0.0
        self.count = 0

    def record(self, sample: float) -> bool:
        """Move the estimate; return whether the sample was above it."""
        self.count += 1
        if self.value <= 0.0:
            self.value = sample
            return False
        ratio = min(MAX_STEP_RATIO, STEP_SAMPLES / self.count)
        step = self.value * max(self._min_step_ratio, ratio)
        if sample > self.value:
            self.value += step * self._quantile
            return True
        self.value -= step * (1.0 - self._quantile)
        return False
