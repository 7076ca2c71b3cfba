from __future__ import annotations

import random

from snipelink.decide import refusal


def test_refused_callers_return_spread_over_the_work_ahead() -> None:
    rng = random.Random(1)
    times = [refusal.retry_after_s(0.4, rng) for _ in range(200)]
    assert 0.4 <= min(times) < 0.42
    assert 0.58 < max(times) <= 0.6


def test_time_stays_within_its_bounds() -> None:
    rng = random.Random(1)
    assert refusal.retry_after_s(0.0, rng) >= refusal.MIN_RETRY_AFTER_S
    longest = refusal.MAX_RETRY_AFTER_S * (1 + refusal.SPREAD_SHARE)
    assert refusal.retry_after_s(60.0, rng) <= longest
