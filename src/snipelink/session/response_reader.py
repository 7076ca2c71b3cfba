"""Reader of the answers that arrive on one connection, free of input and output."""

from __future__ import annotations

import httptools

from snipelink import model
from snipelink.session import headers as header_rules
from snipelink.session import http

# Bytes beside the body: heads, chunk lines and trailers.
MAX_FRAMING_BYTES = 262144


class InvalidResponse(Exception):
    """The bytes are no valid answer; the connection cannot be used further."""


class ResponseReader:
    """Splits the bytes of a connection into complete answers.

    Parameters
    ----------
    method : str
        Method of the request whose answer is awaited.
    max_bytes : int
        Largest body.

    Attributes
    ----------
    reusable : bool
        Whether the connection may carry another request.
    started : bool
        Whether any byte of an answer has arrived.
    """

    def __init__(self, method: str, max_bytes: int) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._method = method
        self._max_bytes = max_bytes
        self._complete: list[http.Response] = []
        self._status = 0
        self._headers: model.Headers = []
        self._chunks: list[bytes] = []
        self._size = 0
        self._received = 0
        self._in_body = False
        self._until_end = False
        self.reusable = True
        self.started = False

    def feed(self, data: bytes) -> None:
        """Add received bytes.

        Raises
        ------
        InvalidResponse
            If they break the protocol or a limit. Answers that were complete before
            can still be taken.
        """
        self.started = True
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.reusable = False
            raise InvalidResponse(str(error.__context__ or error)) from None
        if self._received - self._size > MAX_FRAMING_BYTES:
            raise InvalidResponse("too many bytes beside the body")

    def feed_eof(self) -> None:
        """Note the orderly end of the connection; completes an unframed answer."""
        self.reusable = False
        if self._in_body and self._until_end:
            self.on_message_complete()

    def next_response(self) -> http.Response | None:
        """Return the next complete answer, or None if more bytes are needed."""
        return self._complete.pop(0) if self._complete else None

    def is_idle(self) -> bool:
        """Whether nothing was received beyond the answers that were taken."""
        return not self._complete and not self._in_body and not self._headers

    def on_message_begin(self) -> None:
        """Start an answer; called by the parser."""
        self._headers = []
        self._chunks = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; called by the parser."""
        if not self._in_body:
            text = value.strip(b" \t").decode("latin-1")
            self._headers.append((name.decode("latin-1").lower(), text))

    def on_headers_complete(self) -> None:
        """Check the framing; called by the parser."""
        status = self._parser.get_status_code()
        if not 100 <= status <= 599 or status == 101:
            raise InvalidResponse(f"status {status}")
        if status < 200:
            return
        lengths = [v for name, v in self._headers if name == "content-length"]
        codings = [v for name, v in self._headers if name == "transfer-encoding"]
        if len(lengths) > 1 or (lengths and codings):
            raise InvalidResponse("more than one length")
        if codings and [c.lower() for c in codings] != ["chunked"]:
            raise InvalidResponse("transfer coding")
        if lengths and int(lengths[0]) > self._max_bytes:
            raise InvalidResponse("body too large")
        options = header_rules.connection_options(self._headers)
        if self._parser.get_http_version() != "1.1" or "close" in options:
            self.reusable = False
        self._status = status
        self._in_body = True
        framed = bool(lengths or codings)
        self._until_end = not framed and not http.has_no_body(self._method, status)
        if self._until_end:
            self.reusable = False
        if self._method == "HEAD":
            # The parser would take the next answer for the body.
            self.reusable = False
            self.on_message_complete()

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body; called by the parser."""
        self._size += len(data)
        if self._size > self._max_bytes:
            raise InvalidResponse("body too large")
        self._chunks.append(data)

    def on_message_complete(self) -> None:
        """Finish an answer; called by the parser."""
        if not self._in_body:
            return
        self._in_body = False
        response = http.Response(self._status, self._headers, b"".join(self._chunks))
        self._complete.append(response)
        self._headers = []
        self._chunks = []
