"""TCP server for the calls that other nodes forward; a thread per connection."""

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
# Time for the TLS handshake and the hello of the peer, and maximum size of that hello.
HANDSHAKE_TIMEOUT_S = 5.0
MAX_HELLO_BYTES = 4096
# Time for which a stopping node still accepts calls on open connections; peers may
# have sent them before they learned of the stop.
STOP_DRAIN_S = 0.1
# Time for the peer to read the last frame before the connection is closed.
LINGER_S = 0.25
# Minimum time between two log lines about broken connections.
WARNING_INTERVAL_S = 1.0
Cancelled = typing.Callable[[], bool]


class Handler(typing.Protocol):
    """Runs calls that other nodes forward to the endpoint of this node."""

    def run_forwarded(
        self,
        request: generated.CallRequest,
        receive_started_at: float,
        now: float,
        cancelled: Cancelled,
    ) -> Result[model.Answer, errors.Failure]:
        """Run a forwarded call.

        Parameters
        ----------
        request : CallRequest
            The call as it was received.
        receive_started_at : float
            Monotonic time at which the server began to wait for the call.
        now : float
            Monotonic time at which the call was complete.
        cancelled : callable
            Returns whether the calling node has closed the connection.
        """

    def load_report(self) -> model.LoadReport | None:
        """Return the load of this node's endpoint, or ``None`` if it is not known."""

    def revision(self) -> int:
        """Return the configuration revision in force on this node."""


class Limits(typing.Protocol):
    """Limits of a call connection."""

    max_connections: int
    header_timeout_s: float
    idle_timeout_s: float


class CallServer:
    """Listens on the call port and passes each received call to a handler.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port to listen on.
    node, incarnation : str
        Name of this node and id of its process; sent in the first frame.
    handler : Handler
        Runs the received calls.
    max_frame_bytes : int
        Maximum size of a received frame in bytes.
    limits : Limits
        Limits of each connection; ``header_timeout_s`` bounds the time for a whole
        frame.
    budget : memory.Budget
        Memory budget that received frames are charged to.
    tls_context : SSLContext or None
        TLS context of the port; ``None`` for plain TCP.
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
        """Port that the server listens on."""
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Start the thread that accepts connections."""
        threading.Thread(target=self._accept, name="call-accept", daemon=True).start()

    def stop(self) -> None:
        """Stop accepting connections and drain the open ones (graceful shutdown).

        Running calls are answered. A call that arrives on an idle connection within
        `STOP_DRAIN_S` is refused with the error kind `leaving`. Each connection ends
        with a goaway frame, so a peer that sends a later call knows that it did not
        run.
        """
        self._stopping = True
        self._waker.wake()
        try:
            # close() alone does not wake a thread that is blocked in accept().
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()

    def open_connections(self) -> int:
        """Return the number of open connections."""
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
                is_full = len(self._connections) >= self._limits.max_connections
                if not is_full:
                    self._connections.add(connection)
            if is_full:
                # The peer has received no hello, so it knows that no call ran.
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
            if self._exchange_hellos(stream):
                while self._serve_call(stream):
                    self._budget.release()
        except (frames.FrameError, msgspec.MsgspecError, TimeoutError) as error:
            self._record_broken_connection(error)
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

    def _exchange_hellos(self, stream: streams.Stream) -> bool:
        stream.deadline = time.monotonic() + HANDSHAKE_TIMEOUT_S
        stream.handshake()
        hello = frames.receive(stream, MAX_HELLO_BYTES)
        if hello is None:
            return False
        # Sent before the peer's hello is checked, so that a peer with an unsupported
        # version learns the version of this node.
        revision = self._handler.revision()
        own_hello = messages.encode_hello(self._node, self._incarnation, revision)
        frames.send(stream, own_hello)
        messages.decode_hello(hello)
        return True

    def _serve_call(self, stream: streams.Stream) -> bool:
        receive_started_at = time.monotonic()
        if not self._wait_for_call(stream):
            kind = errors.Kind.LEAVING if self._stopping else errors.Kind.UNREACHABLE
            self._close_with_goaway(stream, kind)
            return False
        stream.deadline = time.monotonic() + self._limits.header_timeout_s
        request = self._receive(stream)
        if request is None:
            return False
        outcome = self._run_call(stream, request, receive_started_at)
        reply = messages.encode_reply(
            request.call_id, outcome, self._handler.load_report()
        )
        stream.deadline = time.monotonic() + self._limits.header_timeout_s
        frames.send(stream, reply)
        return True

    def _receive(self, stream: streams.Stream) -> generated.CallRequest | None:
        """Return the next call, or ``None`` if the connection has ended.

        A broken frame is answered by a goaway frame, which states that no call ran.
        This happens only between replies: after a partly sent reply, the peer would
        read the goaway frame as the rest of that reply.
        """
        try:
            payload = frames.receive(stream, self._max_frame_bytes, self._budget)
            return messages.decode_request(payload) if payload is not None else None
        except frames.MemoryBudgetExceeded:
            self._close_with_goaway(stream, errors.Kind.OVERLOADED)
        except (frames.FrameError, msgspec.MsgspecError, TimeoutError) as error:
            self._record_broken_connection(error)
            self._close_with_goaway(stream, errors.Kind.UNREACHABLE)
        return None

    def _wait_for_call(self, stream: streams.Stream) -> bool:
        """Wait for a call; return false when the connection must be closed."""
        if not self._stopping and stream.wait_readable_or_woken(
            self._limits.idle_timeout_s
        ):
            return True
        return self._stopping and stream.wait_readable(STOP_DRAIN_S)

    def _close_with_goaway(self, stream: streams.Stream, kind: errors.Kind) -> None:
        """Close a connection with a frame that states that no further call will run."""
        self._budget.release()
        stream.deadline = time.monotonic() + LINGER_S
        try:
            frames.send(stream, messages.encode_goaway(kind))
        except OSError:
            return
        stream.close_gracefully(LINGER_S, self._max_frame_bytes)

    def _record_broken_connection(self, error: Exception) -> None:
        now = time.monotonic()
        with self._lock:
            self.broken_connections += 1
            is_suppressed = now - self._warned_at < WARNING_INTERVAL_S
            if not is_suppressed:
                self._warned_at = now
        if not is_suppressed:
            logger.warning("call connection closed: %s", error)

    def _run_call(
        self,
        stream: streams.Stream,
        request: generated.CallRequest,
        receive_started_at: float,
    ) -> Result[model.Answer, errors.Failure]:
        if request.expected_incarnation != self._incarnation:
            detail = "the call was meant for an earlier process at this address"
            return Err(errors.Failure(errors.Kind.STALE_INCARNATION, detail))
        if self._stopping:
            return Err(errors.Failure(errors.Kind.LEAVING, "the node is stopping"))
        now = time.monotonic()
        try:
            return self._handler.run_forwarded(
                request, receive_started_at, now, stream.is_closed
            )
        except Exception:
            logger.exception("call %s failed", request.call_id)
            return Err(errors.Failure(errors.Kind.INTERNAL))
