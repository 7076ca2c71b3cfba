from __future__ import annotations

import dataclasses

import pytest

from snipelink.decide import queue_policy


def _demand(**changes: float) -> queue_policy.Demand:
    values = {
        "work_s": 0.2,
        "target": 10.5,
        "deadline": 12.0,
        "priority": 2,
        "arrived_at": 10.0,
    }
    return queue_policy.Demand(**(values | changes))  # type: ignore[arg-type]


def _first(*demands: queue_policy.Demand, now: float = 10.0) -> queue_policy.Demand:
    return min(demands, key=lambda demand: queue_policy.rank(demand, 0.2, now))


def test_call_that_meets_its_objective_precedes_a_late_one() -> None:
    late = _demand(target=10.1)
    timely = _demand(arrived_at=10.2)
    assert _first(late, timely) is timely


def test_call_of_higher_priority_precedes_others_even_if_late() -> None:
    urgent = _demand(priority=1, arrived_at=10.1, target=10.1)
    assert _first(_demand(), urgent) is urgent


def test_calls_of_equal_rank_start_in_order_of_arrival() -> None:
    earlier = _demand(arrived_at=9.9)
    assert _first(_demand(), earlier) is earlier


def test_call_longer_than_its_remaining_time_misses_its_deadline() -> None:
    assert not queue_policy.misses_deadline(_demand(), 1.9, 10.0)
    assert queue_policy.misses_deadline(_demand(), 2.1, 10.0)


def test_timely_call_may_wait_for_a_fraction_of_its_slack() -> None:
    allowed_s = queue_policy.allowed_wait_s(_demand(), 0.2, 10.0)
    assert allowed_s == pytest.approx(0.3 * queue_policy.TARGET_WAIT_RATIO)


def test_late_call_may_wait_for_a_small_fraction_of_its_time() -> None:
    allowed_s = queue_policy.allowed_wait_s(_demand(), 0.6, 10.0)
    assert allowed_s == pytest.approx(1.4 * queue_policy.DEADLINE_WAIT_RATIO)
    assert queue_policy.allowed_wait_s(_demand(), 2.5, 10.0) == 0.0


def test_free_slot_means_no_wait() -> None:
    assert queue_policy.work_ahead_s(_demand(), [], [0.1, 0.1], 3) == 0.0


def test_wait_counts_only_the_calls_that_start_first() -> None:
    ahead = [_demand(priority=1) for _ in range(8)]
    behind = [_demand(priority=3) for _ in range(8)]
    work_s = queue_policy.work_ahead_s(_demand(), ahead, [0.1, 0.1], 2)
    assert queue_policy.work_ahead_s(_demand(), ahead + behind, [0.1, 0.1], 2) == work_s
    assert work_s == pytest.approx((8 * 0.2 + 0.1) / 2)


def test_first_waiting_call_takes_the_first_free_slot() -> None:
    assert queue_policy.work_ahead_s(_demand(), [], [0.3, 0.05], 2) >= 0.05


def test_internal_call_precedes_calls_of_any_priority() -> None:
    urgent = _demand(priority=0, arrived_at=9.0)
    internal = dataclasses.replace(_demand(priority=3), is_internal=True)
    assert _first(urgent, internal) is internal
    ahead_s = queue_policy.work_ahead_s(internal, [urgent] * 8, [0.1, 0.1], 2)
    assert ahead_s == queue_policy.work_ahead_s(internal, [], [0.1, 0.1], 2)
    assert queue_policy.work_ahead_s(
        urgent, [internal] * 8, [0.1, 0.1], 2
    ) == pytest.approx((8 * 0.2 + 0.1) / 2)


def test_internal_call_may_wait_beyond_its_objective() -> None:
    internal = dataclasses.replace(_demand(), is_internal=True)
    allowed_s = queue_policy.allowed_wait_s(internal, 0.2, 10.0)
    assert allowed_s == pytest.approx(1.8 * queue_policy.INTERNAL_DEADLINE_WAIT_RATIO)
    assert queue_policy.allowed_wait_s(internal, 2.5, 10.0) == 0.0
