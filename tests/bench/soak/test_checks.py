"""Each check must detect its violation and report no others.

Each test adds one violation to a history without violations.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from bench.soak import checks, history

NOW = 100.0


def _call_record(call_id: str, **overrides: Any) -> history.CallRecord:
    values: dict[str, Any] = {
        "call_id": call_id,
        "node": 0,
        "path": "/claim/",
        "idempotent": False,
        "sent_at": NOW,
        "ended_at": NOW + 0.1,
        "outcome": history.Outcome.ANSWERED,
        "status": 200,
    }
    return history.CallRecord(**(values | overrides))


def _history_without_violations() -> history.History:
    """Return a history that violates no invariant."""
    recorded = history.History(
        drain_s=2.0, route_apply_s=2.0, grace_s=3.0, timeout_s=1.0
    )
    recorded.recovery_deadline = NOW + 20.0
    for index in range(checks.MIN_RECOVERED_CALL_COUNT):
        recorded.calls.append(_call_record(f"late-{index}", sent_at=NOW + 21.0))
        recorded.executions.append(
            history.Execution(f"late-{index}", "i-1", NOW + 21.0)
        )
    recorded.calls.append(_call_record("c-1"))
    recorded.executions.append(history.Execution("c-1", "i-1", NOW + 0.05))
    recorded.withdrawals.append(history.Withdrawal("i-2", NOW))
    recorded.executions.append(history.Execution("c-2", "i-2", NOW + 1.0))
    recorded.route_publications.append(history.RoutePublication("/new/", NOW))
    recorded.process_exits.append(history.ProcessExit(1, NOW, "TERM", 0, 2.6))
    return recorded


def _add_repeated_execution(recorded: history.History) -> None:
    recorded.executions.append(history.Execution("c-1", "i-3", NOW + 0.2))


def _add_executed_refusal(recorded: history.History) -> None:
    recorded.calls.append(_call_record("c-3", status=503))
    recorded.executions.append(history.Execution("c-3", "i-1", NOW))


def _add_misdirected_execution(recorded: history.History) -> None:
    recorded.service_by_path = {"/claim/": "front", "/list/": "back"}
    recorded.calls.append(_call_record("c-3", path="/list/"))
    recorded.executions.append(history.Execution("c-3", "i-1", NOW, "front"))


def _add_invalid_answer(recorded: history.History) -> None:
    recorded.calls.append(_call_record("c-3", is_intact=False))


def _add_unanswered_call(recorded: history.History) -> None:
    outcome = history.Outcome.TIMED_OUT
    recorded.calls.append(
        _call_record("c-3", status=0, outcome=outcome, ended_at=NOW + 2.0)
    )


def _add_call_cut_off_by_shutdown(recorded: history.History) -> None:
    recorded.fault_intervals.append(
        history.FaultInterval(None, "stop", NOW, NOW + 3.0, True)
    )
    recorded.calls.append(_call_record("c-3", status=0, outcome=history.Outcome.CLOSED))
    recorded.executions.append(history.Execution("c-3", "i-1", NOW))


def _add_call_to_withdrawn_endpoint(recorded: history.History) -> None:
    recorded.executions.append(
        history.Execution("c-3", "i-2", NOW + 2.0 + checks.SCHEDULING_SLACK_S + 0.1)
    )


def _add_call_to_unapplied_route(recorded: history.History) -> None:
    late = NOW + 2.0 + checks.SCHEDULING_SLACK_S + 0.1
    recorded.calls.append(_call_record("c-3", path="/new/", status=404, sent_at=late))


def _add_exit_without_signal(recorded: history.History) -> None:
    recorded.process_exits.append(history.ProcessExit(0, NOW, "", 1, 0.0))


def _add_late_shutdown(recorded: history.History) -> None:
    recorded.process_exits.append(
        history.ProcessExit(0, NOW, "TERM", -9, 3.0 + checks.SCHEDULING_SLACK_S + 0.1)
    )


def _add_failed_calls_after_recovery(recorded: history.History) -> None:
    for _ in range(3):
        recorded.calls.append(
            _call_record("late", status=503, sent_at=recorded.recovery_deadline + 1.0)
        )


def _remove_calls_after_recovery(recorded: history.History) -> None:
    recorded.calls = [
        call for call in recorded.calls if call.sent_at < recorded.recovery_deadline
    ]


VIOLATIONS_BY_INVARIANT: dict[str, Callable[[history.History], None]] = {
    "no call runs twice that may run only once": _add_repeated_execution,
    "a refused call has not run": _add_executed_refusal,
    "a call runs at its service": _add_misdirected_execution,
    "a success is the endpoint's answer to this call": _add_invalid_answer,
    "a call has an answer by its time limit": _add_unanswered_call,
    "a stop cuts off no call that an endpoint runs": _add_call_cut_off_by_shutdown,
    "a withdrawn endpoint gets no calls": _add_call_to_withdrawn_endpoint,
    "a published route is in force": _add_call_to_unapplied_route,
    "no node ends by itself": _add_exit_without_signal,
    "a stop ends in the grace period": _add_late_shutdown,
    "callers are served after the faults": _add_failed_calls_after_recovery,
}


def test_history_without_violations_passes_all_checks() -> None:
    assert checks.check(_history_without_violations()) == []


@pytest.mark.parametrize("invariant", VIOLATIONS_BY_INVARIANT)
def test_added_violation_is_the_only_one_reported(invariant: str) -> None:
    recorded = _history_without_violations()
    VIOLATIONS_BY_INVARIANT[invariant](recorded)
    assert {found.invariant for found in checks.check(recorded)} == {invariant}


def test_history_without_calls_after_recovery_is_a_violation() -> None:
    recorded = _history_without_violations()
    _remove_calls_after_recovery(recorded)
    assert checks.check(recorded)


@pytest.mark.parametrize(
    "add_violation",
    [
        _add_unanswered_call,
        _add_call_cut_off_by_shutdown,
        _add_call_to_withdrawn_endpoint,
        _add_call_to_unapplied_route,
    ],
)
def test_time_limits_are_not_checked_during_an_unplanned_fault(
    add_violation: Callable[[history.History], None],
) -> None:
    recorded = _history_without_violations()
    add_violation(recorded)
    recorded.fault_intervals.append(
        history.FaultInterval(0, "freeze", NOW - 2.0, NOW + 1.0)
    )
    assert checks.check(recorded) == []


@pytest.mark.parametrize(
    "add_violation",
    [_add_repeated_execution, _add_executed_refusal, _add_invalid_answer],
)
def test_correctness_is_checked_during_unplanned_faults(
    add_violation: Callable[[history.History], None],
) -> None:
    recorded = _history_without_violations()
    add_violation(recorded)
    recorded.fault_intervals.append(
        history.FaultInterval(None, "kill", NOW - 2.0, NOW + 9.0)
    )
    assert len(checks.check(recorded)) == 1


def test_abandoned_calls_do_not_count_against_recovery() -> None:
    recorded = _history_without_violations()
    for _ in range(20):
        outcome = history.Outcome.ABANDONED
        call = _call_record(
            "late", status=0, outcome=outcome, sent_at=recorded.recovery_deadline + 1.0
        )
        recorded.calls.append(call)
    assert checks.check(recorded) == []
