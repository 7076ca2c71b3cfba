"""Default policy: power of two choices over load, latency and distance."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection, Iterator, Sequence

from snipelink import model
from snipelink.balance import ejection, endpoint_stats
from snipelink.balance import tracker as tracker_module

# Endpoints with little load cost about the same; one that is slow is used before the
# others queue deeply.
LOAD_EXPONENT = 3
# Above the cost of an ordinary endpoint at this utilisation a tier has no room and the
# next one is considered, before calls queue.
SPILL_UTILISATION = 0.8
SPILL_COST = 1.0 + SPILL_UTILISATION**LOAD_EXPONENT
# The mean of exponential latencies is 1.44 medians; lower values are not a sign of a
# slow endpoint.
ORDINARY_SLOWNESS = 2.0
ORDINARY_PACE = 1.5
FAILURE_COST = 10.0
BUSY_COST = 3.0
CHOICES = 2
RANDOM_DRAWS = 8
MAX_CACHED_TIERS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Why an endpoint would or would not be chosen."""

    endpoint: str
    tier: int
    cost: float
    utilisation: float
    in_flight: int
    others: float
    report_age_s: float
    slowness: float
    failure_share: float
    ramp: float
    state: str
    reason: str


@dataclasses.dataclass(slots=True)
class _Option:
    endpoint: model.Endpoint
    cost: float
    utilisation: float


class AdaptivePolicy:
    """Chooses the better of two random endpoints in the nearest tier with room.

    Tiers are the own failure domain, the own region and the rest. Both endpoints are
    drawn at random, so nodes with the same stale report do not all move to the same
    endpoint.
    """

    def __init__(
        self, tracker: tracker_module.Tracker, failure_domain: str, region: str
    ) -> None:
        self._tracker = tracker
        self._failure_domain = failure_domain
        self._region = region
        self._tiers_by_id: dict[
            int, tuple[Sequence[model.Endpoint], list[list[model.Endpoint]]]
        ] = {}

    def choose(
        self,
        candidates: Sequence[model.Endpoint],
        now: float,
        rng: random.Random,
        *,
        exclude: Collection[str] = (),
        idempotent: bool = True,
    ) -> model.Endpoint | None:
        """Return an endpoint; ejected ones only on trial or as a last resort."""
        with self._tracker.lock:
            best: _Option | None = None
            for tier in self._tiers_of(candidates):
                option = self._choose_in(tier, now, rng, exclude, idempotent)
                if option is not None and (best is None or option.cost < best.cost):
                    best = option
                if best is not None and best.cost <= SPILL_COST:
                    break
            if best is None or best.utilisation > 1.0:
                best = self._last_resort(candidates, now, exclude, best)
            return best.endpoint if best is not None else None

    def explain(
        self, candidates: Sequence[model.Endpoint], now: float
    ) -> list[Explanation]:
        """Return the facts behind a choice made now, the cheapest first."""
        with self._tracker.lock:
            rows = [self._explain(endpoint, now) for endpoint in candidates]
        return sorted(rows, key=lambda row: (row.state != "active", row.tier, row.cost))

    def _choose_in(
        self,
        tier: list[model.Endpoint],
        now: float,
        rng: random.Random,
        exclude: Collection[str],
        idempotent: bool,
    ) -> _Option | None:
        """Return the better of two usable endpoints, or one that is due for a trial."""
        best: _Option | None = None
        held_back: _Option | None = None
        seen = 0
        for endpoint in self._draw(tier, rng):
            if endpoint.name in exclude or self._tracker.is_leaving(endpoint, now):
                continue
            if best is not None and endpoint is best.endpoint:
                continue
            subject = self._tracker.stats_of(endpoint, now)
            if self._tracker.review(subject, now) is not endpoint_stats.State.ACTIVE:
                if ejection.may_try(subject, now, idempotent):
                    return _Option(endpoint, 0.0, 0.0)
                continue
            option = self._option(endpoint, subject, now)
            ramp = subject.ramp(now)
            if ramp < 1.0 and rng.random() >= ramp:
                held_back = option
                continue
            if best is None or option.cost < best.cost:
                best = option
            seen += 1
            if seen == CHOICES:
                break
        return best or held_back

    def _draw(
        self, tier: list[model.Endpoint], rng: random.Random
    ) -> Iterator[model.Endpoint]:
        """Yield random endpoints, then all of a small tier so that none is missed."""
        count = len(tier)
        small = count <= RANDOM_DRAWS
        for _ in range(CHOICES if small else RANDOM_DRAWS):
            yield tier[int(rng.random() * count)]
        if small:
            start = int(rng.random() * count)
            yield from tier[start:]
            yield from tier[:start]

    def _option(
        self,
        endpoint: model.Endpoint,
        subject: endpoint_stats.EndpointStats,
        now: float,
    ) -> _Option:
        utilisation = subject.utilisation(now, self._tracker.prior)
        slowness = max(
            1.0,
            subject.current_slowness(now) / ORDINARY_SLOWNESS,
            subject.reported_slowness_now(now) / ORDINARY_PACE,
            subject.stall(now, self._tracker.median_s()),
        )
        cost = slowness * (1.0 + utilisation**LOAD_EXPONENT)
        cost *= 1.0 + FAILURE_COST * subject.current_failure_share(now)
        if now < subject.busy_until:
            cost += BUSY_COST
            utilisation = max(utilisation, 1.0)
        return _Option(endpoint, cost, utilisation)

    def _last_resort(
        self,
        candidates: Sequence[model.Endpoint],
        now: float,
        exclude: Collection[str],
        best: _Option | None,
    ) -> _Option | None:
        """Return the cheapest endpoint, ejected ones included.

        Used when no endpoint has room. Endpoints ejected as failing or stalled count
        only when there is no other.
        """
        for endpoint in candidates:
            if endpoint.name in exclude or self._tracker.is_leaving(endpoint, now):
                continue
            subject = self._tracker.stats_of(endpoint, now)
            slow_only = subject.reason in ("", "slow")
            if best is not None and not slow_only:
                continue
            option = self._option(endpoint, subject, now)
            if best is None or option.cost < best.cost:
                best = option
        return best

    def _tiers_of(
        self, candidates: Sequence[model.Endpoint]
    ) -> list[list[model.Endpoint]]:
        cached = self._tiers_by_id.get(id(candidates))
        if cached is not None and cached[0] is candidates:
            return cached[1]
        tiers: list[list[model.Endpoint]] = [[], [], []]
        for endpoint in candidates:
            tiers[self._tier(endpoint)].append(endpoint)
        tiers = [tier for tier in tiers if tier]
        if len(self._tiers_by_id) >= MAX_CACHED_TIERS:
            self._tiers_by_id.clear()
        self._tiers_by_id[id(candidates)] = (candidates, tiers)
        return tiers

    def _tier(self, endpoint: model.Endpoint) -> int:
        if endpoint.failure_domain == self._failure_domain:
            return 0
        return 1 if endpoint.region == self._region else 2

    def _explain(self, endpoint: model.Endpoint, now: float) -> Explanation:
        subject = self._tracker.stats_of(endpoint, now)
        option = self._option(endpoint, subject, now)
        leaving = self._tracker.is_leaving(endpoint, now)
        return Explanation(
            endpoint=endpoint.name,
            tier=self._tier(endpoint),
            cost=option.cost,
            utilisation=option.utilisation,
            in_flight=subject.in_flight,
            others=subject.others,
            report_age_s=now - subject.reported_at,
            slowness=subject.current_slowness(now),
            failure_share=subject.current_failure_share(now),
            ramp=subject.ramp(now),
            state="leaving" if leaving else subject.state.value,
            reason=subject.reason,
        )
