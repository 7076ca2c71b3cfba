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


def make_controller(
    slots: int, max_queued: int, now: float = 0.0
) -> controller.AdmissionController:
    return controller.AdmissionController(
        slots, controller.QueueBounds(max_queued), now
    )


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
def test_slots_and_queue_stay_within_bounds_for_any_events(steps: list) -> None:
    """Guards against more running calls than slots, and against lost waiters."""
    admission = make_controller(3, 4)
    now = 0.0
    tickets: list[controller.Ticket] = []
    waiters: list[fair_queue.Waiter] = []
    for action, operation, delay, outcome in steps:
        now += delay
        if action == "offer":
            offered = admission.offer(make_call(operation, now + 0.15), now)
            if isinstance(offered, Ok):
                accepted = offered.ok_value
                (
                    tickets if isinstance(accepted, controller.Ticket) else waiters
                ).append(accepted)
        elif action == "release" and tickets:
            admission.release(tickets[0], outcome, now)
            admission.release(tickets.pop(0), outcome, now)
        elif action == "withdraw" and waiters:
            waiter = waiters.pop()
            if admission.stop_waiting(waiter, now) is None:
                tickets.append(admission.issue_ticket(waiter, now))
        for waiter in [w for w in waiters if w.admitted]:
            waiters.remove(waiter)
            assert waiter.failure is None
            tickets.append(admission.issue_ticket(waiter, now))
        waiters = [w for w in waiters if w.failure is None]
        load = admission.load_report(now)
        assert load.running == len(tickets) <= 3
        assert load.queued == len(waiters) <= 4
    for ticket in tickets:
        admission.release(ticket, controller.Outcome.ANSWERED, now)
    while any(w.admitted for w in waiters):
        waiter = next(w for w in waiters if w.admitted)
        waiters.remove(waiter)
        admission.release(
            admission.issue_ticket(waiter, now), controller.Outcome.ANSWERED, now
        )
    load = admission.load_report(now)
    assert load.running == load.queued == 0


def run_overload(factor: float, seconds: float) -> dict[str, tuple[int, int]]:
    """Return offered and answered calls by operation.

    ``factor`` is the load relative to the capacity of 10 slots with 20 ms a call.
    """
    rng = random.Random(7)
    admission = make_controller(10, 20)
    counts = {op.name: [0, 0] for op in (ORDER, READ, REPORT)}
    ends: list[tuple[float, int, controller.Ticket]] = []
    waiting: list[fair_queue.Waiter] = []
    now, serial = 0.0, 0
    while now < seconds:
        now += rng.expovariate(500 * factor)
        while ends and ends[0][0] <= now:
            end, _, ticket = heapq.heappop(ends)
            admission.release(ticket, controller.Outcome.ANSWERED, end)
            counts[ticket.operation][1] += 1
            for waiter in [w for w in waiting if w.admitted]:
                serial += 1
                heapq.heappush(
                    ends, (end + 0.02, serial, admission.issue_ticket(waiter, end))
                )
            waiting = [w for w in waiting if not w.admitted and w.failure is None]
        operation = rng.choices([ORDER, READ, REPORT], [3, 5, 2])[0]
        counts[operation.name][0] += 1
        offered = admission.offer(make_call(operation, now + 0.5), now)
        if isinstance(offered, Ok):
            accepted = offered.ok_value
            if isinstance(accepted, controller.Ticket):
                serial += 1
                heapq.heappush(ends, (now + 0.02, serial, accepted))
            else:
                waiting.append(accepted)
    return {name: (count[0], count[1]) for name, count in counts.items()}


def test_overload_sheds_low_priority_first_without_starving_it() -> None:
    """Guards against orders lost at 150% load, and against a starved operation."""
    counts = run_overload(1.5, 20.0)
    ratios = {
        name: answered / max(1, sent) for name, (sent, answered) in counts.items()
    }
    assert ratios["order"] >= 0.95
    assert ratios["order"] > ratios["read"] > ratios["report"] > 0.02
    assert sum(answered for _, answered in counts.values()) >= 0.95 * 500 * 20


def test_last_waiter_of_a_low_priority_operation_is_not_shed() -> None:
    """Guards against starvation of low priority by shedding its only waiter."""
    admission = make_controller(1, 2)
    first = admission.offer(make_call(ORDER, 9.0), 0.0).unwrap()
    low = admission.offer(make_call(REPORT, 9.0), 0.0).unwrap()
    assert isinstance(admission.offer(make_call(ORDER, 9.0), 0.0), Ok)
    refused = admission.offer(make_call(ORDER, 9.0), 0.0)
    assert refused.unwrap_err().kind is errors.Kind.OVERLOADED
    assert refused.unwrap_err().retry_after_s > 0
    admission.release(first, controller.Outcome.ANSWERED, 0.01)
    assert low.failure is None


def test_call_that_cannot_finish_in_time_is_refused_early() -> None:
    """Guards against queueing a call whose deadline passes before it can finish."""
    admission = make_controller(1, 10)
    ticket = admission.offer(make_call(READ, 9.0), 0.0).unwrap()
    admission.release(ticket, controller.Outcome.ANSWERED, 0.08)
    admission.offer(make_call(READ, 9.0), 0.1).unwrap()
    refused = admission.offer(make_call(READ, 0.2), 0.1)
    assert refused.unwrap_err().kind is errors.Kind.OVERLOADED


def test_stalled_endpoint_refuses_calls_early() -> None:
    """Guards against a queue that fills while the server is paused."""
    admission = make_controller(1, 10)
    ticket = admission.offer(make_call(READ, 9.0), 0.0).unwrap()
    admission.release(ticket, controller.Outcome.ANSWERED, 0.01)
    admission.offer(make_call(READ, 9.0), 5.0).unwrap()
    assert isinstance(admission.offer(make_call(READ, 9.0), 5.001), Ok)
    refused = admission.offer(make_call(READ, 9.0), 6.0)
    assert refused.unwrap_err().retry_after_s >= 0.9


def test_waiter_past_its_deadline_never_starts() -> None:
    """Guards against starting a call after its caller received not-run."""
    admission = make_controller(1, 10)
    ticket = admission.offer(make_call(READ, 9.0), 0.0).unwrap()
    late = admission.offer(make_call(READ, 0.05), 0.0).unwrap()
    admission.release(ticket, controller.Outcome.ANSWERED, 0.06)
    assert late.failure.kind is errors.Kind.DEADLINE_NOT_RUN
    assert admission.load_report(0.06).running == 0


def test_draining_refuses_new_calls_and_runs_queued_ones() -> None:
    """Guards against admitting calls while draining, and against losing queued ones."""
    admission = make_controller(1, 10)
    ticket = admission.offer(make_call(READ, 9.0), 0.0).unwrap()
    waiter = admission.offer(make_call(READ, 9.0), 0.0).unwrap()
    admission.start_draining()
    refused = admission.offer(make_call(READ, 9.0), 0.0)
    assert isinstance(refused, Err)
    assert refused.err_value.kind is errors.Kind.LEAVING
    assert admission.load_report(0.0).leaving
    admission.release(ticket, controller.Outcome.ANSWERED, 0.01)
    assert waiter.admitted


@pytest.mark.parametrize(("share", "expected"), [(ORDER, 32), (READ, 4), (REPORT, 1)])
def test_weight_multiplies_the_share_of_the_priority(
    share: model.Operation, expected: int
) -> None:
    """Guards against ignoring the weight of an operation."""
    assert fair_queue.share_of(share) == expected


def test_published_slots_take_effect_on_waiters() -> None:
    """Guards against a change of the slots that takes effect only at a restart."""
    admission = make_controller(1, 10)
    admission.offer(make_call(READ, 9.0), 0.0).unwrap()
    waiter = admission.offer(make_call(READ, 9.0), 0.0).unwrap()
    admission.set_slots(2, controller.QueueBounds(4), 0.01)
    assert waiter.admitted
    assert admission.load_report(0.01).limit == 2
