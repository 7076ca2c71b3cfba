from __future__ import annotations

import collections

from bench.soak import plan


def test_same_seed_draws_the_same_events() -> None:
    assert plan.draw(7, 4, 8.0) == plan.draw(7, 4, 8.0)
    assert plan.draw(7, 4, 8.0) != plan.draw(8, 4, 8.0)


def test_seeds_cover_all_kinds_and_overlapping_faults() -> None:
    events = [plan.draw(seed, 4, 8.0) for seed in range(200)]
    kinds = collections.Counter(event.kind for each in events for event in each)
    assert set(kinds) == set(plan.KINDS)
    overlapping = sum(
        any(
            a.start_s <= b.start_s < a.start_s + a.duration_s
            for a in each
            for b in each
            if a is not b
        )
        for each in events
    )
    assert overlapping > 100


def test_some_runs_have_only_planned_work() -> None:
    kinds = [{event.kind for event in plan.draw(seed, 4, 8.0)} for seed in range(100)]
    assert 10 < sum(each <= plan.PLANNED_KINDS for each in kinds) < 60


def test_run_replaces_an_endpoint_at_most_once() -> None:
    for seed in range(300):
        replaced = [
            event.node
            for event in plan.draw(seed, 4, 8.0)
            if event.kind in ("drain", "vanish")
        ]
        assert len(replaced) == len(set(replaced))


def test_drawing_silence_open_does_not_change_the_other_events_of_a_seed() -> None:
    drawn = plan.draw(30, 4, 8.0)
    others = [event.kind for event in drawn if event.kind != plan.SILENCE_OPEN_KIND]
    # Events of the seed when it was added to ``REGRESSION_SEEDS``.
    assert others == ["vanish", "reload", "reload", "drain", "vanish"]
