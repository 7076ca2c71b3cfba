from __future__ import annotations

import collections
import random

import hypothesis
import hypothesis.strategies as st

from snipelink.decide import retry_after, return_schedule

SERVICE = "rota"
# Calls that the endpoints of the replayed service answer in a second, and callers that
# are refused together.
CAPACITY_PER_S = 40.0
BURST_CALLERS = 60


def _room(per_s: float) -> list[return_schedule.EndpointRoom]:
    return [return_schedule.EndpointRoom(round(per_s / 5), 0, 0, 1.0)]


def _served_in_time(returns_at: list[float], remaining_s: list[float]) -> float:
    """Return the share of returning callers that are served before their limit.

    The endpoints answer `CAPACITY_PER_S` calls a second, and a caller that finds more
    than one tenth of a second of work ahead is refused for good.
    """
    free_at, served = 0.0, 0
    for at, limit in sorted(zip(returns_at, remaining_s, strict=True)):
        start = max(at, free_at)
        if start - at > 0.1 or start > limit:
            continue
        free_at = start + 1.0 / CAPACITY_PER_S
        served += 1
    return served / len(returns_at)


def _booked_returns(
    remaining_s: list[float], earliest_s: float, nodes: int = 1
) -> list[float]:
    rng = random.Random(1)
    per_s = return_schedule.returns_per_s(_room(CAPACITY_PER_S), 0.2, nodes)
    schedules = [return_schedule.ReturnSchedule() for _ in range(nodes)]
    return [
        schedules[index % nodes]
        .book(SERVICE, per_s, earliest_s, remaining, 0.0, rng)
        .after_s
        for index, remaining in enumerate(remaining_s)
    ]


def test_more_of_a_refused_burst_is_served_on_its_return_than_with_jitter() -> None:
    """Replays a burst whose callers all had the same short backlog ahead."""
    remaining_s, earliest_s = [6.0] * BURST_CALLERS, 0.2
    rng = random.Random(1)
    jittered = [retry_after.retry_after_s(earliest_s, rng) for _ in remaining_s]
    booked = _booked_returns(remaining_s, earliest_s)
    assert _served_in_time(jittered, remaining_s) < 0.4
    assert _served_in_time(booked, remaining_s) > 0.8


def test_no_step_gets_more_returns_than_fit_while_later_ones_have_room() -> None:
    booked = _booked_returns([6.0] * BURST_CALLERS, 0.2)
    by_step = collections.Counter(int(at / return_schedule.STEP_S) for at in booked)
    assert max(by_step.values()) <= CAPACITY_PER_S * return_schedule.STEP_S + 1


def test_nodes_with_a_small_part_of_the_room_promise_no_more_than_fits_together() -> (
    None
):
    """Guards against a first return of each of many nodes at the same moment."""
    booked = _booked_returns([6.0] * BURST_CALLERS, 0.2, nodes=BURST_CALLERS)
    by_tenth = collections.Counter(int(at / 0.1) for at in booked)
    assert max(by_tenth.values()) <= 2.5 * CAPACITY_PER_S * 0.1
    assert _served_in_time(booked, [6.0] * BURST_CALLERS) > 0.6


def test_callers_with_little_time_get_the_early_steps_and_others_later_ones() -> None:
    """Replays refused callers of two operations, of which one has a short limit."""
    remaining_s = [1.2, 6.0] * (BURST_CALLERS // 2)
    booked = _booked_returns(remaining_s, 0.05)
    short, long = booked[::2], booked[1::2]
    assert max(short) <= 1.2 * return_schedule.MAX_WAIT_RATIO
    assert sum(long) / len(long) > 2 * sum(short) / len(short)
    rng = random.Random(1)
    jittered = [retry_after.retry_after_s(0.05, rng) for _ in remaining_s]
    assert _served_in_time(booked, remaining_s) > 2 * _served_in_time(
        jittered, remaining_s
    )


def test_overbooked_steps_are_shared_evenly() -> None:
    booked = _booked_returns([1.2] * 100, 0.05)
    by_step = collections.Counter(int(at / return_schedule.STEP_S) for at in booked)
    full_steps = [by_step[step] for step in (1, 2)]
    assert max(full_steps) - min(full_steps) <= 2


def test_caller_that_cannot_wait_for_the_backlog_returns_late_in_its_time() -> None:
    schedule, rng = return_schedule.ReturnSchedule(), random.Random(1)
    appointment = schedule.book(SERVICE, 10.0, 5.0, 1.5, 0.0, rng)
    latest_s = 1.5 * return_schedule.MAX_WAIT_RATIO
    assert latest_s / 2 - 0.01 <= appointment.after_s <= latest_s


def test_room_is_what_the_reported_load_leaves_over_the_nodes() -> None:
    idle = return_schedule.EndpointRoom(4, 0, 0, 1.0)
    busy = return_schedule.EndpointRoom(4, 4, 2, 2.0)
    assert return_schedule.returns_per_s([idle], 0.2, 1) == 20.0
    assert return_schedule.returns_per_s([idle, busy], 0.2, 2) == 12.0
    full = return_schedule.EndpointRoom(1, 1, 9, 7.0)
    assert (
        return_schedule.returns_per_s([full], 0.2, 1)
        == return_schedule.MIN_RETURNS_PER_S
    )


@hypothesis.given(
    st.lists(
        st.tuples(st.floats(0.0, 1.0), st.floats(0.0, 100.0), st.floats(0.0, 100.0)),
        max_size=80,
    ),
    st.floats(0.0, 1000.0),
)
def test_kept_steps_are_bounded_and_times_within_the_limits(
    refusals: list[tuple[float, float, float]], per_s: float
) -> None:
    schedule, rng, now = return_schedule.ReturnSchedule(), random.Random(1), 100.0
    for passed_s, earliest_s, remaining_s in refusals:
        now += passed_s
        booked = schedule.book(SERVICE, per_s, earliest_s, remaining_s, now, rng)
        assert booked.after_s >= return_schedule.MIN_RETURN_S
        assert booked.after_s <= max(
            return_schedule.MIN_RETURN_S, remaining_s * return_schedule.MAX_WAIT_RATIO
        )
        assert booked.after_s <= return_schedule.MAX_RETURN_S
    steps = schedule._steps_by_service.get(SERVICE, {})
    assert len(steps) <= return_schedule.MAX_RETURN_S / return_schedule.STEP_S + 2


def test_past_returns_and_removed_services_are_discarded() -> None:
    schedule, rng = return_schedule.ReturnSchedule(), random.Random(1)
    schedule.book(SERVICE, 10.0, 0.0, 3.0, 0.0, rng)
    schedule.book("archive", 10.0, 0.0, 3.0, 0.0, rng)
    assert schedule.promised_count(SERVICE, 0.0) == 1
    assert schedule.promised_count(SERVICE, 5.0) == 0
    schedule.retain({SERVICE})
    assert schedule.services == (SERVICE,)
