from __future__ import annotations

import pytest

from snipelink.decide import rhythm, second, work


def test_overdue_call_is_not_taken_as_finished() -> None:
    assert second.remaining_work_s(0.2, 0.1) == pytest.approx(0.1)
    assert second.remaining_work_s(0.2, 0.19) == pytest.approx(
        0.2 * second.OVERDUE_SHARE
    )
    assert second.remaining_work_s(0.2, 0.9) == pytest.approx(0.7)


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
    decided = second.is_worthwhile(left_s, elsewhere_s, 10.5, 13.0, 10.0)
    assert decided is worthwhile


@pytest.mark.parametrize(("after_s", "moved"), [(0.1, True), (0.45, False)])
def test_call_is_moved_if_the_slow_phase_has_just_begun(
    after_s: float, moved: bool
) -> None:
    """Without a known period both would be treated alike."""
    learnt = rhythm.Rhythm()
    for _ in range(rhythm.MIN_GAPS):
        learnt.note(0.5)
    slow = work.Progress(9.95, learnt)
    slow.set_slowness(7.0, 10.0)
    now = 10.0 + after_s
    left_s = slow.time_s(0.15, now)
    assert second.is_worthwhile(left_s, 0.3, now + 0.35, now + 1.0, now) is moved
