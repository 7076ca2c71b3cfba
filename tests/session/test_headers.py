from __future__ import annotations

import pytest

from snipelink.session import headers

CALLER_FORWARDED = ("forwarded", 'for="[::1]:80";proto=http, for=a')


def test_hop_by_hop_headers_are_not_passed_on() -> None:
    """Guards against hop-by-hop headers that are passed on to the next hop."""
    given = [(name, "x") for name in sorted(headers.HOP_BY_HOP) if name != "connection"]
    given += [("connection", "Close, X-Named"), ("x-named", "1"), ("x-kept", "2")]
    passed = headers.end_to_end(given, headers.DROPPED_FROM_REQUESTS)
    assert passed == [("x-kept", "2")]


def test_connection_header_cannot_remove_protected_headers() -> None:
    """Guards against a Connection header that removes the key or the Host."""
    kept = [("host", "h"), ("idempotency-key", "1-a"), ("snipelink-caller", "c")]
    given = [*kept, ("connection", "host, idempotency-key, snipelink-caller")]
    assert headers.end_to_end(given, headers.DROPPED_FROM_REQUESTS) == kept


def test_endpoint_cannot_state_the_outcome_of_a_call() -> None:
    """Guards against an endpoint's header that a caller attributes to the node."""
    given = [("snipelink-ran", "not-run"), ("snipelink-error", "leaving"), ("x", "1")]
    assert headers.end_to_end(given, headers.DROPPED_FROM_RESPONSES) == [("x", "1")]


def test_entry_of_the_node_follows_those_of_the_caller() -> None:
    """Guards against a forged entry in the last place, which is trusted."""
    given = [CALLER_FORWARDED, ("via", "1.0 a"), ("x-forwarded-for", "10.0.0.1")]
    assert headers.forwarding_headers(given, "127.0.0.1", "h", False) == [
        ("via", "1.0 a, 1.1 snipelink"),
        ("forwarded", CALLER_FORWARDED[1] + ", for=127.0.0.1;host=h;proto=http"),
    ]
    assert headers.end_to_end(given, headers.DROPPED_FROM_REQUESTS) == []


@pytest.mark.parametrize("value", ['for="x', "for=", "for=a;", "for=a b", ", for=a"])
def test_malformed_entry_cannot_absorb_the_entry_of_the_node(value: str) -> None:
    """Guards against an unclosed quote before the entry of the node."""
    given = [("forwarded", value), ("via", '1.0 "x')]
    assert headers.forwarding_headers(given, "::1", "[::2]", True) == [
        ("via", "1.1 snipelink"),
        ("forwarded", 'for="[::1]";host="[::2]";proto=https'),
    ]
