from __future__ import annotations

import random

from snipelink import model
from snipelink.retry import budget, hedge

READ = model.Operation("read", "GET", "/r", True)
BOOK = model.Operation("book", "POST", "/b", False)


def make_call(operation: model.Operation, deadline: float = 10.0) -> model.Call:
    return model.Call("c", "s", operation, operation.method, "/", [], b"", deadline)


def make_policy(slow: set[str], slowness: float = 1.0) -> hedge.HedgePolicy:
    hedge_policy = hedge.HedgePolicy(budget.Budget(0.02), budget.Budget(0.1))
    rng = random.Random(3)
    endpoints = ["a", "b", "c", "d"]
    for step in range(2400):
        name = endpoints[step % 4]
        latency_factor = slowness if name in slow and step >= 2000 else 1.0
        hedge_policy.record("read", name, rng.expovariate(100) * latency_factor)
    return hedge_policy


def test_delay_is_near_the_95th_percentile() -> None:
    """Guards against hedging calls of ordinary latency."""
    delay = make_policy(set()).delay_s(make_call(READ), 0.0)
    assert delay is not None
    assert 0.02 < delay < 0.045


def test_non_idempotent_and_short_calls_get_no_hedge() -> None:
    """Guards against running a booking twice, and against hedges that are too late."""
    hedge_policy = make_policy(set())
    assert hedge_policy.delay_s(make_call(BOOK), 0.0) is None
    assert hedge_policy.delay_s(make_call(READ, 0.03), 0.0) is None


def test_slow_service_gets_no_hedges_but_one_slow_endpoint_does() -> None:
    """Guards against hedges that add load while the whole service is slow."""
    assert make_policy({"a"}, 10.0).delay_s(make_call(READ), 0.0) is not None
    slow = make_policy({"a", "b", "c", "d"}, 4.0)
    assert slow.delay_s(make_call(READ), 0.0) is None
    assert not slow.try_start(0.0)


def test_hedges_are_charged_to_both_budgets() -> None:
    """Guards against hedges that exceed the bound on retries and hedges together."""
    hedges, retries = budget.Budget(0.02), budget.Budget(0.1)
    hedge_policy = hedge.HedgePolicy(hedges, retries)
    assert hedge_policy.try_start(0.0)
    assert not hedge_policy.try_start(0.0)
    assert retries.available(0.0) == 0.0
