"""Estimates of the work of calls, and the progress of running ones.

Endpoints share hosts, so the same call takes several times as long while a neighbour
uses the processor. The elapsed time therefore says little about a call. Its work is
measured instead in seconds at normal speed: the time that it would take on an endpoint
without such interference. Slowness is the duration of work relative to normal speed; a
phase is an interval during which the slowness of an endpoint does not change.
"""

from __future__ import annotations

import dataclasses
import math

from snipelink.decide import slowness_period

# Minimum weight of a new sample; with it the mean follows a changed operation within
# about 20 calls.
MIN_SAMPLE_WEIGHT = 0.1
# Assumed work of an operation without samples, as a fraction of its latency objective.
# Objectives allow for about one and a half times the work on top of it.
DEFAULT_WORK_RATIO = 0.4
# Assumed mean work of a service's calls without samples.
DEFAULT_WORK_S = 0.2
# Lower bound of the slowness. A lower reported value is not plausible; a call would
# soon appear overdue, and its estimated remaining work would never end.
MIN_SLOWNESS = 0.25
# Assumed duration of a slow phase where an underestimate would occupy a slot until the
# call's deadline. One in twenty slow phases lasts that long, because the slowness stays
# the same through three changes of the host's load.
LONG_PHASE_S = 1.5
# Time constant of the mean speed; it covers several changes of the host's load.
MEAN_SPEED_TIME_CONSTANT_S = 3.0
# Relative change of slowness that starts a new phase.
PHASE_CHANGE_RATIO = 0.25
# Mean speed that is assumed for a server on a shared host until it is observed.
DEFAULT_SPEED = 0.8


def duration_s(
    work_s: float, slowness: float, mean_slowness: float, phase_s: float
) -> float:
    """Return the seconds that work takes on an endpoint if it starts now.

    Parameters
    ----------
    work_s : float
        Work in seconds at normal speed.
    slowness, mean_slowness : float
        Slowness now, and its average over some seconds.
    phase_s : float
        Seconds for which the present slowness lasts; the mean applies after them.
    """
    soon_s = phase_s / slowness
    if work_s <= soon_s:
        return work_s * slowness
    return phase_s + (work_s - soon_s) * mean_slowness


@dataclasses.dataclass(slots=True)
class EndpointProgress:
    """Work that a call on an endpoint would have done since the first report.

    The progress of a call is the difference between two values of `done_until_s`.

    Attributes
    ----------
    updated_at : float
        Monotonic time of the last update in seconds.
    period_estimator : PeriodEstimator
        Estimates the period of the slowness changes.
    slowness : float
        Present slowness.
    done_s : float
        Work done until `updated_at`, in seconds at normal speed.
    mean_speed : float
        Mean work per second until `updated_at`.
    changed_at : float or None
        Monotonic time of the last change; None if it was detected too late.
    """

    updated_at: float
    period_estimator: slowness_period.PeriodEstimator
    slowness: float = 1.0
    done_s: float = 0.0
    mean_speed: float = DEFAULT_SPEED
    changed_at: float | None = None

    @property
    def mean_slowness(self) -> float:
        """Mean slowness over the last seconds."""
        return 1.0 / self.mean_speed

    def set_slowness(
        self, slowness: float, now: float, *, is_prompt: bool = True
    ) -> bool:
        """Set the slowness from `now` on; return whether it starts a new phase.

        Parameters
        ----------
        is_prompt : bool
            Whether a change is reported within milliseconds. The time of another one
            is not used to estimate the period.
        """
        changed = abs(slowness - self.slowness) > PHASE_CHANGE_RATIO * self.slowness
        if changed and is_prompt:
            self._record_change(now)
        elif changed:
            self.changed_at = None
        share = 1.0 - math.exp(
            -max(0.0, now - self.updated_at) / MEAN_SPEED_TIME_CONSTANT_S
        )
        self.mean_speed += share * (1.0 / self.slowness - self.mean_speed)
        self.done_s = self.done_until_s(now)
        self.updated_at = now
        self.slowness = max(MIN_SLOWNESS, slowness)
        return changed

    def done_until_s(self, now: float) -> float:
        """Return the work done until `now`, in seconds at normal speed."""
        return self.done_s + max(0.0, now - self.updated_at) / self.slowness

    def phase_left_s(self, now: float) -> float:
        """Return the seconds for which the present slowness is likely to last."""
        return self.period_estimator.phase_left_s(self.changed_at, now)

    def duration_s(self, work_s: float, now: float) -> float:
        """Return the seconds that work takes if it starts now."""
        left_s = self.phase_left_s(now)
        return duration_s(work_s, self.slowness, self.mean_slowness, left_s)

    def max_duration_s(self, work_s: float) -> float:
        """Return the seconds that work takes if the present slowness lasts long."""
        return duration_s(work_s, self.slowness, self.mean_slowness, LONG_PHASE_S)

    def _record_change(self, now: float) -> None:
        if now - self.updated_at > slowness_period.MAX_REPORT_GAP_S:
            self.changed_at = None
            return
        if self.changed_at is not None:
            self.period_estimator.add_gap(now - self.changed_at)
        self.changed_at = now


@dataclasses.dataclass(slots=True)
class RunningMean:
    """Mean of samples: arithmetic for the first ones, then exponentially weighted."""

    value: float = 0.0
    count: int = 0

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.count += 1
        self.value += max(MIN_SAMPLE_WEIGHT, 1.0 / self.count) * (sample - self.value)


class WorkEstimates:
    """Expected work of calls by service and operation, in seconds at normal speed."""

    def __init__(self) -> None:
        self._mean_by_operation: dict[tuple[str, str], RunningMean] = {}
        self._mean_by_service: dict[str, RunningMean] = {}

    def record(self, service: str, operation: str, work_s: float) -> None:
        """Record the work of one answered call."""
        key = (service, operation)
        self._mean_by_operation.setdefault(key, RunningMean()).add(work_s)
        self._mean_by_service.setdefault(service, RunningMean()).add(work_s)

    def work_s(self, service: str, operation: str, objective_s: float) -> float:
        """Return the expected work of a call.

        Parameters
        ----------
        objective_s : float
            Latency objective of the operation; the work of the first calls is estimated
            from it.
        """
        mean = self._mean_by_operation.get((service, operation))
        return DEFAULT_WORK_RATIO * objective_s if mean is None else mean.value

    def mean_work_s(self, service: str) -> float:
        """Return the mean work of a service's calls."""
        mean = self._mean_by_service.get(service)
        return DEFAULT_WORK_S if mean is None else mean.value

    def retain(self, operations: set[tuple[str, str]]) -> None:
        """Discard the operations that are not among the given ones."""
        for key in [k for k in self._mean_by_operation if k not in operations]:
            del self._mean_by_operation[key]
