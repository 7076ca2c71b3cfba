"""Accepts callers' connections by cheroot; one thread for each connection."""

from __future__ import annotations

import collections
import logging
import socket
import threading
import typing

import cheroot.server
import httptools

from snipelink import errors, model
from snipelink.session import frames, http

logger = logging.getLogger(__name__)
RECEIVE_BYTES = 65536
Cancelled = typing.Callable[[], bool]
Handle = typing.Callable[[http.Request, Cancelled], http.Response]


class Limits(typing.Protocol):
    """Limits of a caller's connection."""

    max_header_bytes: int
    max_body_bytes: int
    max_connections: int
    header_timeout_s: float
    idle_timeout_s: float


class _RequestReader:
    """Collects requests from the parser's callbacks."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self.parser = httptools.HttpRequestParser(self)
        self.ready: collections.deque[http.Request] = collections.deque()
        self.in_request = False
        self.in_head = False
        self.head_bytes = 0
        self.failure: errors.Failure | None = None
        self._target = b""
        self._headers: model.Headers = []
        self._chunks: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> None:
        if self.in_head or not self.in_request:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.failure is None:
                self._reject(errors.Kind.BAD_REQUEST, str(error))
        if self.in_head and self.head_bytes > self._limits.max_header_bytes:
            self._reject(errors.Kind.HEADER_TOO_LARGE, "request head too large")

    def on_message_begin(self) -> None:
        self.in_request = self.in_head = True
        self._target = b""
        self._headers = []
        self._chunks = []
        self._size = 0

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        pair = (name.decode("latin-1").lower(), value.decode("latin-1"))
        self._headers.append(pair)

    def on_headers_complete(self) -> None:
        self.in_head = False
        self.head_bytes = 0

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self._limits.max_body_bytes:
            self._reject(errors.Kind.REQUEST_TOO_LARGE, "request body too large")
        else:
            self._chunks.append(data)

    def on_message_complete(self) -> None:
        self.in_request = False
        request = http.Request(
            method=self.parser.get_method().decode("ascii"),
            target=self._target.decode("latin-1"),
            headers=self._headers,
            body=b"".join(self._chunks),
            keep_alive=self.parser.should_keep_alive(),
        )
        self.ready.append(request)

    def _reject(self, kind: errors.Kind, detail: str) -> None:
        self.failure = errors.Failure(kind, detail)


class _Connection(cheroot.server.HTTPConnection):
    """A caller's connection, read and answered by one thread until it closes."""

    def serve(self) -> None:
        """Answer requests until the connection closes."""
        server: CallerServer = self.server
        connection = self.socket
        reader = _RequestReader(server.limits)
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while self._serve_one(server, connection, reader):
                pass
        except OSError:
            pass
        finally:
            server.forget(self)
            self.close()

    def _serve_one(
        self, server: CallerServer, connection: socket.socket, reader: _RequestReader
    ) -> bool:
        if not server.set_idle(self, True):
            return False
        while not reader.ready and reader.failure is None:
            timeout = server.limits.header_timeout_s
            if not reader.in_request:
                timeout = server.limits.idle_timeout_s
            connection.settimeout(timeout)
            data = connection.recv(RECEIVE_BYTES)
            if not data:
                return False
            reader.feed(data)
            server.set_idle(self, False)
        connection.settimeout(server.limits.header_timeout_s)
        if not reader.ready:
            failure = reader.failure or errors.Failure(errors.Kind.BAD_REQUEST)
            response = server.refuse(failure)
            connection.sendall(http.encode_response(response, "GET", False))
            return False
        request = reader.ready.popleft()
        request.peer = str(self.remote_addr)
        response = server.handle(request, lambda: _is_gone(connection, reader))
        keep_alive = request.keep_alive and not server.stopping
        connection.sendall(http.encode_response(response, request.method, keep_alive))
        return keep_alive


def _is_gone(connection: socket.socket, reader: _RequestReader) -> bool:
    """Whether the caller closed its connection; pipelined data does not count."""
    if reader.ready:
        return False
    try:
        if not frames.is_readable(connection):
            return False
        return connection.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True


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
    """

    ConnectionClass = _Connection

    def __init__(
        self,
        address: tuple[str, int],
        limits: Limits,
        handle: Handle,
        refuse: typing.Callable[[errors.Failure], http.Response],
    ) -> None:
        super().__init__(address, gateway=None, minthreads=1, server_name="snipelink")
        self.limits = limits
        self.handle = handle
        self.refuse = refuse
        self.stopping = False
        self._state_lock = threading.Lock()
        self._idle_by_connection: dict[_Connection, bool] = {}

    def start_serving(self) -> None:
        """Bind the port and accept connections in a thread of its own."""
        self.prepare()
        threading.Thread(target=self.serve, name="caller-accept", daemon=True).start()

    def process_conn(self, conn: _Connection) -> None:
        """Start the thread that owns a new connection."""
        with self._state_lock:
            full = len(self._idle_by_connection) >= self.limits.max_connections
            if not full and not self.stopping:
                self._idle_by_connection[conn] = True
        if full or self.stopping:
            conn.close()
            return
        threading.Thread(target=conn.serve, name="caller", daemon=True).start()

    def set_idle(self, conn: _Connection, idle: bool) -> bool:
        """Record whether a connection carries a request; false once stopping."""
        with self._state_lock:
            if idle and self.stopping:
                return False
            self._idle_by_connection[conn] = idle
            return True

    def forget(self, conn: _Connection) -> None:
        """Remove a connection that its thread has left."""
        with self._state_lock:
            self._idle_by_connection.pop(conn, None)

    def busy_connections(self) -> int:
        """Return how many connections carry a request."""
        with self._state_lock:
            return sum(not idle for idle in self._idle_by_connection.values())

    def stop_accepting(self) -> None:
        """Refuse new connections and close those that carry no request."""
        with self._state_lock:
            self.stopping = True
            idle = [conn for conn, free in self._idle_by_connection.items() if free]
        for conn in idle:
            try:
                conn.socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        # Ends the library's own threads, which would keep the process alive.
        self.stop()
