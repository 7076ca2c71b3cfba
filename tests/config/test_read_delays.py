from __future__ import annotations

import random

import hypothesis
import hypothesis.strategies as st

from snipelink.config import read_delays


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.integers(0, 10**6), st.integers(0, 10**6))
def test_retry_delay_is_bounded(failures: int, seed: int) -> None:
    """Guards against an overflow, a busy loop or a node that stops trying."""
    delay = read_delays.retry_delay(failures, random.Random(seed))
    assert read_delays.BASE_BACKOFF_S / 2 <= delay <= read_delays.MAX_BACKOFF_S


def test_read_rate_of_the_fleet_stays_within_the_platform_limit() -> None:
    """Guards against resyncs and fallback reads that exceed 2,000 reads a second."""
    rng = random.Random(1)
    domains, size = 11, 355
    resyncs = [read_delays.resync_delay(size, rng) for _ in range(2000)]
    fallbacks = [read_delays.fallback_delay(size, rng) for _ in range(2000)]
    resync_rate = domains * size / (sum(resyncs) / len(resyncs))
    fallback_rate = domains * size / (sum(fallbacks) / len(fallbacks))
    assert resync_rate < 20
    assert fallback_rate < 200
