from __future__ import annotations

import random

from snipelink.admission import concurrency_limit


def feed(
    subject: concurrency_limit.Limit,
    start: float,
    seconds: float,
    seed: int,
    latency_of: dict[str, float],
    cores: float = 10.0,
) -> float:
    """Record exponential latencies of calls that share ``cores`` up to the limit."""
    rng = random.Random(seed)
    now = start
    while now < start + seconds:
        now += 0.005
        operation = rng.choice(sorted(latency_of))
        latency = rng.expovariate(1 / latency_of[operation])
        latency *= max(1.0, subject.value / cores)
        subject.record(operation, latency, True, now)
    return now


def test_ordinary_variation_keeps_all_slots() -> None:
    """Guards against a limit that falls on random or mixed service times."""
    subject = concurrency_limit.Limit(10, 0.0)
    now = feed(subject, 0.0, 30.0, 1, {"fast": 0.005, "slow": 0.2})
    now = feed(subject, now, 10.0, 2, {"slow": 0.2})
    assert subject.value >= 9


def test_limit_falls_when_calls_slow_each_other_down_and_recovers() -> None:
    """Guards against a full set of calls on a server whose processor is shared."""
    subject = concurrency_limit.Limit(10, 0.0)
    now = feed(subject, 0.0, 10.0, 1, {"read": 0.01})
    now = feed(subject, now, 6.0, 2, {"read": 0.01}, cores=1.0)
    assert subject.value <= 4
    feed(subject, now, 5.0, 3, {"read": 0.01})
    assert subject.value >= 9


def test_limit_stays_when_fewer_calls_do_not_help() -> None:
    """Guards against slots wasted while each call is slow on its own."""
    subject = concurrency_limit.Limit(10, 0.0)
    now = feed(subject, 0.0, 10.0, 1, {"read": 0.01})
    lowered = 0
    for step in range(20):
        now = feed(subject, now, 0.5, step, {"read": 0.1})
        lowered += subject.value < 10
    assert lowered <= 4


def test_lasting_change_becomes_the_baseline() -> None:
    """Guards against capacity lost for good when an operation becomes costlier."""
    subject = concurrency_limit.Limit(10, 0.0)
    now = feed(subject, 0.0, 10.0, 1, {"read": 0.01})
    feed(subject, now, 2 * concurrency_limit.EPOCH_S + 10, 2, {"read": 0.05})
    assert subject.value >= 9


def test_time_outs_lower_the_limit_but_never_to_zero() -> None:
    """Guards against an endpoint that is closed for good by its failures."""
    subject = concurrency_limit.Limit(10, 0.0)
    for step in range(100):
        subject.record_overload(step * 0.2)
    assert subject.value == 2
