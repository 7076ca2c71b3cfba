from __future__ import annotations

import random
from typing import Any

import pytest

from snipelink.decide import internal_operations

NOW = 100.0
SERVICES = ("readings", "readings", "readings", "routes")


def _record(
    learner: internal_operations.InternalOperations,
    operation: str,
    now: float,
    *,
    count: int = internal_operations.SAMPLE_COUNT,
    service: str = "readings",
    beside_running: bool = True,
) -> None:
    for _ in range(count):
        learner.record(operation, service, beside_running=beside_running, now=now)


def _learner_of_callers() -> internal_operations.InternalOperations:
    """Return a learner that has seen callers of `fetch` at nodes of two services."""
    learner = internal_operations.InternalOperations()
    _record(learner, "fetch", NOW, count=1, service="readings")
    _record(learner, "fetch", NOW, count=1, service="routes")
    return learner


def test_operation_is_internal_after_enough_calls_beside_running_requests() -> None:
    learner = _learner_of_callers()
    _record(learner, "index", NOW, count=internal_operations.SAMPLE_COUNT - 1)
    assert not learner.is_internal("index", NOW)
    _record(learner, "index", NOW, count=1)
    assert learner.is_internal("index", NOW)
    assert not learner.is_internal("fetch", NOW)
    assert not learner.is_internal("unknown", NOW)


def test_no_operation_is_internal_while_one_service_makes_all_calls() -> None:
    learner = internal_operations.InternalOperations()
    _record(learner, "index", NOW)
    assert not learner.is_internal("index", NOW)
    _record(learner, "fetch", NOW, count=1, service="routes")
    assert learner.is_internal("index", NOW)


@pytest.mark.parametrize(
    ("changes", "duration_s"),
    [
        ({"beside_running": False}, internal_operations.CALLER_OPERATION_S),
        ({"service": "routes"}, internal_operations.USER_S),
    ],
    ids=["idle endpoint", "node of another service"],
)
def test_one_call_of_a_caller_ends_precedence(
    changes: dict[str, Any], duration_s: float
) -> None:
    learner = _learner_of_callers()
    _record(learner, "index", NOW)
    _record(learner, "index", NOW, count=1, **changes)
    assert not learner.is_internal("index", NOW)
    _record(learner, "index", NOW + duration_s - 0.1)
    assert not learner.is_internal("index", NOW + duration_s - 0.1)
    _record(learner, "index", NOW + duration_s)
    assert learner.is_internal("index", NOW + duration_s)


def test_operation_stays_internal_when_its_users_move_to_another_service() -> None:
    """Guards against the loss of precedence while traffic is split."""
    learner = _learner_of_callers()
    _record(learner, "fetch", NOW, count=1, service="copies")
    _record(learner, "index", NOW)
    _record(learner, "index", NOW + 1.0, count=1, service="copies")
    assert learner.is_internal("index", NOW + 1.0)
    _record(learner, "index", NOW + 20.0, count=1, service="copies")
    assert learner.is_internal("index", NOW + 20.0)


def test_operation_of_callers_under_full_load_is_not_taken_for_internal() -> None:
    """All endpoints run requests, so only the callers' places tell them apart."""
    rng = random.Random(1)
    learner = internal_operations.InternalOperations()
    for index in range(5000):
        now = NOW + index * 0.05
        _record(learner, "fetch", now, count=1, service=rng.choice(SERVICES))
        assert not learner.is_internal("fetch", now)


def test_operation_of_callers_of_one_service_is_told_by_idle_endpoints() -> None:
    rng = random.Random(1)
    learner = _learner_of_callers()
    _record(learner, "submit", NOW, count=1, beside_running=False)
    for index in range(5000):
        now = NOW + index * 0.05
        beside_running = rng.random() < 0.9
        _record(learner, "submit", now, count=1, beside_running=beside_running)
        assert not learner.is_internal("submit", now)


def test_operation_is_learnt_anew_after_a_restart() -> None:
    learner = internal_operations.InternalOperations()
    _record(learner, "fetch", NOW, count=1, service="routes")
    _record(learner, "index", NOW, count=internal_operations.SAMPLE_COUNT - 1)
    assert not learner.is_internal("index", NOW)
    _record(learner, "index", NOW, count=1)
    assert learner.is_internal("index", NOW)


def test_remembered_operations_are_bounded() -> None:
    learner = _learner_of_callers()
    _record(learner, "index", NOW)
    for number in range(internal_operations.MAX_OPERATIONS):
        _record(learner, f"other-{number}", NOW, count=1)
    assert not learner.is_internal("index", NOW)
    assert not learner.is_internal("other-0", NOW)


def test_calls_of_nodes_that_tell_no_operation_are_ignored() -> None:
    learner = _learner_of_callers()
    _record(learner, "", NOW)
    assert not learner.is_internal("", NOW)


def _unserved(count: int) -> internal_operations.Dependencies:
    dependencies = internal_operations.Dependencies()
    dependencies.record_call("index", {"submit"}, NOW)
    for _ in range(count):
        dependencies.record_outcome("index", unserved=True, now=NOW)
    return dependencies


def test_requests_are_refused_while_their_internal_calls_are() -> None:
    dependencies = _unserved(8)
    assert dependencies.unserved_operation("submit", NOW) == "index"
    assert dependencies.unserved_operation("lookup", NOW) is None


def test_single_refused_internal_calls_refuse_no_requests() -> None:
    dependencies = _unserved(1)
    dependencies.record_outcome("index", unserved=False, now=NOW)
    assert dependencies.unserved_operation("submit", NOW) is None


def test_some_requests_run_to_notice_that_their_calls_are_served_again() -> None:
    dependencies = _unserved(30)
    later = NOW + 2.0 * internal_operations.UNSERVED_HALF_LIFE_S
    assert dependencies.unserved_operation("submit", later) is None
    for _ in range(2):
        dependencies.record_outcome("index", unserved=True, now=later)
    assert dependencies.unserved_operation("submit", later) == "index"


def test_answered_internal_calls_let_requests_run() -> None:
    dependencies = _unserved(30)
    for _ in range(3):
        dependencies.record_outcome("index", unserved=False, now=NOW)
    assert dependencies.unserved_operation("submit", NOW) is None


def test_internal_call_beside_several_operations_is_attributed_to_none() -> None:
    dependencies = internal_operations.Dependencies()
    dependencies.record_call("index", {"submit", "lookup"}, NOW)
    for _ in range(8):
        dependencies.record_outcome("index", unserved=True, now=NOW)
    assert dependencies.unserved_operation("submit", NOW) is None
    assert dependencies.unserved_operation("lookup", NOW) is None


def test_known_internal_calls_of_an_operation_expire() -> None:
    dependencies = _unserved(0)
    later = NOW + internal_operations.DEPENDENCY_S
    for _ in range(8):
        dependencies.record_outcome("index", unserved=True, now=later)
    assert dependencies.unserved_operation("submit", later) is None


def test_operations_that_are_no_longer_published_are_removed() -> None:
    dependencies = _unserved(8)
    dependencies.retain({"submit", "index"})
    assert dependencies.unserved_operation("submit", NOW) == "index"
    dependencies.retain({"submit"})
    for _ in range(8):
        dependencies.record_outcome("index", unserved=True, now=NOW)
    assert dependencies.unserved_operation("submit", NOW) is None


def _replay_outage(*, refuses_requests: bool) -> tuple[int, int, int]:
    """Replay requests whose internal calls are refused from second 3 to second 7.

    Returns
    -------
    failed : int
        Requests that ran and failed because of their internal call.
    before, after : int
        Requests that were answered before the outage, and from second 8 to second 11.
    """
    rng = random.Random(3)
    dependencies = internal_operations.Dependencies()
    calls_in_flight: list[float] = []
    failed = before = after = 0
    for index in range(220):
        now = index * 0.05
        for called_at in [at for at in calls_in_flight if at <= now]:
            calls_in_flight.remove(called_at)
            is_refused = 3.0 <= called_at < 7.0
            dependencies.record_call("index", {"submit"}, called_at)
            dependencies.record_outcome("index", unserved=is_refused, now=called_at)
            failed += is_refused
        if refuses_requests and dependencies.unserved_operation("submit", now):
            continue
        before += now < 2.9
        after += now >= 8.0
        if rng.random() < 0.7:
            calls_in_flight.append(now + 0.15)
    return failed, before, after


def test_fewer_requests_run_in_vain_while_their_internal_calls_are_refused() -> None:
    failed_without, before_without, after_without = _replay_outage(
        refuses_requests=False
    )
    failed, before, after = _replay_outage(refuses_requests=True)
    assert (before, after) == (before_without, after_without)
    assert failed < 0.6 * failed_without
