"""Statistics of the endpoints of one service, from attempts and load reports."""

from __future__ import annotations

import random
import threading
from collections.abc import Iterable

from snipelink import errors, model
from snipelink.balance import ejection, endpoint_stats
from snipelink.measure import quantile

MEDIAN_STEP_RATIO = 0.01
MEAN_SMOOTHING_RATIO = 1 / 32
# How long an endpoint that refused a call is avoided: at most, and without Retry-After.
MAX_BUSY_S = 1.0
DEFAULT_BUSY_S = 0.1
NEW_ENDPOINT_AFTER_S = 10.0
MAX_OPERATION_COUNT = 256
# Latencies divided by the median: the highest one at which a trial succeeds, and the
# lowest one at which a time-out counts as a failure of the endpoint.
MAX_TRIAL_LATENCY_RATIO = 4.0
MIN_LATE_LATENCY_RATIO = 8.0

FAILURE_KINDS = frozenset(
    {
        errors.Kind.UNREACHABLE,
        errors.Kind.CONNECTION_LOST,
        errors.Kind.STOPPED,
        errors.Kind.INTERNAL,
        errors.Kind.ANSWER_INCOMPLETE,
        errors.Kind.ANSWER_INVALID,
    }
)
REFUSAL_KINDS = frozenset(
    {
        errors.Kind.OVERLOADED,
        errors.Kind.NOT_READY,
        errors.Kind.STALE_INCARNATION,
    }
)


class Tracker:
    """Collects the statistics of a service's endpoints; ``lock`` guards them.

    Latency is divided by the median of the operation over all endpoints, so an endpoint
    that runs a costly operation does not look slow.
    """

    def __init__(self, now: float, seed: int = 0) -> None:
        self.lock = threading.Lock()
        self._created_at = now
        self._rng = random.Random(seed)
        self._stats_by_endpoint: dict[str, endpoint_stats.EndpointStats] = {}
        self._medians_by_operation: dict[str, quantile.QuantileEstimator] = {}
        self._median_s = 0.0
        self._mean_other_calls = 0.0
        self._ejected_count = 0

    @property
    def mean_other_calls(self) -> float:
        """Return the mean calls of other nodes, used in place of stale reports."""
        return self._mean_other_calls

    def on_start(
        self, endpoint: model.Endpoint, operation: str, now: float
    ) -> endpoint_stats.Attempt:
        """Record the start of an attempt, which `on_answer` or `on_failure` ends."""
        attempt = endpoint_stats.Attempt(endpoint.name, operation, now)
        with self.lock:
            stats = self.stats_of(endpoint, now)
            stats.attempts[id(attempt)] = attempt
            if stats.state is not endpoint_stats.EjectionState.ACTIVE:
                stats.state = endpoint_stats.EjectionState.TRIAL
                attempt.trial = True
        return attempt

    def on_answer(
        self,
        attempt: endpoint_stats.Attempt,
        now: float,
        load: model.LoadReport | None = None,
        status: int = 200,
        retry_after_s: float = 0.0,
    ) -> None:
        """Record a complete answer.

        A 503 with Retry-After is a refusal under load. Any other status from 500 on is
        a failure and its latency is ignored, so fast errors do not attract calls.
        """
        with self.lock:
            stats = self._end_attempt(attempt)
            if stats is None:
                return
            stats.last_answer_at = now
            if status == 503 and retry_after_s > 0.0:
                self._record_refusal(stats, retry_after_s, now)
            elif status >= 500:
                self._record_outcome(stats, attempt, True, now)
            else:
                ratio = self._record_latency(stats, attempt, now)
                self._record_outcome(stats, attempt, False, now, ratio)
            if load is not None:
                self._record_load(stats, load, now)

    def on_failure(
        self, attempt: endpoint_stats.Attempt, failure: errors.Failure, now: float
    ) -> None:
        """Record a failed attempt as a failure or a refusal; some kinds are ignored."""
        with self.lock:
            stats = self._end_attempt(attempt)
            if stats is None:
                return
            kind = failure.kind
            if kind is errors.Kind.LEAVING:
                stats.leaving_since = min(stats.leaving_since, now)
            elif kind in REFUSAL_KINDS:
                stats.last_answer_at = now
                self._record_refusal(stats, failure.retry_after_s, now)
            elif kind in FAILURE_KINDS:
                if failure.crashed:
                    stats.failure_share, stats.failure_at = 1.0, now
                elif kind is errors.Kind.UNREACHABLE:
                    # Counts twice, because a refused connection affects every call.
                    stats.record_outcome(True, now)
                self._record_outcome(stats, attempt, True, now)
            elif kind is errors.Kind.DEADLINE_UNKNOWN:
                self._record_time_out(stats, attempt, now)

    def on_report(
        self, endpoint: model.Endpoint, load: model.LoadReport, age_s: float, now: float
    ) -> None:
        """Record a load report that is ``age_s`` old unless a newer one is known."""
        with self.lock:
            stats = self.stats_of(endpoint, now)
            if now - age_s > stats.reported_at:
                self._record_load(stats, load, now - age_s)

    def on_leaving(self, endpoint: model.Endpoint, now: float) -> None:
        """Record that the endpoint is leaving; it gets no new calls from now on."""
        with self.lock:
            stats = self.stats_of(endpoint, now)
            stats.leaving_since = min(stats.leaving_since, now)

    def on_restart(self, endpoint: model.Endpoint, now: float) -> None:
        """Reset the statistics of a restarted endpoint and begin a slow start."""
        with self.lock:
            self._remove(endpoint.name)
            fresh = endpoint_stats.EndpointStats(
                endpoint.slots, now, slow_start_from=now
            )
            self._stats_by_endpoint[endpoint.name] = fresh

    def retain(self, names: Iterable[str]) -> None:
        """Remove all endpoints but the named ones."""
        kept = frozenset(names)
        with self.lock:
            for name in [n for n in self._stats_by_endpoint if n not in kept]:
                self._remove(name)

    def stats_of(
        self, endpoint: model.Endpoint, now: float
    ) -> endpoint_stats.EndpointStats:
        """Return the statistics of an endpoint; the caller holds ``lock``.

        An endpoint that first appears some time after this node started is new and gets
        a slow start.
        """
        stats = self._stats_by_endpoint.get(endpoint.name)
        if stats is None:
            stats = endpoint_stats.EndpointStats(endpoint.slots, now)
            if now - self._created_at > NEW_ENDPOINT_AFTER_S:
                stats.slow_start_from = now
            self._stats_by_endpoint[endpoint.name] = stats
        return stats

    def eject_if_unhealthy(
        self, stats: endpoint_stats.EndpointStats, now: float
    ) -> endpoint_stats.EjectionState:
        """Eject an outlier if the cap allows it; the caller holds ``lock``."""
        if stats.state is not endpoint_stats.EjectionState.ACTIVE:
            return stats.state
        reason = ejection.reason_to_eject(stats, now, self._median_s)
        if reason and self._ejected_count < ejection.max_ejected_count(
            len(self._stats_by_endpoint)
        ):
            ejection.eject(stats, reason, now, self._rng)
            self._ejected_count += 1
        return stats.state

    def median_s(self, operation: str = "") -> float:
        """Return the median latency of an operation, or of all; 0 when unknown."""
        median = self._medians_by_operation.get(operation)
        return median.value if median else self._median_s

    def is_leaving(self, endpoint: model.Endpoint, now: float) -> bool:
        """Return whether the endpoint gets no new calls; the caller holds ``lock``."""
        if endpoint.leaving:
            return True
        stats = self._stats_by_endpoint.get(endpoint.name)
        return stats is not None and stats.leaving_since <= now

    def in_flight(self, endpoint: str) -> int:
        """Return the number of this node's attempts in flight on an endpoint."""
        stats = self._stats_by_endpoint.get(endpoint)
        return stats.in_flight if stats else 0

    def _remove(self, name: str) -> None:
        stats = self._stats_by_endpoint.pop(name, None)
        if stats is not None and stats.state is not endpoint_stats.EjectionState.ACTIVE:
            self._ejected_count -= 1

    def _end_attempt(
        self, attempt: endpoint_stats.Attempt
    ) -> endpoint_stats.EndpointStats | None:
        if attempt.done:
            return None
        attempt.done = True
        stats = self._stats_by_endpoint.get(attempt.endpoint)
        if stats is None or stats.attempts.pop(id(attempt), None) is None:
            return None
        return stats

    def _record_load(
        self,
        stats: endpoint_stats.EndpointStats,
        load: model.LoadReport,
        reported_at: float,
    ) -> None:
        stats.other_calls = max(0.0, load.running + load.queued - stats.in_flight)
        stats.limit = max(1, load.limit)
        stats.reported_at = reported_at
        stats.reported_slowness = load.slowness
        self._mean_other_calls += (
            stats.other_calls - self._mean_other_calls
        ) * MEAN_SMOOTHING_RATIO
        if load.leaving:
            stats.leaving_since = min(stats.leaving_since, reported_at)
        elif reported_at > stats.leaving_since:
            stats.leaving_since = float("inf")

    def _record_latency(
        self,
        stats: endpoint_stats.EndpointStats,
        attempt: endpoint_stats.Attempt,
        now: float,
    ) -> float:
        latency_s = now - attempt.started_at
        if len(self._medians_by_operation) >= MAX_OPERATION_COUNT:
            self._medians_by_operation.clear()
        median = self._medians_by_operation.get(attempt.operation)
        if median is None:
            median = quantile.QuantileEstimator(0.5, MEDIAN_STEP_RATIO)
            self._medians_by_operation[attempt.operation] = median
        median.record(latency_s)
        self._median_s += (median.value - self._median_s) * MEAN_SMOOTHING_RATIO
        ratio = latency_s / max(median.value, 1e-6)
        stats.record_latency_ratio(ratio, now)
        return ratio

    def _record_time_out(
        self,
        stats: endpoint_stats.EndpointStats,
        attempt: endpoint_stats.Attempt,
        now: float,
    ) -> None:
        """Record a time-out if an ordinary call would have finished by now."""
        median_s = self.median_s(attempt.operation)
        latency_s = now - attempt.started_at
        if median_s > 0.0 and latency_s > MIN_LATE_LATENCY_RATIO * median_s:
            stats.record_latency_ratio(latency_s / median_s, now)
            self._record_outcome(stats, attempt, True, now)

    def _record_refusal(
        self, stats: endpoint_stats.EndpointStats, retry_after_s: float, now: float
    ) -> None:
        busy_s = min(retry_after_s or DEFAULT_BUSY_S, MAX_BUSY_S)
        stats.busy_until = max(stats.busy_until, now + busy_s)

    def _record_outcome(
        self,
        stats: endpoint_stats.EndpointStats,
        attempt: endpoint_stats.Attempt,
        failed: bool,
        now: float,
        ratio: float = 1.0,
    ) -> None:
        stats.record_outcome(failed, now)
        if attempt.trial and stats.state is endpoint_stats.EjectionState.TRIAL:
            succeeded = not failed and ratio <= MAX_TRIAL_LATENCY_RATIO
            ejection.record_trial(stats, succeeded, now, self._rng)
            if stats.state is endpoint_stats.EjectionState.ACTIVE:
                self._ejected_count -= 1
