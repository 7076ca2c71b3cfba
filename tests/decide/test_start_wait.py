from __future__ import annotations

import pytest

from snipelink.decide import queue_policy, return_schedule, start_wait

WORK_S = 0.1
TARGET_S = 0.4
DEADLINE_S = 1.5
# Times after the start of a node at which it has its configuration and hears of the
# first endpoint, seconds.
CONFIGURED_S = 0.1
ENDPOINT_S = 0.25


def _demand(arrived_at: float, work_s: float = WORK_S) -> queue_policy.Demand:
    return queue_policy.Demand(
        work_s, arrived_at + TARGET_S, arrived_at + DEADLINE_S, 1, arrived_at
    )


def _ends_at(arrived_at: float, *, may_wait: bool) -> float:
    """Return when a call that reaches a starting node is answered."""
    demand, now = _demand(arrived_at), arrived_at
    while now < ENDPOINT_S:
        configured_s = now - CONFIGURED_S
        if configured_s < 0.0:
            wait_s = start_wait.for_configuration_s(DEADLINE_S)
            is_allowed = CONFIGURED_S - arrived_at <= wait_s
        else:
            is_allowed = start_wait.may_wait_for_endpoint(demand, configured_s, now)
        if not (may_wait and is_allowed):
            # The caller returns as late as callers of such a limit do.
            now += DEADLINE_S * return_schedule.MAX_WAIT_RATIO
            break
        now += start_wait.CHECK_INTERVAL_S
    return now + WORK_S


def test_calls_at_a_starting_node_are_in_time_that_would_return_too_late() -> None:
    """Replays the calls that reach a node between its start and its first endpoint."""
    arrivals = [index * 0.01 for index in range(round(ENDPOINT_S / 0.01))]

    def in_time(*, may_wait: bool) -> float:
        ends = [_ends_at(at, may_wait=may_wait) for at in arrivals]
        met = [
            end <= at + TARGET_S + start_wait.CHECK_INTERVAL_S
            for at, end in zip(arrivals, ends, strict=True)
        ]
        return sum(met) / len(met)

    assert in_time(may_wait=False) == 0.0
    assert in_time(may_wait=True) > 0.9


def test_call_waits_only_while_it_can_be_in_time() -> None:
    demand = _demand(0.0)
    last_start = TARGET_S - WORK_S
    assert start_wait.may_wait_for_endpoint(demand, 0.1, last_start - 0.05)
    assert not start_wait.may_wait_for_endpoint(demand, 0.1, last_start)


def test_calls_wait_only_at_a_node_that_has_just_started() -> None:
    settled_s = start_wait.ENDPOINT_SETTLE_S + 0.1
    assert not start_wait.may_wait_for_endpoint(_demand(0.0), settled_s, 0.0)


@pytest.mark.parametrize(
    ("remaining_s", "expected"),
    [(0.4, 0.1), (30.0, start_wait.MAX_CONFIGURATION_WAIT_S), (0.0, 0.0)],
)
def test_wait_for_the_configuration_leaves_time_for_the_call(
    remaining_s: float, expected: float
) -> None:
    assert start_wait.for_configuration_s(remaining_s) == pytest.approx(expected)
