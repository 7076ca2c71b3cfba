"""Accepts call connections of other nodes; one thread for each connection."""

from __future__ import annotations

import logging
import socket
import threading
import time
import typing

import msgspec
from result import Err, Result

from snipelink import errors, model
from snipelink.generated import messages as generated
from snipelink.session import frames, messages

logger = logging.getLogger(__name__)
HANDSHAKE_TIMEOUT_S = 5.0
Cancelled = typing.Callable[[], bool]


class Handler(typing.Protocol):
    """Runs calls of other nodes on the own endpoint."""

    def run_forwarded(
        self,
        request: generated.CallRequest,
        received_after: float,
        now: float,
        cancelled: Cancelled,
    ) -> Result[model.Answer, errors.Failure]:
        """Run a call; `received_after` is the time at which reading began."""

    def load(self) -> model.LoadReport | None:
        """Return the load of the own endpoint."""

    def revision(self) -> int:
        """Return the revision in force on this node."""


class CallServer:
    """Listens on the call port.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port to listen on.
    node, incarnation : str
        Identity that is sent in the first frame.
    handler : Handler
        Runs the calls.
    max_frame_bytes : int
        Largest frame accepted, bytes.
    max_connections : int
        Connections kept at once; further ones are closed at once.
    """

    def __init__(
        self,
        address: tuple[str, int],
        node: str,
        incarnation: str,
        handler: Handler,
        max_frame_bytes: int,
        max_connections: int,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._handler = handler
        self._max_frame_bytes = max_frame_bytes
        self._max_connections = max_connections
        self._listener = socket.create_server(address, backlog=256)
        self._lock = threading.Lock()
        self._idle_connections: set[socket.socket] = set()
        self._connections: set[socket.socket] = set()
        self._stopping = False

    def start(self) -> None:
        """Accept connections in a thread of its own."""
        threading.Thread(target=self._accept, name="call-accept", daemon=True).start()

    def stop(self) -> None:
        """Stop accepting and close the connections that carry no call."""
        with self._lock:
            self._stopping = True
            idle = list(self._idle_connections)
        self._listener.close()
        for connection in idle:
            _shut_down(connection)

    def close(self) -> int:
        """Close all connections; return how many there were."""
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            _shut_down(connection)
        return len(connections)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                if self._stopping:
                    return
                time.sleep(0.05)
                continue
            with self._lock:
                full = len(self._connections) >= self._max_connections
                if not full:
                    self._connections.add(connection)
            if full:
                connection.close()
                continue
            threading.Thread(
                target=self._serve, args=(connection,), name="call", daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.settimeout(HANDSHAKE_TIMEOUT_S)
            hello = frames.receive(connection, frames.MESSAGE_OVERHEAD_BYTES)
            if hello is None:
                return
            messages.decode_hello(hello)
            revision = self._handler.revision()
            reply = messages.encode_hello(self._node, self._incarnation, revision)
            frames.send(connection, reply)
            connection.settimeout(None)
            while self._serve_one(connection):
                pass
        except (frames.FrameError, msgspec.MsgspecError) as error:
            logger.warning("call connection closed: %s", error)
        except OSError:
            pass
        finally:
            with self._lock:
                self._connections.discard(connection)
                self._idle_connections.discard(connection)
            connection.close()

    def _serve_one(self, connection: socket.socket) -> bool:
        with self._lock:
            if self._stopping:
                return False
            self._idle_connections.add(connection)
        before = time.monotonic()
        payload = frames.receive(connection, self._max_frame_bytes)
        with self._lock:
            self._idle_connections.discard(connection)
        if payload is None:
            return False
        request = messages.decode_request(payload)
        outcome = self._run(connection, request, before)
        load = self._handler.load()
        frames.send(connection, messages.encode_reply(request.call_id, outcome, load))
        return True

    def _run(
        self,
        connection: socket.socket,
        request: generated.CallRequest,
        before: float,
    ) -> Result[model.Answer, errors.Failure]:
        if request.expected_incarnation != self._incarnation:
            detail = "the call was meant for an earlier process at this address"
            return Err(errors.Failure(errors.Kind.STALE_INCARNATION, detail))
        now = time.monotonic()
        try:
            return self._handler.run_forwarded(
                request, before, now, lambda: frames.is_closed(connection)
            )
        except Exception:
            logger.exception("call %s failed", request.call_id)
            return Err(errors.Failure(errors.Kind.INTERNAL))


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
