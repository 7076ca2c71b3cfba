from __future__ import annotations

import random

import pytest

from snipelink.decide import retry_value
from snipelink.retry import budget

SERVICE = "rota"


def test_ample_budget_grants_all_attempts() -> None:
    assert retry_value.denial(0.5, is_in_time=False, is_most_urgent=False) is None


@pytest.mark.parametrize(
    ("left_ratio", "is_in_time", "is_most_urgent", "expected"),
    [
        (0.4, False, True, retry_value.Denial.LATE),
        (0.4, True, False, None),
        (0.1, True, False, retry_value.Denial.LESS_URGENT),
        (0.1, True, True, None),
        (0.0, False, True, retry_value.Denial.LATE),
    ],
)
def test_rest_of_a_budget_is_granted_by_value(
    left_ratio: float,
    is_in_time: bool,
    is_most_urgent: bool,
    expected: retry_value.Denial | None,
) -> None:
    found = retry_value.denial(
        left_ratio, is_in_time=is_in_time, is_most_urgent=is_most_urgent
    )
    assert found is expected


def test_last_attempts_are_left_for_the_urgent_calls_of_an_outage() -> None:
    """Replays an outage in which nine of ten failed calls are late or less urgent."""

    def urgent_granted(*, by_value: bool) -> int:
        rng = random.Random(1)
        allowance = budget.Budget(0.0, 12.0, 10.0, reserve=0.0, strict_window=True)
        tracker = retry_value.DemandTracker()
        granted_count = 0
        for index in range(100):
            now = index * 0.05
            is_urgent = index % 10 == 9
            priority, is_in_time = (0, True) if is_urgent else (2, rng.random() < 0.5)
            tracker.record(SERVICE, priority, now)
            state = allowance.state(now)
            left = retry_value.remaining_ratio(
                state.allowance - state.spent_of_allowance, state.granted
            )
            is_most_urgent = tracker.is_most_urgent(SERVICE, priority, now)
            denial = retry_value.denial(
                left, is_in_time=is_in_time, is_most_urgent=is_most_urgent
            )
            if (denial is None or not by_value) and allowance.try_spend(now):
                granted_count += is_urgent
        return granted_count

    assert urgent_granted(by_value=False) <= 2
    assert urgent_granted(by_value=True) >= 3


def test_most_urgent_priority_counts_only_for_a_while() -> None:
    tracker = retry_value.DemandTracker()
    tracker.record(SERVICE, 0, 0.0)
    tracker.record(SERVICE, 2, 1.0)
    assert not tracker.is_most_urgent(SERVICE, 2, 1.0)
    later = retry_value.DEMAND_RETENTION_S + 0.1
    assert tracker.is_most_urgent(SERVICE, 2, later)
    assert tracker.is_most_urgent("archive", 2, 1.0)


def test_ratio_of_a_budget_counts_the_attempt_that_is_asked_for() -> None:
    assert retry_value.remaining_ratio(4.0, 0) == 0.75
    assert retry_value.remaining_ratio(1.0, 3) == 0.0
    assert retry_value.remaining_ratio(0.0, 0) == 0.0
