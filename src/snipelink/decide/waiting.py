"""In which order calls wait for an endpoint, and which wait in vain.

Load pattern: a burst of up to three times the capacity, or servers that lose most of
their speed, for some seconds. First come first served then answers everybody late;
here calls that can still meet their latency objective go before those that cannot,
and calls that cannot be answered at all are given back at once.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

# Calls that running calls wait for go before all others: their parents hold slots.
INTERNAL_RANK = -1


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
    internal : bool
        Whether a running call waits for this one.
    arrived : float
        Monotonic time of arrival.
    """

    work_s: float
    target: float
    deadline: float
    priority: int
    internal: bool
    arrived: float


def rank(demand: Demand, slowness: float, now: float) -> tuple[bool, int, float]:
    """Return the sort key of a waiting call; the smallest one starts next."""
    ends = now + demand.work_s * slowness
    priority = INTERNAL_RANK if demand.internal else demand.priority
    return (ends > demand.target, priority, demand.arrived)


def is_hopeless(demand: Demand, slowness: float, now: float) -> bool:
    """Whether a call that started now would not be answered by its deadline."""
    return now + demand.work_s * slowness > demand.deadline


def wait_s(
    demand: Demand,
    waiting: Iterable[Demand],
    remaining_s: Iterable[float],
    slots: int,
    slowness: float,
    now: float,
) -> float:
    """Return the seconds until a new call would start.

    Parameters
    ----------
    waiting : iterable of Demand
        The calls that wait already; those of a smaller rank start first.
    remaining_s : iterable of float
        Undisturbed seconds of work left of each running call.
    """
    running = list(remaining_s)
    own = rank(demand, slowness, now)
    ahead = [d for d in waiting if rank(d, slowness, now) <= own]
    if len(running) + len(ahead) < slots:
        return 0.0
    work_s = sum(d.work_s for d in ahead) + sum(running)
    return work_s / max(1, slots) * slowness
