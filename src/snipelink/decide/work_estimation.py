"""How much work a call takes and how far a running one has come.

Load pattern: endpoints share hosts, so the same call takes several times as long
while a neighbour is busy. Time on the clock therefore says little about a call; the
time it would have taken on an undisturbed endpoint does.
"""

from __future__ import annotations

import dataclasses
import math

from snipelink.decide import slowness_period

# Weight of a new sample: the mean follows a changed operation within about 20 calls.
SAMPLE_WEIGHT = 0.1
# Work assumed of an operation that has not been seen, as a share of its latency
# objective; objectives leave room for about one and a half times the work.
UNKNOWN_SHARE = 0.4
# Mean work of a service's calls while none has been seen, seconds.
UNKNOWN_WORK_S = 0.2
# An endpoint that reports less is not believed; its work would never seem to end.
MIN_SLOWNESS = 0.25
# Time for which an endpoint is taken to stay slow where a wrong guess costs a slot
# until the call's deadline, seconds: a slow phase that outlasts three changes of the
# host's load, as one in twenty does.
LONG_PHASE_S = 1.5
# Time constant of the mean speed, seconds: some changes of the host's load.
MEAN_WINDOW_S = 3.0
# Change of slowness, as a share, that begins a new phase.
CHANGED_SHARE = 0.25
# Mean speed of a server on a shared host, used until it has been observed.
USUAL_SPEED = 0.8


def duration_s(
    work_s: float, slowness: float, mean_slowness: float, phase_s: float
) -> float:
    """Return the seconds that work takes on an endpoint from now on.

    Parameters
    ----------
    work_s : float
        Work in undisturbed seconds.
    slowness, mean_slowness : float
        Time of work relative to the ordinary time, now and over some seconds.
    phase_s : float
        Seconds for which the present slowness lasts.
    """
    soon_s = phase_s / slowness
    if work_s <= soon_s:
        return work_s * slowness
    return phase_s + (work_s - soon_s) * mean_slowness


@dataclasses.dataclass(slots=True)
class EndpointProgress:
    """Work an endpoint could have done since it was first seen.

    Attributes
    ----------
    slowness : float
        Present time of work relative to the ordinary time.
    done_s : float
        Undisturbed seconds of work until `at`.
    mean_speed : float
        Work done per second over the last seconds, until `at`.
    at : float
        Monotonic time in seconds.
    period_estimator : PeriodEstimator
        When endpoints change their slowness.
    changed_at : float or None
        Monotonic time of the last change; None if it was not seen in time.
    """

    updated_at: float
    period_estimator: slowness_period.PeriodEstimator
    slowness: float = 1.0
    done_s: float = 0.0
    mean_speed: float = USUAL_SPEED
    changed_at: float | None = None

    @property
    def mean_slowness(self) -> float:
        """Time of work relative to the ordinary time, over the last seconds."""
        return 1.0 / self.mean_speed

    def set_slowness(self, slowness: float, now: float) -> bool:
        """Take over a slowness that holds from `now` on; true if it is another one."""
        changed = abs(slowness - self.slowness) > CHANGED_SHARE * self.slowness
        if changed:
            self._note_change(now)
        share = 1.0 - math.exp(-max(0.0, now - self.updated_at) / MEAN_WINDOW_S)
        self.mean_speed += share * (1.0 / self.slowness - self.mean_speed)
        self.done_s = self.done_until_s(now)
        self.updated_at = now
        self.slowness = max(MIN_SLOWNESS, slowness)
        return changed

    def done_until_s(self, now: float) -> float:
        """Return the undisturbed seconds of work done until `now`."""
        return self.done_s + max(0.0, now - self.updated_at) / self.slowness

    def phase_left_s(self, now: float) -> float:
        """Return the seconds for which the present slowness is likely to last."""
        return self.period_estimator.phase_left_s(self.changed_at, now)

    def duration_s(self, work_s: float, now: float) -> float:
        """Return the seconds that work takes from now on."""
        left_s = self.phase_left_s(now)
        return duration_s(work_s, self.slowness, self.mean_slowness, left_s)

    def max_duration_s(self, work_s: float) -> float:
        """Return the seconds that work takes if the present slowness lasts."""
        return duration_s(work_s, self.slowness, self.mean_slowness, LONG_PHASE_S)

    def _note_change(self, now: float) -> None:
        if now - self.updated_at > slowness_period.MAX_REPORT_GAP_S:
            self.changed_at = None
            return
        if self.changed_at is not None:
            self.period_estimator.add_gap(now - self.changed_at)
        self.changed_at = now


@dataclasses.dataclass(slots=True)
class _Mean:
    """Mean of samples; the first few count alike, then the latest count most."""

    value: float = 0.0
    count: int = 0

    def add(self, sample: float) -> None:
        """Take over a sample."""
        self.count += 1
        self.value += max(SAMPLE_WEIGHT, 1.0 / self.count) * (sample - self.value)


class WorkEstimates:
    """Expected work of calls by service and operation, in undisturbed seconds."""

    def __init__(self) -> None:
        self._mean_by_operation: dict[tuple[str, str], _Mean] = {}
        self._mean_by_service: dict[str, _Mean] = {}

    def record(self, service: str, operation: str, work_s: float) -> None:
        """Take over the work that one answered call took."""
        key = (service, operation)
        self._mean_by_operation.setdefault(key, _Mean()).add(work_s)
        self._mean_by_service.setdefault(service, _Mean()).add(work_s)

    def work_s(self, service: str, operation: str, objective_s: float) -> float:
        """Return the expected work of a call.

        Parameters
        ----------
        objective_s : float
            Latency objective of the operation, from which the work of the first calls
            is guessed.
        """
        known = self._mean_by_operation.get((service, operation))
        return UNKNOWN_SHARE * objective_s if known is None else known.value

    def mean_work_s(self, service: str) -> float:
        """Return the mean work of a service's calls."""
        known = self._mean_by_service.get(service)
        return UNKNOWN_WORK_S if known is None else known.value

    def retain(self, operations: set[tuple[str, str]]) -> None:
        """Forget the operations that are no longer published."""
        for key in [k for k in self._mean_by_operation if k not in operations]:
            del self._mean_by_operation[key]
