"""Strict parser for HTTP requests of callers.

httptools parses heads and chunks. This module finds the end of each request, so that
the parser is never fed bytes of the next one, and enforces rules that httptools does
not check.
"""

from __future__ import annotations

import re
import typing

import httptools

from snipelink import errors, model
from snipelink.session import body_buffer, http, memory, request_target

# Bounds on the number of headers and on the length of a chunk line or trailer.
MAX_HEADERS = 100
MAX_CHUNK_LINE_BYTES = 1024
# Bound on chunk lines and trailers of one body; without it, a body of tiny chunks
# takes far more parsing time than its size suggests.
MAX_CHUNK_FRAMING_BYTES = 65536
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

_METHODS = {
    name.encode(): name
    for name in ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
}
# A server that ignores the body of such a request would read it as the next request.
_METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD"})
# httptools also accepts the versions and methods of RTSP and ICE.
_REQUEST_LINE = re.compile(rb"([A-Z]+) ([^ \r\n]+) HTTP/1\.([01])\r\n")
_BARE_CR_OR_LF = re.compile(rb"(?<!\r)\n|\r[^\n]")
# Headers that may occur once. With two values, the node and the endpoint could act on
# different ones.
_SINGLE_VALUE_NAMES = frozenset(
    {
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "snipelink-caller",
        "snipelink-deadline-ms",
        "snipelink-depth",
        "traceparent",
        "transfer-encoding",
    }
)
# Avoids decoding and lower-casing the names that most requests carry.
_COMMON_NAMES = {
    spelling.encode(): name
    for name in (
        *_SINGLE_VALUE_NAMES,
        "accept",
        "accept-encoding",
        "authorization",
        "connection",
        "content-type",
        "user-agent",
    )
    for spelling in (name, name.title())
}


class Limits(typing.Protocol):
    """Limits of one request."""

    @property
    def max_header_bytes(self) -> int:
        """Maximum size of a request head in bytes."""

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of a body in bytes."""


class RequestRefused(Exception):
    """The request is refused and the connection must be closed."""

    def __init__(self, kind: errors.Kind, detail: str) -> None:
        super().__init__(detail)
        self.failure = errors.Failure(kind, detail)


class RequestReader:
    """Parses the bytes of one connection into requests, one at a time.

    The reader and its parser refer to each other. `close` breaks that cycle; without
    it, both stay in memory, with the bytes of an unfinished request, until a garbage
    collection.

    Parameters
    ----------
    limits : Limits
        Limits of each request.
    budget : memory.Chargeable
        Memory budget that bodies are charged to.
    single_value_names : frozenset of str
        Lower-case names of further headers that may occur once.
    """

    def __init__(
        self,
        limits: Limits,
        budget: memory.Chargeable,
        single_value_names: frozenset[str] = frozenset(),
    ) -> None:
        self._limits = limits
        self._single_value_names = _SINGLE_VALUE_NAMES | single_value_names
        self._budget = budget
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(
            self
        )
        self._buffer = bytearray()
        self._scanned_bytes = 0
        self._request: http.Request | None = None
        self._headers: model.Headers = []
        self._single_values: dict[str, str] = {}
        self._duplicate_name = ""
        self._keep_alive = False
        self._is_chunked = False
        self._unread_body_bytes = 0
        self._chunk_framing_bytes = 0
        self._in_trailers = False
        self._is_complete = False
        self._expects_continue = False
        self._body = body_buffer.BodyBuffer()
        self._body_bytes = 0

    def has_partial_request(self) -> bool:
        """Whether bytes have been received that belong to no returned request."""
        return self._request is not None or bool(self._buffer)

    def is_reading_body(self) -> bool:
        """Whether the head of a request is complete and its body is not."""
        return self._request is not None

    def take_continue_expectation(self) -> bool:
        """Whether to send ``100 Continue`` now; true at most once per request."""
        expects, self._expects_continue = self._expects_continue, False
        return expects

    def feed(self, data: bytes) -> None:
        """Add received bytes to the buffer."""
        self._buffer += data

    def next_request(self) -> http.Request | None:
        """Return the next complete request, or ``None`` if more bytes are needed.

        Raises
        ------
        RequestRefused
            If the request breaks a rule or a limit.
        """
        if self._request is None and not self._read_head():
            return None
        while not self._is_complete:
            if not self._read_body():
                return None
        request = self._request
        if request is not None:
            request.body = self._body.take()
        self._request = None
        self._expects_continue = False
        return request

    def close(self) -> None:
        """Drop the parser and all bytes that were not returned."""
        self._parser = None
        self._request = None
        self._buffer.clear()
        self._headers = []
        self._body.take()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; called by the parser."""
        if self._in_trailers:
            return
        key = _COMMON_NAMES.get(name) or name.decode("latin-1").lower()
        text = value.strip().decode("latin-1")
        if key in self._single_value_names:
            if key in self._single_values:
                self._duplicate_name = key
            self._single_values[key] = text
        self._headers.append((key, text))

    def on_headers_complete(self) -> None:
        """Save the keep-alive flag, which the parser resets; called by the parser."""
        assert self._parser is not None
        self._keep_alive = self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body; called by the parser."""
        self._body.append(data)
        self._body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Mark the request as complete; called by the parser."""
        self._is_complete = True

    def _read_head(self) -> bool:
        buffer = self._buffer
        if not buffer:
            return False
        if not self._scanned_bytes and buffer.startswith(b"\r\n"):
            # Some old clients send an empty line after the body of a request.
            del buffer[:2]
        end = buffer.find(b"\r\n\r\n", max(0, self._scanned_bytes - 3))
        if end < 0:
            self._check_partial_head()
            return False
        end += 4
        if end > self._limits.max_header_bytes:
            raise RequestRefused(errors.Kind.HEADER_TOO_LARGE, "request head too large")
        data = bytes(buffer[:end])
        del buffer[:end]
        self._scanned_bytes = 0
        self._headers = []
        self._single_values = {}
        self._body.take()
        self._body_bytes = self._unread_body_bytes = self._chunk_framing_bytes = 0
        self._is_chunked = self._in_trailers = self._is_complete = False
        upgrade = False
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            upgrade = True
        except httptools.HttpParserError as error:
            raise _bad_request(str(error)) from None
        self._request = self._check_head(data, upgrade)
        return True

    def _check_partial_head(self) -> None:
        buffer = self._buffer
        if not buffer:
            return
        if not 0x41 <= buffer[0] <= 0x5A and buffer != b"\r":
            raise _bad_request("invalid request line")
        if _BARE_CR_OR_LF.search(buffer, max(0, self._scanned_bytes - 1)):
            raise _bad_request("bare CR or LF")
        if len(buffer) > self._limits.max_header_bytes:
            raise RequestRefused(errors.Kind.HEADER_TOO_LARGE, "request head too large")
        self._scanned_bytes = len(buffer)

    def _check_head(self, data: bytes, upgrade: bool) -> http.Request:
        line = _REQUEST_LINE.match(data)
        if line is None:
            raise _bad_request("invalid request line")
        method = _METHODS.get(line[1])
        if method is None:
            raise _bad_request("method is not supported")
        if self._duplicate_name:
            raise _bad_request(f"{self._duplicate_name} is given twice")
        if len(self._headers) > MAX_HEADERS:
            raise RequestRefused(errors.Kind.HEADER_TOO_LARGE, "too many headers")
        is_http_1_0 = line[3] == b"0"
        fields = self._single_values
        host = fields.get("host")
        if host is None and not is_http_1_0:
            raise _bad_request("Host is missing")
        try:
            target = request_target.parse(line[2].decode("latin-1"), host, method)
        except request_target.InvalidTarget as error:
            raise _bad_request(str(error)) from None
        # Most requests have no other single-value header than Host.
        if len(fields) > 1 or is_http_1_0 or upgrade:
            self._check_framing(method, is_http_1_0, upgrade)
        return http.Request(
            method,
            target.text,
            self._headers,
            keep_alive=self._keep_alive and not is_http_1_0,
            host=target.host,
            path=target.path,
            raw_target=line[2].decode("latin-1"),
        )

    def _check_framing(self, method: str, is_http_1_0: bool, upgrade: bool) -> None:
        coding = self._single_values.get("transfer-encoding")
        length = self._single_values.get("content-length")
        self._is_chunked = coding is not None
        self._unread_body_bytes = int(length) if length is not None else 0
        has_body = self._is_chunked or self._unread_body_bytes > 0
        if coding is not None and (is_http_1_0 or coding.lower() != "chunked"):
            raise _bad_request("transfer coding is not supported")
        if method in _METHODS_WITHOUT_BODY and has_body:
            raise _bad_request(f"{method} with a body")
        if upgrade and has_body:
            # httptools would not parse the body.
            raise _bad_request("Upgrade on a request with a body")
        if is_http_1_0 and (
            method == "OPTIONS" or (method == "POST" and length is None)
        ):
            raise _bad_request("not a valid HTTP/1.0 request")
        if self._unread_body_bytes > self._limits.max_body_bytes:
            raise RequestRefused(
                errors.Kind.REQUEST_TOO_LARGE, "request body too large"
            )
        self._reserve(self._unread_body_bytes)
        expected = self._single_values.get("expect")
        if expected is not None:
            if expected.lower() != "100-continue":
                raise _bad_request("expectation is not supported")
            self._expects_continue = not is_http_1_0 and has_body and not self._buffer

    def _read_body(self) -> bool:
        """Parse the next part of the body; return false if more bytes are needed."""
        if self._unread_body_bytes:
            size = min(self._unread_body_bytes, len(self._buffer))
            if not size:
                return False
            self._feed_parser(size)
            self._unread_body_bytes -= size
            return True
        if not self._is_chunked:
            raise _bad_request("invalid body length")
        return self._read_chunk_line()

    def _read_chunk_line(self) -> bool:
        buffer = self._buffer
        end = buffer.find(b"\n", 0, MAX_CHUNK_LINE_BYTES) + 1
        if not end:
            if len(buffer) >= MAX_CHUNK_LINE_BYTES:
                raise _bad_request("chunk line too long")
            return False
        self._chunk_framing_bytes += end
        if self._chunk_framing_bytes > MAX_CHUNK_FRAMING_BYTES:
            raise _bad_request("too many chunks or trailers")
        line = self._feed_parser(end)
        if self._in_trailers:
            return True
        size = int(line.split(b";", 1)[0], 16)
        if self._body_bytes + size > self._limits.max_body_bytes:
            raise RequestRefused(
                errors.Kind.REQUEST_TOO_LARGE, "request body too large"
            )
        self._reserve(size)
        self._in_trailers = size == 0
        # The data of a chunk is followed by a line end of two bytes.
        self._unread_body_bytes = size + 2 if size else 0
        return True

    def _reserve(self, size: int) -> None:
        """Charge bytes of the body before they arrive.

        A body with a length is refused before it is sent, and never halfway.
        """
        if size and not self._budget.charge(size):
            detail = "no memory for the request body"
            raise RequestRefused(errors.Kind.OVERLOADED, detail)

    def _feed_parser(self, size: int) -> bytes:
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise _bad_request(str(error)) from None
        return data


def _bad_request(detail: str) -> RequestRefused:
    return RequestRefused(errors.Kind.BAD_REQUEST, detail)
