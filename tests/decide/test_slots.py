from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from snipelink.decide import queue_policy, slots, slow_start, slowness_period

NOW = 10.0


def _demand(now: float = NOW, **changes: float) -> queue_policy.Demand:
    values = {
        "work_s": 0.2,
        "target": now + 1.0,
        "deadline": now + 1.2,
        "priority": 2,
        "arrived_at": now,
    }
    return queue_policy.Demand(**(values | changes))  # type: ignore[arg-type]


def _full(capacity: int = 4, slowness: float = 1.0) -> slots.Slots:
    """Return slots that are all taken by calls with the keys 0, 1, 2 and so on."""
    full = slots.Slots(NOW, slowness_period.PeriodEstimator())
    full.capacity = capacity
    for key in range(capacity):
        assert full.offer(key, _demand(), NOW).verdict is slots.Verdict.START
    full.progress.set_slowness(slowness, NOW)
    return full


def test_call_starts_while_there_is_a_slot_and_waits_then() -> None:
    full = _full()
    assert full.offer(9, _demand(), NOW).verdict is slots.Verdict.WAIT
    full.release(0)
    assert full.admit_waiting(NOW + 0.01) == ([9], [])
    assert (full.running_count, full.waiting_count) == (4, 0)


def test_burst_is_refused_once_the_queue_uses_up_the_slack() -> None:
    full = _full()
    verdicts = [full.offer(9 + i, _demand(), NOW).verdict for i in range(50)]
    waits = verdicts.count(slots.Verdict.WAIT)
    assert 1 <= waits <= 8
    assert verdicts[waits:] == [slots.Verdict.REFUSE] * (50 - waits)


def test_refused_call_is_told_when_there_is_room() -> None:
    full = _full()
    for key in range(9, 40):
        offered = full.offer(key, _demand(), NOW)
    assert 0.45 < offered.wait_s < 0.7
    assert "would start in" in offered.reason


def test_call_with_less_time_than_work_is_refused_before_it_runs() -> None:
    empty = slots.Slots(NOW, slowness_period.PeriodEstimator())
    short = _demand(deadline=NOW + 0.15)
    assert empty.offer(1, short, NOW).verdict is slots.Verdict.REFUSE


def test_call_does_not_start_in_a_phase_that_may_outlast_its_deadline() -> None:
    """Started, it would hold a slot for 1.2 s and fail, and could not be moved."""
    slow = slots.Slots(NOW, slowness_period.PeriodEstimator())
    slow.progress.set_slowness(7.0, NOW)
    offered = slow.offer(1, _demand(), NOW)
    assert offered.verdict is slots.Verdict.WAIT
    assert slow.admit_waiting(NOW + 0.05) == ([], [])
    slow.progress.set_slowness(1.0, NOW + 0.1)
    assert slow.admit_waiting(NOW + 0.1) == ([1], [])


def test_call_that_waited_for_a_slow_endpoint_is_refused_as_not_run() -> None:
    slow = slots.Slots(NOW, slowness_period.PeriodEstimator())
    slow.progress.set_slowness(7.0, NOW)
    slow.offer(1, _demand(), NOW)
    started, refused = slow.admit_waiting(NOW + 0.7)
    assert started == []
    assert [each.key for each in refused] == [1]
    assert slow.waiting_count == 0


def test_urgent_call_takes_the_slot_that_gets_free() -> None:
    full = _full()
    full.offer(9, _demand(), NOW)
    full.offer(10, _demand(priority=1), NOW)
    full.release(0)
    assert full.admit_waiting(NOW + 0.01)[0] == [10]


def test_calls_of_others_take_slots() -> None:
    used = slots.Slots(NOW, slowness_period.PeriodEstimator())
    used.capacity, used.external_count = 4, 4
    assert used.offer(1, _demand(), NOW).verdict is slots.Verdict.WAIT


@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["offer", "end", "sweep", "slow"]),
            st.integers(0, 30),
            st.floats(0.05, 0.8),
        ),
        max_size=80,
    )
)
def test_slots_are_never_exceeded_and_no_call_is_lost(
    steps: list[tuple[str, int, float]],
) -> None:
    tested = slots.Slots(NOW, slowness_period.PeriodEstimator())
    now = NOW
    held: set[int] = set()
    queued: set[int] = set()
    for index, (action, number, size) in enumerate(steps):
        now += size / 10
        if action == "offer":
            key = 1000 + index
            verdict = tested.offer(key, _demand(now, work_s=size), now).verdict
            held |= {key} if verdict is slots.Verdict.START else set()
            queued |= {key} if verdict is slots.Verdict.WAIT else set()
        elif action == "end" and held:
            key = sorted(held)[number % len(held)]
            held.discard(key)
            tested.release(key)
        elif action == "sweep":
            started, refused = tested.admit_waiting(now)
            held |= set(started)
            queued -= set(started) | {each.key for each in refused}
        elif action == "slow":
            tested.progress.set_slowness(1.0 + number, now)
        assert tested.running_count == len(held) <= tested.capacity
        assert tested.waiting_count == len(queued)


def _cold(capacity: int = 9) -> slots.Slots:
    """Return the slots of an endpoint that tolerates four requests a second."""
    tested = slots.Slots(NOW, slowness_period.PeriodEstimator())
    tested.set_capacity(capacity, NOW)
    tested.slow_start.set_limits(
        slow_start.ColdLimits(rate_per_s=4.0, max_per_window=12.0), NOW
    )
    return tested


def test_calls_on_a_cold_endpoint_wait_for_their_turn_though_slots_are_free() -> None:
    tested = _cold()
    patient = _demand(target=NOW + 2.0, deadline=NOW + 2.2)
    verdicts = [tested.offer(key, patient, NOW).verdict for key in range(4)]
    assert verdicts == [slots.Verdict.START] * 2 + [slots.Verdict.WAIT] * 2
    assert tested.admit_waiting(NOW + 0.24) == ([], [])
    assert tested.admit_waiting(NOW + 0.26) == ([2], [])
    assert tested.admit_waiting(NOW + 0.51) == ([3], [])


def test_call_that_would_wait_too_long_for_a_cold_endpoint_is_refused() -> None:
    tested = _cold()
    offered = [tested.offer(key, _demand(), NOW) for key in range(9)]
    assert offered[-1].verdict is slots.Verdict.REFUSE
    assert offered[-1].wait_s >= 0.5


def test_call_does_not_start_on_a_cold_endpoint_before_those_that_wait() -> None:
    tested = _cold()
    for key in range(3):
        tested.offer(key, _demand(), NOW)
    later = NOW + 0.26
    assert tested.offer(3, _demand(later), later).verdict is slots.Verdict.WAIT
    assert tested.admit_waiting(later) == ([2], [])


def test_cold_endpoint_tells_no_more_free_slots_than_calls_may_start() -> None:
    tested = _cold()
    assert tested.reported_load(NOW) == (0, 2)
    tested.offer(0, _demand(), NOW)
    assert tested.reported_load(NOW) == (1, 2)
    tested.offer(1, _demand(), NOW)
    assert tested.reported_load(NOW) == (2, 2)
    tested.release(0)
    tested.release(1)
    assert tested.reported_load(NOW) == (1, 1)
    tested.slow_start.on_poll_answer(NOW, 0.0, NOW)
    assert tested.reported_load(NOW) == (0, 9)
