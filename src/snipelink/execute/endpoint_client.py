"""HTTP client for one endpoint over kept-alive connections."""

from __future__ import annotations

import collections
import socket
import threading
import time

import httptools
import urllib3.connection
from result import Err, Ok, Result

from snipelink import errors, model
from snipelink.session import frames, http

RECEIVE_BYTES = 65536
MAX_IDLE_CONNECTIONS = 16
CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_HEAD_BYTES = 65536


class _ResponseReader:
    """Collects one response from the parser's callbacks."""

    def __init__(self, method: str) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.method = method
        self.headers: model.Headers = []
        self.chunks: list[bytes] = []
        self.size = 0
        self.head_done = False
        self.done = False
        self.framed = False

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.decode("latin-1").lower()
        if key in ("content-length", "transfer-encoding"):
            self.framed = True
        self.headers.append((key, value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if 100 <= status < 200:
            return
        self.head_done = True
        if http.has_no_body(self.method, status):
            self.done = True

    def on_body(self, data: bytes) -> None:
        self.chunks.append(data)
        self.size += len(data)

    def on_message_complete(self) -> None:
        if not self.head_done:
            self.headers.clear()
            self.framed = False
            return
        self.done = True


class EndpointClient:
    """Sends requests to one endpoint, one at a time on a connection.

    Parameters
    ----------
    address : str
        IP:port of the endpoint.
    endpoint : str
        Name of the endpoint, for failures.
    """

    def __init__(self, address: str, endpoint: str) -> None:
        self._host, port = address.rsplit(":", 1)
        self._port = int(port)
        self._address = address
        self._endpoint = endpoint
        self._idle: collections.deque[socket.socket] = collections.deque()
        self._lock = threading.Lock()

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            connections = list(self._idle)
            self._idle.clear()
        for connection in connections:
            connection.close()

    def request(
        self,
        method: str,
        target: str,
        headers: model.Headers,
        body: bytes,
        deadline: float,
        max_answer_bytes: int,
    ) -> Result[http.Response, errors.Failure]:
        """Send a request and return the complete response.

        Parameters
        ----------
        headers : list of (str, str)
            End-to-end headers; the framing headers are added here.
        deadline : float
            Monotonic time in seconds.
        """
        acquired = self._acquire(deadline)
        if isinstance(acquired, Err):
            return acquired
        connection = acquired.ok_value
        payload = self._encode(method, target, headers, body)
        try:
            connection.settimeout(max(0.001, deadline - time.monotonic()))
            connection.sendall(payload)
        except OSError as error:
            connection.close()
            # A partly sent request may still be run by a lenient endpoint.
            return self._fail(errors.Kind.CONNECTION_LOST, str(error))
        return self._receive(connection, method, deadline, max_answer_bytes)

    def _encode(
        self, method: str, target: str, headers: model.Headers, body: bytes
    ) -> bytes:
        lines = [f"{method} {target} HTTP/1.1\r\n"]
        lines += [f"{name}: {value}\r\n" for name, value in headers]
        if body or method in ("POST", "PUT", "PATCH"):
            lines.append(f"content-length: {len(body)}\r\n")
        lines.append("\r\n")
        return "".join(lines).encode("latin-1") + body

    def _acquire(self, deadline: float) -> Result[socket.socket, errors.Failure]:
        while True:
            with self._lock:
                connection = self._idle.pop() if self._idle else None
            if connection is None:
                return self._connect(deadline)
            if not frames.is_closed(connection):
                return Ok(connection)
            connection.close()

    def _connect(self, deadline: float) -> Result[socket.socket, errors.Failure]:
        timeout = min(CONNECT_TIMEOUT_S, max(0.001, deadline - time.monotonic()))
        opener = urllib3.connection.HTTPConnection(
            self._host, self._port, timeout=timeout
        )
        try:
            opener.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            return self._fail(errors.Kind.UNREACHABLE, str(error))
        connection = opener.sock
        if connection is None:
            return self._fail(errors.Kind.UNREACHABLE, "no connection")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Ok(connection)

    def _receive(
        self,
        connection: socket.socket,
        method: str,
        deadline: float,
        max_answer_bytes: int,
    ) -> Result[http.Response, errors.Failure]:
        reader = _ResponseReader(method)
        received = 0
        try:
            while not reader.done:
                connection.settimeout(max(0.001, deadline - time.monotonic()))
                data = connection.recv(RECEIVE_BYTES)
                if not data:
                    break
                received += len(data)
                reader.parser.feed_data(data)
                if reader.size > max_answer_bytes:
                    connection.close()
                    return self._fail(errors.Kind.ANSWER_TOO_LARGE)
                if not reader.head_done and received > MAX_ANSWER_HEAD_BYTES:
                    connection.close()
                    return self._fail(errors.Kind.ANSWER_INVALID, "head too large")
        except TimeoutError:
            connection.close()
            return self._fail(errors.Kind.DEADLINE_UNKNOWN)
        except httptools.HttpParserError as error:
            connection.close()
            return self._fail(errors.Kind.ANSWER_INVALID, str(error))
        except OSError as error:
            connection.close()
            kind = errors.Kind.CONNECTION_LOST
            if reader.head_done:
                kind = errors.Kind.ANSWER_INCOMPLETE
            return self._fail(kind, str(error))
        if not reader.done:
            connection.close()
            if received == 0:
                return self._fail(errors.Kind.CONNECTION_LOST, "closed before answer")
            return self._fail(errors.Kind.ANSWER_INCOMPLETE, "closed inside answer")
        status = reader.parser.get_status_code()
        self._release(connection, reader)
        return Ok(http.Response(status, reader.headers, b"".join(reader.chunks)))

    def _release(self, connection: socket.socket, reader: _ResponseReader) -> None:
        keep = reader.parser.should_keep_alive() or reader.method == "HEAD"
        with self._lock:
            if keep and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        connection.close()

    def _fail(self, kind: errors.Kind, detail: str = "") -> Err[errors.Failure]:
        return Err(errors.Failure(kind, detail, endpoint=self._endpoint))
