"""In which order calls wait for an endpoint, and which are refused.

Load pattern: a burst of up to three times the capacity, or servers that lose most of
their speed, for some seconds. First come first served then answers everybody late.
Here urgent calls go first, then those that can still meet their latency objective. A
call waits only if it is likely to be served: its caller does better to come back soon
than to be refused after a long wait.

A call that does not end by its deadline holds its slot until then for nothing. While an
endpoint is so slow that this is likely, calls wait for it to be quick again, or are
refused before they have run, so that they can be tried elsewhere.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

# Share of the time to its latency objective, less its work, for which a call may be
# expected to wait; the rest covers what the endpoint may lose of its speed.
TIMELY_SHARE = 0.6
# The same for a call that misses its objective, of the time to its deadline.
LATE_SHARE = 0.2
# Time after which a waiting call is refused, as a multiple of what was allowed.
PATIENCE = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a waiting call needs.

    Attributes
    ----------
    work_s : float
        Expected work in undisturbed seconds.
    target : float
        Monotonic time by which an answer has its full value.
    deadline : float
        Monotonic time after which an answer has none.
    priority : int
        Rank that operators gave to the operation; 0 is the highest.
    arrived : float
        Monotonic time of arrival.
    """

    work_s: float
    target: float
    deadline: float
    priority: int
    arrived_at: float


def rank(demand: Demand, run_s: float, now: float) -> tuple[int, bool, float]:
    """Return the sort key of a waiting call; the smallest one starts next.

    Parameters
    ----------
    run_s : float
        Seconds that the call would take if it started now.
    """
    return (demand.priority, now + run_s > demand.target, demand.arrived_at)


def allowed_wait_s(demand: Demand, run_s: float, now: float) -> float:
    """Return the seconds that a call may be expected to wait.

    Parameters
    ----------
    run_s : float
        Seconds that the call would take if it started now.
    """
    to_target_s = demand.target - now - run_s
    if to_target_s > 0.0:
        return TIMELY_SHARE * to_target_s
    return LATE_SHARE * max(0.0, demand.deadline - now - run_s)


def misses_deadline(demand: Demand, run_s: float, now: float) -> bool:
    """Whether a call that starts at `now` is not answered by its deadline."""
    return now + run_s > demand.deadline


def work_ahead_s(
    demand: Demand, waiting: Sequence[Demand], remaining_s: Sequence[float], slots: int
) -> float:
    """Return the undisturbed seconds of work of each slot until a call starts.

    Parameters
    ----------
    waiting : sequence of Demand
        The calls that wait already; those of the same rank or a smaller one go first.
    remaining_s : sequence of float
        Undisturbed seconds of work left of each running call.
    slots : int
        Calls that run at once.
    """
    ahead = [d for d in waiting if d.priority <= demand.priority]
    if len(remaining_s) + len(ahead) < slots:
        return 0.0
    # The first slot that gets free serves the first waiting call, and so on.
    work_s = sum(d.work_s for d in ahead) + sum(remaining_s)
    shortest_s = min(remaining_s, default=0.0)
    return max(shortest_s, (work_s - sum(remaining_s) / 2) / max(1, slots))
