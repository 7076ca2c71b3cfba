"""Whether any endpoint of a service can start a call in time.

The node of an endpoint refuses a call that would wait there for too long. Where all
endpoints of a service are full, the node of the caller would learn that only from one
refusal after the other. It therefore applies the same rule to the load reports by which
it chooses endpoints, with a tolerance, because they are some milliseconds old.

A report that is not fresh can show that there is room, but not that there is none.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Sequence

from snipelink.decide import placement, queue_policy, slowness_period, work_estimation

# Maximum expected wait at the caller's node, as a multiple of the one at the endpoint.
SERVICE_WAIT_FACTOR = 1.5
# The same for a call that an endpoint's node has refused: its report was outdated, so
# the others get no tolerance.
RETRY_WAIT_FACTOR = 1.0
# Fraction of the endpoints whose reports must be fresh for a refusal.
MIN_FRESH_RATIO = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """Room of a service for one call.

    Attributes
    ----------
    is_sufficient : bool
        Whether an endpoint can start the call in time, or may be able to.
    start_s : float
        Expected seconds until the call could start.
    """

    is_sufficient: bool
    start_s: float


def find_room(
    candidates: Sequence[placement.Candidate],
    demand: queue_policy.Demand,
    mean_work_s: float,
    share_ahead: float,
    now: float,
    *,
    wait_factor: float = SERVICE_WAIT_FACTOR,
) -> Room:
    """Return whether a service has room for a call in time.

    Parameters
    ----------
    mean_work_s : float
        Mean work of the calls of the service.
    share_ahead : float
        Fraction of the waiting calls that start before this one; see
        `service_floor.ServiceFloor.share_ahead`.
    wait_factor : float
        Tolerance of the maximum wait.
    """
    responsive = [each for each in candidates if not each.is_silent]
    fresh = [each for each in responsive if _is_fresh(each)]
    if not fresh or len(fresh) < MIN_FRESH_RATIO * len(responsive):
        return Room(True, 0.0)
    earliest_s = math.inf
    for each in responsive:
        start_s = expected_start_s(each, demand, mean_work_s, share_ahead, now)
        run_s = demand.work_s * each.mean_slowness
        allowed_s = queue_policy.allowed_wait_s(demand, run_s, now)
        if queue_policy.misses_deadline(demand, run_s, now):
            start_s = max(start_s, run_s)
        elif start_s <= allowed_s * wait_factor:
            return Room(True, start_s)
        if _is_fresh(each):
            earliest_s = min(earliest_s, start_s)
    return Room(False, earliest_s)


def expected_start_s(
    candidate: placement.Candidate,
    demand: queue_policy.Demand,
    mean_work_s: float,
    share_ahead: float,
    now: float,
) -> float:
    """Return the expected seconds until an endpoint starts a call."""
    wait_s = work_estimation.duration_s(
        _work_ahead_s(candidate, mean_work_s, share_ahead),
        candidate.slowness,
        candidate.mean_slowness,
        slowness_period.DEFAULT_PHASE_S,
    )
    run_s = work_estimation.duration_s(
        demand.work_s,
        candidate.slowness,
        candidate.mean_slowness,
        work_estimation.LONG_PHASE_S,
    )
    if queue_policy.misses_deadline(demand, run_s, now):
        return max(wait_s, slowness_period.DEFAULT_PHASE_S)
    return wait_s


def _work_ahead_s(
    candidate: placement.Candidate, mean_work_s: float, share_ahead: float
) -> float:
    """Return the work per slot before a call starts; see `queue_policy.work_ahead_s`.

    A running call has half of its work left in the mean.
    """
    slots = max(1, candidate.slots)
    ahead = candidate.waiting * share_ahead
    if candidate.running + ahead < slots:
        return 0.0
    first_s = mean_work_s / (candidate.running + 1)
    return max(first_s, (ahead + candidate.running / 4) * mean_work_s / slots)


def _is_fresh(candidate: placement.Candidate) -> bool:
    return candidate.age_s <= placement.FRESH_REPORT_S
