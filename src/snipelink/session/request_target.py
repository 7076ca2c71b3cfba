"""Validation and normalisation of request targets and Host values."""

from __future__ import annotations

import functools
import re
import typing

MAX_PORT = 65535

_PATH = r"(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/]++|%[0-9A-Fa-f]{2})*+"
# Clients commonly send brackets, braces, bar, caret and backquote unencoded.
_QUERY = r"(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/?\[\]{}|^`]++|%[0-9A-Fa-f]{2})*+"
# Fast path for the usual target, which needs no further check: it has no escapes, and
# no path segment starts with a dot.
_PLAIN_TARGET = re.compile(
    rf"((?:/[A-Za-z0-9_~!$&'()*+,;=:@-][A-Za-z0-9\-._~!$&'()*+,;=:@]*+)*+/?)(\?{_QUERY})?"
)
_ORIGIN_FORM = re.compile(rf"(/{_PATH})(\?{_QUERY})?")
_ABSOLUTE_FORM = re.compile(r"https?://([^/?]*)(.*)", re.IGNORECASE)
_HOST = re.compile(
    r"([A-Za-z0-9](?:[A-Za-z0-9._-]*[A-Za-z0-9])?|\[[0-9A-Fa-f:.]+\])(?::([0-9]{1,5}))?"
)
_ESCAPE = re.compile(r"%[0-9A-Fa-f]{2}")
# Encoded slash, backslash and control characters.
_FORBIDDEN_ESCAPE = re.compile(r"%(?:[01][0-9A-F]|7F|2F|5C)", re.IGNORECASE)
# Some servers drop the parameters of a path segment and so read "..;x" as "..".
_DOT_SEGMENT = re.compile(r"/\.{1,2}(?:[/;]|\Z)")
_UNRESERVED = frozenset(
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
)


class InvalidTarget(ValueError):
    """The request target or the Host value is refused."""


class Target(typing.NamedTuple):
    """Request target in origin form, or ``*``, with its path and host."""

    text: str
    path: str
    host: str


@functools.lru_cache(maxsize=1024)
def parse_host(value: str) -> str:
    """Return the lower-case host of a Host value without its port."""
    match = _HOST.fullmatch(value)
    if match is None or (match[2] and int(match[2]) > MAX_PORT):
        raise InvalidTarget("invalid Host")
    return match[1].lower()


def parse(text: str, host_value: str | None, method: str) -> Target:
    """Check a request target against the Host value and normalise its path.

    Escapes of unreserved characters are decoded, so that routing rules match the path
    that the endpoint sees. Paths that endpoints interpret differently are refused: dot
    segments, empty segments, and encoded slashes, backslashes and control characters.

    Parameters
    ----------
    host_value : str or None
        Value of the Host header; ``None`` if an HTTP/1.0 request has none.

    Raises
    ------
    InvalidTarget
        If the target or the Host is refused.
    """
    host = "" if host_value is None else parse_host(host_value)
    plain = _PLAIN_TARGET.fullmatch(text)
    if plain is not None and plain[1]:
        return Target(text, plain[1], host)
    if text == "*":
        if method != "OPTIONS":
            raise InvalidTarget("asterisk-form is for OPTIONS only")
        return Target(text, text, host)
    if not text.startswith("/"):
        text, host = _from_absolute_form(text, host_value)
    match = _ORIGIN_FORM.fullmatch(text)
    if match is None:
        raise InvalidTarget("invalid character in the request target")
    path = match[1]
    if "%" in path:
        path = _normalise(path)
        text = path + (match[2] or "")
    if "//" in path:
        raise InvalidTarget("empty segment in the path")
    if "/." in path and _DOT_SEGMENT.search(path):
        raise InvalidTarget("dot segment in the path")
    return Target(text, path, host)


def _from_absolute_form(text: str, host_value: str | None) -> tuple[str, str]:
    match = _ABSOLUTE_FORM.fullmatch(text)
    if match is None:
        raise InvalidTarget("target is neither in origin form nor in absolute form")
    authority, rest = match[1], match[2]
    host = parse_host(authority)
    if host_value is not None and authority.lower() != host_value.lower():
        raise InvalidTarget("Host differs from the request target")
    return (rest if rest.startswith("/") else "/" + rest), host


def _normalise(path: str) -> str:
    if _FORBIDDEN_ESCAPE.search(path):
        raise InvalidTarget("encoded slash, backslash or control in the path")
    return _ESCAPE.sub(_decode_unreserved, path)


def _decode_unreserved(match: re.Match[str]) -> str:
    character = chr(int(match[0][1:], 16))
    return character if character in _UNRESERVED else match[0].upper()
