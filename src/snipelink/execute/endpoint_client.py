"""HTTP/1.1 client for one endpoint with a pool of persistent connections."""

from __future__ import annotations

import collections
import socket
import ssl
import threading
import time
import typing

import httptools
import urllib3.connection
from result import Err, Ok, Result

from snipelink import errors, model
from snipelink.session import body_buffer, http, memory, streams
from snipelink.session import headers as header_rules

RECEIVE_CHUNK_BYTES = 65536
MAX_IDLE_CONNECTIONS = 16
# Common servers close idle connections after 5 s. If a request crosses such a close,
# the client cannot tell whether the endpoint executed it.
MAX_IDLE_S = 4.0
CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_HEAD_BYTES = 65536
# Maximum size of heads, chunk size lines and trailers together.
MAX_ANSWER_FRAMING_BYTES = 262144
# Statuses with which endpoints refuse requests that they have not run.
REFUSAL_STATUSES = frozenset({429, 503})


class _InvalidAnswerError(Exception):
    """The response is malformed or too large; the connection must be closed."""

    def __init__(self, kind: errors.Kind, detail: str) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail


class _ResponseReader:
    """Assembles one response from the callbacks of the HTTP parser.

    The reader and its parser refer to each other until `close` is called.
    """

    def __init__(self, method: str, max_bytes: int, budget: memory.Budget) -> None:
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self.status = 0
        self.headers: model.Headers = []
        self.done = False
        self.head_complete = False
        self.reusable = True
        self.received_bytes = 0
        self.has_surplus = False
        self._method = method
        self._max_bytes = max_bytes
        self._budget = budget
        self._body = body_buffer.BodyBuffer()
        self._body_bytes = 0

    @property
    def body(self) -> model.Body:
        return self._body.content

    def close(self) -> None:
        """Drop the parser and the body."""
        self._parser = None
        self._body.take()

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raises ``_InvalidAnswerError``."""
        assert self._parser is not None
        self.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if isinstance(error.__context__, _InvalidAnswerError):
                raise error.__context__ from None
            if not self.done:
                raise _InvalidAnswerError(
                    errors.Kind.ANSWER_INVALID, str(error)
                ) from None
            self.has_surplus = True
        if not self.head_complete and self.received_bytes > MAX_ANSWER_HEAD_BYTES:
            raise _InvalidAnswerError(
                errors.Kind.ANSWER_INVALID, "answer head too large"
            )
        if self.received_bytes - self._body_bytes > MAX_ANSWER_FRAMING_BYTES:
            raise _InvalidAnswerError(
                errors.Kind.ANSWER_INVALID,
                "too much framing",
            )

    def on_message_begin(self) -> None:
        if self.done:
            self.has_surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        # Trailers and the headers of a surplus second message are ignored.
        if not self.head_complete:
            text = value.strip(b" \t").decode("latin-1")
            self.headers.append((name.decode("latin-1").lower(), text))

    def on_headers_complete(self) -> None:
        if self.head_complete:
            return
        assert self._parser is not None
        status = self._parser.get_status_code()
        if self._parser.get_http_version() not in ("1.1", "1.0"):
            raise _InvalidAnswerError(errors.Kind.ANSWER_INVALID, "HTTP version")
        if 100 <= status < 200 and status != 101:
            return
        if not http.is_final_status(status):
            raise _InvalidAnswerError(errors.Kind.ANSWER_INVALID, f"status {status}")
        self.status = status
        self._check_framing()
        self.head_complete = True
        self.done = http.has_no_body(self._method, status)

    def on_body(self, data: bytes) -> None:
        if self.done:
            self.has_surplus = True
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._max_bytes:
            raise _InvalidAnswerError(
                errors.Kind.ANSWER_TOO_LARGE, "answer body too large"
            )
        if not self._budget.charge(len(data)):
            raise _InvalidAnswerError(
                errors.Kind.ANSWER_TOO_LARGE, "no memory for the answer"
            )
        self._body.append(data)

    def on_message_complete(self) -> None:
        if self.head_complete:
            self.done = True
        else:
            self.headers.clear()

    def _check_framing(self) -> None:
        lengths = [value for name, value in self.headers if name == "content-length"]
        codings = [value for name, value in self.headers if name == "transfer-encoding"]
        assert self._parser is not None
        version = self._parser.get_http_version()
        options = header_rules.connection_options(self.headers)
        self.reusable = version == "1.1" and "close" not in options
        if codings and (
            version == "1.0" or [c.lower() for c in codings] != ["chunked"]
        ):
            raise _InvalidAnswerError(errors.Kind.ANSWER_INVALID, "transfer coding")
        if len(lengths) > 1 or (lengths and codings):
            raise _InvalidAnswerError(
                errors.Kind.ANSWER_INVALID, "more than one length"
            )
        if http.has_no_body(self._method, self.status):
            return
        if not lengths and not codings:
            # Without a length, a crash of the endpoint looks like the end of the body.
            detail = "an answer without length cannot be known to be complete"
            raise _InvalidAnswerError(errors.Kind.ANSWER_INCOMPLETE, detail)
        if lengths and int(lengths[0]) > self._max_bytes:
            raise _InvalidAnswerError(
                errors.Kind.ANSWER_TOO_LARGE, "answer body too large"
            )


class _IdleConnection(typing.NamedTuple):
    """A pooled connection; ``idle_since`` is monotonic time in seconds."""

    stream: streams.Stream
    idle_since: float


class EndpointClient:
    """Sends requests to one endpoint, without pipelining.

    Parameters
    ----------
    address : str
        IP:port of the endpoint.
    endpoint : str
        Name of the endpoint, which failures report.
    budget : memory.Budget
        Memory budget that response bodies are charged to.
    tls_context : SSLContext or None
        TLS context of the connections; ``None`` for plain HTTP.
    tls_name : str
        Host name that the endpoint's certificate must contain.
    """

    def __init__(
        self,
        address: str,
        endpoint: str,
        budget: memory.Budget,
        tls_context: ssl.SSLContext | None = None,
        tls_name: str = "",
    ) -> None:
        host, port = address.rsplit(":", 1)
        self._host = host.strip("[]")
        self._port = int(port)
        self._endpoint = endpoint
        self._budget = budget
        self._tls_context = tls_context
        self._tls_name = tls_name
        self._idle_connections: collections.deque[_IdleConnection] = collections.deque()
        self._lock = threading.Lock()
        # Count of responses, or parts of them, that arrived without a request.
        self.unexpected_answers = 0

    def for_address(self, address: str, endpoint: str) -> EndpointClient:
        """Return a client for another endpoint with the same budget and TLS context."""
        return EndpointClient(
            address, endpoint, self._budget, self._tls_context, self._tls_name
        )

    def release_memory(self) -> None:
        """Release the memory that this thread has charged for answers.

        Only threads without a session need this; a session releases its own memory.
        """
        self._budget.release()

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle = list(self._idle_connections)
            self._idle_connections.clear()
        for connection in idle:
            connection.stream.close()

    def request(
        self,
        method: str,
        target: str,
        headers: model.Headers,
        body: model.Body,
        deadline: float,
        max_answer_bytes: int,
    ) -> Result[http.Response, errors.Failure]:
        """Send a request and return the complete response.

        Parameters
        ----------
        headers : list of (str, str)
            End-to-end headers; this method adds the framing headers.
        deadline : float
            Monotonic time in seconds.
        """
        try:
            payload = self._encode(method, target, headers, body)
        except ValueError as error:
            return self._failed_outcome(errors.Kind.BAD_REQUEST, str(error))
        acquired = self._acquire(deadline)
        if isinstance(acquired, Err):
            return acquired
        stream = acquired.ok_value
        stream.deadline = deadline
        reader = _ResponseReader(method, max_answer_bytes, self._budget)
        outcome = self._exchange(stream, payload, reader)
        if reader.has_surplus:
            self._count_unexpected_answer()
        is_clean = reader.reusable and not reader.has_surplus
        # A faulty endpoint may repeat a refusal, which could then be taken for the
        # answer to the next request.
        if (
            isinstance(outcome, Ok)
            and is_clean
            and reader.status not in REFUSAL_STATUSES
        ):
            self._release(stream)
        else:
            stream.close()
        reader.close()
        return outcome

    def _encode(
        self, method: str, target: str, headers: model.Headers, body: model.Body
    ) -> bytes:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method in ("POST", "PUT", "PATCH"):
            lines.append(f"content-length: {len(body)}")
        return http.encode_head(lines) + body

    def _exchange(
        self, stream: streams.Stream, payload: bytes, reader: _ResponseReader
    ) -> Result[http.Response, errors.Failure]:
        fully_sent = False
        try:
            fully_sent = self._send(stream, payload)
            while not reader.done:
                data = stream.recv(RECEIVE_CHUNK_BYTES)
                if not data:
                    return self._connection_lost_outcome(
                        reader, "the endpoint closed the connection"
                    )
                reader.feed(data)
        except _InvalidAnswerError as error:
            return self._failed_outcome(error.kind, error.detail)
        except TimeoutError:
            return self._failed_outcome(errors.Kind.DEADLINE_UNKNOWN)
        except OSError as error:
            return self._connection_lost_outcome(reader, str(error))
        reader.reusable = reader.reusable and fully_sent
        return Ok(http.Response(reader.status, reader.headers, reader.body))

    def _send(self, stream: streams.Stream, payload: bytes) -> bool:
        """Send the request; return False if the endpoint interrupts the sending.

        The endpoint interrupts it by an early response or by closing the connection.
        """
        try:
            return stream.send_until_readable(payload)
        except TimeoutError:
            raise
        except OSError:
            # The endpoint may have sent a response before it stopped reading.
            return False

    def _connection_lost_outcome(
        self, reader: _ResponseReader, detail: str
    ) -> Err[errors.Failure]:
        # The endpoint may have executed a request that was sent only in part.
        if reader.received_bytes == 0:
            return self._failed_outcome(errors.Kind.CONNECTION_LOST, detail)
        return self._failed_outcome(errors.Kind.ANSWER_INCOMPLETE, detail)

    def _acquire(self, deadline: float) -> Result[streams.Stream, errors.Failure]:
        while True:
            with self._lock:
                idle = self._idle_connections.pop() if self._idle_connections else None
            if idle is None:
                return self._connect(deadline)
            if time.monotonic() - idle.idle_since < MAX_IDLE_S:
                try:
                    unread = idle.stream.recv_nowait(1)
                except OSError:
                    unread = b""
                if unread is None:
                    return Ok(idle.stream)
                if unread:
                    self._count_unexpected_answer()
            idle.stream.close()

    def _connect(self, deadline: float) -> Result[streams.Stream, errors.Failure]:
        timeout = min(CONNECT_TIMEOUT_S, max(0.001, deadline - time.monotonic()))
        connector = self._make_connector(timeout)
        try:
            connector.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            return self._failed_outcome(errors.Kind.UNREACHABLE, str(error))
        connection = connector.sock
        if connection is None:
            return self._failed_outcome(errors.Kind.UNREACHABLE, "no connection")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Ok(streams.Stream(connection))

    def _make_connector(self, timeout: float) -> urllib3.connection.HTTPConnection:
        if self._tls_context is None:
            return urllib3.connection.HTTPConnection(
                self._host, self._port, timeout=timeout
            )
        return urllib3.connection.HTTPSConnection(
            self._host,
            self._port,
            timeout=timeout,
            ssl_context=self._tls_context,
            server_hostname=self._tls_name,
        )

    def _release(self, stream: streams.Stream) -> None:
        with self._lock:
            if len(self._idle_connections) < MAX_IDLE_CONNECTIONS:
                self._idle_connections.append(_IdleConnection(stream, time.monotonic()))
                return
        stream.close()

    def _count_unexpected_answer(self) -> None:
        with self._lock:
            self.unexpected_answers += 1

    def _failed_outcome(
        self, kind: errors.Kind, detail: str = ""
    ) -> Err[errors.Failure]:
        return Err(errors.Failure(kind, detail, endpoint=self._endpoint))
