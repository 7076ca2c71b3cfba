"""Times at which refused callers should retry, so that they find room.

Callers that are refused together and retry together are refused again, and most callers
retry only once. Each node therefore counts the returns that it has promised for the
coming time and promises no more of them for a moment than will fit. A caller waits for
at most a fraction of the time that it has left, so callers with little time left can
only be given early times. Where these are taken, they are spread evenly, and callers
with more time are given later ones.

Nodes do not tell each other their promises. Each of them uses its part of the room of a
service.
"""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Collection, Iterable

# Length of the intervals for which promised returns are counted, seconds.
STEP_S = 0.1
# Earliest and latest return that is promised, seconds from now.
MIN_RETURN_S = 0.05
MAX_RETURN_S = 2.0
# Fraction of the remaining time for which callers wait at most.
MAX_WAIT_RATIO = 1 / 3
# Time that an answer and a return take on the way, seconds.
TRANSIT_S = 0.01
# Minimum rate of the returns that a node promises, so that the returns of services
# without reported room are spread.
MIN_RETURNS_PER_S = 0.2
# Lower bound of the expected work of a service's calls, seconds.
MIN_WORK_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRoom:
    """Reported load of an endpoint.

    Attributes
    ----------
    slots, running, waiting : int
        Calls that may run at once, calls that run and calls that wait.
    slowness : float
        Duration of work relative to normal speed.
    """

    slots: int
    running: int
    waiting: int
    slowness: float


@dataclasses.dataclass(frozen=True, slots=True)
class Appointment:
    """Time at which a refused caller should retry.

    Attributes
    ----------
    after_s : float
        Seconds until then.
    is_booked : bool
        Whether room is kept for the caller. Otherwise all moments at which it can
        return are taken, and it is given one with few other returns.
    """

    after_s: float
    is_booked: bool


@dataclasses.dataclass(slots=True)
class _Step:
    """Returns promised for one step.

    Attributes
    ----------
    rounding : float
        Random number by which a fractional capacity is rounded. The steps of many
        nodes with a small part of the room each thus have that room in the mean.
    """

    rounding: float
    count: int = 0


def returns_per_s(
    endpoints: Iterable[EndpointRoom], mean_work_s: float, node_count: int
) -> float:
    """Return the rate of returns for which a service has room, for one of its nodes.

    The room is what the endpoints can run in the next second, less the calls that they
    have already.

    Parameters
    ----------
    mean_work_s : float
        Mean work of the service's calls, in seconds at normal speed.
    node_count : int
        Number of nodes that promise returns.
    """
    work_s = max(MIN_WORK_S, mean_work_s)
    per_s = sum(
        max(0.0, each.slots / (work_s * each.slowness) - each.running - each.waiting)
        for each in endpoints
    )
    return max(MIN_RETURNS_PER_S, per_s / max(1, node_count))


class ReturnSchedule:
    """Returns that one node has promised, by service and step."""

    def __init__(self) -> None:
        self._steps_by_service: dict[str, dict[int, _Step]] = {}

    def book(
        self,
        service: str,
        per_s: float,
        earliest_s: float,
        remaining_s: float,
        now: float,
        rng: random.Random,
    ) -> Appointment:
        """Return when a refused caller should retry, and count its return.

        Parameters
        ----------
        per_s : float
            Returns a second that fit; see `returns_per_s`.
        earliest_s : float
            Seconds until the present backlog is done.
        remaining_s : float
            Seconds that the caller has left.
        """
        steps = self._steps_by_service.setdefault(service, {})
        _drop_past(steps, now)
        latest_s = min(MAX_RETURN_S, remaining_s * MAX_WAIT_RATIO - TRANSIT_S)
        latest_s = max(MIN_RETURN_S, latest_s)
        first_s = max(MIN_RETURN_S, earliest_s)
        if first_s >= latest_s:
            # The caller has gone before the backlog is done. It is given a time in the
            # later half of what it has, when some of the backlog is done.
            first_s = max(MIN_RETURN_S, latest_s / 2)
        indexes = range(_index(now + first_s), _index(now + latest_s) + 1)
        for index in indexes:
            if index not in steps:
                steps[index] = _Step(rng.random())
        chosen = next((i for i in indexes if _has_room(steps[i], per_s)), None)
        is_booked = chosen is not None
        if chosen is None:
            fewest = min(steps[i].count for i in indexes)
            chosen = rng.choice([i for i in indexes if steps[i].count == fewest])
        steps[chosen].count += 1
        at_s = (chosen + rng.random()) * STEP_S - now
        return Appointment(min(latest_s, max(first_s, at_s)), is_booked)

    def promised_count(self, service: str, now: float) -> int:
        """Return the number of returns that are promised from now on."""
        steps = self._steps_by_service.get(service, {})
        _drop_past(steps, now)
        return sum(step.count for step in steps.values())

    def retain(self, services: Collection[str]) -> None:
        """Discard the returns to services that are not among the given ones."""
        for service in [s for s in self._steps_by_service if s not in services]:
            del self._steps_by_service[service]

    @property
    def services(self) -> tuple[str, ...]:
        """Services with counted returns."""
        return tuple(self._steps_by_service)


def _index(at: float) -> int:
    return math.floor(at / STEP_S)


def _has_room(step: _Step, per_s: float) -> bool:
    return step.count < math.floor(per_s * STEP_S + step.rounding)


def _drop_past(steps: dict[int, _Step], now: float) -> None:
    present = _index(now)
    for index in [i for i in steps if i < present]:
        del steps[index]
