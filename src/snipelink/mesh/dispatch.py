"""Routes requests of callers, runs them with retries and returns their answers."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import random
import time

from snipelink import clock, errors
from snipelink.decide import (
    answer_room,
    placement,
    retry_after,
    start_wait,
    traffic_split,
)
from snipelink.mesh import (
    attempts,
    buffers,
    calls,
    catalog,
    internal_calls,
    poison_requests,
    published_state,
    settings,
)
from snipelink.observe import metrics
from snipelink.session import headers as header_rules
from snipelink.session import http

logger = logging.getLogger(__name__)

# Number of attempts that may end before they reach an endpoint, mostly because a node
# refuses them; then the call fails. Each of them costs a round trip to a node.
MAX_REFUSED_ATTEMPTS = 4
# Retry time for callers when no endpoint is available, seconds.
NO_ENDPOINT_RETRY_AFTER_S = 0.3
# Retry time for callers whose answers have no room in memory, seconds. A slow reader
# needs about that long for a part of a large answer.
ANSWER_ROOM_RETRY_AFTER_S = 0.5
# Remaining time of a request that states none, milliseconds.
DEFAULT_REMAINING_MS = 30_000
# Time before the caller's deadline at which a call without an answer fails, seconds, so
# that the failure reaches the caller in time.
ANSWER_MARGIN_S = 0.01


class Dispatcher:
    """Answers the requests of callers.

    Parameters
    ----------
    node_settings : Settings
        Identity of this node.
    header_names : HeaderNames
        Names of the mesh's own headers.
    service_catalog : Catalog
        Routes and endpoints.
    attempt_runner : AttemptRunner
        Chooses endpoints and runs attempts on them.
    poison_guard : PoisonRequestGuard
        Refuses requests that crash endpoints.
    internal_call_tracker : InternalCalls
        Observes calls that requests on this node's endpoint make.
    node_buffers : Buffers
        Memory in which answers are held until their callers have read them.
    metrics_registry : Metrics
        Records latencies and error kinds.
    rng : random.Random
        Adds jitter to retry times and picks the services of split routes.

    Attributes
    ----------
    stops_at : float or None
        Monotonic time at which this node stops; None until its shutdown starts.
    """

    def __init__(
        self,
        node_settings: settings.Settings,
        header_names: settings.HeaderNames,
        service_catalog: catalog.Catalog,
        attempt_runner: attempts.AttemptRunner,
        poison_guard: poison_requests.PoisonRequestGuard,
        internal_call_tracker: internal_calls.InternalCalls,
        node_buffers: buffers.Buffers,
        metrics_registry: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = node_settings
        self._names = header_names
        self._request_headers_to_drop = header_rules.HOP_BY_HOP | {
            "content-length",
            "expect",
            header_names.call_id,
            header_names.remaining_ms,
            header_names.expected_instance,
            header_names.caller_service,
        }
        self._answer_headers_to_drop = header_rules.HOP_BY_HOP | {
            "content-length",
            header_names.load,
        }
        self._catalog = service_catalog
        self._attempts = attempt_runner
        self._poison_guard = poison_guard
        self._internal_calls = internal_call_tracker
        self._buffers = node_buffers
        self._answer_room = answer_room.AnswerRoom()
        self._answers_without_room = metrics_registry.counter(
            "snipelink_mesh_answers_without_room_total",
            "Calls refused because there would be no memory for their answers.",
            ("service",),
        )
        self._metrics = metrics_registry
        self._rng = rng
        self.stops_at: float | None = None
        self._is_stopping = False
        # Set by the first configuration, and by `stop`, which ends the wait for it.
        self._may_answer = asyncio.Event()
        # Monotonic time of the first configuration.
        self._configured_at = math.inf
        # One timeout for each call in flight; it has no deadline until `abort_calls`.
        self._stop_timeouts: set[asyncio.Timeout] = set()
        self._splitters_by_route: dict[
            published_state.Route, traffic_split.TrafficSplitter
        ] = {}

    async def answer(self, request: http.Request, arrived_at: float) -> http.Response:
        """Run a request and return the answer for its caller.

        Parameters
        ----------
        arrived_at : float
            Monotonic time at which the first byte of the request arrived.
        """
        call_id = request.header(self._names.call_id)
        if self._catalog.route_table is None and self.stops_at is None:
            await self._wait_for_configuration(request, arrived_at)
        table = self._catalog.route_table
        if table is None:
            outcome = calls.failed_outcome(
                errors.Kind.NOT_READY,
                "no configuration is in force",
                NO_ENDPOINT_RETRY_AFTER_S,
            )
            return self._finish(request, call_id, "", outcome, arrived_at)
        route = table.match(request.host, request.path)
        if route is None:
            outcome = calls.failed_outcome(
                errors.Kind.NO_RULE, "no route matches the request"
            )
            return self._finish(request, call_id, "", outcome, arrived_at)
        if not call_id:
            outcome = calls.failed_outcome(
                errors.Kind.BAD_REQUEST, "the request has no identity"
            )
            return self._finish(request, call_id, route.name, outcome, arrived_at)
        if route.problem:
            detail = f"route {route.name} cannot be read: {route.problem}"
            outcome = calls.failed_outcome(
                errors.Kind.NOT_READY, detail, NO_ENDPOINT_RETRY_AFTER_S
            )
            return self._finish(request, call_id, route.name, outcome, arrived_at)
        call = self._build_call(request, call_id, route, arrived_at)
        if self._is_stopping or (
            self.stops_at is not None and call.deadline > self.stops_at
        ):
            # The call may run until its deadline, which is after the node stops, and a
            # running call must not be cut off.
            after_s = retry_after.retry_after_s(NO_ENDPOINT_RETRY_AFTER_S, self._rng)
            outcome = calls.failed_outcome(
                errors.Kind.LEAVING, "the node is leaving", after_s
            )
        else:
            outcome = await self._run_if_answer_fits(call)
        return self._finish(request, call_id, route.name, outcome, arrived_at, call)

    async def _run_if_answer_fits(self, call: calls.Call) -> calls.Outcome:
        """Run a call, or refuse it if its answer would find no memory."""
        answer_bytes = self._attempts.expected_answer_bytes(call)
        pools = [self._buffers.peer_replies]
        if call.service == self._settings.service:
            pools.append(self._buffers.endpoint_answers)
        if not self._answer_room.may_start(answer_bytes, pools):
            self._answers_without_room.increment(call.service)
            after_s = retry_after.retry_after_s(ANSWER_ROOM_RETRY_AFTER_S, self._rng)
            return calls.failed_outcome(
                errors.Kind.OVERLOADED, "no memory for the answer", after_s
            )
        with (
            self._answer_room.expecting(answer_bytes),
            self._internal_calls.passing_on(call),
        ):
            outcome = await self._run_with_stop_timeout(call)
        self._internal_calls.on_outcome(call, outcome, clock.now())
        return self._attempts.returns.plan(call, outcome, clock.now())

    def stop(self) -> None:
        """Refuse new calls and start no retries; failed calls return their failure."""
        self._is_stopping = True
        self._may_answer.set()

    def abort_calls(self) -> None:
        """Fail all calls in flight at once; it is unknown whether they have run."""
        now = asyncio.get_running_loop().time()
        for timeout in self._stop_timeouts:
            timeout.reschedule(now)

    def on_catalog_change(self, now: float) -> None:
        """Drop state of routes that are no longer published."""
        self._attempts.on_catalog_change(now)
        table = self._catalog.route_table
        if table is None:
            return
        if self._configured_at == math.inf:
            self._configured_at = now
            self._may_answer.set()
        routes = set(table.configuration.routes)
        for route in [r for r in self._splitters_by_route if r not in routes]:
            del self._splitters_by_route[route]
        operations = {
            (part.service, route.name) for route in routes for part in route.parts
        }
        self._attempts.estimates.retain(operations)
        self._attempts.answer_sizes.retain(operations)
        self._internal_calls.retain({route.name for route in routes})

    def _build_call(
        self,
        request: http.Request,
        call_id: str,
        route: published_state.Route,
        now: float,
    ) -> calls.Call:
        service = self._choose_service(route)
        remaining_ms = _parse_ms(request.header(self._names.remaining_ms))
        remaining_s = min(remaining_ms / 1000.0, route.timeout_s)
        return calls.Call(
            call_id,
            service,
            route.name,
            request.method,
            request.raw_target,
            header_rules.end_to_end(request.headers, self._request_headers_to_drop),
            request.body,
            now,
            now + min(route.target_s, remaining_s),
            now + remaining_s - ANSWER_MARGIN_S,
            route.priority,
            route.idempotent,
            self._attempts.estimates.work_s(service, route.name, route.target_s),
            self._settings.service,
            max_attempts=max(1, route.max_attempts),
        )

    def _choose_service(self, route: published_state.Route) -> str:
        if len(route.parts) == 1:
            return route.parts[0].service
        splitter = self._splitters_by_route.get(route)
        if splitter is None:
            weights = [part.weight for part in route.parts]
            splitter = traffic_split.TrafficSplitter(weights, self._rng)
            self._splitters_by_route[route] = splitter
        return route.parts[splitter.next_index()].service

    def is_idempotent(self, request: http.Request) -> bool:
        """Whether the route of a request is known to be idempotent."""
        table = self._catalog.route_table
        route = table.match(request.host, request.path) if table else None
        return route is not None and route.idempotent

    async def _run_with_stop_timeout(self, call: calls.Call) -> calls.Outcome:
        timeout = asyncio.timeout(None)
        try:
            async with timeout:
                self._stop_timeouts.add(timeout)
                return await self._run(call)
        except TimeoutError:
            if not timeout.expired():
                raise
            # The kind `stopped` would be wrong: its status 503 tells callers that the
            # call has not run.
            detail = "the node has stopped"
            return calls.failed_outcome(
                errors.Kind.CONNECTION_LOST, detail, reached=True
            )
        finally:
            self._stop_timeouts.discard(timeout)

    async def _run(self, call: calls.Call) -> calls.Outcome:
        """Run a call on endpoints, one after the other, until one answers.

        A failed attempt is retried on another endpoint only if `_may_retry` allows it.
        Once an attempt has reached an endpoint, retries also need the retry budget.
        """
        tried: set[str] = set()
        reached_count = unreached_count = 0
        outcome: calls.Outcome | None = None
        now = clock.now()
        is_internal = call.may_precede and self._internal_calls.is_known(
            call.operation, now
        )
        no_room = None if is_internal else self._attempts.refuse_without_room(call, now)
        if no_room is not None:
            return no_room
        while True:
            now = clock.now()
            poison_refusal = self._poison_guard.check(call, now)
            if poison_refusal is not None:
                return attempts.merge_outcomes(outcome, poison_refusal)
            chosen = self._attempts.choose(call, tried, now)
            if chosen is None and outcome is None and self._may_wait(call, now):
                await asyncio.sleep(start_wait.CHECK_INTERVAL_S)
                continue
            if chosen is None:
                return outcome or self._no_endpoint_outcome(call, now)
            tried.add(chosen.instance)
            call.choice = chosen
            latest, newly_reached = await self._attempts.run(
                call, chosen, tried, reached_count
            )
            outcome = attempts.merge_outcomes(outcome, latest)
            reached_count += newly_reached
            if latest.response is not None:
                self._poison_guard.on_call_answered(call)
            if outcome.is_success:
                return outcome
            unreached_count += not latest.reached
            now = clock.now()
            if not self._may_retry(call, latest, reached_count, unreached_count, now):
                return outcome
            if _is_overloaded(latest) and not self._attempts.has_room_elsewhere(
                call, tried, now
            ):
                return outcome
            failed = attempts.RetryReason.FAILED
            if reached_count and not self._attempts.try_spend_budget(call, failed, now):
                return outcome
            attempts.log_decision(
                call,
                "call is tried on another endpoint",
                now,
                instance=chosen.instance,
                **_outcome_fields(latest),
            )

    async def _wait_for_configuration(
        self, request: http.Request, arrived_at: float
    ) -> None:
        """Wait for the first configuration of a node that has just started."""
        remaining_ms = _parse_ms(request.header(self._names.remaining_ms))
        wait_s = start_wait.for_configuration_s(remaining_ms / 1000.0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(arrived_at + wait_s - clock.now()):
                await self._may_answer.wait()

    def _may_wait(self, call: calls.Call, now: float) -> bool:
        """Whether a call may wait for the first endpoint of its service."""
        few_slots = self._settings.balancing.few_slots
        return (
            not self._is_stopping
            and self._catalog.has_few_slots(call.service, few_slots)
            and start_wait.may_wait_for_endpoint(
                call.demand(), now - self._configured_at, now
            )
        )

    def _may_retry(
        self,
        call: calls.Call,
        latest: calls.Outcome,
        reached_count: int,
        unreached_count: int,
        now: float,
    ) -> bool:
        if self._is_stopping or poison_requests.is_crash_suspect(latest):
            return False
        if (
            reached_count >= call.max_attempts
            or unreached_count >= MAX_REFUSED_ATTEMPTS
        ):
            return False
        if now + call.work_s >= call.deadline:
            return False
        not_run = latest.failure is not None and latest.failure.not_run
        return call.idempotent or not_run

    def _no_endpoint_outcome(self, call: calls.Call, now: float) -> calls.Outcome:
        after_s = retry_after.retry_after_s(NO_ENDPOINT_RETRY_AFTER_S, self._rng)
        usable_count = len(self._catalog.usable_instances(call.service, now))
        detail = f"none of {usable_count} endpoints of {call.service} takes calls"
        return calls.failed_outcome(errors.Kind.NO_ENDPOINT, detail, after_s)

    def _finish(
        self,
        request: http.Request,
        call_id: str,
        route: str,
        outcome: calls.Outcome,
        arrived_at: float,
        call: calls.Call | None = None,
    ) -> http.Response:
        now = clock.now()
        kind = outcome.failure.kind if outcome.failure else None
        service = call.service if call else ""
        self._metrics.record_call(service, now - arrived_at, kind)
        fields = {
            "id": call_id,
            "route": route,
            "service": service,
            "version": self._catalog.configuration_version,
            "took_s": round(now - arrived_at, 4),
            "remaining_ms": request.header(self._names.remaining_ms),
            **_outcome_fields(outcome),
        }
        if call is not None:
            fields["to_target_s"] = round(call.target_at - arrived_at, 3)
            fields["expected_work_s"] = round(call.work_s, 3)
            fields["beside_running"] = call.beside_running
            fields["internal"] = self._internal_calls.is_known(call.operation, now)
            if call.choice is not None:
                fields |= _choice_fields(call.choice)
            if call.appointment is not None:
                returns_at = time.time() + call.appointment.after_s
                fields["returns_at"] = round(returns_at, 3)
                fields["booked"] = call.appointment.is_booked
        logger.info("call is answered", extra={"fields": fields})
        if outcome.response is not None:
            return self._strip_headers(outcome.response)
        assert outcome.failure is not None
        return failure_response(outcome.failure, self._names, call_id)

    def _strip_headers(self, response: http.Response) -> http.Response:
        passed = header_rules.end_to_end(response.headers, self._answer_headers_to_drop)
        return http.Response(response.status, passed, response.body)


def failure_response(
    failure: errors.Failure, names: settings.HeaderNames, call_id: str
) -> http.Response:
    """Return the response that reports a failure to the caller."""
    traits = failure.traits
    fields = [
        ("content-type", "text/plain; charset=utf-8"),
        ("snipelink-error", failure.kind.value),
        ("snipelink-ran", traits.execution_status.value),
    ]
    if call_id:
        fields.append((names.call_id, call_id))
    if (
        traits.retryability is not errors.Retryability.NO
        and failure.retry_after_s > 0.0
    ):
        fields.append(("retry-after", f"{failure.retry_after_s:.3f}"))
    text = f"{failure.kind.value}: {failure.detail}\n"
    return http.Response(traits.status, fields, text.encode())


def _is_overloaded(outcome: calls.Outcome) -> bool:
    failure = outcome.failure
    return failure is not None and failure.kind is errors.Kind.OVERLOADED


def _parse_ms(text: str) -> int:
    if text.isascii() and text.isdigit() and len(text) <= 9:
        return int(text)
    return DEFAULT_REMAINING_MS


def _choice_fields(choice: placement.Candidate) -> dict[str, object]:
    return {
        "instance": choice.instance,
        "near": choice.near,
        "running": choice.running,
        "waiting": choice.waiting,
        "slowness": choice.slowness,
        "failing": choice.failing_ratio,
        "fact_age_s": round(choice.age_s, 3),
    }


def _outcome_fields(outcome: calls.Outcome) -> dict[str, object]:
    if outcome.failure is not None:
        failure = outcome.failure
        return {
            "failure": failure.kind.value,
            "detail": failure.detail,
            "reached": outcome.reached,
            "retry_after_s": round(failure.retry_after_s, 3),
        }
    assert outcome.response is not None
    return {"status": outcome.response.status, "work_s": round(outcome.work_s, 4)}
