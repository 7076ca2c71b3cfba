"""HTTP requests and responses, and the encoding of responses."""

from __future__ import annotations

import dataclasses
import http

from snipelink import model
from snipelink.session import headers as header_rules

REASONS_BY_STATUS = {status.value: status.phrase for status in http.HTTPStatus} | {
    499: "Client Closed Request"
}
# Statuses of final responses; those below are interim, those above are not defined.
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
# A body up to this size is joined with the head of its message; a larger one is sent
# after it, because joining would hold it twice.
MAX_COPIED_BODY_BYTES = 1 << 15


@dataclasses.dataclass(slots=True)
class Request:
    """A complete HTTP request of a caller.

    Attributes
    ----------
    target : str
        Request target in origin form, with a normalised path.
    host : str
        Lower-case host without port; empty if an HTTP/1.0 request has none.
    path : str
        Path of the target.
    peer : str
        IP address of the caller.
    secure : bool
        Whether the request arrived over TLS.
    raw_target : str
        Target as the caller sent it.
    """

    method: str
    target: str
    headers: model.Headers
    body: model.Body = b""
    keep_alive: bool = True
    peer: str = ""
    host: str = ""
    path: str = ""
    secure: bool = False
    raw_target: str = ""

    def header(self, name: str) -> str:
        """Return the first value of a header, by lower-case name, or ''."""
        return header_rules.first_value(self.headers, name)


@dataclasses.dataclass(slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: model.Headers
    body: model.Body = b""


def message_bytes(headers: model.Headers, body: model.Body) -> int:
    """Return the number of bytes of a message's headers and body."""
    return len(body) + sum(len(name) + len(value) for name, value in headers)


def has_no_body(method: str, status: int) -> bool:
    """Whether a response to `method` with `status` has no body."""
    return method == "HEAD" or status in (204, 304) or 100 <= status < 200


def is_final_status(status: int) -> bool:
    """Whether a status is that of a final response, neither interim nor undefined."""
    return FIRST_FINAL_STATUS <= status <= LAST_STATUS


def encode_response(response: Response, method: str, keep_alive: bool) -> bytes:
    """Return the bytes of a response with its framing headers.

    Raises
    ------
    ValueError
        If a header contains a character that `encode_head` refuses.
    """
    return b"".join(encode_response_parts(response, method, keep_alive))


def encode_response_parts(
    response: Response, method: str, keep_alive: bool
) -> tuple[bytes, model.Body]:
    """Return the head and the body of a response; the body is not copied.

    Raises
    ------
    ValueError
        If a header contains a character that `encode_head` refuses.
    """
    status = response.status
    reason = REASONS_BY_STATUS.get(status, "Unknown")
    lines = [f"HTTP/1.1 {status} {reason}"]
    length = None
    for name, value in response.headers:
        if name == "content-length":
            length = value
            continue
        lines.append(f"{name}: {value}")
    body: model.Body = response.body
    if has_no_body(method, status):
        body = b""
        if length is not None and status != 204:
            lines.append(f"content-length: {length}")
    else:
        lines.append(f"content-length: {len(body)}")
    if not keep_alive:
        lines.append("connection: close")
    return encode_head(lines), body


def encode_head(lines: list[str]) -> bytes:
    """Return the bytes of an HTTP message head.

    Raises
    ------
    ValueError
        If a line contains a line end, a NUL or a character outside Latin-1. A line
        end would allow header injection or response splitting.
    """
    line_end_count = len(lines) + 1
    head = "\r\n".join(lines) + "\r\n\r\n"
    if (
        head.count("\n") != line_end_count
        or head.count("\r") != line_end_count
        or "\0" in head
    ):
        raise ValueError("line end or NUL inside a header")
    return head.encode("latin-1")
