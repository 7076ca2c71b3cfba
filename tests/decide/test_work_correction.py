from __future__ import annotations

import random

import pytest

from snipelink.decide import (
    queue_policy,
    slots,
    slowness_period,
    work_correction,
)

# Work of the replayed calls, what their nodes expect before they know it, and the
# latency objective, seconds.
WORK_S = 0.2
EXPECTED_WORK_S = 0.36
TARGET_S = 0.9
DEADLINE_S = 3.0
# Endpoints that have just started work half as fast.
COLD_SLOWNESS = 2.0
CALLS_PER_S = 7.0
PLAYED_S = 4.0
STEP_S = 0.01


def _share_in_time(*, corrected: bool, seed: int) -> float:
    """Replay calls at an endpoint that has just started."""
    rng, now = random.Random(seed), 0.0
    endpoint = slots.Slots(now, slowness_period.PeriodEstimator())
    endpoint.set_capacity(3, now)
    endpoint.progress.set_slowness(COLD_SLOWNESS, now)
    correction = work_correction.WorkCorrection(0.0)
    ends_by_key: dict[int, float] = {}
    targets: dict[int, float] = {}
    in_time_count = key = 0
    next_arrival = rng.expovariate(CALLS_PER_S)
    while now < PLAYED_S:
        now += STEP_S
        for each in [k for k, end in ends_by_key.items() if end <= now]:
            del ends_by_key[each]
            correction.record(EXPECTED_WORK_S, endpoint.on_answer(each, now))
            endpoint.release(each)
            in_time_count += now <= targets[each]
        started, _ = endpoint.admit_waiting(now)
        while next_arrival <= now:
            next_arrival += rng.expovariate(CALLS_PER_S)
            key += 1
            targets[key] = now + TARGET_S
            work_s = EXPECTED_WORK_S
            if corrected:
                work_s = correction.corrected_s(work_s, now)
            demand = queue_policy.Demand(
                work_s, now + TARGET_S, now + DEADLINE_S, 1, now
            )
            offered = endpoint.offer(key, demand, now)
            if offered.verdict is slots.Verdict.START:
                started.append(key)
        for each in started:
            ends_by_key[each] = now + WORK_S * COLD_SLOWNESS
    return in_time_count / key


def test_more_calls_at_a_cold_endpoint_are_in_time_with_the_correction() -> None:
    seeds = range(20)
    without = sum(_share_in_time(corrected=False, seed=seed) for seed in seeds)
    with_it = sum(_share_in_time(corrected=True, seed=seed) for seed in seeds)
    assert with_it > 1.2 * without


def test_few_samples_correct_nothing() -> None:
    correction = work_correction.WorkCorrection(0.0)
    for _ in range(work_correction.MIN_SAMPLES - 1):
        correction.record(0.4, 0.2)
    assert correction.corrected_s(0.4, 1.0) == 0.4
    correction.record(0.4, 0.2)
    assert correction.corrected_s(0.4, 1.0) == pytest.approx(0.2)


def test_correction_follows_nodes_that_have_learnt() -> None:
    correction = work_correction.WorkCorrection(0.0)
    for _ in range(20):
        correction.record(0.4, 0.2)
    for _ in range(30):
        correction.record(0.2, 0.2)
    assert correction.corrected_s(0.2, 1.0) == pytest.approx(0.2, rel=0.05)


def test_single_long_calls_change_the_correction_little() -> None:
    correction = work_correction.WorkCorrection(0.0)
    for _ in range(20):
        correction.record(0.2, 0.2)
    correction.record(0.2, 20.0)
    assert correction.corrected_s(0.2, 1.0) <= 0.2 * 1.2


def test_nothing_is_corrected_once_the_nodes_have_learnt() -> None:
    """Guards against admitting too many calls under overload."""
    correction = work_correction.WorkCorrection(0.0)
    for _ in range(20):
        correction.record(0.4, 0.2)
    assert correction.corrected_s(0.4, 1.0) == pytest.approx(0.2)
    assert correction.corrected_s(0.4, work_correction.LEARNING_S + 0.1) == 0.4
