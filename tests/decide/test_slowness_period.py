from __future__ import annotations

import random

import pytest

from snipelink.decide import slowness_period, work_estimation

PERIOD_S = 0.5


def _trained_estimator(
    rng: random.Random, period_s: float = PERIOD_S, gaps: int = 100
) -> slowness_period.PeriodEstimator:
    """Return an estimator of gaps of whole periods that were detected slightly late."""
    estimator = slowness_period.PeriodEstimator()
    for _ in range(gaps):
        count = 1 + int(rng.expovariate(1.0))
        late_s = rng.uniform(0.0, 0.05) - rng.uniform(0.0, 0.05)
        estimator.add_gap(count * period_s + late_s)
    return estimator


@pytest.mark.parametrize("period_s", [0.3, 0.5, 0.8, 2.0])
@pytest.mark.parametrize("seed", range(5))
def test_period_is_estimated_from_changes_detected_late(
    period_s: float, seed: int
) -> None:
    estimator = _trained_estimator(random.Random(seed), period_s)
    assert estimator.period_s == pytest.approx(period_s, abs=0.01)


@pytest.mark.parametrize("seed", range(20))
def test_random_changes_have_no_period(seed: int) -> None:
    rng = random.Random(seed)
    estimator = slowness_period.PeriodEstimator()
    for _ in range(200):
        estimator.add_gap(rng.expovariate(1.0 / PERIOD_S))
        assert estimator.phase_left_s(0.0, 1.0) == slowness_period.DEFAULT_PHASE_S


def test_period_is_estimated_despite_some_random_changes() -> None:
    rng = random.Random(1)
    estimator = _trained_estimator(rng)
    for _ in range(15):
        estimator.add_gap(rng.uniform(0.1, 3.0))
    assert estimator.period_s == pytest.approx(PERIOD_S, abs=0.01)


def test_period_is_discarded_when_it_no_longer_holds() -> None:
    rng = random.Random(1)
    estimator = _trained_estimator(rng)
    for _ in range(slowness_period.MAX_GAP_COUNT):
        estimator.add_gap(rng.expovariate(1.0 / PERIOD_S))
    assert estimator.period_s is None


def test_phase_left_decreases_to_the_end_of_the_period_and_restarts() -> None:
    estimator = _trained_estimator(random.Random(1))
    left = [estimator.phase_left_s(10.0, 10.0 + after) for after in (0.0, 0.2, 0.4)]
    assert left == sorted(left, reverse=True)
    assert left[0] == pytest.approx(
        PERIOD_S - slowness_period.MEAN_DETECTION_LAG_S, abs=0.01
    )
    # The change may have occurred but not been detected yet.
    assert estimator.phase_left_s(10.0, 10.0 + PERIOD_S) == 0.0
    later = PERIOD_S + 2 * slowness_period.MAX_DETECTION_LAG_S
    assert estimator.phase_left_s(10.0, 10.0 + later) > PERIOD_S / 2


def test_progress_adds_changes_to_the_estimator() -> None:
    estimator = slowness_period.PeriodEstimator()
    progress = work_estimation.EndpointProgress(0.0, estimator)
    for step in range(400):
        now = step * 0.05
        progress.set_slowness(7.0 if int(now / PERIOD_S) % 2 else 1.0, now)
    assert estimator.period_s == pytest.approx(PERIOD_S, abs=0.01)
    assert progress.phase_left_s(now) < PERIOD_S


def test_time_of_a_change_is_unknown_after_a_report_gap() -> None:
    estimator = slowness_period.PeriodEstimator()
    progress = work_estimation.EndpointProgress(0.0, estimator)
    progress.set_slowness(7.0, 0.1)
    assert progress.changed_at == 0.1
    progress.set_slowness(1.0, 0.1 + slowness_period.MAX_REPORT_GAP_S + 0.1)
    assert progress.changed_at is None
