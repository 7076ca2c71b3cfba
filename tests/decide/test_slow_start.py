from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipelink.decide import slow_start

NOW = 10.0
TERMS = slow_start.ColdLimits(rate_per_s=7.5, max_per_window=7.5 * 1.5 + 8.0)


def _gate(terms: slow_start.ColdLimits | None = TERMS) -> slow_start.SlowStartLimiter:
    gate = slow_start.SlowStartLimiter(NOW)
    gate.set_limits(terms, NOW)
    return gate


def _start_all(gate: slow_start.SlowStartLimiter, now: float, most: int = 1000) -> int:
    """Start as many calls at once as may start; return their number."""
    count = 0
    while count < most and gate.may_start(now):
        gate.on_start(now)
        count += 1
    return count


def test_without_terms_nothing_is_bounded() -> None:
    gate = _gate(None)
    gate.on_poll_answer(NOW, 3.0, NOW)
    assert _start_all(gate, NOW) == 1000
    assert not gate.is_limiting(NOW)
    assert gate.wait_s(9, NOW) == 0.0
    assert gate.poll_due_at(NOW) == gate.next_start_at(NOW) == math.inf


def test_endpoint_is_cold_until_a_poll_finds_it_warm() -> None:
    gate = _gate()
    assert gate.is_limiting(NOW)
    assert _start_all(gate, NOW) == slow_start.BURST
    gate.on_poll_answer(NOW + 0.1, 0.0, NOW + 0.1)
    assert not gate.is_limiting(NOW + 0.1)
    assert _start_all(gate, NOW + 0.1) == TERMS.max_unconfirmed_starts


def test_cold_endpoint_gets_calls_at_its_rate() -> None:
    gate = _gate()
    gate.on_poll_answer(NOW, 3.0, NOW)
    started = sum(_start_all(gate, NOW + step / 100) for step in range(300))
    assert (
        slow_start.BURST + 3 * TERMS.rate_per_s - 2
        <= started
        <= slow_start.BURST + 3 * TERMS.rate_per_s
    )


def test_new_process_is_cold_and_has_had_no_calls() -> None:
    gate = _gate()
    gate.on_poll_answer(NOW, 0.0, NOW)
    _start_all(gate, NOW)
    gate.on_new_process(NOW)
    assert gate.is_limiting(NOW)
    assert gate.available_starts(NOW) == slow_start.BURST


def test_starts_before_an_endpoint_turned_cold_are_counted() -> None:
    gate = _gate()
    gate.on_poll_answer(NOW, 0.0, NOW)
    assert _start_all(gate, NOW + 0.01) == TERMS.max_unconfirmed_starts
    gate.on_poll_answer(NOW + 0.02, 3.0, NOW + 0.03)
    assert _start_all(gate, NOW + 0.9) == 0


def test_poll_that_was_under_way_does_not_cover_calls_that_started_after_it() -> None:
    gate = _gate()
    gate.on_poll_answer(NOW, 0.0, NOW)
    assert _start_all(gate, NOW + 0.2, 4) == 4
    gate.on_poll_answer(NOW + 0.1, 0.0, NOW + 0.3)
    assert _start_all(gate, NOW + 0.3) == TERMS.max_unconfirmed_starts - 4


def test_busy_endpoint_is_polled_before_its_starts_are_used_up() -> None:
    gate = _gate()
    gate.on_poll_answer(NOW, 0.0, NOW)
    assert gate.poll_due_at(NOW) == math.inf
    _start_all(gate, NOW + 0.01, TERMS.max_unconfirmed_starts // 2 + 1)
    assert gate.poll_due_at(NOW + 0.01) == NOW + 0.01
    assert gate.may_start(NOW + 0.01)


def test_cold_endpoint_is_polled_when_it_said_to_be_warm() -> None:
    gate = _gate()
    gate.on_poll_answer(NOW, 1.25, NOW)
    assert gate.poll_due_at(NOW) == NOW + 1.25


def test_endpoint_that_was_not_polled_for_long_is_taken_for_cold() -> None:
    gate = _gate()
    gate.on_poll_answer(NOW, 0.0, NOW)
    late = NOW + slow_start.WINDOW_S
    assert gate.is_limiting(late)
    assert _start_all(gate, late) == slow_start.BURST


@pytest.mark.parametrize("ahead", [0, 3])
def test_call_may_start_after_the_stated_wait(ahead: int) -> None:
    gate = _gate()
    _start_all(gate, NOW)
    wait_s = gate.wait_s(ahead, NOW)
    assert wait_s == pytest.approx((ahead + 1) / TERMS.rate_per_s)
    for each in range(ahead):
        assert _start_all(gate, NOW + (each + 1) / TERMS.rate_per_s + 1e-6) == 1
    early = NOW + wait_s - 0.01
    assert not gate.may_start(early)
    assert gate.next_start_at(early) == pytest.approx(NOW + wait_s)
    assert gate.may_start(NOW + wait_s + 1e-6)


def test_starts_are_left_for_a_node_that_starts_again() -> None:
    cold_most = TERMS.rate_per_s * slow_start.WINDOW_S + slow_start.BURST
    assert TERMS.max_unconfirmed_starts + cold_most <= TERMS.max_per_window
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
def test_cold_endpoint_never_gets_more_than_the_bound_in_a_second(
    per_s: float,
    over: float,
    slack: float,
    steps: list[tuple[str, int, float]],
) -> None:
    """Guards against crashes of endpoints that turn cold between two polls."""
    terms = slow_start.ColdLimits(per_s, per_s * over + slack)
    gate = _gate(terms)
    now = NOW
    is_cold = False
    under_way: tuple[float, float] | None = None
    # Times of the calls that started in each cold spell.
    spells: list[list[float]] = []
    for action, count, passed_s in steps:
        now += passed_s
        if action == "turn cold" and not is_cold:
            is_cold = True
            spells.append([])
        elif action == "turn warm":
            is_cold = False
        elif action == "poll" and under_way is None:
            # The endpoint answers as it is now; the answer may take a while.
            under_way = now, 1.0 if is_cold else 0.0
        elif action == "answer" and under_way is not None:
            gate.on_poll_answer(*under_way, now)
            under_way = None
        elif action == "calls":
            started = _start_all(gate, now, count)
            if is_cold:
                spells[-1] += [now] * started
    for spell in spells:
        for first in spell:
            within = sum(first <= at < first + slow_start.WINDOW_S for at in spell)
            assert within <= terms.max_per_window
