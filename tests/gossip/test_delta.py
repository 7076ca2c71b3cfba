from __future__ import annotations

import random

import hypothesis
import hypothesis.strategies as st

from snipelink.gossip import delta

LIMIT = 200_000
CONTENT = st.binary(max_size=300) | st.builds(
    lambda seed, size: random.Random(seed).randbytes(size),
    st.integers(0, 3),
    st.integers(0, 60_000),
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(CONTENT, CONTENT)
def test_content_is_restored(content: bytes, base: bytes) -> None:
    """Guards against damaged documents for any pair of old and new content."""
    encoded = delta.compress(content, base)
    assert delta.decompress(encoded, base, LIMIT) == content


def test_delta_of_a_small_change_is_small() -> None:
    """Guards against sending a whole document for each small change."""
    base = random.Random(1).randbytes(100_000)
    content = base[:50_000] + b"changed" + base[50_010:]
    assert len(delta.compress(content, base)) < 2_000


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.binary(max_size=200), st.integers(0, 400), st.binary(max_size=9))
def test_damage_is_noticed_or_harmless(content: bytes, at: int, damage: bytes) -> None:
    """Guards against an exception, endless work or excess memory on damaged data."""
    encoded = delta.compress(content * 40, b"base")
    damaged = encoded[:at] + damage + encoded[at + len(damage) :]
    restored = delta.decompress(damaged, b"base", LIMIT)
    assert restored is None or len(restored) <= LIMIT


def test_content_beyond_the_limit_is_refused() -> None:
    """Guards against content that decompresses beyond the limit."""
    encoded = delta.compress(bytes(100_000), b"")
    assert delta.decompress(encoded, b"", 99_999) is None
