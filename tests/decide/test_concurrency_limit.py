from __future__ import annotations

import random

import pytest

from snipelink.decide import concurrency_limit

SLOTS = 12


def _learnt(
    factors: dict[int, float], calls: int = 400
) -> concurrency_limit.ConcurrencyLimit:
    """Return what is learnt while as many calls run as seem best."""
    rng = random.Random(1)
    learnt = concurrency_limit.ConcurrencyLimit()
    for step in range(calls):
        now = step * 0.02
        running = learnt.limit(SLOTS, now)
        ratio = factors.get(running, 1.0) * rng.lognormvariate(-0.04, 0.3)
        learnt.record((running, running), ratio, SLOTS, now)
    return learnt


def test_slots_are_left_free_where_the_last_ones_make_work_slow() -> None:
    learnt = _learnt({11: 1.41, 12: 1.7})
    assert learnt.limit(SLOTS, 8.0) in (9, 10)


@pytest.mark.parametrize("factor", [0.7, 1.0, 2.0])
def test_all_slots_are_used_where_their_number_changes_nothing(factor: float) -> None:
    learnt = _learnt(dict.fromkeys(range(1, SLOTS + 1), factor))
    assert learnt.limit(SLOTS, 8.0) >= SLOTS - 1


def test_full_endpoint_is_tried_again_later() -> None:
    learnt = _learnt({11: 1.41, 12: 1.7})
    assert learnt.limit(SLOTS, 8.0 + 10 * concurrency_limit.HALF_LIFE_S) == SLOTS


def test_former_process_is_forgotten() -> None:
    learnt = _learnt({11: 1.41, 12: 1.7})
    learnt.forget()
    assert learnt.limit(SLOTS, 8.0) == SLOTS


@pytest.mark.parametrize(
    ("running", "ratio"), [((12, 9), 1.7), ((12, 12), 50.0), ((12, 12), 0.0)]
)
def test_calls_that_do_not_tell_are_left_out(
    running: tuple[int, int], ratio: float
) -> None:
    learnt = concurrency_limit.ConcurrencyLimit()
    for _ in range(50):
        learnt.record(running, ratio, SLOTS, 1.0)
    assert learnt.limit(SLOTS, 1.0) == SLOTS


@pytest.mark.parametrize("slots", [1, 2, 3, 4, 9, 100])
def test_limit_is_never_above_the_slots_nor_below_most_of_them(slots: int) -> None:
    learnt = concurrency_limit.ConcurrencyLimit()
    for running in range(1, slots + 1):
        for _ in range(20):
            learnt.record((running, running), 3.9, slots, 1.0)
    assert 1 <= learnt.limit(slots, 1.0) <= slots
    assert learnt.limit(slots, 1.0) >= int(concurrency_limit.ALIKE_SHARE * slots)
