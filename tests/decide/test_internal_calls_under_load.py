"""Replays a burst of long calls on an endpoint that running requests also call."""

from __future__ import annotations

import dataclasses
import heapq
import random

from snipelink.decide import queue_policy, slots, slowness_period

SLOT_COUNT = 3
BURST_S = 10.0
# Offered work of the long calls as a multiple of the endpoint's capacity.
BURST_LOAD = 2.5
LONG_WORK_S = 0.2
INTERNAL_WORK_S = 0.055
INTERNAL_PER_S = 8.0


@dataclasses.dataclass(frozen=True)
class _Offer:
    at: float
    demand: queue_policy.Demand
    needed: bool


def _offers(*, precedence: bool) -> list[_Offer]:
    rng = random.Random(7)
    offers = []
    at = 0.0
    while at < BURST_S:
        at += rng.expovariate(BURST_LOAD * SLOT_COUNT / LONG_WORK_S)
        demand = queue_policy.Demand(LONG_WORK_S, at + 2.0, at + 5.0, 2, at)
        offers.append(_Offer(at, demand, needed=False))
    at = 0.0
    while at < BURST_S:
        at += rng.expovariate(INTERNAL_PER_S)
        demand = queue_policy.Demand(
            INTERNAL_WORK_S, at + 0.26, at + 1.04, 1, at, precedence
        )
        offers.append(_Offer(at, demand, needed=True))
    return sorted(offers, key=lambda offer: offer.at)


def _replay(*, precedence: bool) -> tuple[float, float]:
    """Return the shares of internal and of long calls that are answered in time."""
    offers = _offers(precedence=precedence)
    endpoint = slots.Slots(0.0, slowness_period.PeriodEstimator())
    endpoint.capacity = endpoint.limit = SLOT_COUNT
    ends: list[tuple[float, int]] = []
    done = set()

    def start(key: int, now: float) -> None:
        heapq.heappush(ends, (now + offers[key].demand.work_s, key))

    def end_until(until: float) -> None:
        while ends and ends[0][0] <= until:
            now, key = heapq.heappop(ends)
            endpoint.release(key)
            if now <= offers[key].demand.deadline:
                done.add(key)
            for started in endpoint.admit_waiting(now)[0]:
                start(started, now)

    for key, offer in enumerate(offers):
        end_until(offer.at)
        if endpoint.offer(key, offer.demand, offer.at).verdict is slots.Verdict.START:
            start(key, offer.at)
    end_until(BURST_S * 2)
    shares = []
    for needed in (True, False):
        keys = {key for key, offer in enumerate(offers) if offer.needed is needed}
        shares.append(len(keys & done) / len(keys))
    return shares[0], shares[1]


def test_internal_calls_are_served_during_a_burst() -> None:
    """Guards against requests that fail because a call of theirs is refused."""
    served_before, long_before = _replay(precedence=False)
    served, long_calls = _replay(precedence=True)
    assert served_before < 0.85
    assert served > 0.97
    assert long_calls > long_before - 0.03
