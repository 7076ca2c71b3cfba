"""Executes calls: chooses endpoints, makes attempts, hedges and retries."""

from __future__ import annotations

import dataclasses
import threading
import time
import typing

from result import Err, Ok, Result

from snipelink import errors, model
from snipelink.balance import endpoint_stats
from snipelink.execute import (
    endpoint_client,
    forwarding,
    hedging,
    keyed_calls,
    local_runner,
    quorum,
    routing,
    service_state,
)
from snipelink.observe import metrics, traces
from snipelink.retry import crash_suspects
from snipelink.retry import policy as retry_policy

Cancelled = typing.Callable[[], bool]
Outcome = Result[model.Answer, errors.Failure]
MakeClient = typing.Callable[[str, str], endpoint_client.EndpointClient]
IsLeaving = typing.Callable[[str, float], bool]
NO_ENDPOINT_RETRY_AFTER_S = 1.0


class Executor:
    """Executes the calls of this node's callers.

    Parameters
    ----------
    node : str
        Name of this node and of its endpoint.
    services : ServiceStates
        Endpoint statistics, balancing policy and budgets of each service.
    runner : LocalRunner
        Executes calls on the own endpoint.
    forwarder : Forwarder
        Forwards calls to the nodes beside other endpoints.
    node_metrics : Metrics
        Receives the latency and error kind of each attempt.
    table : CrashSuspectTable
        Crash suspects; calls with the fingerprint of a contained suspect are refused.
    is_leaving : callable
        Returns whether the node beside an endpoint is leaving at a time.
    make_client : callable
        Creates the client of an endpoint without a node from its address and name.
    owner_quorum : Quorum
        Confirms that this node's revision of the key owners is current.
    """

    def __init__(
        self,
        node: str,
        services: service_state.ServiceStates,
        runner: local_runner.LocalRunner,
        forwarder: forwarding.Forwarder,
        node_metrics: metrics.Metrics,
        table: crash_suspects.CrashSuspectTable,
        is_leaving: IsLeaving,
        make_client: MakeClient,
        owner_quorum: quorum.Quorum,
    ) -> None:
        self._node = node
        self._services = services
        self._runner = runner
        self._forwarder = forwarder
        self._metrics = node_metrics
        self._suspects = table
        self._is_leaving = is_leaving
        self._make_client = make_client
        self._hedged = hedging.HedgedForwarder(forwarder, self._record)
        self.keyed_calls = keyed_calls.KeyedCalls(
            node, forwarder, owner_quorum, self._run
        )
        self._lock = threading.Lock()
        self._clients_by_address: dict[str, endpoint_client.EndpointClient] = {}

    def execute(
        self,
        call: model.Call,
        objects: model.ObjectSet,
        route: routing.Route,
        span: traces.Span,
        now: float,
        cancelled: Cancelled,
    ) -> Outcome:
        """Execute a call until it is answered or may not be retried."""
        refusal = self._suspects.refusal_of_call(call, now)
        if refusal is not None:
            return Err(refusal)
        state = self._services.get(objects, route.service, now)
        if keyed_calls.requires_key_owner(call):
            return self.keyed_calls.execute(state, call, span, now, cancelled)
        return self._run(state, call, span, now, cancelled)

    def run_as_owner(
        self,
        call: model.Call,
        objects: model.ObjectSet,
        service: model.Service,
        span: traces.Span,
        now: float,
        cancelled: Cancelled,
    ) -> Outcome:
        """Execute a forwarded call as the owner of its idempotency key."""
        state = self._services.get(objects, service, now)
        return self.keyed_calls.run_as_owner(state, call, span, now, cancelled)

    def _run(
        self,
        state: service_state.ServiceState,
        call: model.Call,
        span: traces.Span,
        now: float,
        cancelled: Cancelled,
    ) -> Outcome:
        failed_endpoints: list[str] = []
        outcome: Outcome = _no_endpoint()
        while True:
            endpoint = self._choose(state, call, failed_endpoints, now)
            if endpoint is None:
                return outcome
            outcome = self._attempt(state, call, endpoint, span, now, cancelled)
            now = time.monotonic()
            if isinstance(outcome, Ok):
                state.retry_budget.deposit(now)
                state.hedge_policy.deposit(now)
                return outcome
            failed_endpoints.append(endpoint.name)
            failure = outcome.err_value
            expected_s = state.tracker.median_s(call.operation.name)
            decision = retry_policy.decide(
                call, failure, call.attempt, state.retry_budget, now, expected_s
            )
            outcome = Err(decision.failure)
            if decision.action is not retry_policy.Action.RETRY:
                return outcome
            span.add(traces.Step.RETRIED, now, endpoint.name, failure.kind.value)
            call.attempt += 1

    def _choose(
        self,
        state: service_state.ServiceState,
        call: model.Call,
        failed_endpoints: list[str],
        now: float,
    ) -> model.Endpoint | None:
        candidates = state.candidates(call.endpoint_set)
        leaving = [e.name for e in candidates if self._is_leaving(e.name, now)]
        return state.policy.choose(
            candidates,
            now,
            self._services.rng,
            exclude=failed_endpoints + leaving,
            idempotent=call.operation.idempotent,
        )

    def _attempt(
        self,
        state: service_state.ServiceState,
        call: model.Call,
        endpoint: model.Endpoint,
        span: traces.Span,
        now: float,
        cancelled: Cancelled,
    ) -> Outcome:
        if now >= call.deadline:
            return _failed_outcome(errors.Kind.DEADLINE_NOT_RUN)
        if cancelled():
            return _failed_outcome(errors.Kind.CANCELLED)
        if endpoint.name != self._node and endpoint.call_address:
            delay_s = state.hedge_policy.delay_s(call, now)
            if delay_s is not None:
                return self._forward_hedged(state, call, endpoint, span, now, delay_s)
        attempt = state.tracker.on_start(endpoint, call.operation.name, now)
        outcome = self._send(call, endpoint, span, now, cancelled)
        self._record(state, attempt, outcome, time.monotonic())
        return outcome

    def _forward_hedged(
        self,
        state: service_state.ServiceState,
        call: model.Call,
        endpoint: model.Endpoint,
        span: traces.Span,
        now: float,
        delay_s: float,
    ) -> Outcome:
        span.add(traces.Step.FORWARDED, now, endpoint.name)

        def choose(hedged_at: float) -> model.Endpoint | None:
            hedge_endpoint = self._choose(
                state, call, [endpoint.name, self._node], hedged_at
            )
            if hedge_endpoint is None or not hedge_endpoint.call_address:
                return None
            span.add(traces.Step.FORWARDED, hedged_at, hedge_endpoint.name, "hedge")
            return hedge_endpoint

        return self._hedged.run(state, call, endpoint, delay_s, choose)

    def _record(
        self,
        state: service_state.ServiceState,
        attempt: endpoint_stats.Attempt,
        outcome: Outcome,
        now: float,
    ) -> None:
        kind = None if isinstance(outcome, Ok) else outcome.err_value.kind
        latency_s = now - attempt.started_at
        self._metrics.record_attempt(attempt.endpoint, latency_s, kind)
        if isinstance(outcome, Err):
            state.tracker.on_failure(attempt, outcome.err_value, now)
            return
        answer = outcome.ok_value
        retry_after_s = _retry_after_s(answer) if answer.status == 503 else 0.0
        state.tracker.on_answer(attempt, now, answer.load, answer.status, retry_after_s)
        state.hedge_policy.record(attempt.operation, attempt.endpoint, latency_s)

    def _send(
        self,
        call: model.Call,
        endpoint: model.Endpoint,
        span: traces.Span,
        now: float,
        cancelled: Cancelled,
    ) -> Outcome:
        if endpoint.name == self._node:
            outcome = self._runner.run(call, span, now, cancelled)
            if isinstance(outcome, Ok):
                answer = outcome.ok_value
                return Ok(dataclasses.replace(answer, load=self._runner.load_report()))
            return outcome
        span.add(traces.Step.FORWARDED, now, endpoint.name)
        if endpoint.call_address:
            return self._forwarder.forward(call, endpoint)
        return local_runner.send_to_endpoint(
            self._client_for(endpoint), call, endpoint.name
        )

    def _client_for(self, endpoint: model.Endpoint) -> endpoint_client.EndpointClient:
        with self._lock:
            client = self._clients_by_address.get(endpoint.address)
            if client is None:
                client = self._make_client(endpoint.address, endpoint.name)
                self._clients_by_address[endpoint.address] = client
            return client


def _retry_after_s(answer: model.Answer) -> float:
    for name, value in answer.headers:
        if name == "retry-after":
            return float(value) if value.isascii() and value.isdigit() else 1.0
    return 0.0


def _no_endpoint() -> Err[errors.Failure]:
    return Err(
        errors.Failure(
            errors.Kind.NO_ENDPOINT,
            "no endpoint may receive the call",
            NO_ENDPOINT_RETRY_AFTER_S,
        )
    )


def _failed_outcome(kind: errors.Kind, detail: str = "") -> Err[errors.Failure]:
    return Err(errors.Failure(kind, detail))
