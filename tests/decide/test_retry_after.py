from __future__ import annotations

import random

from snipelink.decide import retry_after


def test_refused_callers_retry_spread_over_the_backlog() -> None:
    rng = random.Random(1)
    times = [retry_after.retry_after_s(0.4, rng) for _ in range(200)]
    assert 0.4 <= min(times) < 0.42
    assert 0.58 < max(times) <= 0.6


def test_retry_time_stays_within_its_bounds() -> None:
    rng = random.Random(1)
    assert retry_after.retry_after_s(0.0, rng) >= retry_after.MIN_RETRY_AFTER_S
    longest = retry_after.MAX_RETRY_AFTER_S * (1 + retry_after.JITTER_RATIO)
    assert retry_after.retry_after_s(60.0, rng) <= longest
