"""Concurrency limit that follows the speed of the own endpoint."""

from __future__ import annotations

import math

# With exponential service times the lowest of 100 means of 64 samples is about 0.7 of
# the true mean, so a ratio of 1.5 is ordinary; windows of 32 samples gave 1.9 and a
# limit that kept falling without cause.
TOLERANCE = 2.0
WINDOW_SAMPLES = 64
EPOCH_S = 30.0
UPDATE_SAMPLES = 32
UPDATE_INTERVAL_S = 0.1
MIN_DECREASE = 0.5
FAILURE_DECREASE = 0.7
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
        baseline = min(self._current, self._previous)
        if math.isinf(baseline) or baseline <= 0.0:
            return 1.0
        return latency_s / baseline

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
    a change in the speed of the server. While latency is within the tolerance, the
    limit rises by one per update; above, it falls by the excess, at most by half.
    """

    def __init__(self, slots: int, now: float) -> None:
        self._slots = slots
        self._min = max(1.0, slots * MIN_LIMIT_RATIO)
        self._value = float(slots)
        self._latencies_by_operation: dict[str, OperationLatency] = {}
        self._ratio_sum = 0.0
        self._ratio_count = 0
        self._updated_at = now
        self._decreased_at = -math.inf
        self._mean_s = 0.0

    @property
    def value(self) -> int:
        """Return the number of calls that may run at once."""
        return int(self._value)

    def service_s(self, operation: str) -> float:
        """Return the mean service time of an operation; 0 when unknown."""
        latency = self._latencies_by_operation.get(operation)
        return latency.mean_s if latency is not None else self._mean_s

    @property
    def mean_service_s(self) -> float:
        """Return the mean service time over all operations; 0 when unknown."""
        return self._mean_s

    def record(self, operation: str, latency_s: float, now: float) -> None:
        """Record the latency of a complete answer."""
        self._mean_s += (latency_s - self._mean_s) * (
            SMOOTHING if self._mean_s else 1.0
        )
        latency = self._latencies_by_operation.get(operation)
        if latency is None:
            if len(self._latencies_by_operation) >= MAX_OPERATIONS:
                self._latencies_by_operation.clear()
            latency = OperationLatency(now)
            self._latencies_by_operation[operation] = latency
        self._ratio_sum += latency.record(latency_s, now)
        self._ratio_count += 1
        if (
            self._ratio_count >= UPDATE_SAMPLES
            and now - self._updated_at >= UPDATE_INTERVAL_S
        ):
            self._update(now)

    def record_overload(self, now: float) -> None:
        """Lower the limit after a time-out or a refusal of the endpoint."""
        if now - self._decreased_at >= UPDATE_INTERVAL_S:
            self._value = max(self._min, self._value * FAILURE_DECREASE)
            self._decreased_at = now

    def _update(self, now: float) -> None:
        ratio = self._ratio_sum / self._ratio_count
        self._ratio_sum, self._ratio_count = 0.0, 0
        self._updated_at = now
        if ratio <= TOLERANCE:
            self._value = min(float(self._slots), self._value + 1.0)
        else:
            factor = max(MIN_DECREASE, TOLERANCE / ratio)
            self._value = max(self._min, self._value * factor)
            self._decreased_at = now
