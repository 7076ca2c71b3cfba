"""Slowness of one endpoint over the last fraction of a second."""

from __future__ import annotations

import math

# Time constant of the exponential decay: a lower bound, and a multiple of the baseline
# service time.
MIN_DECAY_S = 0.05
DECAY_SERVICE_TIMES = 3.0
# Weight of an assumed ordinary call. It keeps the ratio near 1 while few calls were
# measured.
PRIOR_CALL_COUNT = 0.5
MAX_SLOWNESS_RATIO = 20.0


class SlownessEstimator:
    """Ratio of the slot time in use to the baseline time of the finished calls.

    Running calls count with their time so far, so the ratio rises on a slowed or
    stalled endpoint before its first late answer. Both sums decay exponentially.
    """

    def __init__(self, now: float) -> None:
        self._slot_time_s = 0.0
        self._finished_baseline_s = 0.0
        self._mean_baseline_s = 0.0
        self._updated_at = now

    def advance(self, running: int, now: float) -> None:
        """Add the slot time since the last event, before ``running`` changes."""
        elapsed = now - self._updated_at
        if elapsed <= 0.0:
            return
        decay_s = max(MIN_DECAY_S, DECAY_SERVICE_TIMES * self._mean_baseline_s)
        retained_ratio = math.exp(-elapsed / decay_s)
        self._slot_time_s = self._slot_time_s * retained_ratio + running * decay_s * (
            1.0 - retained_ratio
        )
        self._finished_baseline_s *= retained_ratio
        self._updated_at = now

    def record_finished(self, baseline_s: float) -> None:
        """Add a finished call with the baseline service time of its operation."""
        if baseline_s > 0.0:
            self._finished_baseline_s += baseline_s
            self._mean_baseline_s += (baseline_s - self._mean_baseline_s) / 16

    def ratio(self) -> float:
        """Return the slot time per baseline time; 1 when ordinary or unknown."""
        prior = PRIOR_CALL_COUNT * self._mean_baseline_s
        if prior <= 0.0:
            return 1.0
        ratio = (self._slot_time_s + prior) / (self._finished_baseline_s + prior)
        return min(MAX_SLOWNESS_RATIO, ratio)
