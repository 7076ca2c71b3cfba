"""Hedging: sends a slow idempotent call to a second endpoint as well."""

from __future__ import annotations

import threading

from snipelink import model
from snipelink.measure import quantile as quantile_module
from snipelink.retry import budget as budget_module

QUANTILE = 0.95
MIN_SAMPLE_COUNT = 100
MIN_DELAY_S = 0.002
# With small steps the delay stays nearly constant for about a minute when the whole
# service slows down, so most answers are late and hedging stops. Steps of 0.02 triple
# the delay within 400 calls, and hedging continues.
STEP_RATIO = 0.002
# Share of late answers above which an endpoint counts as slow.
SLOW_ENDPOINT_LATE_SHARE = 0.2
LATE_SHARE_SMOOTHING = 1 / 16
MAX_NAME_COUNT = 1024


class HedgePolicy:
    """Decides when a call of one service is hedged.

    The delay before a hedge is the 95th percentile of the operation's latency. No hedge
    is sent while more than half of the endpoints answer over a fifth of their calls
    later than this delay, because the whole service is then slow and a hedge only adds
    load.
    A hedge is charged to the hedge budget and to the retry budget, so the retry budget
    bounds retries and hedges together.
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
        """Record the latency of an attempt, or its age when it is abandoned."""
        with self._lock:
            if len(self._quantiles_by_operation) >= MAX_NAME_COUNT:
                self._quantiles_by_operation.clear()
            quantile = self._quantiles_by_operation.get(operation)
            if quantile is None:
                quantile = quantile_module.QuantileEstimator(QUANTILE, STEP_RATIO)
                self._quantiles_by_operation[operation] = quantile
            late = quantile.record(latency_s)
            if quantile.count > MIN_SAMPLE_COUNT:
                self._record_lateness(endpoint, late)

    def deposit(self, now: float) -> None:
        """Credit the hedge budget for an answered first attempt."""
        self._hedges.deposit(now)

    def delay_s(self, call: model.Call, now: float) -> float | None:
        """Return the delay before the hedge; None when the call is not hedged."""
        if not call.operation.idempotent:
            return None
        with self._lock:
            quantile = self._quantiles_by_operation.get(call.operation.name)
            if (
                quantile is None
                or quantile.count < MIN_SAMPLE_COUNT
                or self._is_service_slow()
            ):
                return None
            delay_s = max(MIN_DELAY_S, quantile.value)
        # A hedge that starts in the second half of the remaining time rarely finishes
        # before the deadline.
        return delay_s if delay_s * 2 < call.deadline - now else None

    def try_start(self, now: float) -> bool:
        """Charge one hedge to both budgets immediately before it is sent."""
        with self._lock:
            if self._is_service_slow():
                return False
        return self._hedges.try_spend(now) and self._retries.try_spend(now)

    def remove_endpoint(self, endpoint: str) -> None:
        """Remove the statistics of an endpoint that has left the service."""
        with self._lock:
            self._late_shares_by_endpoint.pop(endpoint, None)
            self._slow_endpoints.discard(endpoint)

    def _record_lateness(self, endpoint: str, late: bool) -> None:
        if len(self._late_shares_by_endpoint) >= MAX_NAME_COUNT:
            self._late_shares_by_endpoint.clear()
            self._slow_endpoints.clear()
        share = self._late_shares_by_endpoint.get(endpoint, 0.0)
        share += (late - share) * LATE_SHARE_SMOOTHING
        self._late_shares_by_endpoint[endpoint] = share
        if share > SLOW_ENDPOINT_LATE_SHARE:
            self._slow_endpoints.add(endpoint)
        else:
            self._slow_endpoints.discard(endpoint)

    def _is_service_slow(self) -> bool:
        return len(self._slow_endpoints) * 2 > len(self._late_shares_by_endpoint)
