"""Concurrency limit that follows the speed of the own endpoint."""

from __future__ import annotations

import math

# With exponential service times the lowest of 100 means of 64 samples is about 0.7 of
# the true mean, so a ratio of 1.5 is ordinary; windows of 32 samples gave 1.9 and a
# limit that kept falling without cause.
TOLERANCE = 2.0
# Shorter and milder slowdowns are left to the choice of endpoint. Following them at a
# ratio of 2 refused up to 2% of the calls at 70% load with servers slowed for 200 ms.
SEVERE_RATIO = 4.0
SEVERE_UPDATES = 5
WINDOW_SAMPLES = 64
EPOCH_S = 30.0
UPDATE_SAMPLES = 32
UPDATE_INTERVAL_S = 0.1
TRIAL_SAMPLES = 64
TRIAL_FACTOR = 0.6
HOLD_S = 5.0
FAILURE_FACTOR = 0.7
MIN_LIMIT_RATIO = 0.2
MAX_OPERATIONS = 256
SMOOTHING = 1 / 16


class OperationLatency:
    """Recent and lowest mean latency of one operation.

    The baseline is the lowest window mean of the current and the previous epoch, so a
    lasting change of the operation's cost becomes the baseline after two epochs.
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
        """Return the ratio of the latency to the baseline after recording it."""
        if self.mean_s == 0.0:
            self.mean_s = latency_s
        else:
            self.mean_s += (latency_s - self.mean_s) * SMOOTHING
        self._roll(now)
        self._window_sum += latency_s
        self._window_count += 1
        if self._window_count >= WINDOW_SAMPLES:
            mean = self._window_sum / self._window_count
            self._current = min(self._current, mean)
            self._window_sum, self._window_count = 0.0, 0
        baseline = self.baseline_s
        return latency_s / baseline if baseline > 0.0 else 1.0

    @property
    def baseline_s(self) -> float:
        """Return the lowest mean of the last two epochs; 0 when unknown."""
        baseline = min(self._current, self._previous)
        return 0.0 if math.isinf(baseline) else baseline

    def _roll(self, now: float) -> None:
        elapsed = now - self._epoch_start
        if elapsed < EPOCH_S:
            return
        # After an idle time of two epochs the old baseline says nothing any more.
        self._previous = self._current if elapsed < 2 * EPOCH_S else math.inf
        self._current = math.inf
        self._epoch_start = now


class Limit:
    """Adaptive limit between a fifth of the slots and all of them.

    Latency is compared per operation, because a change in the mix of operations is not
    a change in the speed of the server. When latency is far above the baseline for
    several updates while the limit binds, a lower limit is tried. It stays only if
    latency falls with it, which means that calls slow each other down; a slowdown of
    each call on its own is not cured by fewer calls, and a lower limit would only waste
    slots. Within the tolerance the limit rises by one per update. Time-outs and
    refusals of the endpoint lower it without a trial.
    """

    def __init__(self, slots: int, now: float) -> None:
        self._slots = slots
        self._min = max(1.0, slots * MIN_LIMIT_RATIO)
        self._value = float(slots)
        self._latencies_by_operation: dict[str, OperationLatency] = {}
        self._ratio_sum = 0.0
        self._samples = 0
        self._bound_samples = 0
        self._ignored_samples = 0
        self._updated_at = now
        self._hold_until = -math.inf
        self._severe_updates = 0
        self._before_trial = 0.0
        self._ratio_before_trial = 0.0
        self._overload_at = -math.inf
        self._mean_s = 0.0

    @property
    def value(self) -> int:
        """Return the number of calls that may run at once."""
        return int(self._value)

    def set_slots(self, slots: int) -> None:
        """Change the upper bound; the limit starts again from it."""
        if slots != self._slots:
            self._slots = slots
            self._min = max(1.0, slots * MIN_LIMIT_RATIO)
            self._value = float(slots)
            self._before_trial = 0.0

    def service_s(self, operation: str) -> float:
        """Return the mean service time of an operation; 0 when unknown."""
        latency = self._latencies_by_operation.get(operation)
        return latency.mean_s if latency is not None else self._mean_s

    def baseline_s(self, operation: str) -> float:
        """Return the ordinary service time of an operation; 0 when unknown."""
        latency = self._latencies_by_operation.get(operation)
        return latency.baseline_s if latency is not None else 0.0

    @property
    def mean_service_s(self) -> float:
        """Return the mean service time over all operations; 0 when unknown."""
        return self._mean_s

    def record(self, operation: str, latency_s: float, bound: bool, now: float) -> None:
        """Record the latency of an answer and whether the limit was reached then."""
        self._mean_s += (latency_s - self._mean_s) * (
            SMOOTHING if self._mean_s else 1.0
        )
        ratio = self._latency_of(operation, now).record(latency_s, now)
        if self._ignored_samples:
            self._ignored_samples -= 1
            return
        self._ratio_sum += ratio
        self._samples += 1
        self._bound_samples += bound
        needed = TRIAL_SAMPLES if self._before_trial else UPDATE_SAMPLES
        if self._samples >= needed and now - self._updated_at >= UPDATE_INTERVAL_S:
            self._update(now)

    def record_overload(self, now: float) -> None:
        """Lower the limit after a time-out or a refusal of the endpoint."""
        if now - self._overload_at >= UPDATE_INTERVAL_S:
            self._value = max(self._min, self._value * FAILURE_FACTOR)
            self._before_trial = 0.0
            self._overload_at = now

    def _latency_of(self, operation: str, now: float) -> OperationLatency:
        latency = self._latencies_by_operation.get(operation)
        if latency is None:
            if len(self._latencies_by_operation) >= MAX_OPERATIONS:
                self._latencies_by_operation.clear()
            latency = OperationLatency(now)
            self._latencies_by_operation[operation] = latency
        return latency

    def _update(self, now: float) -> None:
        ratio = self._ratio_sum / self._samples
        bound = self._bound_samples * 2 >= self._samples
        severe = bound and ratio >= SEVERE_RATIO
        self._severe_updates = self._severe_updates + 1 if severe else 0
        if self._before_trial:
            self._end_trial(ratio, now)
        elif ratio <= TOLERANCE:
            self._value = min(float(self._slots), self._value + 1.0)
        elif self._severe_updates >= SEVERE_UPDATES and now >= self._hold_until:
            self._start_trial(ratio)
        self._ratio_sum, self._samples, self._bound_samples = 0.0, 0, 0
        self._updated_at = now

    def _start_trial(self, ratio: float) -> None:
        self._before_trial = self._value
        self._ratio_before_trial = ratio
        # Calls that started under the higher limit say nothing about the lower one.
        self._ignored_samples = int(self._value)
        self._value = max(self._min, self._value * TRIAL_FACTOR)

    def _end_trial(self, ratio: float, now: float) -> None:
        lowered_to = self._value / self._before_trial
        if ratio > self._ratio_before_trial * (1.0 + lowered_to) / 2:
            self._value = self._before_trial
            self._hold_until = now + HOLD_S
        self._before_trial = 0.0
