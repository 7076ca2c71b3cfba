from __future__ import annotations

import pytest

from snipelink.decide import hedging, slowness_period, work_estimation


def test_overdue_call_is_not_taken_as_finished() -> None:
    assert hedging.remaining_work_s(0.2, 0.1) == pytest.approx(0.1)
    assert hedging.remaining_work_s(0.2, 0.19) == pytest.approx(
        0.2 * hedging.OVERDUE_SHARE
    )
    assert hedging.remaining_work_s(0.2, 0.9) == pytest.approx(0.7)


@pytest.mark.parametrize(
    ("left_s", "elsewhere_s", "worthwhile"),
    [
        (0.3, 0.2, False),  # the first one ends in time
        (0.9, 0.2, True),  # only the second one ends in time
        (0.9, 0.8, False),  # little gain
        (2.0, 0.8, False),  # both are late, and the first one is answered
        (5.0, 0.8, True),  # the first one is not answered at all
    ],
)
def test_second_attempt_must_change_the_answers_value(
    left_s: float, elsewhere_s: float, worthwhile: bool
) -> None:
    decided = hedging.is_worthwhile(left_s, elsewhere_s, 10.5, 13.0, 10.0)
    assert decided is worthwhile


@pytest.mark.parametrize(("after_s", "moved"), [(0.1, True), (0.45, False)])
def test_call_is_moved_if_the_slow_phase_has_just_begun(
    after_s: float, moved: bool
) -> None:
    """Without a known period both would be treated alike."""
    learnt = slowness_period.PeriodEstimator()
    for _ in range(slowness_period.MIN_GAPS):
        learnt.add_gap(0.5)
    slow = work_estimation.EndpointProgress(9.95, learnt)
    slow.set_slowness(7.0, 10.0)
    now = 10.0 + after_s
    left_s = slow.duration_s(0.15, now)
    assert hedging.is_worthwhile(left_s, 0.3, now + 0.35, now + 1.0, now) is moved
