from __future__ import annotations

import contextlib
import dataclasses
import typing

import pytest

from snipelink import errors
from snipelink.decide import internal_operations
from snipelink.mesh import calls, catalog, internal_calls, published_state
from snipelink.observe import metrics
from snipelink.session import http
from tests.mesh import fleet

NOW = 100.0
SLOTS_BY_SERVICE = {"rota": 3, "records": 2, "archive": 9}


def _tracker(**changes: typing.Any) -> internal_calls.InternalCalls:
    """Return the tracker of a node that started long before `NOW`."""
    own = fleet.make_member("rota", fleet.FakeStore()).node._settings
    published = catalog.Catalog(2.0)
    instances = tuple(
        published_state.Instance(
            f"i-{service}", service, "10.0.0.1", "a", leaving=False, slots=slot_count
        )
        for service, slot_count in SLOTS_BY_SERVICE.items()
    )
    published.apply_snapshot(published_state.PublishedState(1, None, instances), NOW)
    own = dataclasses.replace(own, **changes)
    return internal_calls.InternalCalls(own, published, metrics.Metrics(), 0.0)


def _call(
    service: str = "rota",
    operation: str = "index",
    caller_service: str = "readings",
    **changes: typing.Any,
) -> calls.Call:
    call = calls.Call(
        "c1",
        service,
        operation,
        "GET",
        "/view/1",
        [],
        b"",
        NOW,
        NOW + 0.2,
        NOW + 1.0,
        1,
        True,
        0.05,
        caller_service,
    )
    return dataclasses.replace(call, **changes)


def _teach(tracker: internal_calls.InternalCalls, **changes: typing.Any) -> None:
    tracker.classify(_call(operation="fetch", caller_service="archive"), NOW)
    for _ in range(internal_operations.SAMPLE_COUNT):
        call = _call(beside_running=True, may_precede=True, **changes)
        tracker.classify(call, NOW)


def test_call_beside_a_running_request_is_told_from_one_beside_an_idle_endpoint() -> (
    None
):
    tracker = _tracker()
    idle, busy = _call(), _call()
    with tracker.passing_on(idle):
        pass
    with tracker.running(_call(operation="submit")), tracker.passing_on(busy):
        pass
    assert (idle.beside_running, idle.may_precede) == (False, False)
    assert (busy.beside_running, busy.may_precede) == (True, True)


@pytest.mark.parametrize(
    ("has_ended", "at", "beside_running"),
    [
        (True, NOW + internal_calls.RUN_GRACE_S / 2, True),
        (True, NOW + internal_calls.RUN_GRACE_S * 2, False),
        (False, NOW + 0.9, True),
        (False, NOW + 1.1 + internal_calls.RUN_GRACE_S, False),
    ],
)
def test_request_that_was_given_up_counts_as_running_until_its_deadline(
    has_ended: bool, at: float, beside_running: bool
) -> None:
    """Guards against the loss of precedence while requests reach their deadlines."""
    tracker = _tracker()
    tracker.on_run_ended(_call(operation="submit"), has_ended=has_ended, now=NOW)
    call = _call(arrived_at=at)
    with tracker.passing_on(call):
        pass
    assert call.beside_running is beside_running


def test_requests_of_the_former_process_of_a_node_may_still_run() -> None:
    tracker = _tracker()
    early = _call(arrived_at=internal_calls.RESTART_GRACE_S / 2)
    with tracker.passing_on(early):
        pass
    assert early.beside_running


def test_operation_is_internal_only_at_services_with_few_slots() -> None:
    tracker = _tracker()
    _teach(tracker)
    assert tracker.classify(_call(beside_running=True), NOW)
    _teach(tracker, service="archive", operation="other")
    call = _call("archive", operation="other", beside_running=True)
    assert not tracker.classify(call, NOW)
    with tracker.running(_call(operation="submit")), tracker.passing_on(call):
        assert not call.may_precede


def test_calls_of_an_internal_operation_with_precedence_are_bounded() -> None:
    """Guards against a caller that gains precedence beside a running request."""
    tracker = _tracker()
    sent = [_call() for _ in range(20)]
    with contextlib.ExitStack() as running:
        running.enter_context(tracker.running(_call(operation="submit")))
        running.enter_context(tracker.running(_call(operation="submit")))
        for call in sent:
            running.enter_context(tracker.passing_on(call))
    limit = 2 * internal_calls.MAX_INTERNAL_PER_RUNNING
    assert [call.may_precede for call in sent] == [True] * limit + [False] * (
        20 - limit
    )
    with tracker.running(_call(operation="submit")), tracker.passing_on(sent[0]):
        assert sent[0].may_precede


def test_requests_are_refused_while_their_internal_calls_are_not_served() -> None:
    tracker = _tracker()
    refused = calls.failed_outcome(errors.Kind.OVERLOADED, "would start in 1 s")
    refused = dataclasses.replace(refused, internal=True)
    submit = _call("records", "submit")
    for _ in range(9):
        call = _call()
        with tracker.running(submit), tracker.passing_on(call):
            tracker.on_outcome(call, refused, NOW)
    assert tracker.unserved_operation(submit, NOW) == "index"
    assert tracker.unserved_operation(_call("records", "lookup"), NOW) is None
    answered = calls.Outcome(http.Response(200, []), reached=True)
    for _ in range(3):
        with tracker.running(submit), tracker.passing_on(call):
            tracker.on_outcome(call, answered, NOW)
    assert tracker.unserved_operation(submit, NOW) is None


def _unserved(tracker: internal_calls.InternalCalls, **changes: typing.Any) -> None:
    """Let calls of requests of the operation `submit` fail."""
    refused = calls.failed_outcome(errors.Kind.OVERLOADED, "would start in 1 s")
    refused = dataclasses.replace(refused, internal=True)
    for _ in range(9):
        call = _call(**changes)
        with tracker.running(_call("records", "submit")), tracker.passing_on(call):
            tracker.on_outcome(call, refused, NOW)


def test_requests_of_a_service_with_many_slots_run_though_their_calls_fail() -> None:
    tracker = _tracker()
    _unserved(tracker)
    assert tracker.unserved_operation(_call("records", "submit"), NOW) == "index"
    assert tracker.unserved_operation(_call("archive", "submit"), NOW) is None


def test_calls_that_had_no_time_refuse_no_requests() -> None:
    """Guards against a caller that has requests refused by calls that must fail."""
    tracker = _tracker()
    _unserved(tracker, deadline=NOW + 0.001)
    assert tracker.unserved_operation(_call("records", "submit"), NOW) is None


def test_requests_that_state_no_operation_are_not_refused() -> None:
    """Guards against the refusal of all requests of a node of an older version."""
    tracker = _tracker()
    refused = calls.failed_outcome(errors.Kind.OVERLOADED, "would start in 1 s")
    refused = dataclasses.replace(refused, internal=True)
    unnamed = _call("records", "")
    for _ in range(9):
        call = _call()
        with tracker.running(unnamed), tracker.passing_on(call):
            tracker.on_outcome(call, refused, NOW)
    assert tracker.unserved_operation(unnamed, NOW) is None


def test_failed_calls_of_an_ordinary_operation_refuse_no_requests() -> None:
    tracker = _tracker()
    refused = calls.failed_outcome(errors.Kind.OVERLOADED, "would start in 1 s")
    submit = _call("records", "submit")
    for _ in range(9):
        call = _call()
        with tracker.running(submit), tracker.passing_on(call):
            tracker.on_outcome(call, refused, NOW)
    assert tracker.unserved_operation(submit, NOW) is None


def test_verdicts_are_counted_for_calls_with_precedence_only() -> None:
    tracker = _tracker()
    tracker.record_verdict(_call(is_internal=True), "waited")
    tracker.record_verdict(_call(), "waited")
    assert tracker.verdicts.values() == {("rota", "waited"): 1}


def test_calls_that_may_be_of_given_up_requests_teach_nothing() -> None:
    """Guards against precedence for callers after many nodes have restarted."""
    tracker = _tracker()
    early = _call(arrived_at=internal_calls.RESTART_GRACE_S / 2)
    with tracker.passing_on(early):
        assert (early.beside_running, early.may_precede) == (True, False)
    tracker.classify(_call(operation="fetch", caller_service="archive"), NOW)
    for _ in range(internal_operations.SAMPLE_COUNT):
        assert not tracker.classify(early, NOW)
    assert not tracker.classify(early, NOW)
    _teach(tracker)
    assert tracker.classify(early, NOW)
