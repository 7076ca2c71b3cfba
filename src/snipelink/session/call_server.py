"""Accepts call connections of other nodes; one thread for each connection."""

from __future__ import annotations

import logging
import socket
import ssl
import threading
import time
import typing

import msgspec
from result import Err, Result

from snipelink import errors, model
from snipelink.generated import messages as generated
from snipelink.session import frames, memory, messages, streams

logger = logging.getLogger(__name__)
HANDSHAKE_TIMEOUT_S = 5.0
MAX_HELLO_BYTES = 4096
# Time in which a call that crosses the stop of the node may still arrive.
STOP_DRAIN_S = 0.1
# Time for the peer to read the last frame before the connection is closed.
LINGER_S = 0.25
# Shortest time between two log lines about broken connections.
WARNING_INTERVAL_S = 1.0
Cancelled = typing.Callable[[], bool]


class Handler(typing.Protocol):
    """Runs calls of other nodes on the own endpoint."""

    def run_forwarded(
        self,
        request: generated.CallRequest,
        receive_started_at: float,
        now: float,
        cancelled: Cancelled,
    ) -> Result[model.Answer, errors.Failure]:
        """Run a call; `receive_started_at` is the time at which reading began."""

    def load_report(self) -> model.LoadReport | None:
        """Return the load of the own endpoint."""

    def revision(self) -> int:
        """Return the revision in force on this node."""


class Limits(typing.Protocol):
    """Limits of a call connection."""

    max_connections: int
    header_timeout_s: float
    idle_timeout_s: float


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
    limits : Limits
        Limits of each connection; a frame must arrive within the time for a
        request.
    budget : memory.Budget
        Charged for frames.
    tls_context : SSLContext or None
        Context of the port; ``None`` for plain text.
    """

    def __init__(
        self,
        address: tuple[str, int],
        node: str,
        incarnation: str,
        handler: Handler,
        max_frame_bytes: int,
        limits: Limits,
        budget: memory.Budget,
        tls_context: ssl.SSLContext | None = None,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._handler = handler
        self._max_frame_bytes = max_frame_bytes
        self._limits = limits
        self._budget = budget
        self._tls_context = tls_context
        self._listener = socket.create_server(address, backlog=256)
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._waker = streams.Waker()
        self._stopping = False
        self._warned_at = float("-inf")
        self.broken_connections = 0
        self.refused_connections = 0

    @property
    def port(self) -> int:
        """Port of the listener."""
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Accept connections in a thread of its own."""
        threading.Thread(target=self._accept, name="call-accept", daemon=True).start()

    def stop(self) -> None:
        """Stop accepting and end each connection after its last reply.

        A call that arrives within `STOP_DRAIN_S` is answered as `leaving`; one
        that crosses the end finds the frame that tells so.
        """
        self._stopping = True
        self._waker.wake()
        try:
            # Closing alone does not wake a thread that waits for a connection.
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()

    def open_connections(self) -> int:
        """Return how many connections are open."""
        with self._lock:
            return len(self._connections)

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
                full = len(self._connections) >= self._limits.max_connections
                if not full:
                    self._connections.add(connection)
            if full:
                # The peer has no hello yet and knows that nothing ran.
                self.refused_connections += 1
                connection.close()
                continue
            threading.Thread(
                target=self._serve, args=(connection,), name="call", daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        stream = None
        try:
            stream = self._open_stream(connection)
            if self._greet(stream):
                while self._serve_one(stream):
                    self._budget.release()
        except (frames.FrameError, msgspec.MsgspecError, TimeoutError) as error:
            self._warn(error)
        except OSError:
            pass
        except Exception:
            logger.exception("call connection failed")
        finally:
            self._budget.release()
            if stream is not None:
                stream.close()
            connection.close()
            with self._lock:
                self._connections.discard(connection)

    def _open_stream(self, connection: socket.socket) -> streams.Stream:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._tls_context is not None:
            connection = self._tls_context.wrap_socket(
                connection, server_side=True, do_handshake_on_connect=False
            )
        return streams.Stream(connection, self._waker)

    def _greet(self, stream: streams.Stream) -> bool:
        stream.deadline = time.monotonic() + HANDSHAKE_TIMEOUT_S
        stream.handshake()
        hello = frames.receive(stream, MAX_HELLO_BYTES)
        if hello is None:
            return False
        # Sent first, so a peer with another version learns of this one.
        revision = self._handler.revision()
        own = messages.encode_hello(self._node, self._incarnation, revision)
        frames.send(stream, own)
        messages.decode_hello(hello)
        return True

    def _serve_one(self, stream: streams.Stream) -> bool:
        before = time.monotonic()
        if not self._wait(stream):
            kind = errors.Kind.LEAVING if self._stopping else errors.Kind.UNREACHABLE
            self._end(stream, kind)
            return False
        stream.deadline = time.monotonic() + self._limits.header_timeout_s
        request = self._receive(stream)
        if request is None:
            return False
        outcome = self._run(stream, request, before)
        reply = messages.encode_reply(
            request.call_id, outcome, self._handler.load_report()
        )
        stream.deadline = time.monotonic() + self._limits.header_timeout_s
        frames.send(stream, reply)
        return True

    def _receive(self, stream: streams.Stream) -> generated.CallRequest | None:
        """Return the next call, or ``None`` after the connection has ended.

        Only here a broken connection is told that nothing ran; after a part of a
        reply, the same bytes would become a part of the answer.
        """
        try:
            payload = frames.receive(stream, self._max_frame_bytes, self._budget)
            return messages.decode_request(payload) if payload is not None else None
        except frames.MemoryBudgetExceeded:
            self._end(stream, errors.Kind.OVERLOADED)
        except (frames.FrameError, msgspec.MsgspecError, TimeoutError) as error:
            self._warn(error)
            self._end(stream, errors.Kind.UNREACHABLE)
        return None

    def _wait(self, stream: streams.Stream) -> bool:
        """Wait for a call; false when the connection shall end."""
        if not self._stopping and stream.wait_readable_or_woken(
            self._limits.idle_timeout_s
        ):
            return True
        return self._stopping and stream.wait_readable(STOP_DRAIN_S)

    def _end(self, stream: streams.Stream, kind: errors.Kind) -> None:
        """End a connection; a call that is on its way learns that it did not run."""
        self._budget.release()
        stream.deadline = time.monotonic() + LINGER_S
        try:
            frames.send(stream, messages.encode_goaway(kind))
        except OSError:
            return
        stream.close_gracefully(LINGER_S, self._max_frame_bytes)

    def _warn(self, error: Exception) -> None:
        now = time.monotonic()
        with self._lock:
            self.broken_connections += 1
            quiet = now - self._warned_at < WARNING_INTERVAL_S
            if not quiet:
                self._warned_at = now
        if not quiet:
            logger.warning("call connection closed: %s", error)

    def _run(
        self,
        stream: streams.Stream,
        request: generated.CallRequest,
        before: float,
    ) -> Result[model.Answer, errors.Failure]:
        if request.expected_incarnation != self._incarnation:
            detail = "the call was meant for an earlier process at this address"
            return Err(errors.Failure(errors.Kind.STALE_INCARNATION, detail))
        if self._stopping:
            return Err(errors.Failure(errors.Kind.LEAVING, "the node is stopping"))
        now = time.monotonic()
        try:
            return self._handler.run_forwarded(request, before, now, stream.is_closed)
        except Exception:
            logger.exception("call %s failed", request.call_id)
            return Err(errors.Failure(errors.Kind.INTERNAL))
