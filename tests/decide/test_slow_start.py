from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipelink.decide import slow_start

NOW = 10.0
LIMITS = slow_start.ColdLimits(rate_per_s=7.5, max_per_window=7.5 * 1.5 + 8.0)


def _limiter(
    limits: slow_start.ColdLimits | None = LIMITS,
) -> slow_start.SlowStartLimiter:
    limiter = slow_start.SlowStartLimiter(NOW)
    limiter.set_limits(limits, NOW)
    return limiter


def _start_all(
    limiter: slow_start.SlowStartLimiter, now: float, max_count: int = 1000
) -> int:
    """Start as many calls as permitted at a time; return their number."""
    count = 0
    while count < max_count and limiter.may_start(now):
        limiter.on_start(now)
        count += 1
    return count


def test_starts_are_unlimited_without_limits() -> None:
    limiter = _limiter(None)
    limiter.on_poll_answer(NOW, 3.0, NOW)
    assert _start_all(limiter, NOW) == 1000
    assert not limiter.is_limiting(NOW)
    assert limiter.wait_s(9, NOW) == 0.0
    assert limiter.poll_due_at(NOW) == limiter.next_start_at(NOW) == math.inf


def test_endpoint_is_cold_until_a_poll_finds_it_warm() -> None:
    limiter = _limiter()
    assert limiter.is_limiting(NOW)
    assert _start_all(limiter, NOW) == slow_start.BURST_STARTS
    limiter.on_poll_answer(NOW + 0.1, 0.0, NOW + 0.1)
    assert not limiter.is_limiting(NOW + 0.1)
    assert _start_all(limiter, NOW + 0.1) == LIMITS.max_unconfirmed_starts


def test_cold_endpoint_gets_calls_at_its_tolerated_rate() -> None:
    limiter = _limiter()
    limiter.on_poll_answer(NOW, 3.0, NOW)
    started = sum(_start_all(limiter, NOW + step / 100) for step in range(300))
    assert (
        slow_start.BURST_STARTS + 3 * LIMITS.rate_per_s - 2
        <= started
        <= slow_start.BURST_STARTS + 3 * LIMITS.rate_per_s
    )


def test_new_process_is_cold_and_starts_with_a_full_bucket() -> None:
    limiter = _limiter()
    limiter.on_poll_answer(NOW, 0.0, NOW)
    _start_all(limiter, NOW)
    limiter.on_new_process(NOW)
    assert limiter.is_limiting(NOW)
    assert limiter.available_starts(NOW) == slow_start.BURST_STARTS


def test_starts_before_an_endpoint_became_cold_are_counted() -> None:
    limiter = _limiter()
    limiter.on_poll_answer(NOW, 0.0, NOW)
    assert _start_all(limiter, NOW + 0.01) == LIMITS.max_unconfirmed_starts
    limiter.on_poll_answer(NOW + 0.02, 3.0, NOW + 0.03)
    assert _start_all(limiter, NOW + 0.9) == 0


def test_poll_does_not_confirm_calls_that_started_after_it_was_sent() -> None:
    limiter = _limiter()
    limiter.on_poll_answer(NOW, 0.0, NOW)
    assert _start_all(limiter, NOW + 0.2, 4) == 4
    limiter.on_poll_answer(NOW + 0.1, 0.0, NOW + 0.3)
    assert _start_all(limiter, NOW + 0.3) == LIMITS.max_unconfirmed_starts - 4


def test_busy_endpoint_is_polled_before_its_starts_are_used_up() -> None:
    limiter = _limiter()
    limiter.on_poll_answer(NOW, 0.0, NOW)
    assert limiter.poll_due_at(NOW) == math.inf
    _start_all(limiter, NOW + 0.01, LIMITS.max_unconfirmed_starts // 2 + 1)
    assert limiter.poll_due_at(NOW + 0.01) == NOW + 0.01
    assert limiter.may_start(NOW + 0.01)


def test_cold_endpoint_is_polled_when_it_expects_to_be_warm() -> None:
    limiter = _limiter()
    limiter.on_poll_answer(NOW, 1.25, NOW)
    assert limiter.poll_due_at(NOW) == NOW + 1.25


def test_endpoint_without_a_recent_poll_is_assumed_to_be_cold() -> None:
    limiter = _limiter()
    limiter.on_poll_answer(NOW, 0.0, NOW)
    late = NOW + slow_start.WINDOW_S
    assert limiter.is_limiting(late)
    assert _start_all(limiter, late) == slow_start.BURST_STARTS


@pytest.mark.parametrize("ahead", [0, 3])
def test_call_may_start_after_the_returned_wait(ahead: int) -> None:
    limiter = _limiter()
    _start_all(limiter, NOW)
    wait_s = limiter.wait_s(ahead, NOW)
    assert wait_s == pytest.approx((ahead + 1) / LIMITS.rate_per_s)
    for each in range(ahead):
        assert _start_all(limiter, NOW + (each + 1) / LIMITS.rate_per_s + 1e-6) == 1
    early = NOW + wait_s - 0.01
    assert not limiter.may_start(early)
    assert limiter.next_start_at(early) == pytest.approx(NOW + wait_s)
    assert limiter.may_start(NOW + wait_s + 1e-6)


def test_limit_leaves_starts_for_a_restarted_node() -> None:
    cold_starts = LIMITS.rate_per_s * slow_start.WINDOW_S + slow_start.BURST_STARTS
    assert LIMITS.max_unconfirmed_starts + cold_starts <= LIMITS.max_per_window
    assert (
        slow_start.ColdLimits(rate_per_s=3.0, max_per_window=3.0).max_unconfirmed_starts
        == 1
    )


@given(
    st.floats(0.5, 40.0),
    st.floats(1.0, 2.0),
    st.floats(4.0, 20.0),
    st.lists(
        st.tuples(
            st.sampled_from(["calls", "poll", "answer", "turn cold", "turn warm"]),
            st.integers(1, 30),
            st.floats(0.0, 0.6),
        ),
        max_size=120,
    ),
)
def test_cold_endpoint_never_gets_more_than_the_maximum_in_a_window(
    per_s: float,
    factor: float,
    slack: float,
    steps: list[tuple[str, int, float]],
) -> None:
    """Guards against crashes of endpoints that become cold between two polls."""
    limits = slow_start.ColdLimits(per_s, per_s * factor + slack)
    limiter = _limiter(limits)
    now = NOW
    is_cold = False
    in_flight: tuple[float, float] | None = None
    # Times of the starts during each cold interval.
    intervals: list[list[float]] = []
    for action, count, passed_s in steps:
        now += passed_s
        if action == "turn cold" and not is_cold:
            is_cold = True
            intervals.append([])
        elif action == "turn warm":
            is_cold = False
        elif action == "poll" and in_flight is None:
            # The answer has the present state but may arrive later.
            in_flight = now, 1.0 if is_cold else 0.0
        elif action == "answer" and in_flight is not None:
            limiter.on_poll_answer(*in_flight, now)
            in_flight = None
        elif action == "calls":
            started = _start_all(limiter, now, count)
            if is_cold:
                intervals[-1] += [now] * started
    for interval in intervals:
        for first in interval:
            within = sum(first <= at < first + slow_start.WINDOW_S for at in interval)
            assert within <= limits.max_per_window
