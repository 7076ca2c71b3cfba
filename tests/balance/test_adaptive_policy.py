from __future__ import annotations

import collections
import random

import pytest

from snipelink import errors, model
from snipelink.balance import adaptive_policy, policy, tracker
from tests.balance import helpers


def record_answer(
    endpoint_tracker: tracker.Tracker,
    endpoint: model.Endpoint,
    now: float,
    latency_s: float = 0.01,
    status: int = 200,
    retry_after_s: float = 0.0,
) -> None:
    attempt = endpoint_tracker.on_start(endpoint, "read", now)
    endpoint_tracker.on_answer(attempt, now + latency_s, None, status, retry_after_s)


def make_policy(
    count: int, domains: int = 1
) -> tuple[tuple[model.Endpoint, ...], tracker.Tracker, adaptive_policy.AdaptivePolicy]:
    endpoints = helpers.make_endpoints(count, domains)
    endpoint_tracker = tracker.Tracker(0.0)
    for step in range(50):
        for endpoint in endpoints:
            record_answer(endpoint_tracker, endpoint, step * 0.01)
    return (
        endpoints,
        endpoint_tracker,
        adaptive_policy.AdaptivePolicy(endpoint_tracker, "d0", "r"),
    )


def choose_many(
    balancer: policy.Policy,
    candidates: tuple[model.Endpoint, ...],
    now: float,
    count: int = 200,
) -> collections.Counter[str]:
    rng = random.Random(1)
    chosen = [balancer.choose(candidates, now, rng) for _ in range(count)]
    return collections.Counter(endpoint.name for endpoint in chosen if endpoint)


def test_fast_errors_do_not_attract_calls() -> None:
    """Guards against a server whose fast errors make it look like the best choice."""
    endpoints, endpoint_tracker, balancer = make_policy(4)
    for step in range(3):
        record_answer(
            endpoint_tracker, endpoints[0], 1.0 + step * 0.001, 0.0001, status=500
        )
    assert choose_many(balancer, endpoints, 1.01)["e0"] == 0


def test_refusals_with_retry_after_do_not_eject() -> None:
    """Guards against ejecting a server that sheds load with 503 and Retry-After."""
    endpoints, endpoint_tracker, balancer = make_policy(4)
    for step in range(20):
        record_answer(
            endpoint_tracker, endpoints[0], 1.0 + step * 0.001, 0.001, 503, 0.2
        )
        attempt = endpoint_tracker.on_start(endpoints[0], "read", 1.0)
        failure = errors.Failure(errors.Kind.OVERLOADED, retry_after_s=0.1)
        endpoint_tracker.on_failure(attempt, failure, 1.02)
    assert choose_many(balancer, endpoints, 1.05)["e0"] == 0
    states = {row.endpoint: row.state for row in balancer.explain(endpoints, 1.05)}
    assert states["e0"] == "active"
    assert choose_many(balancer, endpoints, 3.0)["e0"] > 0


def test_fault_of_the_whole_service_ejects_at_most_the_cap() -> None:
    """Guards against ejecting all endpoints when every endpoint fails."""
    endpoints, endpoint_tracker, balancer = make_policy(6)
    for step in range(200):
        for endpoint in endpoints:
            record_answer(
                endpoint_tracker, endpoint, 1.0 + step * 0.01, 0.001, status=500
            )
        balancer.choose(endpoints, 1.0 + step * 0.01, random.Random(step))
    choose_many(balancer, endpoints, 3.0)
    states = [row.state for row in balancer.explain(endpoints, 3.0)]
    assert states.count("active") >= 4


def test_ejected_endpoint_returns_by_trials_and_slow_start() -> None:
    """Guards against an ejection that never ends or that ends at full load."""
    endpoints, endpoint_tracker, balancer = make_policy(4)
    for step in range(5):
        record_answer(endpoint_tracker, endpoints[0], 1.0 + step * 0.001, status=500)
    assert choose_many(balancer, endpoints, 1.1)["e0"] == 0
    now = 3.0
    for _ in range(3):
        chosen = balancer.choose(endpoints, now, random.Random(2))
        for _ in range(40):
            if chosen is not None and chosen.name == "e0":
                break
            chosen = balancer.choose(endpoints, now, random.Random(now))
            now += 0.001
        record_answer(endpoint_tracker, endpoints[0], now)
        now += 0.02
    rows = {row.endpoint: row for row in balancer.explain(endpoints, now)}
    assert rows["e0"].state == "active"
    assert rows["e0"].ramp < 0.2
    assert choose_many(balancer, endpoints, now + 10.0)["e0"] > 20


def test_failed_trial_lengthens_the_ejection() -> None:
    """Guards against frequent trials of an endpoint that keeps failing."""
    endpoints, endpoint_tracker, balancer = make_policy(4)
    for step in range(5):
        record_answer(endpoint_tracker, endpoints[0], 1.0 + step * 0.001, status=500)
    choose_many(balancer, endpoints, 1.1)
    trials = 0
    rng = random.Random(3)
    for step in range(10_000):
        now = 1.1 + step * 0.006
        chosen = balancer.choose(endpoints, now, rng)
        assert chosen is not None
        trials += chosen.name == "e0"
        record_answer(
            endpoint_tracker, chosen, now, 0.01, 500 if chosen.name == "e0" else 200
        )
    assert 3 <= trials <= 8


def test_stalled_endpoint_is_avoided_before_its_first_late_answer() -> None:
    """Guards against sending calls to a paused server until the first one times out."""
    endpoints, endpoint_tracker, balancer = make_policy(4)
    endpoint_tracker.on_start(endpoints[0], "read", 1.0)
    counts = choose_many(balancer, endpoints, 1.15)
    assert counts["e0"] == 0


def test_nodes_with_the_same_stale_report_choose_different_endpoints() -> None:
    """Guards against a thundering herd on the endpoint with the least load."""
    endpoints = helpers.make_endpoints(8)
    counts: collections.Counter[str] = collections.Counter()
    for node in range(50):
        endpoint_tracker = tracker.Tracker(0.0)
        for endpoint in endpoints:
            running = 0 if endpoint.name == "e0" else 5
            report = model.LoadReport(running, 0, 10)
            endpoint_tracker.on_report(endpoint, report, 0.05, 1.0)
        balancer = adaptive_policy.AdaptivePolicy(endpoint_tracker, "d0", "r")
        rng = random.Random(node)
        for _ in range(10):
            chosen = balancer.choose(endpoints, 1.0, rng)
            assert chosen is not None
            counts[chosen.name] += 1
            endpoint_tracker.on_start(chosen, "read", 1.0)
    assert counts["e0"] <= 0.3 * 500


def test_nearest_domain_is_preferred_until_it_has_no_room() -> None:
    """Guards against needless calls to other domains, and queues in this one."""
    endpoints, endpoint_tracker, balancer = make_policy(6, domains=3)
    local_names = {"e0", "e3"}
    assert set(choose_many(balancer, endpoints, 1.0)) == local_names
    rng = random.Random(4)
    for _ in range(30):
        chosen = balancer.choose(endpoints, 1.0, rng)
        assert chosen is not None
        endpoint_tracker.on_start(chosen, "read", 1.0)
    in_flight = {e.name: endpoint_tracker.in_flight(e.name) for e in endpoints}
    assert all(count <= 10 for count in in_flight.values())
    assert sum(in_flight[name] for name in local_names) >= 12
    assert sum(in_flight.values()) == 30


@pytest.mark.parametrize(
    "kind",
    [policy.RandomPolicy, policy.RoundRobinPolicy, policy.LeastOutstandingPolicy, None],
)
def test_leaving_endpoint_gets_no_new_calls(kind: type | None) -> None:
    """Guards against new calls to an endpoint that announced that it is leaving."""
    endpoints, endpoint_tracker, balancer = make_policy(3)
    if kind is not None:
        balancer = kind(endpoint_tracker)
    attempt = endpoint_tracker.on_start(endpoints[0], "read", 1.0)
    endpoint_tracker.on_failure(attempt, errors.Failure(errors.Kind.LEAVING), 1.0)
    report = model.LoadReport(0, 0, 10, leaving=True)
    endpoint_tracker.on_report(endpoints[1], report, 0.1, 1.0)
    assert set(choose_many(balancer, endpoints, 1.1)) == {"e2"}
    endpoint_tracker.on_report(endpoints[0], model.LoadReport(0, 0, 10), 0.5, 1.2)
    assert set(choose_many(balancer, endpoints, 1.2)) == {"e2"}
    assert balancer.choose(endpoints, 1.2, random.Random(1), exclude={"e2"}) is None


def test_new_and_restarted_endpoints_get_a_slow_start() -> None:
    """Guards against full load on an endpoint that has just started."""
    endpoints, endpoint_tracker, balancer = make_policy(3)
    endpoint_tracker.on_restart(endpoints[0], 20.0)
    added = helpers.make_endpoints(4)
    rows = {row.endpoint: row for row in balancer.explain(added, 20.5)}
    assert rows["e0"].ramp == pytest.approx(0.1)
    assert rows["e3"].ramp == pytest.approx(0.1)
    assert rows["e1"].ramp == 1.0


def test_slow_start_gives_a_rising_share_of_the_calls() -> None:
    """Guards against a slow start that gives all calls, or none until it ends."""
    endpoints, endpoint_tracker, balancer = make_policy(4)
    endpoint_tracker.on_restart(endpoints[0], 20.0)
    shares = [
        choose_many(balancer, endpoints, 20.0 + age, 2000)["e0"] / 2000
        for age in (0.1, 2.5, 5.0)
    ]
    assert 0.01 < shares[0] < 0.12 < shares[1] < 0.24
    assert shares[2] > shares[1]


def test_service_that_restarts_as_a_whole_is_still_served() -> None:
    """Guards against refusing calls while every endpoint is in its slow start."""
    endpoints, endpoint_tracker, balancer = make_policy(3)
    for endpoint in endpoints:
        endpoint_tracker.on_restart(endpoint, 20.0)
    counts = choose_many(balancer, endpoints, 20.01, 300)
    assert sum(counts.values()) == 300
    assert min(counts.values()) > 30


def test_endpoint_with_a_few_failures_is_used_again() -> None:
    """Guards against a failure share that never decays and keeps an endpoint unused."""
    endpoints, endpoint_tracker, balancer = make_policy(4)
    for step in range(2):
        record_answer(endpoint_tracker, endpoints[0], 1.0 + step * 0.001, status=500)
    assert choose_many(balancer, endpoints, 1.01)["e0"] == 0
    assert choose_many(balancer, endpoints, 30.0)["e0"] > 10
