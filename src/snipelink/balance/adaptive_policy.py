"""Default policy: power of two random choices by load, latency and distance."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection, Iterator, Sequence

from snipelink import model
from snipelink.balance import ejection, endpoint_stats
from snipelink.balance import tracker as tracker_module

# The cost grows with the cube of the utilisation. Endpoints with little load then cost
# about the same, and a slow endpoint receives calls before the others queue deeply.
LOAD_EXPONENT = 3
# A tier has no room when its best endpoint costs more than an ordinary endpoint at this
# utilisation. Calls then spill over to the next tier before they queue.
SPILL_UTILISATION = 0.8
SPILL_COST = 1.0 + SPILL_UTILISATION**LOAD_EXPONENT
# The mean of exponentially distributed latencies is 1.44 medians, so a slowness within
# these bounds does not show a slow endpoint.
MAX_ORDINARY_SLOWNESS = 2.0
MAX_ORDINARY_REPORTED_SLOWNESS = 1.5
# Added to the cost factor at a failure share of 1, and to the cost of an endpoint that
# refused a call under load.
FAILURE_COST = 10.0
BUSY_COST = 3.0
CHOICE_COUNT = 2
# Random draws to find two usable endpoints; smaller tiers are searched completely.
RANDOM_DRAW_COUNT = 8
MAX_CACHED_CANDIDATE_LISTS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Values that decide whether an endpoint is chosen, as shown by ``/explain``."""

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
    """Chooses the cheaper of two random endpoints in the nearest tier with room.

    The tiers are the failure domain of this node, its region, and all other regions.
    Both endpoints are drawn at random. Nodes that hold the same stale load report
    therefore do not all send to the same endpoint.
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
        """Return an endpoint; an ejected one only for a trial or as a last resort."""
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
        """Return the values behind a choice made now, the cheapest endpoint first."""
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
        """Return the cheaper of two usable endpoints, or one due for a trial."""
        best: _Option | None = None
        held_for_slow_start: _Option | None = None
        compared = 0
        for endpoint in self._sample_endpoints(tier, rng):
            if endpoint.name in exclude or self._tracker.is_leaving(endpoint, now):
                continue
            if best is not None and endpoint is best.endpoint:
                continue
            stats = self._tracker.stats_of(endpoint, now)
            if (
                self._tracker.eject_if_unhealthy(stats, now)
                is not endpoint_stats.EjectionState.ACTIVE
            ):
                if ejection.is_trial_due(stats, now, idempotent):
                    return _Option(endpoint, 0.0, 0.0)
                continue
            option = self._make_option(endpoint, stats, now)
            slow_start_ratio = stats.slow_start_ratio(now)
            if slow_start_ratio < 1.0 and rng.random() >= slow_start_ratio:
                held_for_slow_start = option
                continue
            if best is None or option.cost < best.cost:
                best = option
            compared += 1
            if compared == CHOICE_COUNT:
                break
        return best or held_for_slow_start

    def _sample_endpoints(
        self, tier: list[model.Endpoint], rng: random.Random
    ) -> Iterator[model.Endpoint]:
        """Yield random endpoints, then every endpoint if the tier is small."""
        count = len(tier)
        small = count <= RANDOM_DRAW_COUNT
        for _ in range(CHOICE_COUNT if small else RANDOM_DRAW_COUNT):
            yield tier[int(rng.random() * count)]
        if small:
            start = int(rng.random() * count)
            yield from tier[start:]
            yield from tier[:start]

    def _make_option(
        self,
        endpoint: model.Endpoint,
        stats: endpoint_stats.EndpointStats,
        now: float,
    ) -> _Option:
        utilisation = stats.utilisation(now, self._tracker.mean_other_calls)
        slowness = max(
            1.0,
            stats.current_slowness(now) / MAX_ORDINARY_SLOWNESS,
            stats.current_reported_slowness(now) / MAX_ORDINARY_REPORTED_SLOWNESS,
            stats.stall_ratio(now, self._tracker.median_s()),
        )
        cost = slowness * (1.0 + utilisation**LOAD_EXPONENT)
        cost *= 1.0 + FAILURE_COST * stats.current_failure_share(now)
        if now < stats.busy_until:
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
        """Return the cheapest endpoint, including ejected ones.

        This is the fallback when no endpoint has room. Endpoints that were ejected as
        failing or stalled are considered only while there is no other candidate.
        """
        for endpoint in candidates:
            if endpoint.name in exclude or self._tracker.is_leaving(endpoint, now):
                continue
            stats = self._tracker.stats_of(endpoint, now)
            slow_only = stats.reason in ("", "slow")
            if best is not None and not slow_only:
                continue
            option = self._make_option(endpoint, stats, now)
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
            tiers[self._tier_index(endpoint)].append(endpoint)
        tiers = [tier for tier in tiers if tier]
        if len(self._tiers_by_id) >= MAX_CACHED_CANDIDATE_LISTS:
            self._tiers_by_id.clear()
        self._tiers_by_id[id(candidates)] = (candidates, tiers)
        return tiers

    def _tier_index(self, endpoint: model.Endpoint) -> int:
        if endpoint.failure_domain == self._failure_domain:
            return 0
        return 1 if endpoint.region == self._region else 2

    def _explain(self, endpoint: model.Endpoint, now: float) -> Explanation:
        stats = self._tracker.stats_of(endpoint, now)
        option = self._make_option(endpoint, stats, now)
        leaving = self._tracker.is_leaving(endpoint, now)
        return Explanation(
            endpoint=endpoint.name,
            tier=self._tier_index(endpoint),
            cost=option.cost,
            utilisation=option.utilisation,
            in_flight=stats.in_flight,
            others=stats.other_calls,
            report_age_s=now - stats.reported_at,
            slowness=stats.current_slowness(now),
            failure_share=stats.current_failure_share(now),
            ramp=stats.slow_start_ratio(now),
            state="leaving" if leaving else stats.state.value,
            reason=stats.reason,
        )
