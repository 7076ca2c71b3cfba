"""Runs calls: routing, choice of endpoint, forwarding and retries."""

from __future__ import annotations

import random
import threading
import time
import typing
import uuid

from result import Err, Ok, Result

from snipelink import errors, model
from snipelink.execute import endpoint_client, forward, pauses, routing
from snipelink.generated import messages
from snipelink.session import headers, http
from snipelink.session import messages as codec

MAX_ATTEMPTS = 3
MAX_DEPTH = 32
Cancelled = typing.Callable[[], bool]
Outcome = Result[model.Answer, errors.Failure]


class Executor:
    """Runs the calls of callers and of other nodes."""

    def __init__(
        self,
        node: str,
        objects: typing.Callable[[], model.ObjectSet | None],
        own_client: endpoint_client.EndpointClient,
        forwarder: forward.Forwarder,
        pause_detector: pauses.PauseDetector,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._objects = objects
        self._own_client = own_client
        self._forwarder = forwarder
        self._pauses = pause_detector
        self._rng = rng
        self._lock = threading.Lock()
        self._running = 0
        self._draining = False
        self._direct_clients_by_address: dict[str, endpoint_client.EndpointClient] = {}
        self._in_flight_by_endpoint: dict[str, int] = {}

    def start_draining(self) -> None:
        """Refuse new work for the own endpoint."""
        self._draining = True

    def running(self) -> int:
        """Return how many calls run on the own endpoint."""
        return self._running

    def load(self) -> model.LoadReport | None:
        """Return the load of the own endpoint."""
        return model.LoadReport(self._running, 0, 10, self._draining)

    def handle(self, request: http.Request, cancelled: Cancelled) -> http.Response:
        """Answer a caller's request."""
        call_id = uuid.uuid4().hex
        outcome = self._execute_request(request, call_id, cancelled)
        if isinstance(outcome, Ok):
            answer = outcome.ok_value
            passed = headers.end_to_end(answer.headers, headers.OUTCOME_HEADERS)
            if request.method == "HEAD":
                passed += [h for h in answer.headers if h[0] == "content-length"]
            passed.append(("snipelink-call-id", call_id))
            return http.Response(answer.status, passed, answer.body)
        return failure_response(outcome.err_value, call_id)

    def _execute_request(
        self, request: http.Request, call_id: str, cancelled: Cancelled
    ) -> Outcome:
        now = time.monotonic()
        objects = self._objects()
        if objects is None:
            return _fail(errors.Kind.NOT_READY, "no configuration is in force")
        caller = request.header("snipelink-caller")
        routed = routing.route(
            objects, request.host, request.path, request.method, caller
        )
        if isinstance(routed, Err):
            return routed
        route = routed.ok_value
        call = _build_call(request, route, call_id, caller, now)
        if call.depth > MAX_DEPTH:
            return _fail(errors.Kind.HOP_LIMIT, f"more than {MAX_DEPTH} calls deep")
        if len(call.body) > route.operation.max_request_bytes:
            return _fail(errors.Kind.REQUEST_TOO_LARGE, "request body too large")
        endpoints = routing.candidates(route.service, route.endpoint_set)
        return self._execute(call, endpoints, cancelled)

    def _execute(
        self,
        call: model.Call,
        endpoints: tuple[model.Endpoint, ...],
        cancelled: Cancelled,
    ) -> Outcome:
        remaining = [endpoint for endpoint in endpoints if not endpoint.leaving]
        outcome: Outcome = _fail(errors.Kind.NO_ENDPOINT, "no endpoint available")
        for _ in range(MAX_ATTEMPTS):
            if not remaining:
                break
            endpoint = self._choose(remaining)
            remaining.remove(endpoint)
            outcome = self._attempt(call, endpoint, cancelled)
            if isinstance(outcome, Ok) or not _may_repeat(call, outcome.err_value):
                break
            call.attempt += 1
        return outcome

    def _choose(self, endpoints: list[model.Endpoint]) -> model.Endpoint:
        first = self._rng.choice(endpoints)
        second = self._rng.choice(endpoints)
        counts = self._in_flight_by_endpoint
        if counts.get(second.name, 0) < counts.get(first.name, 0):
            return second
        return first

    def _attempt(
        self, call: model.Call, endpoint: model.Endpoint, cancelled: Cancelled
    ) -> Outcome:
        if time.monotonic() >= call.deadline:
            return _fail(errors.Kind.DEADLINE_NOT_RUN)
        if cancelled():
            return _fail(errors.Kind.CANCELLED)
        counts = self._in_flight_by_endpoint
        with self._lock:
            counts[endpoint.name] = counts.get(endpoint.name, 0) + 1
        try:
            if endpoint.name == self._node:
                return self._run_local(call, cancelled)
            if endpoint.call_address:
                return self._forwarder.forward(call, endpoint)
            return self._run_direct(call, endpoint)
        finally:
            with self._lock:
                counts[endpoint.name] -= 1

    def run_forwarded(
        self,
        request: messages.CallRequest,
        received_after: float,
        now: float,
        cancelled: Cancelled,
    ) -> Outcome:
        """Run a call of another node on the own endpoint."""
        if self._pauses.paused_since(received_after, now):
            return _fail(errors.Kind.NOT_READY, "the node resumed after a pause")
        objects = self._objects()
        service = objects.services_by_name.get(request.service) if objects else None
        if service is None or self._node not in service.endpoints_by_name:
            detail = f"{self._node} does not serve {request.service}"
            return _fail(errors.Kind.NOT_READY, detail)
        for operation in service.operations:
            if operation.name == request.operation:
                call = codec.to_call(request, operation, now)
                return self._run_local(call, cancelled)
        return _fail(errors.Kind.NOT_READY, "operation is not known here")

    def _run_local(self, call: model.Call, cancelled: Cancelled) -> Outcome:
        if self._draining:
            return _fail(errors.Kind.LEAVING)
        if time.monotonic() >= call.deadline:
            return _fail(errors.Kind.DEADLINE_NOT_RUN)
        with self._lock:
            if self._running >= 10:
                return _fail(errors.Kind.OVERLOADED, "no slot is free")
            self._running += 1
        try:
            if cancelled():
                return _fail(errors.Kind.CANCELLED)
            return self._request(self._own_client, call, self._node)
        finally:
            with self._lock:
                self._running -= 1

    def _run_direct(self, call: model.Call, endpoint: model.Endpoint) -> Outcome:
        with self._lock:
            client = self._direct_clients_by_address.get(endpoint.address)
            if client is None:
                client = self._own_client.for_address(endpoint.address, endpoint.name)
                self._direct_clients_by_address[endpoint.address] = client
        return self._request(client, call, endpoint.name)

    def _request(
        self, client: endpoint_client.EndpointClient, call: model.Call, endpoint: str
    ) -> Outcome:
        remaining_ms = int((call.deadline - time.monotonic()) * 1000)
        sent = call.headers + [
            ("snipelink-deadline-ms", str(max(1, remaining_ms))),
            ("snipelink-depth", str(call.depth)),
            ("snipelink-call-id", call.call_id),
        ]
        if call.traceparent:
            sent.append(("traceparent", call.traceparent))
        outcome = client.request(
            call.method,
            call.target,
            sent,
            call.body,
            call.deadline,
            call.operation.max_answer_bytes,
        )
        if isinstance(outcome, Err):
            return outcome
        response = outcome.ok_value
        return Ok(
            model.Answer(response.status, response.headers, response.body, endpoint)
        )


def failure_response(failure: errors.Failure, call_id: str = "") -> http.Response:
    """Return the response that tells a caller of a failure."""
    entry = failure.entry
    fields = [
        ("content-type", "text/plain; charset=utf-8"),
        ("snipelink-error", failure.kind.value),
        ("snipelink-ran", entry.ran.value),
    ]
    if call_id:
        fields.append(("snipelink-call-id", call_id))
    if entry.repeat is not errors.Repeat.NO:
        fields.append(("retry-after", str(max(1, round(failure.retry_after_s)))))
    text = f"{failure.kind.value}: {failure.detail}\n"
    return http.Response(entry.status, fields, text.encode())


def _build_call(
    request: http.Request, route: routing.Route, call_id: str, caller: str, now: float
) -> model.Call:
    operation = route.operation
    deadline_ms = operation.deadline_ms
    wanted = request.header("snipelink-deadline-ms")
    if wanted.isascii() and wanted.isdigit():
        deadline_ms = min(deadline_ms, int(wanted))
    depth = request.header("snipelink-depth")
    passed = headers.end_to_end(request.headers, headers.SET_BY_NODE)
    passed += headers.forwarding(
        request.headers, request.peer, request.host, request.secure
    )
    return model.Call(
        call_id=call_id,
        service=route.service.name,
        operation=operation,
        method=request.method,
        target=request.target,
        headers=passed,
        body=request.body,
        deadline=now + deadline_ms / 1000,
        endpoint_set=route.endpoint_set,
        caller=caller,
        traceparent=request.header("traceparent"),
        idempotency_key=request.header("idempotency-key"),
        depth=(int(depth) if depth.isascii() and depth.isdigit() else 0) + 1,
    )


def _may_repeat(call: model.Call, failure: errors.Failure) -> bool:
    if failure.entry.repeat is errors.Repeat.ELSEWHERE:
        return True
    return call.operation.idempotent and failure.kind in (
        errors.Kind.CONNECTION_LOST,
        errors.Kind.ANSWER_INCOMPLETE,
    )


def _fail(kind: errors.Kind, detail: str = "") -> Err[errors.Failure]:
    return Err(errors.Failure(kind, detail))
