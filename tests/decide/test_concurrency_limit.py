from __future__ import annotations

import random

import pytest

from snipelink.decide import concurrency_limit

SLOTS = 12


def _learnt_limit(
    factors: dict[int, float], calls: int = 400
) -> concurrency_limit.ConcurrencyLimit:
    """Return a limit that was learnt while calls ran at that limit."""
    rng = random.Random(1)
    learnt = concurrency_limit.ConcurrencyLimit()
    for step in range(calls):
        now = step * 0.02
        running = learnt.limit(SLOTS, now)
        ratio = factors.get(running, 1.0) * rng.lognormvariate(-0.04, 0.3)
        learnt.record((running, running), ratio, SLOTS, now)
    return learnt


def test_limit_leaves_slots_free_if_high_concurrency_slows_calls() -> None:
    learnt = _learnt_limit({11: 1.41, 12: 1.7})
    assert learnt.limit(SLOTS, 8.0) in (9, 10)


@pytest.mark.parametrize("factor", [0.7, 1.0, 2.0])
def test_limit_uses_all_slots_if_concurrency_has_no_effect(factor: float) -> None:
    learnt = _learnt_limit(dict.fromkeys(range(1, SLOTS + 1), factor))
    assert learnt.limit(SLOTS, 8.0) >= SLOTS - 1


def test_full_concurrency_is_tried_again_later() -> None:
    learnt = _learnt_limit({11: 1.41, 12: 1.7})
    assert learnt.limit(SLOTS, 8.0 + 10 * concurrency_limit.HALF_LIFE_S) == SLOTS


def test_reset_discards_the_samples() -> None:
    learnt = _learnt_limit({11: 1.41, 12: 1.7})
    learnt.reset()
    assert learnt.limit(SLOTS, 8.0) == SLOTS


@pytest.mark.parametrize(
    ("running", "ratio"), [((12, 9), 1.7), ((12, 12), 50.0), ((12, 12), 0.0)]
)
def test_inconclusive_calls_are_ignored(running: tuple[int, int], ratio: float) -> None:
    learnt = concurrency_limit.ConcurrencyLimit()
    for _ in range(50):
        learnt.record(running, ratio, SLOTS, 1.0)
    assert learnt.limit(SLOTS, 1.0) == SLOTS


@pytest.mark.parametrize("slots", [1, 2, 3, 4, 9, 100])
def test_limit_is_between_the_uncrowded_level_and_the_slots(slots: int) -> None:
    learnt = concurrency_limit.ConcurrencyLimit()
    for running in range(1, slots + 1):
        for _ in range(20):
            learnt.record((running, running), 3.9, slots, 1.0)
    assert 1 <= learnt.limit(slots, 1.0) <= slots
    assert learnt.limit(slots, 1.0) >= int(concurrency_limit.UNCROWDED_RATIO * slots)


def test_levels_of_other_endpoints_are_used_at_once() -> None:
    """Guards against each endpoint of a service learning at its callers' expense."""
    experienced = _learnt_limit({11: 1.41, 12: 1.7})
    fresh = concurrency_limit.ConcurrencyLimit()
    fresh.set_peer_samples([experienced.samples(8.0)] * 3)
    assert fresh.limit(SLOTS, 8.0) in (9, 10)
    assert fresh.samples(8.0) == []


def test_endpoint_that_differs_from_the_others_relies_on_its_own_samples() -> None:
    others = _learnt_limit({11: 1.41, 12: 1.7})
    own = concurrency_limit.ConcurrencyLimit()
    for level in range(1, SLOTS + 1):
        for _ in range(200):
            own.record((level, level), 1.0, SLOTS, 8.0)
    own.set_peer_samples([others.samples(8.0)] * 10)
    assert own.limit(SLOTS, 8.0) >= SLOTS - 1


def test_samples_of_departed_endpoints_are_dropped() -> None:
    fresh = concurrency_limit.ConcurrencyLimit()
    without_samples = fresh.limit(SLOTS, 8.0)
    fresh.set_peer_samples([_learnt_limit({11: 1.41, 12: 1.7}).samples(8.0)])
    assert fresh.limit(SLOTS, 8.0) < SLOTS
    fresh.set_peer_samples([])
    assert fresh.limit(SLOTS, 8.0) == without_samples


def test_samples_lose_weight_with_time() -> None:
    learnt = _learnt_limit({})
    early = {sample.level: sample for sample in learnt.samples(8.0)}
    late = learnt.samples(8.0 + concurrency_limit.HALF_LIFE_S)
    assert late
    for sample in late:
        assert sample.mean_ratio == pytest.approx(early[sample.level].mean_ratio)
        half = early[sample.level].weight_calls / 2
        assert sample.weight_calls == pytest.approx(half)
