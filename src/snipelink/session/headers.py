"""Header rules of HTTP intermediaries."""

from __future__ import annotations

from snipelink import model

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Set anew by every hop from its own knowledge; a caller cannot forge them.
SET_BY_NODE = frozenset(
    {
        "content-length",
        "expect",
        "snipelink-deadline-ms",
        "snipelink-depth",
        "snipelink-call-id",
        "traceparent",
    }
)
# Only a node may state the outcome of a call.
OUTCOME_HEADERS = frozenset(
    {"snipelink-error", "snipelink-ran", "snipelink-call-id", "content-length"}
)


def end_to_end(headers: model.Headers, dropped: frozenset[str]) -> model.Headers:
    """Return the headers that pass an intermediary, without those in `dropped`."""
    named: set[str] = set()
    for name, value in headers:
        if name == "connection":
            named.update(token.strip().lower() for token in value.split(","))
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in dropped and name not in named
    ]
