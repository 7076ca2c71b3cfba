from __future__ import annotations

import pytest

from snipelink import addresses


@pytest.mark.parametrize(
    ("text", "expected"),
    [("127.0.0.1:80", ("127.0.0.1", 80)), ("[::1]:0", ("::1", 0))],
)
def test_address_is_split(text: str, expected: tuple[str, int]) -> None:
    """Guards against IPv6 addresses split at the wrong colon."""
    assert addresses.parse(text).unwrap() == expected


@pytest.mark.parametrize(
    "text",
    ["", "localhost:80", "127.0.0.1", "127.0.0.1:", "1.2.3.4:65536", "1.2.3:80"]
    + ["::1:80", "[1.2.3.4]:80", "[::1", "1.2.3.4:+80", "1.2.3.4:80\n", "1.2.3.4:٣"],
)
def test_other_forms_are_refused(text: str) -> None:
    """Guards against names that a process without a resolver cannot reach."""
    assert addresses.parse(text).is_err()
