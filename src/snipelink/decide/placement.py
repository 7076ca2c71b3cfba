"""Where a call runs.

Load pattern: a quarter of the endpoints is several times slower at any moment, each
for about half a second, while the others have free slots. A choice by outstanding
calls alone fills the slow ones; this one compares the time until the call would end,
from facts that are milliseconds old.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence

from snipelink.decide import slowness_period, work_estimation

# Calls beyond this share of the slots make many servers slower.
COMFORTABLE_SHARE = 0.7
# Time that a call takes longer on a server whose slots are all in use, as a share.
CROWDING = 0.3
# Cost of another failure domain as a share of the call's time: its bytes are paid
# for, and the path is longer.
FAR_COST = 0.15
# Age up to which a report is as good as new, seconds: a change would have been told.
FRESH_S = 0.4
# Age at which nothing is known about an endpoint but its mean slowness, seconds.
STALE_S = 0.8
# Age at which a node that reports several times a second is taken as out of reach.
SILENT_NODE_S = 1.0
# How strongly failures count: at a share of one half a call seems to take thrice as
# long, which is what a failed and a repeated attempt cost.
FAILURE_COST = 4.0
# Endpoints among which the time left of their phases decides. Of fewer, one or two have
# just turned quick at any moment, all nodes would choose these, and calls would wait.
MIN_CHOICES = 8
# Endpoints whose expected times differ by less than this share are equally good.
SIMILAR_SHARE = 0.05


# Not frozen: every choice makes some tens, and assignments to frozen ones cost more.
@dataclasses.dataclass(slots=True)
class Candidate:
    """What a node knows of an endpoint that may run a call.

    Attributes
    ----------
    instance : str
        Identity of the endpoint's process.
    near : bool
        Whether it is in the failure domain of the choosing node.
    running, waiting, slots : int
        Calls on the endpoint, calls held back beside it, and its capacity.
    slowness, mean_slowness : float
        Time of work relative to the ordinary time, now and over some seconds.
    failing : float
        Recent share of failed calls.
    age_s : float
        Age of these facts in seconds.
    left_s : float or None
        Seconds for which the present slowness is likely to last; None if unknown, or
        if it should not decide.
    """

    instance: str
    near: bool
    running: int
    waiting: int
    slots: int
    slowness: float
    mean_slowness: float = 1.0 / work_estimation.USUAL_SPEED
    failing_ratio: float = 0.0
    age_s: float = 0.0
    phase_left_s: float | None = None

    @property
    def is_silent(self) -> bool:
        """Whether the endpoint's node has not been heard for too long."""
        return self.age_s > SILENT_NODE_S


def expected_time_s(
    candidate: Candidate, work_s: float, mean_work_s: float, *, may_hedge: bool = True
) -> float:
    """Return the seconds until a call would end on an endpoint.

    Parameters
    ----------
    work_s : float
        Expected work of the call, in undisturbed seconds.
    mean_work_s : float
        Mean work of the calls that are ahead of it.
    may_hedge : bool
        Whether the call can be sent to a second endpoint if this one stays slow.
    """
    slots = max(1, candidate.slots)
    ahead = candidate.running + candidate.waiting
    crowding = max(0.0, min(1.0, (ahead + 1) / slots) - COMFORTABLE_SHARE)
    run_s = work_s * (1.0 + CROWDING * crowding / (1.0 - COMFORTABLE_SHARE))
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
) -> Candidate | None:
    """Return the endpoint on which a call costs least; None if no node is heard.

    A call sent to a silent node would only wait until its deadline.

    Parameters
    ----------
    may_hedge : bool
        Whether the call can be sent to a second endpoint if the first turns slow.
    """
    heard = [c for c in candidates if not c.is_silent]
    if not heard:
        return None
    if len(heard) < MIN_CHOICES:
        for candidate in heard:
            candidate.phase_left_s = None
    costs = [cost_s(c, work_s, mean_work_s, may_hedge=may_hedge) for c in heard]
    limit = min(costs) * (1.0 + SIMILAR_SHARE)
    similar = [c for c, cost in zip(heard, costs, strict=True) if cost <= limit]
    return rng.choice(similar)


def cost_s(
    candidate: Candidate, work_s: float, mean_work_s: float, *, may_hedge: bool
) -> float:
    """Return the expected time with the cost of distance and failures, seconds."""
    cost = expected_time_s(candidate, work_s, mean_work_s, may_hedge=may_hedge)
    cost *= 1.0 + FAILURE_COST * candidate.failing_ratio
    return cost if candidate.near else cost * (1.0 + FAR_COST)


def _aged_slowness(candidate: Candidate) -> float:
    aged_s = max(0.0, candidate.age_s - FRESH_S)
    trust = max(0.0, 1.0 - aged_s / (STALE_S - FRESH_S))
    return candidate.slowness * trust + candidate.mean_slowness * (1.0 - trust)
