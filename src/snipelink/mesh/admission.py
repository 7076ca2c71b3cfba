"""Admission control for the endpoint of this machine: runs, queues or refuses calls."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import logging
import random
from collections.abc import Callable

from result import Err

from snipelink import clock, errors, model
from snipelink.decide import (
    polling,
    queue_policy,
    retry_after,
    slots,
    slowness_period,
    work_correction,
)
from snipelink.mesh import (
    calls,
    catalog,
    endpoint,
    internal_calls,
    poison_requests,
    settings,
)
from snipelink.session import headers as header_rules
from snipelink.session import http

logger = logging.getLogger(__name__)

# Weight of one outcome in the moving average of failed calls. A failing endpoint is
# recognised after about five calls.
FAILURE_WEIGHT = 0.15
# Half-life of the share of failed calls while there are no calls, seconds, so that an
# endpoint that has recovered is tried again.
FAILURE_HALF_LIFE_S = 2.0
# Failures in which the connection to the endpoint ended before a complete answer.
LOST_CONNECTION_KINDS = (errors.Kind.CONNECTION_LOST, errors.Kind.ANSWER_INCOMPLETE)
# A call that reaches its deadline counts as a failure of the endpoint only if it ran
# for more than this multiple of its expected run time.
HUNG_RUN_TIME_RATIO = 4.0
# Retry time of a request whose internal calls are refused, seconds.
UNSERVED_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(slots=True)
class EndpointState:
    """State of the endpoint of this machine.

    Attributes
    ----------
    instance : str
        Identity of the endpoint's process; empty while unknown.
    is_up : bool
        Whether the endpoint accepts connections.
    is_leaving : bool
        Whether the endpoint or this node is shutting down.
    reported_at : float
        Monotonic time of the last answered poll or load report.
    """

    instance: str = ""
    is_up: bool = False
    is_leaving: bool = False
    reported_at: float = 0.0

    @property
    def is_accepting(self) -> bool:
        """Whether the node admits calls for the endpoint."""
        return self.is_up and not self.is_leaving and bool(self.instance)


class EndpointRunner:
    """Admits calls to the endpoint of this machine and runs them.

    Parameters
    ----------
    endpoint_client : EndpointClient
        Connections to the endpoint.
    node_settings : Settings
        Source of the endpoint's service.
    service_catalog : Catalog
        Published slots of the endpoints.
    header_names : HeaderNames
        Names of the mesh's own headers.
    rng : random.Random
        Adds jitter to the retry times of refused calls.
    now : float
        Present monotonic time, seconds.
    on_change : callable
        Called with the present time when calls start, wait or end.
    period_estimator : PeriodEstimator
        Times at which endpoints change their speed.
    poison_guard : PoisonRequestGuard
        Refuses requests that crash endpoints. This class notifies it of calls that lost
        their connection and of the end of the endpoint's process.
    internal_call_tracker : InternalCalls
        Recognises calls that running requests make.

    Attributes
    ----------
    state : EndpointState
        State of the endpoint.
    stops_at : float or None
        Monotonic time at which this node stops; None until its shutdown starts.
    slots : Slots
        Running and waiting calls.
    poll_schedule : PollSchedule
        Times at which the endpoint should be polled.
    """

    def __init__(
        self,
        endpoint_client: endpoint.EndpointClient,
        node_settings: settings.Settings,
        service_catalog: catalog.Catalog,
        header_names: settings.HeaderNames,
        rng: random.Random,
        now: float,
        on_change: Callable[[float], None],
        period_estimator: slowness_period.PeriodEstimator,
        poison_guard: poison_requests.PoisonRequestGuard,
        internal_call_tracker: internal_calls.InternalCalls,
    ) -> None:
        self._client = endpoint_client
        self._settings = node_settings
        self._catalog = service_catalog
        self._names = header_names
        self._rng = rng
        self._on_change = on_change
        self._poison_guard = poison_guard
        self._internal_calls = internal_call_tracker
        # Futures of waiting calls, by key. The result None admits the call; an outcome
        # refuses it.
        self._admitted_by_key: dict[int, asyncio.Future[calls.Outcome | None]] = {}
        self._keys = itertools.count()
        self._last_reported_external = 0
        self._failure_share = 0.0
        self._failure_share_at = now
        self._work_correction = work_correction.WorkCorrection(now)
        self.state = EndpointState()
        self.stops_at: float | None = None
        self.slots = slots.Slots(now, period_estimator)
        self.poll_schedule = polling.PollSchedule(period_estimator)

    def failure_share(self, now: float) -> float:
        """Return the recent share of calls that failed at the endpoint."""
        age_s = max(0.0, now - self._failure_share_at)
        return self._failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    async def run(self, call: calls.Call, instance: str) -> calls.Outcome:
        """Run a call if the endpoint's process is `instance`; else refuse it.

        Cancelling removes a waiting call from the queue, and closes the connection of a
        running one.
        """
        now = clock.now()
        is_internal_operation = self._internal_calls.classify(call, now)
        call.is_internal = is_internal_operation and call.may_precede
        outcome = await self._run(call, instance, now)
        return dataclasses.replace(outcome, internal=is_internal_operation)

    async def _run(self, call: calls.Call, instance: str, now: float) -> calls.Outcome:
        unavailable = self._unavailable(
            call.service, instance
        ) or self._poison_guard.check(call, now)
        if unavailable is not None:
            return unavailable
        if self.stops_at is not None and call.deadline > self.stops_at:
            # The call may run until its deadline, which is after the node stops, and a
            # running call must not be cut off.
            return calls.failed_outcome(errors.Kind.LEAVING, "the node is leaving")
        unserved = self._internal_calls.unserved_operation(call, now)
        if unserved is not None:
            reason = f"calls of {unserved} are refused"
            self._log_refusal(call, reason)
            after_s = retry_after.retry_after_s(UNSERVED_RETRY_AFTER_S, self._rng)
            return calls.failed_outcome(errors.Kind.OVERLOADED, reason, after_s)
        key = next(self._keys)
        offered = self.slots.offer(key, self._demand(call, now), now)
        if offered.verdict is slots.Verdict.REFUSE:
            self._log_refusal(call, offered.reason)
            self._internal_calls.record_verdict(call, "refused")
            after_s = retry_after.retry_after_s(offered.wait_s, self._rng)
            return calls.failed_outcome(errors.Kind.OVERLOADED, offered.reason, after_s)
        self._on_change(now)
        try:
            if offered.verdict is slots.Verdict.WAIT:
                refusal_outcome = await self._wait(key)
                if refusal_outcome is not None:
                    assert refusal_outcome.failure is not None
                    self._log_refusal(call, refusal_outcome.failure.detail)
                    self._internal_calls.record_verdict(call, "refused")
                    return refusal_outcome
                poison_refusal = self._poison_guard.check(call, clock.now())
                if poison_refusal is not None:
                    return poison_refusal
            verdict = "waited" if offered.verdict is slots.Verdict.WAIT else "started"
            self._internal_calls.record_verdict(call, verdict)
            return await self._exchange_and_track(key, call, instance)
        finally:
            self.slots.release(key)
            ended = clock.now()
            self.admit(ended)
            self._on_change(ended)

    def admit(self, now: float) -> None:
        """Start waiting calls that have a slot, and refuse those that cannot finish."""
        if not self.state.is_accepting:
            self.refuse_waiting("the endpoint takes no calls")
            return
        started, refused = self.slots.admit_waiting(now)
        for key in started:
            self._resolve(key, None, "")
        for each in refused:
            self._resolve(each.key, errors.Kind.OVERLOADED, each.reason)

    def refuse_waiting(self, reason: str) -> None:
        """Refuse all waiting calls; none of them has been sent to the endpoint."""
        for key in self.slots.remove_all_waiting():
            self._resolve(key, errors.Kind.LEAVING, reason)

    async def _wait(self, key: int) -> calls.Outcome | None:
        """Wait for a slot; return the outcome of a refused call, or None."""
        admitted = asyncio.get_running_loop().create_future()
        self._admitted_by_key[key] = admitted
        try:
            return await admitted
        finally:
            del self._admitted_by_key[key]

    def _resolve(self, key: int, kind: errors.Kind | None, reason: str) -> None:
        admitted = self._admitted_by_key.get(key)
        now = clock.now()
        if admitted is None or admitted.done():
            # The call was cancelled in the same iteration of the event loop.
            return
        if kind is None:
            admitted.set_result(None)
            return
        after_s = retry_after.retry_after_s(
            self.slots.progress.phase_left_s(now), self._rng
        )
        admitted.set_result(calls.failed_outcome(kind, reason, after_s))

    def on_new_process(self, instance: str, now: float) -> None:
        """Reset the state that belongs to the endpoint's previous process."""
        self._poison_guard.on_new_process(self.state.instance, now)
        self.state.instance = instance
        self._last_reported_external = 0
        self._failure_share = 0.0
        self.slots.on_new_process(now)
        self._work_correction = work_correction.WorkCorrection(now)
        self.poll_schedule.reset()

    @property
    def crash_check_at(self) -> float | None:
        """Time to poll the endpoint after lost calls, to detect a crash; else None."""
        return self._poison_guard.detector.settled_at

    def on_connection_refused(self, now: float) -> None:
        """Record that the endpoint refused a connection."""
        self._poison_guard.on_connection_refused(self.state.instance, now)

    def on_process_confirmed(self, polled_at: float) -> None:
        """Record that the known process answered a poll that was sent at a time."""
        self._poison_guard.detector.on_answer(polled_at)

    def on_load_report(self, header: str, now: float) -> None:
        """Process a load report of the endpoint.

        Parameters
        ----------
        header : str
            Running calls, waiting calls, slots, and the present run time in percent of
            the normal run time, separated by commas.
        """
        fields = [field.strip() for field in header.split(",")]
        if len(fields) < 3 or not all(f.isascii() and f.isdigit() for f in fields):
            logger.warning("load report is not readable", extra=_fields(header=header))
            return
        running, queued, capacity = (int(field) for field in fields[:3])
        if capacity > 0:
            self.slots.set_capacity(capacity, now)
        # The report counts its own request. It also counts calls that have just ended,
        # which the minimum of two successive reports excludes.
        external = max(0, running + queued - self.slots.running_count - 1)
        self.slots.external_count = min(external, self._last_reported_external)
        self._last_reported_external = external
        changed = False
        if len(fields) > 3:
            slowness = int(fields[3]) / 100.0
            changed = self.slots.progress.set_slowness(slowness, now)
        self.on_endpoint_answered(now, changed=changed)

    def on_endpoint_answered(self, now: float, *, changed: bool = False) -> None:
        """Record that the endpoint answered, with or without a load report.

        Parameters
        ----------
        changed : bool
            Whether the load report contains a new speed.
        """
        self.state.reported_at = now
        self.poll_schedule.on_report(now, changed=changed)

    def _demand(self, call: calls.Call, now: float) -> queue_policy.Demand:
        """Return the call's demand, with corrected work where slots are few."""
        demand = call.demand()
        few_slots = self._settings.balancing.few_slots
        if not self._catalog.has_few_slots(call.service, few_slots):
            return demand
        work_s = self._work_correction.corrected_s(call.work_s, now)
        return dataclasses.replace(demand, work_s=work_s)

    def _log_refusal(self, call: calls.Call, reason: str) -> None:
        fields = {
            "id": call.call_id,
            "instance": self.state.instance,
            "reason": reason,
            "internal": call.is_internal,
            "running": self.slots.running_count,
            "foreign": self.slots.external_count,
            "waiting": self.slots.waiting_count,
            "slots": self.slots.capacity,
            "limit": self.slots.limit,
            "slowness": self.slots.progress.slowness,
            "report_age_s": round(clock.now() - self.state.reported_at, 3),
        }
        logger.info("call is refused", extra={"fields": fields})

    def _unavailable(self, service: str, instance: str) -> calls.Outcome | None:
        """Return the refusal of calls for a service's process, or None.

        The caller's node may have read the entry of another writer, which names another
        service than the endpoint's.
        """
        state = self.state
        if service != self._settings.service:
            detail = f"the endpoint belongs to {self._settings.service}"
            return calls.failed_outcome(errors.Kind.STALE_INCARNATION, detail)
        if instance != state.instance:
            detail = f"the endpoint is {state.instance or 'unknown'}, not {instance}"
            return calls.failed_outcome(errors.Kind.STALE_INCARNATION, detail)
        if state.is_leaving:
            return calls.failed_outcome(
                errors.Kind.LEAVING, "the node or endpoint is leaving"
            )
        if not state.is_up:
            return calls.failed_outcome(errors.Kind.UNREACHABLE, "the endpoint is down")
        return None

    async def _exchange_and_track(
        self, key: int, call: calls.Call, instance: str
    ) -> calls.Outcome:
        has_ended = False
        try:
            with self._internal_calls.running(call):
                outcome = await self._exchange(key, call, instance, clock.now())
            failure = outcome.failure
            has_ended = failure is None or failure.not_run
            return outcome
        finally:
            self._internal_calls.on_run_ended(
                call, has_ended=has_ended, now=clock.now()
            )

    async def _exchange(
        self, key: int, call: calls.Call, instance: str, started_at: float
    ) -> calls.Outcome:
        try:
            payload, body = self._encode(call, instance, started_at)
        except ValueError as error:
            return calls.failed_outcome(errors.Kind.BAD_REQUEST, str(error))
        result = await self._client.send(
            endpoint.EndpointRequest(
                call.call_id, call.method, payload, call.deadline, call.idempotent, body
            )
        )
        now = clock.now()
        if isinstance(result, Err):
            failure = result.err_value
            self._on_failure(failure, call, now - started_at, now)
            reached = failure.kind is not errors.Kind.UNREACHABLE
            return calls.Outcome(failure=failure, reached=reached)
        response = result.ok_value
        load = header_rules.first_value(response.headers, self._names.load)
        if load:
            self.on_load_report(load, now)
        failed_answer = self._check_response(response)
        if failed_answer is not None:
            self._record_result(failed=True, now=now)
            return failed_answer
        # A 504 from the endpoint means that the deadline passed, not a fault.
        failed = response.status >= 500 and response.status != 504
        self._record_result(failed=failed, now=now)
        work_s = 0.0
        if response.status < 400:
            work_s = self.slots.on_answer(key, now)
            if work_s > 0.0:
                self._work_correction.record(call.work_s, work_s)
        self._poison_guard.on_call_answered(call)
        return calls.Outcome(response, reached=True, work_s=work_s)

    def _encode(
        self, call: calls.Call, instance: str, now: float
    ) -> tuple[bytes, model.Body]:
        """Return the encoded request, and its body if it is too large to be copied."""
        remaining_ms = max(1, int((call.deadline - now) * 1000))
        mesh_headers = [
            (self._names.call_id, call.call_id),
            (self._names.remaining_ms, str(remaining_ms)),
            (self._names.expected_instance, instance),
            (self._names.caller_service, call.caller_service),
        ]
        head = endpoint.encode_request_head(
            call.method, call.target, call.headers + mesh_headers, len(call.body)
        )
        if len(call.body) <= http.MAX_COPIED_BODY_BYTES:
            return head + call.body, b""
        return head, call.body

    def _check_response(self, response: http.Response) -> calls.Outcome | None:
        """Return the failure that the endpoint's response means, or None."""
        if response.status == endpoint.MISDIRECTED_STATUS:
            other = header_rules.first_value(response.headers, self._names.instance)
            detail = f"the endpoint is now {other}"
            return calls.failed_outcome(
                errors.Kind.STALE_INCARNATION, detail, reached=True
            )
        if header_rules.first_value(response.headers, self._names.not_run):
            detail = f"the endpoint refused with {response.status}"
            return calls.failed_outcome(errors.Kind.OVERLOADED, detail, reached=True)
        if header_rules.first_value(response.headers, "content-encoding"):
            detail = "the body is encoded although no encoding was asked for"
            return calls.failed_outcome(
                errors.Kind.ANSWER_INVALID, detail, reached=True
            )
        stamp = header_rules.first_value(response.headers, self._names.stamp)
        if response.status < 400 and not stamp:
            detail = "the answer bears no stamp of the endpoint"
            return calls.failed_outcome(
                errors.Kind.ANSWER_INVALID, detail, reached=True
            )
        return None

    def _on_failure(
        self, failure: errors.Failure, call: calls.Call, took_s: float, now: float
    ) -> None:
        if failure.kind is errors.Kind.UNREACHABLE:
            self.state.is_up = False
        if failure.kind in LOST_CONNECTION_KINDS and not self.state.is_leaving:
            # An endpoint that shuts down may close connections of running calls, which
            # is no crash.
            self._poison_guard.on_call_lost(call, now)
        hung = took_s > HUNG_RUN_TIME_RATIO * call.work_s * self.slots.progress.slowness
        if failure.kind is not errors.Kind.DEADLINE_UNKNOWN or hung:
            self._record_result(failed=True, now=now)

    def _record_result(self, *, failed: bool, now: float) -> None:
        share = self.failure_share(now)
        self._failure_share = share + FAILURE_WEIGHT * (failed - share)
        self._failure_share_at = now


def _fields(**fields: object) -> dict[str, object]:
    return {"fields": fields}
