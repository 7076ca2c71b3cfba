"""Parses socket addresses of the form IP:port."""

from __future__ import annotations

import ipaddress
import re

import result

MAX_PORT = 65_535
EXPECTED_FORMAT = "IP:port, such as 127.0.0.1:8080 or [::1]:8080"

_ADDRESS_PATTERN = re.compile(
    r"(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):([0-9]{1,5})", re.ASCII
)


def parse(text: str) -> result.Result[tuple[str, int], str]:
    """Return the IP address and the port of ``text``, or the reason it is invalid.

    Host names are rejected. Port 0 is valid, because a listener uses it to bind a free
    port.
    """
    match = _ADDRESS_PATTERN.fullmatch(text)
    if match is None:
        return result.Err(f"expected {EXPECTED_FORMAT}")
    host, port = match[1] or match[2], int(match[3])
    try:
        ipaddress.IPv6Address(host) if match[1] else ipaddress.IPv4Address(host)
    except ValueError as error:
        return result.Err(str(error))
    if port > MAX_PORT:
        return result.Err(f"expected a port of at most {MAX_PORT}")
    return result.Ok((host, port))


def parse_or_raise(text: str) -> tuple[str, int]:
    """Return the IP address and the port of ``text``.

    Raises
    ------
    ValueError
        If ``text`` is not an address of the form IP:port.
    """
    parsed = parse(text)
    if isinstance(parsed, result.Err):
        raise ValueError(f"{text!r}: {parsed.err_value}")
    return parsed.ok_value
