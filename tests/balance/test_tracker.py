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
def test_counts_and_ejection_cap_hold_for_any_events(steps: list) -> None:
    """Guards against leaked calls in flight and against ejecting too many."""
    subject = tracker.Tracker(0.0)
    chooser = adaptive_policy.AdaptivePolicy(subject, "d0", "r")
    rng = random.Random(5)
    now = 0.0
    attempts: list[endpoint_stats.Attempt] = []
    for action, index, delay, kind in steps:
        now += delay
        if action == "call":
            chosen = chooser.choose(ENDPOINTS, now, rng)
            if chosen is not None:
                attempts.append(subject.on_start(chosen, "read", now))
        elif action in ("answer", "fail") and attempts:
            attempt = attempts.pop(index % len(attempts))
            if action == "answer":
                subject.on_answer(attempt, now, model.LoadReport(1, 0, 10))
            else:
                subject.on_failure(attempt, errors.Failure(kind), now)
        elif action == "restart":
            subject.on_restart(ENDPOINTS[index], now)
            name = ENDPOINTS[index].name
            attempts = [a for a in attempts if a.endpoint != name]
        elif action == "retain":
            subject.retain([e.name for e in ENDPOINTS])
        for endpoint in ENDPOINTS:
            expected = sum(a.endpoint == endpoint.name for a in attempts)
            assert subject.in_flight(endpoint.name) == expected
        rows = chooser.explain(ENDPOINTS, now)
        ejected = sum(row.state in ("ejected", "trial") for row in rows)
        assert ejected <= ejection.max_ejected(len(ENDPOINTS))


def test_answer_of_an_earlier_life_is_ignored() -> None:
    """Guards against facts about a restarted endpoint from before its restart."""
    subject = tracker.Tracker(0.0)
    attempt = subject.on_start(ENDPOINTS[0], "read", 0.0)
    subject.on_restart(ENDPOINTS[0], 1.0)
    subject.on_failure(attempt, errors.Failure(errors.Kind.UNREACHABLE), 1.1)
    with subject.lock:
        assert subject.stats_of(ENDPOINTS[0], 1.1).failure_share == 0.0


def test_older_report_does_not_replace_a_newer_one() -> None:
    """Guards against gossip that overrides what an answer has just shown."""
    subject = tracker.Tracker(0.0)
    attempt = subject.on_start(ENDPOINTS[0], "read", 1.0)
    subject.on_answer(attempt, 1.1, model.LoadReport(9, 2, 10))
    subject.on_report(ENDPOINTS[0], model.LoadReport(0, 0, 10), 0.2, 1.2)
    with subject.lock:
        assert subject.stats_of(ENDPOINTS[0], 1.2).others == 11.0


def test_costly_operation_does_not_make_an_endpoint_slow() -> None:
    """Guards against ejecting the endpoint that runs the costly operation."""
    subject = tracker.Tracker(0.0)
    for step in range(200):
        for endpoint, operation, latency in (
            (ENDPOINTS[0], "report", 1.0),
            (ENDPOINTS[1], "read", 0.01),
        ):
            attempt = subject.on_start(endpoint, operation, step * 2.0)
            subject.on_answer(attempt, step * 2.0 + latency)
    with subject.lock:
        costly = subject.stats_of(ENDPOINTS[0], 400.0)
        assert costly.current_slowness(400.0) < 1.5
        assert subject.review(costly, 400.0) is endpoint_stats.State.ACTIVE
