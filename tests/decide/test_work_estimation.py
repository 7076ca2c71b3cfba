from __future__ import annotations

import pytest

from snipelink.decide import slowness_period, work_estimation

PHASE_LEFT_S = 0.25


def test_progress_is_measured_at_normal_speed_while_slowness_changes() -> None:
    progress = work_estimation.EndpointProgress(10.0, slowness_period.PeriodEstimator())
    progress.set_slowness(7.0, 10.1)
    progress.set_slowness(1.0, 10.8)
    assert progress.done_until_s(11.0) == pytest.approx(0.1 + 0.7 / 7.0 + 0.2)


def test_progress_does_not_decrease_for_past_times() -> None:
    progress = work_estimation.EndpointProgress(
        10.0, slowness_period.PeriodEstimator(), done_s=3.0
    )
    assert progress.done_until_s(9.0) == 3.0


def test_work_of_an_unknown_operation_is_estimated_from_its_objective() -> None:
    estimates = work_estimation.WorkEstimates()
    assert estimates.work_s("rota", "view", 0.5) == pytest.approx(0.2)
    estimates.record("rota", "claim", 0.4)
    assert estimates.work_s("rota", "view", 0.5) == pytest.approx(0.2)
    assert estimates.work_s("rota", "claim", 0.5) == 0.4
    assert estimates.mean_work_s("rota") == 0.4
    assert estimates.mean_work_s("archive") == work_estimation.DEFAULT_WORK_S


def test_first_calls_of_an_operation_have_equal_weight() -> None:
    estimates = work_estimation.WorkEstimates()
    for work_s in (0.1, 0.3, 0.2):
        estimates.record("rota", "view", work_s)
    assert estimates.work_s("rota", "view", 0.5) == pytest.approx(0.2)


def test_estimate_follows_a_changed_operation_within_forty_calls() -> None:
    estimates = work_estimation.WorkEstimates()
    estimates.record("rota", "view", 0.1)
    for _ in range(40):
        estimates.record("rota", "view", 0.3)
    assert estimates.work_s("rota", "view", 0.5) == pytest.approx(0.3, rel=0.02)


def test_operations_that_are_not_retained_are_discarded() -> None:
    estimates = work_estimation.WorkEstimates()
    estimates.record("rota", "view", 0.1)
    estimates.record("rota", "claim", 0.5)
    estimates.retain({("rota", "claim")})
    assert estimates.work_s("rota", "claim", 0.7) == 0.5
    assert estimates.work_s("rota", "view", 0.5) != 0.1


def test_duration_uses_the_mean_speed_after_the_phase() -> None:
    assert work_estimation.duration_s(0.02, 7.0, 1.3, PHASE_LEFT_S) == pytest.approx(
        0.14
    )
    in_phase_s = PHASE_LEFT_S / 7.0
    assert work_estimation.duration_s(0.2, 7.0, 1.3, PHASE_LEFT_S) == pytest.approx(
        PHASE_LEFT_S + (0.2 - in_phase_s) * 1.3
    )


def test_mean_slowness_follows_a_lasting_change() -> None:
    progress = work_estimation.EndpointProgress(0.0, slowness_period.PeriodEstimator())
    for step in range(200):
        progress.set_slowness(5.0, step * 0.05)
    assert progress.mean_slowness == pytest.approx(5.0, rel=0.15)
