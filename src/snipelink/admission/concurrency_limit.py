"""Adaptive concurrency limit of one endpoint, driven by its latency."""

from __future__ import annotations

import math

# The baseline is the lowest window mean, so ordinary latency exceeds it. With
# exponential service times the lowest of 100 means of 64 samples is about 0.7 of the
# true mean, which makes a ratio of 1.5 ordinary. Windows of 32 samples make a ratio of
# 1.9 ordinary, and the limit then keeps falling without cause.
MAX_ORDINARY_LATENCY_RATIO = 2.0
# Callers route around shorter and milder slowdowns. A limit that reacts to a ratio of 2
# refuses up to 2% of the calls at 70% load when servers slow down for 200 ms.
SEVERE_LATENCY_RATIO = 4.0
SEVERE_UPDATE_COUNT = 5
# Samples of one window, of which the baseline takes the lowest mean in an epoch.
WINDOW_SAMPLE_COUNT = 64
BASELINE_EPOCH_S = 30.0
# Minimum samples and time between updates of the limit; a trial needs more samples.
UPDATE_SAMPLE_COUNT = 32
UPDATE_INTERVAL_S = 0.1
TRIAL_SAMPLE_COUNT = 64
TRIAL_LIMIT_RATIO = 0.6
FAILED_TRIAL_PAUSE_S = 5.0
OVERLOAD_LIMIT_RATIO = 0.7
MIN_LIMIT_RATIO = 0.2
MAX_OPERATION_COUNT = 256
MEAN_SMOOTHING_RATIO = 1 / 16


class OperationLatency:
    """Mean latency and baseline latency of one operation.

    The baseline is the lowest window mean in the current and the previous epoch. When
    the cost of the operation changes for good, the baseline follows within two epochs.
    """

    __slots__ = (
        "_current",
        "_epoch_start",
        "_previous",
        "_window_count",
        "_window_sum",
        "mean_s",
    )

    def __init__(self, now: float) -> None:
        self.mean_s = 0.0
        self._window_count = 0
        self._window_sum = 0.0
        self._current = math.inf
        self._previous = math.inf
        self._epoch_start = now

    def record(self, latency_s: float, now: float) -> float:
        """Record a latency; return its ratio to the baseline, or 1 without one."""
        if self.mean_s == 0.0:
            self.mean_s = latency_s
        else:
            self.mean_s += (latency_s - self.mean_s) * MEAN_SMOOTHING_RATIO
        self._roll_epoch(now)
        self._window_sum += latency_s
        self._window_count += 1
        if self._window_count >= WINDOW_SAMPLE_COUNT:
            mean = self._window_sum / self._window_count
            self._current = min(self._current, mean)
            self._window_sum, self._window_count = 0.0, 0
        baseline = self.baseline_s
        return latency_s / baseline if baseline > 0.0 else 1.0

    @property
    def baseline_s(self) -> float:
        """Return the lowest window mean of the last two epochs; 0 when unknown."""
        baseline = min(self._current, self._previous)
        return 0.0 if math.isinf(baseline) else baseline

    def _roll_epoch(self, now: float) -> None:
        elapsed = now - self._epoch_start
        if elapsed < BASELINE_EPOCH_S:
            return
        # A baseline that is two epochs old is no longer valid.
        self._previous = self._current if elapsed < 2 * BASELINE_EPOCH_S else math.inf
        self._current = math.inf
        self._epoch_start = now


class ConcurrencyLimit:
    """Concurrency limit between a fifth of the slots and all of them.

    Latency is compared with the baseline of the same operation, because a change in
    the mix of operations is not a change in the speed of the server.

    - The limit rises by one per update while latency is ordinary.
    - The limit is lowered on trial when latency stays far above the baseline for
      several updates while calls use the whole limit. The lower limit is kept only if
      latency falls with it, which shows that concurrent calls slow each other down.
      Otherwise each call is slow by itself, and a lower limit would waste slots.
    - Time-outs and refusals of the endpoint lower the limit without a trial.
    """

    def __init__(self, slots: int, now: float) -> None:
        self._slots = slots
        self._min = max(1.0, slots * MIN_LIMIT_RATIO)
        self._value = float(slots)
        self._latencies_by_operation: dict[str, OperationLatency] = {}
        self._ratio_sum = 0.0
        self._samples = 0
        self._at_limit_samples = 0
        self._ignored_samples = 0
        self._updated_at = now
        self._no_trial_until = -math.inf
        self._severe_update_count = 0
        self._limit_before_trial = 0.0
        self._ratio_before_trial = 0.0
        self._last_overload_at = -math.inf
        self._mean_service_s = 0.0

    @property
    def value(self) -> int:
        """Return the number of calls that may run concurrently."""
        return int(self._value)

    def set_slots(self, slots: int) -> None:
        """Change the upper bound and reset the limit to it."""
        if slots != self._slots:
            self._slots = slots
            self._min = max(1.0, slots * MIN_LIMIT_RATIO)
            self._value = float(slots)
            self._limit_before_trial = 0.0

    def operation_service_s(self, operation: str) -> float:
        """Return the mean service time of an operation; 0 when unknown."""
        latency = self._latencies_by_operation.get(operation)
        return latency.mean_s if latency is not None else self._mean_service_s

    def baseline_s(self, operation: str) -> float:
        """Return the baseline service time of an operation; 0 when unknown."""
        latency = self._latencies_by_operation.get(operation)
        return latency.baseline_s if latency is not None else 0.0

    @property
    def mean_service_s(self) -> float:
        """Return the mean service time over all operations; 0 when unknown."""
        return self._mean_service_s

    def record(
        self, operation: str, latency_s: float, at_limit: bool, now: float
    ) -> None:
        """Record an answer's latency and whether all slots of the limit were in use."""
        self._mean_service_s += (latency_s - self._mean_service_s) * (
            MEAN_SMOOTHING_RATIO if self._mean_service_s else 1.0
        )
        ratio = self._latency_of(operation, now).record(latency_s, now)
        if self._ignored_samples:
            self._ignored_samples -= 1
            return
        self._ratio_sum += ratio
        self._samples += 1
        self._at_limit_samples += at_limit
        needed_samples = (
            TRIAL_SAMPLE_COUNT if self._limit_before_trial else UPDATE_SAMPLE_COUNT
        )
        if (
            self._samples >= needed_samples
            and now - self._updated_at >= UPDATE_INTERVAL_S
        ):
            self._update(now)

    def record_overload(self, now: float) -> None:
        """Lower the limit after the endpoint timed out or refused a call."""
        if now - self._last_overload_at >= UPDATE_INTERVAL_S:
            self._value = max(self._min, self._value * OVERLOAD_LIMIT_RATIO)
            self._limit_before_trial = 0.0
            self._last_overload_at = now

    def _latency_of(self, operation: str, now: float) -> OperationLatency:
        latency = self._latencies_by_operation.get(operation)
        if latency is None:
            if len(self._latencies_by_operation) >= MAX_OPERATION_COUNT:
                self._latencies_by_operation.clear()
            latency = OperationLatency(now)
            self._latencies_by_operation[operation] = latency
        return latency

    def _update(self, now: float) -> None:
        ratio = self._ratio_sum / self._samples
        at_limit = self._at_limit_samples * 2 >= self._samples
        severe = at_limit and ratio >= SEVERE_LATENCY_RATIO
        self._severe_update_count = self._severe_update_count + 1 if severe else 0
        if self._limit_before_trial:
            self._end_trial(ratio, now)
        elif ratio <= MAX_ORDINARY_LATENCY_RATIO:
            self._value = min(float(self._slots), self._value + 1.0)
        elif (
            self._severe_update_count >= SEVERE_UPDATE_COUNT
            and now >= self._no_trial_until
        ):
            self._start_trial(ratio)
        self._ratio_sum, self._samples, self._at_limit_samples = 0.0, 0, 0
        self._updated_at = now

    def _start_trial(self, ratio: float) -> None:
        self._limit_before_trial = self._value
        self._ratio_before_trial = ratio
        # Calls admitted under the higher limit do not show the effect of the lower one.
        self._ignored_samples = int(self._value)
        self._value = max(self._min, self._value * TRIAL_LIMIT_RATIO)

    def _end_trial(self, ratio: float, now: float) -> None:
        lowered_ratio = self._value / self._limit_before_trial
        if ratio > self._ratio_before_trial * (1.0 + lowered_ratio) / 2:
            self._value = self._limit_before_trial
            self._no_trial_until = now + FAILED_TRIAL_PAUSE_S
        self._limit_before_trial = 0.0
