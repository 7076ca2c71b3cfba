"""Queue order and load shedding of the calls that wait for an endpoint.

In a burst of up to three times the capacity, or while servers lose most of their speed
for some seconds, a first-come, first-served queue would answer every call late. Calls
are therefore ordered by priority, and then by whether they can still meet their latency
objective. A call may only wait if it is likely to be served; otherwise it is refused at
once, as an early retry is better for its caller than a refusal after a long wait.

A call that cannot finish by its deadline would occupy a slot until then without use.
While an endpoint is so slow that this is likely, calls wait until it is fast again or
are refused before they run, so that they can be tried on another endpoint.

A call that a running request makes is internal: its refusal also fails the request, for
which a caller has waited. Internal calls precede all others and may wait for most of
the time until their deadline, as a late answer still completes the request.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

# Maximum expected wait of a call as a fraction of the time until its latency objective
# minus its run time. The rest is a reserve in case the endpoint becomes slower.
TARGET_WAIT_RATIO = 0.6
# Maximum expected wait of a call that will miss its objective, as a fraction of the
# time until its deadline minus its run time.
DEADLINE_WAIT_RATIO = 0.2
# The same fraction for internal calls, whether or not they will miss their objective.
INTERNAL_DEADLINE_WAIT_RATIO = 0.6
# Actual wait after which a call is refused, as a multiple of the allowed expected wait.
MAX_WAIT_FACTOR = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Work and time limits of a call.

    Attributes
    ----------
    work_s : float
        Expected work in seconds at normal speed.
    target : float
        Monotonic time of the latency objective, after which an answer loses value.
    deadline : float
        Monotonic time after which an answer has no value.
    priority : int
        Configured priority of the operation; 0 is the highest.
    arrived_at : float
        Monotonic time of arrival.
    is_internal : bool
        Whether a running request makes the call and needs its answer.
    """

    work_s: float
    target: float
    deadline: float
    priority: int
    arrived_at: float
    is_internal: bool = False

    @property
    def precedence(self) -> tuple[bool, int]:
        """Precedence over other calls; the smallest comes first."""
        return (not self.is_internal, self.priority)


def rank(
    demand: Demand, run_s: float, now: float
) -> tuple[tuple[bool, int], bool, float]:
    """Return the sort key of a waiting call; the call with the smallest starts next.

    Parameters
    ----------
    run_s : float
        Seconds that the call would take if it started now.
    """
    return (demand.precedence, now + run_s > demand.target, demand.arrived_at)


def allowed_wait_s(demand: Demand, run_s: float, now: float) -> float:
    """Return the maximum expected wait, in seconds, with which a call may be queued.

    Parameters
    ----------
    run_s : float
        Seconds that the call would take if it started now.
    """
    to_target_s = demand.target - now - run_s
    to_deadline_s = max(0.0, demand.deadline - now - run_s)
    if demand.is_internal:
        return INTERNAL_DEADLINE_WAIT_RATIO * to_deadline_s
    if to_target_s > 0.0:
        return TARGET_WAIT_RATIO * to_target_s
    return DEADLINE_WAIT_RATIO * to_deadline_s


def misses_deadline(demand: Demand, run_s: float, now: float) -> bool:
    """Whether a call that starts at `now` would miss its deadline."""
    return now + run_s > demand.deadline


def work_ahead_s(
    demand: Demand, waiting: Sequence[Demand], remaining_s: Sequence[float], slots: int
) -> float:
    """Return the work per slot before a call starts, in seconds at normal speed.

    Parameters
    ----------
    waiting : sequence of Demand
        Calls that already wait; those of equal or higher precedence start first.
    remaining_s : sequence of float
        Remaining work of each running call, in seconds at normal speed.
    slots : int
        Number of calls that run concurrently.
    """
    ahead = [each for each in waiting if each.precedence <= demand.precedence]
    return queue_work_s(ahead, remaining_s, slots)


def queue_work_s(
    ahead: Sequence[Demand], remaining_s: Sequence[float], slots: int
) -> float:
    """Return the work per slot before a call starts behind all of `ahead`."""
    if len(remaining_s) + len(ahead) < slots:
        return 0.0
    # The first slot that becomes free serves the first waiting call, and so on.
    work_s = sum(each.work_s for each in ahead) + sum(remaining_s)
    shortest_s = min(remaining_s, default=0.0)
    return max(shortest_s, (work_s - sum(remaining_s) / 2) / max(1, slots))
