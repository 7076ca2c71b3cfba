"""Converts callers' requests into calls and the outcomes into responses."""

from __future__ import annotations

import math
import time
import typing
import uuid

from result import Err, Ok, Result

from snipelink import errors, model
from snipelink.execute import executor, routing
from snipelink.observe import metrics, traces
from snipelink.session import headers, http

MAX_CALL_DEPTH = 32
Cancelled = typing.Callable[[], bool]
Objects = typing.Callable[[], model.ObjectSet | None]


class RequestHandler:
    """Handles the HTTP requests of callers.

    Parameters
    ----------
    objects : callable
        Returns the object set in force, or None while the node is not ready.
    call_executor : Executor
        Executes the calls.
    tracer : Tracer
        Starts and stores spans.
    node_metrics : Metrics
        Receives latencies and error kinds.
    """

    def __init__(
        self,
        objects: Objects,
        call_executor: executor.Executor,
        tracer: traces.Tracer,
        node_metrics: metrics.Metrics,
    ) -> None:
        self._objects = objects
        self._executor = call_executor
        self._tracer = tracer
        self._metrics = node_metrics

    def handle(self, request: http.Request, cancelled: Cancelled) -> http.Response:
        """Execute the call that a request asks for and return the response."""
        started = time.monotonic()
        call_id = uuid.uuid4().hex
        span = self._tracer.start(request.header("traceparent"), call_id, started)
        outcome = self._run(request, span, started, cancelled)
        ended = time.monotonic()
        kind = None if isinstance(outcome, Ok) else outcome.err_value.kind
        self._metrics.record_call(span.service, ended - started, kind)
        self._tracer.finish(span, ended, kind.value if kind else "")
        if isinstance(outcome, Ok):
            return _answer_response(request, outcome.ok_value, call_id)
        return failure_response(outcome.err_value, call_id)

    def _run(
        self,
        request: http.Request,
        span: traces.Span,
        now: float,
        cancelled: Cancelled,
    ) -> Result[model.Answer, errors.Failure]:
        objects = self._objects()
        if objects is None:
            return _failed_outcome(
                errors.Kind.NOT_READY, "no configuration is in force"
            )
        routed = _route(objects, request)
        if isinstance(routed, Err):
            return routed
        route = routed.ok_value
        span.service = route.service.name
        span.operation = route.operation.name
        call = _build_call(request, route, span, now)
        if call.depth > MAX_CALL_DEPTH:
            return _failed_outcome(
                errors.Kind.HOP_LIMIT, f"more than {MAX_CALL_DEPTH} calls deep"
            )
        if len(call.body) > route.operation.max_request_bytes:
            return _failed_outcome(
                errors.Kind.REQUEST_TOO_LARGE, "request body too large"
            )
        return self._executor.execute(call, objects, route, span, now, cancelled)


def failure_response(failure: errors.Failure, call_id: str = "") -> http.Response:
    """Return the response that reports a failure to the caller."""
    traits = failure.traits
    fields = [
        ("content-type", "text/plain; charset=utf-8"),
        ("snipelink-error", failure.kind.value),
        ("snipelink-ran", traits.execution_status.value),
    ]
    if call_id:
        fields.append(("snipelink-call-id", call_id))
    if traits.retryability is not errors.Retryability.NO and not failure.crashed:
        fields.append(("retry-after", str(max(1, math.ceil(failure.retry_after_s)))))
    text = f"{failure.kind.value}: {failure.detail}\n"
    return http.Response(traits.status, fields, text.encode())


def _answer_response(
    request: http.Request, answer: model.Answer, call_id: str
) -> http.Response:
    forwarded_headers = headers.end_to_end(
        answer.headers, headers.DROPPED_FROM_RESPONSES
    )
    if request.method == "HEAD":
        forwarded_headers += [
            field for field in answer.headers if field[0] == "content-length"
        ]
    forwarded_headers.append(("snipelink-call-id", call_id))
    return http.Response(answer.status, forwarded_headers, answer.body)


def _route(
    objects: model.ObjectSet, request: http.Request
) -> Result[routing.Route, errors.Failure]:
    caller = request.header("snipelink-caller")
    return routing.route(objects, request.host, request.path, request.method, caller)


def _build_call(
    request: http.Request, route: routing.Route, span: traces.Span, now: float
) -> model.Call:
    operation = route.operation
    deadline_ms = operation.deadline_ms
    requested_ms = _parse_count(request.header("snipelink-deadline-ms"))
    if requested_ms is not None:
        deadline_ms = min(deadline_ms, requested_ms)
    forwarded_headers = headers.end_to_end(
        request.headers, headers.DROPPED_FROM_REQUESTS
    )
    forwarded_headers += headers.forwarding_headers(
        request.headers, request.peer, request.host, request.secure
    )
    return model.Call(
        call_id=span.call_id,
        service=route.service.name,
        operation=operation,
        method=request.method,
        target=request.target,
        headers=forwarded_headers,
        body=request.body,
        deadline=now + deadline_ms / 1000,
        endpoint_set=route.endpoint_set,
        caller=request.header("snipelink-caller"),
        traceparent=span.traceparent,
        idempotency_key=request.header("idempotency-key"),
        depth=(_parse_count(request.header("snipelink-depth")) or 0) + 1,
    )


def _parse_count(text: str) -> int | None:
    if len(text) > 9 or not text.isascii() or not text.isdigit():
        return None
    return int(text)


def _failed_outcome(kind: errors.Kind, detail: str = "") -> Err[errors.Failure]:
    return Err(errors.Failure(kind, detail))
