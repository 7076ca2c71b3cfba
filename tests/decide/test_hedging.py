from __future__ import annotations

import pytest

from snipelink.decide import hedging, slowness_period, work_estimation


def test_overdue_call_has_remaining_work() -> None:
    assert hedging.remaining_work_s(0.2, 0.1) == pytest.approx(0.1)
    assert hedging.remaining_work_s(0.2, 0.19) == pytest.approx(
        0.2 * hedging.MIN_REMAINING_RATIO
    )
    assert hedging.remaining_work_s(0.2, 0.9) == pytest.approx(0.7)


@pytest.mark.parametrize(
    ("remaining_s", "elsewhere_s", "worthwhile"),
    [
        (0.3, 0.2, False),  # the first attempt meets the target
        (0.9, 0.2, True),  # only the second attempt meets the target
        (0.9, 0.8, False),  # little gain
        (2.0, 0.8, False),  # both miss the target, and the first meets the deadline
        (5.0, 0.8, True),  # the first attempt misses the deadline
    ],
)
def test_hedge_must_make_the_answer_more_valuable(
    remaining_s: float, elsewhere_s: float, worthwhile: bool
) -> None:
    result = hedging.is_worthwhile(remaining_s, elsewhere_s, 10.5, 13.0, 10.0)
    assert result is worthwhile


@pytest.mark.parametrize(("after_s", "hedged"), [(0.1, True), (0.45, False)])
def test_call_is_hedged_if_the_slow_phase_has_just_begun(
    after_s: float, hedged: bool
) -> None:
    """Without a known period, both cases would have the same result."""
    estimator = slowness_period.PeriodEstimator()
    for _ in range(slowness_period.MIN_GAP_COUNT):
        estimator.add_gap(0.5)
    progress = work_estimation.EndpointProgress(9.95, estimator)
    progress.set_slowness(7.0, 10.0)
    now = 10.0 + after_s
    remaining_s = progress.duration_s(0.15, now)
    assert hedging.is_worthwhile(remaining_s, 0.3, now + 0.35, now + 1.0, now) is hedged
