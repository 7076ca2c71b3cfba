"""Header rules of an HTTP intermediary, such as hop-by-hop headers."""

from __future__ import annotations

import re

from snipelink import model

VIA = "1.1 snipelink"
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
# Headers that the node replaces or drops, so that a caller cannot forge them. The X-
# headers are not lists, so the node could not mark its own entry as trustworthy.
DROPPED_FROM_REQUESTS = HOP_BY_HOP | {
    "content-length",
    "expect",
    "forwarded",
    "http2-settings",
    "snipelink-call-id",
    "snipelink-deadline-ms",
    "snipelink-depth",
    "traceparent",
    "via",
    "x-forwarded-for",
    "x-forwarded-host",
    "x-forwarded-proto",
    "x-real-ip",
}
# Headers that an endpoint cannot send to a caller: only a node states the outcome of a
# call, and only nodes read the load.
DROPPED_FROM_RESPONSES = HOP_BY_HOP | {
    "content-length",
    "snipelink-call-id",
    "snipelink-error",
    "snipelink-load",
    "snipelink-ran",
    "snipelink-state",
}
# Headers that the node relies on; a Connection header cannot remove them.
_PROTECTED_FROM_CONNECTION = frozenset({"host", "idempotency-key", "snipelink-caller"})
_TOKEN = r"[A-Za-z0-9!#$%&'*+.^_`|~-]+"
_QUOTED = r'"(?:[^"\\\x00-\x1f\x7f]|\\[^\x00-\x1f\x7f])*+"'
_PAIR = rf"{_TOKEN}=(?:{_TOKEN}|{_QUOTED})"
_ELEMENT = rf"{_PAIR}(?:[ \t]*;[ \t]*{_PAIR})*+"
_FORWARDED = re.compile(rf"{_ELEMENT}(?:[ \t]*,[ \t]*{_ELEMENT})*+")
_KEEP_ALIVE = re.compile(r"(?:^|[,;\s])timeout=(\d{1,9})")
_VIA = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~/:,\[\] \t-]+")


def end_to_end(headers: model.Headers, dropped: frozenset[str]) -> model.Headers:
    """Return the headers that an intermediary passes on.

    Parameters
    ----------
    dropped : frozenset of str
        Names to remove: `DROPPED_FROM_REQUESTS` or `DROPPED_FROM_RESPONSES`.
    """
    passed = [field for field in headers if field[0] not in dropped]
    options = connection_options(headers) - _PROTECTED_FROM_CONNECTION
    if options:
        passed = [field for field in passed if field[0] not in options]
    return passed


def connection_options(headers: model.Headers) -> set[str]:
    """Return the lower-case options of all Connection headers."""
    options: set[str] = set()
    for name, value in headers:
        if name == "connection":
            options.update(token.strip().lower() for token in value.split(","))
    return options


def first_value(headers: model.Headers, name: str) -> str:
    """Return the first value of a header, by lower-case name, or ''."""
    for key, value in headers:
        if key == name:
            return value
    return ""


def keep_alive_timeout_s(headers: model.Headers) -> float | None:
    """Return the timeout of the Keep-Alive header in seconds, or ``None``."""
    match = _KEEP_ALIVE.search(first_value(headers, "keep-alive"))
    return float(match[1]) if match else None


def forwarding_headers(
    headers: model.Headers, peer: str, host: str, secure: bool
) -> model.Headers:
    """Return the ``Via`` and ``Forwarded`` headers that this node sends.

    The node appends its entry to those of the caller. Only that last entry is
    trustworthy. Malformed values are dropped, because an unclosed quote would make the
    entry of the node part of a quoted string.

    Parameters
    ----------
    peer : str
        IP address of the caller.
    host : str
        Host of the request, without port; may be empty.
    """
    via, forwarded = [], []
    for name, value in headers:
        if name == "via" and _VIA.fullmatch(value):
            via.append(value)
        elif name == "forwarded" and _FORWARDED.fullmatch(value):
            forwarded.append(value)
    own_entry = f'for="[{peer}]"' if ":" in peer else f"for={peer}"
    if host:
        own_entry += f';host="{host}"' if ":" in host else f";host={host}"
    own_entry += ";proto=https" if secure else ";proto=http"
    via.append(VIA)
    forwarded.append(own_entry)
    return [("via", ", ".join(via)), ("forwarded", ", ".join(forwarded))]
