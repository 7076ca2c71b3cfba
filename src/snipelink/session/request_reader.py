"""Strict reader of callers' requests.

httptools parses heads and chunks. This module finds where each request ends, so
the parser never sees a byte of the next one, and adds the rules that httptools
leaves open.
"""

from __future__ import annotations

import re
import typing

import httptools

from snipelink import errors, model
from snipelink.session import http, memory, request_target

MAX_HEADERS = 100
MAX_CHUNK_LINE_BYTES = 1024
# Chunk lines and trailers of one body; tiny chunks would cost far more time
# than their bytes are worth.
MAX_CHUNK_FRAMING_BYTES = 65536
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

_METHODS = {
    name.encode(): name
    for name in ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
}
# A server that ignores such a body would read it as the next request.
_METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD"})
# The versions and methods of RTSP and ICE pass httptools; this pattern stops them.
_REQUEST_LINE = re.compile(rb"([A-Z]+) ([^ \r\n]+) HTTP/1\.([01])\r\n")
_BARE_LINE_END = re.compile(rb"(?<!\r)\n|\r[^\n]")
# Two values would let the node and the endpoint act on different ones.
_SINGLE = frozenset(
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
# Spares the decoding of names that most requests carry.
_COMMON_NAMES = {
    spelling.encode(): name
    for name in (
        *_SINGLE,
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
        """Largest head, bytes."""

    @property
    def max_body_bytes(self) -> int:
        """Largest body, bytes."""


class RequestRefused(Exception):
    """The request is refused; the connection cannot be used further."""

    def __init__(self, kind: errors.Kind, detail: str) -> None:
        super().__init__(detail)
        self.failure = errors.Failure(kind, detail)


class RequestReader:
    """Turns the bytes of one connection into requests, one at a time.

    Parameters
    ----------
    limits : Limits
        Limits of each request.
    budget : memory.Chargeable
        Charged for bodies.
    single : frozenset of str
        Further headers that may be given once, in lower case.
    """

    def __init__(
        self,
        limits: Limits,
        budget: memory.Chargeable,
        single: frozenset[str] = frozenset(),
    ) -> None:
        self._limits = limits
        self._single_names = _SINGLE | single
        self._budget = budget
        self._parser = httptools.HttpRequestParser(self)
        self._buffer = bytearray()
        self._scanned = 0
        self._request: http.Request | None = None
        self._headers: model.Headers = []
        self._single: dict[str, str] = {}
        self._duplicate = ""
        self._keep_alive = False
        self._chunked = False
        self._left = 0
        self._framing_bytes = 0
        self._in_trailers = False
        self._done = False
        self._wants_continue = False
        self._chunks: list[bytes] = []
        self._size = 0

    def has_partial_request(self) -> bool:
        """Whether bytes of a request have been read but not returned."""
        return self._request is not None or bool(self._buffer)

    def is_reading_body(self) -> bool:
        """Whether the head of a request has been read and its body has not."""
        return self._request is not None

    def take_continue_expectation(self) -> bool:
        """Whether the caller waits for ``100 Continue``; true once a request."""
        wants, self._wants_continue = self._wants_continue, False
        return wants

    def feed(self, data: bytes) -> None:
        """Add bytes that were received."""
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
        while not self._done:
            if not self._read_body():
                return None
        request = self._request
        if request is not None and self._chunks:
            request.body = b"".join(self._chunks)
        self._request = None
        self._wants_continue = False
        return request

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; called by the parser."""
        if self._in_trailers:
            return
        key = _COMMON_NAMES.get(name) or name.decode("latin-1").lower()
        text = value.strip().decode("latin-1")
        if key in self._single_names:
            if key in self._single:
                self._duplicate = key
            self._single[key] = text
        self._headers.append((key, text))

    def on_headers_complete(self) -> None:
        """Note what the parser forgets at the end; called by the parser."""
        self._keep_alive = self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body; called by the parser."""
        self._chunks.append(data)
        self._size += len(data)

    def on_message_complete(self) -> None:
        """Note the end of the request; called by the parser."""
        self._done = True

    def _read_head(self) -> bool:
        buffer = self._buffer
        if not buffer:
            return False
        if not self._scanned and buffer.startswith(b"\r\n"):
            # Some old clients send an empty line after a body.
            del buffer[:2]
        end = buffer.find(b"\r\n\r\n", max(0, self._scanned - 3))
        if end < 0:
            self._check_partial_head()
            return False
        end += 4
        if end > self._limits.max_header_bytes:
            raise RequestRefused(errors.Kind.HEADER_TOO_LARGE, "request head too large")
        data = bytes(buffer[:end])
        del buffer[:end]
        self._scanned = 0
        self._headers = []
        self._single = {}
        self._chunks = []
        self._size = self._left = self._framing_bytes = 0
        self._chunked = self._in_trailers = self._done = False
        upgrade = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            upgrade = True
        except httptools.HttpParserError as error:
            raise _bad(str(error)) from None
        self._request = self._check_head(data, upgrade)
        return True

    def _check_partial_head(self) -> None:
        buffer = self._buffer
        if not buffer:
            return
        if not 0x41 <= buffer[0] <= 0x5A and buffer != b"\r":
            raise _bad("invalid request line")
        if _BARE_LINE_END.search(buffer, max(0, self._scanned - 1)):
            raise _bad("bare CR or LF")
        if len(buffer) > self._limits.max_header_bytes:
            raise RequestRefused(errors.Kind.HEADER_TOO_LARGE, "request head too large")
        self._scanned = len(buffer)

    def _check_head(self, data: bytes, upgrade: bool) -> http.Request:
        line = _REQUEST_LINE.match(data)
        if line is None:
            raise _bad("invalid request line")
        method = _METHODS.get(line[1])
        if method is None:
            raise _bad("method is not supported")
        if self._duplicate:
            raise _bad(f"{self._duplicate} is given twice")
        if len(self._headers) > MAX_HEADERS:
            raise RequestRefused(errors.Kind.HEADER_TOO_LARGE, "too many headers")
        old = line[3] == b"0"
        fields = self._single
        host = fields.get("host")
        if host is None and not old:
            raise _bad("Host is missing")
        try:
            target = request_target.parse(line[2].decode("latin-1"), host, method)
        except request_target.InvalidTarget as error:
            raise _bad(str(error)) from None
        # Most requests carry no field beside Host that this concerns.
        if len(fields) > 1 or old or upgrade:
            self._check_framing(method, old, upgrade)
        return http.Request(
            method,
            target.text,
            self._headers,
            keep_alive=self._keep_alive and not old,
            host=target.host,
            path=target.path,
            raw_target=line[2].decode("latin-1"),
        )

    def _check_framing(self, method: str, old: bool, upgrade: bool) -> None:
        coding = self._single.get("transfer-encoding")
        length = self._single.get("content-length")
        self._chunked = coding is not None
        self._left = int(length) if length is not None else 0
        has_body = self._chunked or self._left > 0
        if coding is not None and (old or coding.lower() != "chunked"):
            raise _bad("transfer coding is not supported")
        if method in _METHODS_WITHOUT_BODY and has_body:
            raise _bad(f"{method} with a body")
        if upgrade and has_body:
            # httptools would not parse the body.
            raise _bad("Upgrade on a request with a body")
        if old and (method == "OPTIONS" or (method == "POST" and length is None)):
            raise _bad("not a valid HTTP/1.0 request")
        if self._left > self._limits.max_body_bytes:
            raise RequestRefused(
                errors.Kind.REQUEST_TOO_LARGE, "request body too large"
            )
        expected = self._single.get("expect")
        if expected is not None:
            if expected.lower() != "100-continue":
                raise _bad("expectation is not supported")
            self._wants_continue = not old and has_body and not self._buffer

    def _read_body(self) -> bool:
        """Parse what has arrived of the body; false if more bytes are needed."""
        if self._left:
            size = min(self._left, len(self._buffer))
            if not size:
                return False
            if not self._budget.charge(size):
                detail = "no memory for the request body"
                raise RequestRefused(errors.Kind.OVERLOADED, detail)
            self._feed_parser(size)
            self._left -= size
            return True
        if not self._chunked:
            raise _bad("invalid body length")
        return self._read_chunk_line()

    def _read_chunk_line(self) -> bool:
        buffer = self._buffer
        end = buffer.find(b"\n", 0, MAX_CHUNK_LINE_BYTES) + 1
        if not end:
            if len(buffer) >= MAX_CHUNK_LINE_BYTES:
                raise _bad("chunk line too long")
            return False
        self._framing_bytes += end
        if self._framing_bytes > MAX_CHUNK_FRAMING_BYTES:
            raise _bad("too many chunks or trailers")
        line = self._feed_parser(end)
        if self._in_trailers:
            return True
        size = int(line.split(b";", 1)[0], 16)
        if self._size + size > self._limits.max_body_bytes:
            raise RequestRefused(
                errors.Kind.REQUEST_TOO_LARGE, "request body too large"
            )
        self._in_trailers = size == 0
        self._left = size + 2 if size else 0
        return True

    def _feed_parser(self, size: int) -> bytes:
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise _bad(str(error)) from None
        return data


def _bad(detail: str) -> RequestRefused:
    return RequestRefused(errors.Kind.BAD_REQUEST, detail)
