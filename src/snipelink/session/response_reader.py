"""Parser for the HTTP responses that arrive on one connection; does no I/O."""

from __future__ import annotations

import httptools

from snipelink import model
from snipelink.session import body_buffer, http
from snipelink.session import headers as header_rules

# Bound on the bytes of heads, chunk lines and trailers.
MAX_FRAMING_BYTES = 262144


class InvalidResponse(Exception):
    """The response is invalid and the connection must be closed."""


class ResponseReader:
    """Parses the bytes of one connection into complete responses.

    The reader and its parser refer to each other. `close` breaks that cycle; without
    it, both stay in memory, with the bytes of an unfinished response, until a garbage
    collection.

    Parameters
    ----------
    method : str
        Method of the request that the response answers.
    max_body_bytes : int
        Maximum size of a body.
    max_framing_bytes : int
        Maximum size of heads, chunk lines and trailers.

    Attributes
    ----------
    reusable : bool
        Whether the connection may carry another request.
    started : bool
        Whether any byte of a response has been received.
    is_body_too_large : bool
        Whether a body exceeded its maximum size.
    """

    def __init__(
        self,
        method: str,
        max_body_bytes: int,
        max_framing_bytes: int = MAX_FRAMING_BYTES,
    ) -> None:
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self._method = method
        self._max_body_bytes = max_body_bytes
        self._max_framing_bytes = max_framing_bytes
        self._complete: list[http.Response] = []
        self._status = 0
        self._headers: model.Headers = []
        self._body = body_buffer.BodyBuffer()
        self._body_bytes = 0
        self._received_bytes = 0
        self._in_body = False
        self._ends_at_eof = False
        self.reusable = True
        self.started = False
        self.is_body_too_large = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        InvalidResponse
            If the bytes violate the protocol or a limit. `next_response` still returns
            the responses that were complete before.
        """
        if self._parser is None:
            raise InvalidResponse("the reader is closed")
        self.started = True
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.reusable = False
            raise InvalidResponse(str(error.__context__ or error)) from None
        if self._received_bytes - self._body_bytes > self._max_framing_bytes:
            raise InvalidResponse("too many bytes beside the body")

    def feed_eof(self) -> None:
        """Handle an orderly end of the connection.

        A response without a length or chunks ends here and becomes complete.
        """
        self.reusable = False
        if self._in_body and self._ends_at_eof:
            self.on_message_complete()

    def close(self) -> None:
        """Drop the parser and all bytes that were not returned."""
        self.reusable = False
        self._parser = None
        self._complete.clear()
        self._headers = []
        self._body.take()

    def next_response(self) -> http.Response | None:
        """Return the next complete response, or None if more bytes are needed."""
        return self._complete.pop(0) if self._complete else None

    def is_idle(self) -> bool:
        """Whether nothing was received beyond the returned responses."""
        return not self._complete and not self._in_body and not self._headers

    def on_message_begin(self) -> None:
        """Reset the state for a new response; called by the parser."""
        self._headers = []
        self._body.take()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; called by the parser."""
        if not self._in_body:
            text = value.strip(b" \t").decode("latin-1")
            self._headers.append((name.decode("latin-1").lower(), text))

    def on_headers_complete(self) -> None:
        """Check the status and the framing; called by the parser."""
        assert self._parser is not None
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
        if lengths:
            self._check_body_size(int(lengths[0]))
        options = header_rules.connection_options(self._headers)
        if self._parser.get_http_version() != "1.1" or "close" in options:
            self.reusable = False
        self._status = status
        self._in_body = True
        has_framing = bool(lengths or codings)
        self._ends_at_eof = not has_framing and not http.has_no_body(
            self._method, status
        )
        if self._ends_at_eof:
            self.reusable = False
        if self._method == "HEAD":
            # The parser does not know that a response to HEAD has no body and would
            # read the next response as the body.
            self.reusable = False
            self.on_message_complete()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body; called by the parser."""
        self._body_bytes += len(data)
        self._check_body_size(self._body_bytes)
        self._body.append(data)

    def _check_body_size(self, size: int) -> None:
        if size > self._max_body_bytes:
            self.is_body_too_large = True
            raise InvalidResponse("body too large")

    def on_message_complete(self) -> None:
        """Add the finished response to the complete ones; called by the parser."""
        if not self._in_body:
            return
        self._in_body = False
        response = http.Response(self._status, self._headers, self._body.take())
        self._complete.append(response)
        self._headers = []
