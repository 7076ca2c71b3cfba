from __future__ import annotations

import pytest

from snipelink import addresses


@pytest.mark.parametrize(
    ("text", "expected"),
    [("127.0.0.1:80", ("127.0.0.1", 80)), ("[::1]:0", ("::1", 0))],
)
def test_address_is_split_into_host_and_port(
    text: str, expected: tuple[str, int]
) -> None:
    """Guards against an IPv6 address that is split at the wrong colon."""
    assert addresses.parse(text).unwrap() == expected


@pytest.mark.parametrize(
    "text",
    ["", "localhost:80", "127.0.0.1", "127.0.0.1:", "1.2.3.4:65536", "1.2.3:80"]
    + ["::1:80", "[1.2.3.4]:80", "[::1", "1.2.3.4:+80", "1.2.3.4:80\n", "1.2.3.4:٣"],
)
def test_other_forms_are_rejected(text: str) -> None:
    """Guards against host names, which a process without a resolver cannot use."""
    assert addresses.parse(text).is_err()
