"""Takes a call from its caller's request to its one answer."""

from __future__ import annotations

import asyncio
import logging
import random

from snipelink import clock, errors
from snipelink.decide import placement, retry_after, traffic_split
from snipelink.mesh import (
    attempts,
    calls,
    catalog,
    poison_requests,
    published_state,
    settings,
)
from snipelink.observe import metrics
from snipelink.session import headers as header_rules
from snipelink.session import http

logger = logging.getLogger(__name__)

# Refusals of nodes after which a call is refused; each costs a trip to a node.
MAX_REFUSALS = 4
# Answer of a node that cannot say when there will be an endpoint, seconds.
NO_ENDPOINT_RETRY_AFTER_S = 0.3
# Caller's time that remains when none is given, milliseconds.
DEFAULT_REMAINING_MS = 30_000
# Time before the deadline at which a call without an answer is given up, seconds: the
# way back to the caller.
ANSWER_MARGIN_S = 0.01


class Dispatcher:
    """Answers the requests of callers.

    Parameters
    ----------
    own : Settings
        Identity of this node.
    names : HeaderNames
        Names of the mesh's own headers.
    known : Catalog
        Routes and endpoints.
    running : Attempts
        Runs calls on endpoints.
    contained : PoisonRequestGuard
        Refuses calls that crash endpoints.
    recorded : Metrics
        Receives latencies and error kinds.
    rng : random.Random
        Spreads returning callers and the parts of split routes.
    """

    def __init__(
        self,
        own: settings.Settings,
        names: settings.HeaderNames,
        known: catalog.Catalog,
        running: attempts.AttemptRunner,
        contained: poison_requests.PoisonRequestGuard,
        recorded: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._names = names
        self._dropped_of_requests = header_rules.HOP_BY_HOP | {
            "content-length",
            "expect",
            names.call_id,
            names.remaining_ms,
            names.expected_instance,
            names.caller_service,
        }
        self._dropped_of_answers = header_rules.HOP_BY_HOP | {
            "content-length",
            names.load,
        }
        self._catalog = known
        self._attempts = running
        self._containment = contained
        self._metrics = recorded
        self._rng = rng
        # Monotonic time at which this node stops, once that is known.
        self.stops_at: float | None = None
        self._is_stopping = False
        # Each call in flight; a time limit is set when the node stops.
        self._until_stop: set[asyncio.Timeout] = set()
        self._splitters_by_route: dict[
            published_state.Route, traffic_split.TrafficSplitter
        ] = {}

    async def answer(self, request: http.Request, arrived_at: float) -> http.Response:
        """Return the answer to a request."""
        call_id = request.header(self._names.call_id)
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
        call = self._build(request, call_id, route, arrived_at)
        if self._is_stopping or (
            self.stops_at is not None and call.deadline > self.stops_at
        ):
            # It may last until its deadline, and must not be cut off before.
            after_s = retry_after.retry_after_s(NO_ENDPOINT_RETRY_AFTER_S, self._rng)
            outcome = calls.failed_outcome(
                errors.Kind.LEAVING, "the node is leaving", after_s
            )
        else:
            outcome = await self._run_until_stop(call)
        return self._finish(request, call_id, route.name, outcome, arrived_at, call)

    def stop(self) -> None:
        """Start no further attempts; calls that were refused are told so."""
        self._is_stopping = True

    def abort_calls(self) -> None:
        """Answer the calls that still wait or run: whether they ran is unknown."""
        now = asyncio.get_running_loop().time()
        for limit in self._until_stop:
            limit.reschedule(now)

    def on_catalog_change(self, now: float) -> None:
        """Forget what belongs to routes that are no longer published."""
        self._attempts.on_catalog_change(now)
        table = self._catalog.route_table
        if table is None:
            return
        routes = set(table.configuration.routes)
        for route in [r for r in self._splitters_by_route if r not in routes]:
            del self._splitters_by_route[route]
        self._attempts.estimates.retain(
            {(part.service, route.name) for route in routes for part in route.parts}
        )

    def _build(
        self,
        request: http.Request,
        call_id: str,
        route: published_state.Route,
        now: float,
    ) -> calls.Call:
        service = self._service(route)
        remaining_ms = _parse_ms(request.header(self._names.remaining_ms))
        remaining_s = min(remaining_ms / 1000.0, route.timeout_s)
        return calls.Call(
            call_id,
            service,
            route.name,
            request.method,
            request.raw_target,
            header_rules.end_to_end(request.headers, self._dropped_of_requests),
            request.body,
            now,
            now + min(route.target_s, remaining_s),
            now + remaining_s - ANSWER_MARGIN_S,
            route.priority,
            route.idempotent,
            self._attempts.estimates.work_s(service, route.name, route.target_s),
            self._own.service,
            max_attempts=max(1, route.max_attempts),
        )

    def _service(self, route: published_state.Route) -> str:
        if len(route.parts) == 1:
            return route.parts[0].service
        splitter = self._splitters_by_route.get(route)
        if splitter is None:
            weights = [part.weight for part in route.parts]
            splitter = traffic_split.TrafficSplitter(weights, self._rng)
            self._splitters_by_route[route] = splitter
        return route.parts[splitter.next_index()].service

    def is_idempotent(self, request: http.Request) -> bool:
        """Whether a request may run twice, as far as is known."""
        table = self._catalog.route_table
        route = table.match(request.host, request.path) if table else None
        return route is not None and route.idempotent

    async def _run_until_stop(self, call: calls.Call) -> calls.Outcome:
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._until_stop.add(limit)
                return await self._run(call)
        except TimeoutError:
            if not limit.expired():
                raise
            # Not `stopped`: its 503 would promise callers that the call has not run.
            detail = "the node has stopped"
            return calls.failed_outcome(
                errors.Kind.CONNECTION_LOST, detail, reached=True
            )
        finally:
            self._until_stop.discard(limit)

    async def _run(self, call: calls.Call) -> calls.Outcome:
        """Try endpoints until one answers, or there is no use in trying further."""
        tried: set[str] = set()
        arrivals = refusals = 0
        outcome: calls.Outcome | None = None
        while True:
            now = clock.now()
            contained = self._containment.check(call, now)
            if contained is not None:
                return attempts.merge_outcomes(outcome, contained)
            chosen = self._attempts.choose(call, tried, now)
            if chosen is None:
                return outcome or self._no_endpoint(call, now)
            tried.add(chosen.instance)
            call.choice = chosen
            latest, sent = await self._attempts.run(call, chosen, tried, arrivals)
            outcome = attempts.merge_outcomes(outcome, latest)
            arrivals += sent
            if latest.response is not None:
                self._containment.on_call_answered(call)
            if outcome.is_success:
                return outcome
            refusals += not latest.reached
            now = clock.now()
            if not self._may_repeat(call, latest, arrivals, refusals, now):
                return outcome
            failed = attempts.RetryReason.FAILED
            if arrivals and not self._attempts.try_spend_budget(call, failed, now):
                return outcome
            attempts.log_decision(
                call,
                "call is tried on another endpoint",
                now,
                instance=chosen.instance,
                **_outcome_fields(latest),
            )

    def _may_repeat(
        self,
        call: calls.Call,
        latest: calls.Outcome,
        arrivals: int,
        refusals: int,
        now: float,
    ) -> bool:
        if self._is_stopping or poison_requests.is_crash_suspect(latest):
            return False
        if arrivals >= call.max_attempts or refusals >= MAX_REFUSALS:
            return False
        if now + call.work_s >= call.deadline:
            return False
        not_run = latest.failure is not None and latest.failure.not_run
        return call.idempotent or not_run

    def _no_endpoint(self, call: calls.Call, now: float) -> calls.Outcome:
        after_s = retry_after.retry_after_s(NO_ENDPOINT_RETRY_AFTER_S, self._rng)
        known = len(self._catalog.usable_instances(call.service, now))
        detail = f"none of {known} endpoints of {call.service} takes calls"
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
        if call is not None and call.choice is not None:
            fields |= _choice_fields(call.choice)
        logger.info("call is answered", extra={"fields": fields})
        if outcome.response is not None:
            return self._pass_on(outcome.response)
        assert outcome.failure is not None
        return failure_response(outcome.failure, self._names, call_id)

    def _pass_on(self, response: http.Response) -> http.Response:
        passed = header_rules.end_to_end(response.headers, self._dropped_of_answers)
        return http.Response(response.status, passed, response.body)


def failure_response(
    failure: errors.Failure, names: settings.HeaderNames, call_id: str
) -> http.Response:
    """Return the response that tells a caller of a failure."""
    entry = failure.entry
    fields = [
        ("content-type", "text/plain; charset=utf-8"),
        ("snipelink-error", failure.kind.value),
        ("snipelink-ran", entry.ran.value),
    ]
    if call_id:
        fields.append((names.call_id, call_id))
    if entry.repeat is not errors.Repeat.NO and failure.retry_after_s > 0.0:
        fields.append(("retry-after", f"{failure.retry_after_s:.3f}"))
    text = f"{failure.kind.value}: {failure.detail}\n"
    return http.Response(entry.status, fields, text.encode())


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
