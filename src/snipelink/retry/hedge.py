"""Second attempts of slow idempotent calls, before the first one has failed."""

from __future__ import annotations

import threading

from snipelink import model
from snipelink.measure import quantile as quantile_module
from snipelink.retry import budget as budget_module

QUANTILE = 0.95
MIN_SAMPLE_COUNT = 100
MIN_DELAY_S = 0.002
# Slow steps keep the delay where it was for about a minute when the whole service
# slows down; steps of 0.02 tripled it within 400 calls and let hedges go on.
STEP_RATIO = 0.002
SLOW_SHARE = 0.2
SLOW_SMOOTHING = 1 / 16
MAX_NAMES = 1024


class HedgePolicy:
    """Decides after which delay a call of one service is sent a second time.

    The delay is the 95th percentile of the operation's latency. Hedges are withheld
    while more than half of the endpoints answer a fifth of their calls later than that:
    then the service is slow and a second attempt only adds load. A hedge is charged to
    the hedge budget and to the retry budget, which bounds both together.
    """

    def __init__(
        self, hedges: budget_module.Budget, retries: budget_module.Budget
    ) -> None:
        self._hedges = hedges
        self._retries = retries
        self._lock = threading.Lock()
        self._quantiles_by_operation: dict[str, quantile_module.QuantileEstimator] = {}
        self._late_shares_by_endpoint: dict[str, float] = {}
        self._slow_endpoints: set[str] = set()

    def record(self, operation: str, endpoint: str, latency_s: float) -> None:
        """Record the latency of an attempt, or its age when it is given up."""
        with self._lock:
            if len(self._quantiles_by_operation) >= MAX_NAMES:
                self._quantiles_by_operation.clear()
            quantile = self._quantiles_by_operation.get(operation)
            if quantile is None:
                quantile = quantile_module.QuantileEstimator(QUANTILE, STEP_RATIO)
                self._quantiles_by_operation[operation] = quantile
            late = quantile.record(latency_s)
            if quantile.count > MIN_SAMPLE_COUNT:
                self._record_late(endpoint, late)

    def deposit(self, now: float) -> None:
        """Record a first attempt that was answered."""
        self._hedges.deposit(now)

    def delay_s(self, call: model.Call, now: float) -> float | None:
        """Return the delay before a hedge; None when the call gets none."""
        if not call.operation.idempotent:
            return None
        with self._lock:
            quantile = self._quantiles_by_operation.get(call.operation.name)
            if quantile is None or quantile.count < MIN_SAMPLE_COUNT or self._is_slow():
                return None
            delay = max(MIN_DELAY_S, quantile.value)
        # A hedge that would start in the second half of the remaining time rarely
        # finishes before the deadline.
        return delay if delay * 2 < call.deadline - now else None

    def try_start(self, now: float) -> bool:
        """Charge one hedge immediately before it is sent."""
        with self._lock:
            if self._is_slow():
                return False
        return self._hedges.try_spend(now) and self._retries.try_spend(now)

    def remove_endpoint(self, endpoint: str) -> None:
        """Remove an endpoint that has left the service."""
        with self._lock:
            self._late_shares_by_endpoint.pop(endpoint, None)
            self._slow_endpoints.discard(endpoint)

    def _record_late(self, endpoint: str, late: bool) -> None:
        if len(self._late_shares_by_endpoint) >= MAX_NAMES:
            self._late_shares_by_endpoint.clear()
            self._slow_endpoints.clear()
        share = self._late_shares_by_endpoint.get(endpoint, 0.0)
        share += (late - share) * SLOW_SMOOTHING
        self._late_shares_by_endpoint[endpoint] = share
        if share > SLOW_SHARE:
            self._slow_endpoints.add(endpoint)
        else:
            self._slow_endpoints.discard(endpoint)

    def _is_slow(self) -> bool:
        return len(self._slow_endpoints) * 2 > len(self._late_shares_by_endpoint)
