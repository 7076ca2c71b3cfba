"""HTTP messages as the rest of the package sees them."""

from __future__ import annotations

import dataclasses
import http

from snipelink import model

REASONS_BY_STATUS = {
    status.value: status.phrase.encode("latin-1") for status in http.HTTPStatus
} | {499: b"Client Closed Request"}


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request of a caller."""

    method: str
    target: str
    headers: model.Headers
    body: bytes = b""
    keep_alive: bool = True
    peer: str = ""

    def header(self, name: str) -> str:
        """Return the first value of a header, by lower-case name, or ''."""
        for key, value in self.headers:
            if key == name:
                return value
        return ""


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response."""

    status: int
    headers: model.Headers
    body: bytes = b""


def has_no_body(method: str, status: int) -> bool:
    """Whether the response to `method` with `status` carries no body."""
    return method == "HEAD" or status in (204, 304) or 100 <= status < 200


def encode_response(response: Response, method: str, keep_alive: bool) -> bytes:
    """Return the bytes of a response with its framing headers."""
    status = response.status
    lines = [
        b"HTTP/1.1 %d %s\r\n" % (status, REASONS_BY_STATUS.get(status, b"Unknown"))
    ]
    length = None
    for name, value in response.headers:
        if name == "content-length":
            length = value
            continue
        lines.append(f"{name}: {value}\r\n".encode("latin-1"))
    if has_no_body(method, status):
        if length is not None and status != 204:
            lines.append(b"content-length: %s\r\n" % length.encode("latin-1"))
        body = b""
    else:
        body = response.body
        lines.append(b"content-length: %d\r\n" % len(body))
    lines.append(b"\r\n" if keep_alive else b"connection: close\r\n\r\n")
    lines.append(body)
    return b"".join(lines)
