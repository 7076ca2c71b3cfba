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


def _full_slots(capacity: int = 4, slowness: float = 1.0) -> slots.Slots:
    """Return slots that are all occupied by calls with the keys 0, 1, 2 and so on."""
    full = slots.Slots(NOW, slowness_period.PeriodEstimator())
    full.capacity = capacity
    for key in range(capacity):
        assert full.offer(key, _demand(), NOW).verdict is slots.Verdict.START
    full.progress.set_slowness(slowness, NOW)
    return full


def test_call_starts_while_a_slot_is_free_and_waits_otherwise() -> None:
    full = _full_slots()
    assert full.offer(9, _demand(), NOW).verdict is slots.Verdict.WAIT
    full.release(0)
    assert full.admit_waiting(NOW + 0.01) == ([9], [])
    assert (full.running_count, full.waiting_count) == (4, 0)


def test_burst_is_refused_once_the_expected_wait_exceeds_the_slack() -> None:
    full = _full_slots()
    verdicts = [full.offer(9 + i, _demand(), NOW).verdict for i in range(50)]
    waits = verdicts.count(slots.Verdict.WAIT)
    assert 1 <= waits <= 8
    assert verdicts[waits:] == [slots.Verdict.REFUSE] * (50 - waits)


def test_refused_call_gets_the_time_until_it_could_start() -> None:
    full = _full_slots()
    for key in range(9, 40):
        offered = full.offer(key, _demand(), NOW)
    assert 0.45 < offered.wait_s < 0.7
    assert "would start in" in offered.reason


def test_call_that_cannot_meet_its_deadline_is_refused_before_it_runs() -> None:
    empty = slots.Slots(NOW, slowness_period.PeriodEstimator())
    short = _demand(deadline=NOW + 0.15)
    assert empty.offer(1, short, NOW).verdict is slots.Verdict.REFUSE


def test_call_does_not_start_in_a_slow_phase_that_may_exceed_its_deadline() -> None:
    """Guards against calls that occupy a slot for 1.2 s, fail and cannot be hedged."""
    slow = slots.Slots(NOW, slowness_period.PeriodEstimator())
    slow.progress.set_slowness(7.0, NOW)
    offered = slow.offer(1, _demand(), NOW)
    assert offered.verdict is slots.Verdict.WAIT
    assert slow.admit_waiting(NOW + 0.05) == ([], [])
    slow.progress.set_slowness(1.0, NOW + 0.1)
    assert slow.admit_waiting(NOW + 0.1) == ([1], [])


def test_call_that_waits_too_long_for_a_slow_endpoint_is_refused() -> None:
    slow = slots.Slots(NOW, slowness_period.PeriodEstimator())
    slow.progress.set_slowness(7.0, NOW)
    slow.offer(1, _demand(), NOW)
    started, refused = slow.admit_waiting(NOW + 0.7)
    assert started == []
    assert [each.key for each in refused] == [1]
    assert slow.waiting_count == 0


def test_call_of_higher_priority_takes_the_next_free_slot() -> None:
    full = _full_slots()
    full.offer(9, _demand(), NOW)
    full.offer(10, _demand(priority=1), NOW)
    full.release(0)
    assert full.admit_waiting(NOW + 0.01)[0] == [10]


def test_external_calls_occupy_slots() -> None:
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
    subject = slots.Slots(NOW, slowness_period.PeriodEstimator())
    now = NOW
    held: set[int] = set()
    queued: set[int] = set()
    for index, (action, number, size) in enumerate(steps):
        now += size / 10
        if action == "offer":
            key = 1000 + index
            verdict = subject.offer(key, _demand(now, work_s=size), now).verdict
            held |= {key} if verdict is slots.Verdict.START else set()
            queued |= {key} if verdict is slots.Verdict.WAIT else set()
        elif action == "end" and held:
            key = sorted(held)[number % len(held)]
            held.discard(key)
            subject.release(key)
        elif action == "sweep":
            started, refused = subject.admit_waiting(now)
            held |= set(started)
            queued -= set(started) | {each.key for each in refused}
        elif action == "slow":
            subject.progress.set_slowness(1.0 + number, now)
        assert subject.running_count == len(held) <= subject.capacity
        assert subject.waiting_count == len(queued)


def _cold_slots(capacity: int = 9) -> slots.Slots:
    """Return the slots of an endpoint that tolerates four requests a second."""
    subject = slots.Slots(NOW, slowness_period.PeriodEstimator())
    subject.set_capacity(capacity, NOW)
    subject.slow_start.set_limits(
        slow_start.ColdLimits(rate_per_s=4.0, max_per_window=12.0), NOW
    )
    return subject


def test_calls_on_a_cold_endpoint_wait_although_slots_are_free() -> None:
    subject = _cold_slots()
    patient = _demand(target=NOW + 2.0, deadline=NOW + 2.2)
    verdicts = [subject.offer(key, patient, NOW).verdict for key in range(4)]
    assert verdicts == [slots.Verdict.START] * 2 + [slots.Verdict.WAIT] * 2
    assert subject.admit_waiting(NOW + 0.24) == ([], [])
    assert subject.admit_waiting(NOW + 0.26) == ([2], [])
    assert subject.admit_waiting(NOW + 0.51) == ([3], [])


def test_call_with_a_long_expected_wait_for_a_cold_endpoint_is_refused() -> None:
    subject = _cold_slots()
    offered = [subject.offer(key, _demand(), NOW) for key in range(9)]
    assert offered[-1].verdict is slots.Verdict.REFUSE
    assert offered[-1].wait_s >= 0.5


def test_call_on_a_cold_endpoint_does_not_overtake_waiting_calls() -> None:
    subject = _cold_slots()
    for key in range(3):
        subject.offer(key, _demand(), NOW)
    later = NOW + 0.26
    assert subject.offer(3, _demand(later), later).verdict is slots.Verdict.WAIT
    assert subject.admit_waiting(later) == ([2], [])


def test_cold_endpoint_reports_no_more_free_slots_than_calls_may_start() -> None:
    subject = _cold_slots()
    assert subject.reported_load(NOW) == (0, 2)
    subject.offer(0, _demand(), NOW)
    assert subject.reported_load(NOW) == (1, 2)
    subject.offer(1, _demand(), NOW)
    assert subject.reported_load(NOW) == (2, 2)
    subject.release(0)
    subject.release(1)
    assert subject.reported_load(NOW) == (1, 1)
    subject.slow_start.on_poll_answer(NOW, 0.0, NOW)
    assert subject.reported_load(NOW) == (0, 9)
