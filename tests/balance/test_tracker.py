from __future__ import annotations

import random

import hypothesis
import hypothesis.strategies as st

from snipelink import errors, model
from snipelink.balance import adaptive_policy, ejection, endpoint_stats, tracker
from tests.balance import helpers

ENDPOINTS = helpers.make_endpoints(5)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(["call", "answer", "fail", "restart", "retain"]),
            st.integers(0, 4),
            st.floats(0, 3),
            st.sampled_from(list(errors.Kind)),
        ),
        max_size=80,
    )
)
@hypothesis.settings(max_examples=150, derandomize=True, deadline=None)
def test_in_flight_counts_and_ejection_cap_hold_for_any_events(steps: list) -> None:
    """Guards against leaked in-flight attempts and against too many ejections."""
    endpoint_tracker = tracker.Tracker(0.0)
    balancer = adaptive_policy.AdaptivePolicy(endpoint_tracker, "d0", "r")
    rng = random.Random(5)
    now = 0.0
    attempts: list[endpoint_stats.Attempt] = []
    for action, index, delay, kind in steps:
        now += delay
        if action == "call":
            chosen = balancer.choose(ENDPOINTS, now, rng)
            if chosen is not None:
                attempts.append(endpoint_tracker.on_start(chosen, "read", now))
        elif action in ("answer", "fail") and attempts:
            attempt = attempts.pop(index % len(attempts))
            if action == "answer":
                endpoint_tracker.on_answer(attempt, now, model.LoadReport(1, 0, 10))
            else:
                endpoint_tracker.on_failure(attempt, errors.Failure(kind), now)
        elif action == "restart":
            endpoint_tracker.on_restart(ENDPOINTS[index], now)
            name = ENDPOINTS[index].name
            attempts = [a for a in attempts if a.endpoint != name]
        elif action == "retain":
            endpoint_tracker.retain([e.name for e in ENDPOINTS])
        for endpoint in ENDPOINTS:
            expected = sum(a.endpoint == endpoint.name for a in attempts)
            assert endpoint_tracker.in_flight(endpoint.name) == expected
        rows = balancer.explain(ENDPOINTS, now)
        ejected = sum(row.state in ("ejected", "trial") for row in rows)
        assert ejected <= ejection.max_ejected_count(len(ENDPOINTS))


def test_outcome_from_before_a_restart_is_ignored() -> None:
    """Guards against charging a restarted endpoint with an earlier attempt."""
    endpoint_tracker = tracker.Tracker(0.0)
    attempt = endpoint_tracker.on_start(ENDPOINTS[0], "read", 0.0)
    endpoint_tracker.on_restart(ENDPOINTS[0], 1.0)
    endpoint_tracker.on_failure(attempt, errors.Failure(errors.Kind.UNREACHABLE), 1.1)
    with endpoint_tracker.lock:
        assert endpoint_tracker.stats_of(ENDPOINTS[0], 1.1).failure_share == 0.0


def test_older_report_does_not_replace_a_newer_one() -> None:
    """Guards against a gossiped report that replaces a newer one from an answer."""
    endpoint_tracker = tracker.Tracker(0.0)
    attempt = endpoint_tracker.on_start(ENDPOINTS[0], "read", 1.0)
    endpoint_tracker.on_answer(attempt, 1.1, model.LoadReport(9, 2, 10))
    endpoint_tracker.on_report(ENDPOINTS[0], model.LoadReport(0, 0, 10), 0.2, 1.2)
    with endpoint_tracker.lock:
        assert endpoint_tracker.stats_of(ENDPOINTS[0], 1.2).other_calls == 11.0


def test_costly_operation_does_not_make_an_endpoint_slow() -> None:
    """Guards against ejecting an endpoint because it runs a costly operation."""
    endpoint_tracker = tracker.Tracker(0.0)
    for step in range(200):
        for endpoint, operation, latency in (
            (ENDPOINTS[0], "report", 1.0),
            (ENDPOINTS[1], "read", 0.01),
        ):
            attempt = endpoint_tracker.on_start(endpoint, operation, step * 2.0)
            endpoint_tracker.on_answer(attempt, step * 2.0 + latency)
    with endpoint_tracker.lock:
        costly = endpoint_tracker.stats_of(ENDPOINTS[0], 400.0)
        assert costly.current_slowness(400.0) < 1.5
        assert (
            endpoint_tracker.eject_if_unhealthy(costly, 400.0)
            is endpoint_stats.EjectionState.ACTIVE
        )
