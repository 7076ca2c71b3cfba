"""Forwards calls to the nodes beside other endpoints."""

from __future__ import annotations

import collections
import dataclasses
import select
import socket
import ssl
import threading
import time
from collections.abc import Sequence

import msgspec
from result import Err, Ok, Result

from snipelink import errors, model
from snipelink.session import frames, memory, messages

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 16


@dataclasses.dataclass(slots=True)
class _Connection:
    """An open call connection, with the incarnation and revision of the peer."""

    stream: socket.socket
    incarnation: str
    revision: int


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call that was sent and whose reply has not arrived."""

    connection: _Connection
    call: model.Call
    endpoint: model.Endpoint


@dataclasses.dataclass(slots=True)
class _Peer:
    """Idle connections to one node; the last element was used most recently."""

    idle: collections.deque[_Connection] = dataclasses.field(
        default_factory=collections.deque
    )


class Forwarder:
    """Pools call connections to other nodes and sends calls over them.

    Parameters
    ----------
    node, incarnation : str
        Identity of this node, sent in the first frame of each connection.
    max_frame_bytes : int
        Maximum size of an accepted reply, bytes.
    tls_context : SSLContext or None
        TLS context of the connections; ``None`` for plain TCP.
    budget : memory.Budget or None
        Memory budget that replies are charged to; ``None`` for no budget. The thread
        of the session that passes a reply to its caller releases the charge.
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        max_frame_bytes: int,
        tls_context: ssl.SSLContext | None = None,
        budget: memory.Budget | None = None,
    ) -> None:
        self._hello = messages.encode_hello(node, incarnation)
        self._max_frame_bytes = max_frame_bytes
        self._tls_context = tls_context
        self._budget = budget
        self._lock = threading.Lock()
        self._peers_by_address: dict[str, _Peer] = {}
        self.mismatched_replies = 0

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            peers = list(self._peers_by_address.values())
            self._peers_by_address.clear()
        for peer in peers:
            for connection in peer.idle:
                connection.stream.close()

    def query_revision(self, endpoint: model.Endpoint, deadline: float) -> int | None:
        """Return the revision in force on a node; None if the node is unreachable.

        A node sends its revision only in the handshake, so this opens a connection
        instead of reusing an idle one, whose revision may be outdated.
        """
        connected = self._connect(endpoint, deadline)
        if isinstance(connected, Err):
            return None
        self._release(endpoint.call_address, connected.ok_value)
        return connected.ok_value.revision

    def forward(
        self, call: model.Call, endpoint: model.Endpoint, to_owner: bool = False
    ) -> Result[model.Answer, errors.Failure]:
        """Send `call` to the node beside `endpoint` and wait for the reply.

        With `to_owner`, the node receives the call as owner of its idempotency key and
        chooses the endpoint itself.
        """
        started = self.start_call(call, endpoint, to_owner)
        if isinstance(started, Err):
            return started
        return self.receive_reply(started.ok_value)

    def start_call(
        self, call: model.Call, endpoint: model.Endpoint, to_owner: bool = False
    ) -> Result[PendingCall, errors.Failure]:
        """Send `call`; complete the result by `receive_reply` or `cancel`."""
        acquired = self._acquire(endpoint, call.deadline)
        if isinstance(acquired, Err):
            return acquired
        connection = acquired.ok_value
        stream = connection.stream
        now = time.monotonic()
        payload = messages.encode_request(call, connection.incarnation, now, to_owner)
        try:
            stream.settimeout(max(0.001, call.deadline - now))
            frames.send(stream, payload)
        except OSError as error:
            # The peer discards an incomplete frame, so it does not execute the call.
            stream.close()
            return self._failed_outcome(errors.Kind.UNREACHABLE, endpoint, str(error))
        return Ok(PendingCall(connection, call, endpoint))

    def wait_for_any(
        self, pending: Sequence[PendingCall], timeout_s: float
    ) -> PendingCall | None:
        """Return a call whose reply starts to arrive; None after the timeout."""
        poller = select.poll()
        by_descriptor = {}
        for pending_call in pending:
            descriptor = pending_call.connection.stream.fileno()
            by_descriptor[descriptor] = pending_call
            poller.register(descriptor, select.POLLIN)
        ready = poller.poll(max(0.0, timeout_s) * 1000)
        return by_descriptor[ready[0][0]] if ready else None

    def cancel(self, pending: PendingCall) -> None:
        """Close the call's connection, which cancels the call if it has not started."""
        pending.connection.stream.close()

    def receive_reply(
        self, pending: PendingCall
    ) -> Result[model.Answer, errors.Failure]:
        """Wait for the reply to a call until its deadline."""
        connection, call = pending.connection, pending.call
        endpoint = pending.endpoint
        stream = connection.stream
        try:
            stream.settimeout(max(0.001, call.deadline - time.monotonic()))
            payload = frames.receive(stream, self._max_frame_bytes, self._budget)
        except TimeoutError:
            stream.close()
            return self._failed_outcome(errors.Kind.DEADLINE_UNKNOWN, endpoint)
        except frames.MemoryBudgetExceeded:
            stream.close()
            detail = "no memory for the answer"
            return self._failed_outcome(errors.Kind.ANSWER_TOO_LARGE, endpoint, detail)
        except (OSError, frames.FrameError) as error:
            stream.close()
            return self._failed_outcome(
                errors.Kind.CONNECTION_LOST, endpoint, str(error)
            )
        if payload is None:
            stream.close()
            detail = "the node closed the connection before its reply"
            return self._failed_outcome(errors.Kind.CONNECTION_LOST, endpoint, detail)
        try:
            reply = messages.decode_reply(payload)
        except msgspec.MsgspecError as error:
            stream.close()
            return self._failed_outcome(
                errors.Kind.CONNECTION_LOST, endpoint, str(error)
            )
        if messages.is_goaway(reply):
            stream.close()
            return messages.to_outcome(reply, endpoint.name)
        if reply.call_id != call.call_id:
            stream.close()
            self.mismatched_replies += 1
            return self._failed_outcome(
                errors.Kind.CONNECTION_LOST,
                endpoint,
                "reply mismatch",
            )
        self._release(endpoint.call_address, connection)
        return messages.to_outcome(reply, endpoint.name)

    def _acquire(
        self, endpoint: model.Endpoint, deadline: float
    ) -> Result[_Connection, errors.Failure]:
        address = endpoint.call_address
        while True:
            with self._lock:
                peer = self._peers_by_address.get(address)
                connection = peer.idle.pop() if peer and peer.idle else None
            if connection is None:
                return self._connect(endpoint, deadline)
            if not frames.is_closed(connection.stream):
                return Ok(connection)
            connection.stream.close()

    def _connect(
        self, endpoint: model.Endpoint, deadline: float
    ) -> Result[_Connection, errors.Failure]:
        host, port = endpoint.call_address.rsplit(":", 1)
        timeout = min(CONNECT_TIMEOUT_S, max(0.001, deadline - time.monotonic()))
        try:
            stream = socket.create_connection((host, int(port)), timeout)
        except OSError as error:
            return self._failed_outcome(errors.Kind.UNREACHABLE, endpoint, str(error))
        try:
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._tls_context is not None:
                stream = self._tls_context.wrap_socket(
                    stream, server_hostname=endpoint.name
                )
            frames.send(stream, self._hello)
            payload = frames.receive(stream, frames.MAX_FRAME_OVERHEAD_BYTES)
            hello = messages.decode_hello(payload or b"")
        except (OSError, frames.FrameError, msgspec.MsgspecError) as error:
            stream.close()
            return self._failed_outcome(errors.Kind.UNREACHABLE, endpoint, str(error))
        if hello.node != endpoint.name:
            stream.close()
            detail = f"node {hello.node} answers at {endpoint.call_address}"
            return self._failed_outcome(errors.Kind.STALE_INCARNATION, endpoint, detail)
        return Ok(_Connection(stream, hello.incarnation, hello.revision))

    def _release(self, address: str, connection: _Connection) -> None:
        with self._lock:
            peer = self._peers_by_address.setdefault(address, _Peer())
            if len(peer.idle) < MAX_IDLE_CONNECTIONS:
                peer.idle.append(connection)
                return
        connection.stream.close()

    def _failed_outcome(
        self, kind: errors.Kind, endpoint: model.Endpoint, detail: str = ""
    ) -> Err[errors.Failure]:
        return Err(errors.Failure(kind, detail, endpoint=endpoint.name))
