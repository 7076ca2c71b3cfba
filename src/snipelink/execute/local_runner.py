"""Executes calls on the node's own endpoint, subject to admission control."""

from __future__ import annotations

import logging
import socket
import threading
import time
import typing

from result import Err, Ok, Result

from snipelink import addresses, errors, model
from snipelink.admission import gate as gates
from snipelink.execute import crash_recorder, endpoint_client, endpoint_config
from snipelink.observe import traces
from snipelink.retry import crash_suspects
from snipelink.session import http

logger = logging.getLogger(__name__)
CRASH_CHECK_TIMEOUT_S = 0.2
Cancelled = typing.Callable[[], bool]
Outcome = Result[model.Answer, errors.Failure]


class LocalRunner:
    """Admits calls to the own endpoint and executes them.

    Calls that were running when the endpoint crashed become crash suspects.

    Parameters
    ----------
    own_config : OwnEndpointConfig
        Configuration of the own endpoint.
    client : EndpointClient
        HTTP client of the own endpoint.
    endpoint_address : str
        IP:port of the own endpoint.
    table : CrashSuspectTable
        Crash suspects; calls with the fingerprint of a contained suspect are refused.
    on_crash : callable
        Called after a crash of the endpoint has been recorded.
    """

    def __init__(
        self,
        own_config: endpoint_config.OwnEndpointConfig,
        client: endpoint_client.EndpointClient,
        endpoint_address: str,
        table: crash_suspects.CrashSuspectTable,
        on_crash: typing.Callable[[], None],
    ) -> None:
        self._endpoint_config = own_config
        self._node = own_config.name
        self._client = client
        self._endpoint_address = endpoint_address
        self._lock = threading.Lock()
        self._gate: gates.AdmissionGate | None = None
        self._node_draining = False
        self._endpoint_draining = False
        self._slots = endpoint_config.DEFAULT_SLOT_COUNT
        self._crashes = crash_recorder.CrashRecorder(self._node, table)
        self._suspects = table
        self._on_crash = on_crash
        self.last_answer_at = float("-inf")

    def start_draining(self) -> None:
        """Refuse new calls with the error kind ``leaving`` from now on."""
        with self._lock:
            self._node_draining = True
            if self._gate is not None:
                self._gate.start_draining()

    def load_report(self) -> model.LoadReport | None:
        """Return the load of the own endpoint; None without an admission gate.

        The first call creates the gate, also after the endpoint has drained.
        """
        return self._gate.load_report() if self._gate is not None else None

    def run(
        self, call: model.Call, span: traces.Span, now: float, cancelled: Cancelled
    ) -> Outcome:
        """Execute a call on the own endpoint if admission control accepts it."""
        refusal = self._suspects.refusal_of_call(call, now)
        if refusal is not None:
            return Err(refusal)
        if self._endpoint_config.is_leaving(now):
            return _failed_outcome(errors.Kind.LEAVING, "the endpoint is leaving")
        gate = self._current_gate(now)
        admitted = gate.acquire(call, now, cancelled)
        if isinstance(admitted, Err):
            return admitted
        admitted_at = admitted.ok_value.admitted_at
        if admitted_at > now:
            span.add(traces.Step.QUEUED, now, self._node)
        span.add(traces.Step.EXECUTED, admitted_at, self._node)
        ticket = admitted.ok_value
        outcome: Outcome = _failed_outcome(errors.Kind.INTERNAL)
        self._crashes.on_start(call)
        try:
            outcome = send_to_endpoint(self._client, call, self._node)
            if isinstance(outcome, Ok):
                self.record_endpoint_state(outcome.ok_value.headers, time.monotonic())
            else:
                outcome = self._detect_crash(outcome, call)
            return outcome
        finally:
            ended = time.monotonic()
            self._crashes.on_end(call, isinstance(outcome, Ok))
            gate.release(ticket, _classify(outcome), ended)

    def record_endpoint_state(self, headers: model.Headers, now: float) -> None:
        """Record from an answer's headers whether the own endpoint is draining."""
        self.last_answer_at = now
        draining = ("snipelink-state", "draining") in headers
        if draining is self._endpoint_draining:
            return
        with self._lock:
            self._endpoint_draining = draining
            if draining and self._gate is not None:
                self._gate.start_draining()
            elif not self._node_draining:
                # A draining gate stays closed, so the next call creates a new one.
                # Running calls release their slots at the gate that admitted them.
                self._gate = None
        logger.info("endpoint %s", "is draining" if draining else "accepts calls again")

    def _current_gate(self, now: float) -> gates.AdmissionGate:
        slots = self._endpoint_config.slots()
        gate = self._gate
        if gate is None or slots != self._slots:
            with self._lock:
                gate = self._gate or self._make_gate(slots)
                gate.set_slots(slots, now)
                self._gate, self._slots = gate, slots
        return gate

    def _make_gate(self, slots: int) -> gates.AdmissionGate:
        gate = gates.AdmissionGate(slots)
        if self._node_draining or self._endpoint_draining:
            gate.start_draining()
        return gate

    def _detect_crash(
        self, outcome: Err[errors.Failure], call: model.Call
    ) -> Err[errors.Failure]:
        """Treat a lost connection as a crash if the endpoint refuses a new one."""
        failure = outcome.err_value
        if failure.kind is not errors.Kind.CONNECTION_LOST:
            return outcome
        if not _refuses_connections(self._endpoint_address):
            return outcome
        self._crashes.on_crash(call, time.monotonic())
        self._on_crash()
        detail = f"endpoint crashed: {failure.detail}"
        return Err(
            errors.Failure(failure.kind, detail, endpoint=self._node, crashed=True)
        )


def send_to_endpoint(
    client: endpoint_client.EndpointClient, call: model.Call, endpoint: str
) -> Outcome:
    """Send a call to an endpoint over HTTP and return the complete answer."""
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
        answer = outcome.ok_value
        if answer.status < 500:
            return gates.Outcome.ANSWERED
        sheds_load = any(name == "retry-after" for name, _ in answer.headers)
        if answer.status == 503 and sheds_load:
            return gates.Outcome.OVERLOADED
        return gates.Outcome.FAILED
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


def _failed_outcome(kind: errors.Kind, detail: str = "") -> Err[errors.Failure]:
    return Err(errors.Failure(kind, detail))
