"""Facts about the endpoints of one service, gathered from calls and reports."""

from __future__ import annotations

import random
import threading
from collections.abc import Iterable

from snipelink import errors, model
from snipelink.balance import ejection, endpoint_stats
from snipelink.measure import quantile

MEDIAN_STEP_RATIO = 0.01
PRIOR_SMOOTHING = 1 / 32
MAX_BUSY_S = 1.0
REFUSED_BUSY_S = 0.1
NEW_AFTER_S = 10.0
MAX_OPERATIONS = 256
GOOD_TRIAL_RATIO = 4.0
LATE_MEDIANS = 8.0

FAILURES = frozenset(
    {
        errors.Kind.UNREACHABLE,
        errors.Kind.CONNECTION_LOST,
        errors.Kind.STOPPED,
        errors.Kind.INTERNAL,
        errors.Kind.ANSWER_INCOMPLETE,
        errors.Kind.ANSWER_INVALID,
    }
)
REFUSALS = frozenset(
    {
        errors.Kind.OVERLOADED,
        errors.Kind.NOT_READY,
        errors.Kind.STALE_INCARNATION,
    }
)


class Tracker:
    """Holds the facts about a service's endpoints; its lock guards them.

    Latency is kept relative to the median of each operation over all endpoints, so a
    costly operation does not make an endpoint look slow.
    """

    def __init__(self, now: float, seed: int = 0) -> None:
        self.lock = threading.Lock()
        self._created_at = now
        self._rng = random.Random(seed)
        self._stats_by_endpoint: dict[str, endpoint_stats.EndpointStats] = {}
        self._medians_by_operation: dict[str, quantile.QuantileEstimator] = {}
        self._median_s = 0.0
        self._prior = 0.0
        self._ejected = 0

    @property
    def prior(self) -> float:
        """Return the mean load by other nodes, used where no report is recent."""
        return self._prior

    def on_start(
        self, endpoint: model.Endpoint, operation: str, now: float
    ) -> endpoint_stats.Attempt:
        """Record that an attempt starts; pair it with one of the two below."""
        attempt = endpoint_stats.Attempt(endpoint.name, operation, now)
        with self.lock:
            subject = self.stats_of(endpoint, now)
            subject.attempts[id(attempt)] = attempt
            if subject.state is not endpoint_stats.State.ACTIVE:
                subject.state = endpoint_stats.State.TRIAL
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

        A 503 with Retry-After is load; any other status from 500 is a failure, however
        fast it arrived.
        """
        with self.lock:
            subject = self._finish(attempt)
            if subject is None:
                return
            subject.answered_at = now
            if status == 503 and retry_after_s > 0.0:
                self._record_refusal(subject, retry_after_s, now)
            elif status >= 500:
                self._record_outcome(subject, attempt, True, now)
            else:
                ratio = self._record_latency(subject, attempt, now)
                self._record_outcome(subject, attempt, False, now, ratio)
            if load is not None:
                self._record_load(subject, load, now)

    def on_failure(
        self, attempt: endpoint_stats.Attempt, failure: errors.Failure, now: float
    ) -> None:
        """Record a failed attempt: as a failure, as load, or not at all."""
        with self.lock:
            subject = self._finish(attempt)
            if subject is None:
                return
            kind = failure.kind
            if kind is errors.Kind.LEAVING:
                subject.leaving_since = min(subject.leaving_since, now)
            elif kind in REFUSALS:
                subject.answered_at = now
                self._record_refusal(subject, failure.retry_after_s, now)
            elif kind in FAILURES:
                if failure.crashed:
                    subject.failure_share, subject.failure_at = 1.0, now
                elif kind is errors.Kind.UNREACHABLE:
                    # A refused connection says more than an error of one call.
                    subject.record_outcome(True, now)
                self._record_outcome(subject, attempt, True, now)
            elif kind is errors.Kind.DEADLINE_UNKNOWN:
                self._record_time_out(subject, attempt, now)

    def on_report(
        self, endpoint: model.Endpoint, load: model.LoadReport, age_s: float, now: float
    ) -> None:
        """Record a load report that is ``age_s`` old, unless a newer one is known."""
        with self.lock:
            subject = self.stats_of(endpoint, now)
            if now - age_s > subject.reported_at:
                self._record_load(subject, load, now - age_s)

    def on_leaving(self, endpoint: model.Endpoint, now: float) -> None:
        """Give the endpoint no new work from now on."""
        with self.lock:
            subject = self.stats_of(endpoint, now)
            subject.leaving_since = min(subject.leaving_since, now)

    def on_restart(self, endpoint: model.Endpoint, now: float) -> None:
        """Forget an endpoint's earlier life and let its load ramp up."""
        with self.lock:
            self._remove(endpoint.name)
            fresh = endpoint_stats.EndpointStats(endpoint.slots, now, ramp_from=now)
            self._stats_by_endpoint[endpoint.name] = fresh

    def retain(self, names: Iterable[str]) -> None:
        """Forget all endpoints but the named ones."""
        kept = frozenset(names)
        with self.lock:
            for name in [n for n in self._stats_by_endpoint if n not in kept]:
                self._remove(name)

    def stats_of(
        self, endpoint: model.Endpoint, now: float
    ) -> endpoint_stats.EndpointStats:
        """Return the facts of an endpoint; the caller holds the lock.

        An endpoint first seen a while after this node started is new and ramps up.
        """
        subject = self._stats_by_endpoint.get(endpoint.name)
        if subject is None:
            subject = endpoint_stats.EndpointStats(endpoint.slots, now)
            if now - self._created_at > NEW_AFTER_S:
                subject.ramp_from = now
            self._stats_by_endpoint[endpoint.name] = subject
        return subject

    def review(
        self, subject: endpoint_stats.EndpointStats, now: float
    ) -> endpoint_stats.State:
        """Eject an endpoint if it deserves it and the cap allows it; under the lock."""
        if subject.state is not endpoint_stats.State.ACTIVE:
            return subject.state
        reason = ejection.reason_to_eject(subject, now, self._median_s)
        if reason and self._ejected < ejection.max_ejected(
            len(self._stats_by_endpoint)
        ):
            ejection.eject(subject, reason, now, self._rng)
            self._ejected += 1
        return subject.state

    def median_s(self, operation: str = "") -> float:
        """Return the median latency of an operation, or over all; 0 when unknown."""
        median = self._medians_by_operation.get(operation)
        return median.value if median else self._median_s

    def is_leaving(self, endpoint: model.Endpoint, now: float) -> bool:
        """Return whether the endpoint receives no new work; under the lock."""
        if endpoint.leaving:
            return True
        subject = self._stats_by_endpoint.get(endpoint.name)
        return subject is not None and subject.leaving_since <= now

    def in_flight(self, endpoint: str) -> int:
        """Return this node's calls on an endpoint."""
        subject = self._stats_by_endpoint.get(endpoint)
        return subject.in_flight if subject else 0

    def _remove(self, name: str) -> None:
        subject = self._stats_by_endpoint.pop(name, None)
        if subject is not None and subject.state is not endpoint_stats.State.ACTIVE:
            self._ejected -= 1

    def _finish(
        self, attempt: endpoint_stats.Attempt
    ) -> endpoint_stats.EndpointStats | None:
        if attempt.done:
            return None
        attempt.done = True
        subject = self._stats_by_endpoint.get(attempt.endpoint)
        if subject is None or subject.attempts.pop(id(attempt), None) is None:
            return None
        return subject

    def _record_load(
        self,
        subject: endpoint_stats.EndpointStats,
        load: model.LoadReport,
        reported_at: float,
    ) -> None:
        subject.others = max(0.0, load.running + load.queued - subject.in_flight)
        subject.limit = max(1, load.limit)
        subject.reported_at = reported_at
        subject.reported_slowness = load.slowness
        self._prior += (subject.others - self._prior) * PRIOR_SMOOTHING
        if load.leaving:
            subject.leaving_since = min(subject.leaving_since, reported_at)
        elif reported_at > subject.leaving_since:
            subject.leaving_since = float("inf")

    def _record_latency(
        self,
        subject: endpoint_stats.EndpointStats,
        attempt: endpoint_stats.Attempt,
        now: float,
    ) -> float:
        latency = now - attempt.started_at
        if len(self._medians_by_operation) >= MAX_OPERATIONS:
            self._medians_by_operation.clear()
        median = self._medians_by_operation.get(attempt.operation)
        if median is None:
            median = quantile.QuantileEstimator(0.5, MEDIAN_STEP_RATIO)
            self._medians_by_operation[attempt.operation] = median
        median.record(latency)
        self._median_s += (median.value - self._median_s) * PRIOR_SMOOTHING
        ratio = latency / max(median.value, 1e-6)
        subject.record_ratio(ratio, now)
        return ratio

    def _record_time_out(
        self,
        subject: endpoint_stats.EndpointStats,
        attempt: endpoint_stats.Attempt,
        now: float,
    ) -> None:
        """Count a time-out only when an ordinary call would have finished."""
        median = self.median_s(attempt.operation)
        latency = now - attempt.started_at
        if median > 0.0 and latency > LATE_MEDIANS * median:
            subject.record_ratio(latency / median, now)
            self._record_outcome(subject, attempt, True, now)

    def _record_refusal(
        self, subject: endpoint_stats.EndpointStats, retry_after_s: float, now: float
    ) -> None:
        length = min(retry_after_s or REFUSED_BUSY_S, MAX_BUSY_S)
        subject.busy_until = max(subject.busy_until, now + length)

    def _record_outcome(
        self,
        subject: endpoint_stats.EndpointStats,
        attempt: endpoint_stats.Attempt,
        failed: bool,
        now: float,
        ratio: float = 1.0,
    ) -> None:
        subject.record_outcome(failed, now)
        if attempt.trial and subject.state is endpoint_stats.State.TRIAL:
            good = not failed and ratio <= GOOD_TRIAL_RATIO
            ejection.record_trial(subject, good, now, self._rng)
            if subject.state is endpoint_stats.State.ACTIVE:
                self._ejected -= 1
