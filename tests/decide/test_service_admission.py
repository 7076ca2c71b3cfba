from __future__ import annotations

import statistics

import pytest

from snipelink.decide import placement, queue_policy, service_admission
from tests.decide import service_replay

NOW = 10.0
WORK_S = 0.2
SEEDS = (1, 2, 3)
# Load outside and inside the burst, relative to the capacity.
LOAD = 0.7
BURST = 2.0 / LOAD
BURST_END_S = service_replay.SECONDS * 2 / 3


def _demand(**changes: float) -> queue_policy.Demand:
    values = {
        "work_s": WORK_S,
        "target": NOW + 0.6,
        "deadline": NOW + 4.0,
        "priority": 1,
        "arrived_at": NOW,
    }
    return queue_policy.Demand(**(values | changes))  # type: ignore[arg-type]


def _candidate(
    *, running: int = 4, waiting: int = 8, age_s: float = 0.05, slowness: float = 1.0
) -> placement.Candidate:
    return placement.Candidate(
        "i-1", True, running, waiting, 4, slowness, 1.0, age_s=age_s
    )


def _find_room(
    *candidates: placement.Candidate,
    share_ahead: float = 1.0,
    wait_factor: float = service_admission.SERVICE_WAIT_FACTOR,
    **changes: float,
) -> service_admission.Room:
    return service_admission.find_room(
        candidates,
        _demand(**changes),
        WORK_S,
        share_ahead,
        NOW,
        wait_factor=wait_factor,
    )


def test_service_whose_endpoints_are_all_full_has_no_room() -> None:
    room = _find_room(_candidate(), _candidate(waiting=10))
    assert not room.is_sufficient
    assert room.start_s == pytest.approx(9 * WORK_S / 4)


def test_one_endpoint_with_a_free_slot_is_room_enough() -> None:
    assert _find_room(_candidate(), _candidate(running=3, waiting=0)).is_sufficient


def test_calls_of_lower_priority_do_not_count_as_ahead() -> None:
    assert not _find_room(_candidate()).is_sufficient
    assert _find_room(_candidate(), share_ahead=0.1).is_sufficient


def test_call_may_wait_longer_at_the_service_than_at_an_endpoint() -> None:
    """Guards against refusals of calls that the node of an endpoint would queue."""
    demand = _demand()
    allowed_s = queue_policy.allowed_wait_s(demand, WORK_S, NOW)
    candidate = _candidate(waiting=5)
    start_s = service_admission.expected_start_s(candidate, demand, WORK_S, 1.0, NOW)
    assert allowed_s < start_s
    assert _find_room(candidate).is_sufficient
    assert not _find_room(candidate, wait_factor=1.0).is_sufficient


def test_refused_call_is_tried_only_where_it_can_start_in_time() -> None:
    factor = service_admission.RETRY_WAIT_FACTOR
    late = _candidate(waiting=5)
    timely = _candidate(waiting=2)
    assert _find_room(late).is_sufficient
    assert not _find_room(late, wait_factor=factor).is_sufficient
    assert _find_room(late, timely, wait_factor=factor).is_sufficient


def test_call_that_no_endpoint_can_finish_in_time_has_no_room() -> None:
    room = _find_room(_candidate(running=0, waiting=0), deadline=NOW + 0.1)
    assert not room.is_sufficient
    assert room.start_s > 0.0


def test_slow_endpoint_is_no_room_for_a_call_with_a_near_deadline() -> None:
    slow = _candidate(running=0, waiting=0, slowness=7.0)
    assert not _find_room(slow, target=NOW + 0.4, deadline=NOW + 0.5).is_sufficient
    assert _find_room(slow).is_sufficient


@pytest.mark.parametrize(
    "ages_s",
    [
        (),
        (placement.FRESH_REPORT_S + 0.1,),
        (placement.SILENT_NODE_S + 0.1,) * 3,
        (0.05, placement.FRESH_REPORT_S + 0.1, placement.FRESH_REPORT_S + 0.1),
    ],
)
def test_nothing_is_refused_without_fresh_reports(ages_s: tuple[float, ...]) -> None:
    """Guards against refusals by a node that has just started or is cut off."""
    assert _find_room(*(_candidate(age_s=age_s) for age_s in ages_s)).is_sufficient


def test_silent_endpoint_has_no_room() -> None:
    silent = _candidate(running=0, waiting=0, age_s=placement.SILENT_NODE_S + 0.1)
    assert not _find_room(_candidate(), silent).is_sufficient


def test_outdated_report_of_a_free_slot_counts_as_room() -> None:
    outdated = _candidate(running=0, waiting=0, age_s=placement.FRESH_REPORT_S + 0.1)
    assert _find_room(_candidate(), _candidate(), outdated).is_sufficient


def _recovered_ratio(monkeypatch: pytest.MonkeyPatch, *, by_service: bool) -> float:
    """Return the goodput from 1 s after a burst on, relative to that before it."""
    before, after = [], []
    for seed in SEEDS:
        _, calls = service_replay.run(
            monkeypatch, by_service=by_service, load=LOAD, burst=BURST, seed=seed
        )
        before.append(service_replay.goodput(calls, 1.0, 3.0))
        after.append(
            service_replay.goodput(calls, BURST_END_S + 1.0, BURST_END_S + 2.0)
        )
    return statistics.mean(after) / statistics.mean(before)


def test_goodput_of_80_nodes_is_back_one_second_after_a_burst(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against returning callers that keep all endpoints full after a burst."""
    assert _recovered_ratio(monkeypatch, by_service=True) >= 0.9
    assert _recovered_ratio(monkeypatch, by_service=False) < 0.8


def test_refused_calls_try_fewer_endpoints(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a tour of all endpoints while none has room."""
    policies = {}
    for by_service in (True, False):
        policies[by_service], _ = service_replay.run(
            monkeypatch, by_service=by_service, load=LOAD, burst=BURST
        )
    attempts = {
        by_service: statistics.mean(policy.attempts_of_refused)
        for by_service, policy in policies.items()
    }
    assert attempts[False] == service_replay.MAX_ATTEMPTS
    assert attempts[True] < 0.6 * attempts[False]
    assert all(
        seconds == 0.0
        for seconds, count in zip(
            policies[True].refusal_times_s,
            policies[True].attempts_of_refused,
            strict=True,
        )
        if count == 0
    )


def test_service_with_room_refuses_no_more_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusals at the usual load, where single endpoints are full."""
    refused = {}
    for by_service in (True, False):
        refused[by_service] = 0
        for seed in SEEDS:
            _, calls = service_replay.run(
                monkeypatch, by_service=by_service, load=0.6, burst=1.0, seed=seed
            )
            refused[by_service] += sum(call.refused for call in calls)
    assert refused[True] <= refused[False] + 3
