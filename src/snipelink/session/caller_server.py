"""Accepts callers' connections by cheroot; one thread for each connection."""

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
RECEIVE_BYTES = 65536
# Time in which a request that crosses the stop of the node may still arrive.
STOP_DRAIN_S = 0.1
BACKLOG_POLL_S = 0.005
# Time and bytes for which the rest of a refused request is read and dropped.
LINGER_S = 1.0
LINGER_BYTES = 1 << 20
Cancelled = typing.Callable[[], bool]
Handle = typing.Callable[[http.Request, Cancelled], http.Response]
Refuse = typing.Callable[[errors.Failure], http.Response]


class Limits(request_reader.Limits, typing.Protocol):
    """Limits of a caller's connection."""

    max_connections: int
    header_timeout_s: float
    idle_timeout_s: float


class _Connection(cheroot.server.HTTPConnection):
    """A caller's connection, read and answered by one thread until it closes."""

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
            while self._serve_one(server, stream, reader):
                server.budget.release()
                self.busy = False
        except request_reader.RequestRefused as refused:
            del reader
            server.budget.release()
            self._refuse(server, stream, refused.failure)
        except OSError:
            pass
        except Exception:
            logger.exception("caller connection failed")
        finally:
            server.budget.release()
            stream.close()
            self.close()
            server.forget(self)

    def close(self) -> None:
        """Close the socket; cheroot's own method fails on a closed one."""
        self.rfile.close()
        self.socket.close()

    def _serve_one(
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
            response = server.refuse(failure)
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
            stream.close_gracefully(LINGER_S, LINGER_BYTES)
        return keep_alive

    def _handle(
        self,
        server: CallerServer,
        request: http.Request,
        stream: streams.Stream,
        reader: request_reader.RequestReader,
    ) -> http.Response:
        try:
            return server.handle(request, lambda: _is_gone(stream, reader))
        except Exception:
            logger.exception("a request failed")
            return server.refuse(errors.Failure(errors.Kind.INTERNAL))

    def _receive(
        self,
        server: CallerServer,
        stream: streams.Stream,
        reader: request_reader.RequestReader,
    ) -> http.Request | None:
        """Return the next request, or ``None`` when the connection is over."""
        request = reader.next_request()
        if request is None:
            if not reader.has_partial_request() and not self._wait_idle(server, stream):
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

    def _wait_idle(self, server: CallerServer, stream: streams.Stream) -> bool:
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
            return http.encode_response(server.refuse(failure), method, keep_alive)

    def _refuse(
        self, server: CallerServer, stream: streams.Stream, failure: errors.Failure
    ) -> None:
        server.count_refused(failure.kind)
        # The method is not known for certain, so a body may follow a HEAD; the
        # connection closes, which bounds it.
        data = http.encode_response(server.refuse(failure), "GET", False)
        stream.deadline = time.monotonic() + LINGER_S
        try:
            stream.sendall(data)
        except OSError:
            return
        stream.close_gracefully(LINGER_S, LINGER_BYTES)


def _is_gone(stream: streams.Stream, reader: request_reader.RequestReader) -> bool:
    """Whether the caller closed its connection; pipelined data does not count."""
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
    """Listens on the caller port.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port to listen on.
    limits : Limits
        Limits of each connection.
    handle : callable
        Answers a request; its second argument tells whether the caller is gone.
    refuse : callable
        Makes the response for a failure found before a call exists.
    budget : memory.Budget
        Charged for bodies of requests.
    tls_context : SSLContext or None
        Context of the port; ``None`` for plain HTTP.
    """

    ConnectionClass = _Connection

    def __init__(
        self,
        address: tuple[str, int],
        limits: Limits,
        handle: Handle,
        refuse: Refuse,
        budget: memory.Budget,
        tls_context: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(address, gateway=None, minthreads=1, server_name="snipelink")
        if tls_context is not None:
            self.ssl_adapter = tls.CherootAdapter(tls_context)
        self.limits = limits
        self.handle = handle
        self.refuse = refuse
        self.budget = budget
        self.waker = streams.Waker()
        self.stopping = False
        self.refused_by_kind: dict[errors.Kind, int] = {}
        self._state_lock = threading.Lock()
        self._open: set[_Connection] = set()

    def start_serving(self) -> None:
        """Bind the port and accept connections in a thread of its own."""
        self.prepare()
        threading.Thread(target=self.serve, name="caller-accept", daemon=True).start()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Pass a message of cheroot to the log."""
        logger.log(level, "%s", msg, exc_info=traceback)

    def process_conn(self, conn: _Connection) -> None:
        """Start the thread that owns a new connection."""
        with self._state_lock:
            full = len(self._open) >= self.limits.max_connections
            if not full:
                self._open.add(conn)
        if full:
            self.count_refused(errors.Kind.OVERLOADED)
            self._turn_away(conn)
            return
        threading.Thread(target=conn.serve, name="caller", daemon=True).start()

    def _turn_away(self, conn: _Connection) -> None:
        """Refuse a connection without a thread; the answer fits any send buffer."""
        failure = errors.Failure(errors.Kind.OVERLOADED, "too many connections")
        try:
            if self.ssl_adapter is None:
                conn.socket.setblocking(False)
                data = http.encode_response(self.refuse(failure), "GET", False)
                conn.socket.send(data)
                conn.socket.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        conn.close()

    def count_refused(self, kind: errors.Kind) -> None:
        """Count a request that was refused before a call existed."""
        with self._state_lock:
            self.refused_by_kind[kind] = self.refused_by_kind.get(kind, 0) + 1

    def forget(self, conn: _Connection) -> None:
        """Remove a connection that its thread has left."""
        with self._state_lock:
            self._open.discard(conn)

    def open_connections(self) -> int:
        """Return how many connections are open."""
        with self._state_lock:
            return len(self._open)

    def busy_connections(self) -> int:
        """Return how many connections carry a request."""
        with self._state_lock:
            return sum(conn.busy for conn in self._open)

    def stop_accepting(self) -> None:
        """Close the listener and let each connection end after its last answer.

        A request that arrives within `STOP_DRAIN_S` is answered as `leaving`.
        """
        if not self.ready:
            return
        self.stopping = True
        self.waker.wake()
        self._drain_backlog()
        self.stop()

    def _drain_backlog(self) -> None:
        """Wait until connections that are established already are accepted."""
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        deadline = time.monotonic() + STOP_DRAIN_S
        while poller.poll(0) and time.monotonic() < deadline:
            time.sleep(BACKLOG_POLL_S)
