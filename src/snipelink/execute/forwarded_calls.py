"""Executes the calls that other nodes forward to this node."""

from __future__ import annotations

import time
import typing

from result import Err, Ok, Result

from snipelink import errors, model
from snipelink.execute import executor, local_runner, pause_detection
from snipelink.generated import messages as generated
from snipelink.observe import traces
from snipelink.session import messages

Cancelled = typing.Callable[[], bool]
Outcome = Result[model.Answer, errors.Failure]
Objects = typing.Callable[[], model.ObjectSet | None]


class ForwardedCallHandler:
    """Validates a forwarded call and executes it locally or as owner of its key."""

    def __init__(
        self,
        node: str,
        objects: Objects,
        runner: local_runner.LocalRunner,
        call_executor: executor.Executor,
        pause_detector: pause_detection.PauseDetector,
        tracer: traces.Tracer,
        revision: typing.Callable[[], int],
    ) -> None:
        self._node = node
        self._objects = objects
        self._runner = runner
        self._executor = call_executor
        self._pauses = pause_detector
        self._tracer = tracer
        self._revision = revision

    def revision(self) -> int:
        """Return the revision in force on this node."""
        return self._revision()

    def load_report(self) -> model.LoadReport | None:
        """Return the load of the own endpoint."""
        return self._runner.load_report()

    def run_forwarded(
        self,
        request: generated.CallRequest,
        receive_started_at: float,
        now: float,
        cancelled: Cancelled,
    ) -> Outcome:
        """Execute a call that another node has forwarded.

        `receive_started_at` is the time at which this node began to read the call.
        """
        # If the process was paused while it read the call, the call's age is unknown,
        # and the sender may have given up on it.
        if self._pauses.paused_since(receive_started_at, now):
            return _failed_outcome(
                errors.Kind.NOT_READY, "the node resumed after a pause"
            )
        objects = self._objects()
        service = objects.services_by_name.get(request.service) if objects else None
        if objects is None or service is None or not self._serves(service):
            detail = f"{self._node} does not serve {request.service}"
            return _failed_outcome(errors.Kind.NOT_READY, detail)
        operation = _find_operation(service, request.operation)
        if operation is None:
            return _failed_outcome(
                errors.Kind.NOT_READY, "the operation is not known here"
            )
        call = messages.to_call(request, operation, now)
        span = self._tracer.start(call.traceparent, call.call_id, now)
        span.service, span.operation = call.service, operation.name
        call.traceparent = span.traceparent
        if request.to_owner:
            outcome = self._executor.run_as_owner(
                call, objects, service, span, now, cancelled
            )
        else:
            outcome = self._runner.run(call, span, now, cancelled)
        kind = "" if isinstance(outcome, Ok) else outcome.err_value.kind.value
        self._tracer.finish(span, time.monotonic(), kind)
        return outcome

    def _serves(self, service: model.Service) -> bool:
        return self._node in service.endpoints_by_name


def _find_operation(service: model.Service, name: str) -> model.Operation | None:
    return next((o for o in service.operations if o.name == name), None)


def _failed_outcome(kind: errors.Kind, detail: str = "") -> Err[errors.Failure]:
    return Err(errors.Failure(kind, detail))
