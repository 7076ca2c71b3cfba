"""HTTP server for callers, built on cheroot; a thread per connection."""

from __future__ import annotations

import logging
import select
import socket
import ssl
import threading
import time
import typing

import cheroot.server

from snipelink import errors
from snipelink.session import http, memory, request_reader, streams, tls

logger = logging.getLogger(__name__)
# Maximum size of one receive operation.
RECEIVE_BYTES = 65536
# Time for which a stopping node still reads requests on open connections; callers
# may have sent them before they learned of the stop.
STOP_DRAIN_S = 0.1
# Interval at which a stopping server checks for connections still to be accepted.
BACKLOG_POLL_S = 0.005
# Bounds on reading and dropping what a caller still sends before the connection is
# closed; closing with unread data could destroy the response in flight.
LINGER_S = 1.0
MAX_LINGER_BYTES = 1 << 20
Cancelled = typing.Callable[[], bool]
HandleRequest = typing.Callable[[http.Request, Cancelled], http.Response]
MakeFailureResponse = typing.Callable[[errors.Failure], http.Response]


class Limits(request_reader.Limits, typing.Protocol):
    """Limits of a caller's connection."""

    max_connections: int
    header_timeout_s: float
    idle_timeout_s: float


class _Connection(cheroot.server.HTTPConnection):
    """A caller's connection, which one thread serves until it closes."""

    busy = False

    def serve(self) -> None:
        """Answer requests until the connection closes."""
        server: CallerServer = self.server
        reader = request_reader.RequestReader(server.limits, server.budget)
        stream = streams.Stream(self.socket, server.waker)
        try:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream.deadline = time.monotonic() + server.limits.header_timeout_s
            stream.handshake()
            while self._serve_request(server, stream, reader):
                server.budget.release()
                self.busy = False
        except request_reader.RequestRefused as refused:
            reader.close()
            server.budget.release()
            self._send_refusal(server, stream, refused.failure)
        except OSError:
            pass
        except Exception:
            logger.exception("caller connection failed")
        finally:
            reader.close()
            server.budget.release()
            stream.close()
            self.close()
            server.discard_connection(self)

    def close(self) -> None:
        """Close the socket; cheroot's own method fails on a closed socket."""
        self.rfile.close()
        self.socket.close()

    def _serve_request(
        self,
        server: CallerServer,
        stream: streams.Stream,
        reader: request_reader.RequestReader,
    ) -> bool:
        request = self._receive(server, stream, reader)
        if request is None:
            return False
        request.peer = str(self.remote_addr)
        request.secure = server.ssl_adapter is not None
        if server.stopping:
            failure = errors.Failure(errors.Kind.LEAVING, "the node is stopping")
            response = server.make_failure_response(failure)
        else:
            response = self._handle(server, request, stream, reader)
        keep_alive = request.keep_alive
        if server.stopping and not reader.has_partial_request():
            keep_alive = False
        stream.deadline = time.monotonic() + server.limits.header_timeout_s
        stream.sendall(self._encode(server, response, request.method, keep_alive))
        if not keep_alive:
            self.busy = False
            server.budget.release()
            stream.close_gracefully(LINGER_S, MAX_LINGER_BYTES)
        return keep_alive

    def _handle(
        self,
        server: CallerServer,
        request: http.Request,
        stream: streams.Stream,
        reader: request_reader.RequestReader,
    ) -> http.Response:
        try:
            return server.handle(request, lambda: _has_caller_closed(stream, reader))
        except Exception:
            logger.exception("a request failed")
            return server.make_failure_response(errors.Failure(errors.Kind.INTERNAL))

    def _receive(
        self,
        server: CallerServer,
        stream: streams.Stream,
        reader: request_reader.RequestReader,
    ) -> http.Request | None:
        """Return the next request, or ``None`` when the connection must be closed."""
        request = reader.next_request()
        if request is None:
            if not reader.has_partial_request() and not self._wait_for_request(
                server, stream
            ):
                return None
            self.busy = True
            stream.deadline = time.monotonic() + server.limits.header_timeout_s
            try:
                while request is None:
                    if reader.take_continue_expectation():
                        stream.sendall(request_reader.CONTINUE_RESPONSE)
                    data = stream.recv(RECEIVE_BYTES)
                    if not data:
                        return None
                    reader.feed(data)
                    request = reader.next_request()
            except TimeoutError:
                detail = "the request was not complete in time"
                raise request_reader.RequestRefused(
                    errors.Kind.REQUEST_TIMEOUT, detail
                ) from None
        self.busy = True
        return request

    def _wait_for_request(self, server: CallerServer, stream: streams.Stream) -> bool:
        if not server.stopping and stream.wait_readable_or_woken(
            server.limits.idle_timeout_s
        ):
            return True
        return server.stopping and stream.wait_readable(STOP_DRAIN_S)

    def _encode(
        self,
        server: CallerServer,
        response: http.Response,
        method: str,
        keep_alive: bool,
    ) -> bytes:
        try:
            return http.encode_response(response, method, keep_alive)
        except ValueError as error:
            failure = errors.Failure(errors.Kind.ANSWER_INVALID, str(error))
            return http.encode_response(
                server.make_failure_response(failure), method, keep_alive
            )

    def _send_refusal(
        self, server: CallerServer, stream: streams.Stream, failure: errors.Failure
    ) -> None:
        server.count_refused(failure.kind)
        # The method may be unknown, so the response has a body even if the request
        # was a HEAD; the connection is closed, so no later response can be misread.
        data = http.encode_response(server.make_failure_response(failure), "GET", False)
        stream.deadline = time.monotonic() + LINGER_S
        try:
            stream.sendall(data)
        except OSError:
            return
        stream.close_gracefully(LINGER_S, MAX_LINGER_BYTES)


def _has_caller_closed(
    stream: streams.Stream, reader: request_reader.RequestReader
) -> bool:
    """Whether the caller closed its connection; pipelined data is kept for later."""
    if reader.has_partial_request():
        return False
    try:
        data = stream.recv_nowait(RECEIVE_BYTES)
    except (OSError, ValueError):
        return True
    if data:
        reader.feed(data)
    return data == b""


class CallerServer(cheroot.server.HTTPServer):
    """Listens on the caller port and passes each request to a handler.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port to listen on.
    limits : Limits
        Limits of each connection.
    handle : callable
        Answers a request; its second argument returns whether the caller has closed
        its connection.
    make_failure_response : callable
        Makes the response to a request that is refused before it becomes a call.
    budget : memory.Budget
        Memory budget that bodies of requests are charged to.
    tls_context : SSLContext or None
        TLS context of the port; ``None`` for plain HTTP.
    """

    ConnectionClass = _Connection

    def __init__(
        self,
        address: tuple[str, int],
        limits: Limits,
        handle: HandleRequest,
        make_failure_response: MakeFailureResponse,
        budget: memory.Budget,
        tls_context: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(address, gateway=None, minthreads=1, server_name="snipelink")
        if tls_context is not None:
            self.ssl_adapter = tls.CherootAdapter(tls_context)
        self.limits = limits
        self.handle = handle
        self.make_failure_response = make_failure_response
        self.budget = budget
        self.waker = streams.Waker()
        self.stopping = False
        self.refused_by_kind: dict[errors.Kind, int] = {}
        self._state_lock = threading.Lock()
        self._open_connections: set[_Connection] = set()

    def start_serving(self) -> None:
        """Bind the port and start the thread that accepts connections."""
        self.prepare()
        threading.Thread(target=self.serve, name="caller-accept", daemon=True).start()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log a message of cheroot, in place of its write to standard error."""
        logger.log(level, "%s", msg, exc_info=traceback)

    def process_conn(self, conn: _Connection) -> None:
        """Start the thread that serves a new connection."""
        with self._state_lock:
            is_full = len(self._open_connections) >= self.limits.max_connections
            if not is_full:
                self._open_connections.add(conn)
        if is_full:
            self.count_refused(errors.Kind.OVERLOADED)
            self._refuse_connection(conn)
            return
        threading.Thread(target=conn.serve, name="caller", daemon=True).start()

    def _refuse_connection(self, conn: _Connection) -> None:
        """Refuse a connection in the accepting thread.

        The response is small enough for any send buffer, so sending cannot block. A TLS
        connection is closed without a response, which would need a handshake first.
        """
        failure = errors.Failure(errors.Kind.OVERLOADED, "too many connections")
        try:
            if self.ssl_adapter is None:
                conn.socket.setblocking(False)
                data = http.encode_response(
                    self.make_failure_response(failure), "GET", False
                )
                conn.socket.send(data)
                conn.socket.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        conn.close()

    def count_refused(self, kind: errors.Kind) -> None:
        """Count a request that was refused before it became a call."""
        with self._state_lock:
            self.refused_by_kind[kind] = self.refused_by_kind.get(kind, 0) + 1

    def discard_connection(self, conn: _Connection) -> None:
        """Remove a connection that its thread has closed."""
        with self._state_lock:
            self._open_connections.discard(conn)

    def open_connections(self) -> int:
        """Return the number of open connections."""
        with self._state_lock:
            return len(self._open_connections)

    def busy_connections(self) -> int:
        """Return the number of connections with an unanswered request."""
        with self._state_lock:
            return sum(conn.busy for conn in self._open_connections)

    def stop_accepting(self) -> None:
        """Stop accepting connections and drain the open ones (graceful shutdown).

        Running calls are answered. A request that arrives within `STOP_DRAIN_S` is
        refused with the error kind `leaving`.
        """
        if not self.ready:
            return
        self.stopping = True
        self.waker.wake()
        self._drain_backlog()
        self.stop()

    def _drain_backlog(self) -> None:
        """Wait until connections in the backlog of the listener are accepted."""
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        deadline = time.monotonic() + STOP_DRAIN_S
        while poller.poll(0) and time.monotonic() < deadline:
            time.sleep(BACKLOG_POLL_S)
