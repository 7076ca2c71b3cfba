"""Choice of the endpoint on which a call runs.

The choice is designed for a load where at any moment a quarter of the endpoints is
several times slower than usual, each for about half a second, while the others have
free slots. A choice by the number of outstanding calls alone would fill the slow
endpoints. This module instead compares the expected completion time of the call on each
endpoint, based on load reports that are milliseconds old.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence

from snipelink.decide import far_cost, slowness_period, work_estimation

# Many servers become slower once a larger fraction of their slots is in use.
UNCROWDED_RATIO = 0.7
# Relative increase of a call's duration on a server whose slots are all in use.
CROWDING_SLOWDOWN_RATIO = 0.3
# Age up to which a report counts as current, because a change would have been reported.
FRESH_REPORT_S = 0.4
# Age from which a report is stale and only the endpoint's mean slowness is used.
STALE_REPORT_S = 0.8
# Age of the last report from which a node counts as unreachable; nodes report several
# times per second.
SILENT_NODE_S = 1.0
# Weight of failures: with a failure ratio of one half, a call counts as three times as
# long, which is the cost of a failed attempt and its retry.
FAILURE_COST_FACTOR = 4.0
# Minimum number of candidates for which the remaining time of their phases is used.
# Among fewer, only one or two endpoints have just become fast at any moment; all nodes
# would choose them, and calls would have to wait.
MIN_PHASE_CANDIDATES = 8
# Endpoints whose costs differ by a smaller fraction are considered equal.
SIMILAR_COST_RATIO = 0.05


# Not frozen, because each choice creates tens of candidates and frozen dataclasses are
# slower to create.
@dataclasses.dataclass(slots=True)
class Candidate:
    """Reported load of an endpoint that may run a call.

    Attributes
    ----------
    instance : str
        Identity of the endpoint's process.
    near : bool
        Whether it is in the failure domain of the choosing node.
    running, waiting, slots : int
        Calls that run on the endpoint, calls that wait at its node, and its capacity.
    slowness, mean_slowness : float
        Duration of work relative to normal speed, now and on average over some seconds.
    failing_ratio : float
        Recent fraction of failed calls.
    age_s : float
        Age of the report in seconds.
    phase_left_s : float or None
        Seconds for which the present slowness is likely to last; None if unknown or
        not to be used.
    """

    instance: str
    near: bool
    running: int
    waiting: int
    slots: int
    slowness: float
    mean_slowness: float = 1.0 / work_estimation.DEFAULT_SPEED
    failing_ratio: float = 0.0
    age_s: float = 0.0
    phase_left_s: float | None = None

    @property
    def is_silent(self) -> bool:
        """Whether the last report of the endpoint is older than `SILENT_NODE_S`."""
        return self.age_s > SILENT_NODE_S


def expected_time_s(
    candidate: Candidate, work_s: float, mean_work_s: float, *, may_hedge: bool = True
) -> float:
    """Return the seconds until a call would end on an endpoint.

    Parameters
    ----------
    work_s : float
        Expected work of the call, in seconds at normal speed.
    mean_work_s : float
        Mean work of the calls that are ahead of it.
    may_hedge : bool
        Whether the call can be hedged if the endpoint stays slow.
    """
    slots = max(1, candidate.slots)
    ahead = candidate.running + candidate.waiting
    crowding = max(0.0, min(1.0, (ahead + 1) / slots) - UNCROWDED_RATIO)
    run_s = work_s * (
        1.0 + CROWDING_SLOWDOWN_RATIO * crowding / (1.0 - UNCROWDED_RATIO)
    )
    wait_s = max(0, ahead + 1 - slots) / slots * mean_work_s
    mean = candidate.mean_slowness
    slowness = _aged_slowness(candidate)
    phase_s = (
        slowness_period.DEFAULT_PHASE_S if may_hedge else work_estimation.LONG_PHASE_S
    )
    is_slow = slowness > mean
    if (
        crowding <= 0.0
        and (may_hedge or not is_slow)
        and candidate.phase_left_s is not None
    ):
        phase_s = candidate.phase_left_s
    return work_estimation.duration_s(run_s + wait_s, slowness, mean, phase_s)


def choose(
    candidates: Sequence[Candidate],
    work_s: float,
    mean_work_s: float,
    rng: random.Random,
    *,
    may_hedge: bool = True,
    far: far_cost.FarCost = far_cost.DEFAULT_FAR_COST,
) -> Candidate | None:
    """Return the endpoint with the lowest cost; None if all nodes are silent.

    Silent nodes are excluded, as a call sent to one would wait until its deadline.

    Parameters
    ----------
    may_hedge : bool
        Whether the call can be hedged if the endpoint becomes slow.
    far : FarCost
        Cost of endpoints in other failure domains.
    """
    responsive = [c for c in candidates if not c.is_silent]
    if not responsive:
        return None
    if len(responsive) < MIN_PHASE_CANDIDATES:
        for candidate in responsive:
            candidate.phase_left_s = None
    costs = [
        cost_s(c, work_s, mean_work_s, may_hedge=may_hedge, far=far) for c in responsive
    ]
    limit = min(costs) * (1.0 + SIMILAR_COST_RATIO)
    similar = [c for c, cost in zip(responsive, costs, strict=True) if cost <= limit]
    return rng.choice(similar)


def cost_s(
    candidate: Candidate,
    work_s: float,
    mean_work_s: float,
    *,
    may_hedge: bool,
    far: far_cost.FarCost = far_cost.DEFAULT_FAR_COST,
) -> float:
    """Return the expected time, weighted by distance and failures, in seconds."""
    cost = expected_time_s(candidate, work_s, mean_work_s, may_hedge=may_hedge)
    cost *= 1.0 + FAILURE_COST_FACTOR * candidate.failing_ratio
    return cost if candidate.near else far.total_s(cost)


def _aged_slowness(candidate: Candidate) -> float:
    aged_s = max(0.0, candidate.age_s - FRESH_REPORT_S)
    weight = max(0.0, 1.0 - aged_s / (STALE_REPORT_S - FRESH_REPORT_S))
    return candidate.slowness * weight + candidate.mean_slowness * (1.0 - weight)
