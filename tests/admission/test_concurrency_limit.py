from __future__ import annotations

import random

from snipelink.admission import concurrency_limit


def record_calls(
    limit: concurrency_limit.ConcurrencyLimit,
    start: float,
    seconds: float,
    seed: int,
    mean_latency_by_operation: dict[str, float],
    cores: float = 10.0,
) -> float:
    """Record exponential latencies of calls that share ``cores``; return the end."""
    rng = random.Random(seed)
    now = start
    while now < start + seconds:
        now += 0.005
        operation = rng.choice(sorted(mean_latency_by_operation))
        latency = rng.expovariate(1 / mean_latency_by_operation[operation])
        latency *= max(1.0, limit.value / cores)
        limit.record(operation, latency, True, now)
    return now


def test_ordinary_variation_of_latency_keeps_the_limit() -> None:
    """Guards against a limit that falls with random or mixed service times."""
    limit = concurrency_limit.ConcurrencyLimit(10, 0.0)
    now = record_calls(limit, 0.0, 30.0, 1, {"fast": 0.005, "slow": 0.2})
    now = record_calls(limit, now, 10.0, 2, {"slow": 0.2})
    assert limit.value >= 9


def test_limit_falls_while_calls_slow_each_other_down_and_recovers() -> None:
    """Guards against running all slots on a server that has too few cores for them."""
    limit = concurrency_limit.ConcurrencyLimit(10, 0.0)
    now = record_calls(limit, 0.0, 10.0, 1, {"read": 0.01})
    now = record_calls(limit, now, 6.0, 2, {"read": 0.01}, cores=1.0)
    assert limit.value <= 4
    record_calls(limit, now, 5.0, 3, {"read": 0.01})
    assert limit.value >= 9


def test_limit_stays_when_fewer_calls_do_not_help() -> None:
    """Guards against a lower limit when each call is slow by itself."""
    limit = concurrency_limit.ConcurrencyLimit(10, 0.0)
    now = record_calls(limit, 0.0, 10.0, 1, {"read": 0.01})
    lowered = 0
    for step in range(20):
        now = record_calls(limit, now, 0.5, step, {"read": 0.1})
        lowered += limit.value < 10
    assert lowered <= 4


def test_lasting_change_of_latency_becomes_the_baseline() -> None:
    """Guards against a limit that stays low after an operation became costlier."""
    limit = concurrency_limit.ConcurrencyLimit(10, 0.0)
    now = record_calls(limit, 0.0, 10.0, 1, {"read": 0.01})
    record_calls(
        limit, now, 2 * concurrency_limit.BASELINE_EPOCH_S + 10, 2, {"read": 0.05}
    )
    assert limit.value >= 9


def test_time_outs_lower_the_limit_but_never_to_zero() -> None:
    """Guards against a limit of zero, from which an endpoint could not recover."""
    limit = concurrency_limit.ConcurrencyLimit(10, 0.0)
    for step in range(100):
        limit.record_overload(step * 0.2)
    assert limit.value == 2
