"""Runs calls on the node's own endpoint, behind its admission."""

from __future__ import annotations

import logging
import socket
import threading
import time
import typing

from result import Err, Ok, Result

from snipelink import addresses, errors, model
from snipelink.admission import gate as gates
from snipelink.execute import crashes, endpoint_client
from snipelink.observe import traces
from snipelink.retry import suspects
from snipelink.session import http

logger = logging.getLogger(__name__)
DEFAULT_SLOTS = 10
CRASH_CHECK_TIMEOUT_S = 0.2
Cancelled = typing.Callable[[], bool]
Outcome = Result[model.Answer, errors.Failure]
Objects = typing.Callable[[], model.ObjectSet | None]


class LocalRunner:
    """Admits calls to the own endpoint and runs them.

    Calls that were running when the endpoint crashed become crash suspects.

    Parameters
    ----------
    node : str
        Name of this node and of its endpoint.
    objects : callable
        Returns the set in force.
    client : EndpointClient
        Connections to the own endpoint.
    endpoint_address : str
        IP:port of the own endpoint.
    table : SuspectTable
        Crash suspects; calls that are contained are refused.
    """

    def __init__(
        self,
        node: str,
        objects: Objects,
        client: endpoint_client.EndpointClient,
        endpoint_address: str,
        table: suspects.SuspectTable,
    ) -> None:
        self._node = node
        self._objects = objects
        self._client = client
        self._endpoint_address = endpoint_address
        self._lock = threading.Lock()
        self._gate: gates.Gate | None = None
        self._draining = False
        self._endpoint_draining = False
        self._crashes = crashes.CrashRecorder(node, table)
        self._suspects = table
        self.answered_at = float("-inf")

    def start_draining(self) -> None:
        """Refuse new work as ``leaving`` from now on."""
        with self._lock:
            self._draining = True
            if self._gate is not None:
                self._gate.start_draining()

    def load(self) -> model.LoadReport | None:
        """Return the load of the own endpoint; None before a set is in force."""
        return self._gate.load() if self._gate is not None else None

    def run(
        self, call: model.Call, span: traces.Span, now: float, cancelled: Cancelled
    ) -> Outcome:
        """Run a call on the own endpoint when admission allows it."""
        contained = self._suspects.check(call, now)
        if contained is not None:
            return Err(contained)
        gate = self._own_gate()
        entered = gate.enter(call, now, cancelled)
        if isinstance(entered, Err):
            return entered
        admitted_at = entered.ok_value.admitted_at
        if admitted_at > now:
            span.add(traces.Step.QUEUED, now, self._node)
        span.add(traces.Step.EXECUTED, admitted_at, self._node)
        ticket = entered.ok_value
        outcome: Outcome = _fail(errors.Kind.INTERNAL)
        self._crashes.on_start(call)
        try:
            outcome = send(self._client, call, self._node)
            if isinstance(outcome, Ok):
                self.observe(outcome.ok_value.headers, time.monotonic())
            else:
                outcome = self._check_crash(outcome, call)
            return outcome
        finally:
            ended = time.monotonic()
            self._crashes.on_end(call, isinstance(outcome, Ok))
            gate.leave(ticket, _classify(outcome), ended)

    def observe(self, headers: model.Headers, now: float) -> None:
        """Take note of the state that the own endpoint reports on an answer."""
        self.answered_at = now
        draining = ("snipelink-state", "draining") in headers
        if draining is self._endpoint_draining:
            return
        with self._lock:
            self._endpoint_draining = draining
            if draining and self._gate is not None:
                self._gate.start_draining()
            elif not self._draining:
                # Calls that still run leave through the gate they entered by.
                self._gate = None
        logger.info("endpoint %s", "drains" if draining else "accepts work again")

    def _own_gate(self) -> gates.Gate:
        if self._gate is None:
            with self._lock:
                if self._gate is None:
                    self._gate = gates.Gate(self._slots())
                    if self._draining or self._endpoint_draining:
                        self._gate.start_draining()
        return self._gate

    def budgets(self) -> model.Budgets:
        """Return the budgets of the own service."""
        service = self._own_service()
        return service.budgets if service else model.Budgets()

    def _slots(self) -> int:
        service = self._own_service()
        if service is None:
            return DEFAULT_SLOTS
        return service.endpoints_by_name[self._node].slots

    def _own_service(self) -> model.Service | None:
        objects = self._objects()
        for service in objects.services_by_name.values() if objects else ():
            if self._node in service.endpoints_by_name:
                return service
        return None

    def _check_crash(
        self, outcome: Err[errors.Failure], call: model.Call
    ) -> Err[errors.Failure]:
        """Mark a lost connection as a crash when the endpoint refuses new ones."""
        failure = outcome.err_value
        if failure.kind is not errors.Kind.CONNECTION_LOST:
            return outcome
        if not _refuses_connections(self._endpoint_address):
            return outcome
        self._crashes.on_crash(call, time.monotonic())
        detail = f"endpoint crashed: {failure.detail}"
        return Err(
            errors.Failure(failure.kind, detail, endpoint=self._node, crashed=True)
        )


def send(
    client: endpoint_client.EndpointClient, call: model.Call, endpoint: str
) -> Outcome:
    """Send a call to an endpoint over HTTP and return its complete answer."""
    remaining_ms = int((call.deadline - time.monotonic()) * 1000)
    headers = call.headers + [
        ("snipelink-deadline-ms", str(max(1, remaining_ms))),
        ("snipelink-depth", str(call.depth)),
        ("snipelink-call-id", call.call_id),
    ]
    if call.traceparent:
        headers.append(("traceparent", call.traceparent))
    received = client.request(
        call.method,
        call.target,
        headers,
        call.body,
        call.deadline,
        call.operation.max_answer_bytes,
    )
    if isinstance(received, Err):
        return received
    response: http.Response = received.ok_value
    return Ok(model.Answer(response.status, response.headers, response.body, endpoint))


def _classify(outcome: Outcome) -> gates.Outcome:
    if isinstance(outcome, Ok):
        if outcome.ok_value.status == 503:
            return gates.Outcome.OVERLOADED
        return gates.Outcome.ANSWERED
    if outcome.err_value.kind is errors.Kind.DEADLINE_UNKNOWN:
        return gates.Outcome.TIMED_OUT
    return gates.Outcome.FAILED


def _refuses_connections(address: str) -> bool:
    parsed = addresses.parse(address)
    if isinstance(parsed, Err):
        return False
    try:
        socket.create_connection(parsed.ok_value, CRASH_CHECK_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False


def _fail(kind: errors.Kind, detail: str = "") -> Err[errors.Failure]:
    return Err(errors.Failure(kind, detail))
