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
