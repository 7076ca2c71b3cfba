from __future__ import annotations

import random

import pytest

from snipelink.decide import slowness_period, work_estimation

PERIOD_S = 0.5


def _learnt(
    rng: random.Random, period_s: float = PERIOD_S, gaps: int = 100
) -> slowness_period.PeriodEstimator:
    """Return what is learnt from gaps of whole periods, seen a little late."""
    learnt = slowness_period.PeriodEstimator()
    for _ in range(gaps):
        count = 1 + int(rng.expovariate(1.0))
        late_s = rng.uniform(0.0, 0.05) - rng.uniform(0.0, 0.05)
        learnt.add_gap(count * period_s + late_s)
    return learnt


@pytest.mark.parametrize("period_s", [0.3, 0.5, 0.8, 2.0])
@pytest.mark.parametrize("seed", range(5))
def test_period_is_learnt_from_changes_that_are_seen_late(
    period_s: float, seed: int
) -> None:
    learnt = _learnt(random.Random(seed), period_s)
    assert learnt.period_s == pytest.approx(period_s, abs=0.01)


@pytest.mark.parametrize("seed", range(20))
def test_changes_at_any_time_have_no_period(seed: int) -> None:
    rng = random.Random(seed)
    learnt = slowness_period.PeriodEstimator()
    for _ in range(200):
        learnt.add_gap(rng.expovariate(1.0 / PERIOD_S))
        assert learnt.phase_left_s(0.0, 1.0) == slowness_period.DEFAULT_PHASE_S


def test_some_changes_out_of_step_do_not_hide_the_period() -> None:
    rng = random.Random(1)
    learnt = _learnt(rng)
    for _ in range(15):
        learnt.add_gap(rng.uniform(0.1, 3.0))
    assert learnt.period_s == pytest.approx(PERIOD_S, abs=0.01)


def test_period_that_ends_is_forgotten() -> None:
    rng = random.Random(1)
    learnt = _learnt(rng)
    for _ in range(slowness_period.MAX_GAPS):
        learnt.add_gap(rng.expovariate(1.0 / PERIOD_S))
    assert learnt.period_s is None


def test_time_left_shrinks_until_the_period_ends_and_starts_again() -> None:
    learnt = _learnt(random.Random(1))
    left = [learnt.phase_left_s(10.0, 10.0 + after) for after in (0.0, 0.2, 0.4)]
    assert left == sorted(left, reverse=True)
    assert left[0] == pytest.approx(PERIOD_S - slowness_period.LAG_S, abs=0.01)
    # The change may have happened and not been seen yet.
    assert learnt.phase_left_s(10.0, 10.0 + PERIOD_S) == 0.0
    later = PERIOD_S + 2 * slowness_period.UNSURE_S
    assert learnt.phase_left_s(10.0, 10.0 + later) > PERIOD_S / 2


def test_progress_tells_changes_to_the_rhythm() -> None:
    shared = slowness_period.PeriodEstimator()
    progress = work_estimation.EndpointProgress(0.0, shared)
    for step in range(400):
        now = step * 0.05
        progress.set_slowness(7.0 if int(now / PERIOD_S) % 2 else 1.0, now)
    assert shared.period_s == pytest.approx(PERIOD_S, abs=0.01)
    assert progress.phase_left_s(now) < PERIOD_S


def test_change_after_a_silence_tells_nothing() -> None:
    shared = slowness_period.PeriodEstimator()
    progress = work_estimation.EndpointProgress(0.0, shared)
    progress.set_slowness(7.0, 0.1)
    assert progress.changed_at == 0.1
    progress.set_slowness(1.0, 0.1 + slowness_period.MAX_REPORT_GAP_S + 0.1)
    assert progress.changed_at is None
