from __future__ import annotations

import random

import hypothesis
import hypothesis.strategies as st
import pytest

from snipelink.measure import probe_budget, quantile

RATE, CAP = 2.0, 3.0
SCHEDULES = st.lists(
    st.tuples(
        st.sampled_from(["a", "b"]),
        st.sampled_from([-1.0, 0.0, 0.001, 0.1, 0.5, 2.0, 3600.0]),
        st.floats(0, 4),
        st.booleans(),
    ),
    max_size=60,
)


def assert_within_budget(spent: list[tuple[float, float]], rate: float) -> None:
    for first, (start, _) in enumerate(spent):
        total = 0.0
        for time, cost in spent[first:]:
            total += cost
            assert total <= CAP + rate * (time - start) + 1e-6


@hypothesis.given(SCHEDULES)
@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
def test_budget_holds_in_any_window(
    steps: list[tuple[str, float, float, bool]],
) -> None:
    """Guards against a burst of probes after a pause, a restart or a removal."""
    budget = probe_budget.ProbeBudget(1.5 * RATE, CAP, RATE, CAP, 0.0)
    now = latest = 0.0
    spent_by_endpoint: dict[str, list[tuple[float, float]]] = {"a": [], "b": []}
    spent: list[tuple[float, float]] = []
    for endpoint, delay, cost, remove_endpoints in steps:
        now += delay
        latest = max(latest, now)
        if remove_endpoints:
            budget.retain([])
        if budget.try_spend(endpoint, cost, now) is not None:
            spent_by_endpoint[endpoint].append((latest, cost))
            spent.append((latest, cost))
    assert_within_budget(spent, 1.5 * RATE)
    for each in spent_by_endpoint.values():
        assert_within_budget(each, RATE)


def test_cost_above_the_estimate_is_charged_later() -> None:
    """Guards against probes that cost more than they were charged."""
    budget = probe_budget.ProbeBudget(1.0, 2.0, 1.0, 2.0, 0.0)
    permit = budget.try_spend("a", 1.0, 10.0)
    assert permit is None
    budget.try_spend("a", 0.0, 10.0)
    permit = budget.try_spend("a", 1.0, 12.0)
    assert permit is not None
    budget.settle(permit, 4.0, 12.0)
    assert budget.try_spend("a", 0.5, 14.0) is None
    assert budget.try_spend("a", 0.5, 15.0) is not None


def test_permit_issued_before_a_pause_has_expired_after_it() -> None:
    """Guards against delayed probes that all start when a paused process resumes."""
    budget = probe_budget.ProbeBudget(1.0, 2.0, 1.0, 2.0, 0.0)
    budget.try_spend("a", 0.0, 0.0)
    permit = budget.try_spend("a", 1.0, 5.0)
    assert permit is not None
    assert permit.may_start(5.01)
    assert not permit.may_start(9.0)


@pytest.mark.parametrize("probability", [0.5, 0.95])
def test_estimate_converges_to_the_quantile(probability: float) -> None:
    """Guards against an estimate that drifts away from the quantile."""
    rng = random.Random(2)
    estimator = quantile.QuantileEstimator(probability, 0.002)
    for _ in range(5000):
        estimator.record(rng.uniform(0.0, 1.0))
    assert estimator.value == pytest.approx(probability, abs=0.06)
