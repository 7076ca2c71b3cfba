"""Takes a call from its caller's request to its one answer."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
import time

from snipelink import errors
from snipelink.decide import placement, refusal, second, split, work
from snipelink.mesh import (
    admission,
    calls,
    catalog,
    loads,
    objects,
    peers,
    settings,
)
from snipelink.observe import metrics
from snipelink.retry import budget
from snipelink.session import headers as header_rules
from snipelink.session import http

logger = logging.getLogger(__name__)

# Time between two looks at a call that runs, seconds; a fraction of the time for
# which an endpoint is slow.
LOOK_S = 0.05
# Refusals of nodes after which a call is refused; each costs a trip to a node.
MAX_REFUSALS = 4
# Share of the retry budget that is used, of its allowance and of its ratio: calls that
# a repeated call makes count as repeats at the services they go to, and calls of
# endpoints do not count as requests there.
ALLOWANCE_SHARE = 0.3
RATIO_SHARE = 0.15
# Answer of a node that cannot say when there will be an endpoint, seconds.
NO_ENDPOINT_RETRY_AFTER_S = 0.3
# Caller's time that remains when none is given, milliseconds.
DEFAULT_REMAINING_MS = 30_000
# Time before the deadline at which a call without an answer is given up, seconds: the
# way back to the caller.
ANSWER_MARGIN_S = 0.01


@dataclasses.dataclass(slots=True)
class _Attempt:
    """One attempt that runs."""

    task: asyncio.Task[calls.Outcome]
    instance: str
    started: float
    started_work_s: float


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
    table : LoadTable
        Load of all endpoints.
    runner : Runner
        Runs calls on the own endpoint.
    client : PeerClient
        Runs calls on other endpoints.
    recorded : Metrics
        Receives latencies and error kinds.
    rng : random.Random
        Breaks ties.
    """

    def __init__(
        self,
        own: settings.Settings,
        names: settings.HeaderNames,
        known: catalog.Catalog,
        table: loads.LoadTable,
        runner: admission.Runner,
        client: peers.PeerClient,
        recorded: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._names = names
        self._catalog = known
        self._loads = table
        self._runner = runner
        self._client = client
        self._metrics = recorded
        self._rng = rng
        self._estimates = work.Estimates()
        # Monotonic time at which this node stops, once that is known.
        self.stops_at: float | None = None
        self._budgets_by_service: dict[str, budget.Budget] = {}
        self._splitters_by_route: dict[objects.Route, split.Splitter] = {}

    async def answer(self, request: http.Request, arrived: float) -> http.Response:
        """Return the answer to a request."""
        call_id = request.header(self._names.call_id)
        table = self._catalog.table
        if table is None:
            outcome = calls.fail(
                errors.Kind.NOT_READY,
                "no configuration is in force",
                NO_ENDPOINT_RETRY_AFTER_S,
            )
            return self._finish(request, call_id, "", outcome, arrived)
        route = table.match(request.host, request.path)
        if route is None:
            outcome = calls.fail(errors.Kind.NO_RULE, "no route matches the request")
            return self._finish(request, call_id, "", outcome, arrived)
        if not call_id:
            outcome = calls.fail(errors.Kind.BAD_REQUEST, "the request has no identity")
            return self._finish(request, call_id, route.name, outcome, arrived)
        call = self._build(request, call_id, route, arrived)
        if self.stops_at is not None and call.deadline > self.stops_at:
            # It may last until its deadline, and must not be cut off before.
            after_s = refusal.retry_after_s(NO_ENDPOINT_RETRY_AFTER_S, self._rng)
            outcome = calls.fail(errors.Kind.LEAVING, "the node is leaving", after_s)
        else:
            outcome = await self._run(call)
        return self._finish(request, call_id, route.name, outcome, arrived, call)

    def on_catalog_change(self) -> None:
        """Forget what belongs to routes that are no longer published."""
        table = self._catalog.table
        if table is None:
            return
        routes = set(table.configuration.routes)
        for route in [r for r in self._splitters_by_route if r not in routes]:
            del self._splitters_by_route[route]
        self._estimates.retain(
            {(part.service, route.name) for route in routes for part in route.parts}
        )
        nodes = max(1, len(self._catalog.instances_by_id))
        for each in self._budgets_by_service.values():
            each.set_allowance(self._allowance(nodes))

    def _build(
        self, request: http.Request, call_id: str, route: objects.Route, now: float
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
            header_rules.end_to_end(request.headers, self._dropped()),
            request.body,
            now,
            now + min(route.target_s, remaining_s),
            now + remaining_s - ANSWER_MARGIN_S,
            route.priority,
            route.idempotent,
            self._estimates.work_s(service, route.name),
            self._own.service,
            max_attempts=max(1, route.max_attempts),
        )

    def _dropped(self) -> frozenset[str]:
        names = self._names
        return header_rules.HOP_BY_HOP | {
            "content-length",
            "expect",
            names.call_id,
            names.remaining_ms,
            names.expected_instance,
            names.caller_service,
        }

    def _service(self, route: objects.Route) -> str:
        if len(route.parts) == 1:
            return route.parts[0].service
        splitter = self._splitters_by_route.get(route)
        if splitter is None:
            weights = [part.weight for part in route.parts]
            splitter = split.Splitter(weights, self._rng)
            self._splitters_by_route[route] = splitter
        return route.parts[splitter.next()].service

    def is_idempotent(self, request: http.Request) -> bool:
        """Whether a request may run twice, as far as is known."""
        table = self._catalog.table
        route = table.match(request.host, request.path) if table else None
        return route is not None and route.idempotent

    async def _run(self, call: calls.Call) -> calls.Outcome:
        """Try endpoints until one answers, or there is no use in trying further."""
        tried: set[str] = set()
        arrivals = refusals = 0
        outcome: calls.Outcome | None = None
        while True:
            now = time.monotonic()
            chosen = self._choose(call, tried, now)
            if chosen is None:
                return outcome or self._no_endpoint(call, now)
            tried.add(chosen.instance)
            call.choice = chosen
            latest, sent = await self._attempt(call, chosen, tried, arrivals)
            outcome = _more_telling(outcome, latest)
            arrivals += sent
            if outcome.is_success:
                return outcome
            refusals += not latest.reached
            now = time.monotonic()
            if not self._may_repeat(call, latest, arrivals, refusals, now):
                return outcome
            if arrivals and not self._budget(call.service).try_spend(now):
                self._log(call, "no budget for a further attempt", now)
                return outcome
            self._log(
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
        if arrivals >= call.max_attempts or refusals >= MAX_REFUSALS:
            return False
        if now + call.work_s >= call.deadline:
            return False
        not_run = latest.failure is not None and latest.failure.not_run
        return call.idempotent or not_run

    async def _attempt(
        self,
        call: calls.Call,
        chosen: placement.Candidate,
        tried: set[str],
        arrivals: int,
    ) -> tuple[calls.Outcome, int]:
        """Run a call on an endpoint, and on a second one if the first turns slow.

        Returns the better outcome and the number of endpoints that were reached.
        """
        running = [self._start(call, chosen)]
        best: calls.Outcome | None = None
        sent = 0
        try:
            while True:
                done, _ = await asyncio.wait(
                    [attempt.task for attempt in running],
                    timeout=LOOK_S if call.idempotent else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                now = time.monotonic()
                for attempt in [a for a in running if a.task in done]:
                    running.remove(attempt)
                    outcome = attempt.task.result()
                    sent += outcome.reached
                    self._record(call, attempt, outcome, now)
                    best = _more_telling(best, outcome)
                    if best.is_success or not running:
                        return best, sent + len(running)
                if len(running) == 1 and arrivals + sent + 2 <= call.max_attempts:
                    extra = self._second(call, running[0], tried, now)
                    if extra is not None:
                        running.append(extra)
        finally:
            for attempt in running:
                attempt.task.cancel()

    def _second(
        self, call: calls.Call, first: _Attempt, tried: set[str], now: float
    ) -> _Attempt | None:
        """Start a second attempt if it is likely to end sooner, and in budget."""
        fact = self._loads.facts_by_instance.get(first.instance)
        if fact is None:
            return None
        other = self._choose(call, tried, now)
        if other is None:
            return None
        if now - fact.received_at > placement.SILENT_S:
            left_s = call.deadline - now
        else:
            done_s = fact.progress.work_until(now) - first.started_work_s
            left_work_s = second.remaining_work_s(call.work_s, done_s)
            left_s = fact.progress.time_s(left_work_s)
        mean_s = self._estimates.mean_work_s(call.service)
        elsewhere_s = placement.expected_s(other, call.work_s, mean_s)
        if not second.is_worthwhile(
            left_s, elsewhere_s, call.target_at, call.deadline, now
        ):
            return None
        if not self._budget(call.service).try_spend(now):
            return None
        tried.add(other.instance)
        self._log(
            call,
            "call is sent to a second endpoint",
            now,
            instance=first.instance,
            second=other.instance,
            left_s=round(left_s, 3),
            elsewhere_s=round(elsewhere_s, 3),
        )
        return self._start(call, other)

    def _start(self, call: calls.Call, chosen: placement.Candidate) -> _Attempt:
        now = time.monotonic()
        fact = self._loads.facts_by_instance[chosen.instance]
        if fact.host == self._own.host:
            running = self._runner.run(call, chosen.instance)
        else:
            self._loads.on_sent(chosen.instance, now)
            running = self._client.call(fact.host, chosen.instance, call)
        task = asyncio.ensure_future(running)
        done_s = fact.progress.work_until(now)
        return _Attempt(task, chosen.instance, now, done_s)

    def _choose(
        self, call: calls.Call, tried: set[str], now: float
    ) -> placement.Candidate | None:
        candidates = []
        for instance in self._catalog.usable(call.service, now):
            if instance.id in tried:
                continue
            near = instance.failure_domain == self._own.failure_domain
            candidate = self._loads.candidate(instance, near=near, now=now)
            if candidate is not None:
                candidates.append(candidate)
        mean_s = self._estimates.mean_work_s(call.service)
        return placement.choose(
            candidates, call.work_s, mean_s, self._rng, movable=call.idempotent
        )

    def _no_endpoint(self, call: calls.Call, now: float) -> calls.Outcome:
        after_s = refusal.retry_after_s(NO_ENDPOINT_RETRY_AFTER_S, self._rng)
        known = len(self._catalog.usable(call.service, now))
        detail = f"none of {known} endpoints of {call.service} takes calls"
        return calls.fail(errors.Kind.NO_ENDPOINT, detail, after_s)

    def _budget(self, service: str) -> budget.Budget:
        known = self._budgets_by_service.get(service)
        if known is None:
            nodes = max(1, len(self._catalog.instances_by_id))
            ratio = self._own.bounds.retry_ratio * RATIO_SHARE
            known = budget.Budget(
                ratio, self._allowance(nodes), self._own.bounds.retry_window_s
            )
            self._budgets_by_service[service] = known
        return known

    def _allowance(self, nodes: int) -> float:
        # Each node has its part; none knows what the others spend.
        return self._own.bounds.retry_allowance * ALLOWANCE_SHARE / nodes

    def _record(
        self, call: calls.Call, attempt: _Attempt, outcome: calls.Outcome, now: float
    ) -> None:
        kind = outcome.failure.kind if outcome.failure else None
        self._metrics.record_attempt(attempt.instance, now - attempt.started, kind)
        if outcome.is_success:
            self._budget(call.service).deposit(now)
        if outcome.work_s > 0.0:
            self._estimates.record(call.service, call.operation, outcome.work_s)

    def _finish(
        self,
        request: http.Request,
        call_id: str,
        route: str,
        outcome: calls.Outcome,
        arrived: float,
        call: calls.Call | None = None,
    ) -> http.Response:
        now = time.monotonic()
        kind = outcome.failure.kind if outcome.failure else None
        service = call.service if call else ""
        self._metrics.record_call(service, now - arrived, kind)
        fields = {
            "id": call_id,
            "route": route,
            "service": service,
            "version": self._catalog.version,
            "took_s": round(now - arrived, 4),
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
        dropped = header_rules.HOP_BY_HOP | {"content-length", self._names.load}
        passed = header_rules.end_to_end(response.headers, dropped)
        return http.Response(response.status, passed, response.body)

    def _log(
        self, call: calls.Call, message: str, now: float, **fields: object
    ) -> None:
        known = {
            "id": call.call_id,
            "service": call.service,
            "left_to_target_s": round(call.target_at - now, 3),
        }
        logger.info(message, extra={"fields": known | fields})


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


def _more_telling(earlier: calls.Outcome | None, later: calls.Outcome) -> calls.Outcome:
    """Return the outcome that the caller is told of two attempts.

    A refusal of the later one does not undo that the earlier one may have run.
    """
    if earlier is None or later.failure is None:
        return later
    if earlier.failure is None or not earlier.failure.not_run:
        return earlier
    return later


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
        "failing": choice.failing,
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
