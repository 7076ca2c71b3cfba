from __future__ import annotations

import heapq
import random

import hypothesis
import hypothesis.strategies as st
import pytest
from result import Err, Ok

from snipelink import errors, model
from snipelink.admission import controller, fair_queue

ORDER = model.Operation("order", "POST", "/o", False, priority="high", weight=2)
READ = model.Operation("read", "GET", "/r", True)
REPORT = model.Operation("report", "GET", "/x", True, priority="low")


def make_call(operation: model.Operation, deadline: float) -> model.Call:
    return model.Call(
        "c", "s", operation, operation.method, operation.path, [], b"", deadline
    )


def make_admission(
    slots: int, max_queued: int, now: float = 0.0
) -> controller.Admission:
    return controller.Admission(slots, controller.Bounds(max_queued), now)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(["offer", "release", "withdraw"]),
            st.sampled_from([ORDER, READ, REPORT]),
            st.floats(0, 0.2),
            st.sampled_from(list(controller.Outcome)),
        ),
        max_size=60,
    )
)
@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
def test_slots_and_queue_stay_within_bounds(steps: list) -> None:
    """Guards against more calls running than slots, and waiters without a decision."""
    gate = make_admission(3, 4)
    now = 0.0
    tickets: list[controller.Ticket] = []
    waiters: list[fair_queue.Waiter] = []
    for action, operation, delay, outcome in steps:
        now += delay
        if action == "offer":
            offered = gate.offer(make_call(operation, now + 0.15), now)
            if isinstance(offered, Ok):
                place = offered.ok_value
                (tickets if isinstance(place, controller.Ticket) else waiters).append(
                    place
                )
        elif action == "release" and tickets:
            gate.release(tickets[0], outcome, now)
            gate.release(tickets.pop(0), outcome, now)
        elif action == "withdraw" and waiters:
            waiter = waiters.pop()
            if gate.withdraw(waiter, now) is None:
                tickets.append(gate.ticket_of(waiter, now))
        for waiter in [w for w in waiters if w.admitted]:
            waiters.remove(waiter)
            assert waiter.failure is None
            tickets.append(gate.ticket_of(waiter, now))
        waiters = [w for w in waiters if w.failure is None]
        load = gate.load_report(now)
        assert load.running == len(tickets) <= 3
        assert load.queued == len(waiters) <= 4
    for ticket in tickets:
        gate.release(ticket, controller.Outcome.ANSWERED, now)
    while any(w.admitted for w in waiters):
        waiter = next(w for w in waiters if w.admitted)
        waiters.remove(waiter)
        gate.release(gate.ticket_of(waiter, now), controller.Outcome.ANSWERED, now)
    load = gate.load_report(now)
    assert load.running == load.queued == 0


def run_overload(factor: float, seconds: float) -> dict[str, tuple[int, int]]:
    """Return offered and answered calls by operation; 10 slots, 20 ms a call."""
    rng = random.Random(7)
    gate = make_admission(10, 20)
    counts = {op.name: [0, 0] for op in (ORDER, READ, REPORT)}
    ends: list[tuple[float, int, controller.Ticket]] = []
    waiting: list[fair_queue.Waiter] = []
    now, serial = 0.0, 0
    while now < seconds:
        now += rng.expovariate(500 * factor)
        while ends and ends[0][0] <= now:
            end, _, ticket = heapq.heappop(ends)
            gate.release(ticket, controller.Outcome.ANSWERED, end)
            counts[ticket.operation][1] += 1
            for waiter in [w for w in waiting if w.admitted]:
                serial += 1
                heapq.heappush(ends, (end + 0.02, serial, gate.ticket_of(waiter, end)))
            waiting = [w for w in waiting if not w.admitted and w.failure is None]
        operation = rng.choices([ORDER, READ, REPORT], [3, 5, 2])[0]
        counts[operation.name][0] += 1
        offered = gate.offer(make_call(operation, now + 0.5), now)
        if isinstance(offered, Ok):
            place = offered.ok_value
            if isinstance(place, controller.Ticket):
                serial += 1
                heapq.heappush(ends, (now + 0.02, serial, place))
            else:
                waiting.append(place)
    return {name: (count[0], count[1]) for name, count in counts.items()}


def test_overload_sheds_low_value_first_without_starving_it() -> None:
    """Guards against orders lost at 150%, and against a class that never runs."""
    counts = run_overload(1.5, 20.0)
    ratios = {
        name: answered / max(1, sent) for name, (sent, answered) in counts.items()
    }
    assert ratios["order"] >= 0.95
    assert ratios["order"] > ratios["read"] > ratios["report"] > 0.02
    assert sum(answered for _, answered in counts.values()) >= 0.95 * 500 * 20


def test_lone_waiter_of_low_class_is_not_displaced() -> None:
    """Guards against starvation of a low class by displacement."""
    gate = make_admission(1, 2)
    first = gate.offer(make_call(ORDER, 9.0), 0.0).unwrap()
    low = gate.offer(make_call(REPORT, 9.0), 0.0).unwrap()
    assert isinstance(gate.offer(make_call(ORDER, 9.0), 0.0), Ok)
    refused = gate.offer(make_call(ORDER, 9.0), 0.0)
    assert refused.unwrap_err().kind is errors.Kind.OVERLOADED
    assert refused.unwrap_err().retry_after_s > 0
    gate.release(first, controller.Outcome.ANSWERED, 0.01)
    assert low.failure is None


def test_call_that_cannot_finish_in_time_is_refused_early() -> None:
    """Guards against queueing a call only to let its deadline pass."""
    gate = make_admission(1, 10)
    ticket = gate.offer(make_call(READ, 9.0), 0.0).unwrap()
    gate.release(ticket, controller.Outcome.ANSWERED, 0.08)
    gate.offer(make_call(READ, 9.0), 0.1).unwrap()
    refused = gate.offer(make_call(READ, 0.2), 0.1)
    assert refused.unwrap_err().kind is errors.Kind.OVERLOADED


def test_stalled_endpoint_refuses_early() -> None:
    """Guards against a queue that fills behind a paused server."""
    gate = make_admission(1, 10)
    ticket = gate.offer(make_call(READ, 9.0), 0.0).unwrap()
    gate.release(ticket, controller.Outcome.ANSWERED, 0.01)
    gate.offer(make_call(READ, 9.0), 5.0).unwrap()
    assert isinstance(gate.offer(make_call(READ, 9.0), 5.001), Ok)
    refused = gate.offer(make_call(READ, 9.0), 6.0)
    assert refused.unwrap_err().retry_after_s >= 0.9


def test_waiter_past_its_deadline_never_starts() -> None:
    """Guards against a call that starts after its caller was told not-run."""
    gate = make_admission(1, 10)
    ticket = gate.offer(make_call(READ, 9.0), 0.0).unwrap()
    late = gate.offer(make_call(READ, 0.05), 0.0).unwrap()
    gate.release(ticket, controller.Outcome.ANSWERED, 0.06)
    assert late.failure.kind is errors.Kind.DEADLINE_NOT_RUN
    assert gate.load_report(0.06).running == 0


def test_draining_refuses_new_calls_and_runs_queued_ones() -> None:
    """Guards against new work after the drain, and against cutting off queued calls."""
    gate = make_admission(1, 10)
    ticket = gate.offer(make_call(READ, 9.0), 0.0).unwrap()
    waiter = gate.offer(make_call(READ, 9.0), 0.0).unwrap()
    gate.start_draining()
    refused = gate.offer(make_call(READ, 9.0), 0.0)
    assert isinstance(refused, Err)
    assert refused.err_value.kind is errors.Kind.LEAVING
    assert gate.load_report(0.0).leaving
    gate.release(ticket, controller.Outcome.ANSWERED, 0.01)
    assert waiter.admitted


@pytest.mark.parametrize(("share", "expected"), [(ORDER, 32), (READ, 4), (REPORT, 1)])
def test_weight_multiplies_the_share_of_the_class(
    share: model.Operation, expected: int
) -> None:
    """Guards against a weight that does not count."""
    assert fair_queue.share_of(share) == expected


def test_published_slots_take_effect_on_waiters() -> None:
    """Guards against slots that change only when the node restarts."""
    gate = make_admission(1, 10)
    gate.offer(make_call(READ, 9.0), 0.0).unwrap()
    waiter = gate.offer(make_call(READ, 9.0), 0.0).unwrap()
    gate.set_slots(2, controller.Bounds(4), 0.01)
    assert waiter.admitted
    assert gate.load_report(0.01).limit == 2
