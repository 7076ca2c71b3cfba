"""Each check finds a violation that was planted, and none where there is none."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from bench.soak import checks, history

NOW = 100.0


def _sent(call_id: str, **changes: Any) -> history.Sent:
    values: dict[str, Any] = {
        "call_id": call_id,
        "node": 0,
        "path": "/claim/",
        "idempotent": False,
        "sent_at": NOW,
        "ended_at": NOW + 0.1,
        "ending": history.Ending.ANSWERED,
        "status": 200,
    }
    return history.Sent(**(values | changes))


def _clean() -> history.History:
    """Return a history in which everything went well."""
    seen = history.History(drain_s=2.0, apply_s=2.0, grace_s=3.0, timeout_s=1.0)
    seen.calm_from = NOW + 20.0
    for index in range(checks.MIN_RECOVERED_CALLS):
        seen.sent.append(_sent(f"late-{index}", sent_at=NOW + 21.0))
        seen.ran.append(history.Ran(f"late-{index}", "i-1", NOW + 21.0))
    seen.sent.append(_sent("c-1"))
    seen.ran.append(history.Ran("c-1", "i-1", NOW + 0.05))
    seen.withdrawn.append(history.Withdrawn("i-2", NOW))
    seen.ran.append(history.Ran("c-2", "i-2", NOW + 1.0))
    seen.routes.append(history.RoutePublished("/new/", NOW))
    seen.exited.append(history.Exited(1, NOW, "TERM", 0, 2.6))
    return seen


def _run_twice(seen: history.History) -> None:
    seen.ran.append(history.Ran("c-1", "i-3", NOW + 0.2))


def _ran_though_refused(seen: history.History) -> None:
    seen.sent.append(_sent("c-3", status=503))
    seen.ran.append(history.Ran("c-3", "i-1", NOW))


def _wrong_answer(seen: history.History) -> None:
    seen.sent.append(_sent("c-3", is_intact=False))


def _unanswered(seen: history.History) -> None:
    ending = history.Ending.TIMED_OUT
    seen.sent.append(_sent("c-3", status=0, ending=ending, ended_at=NOW + 2.0))


def _cut_off(seen: history.History) -> None:
    seen.disturbed.append(history.Disturbed(None, "stop", NOW, NOW + 3.0, True))
    seen.sent.append(_sent("c-3", status=0, ending=history.Ending.CLOSED))
    seen.ran.append(history.Ran("c-3", "i-1", NOW))


def _sent_to_withdrawn(seen: history.History) -> None:
    seen.ran.append(history.Ran("c-3", "i-2", NOW + 2.0 + checks.SLACK_S + 0.1))


def _unknown_route(seen: history.History) -> None:
    late = NOW + 2.0 + checks.SLACK_S + 0.1
    seen.sent.append(_sent("c-3", path="/new/", status=404, sent_at=late))


def _ended_by_itself(seen: history.History) -> None:
    seen.exited.append(history.Exited(0, NOW, "", 1, 0.0))


def _stopped_late(seen: history.History) -> None:
    seen.exited.append(history.Exited(0, NOW, "TERM", -9, 3.0 + checks.SLACK_S + 0.1))


def _not_recovered(seen: history.History) -> None:
    for _ in range(3):
        seen.sent.append(_sent("late", status=503, sent_at=seen.calm_from + 1.0))


def _nobody_called(seen: history.History) -> None:
    seen.sent = [sent for sent in seen.sent if sent.sent_at < seen.calm_from]


PLANTED: dict[str, Callable[[history.History], None]] = {
    "no call runs twice that may run only once": _run_twice,
    "a refused call has not run": _ran_though_refused,
    "a success is the endpoint's answer to this call": _wrong_answer,
    "a call has an answer by its time limit": _unanswered,
    "a stop cuts off no call that an endpoint runs": _cut_off,
    "a withdrawn endpoint gets no calls": _sent_to_withdrawn,
    "a published route is in force": _unknown_route,
    "no node ends by itself": _ended_by_itself,
    "a stop ends in the grace period": _stopped_late,
    "callers are served after the faults": _not_recovered,
}


def test_history_without_faults_breaks_no_promise() -> None:
    assert checks.check(_clean()) == []


@pytest.mark.parametrize("promise", PLANTED)
def test_planted_violation_is_found_and_nothing_else(promise: str) -> None:
    seen = _clean()
    PLANTED[promise](seen)
    assert {found.promise for found in checks.check(seen)} == {promise}


def test_run_without_calls_after_the_faults_does_not_pass() -> None:
    seen = _clean()
    _nobody_called(seen)
    assert checks.check(seen)


@pytest.mark.parametrize(
    "plant", [_unanswered, _cut_off, _sent_to_withdrawn, _unknown_route]
)
def test_bounds_on_time_do_not_hold_beside_an_unplanned_fault(
    plant: Callable[[history.History], None],
) -> None:
    seen = _clean()
    plant(seen)
    seen.disturbed.append(history.Disturbed(0, "freeze", NOW - 2.0, NOW + 1.0))
    assert checks.check(seen) == []


@pytest.mark.parametrize("plant", [_run_twice, _ran_though_refused, _wrong_answer])
def test_no_fault_excuses_a_false_answer(
    plant: Callable[[history.History], None],
) -> None:
    seen = _clean()
    plant(seen)
    seen.disturbed.append(history.Disturbed(None, "kill", NOW - 2.0, NOW + 9.0))
    assert len(checks.check(seen)) == 1


def test_calls_whose_callers_left_are_not_owed_an_answer() -> None:
    seen = _clean()
    for _ in range(20):
        ending = history.Ending.LEFT
        sent = _sent("late", status=0, ending=ending, sent_at=seen.calm_from + 1.0)
        seen.sent.append(sent)
    assert checks.check(seen) == []
