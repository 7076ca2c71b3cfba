"""How much work a call takes and how far a running one has come.

Load pattern: endpoints share hosts, so the same call takes several times as long
while a neighbour is busy. Time on the clock therefore says little about a call; the
time it would have taken on an undisturbed endpoint does.
"""

from __future__ import annotations

import dataclasses

# Weight of a new sample: the mean follows a changed operation within about 20 calls.
SAMPLE_WEIGHT = 0.1
# Work assumed of an operation that has not been seen, seconds.
UNKNOWN_WORK_S = 0.2
# An endpoint that reports less is not believed; its work would never seem to end.
MIN_SLOWNESS = 0.25


@dataclasses.dataclass(slots=True)
class Progress:
    """Work an endpoint could have done since it was first seen.

    Attributes
    ----------
    slowness : float
        Present time of work relative to the ordinary time.
    done_s : float
        Undisturbed seconds of work until `at`.
    at : float
        Monotonic time in seconds.
    """

    at: float
    slowness: float = 1.0
    done_s: float = 0.0

    def set_slowness(self, slowness: float, now: float) -> None:
        """Take over a new slowness that holds from `now` on."""
        self.done_s = self.work_until(now)
        self.at = now
        self.slowness = max(MIN_SLOWNESS, slowness)

    def work_until(self, now: float) -> float:
        """Return the undisturbed seconds of work done until `now`."""
        return self.done_s + max(0.0, now - self.at) / self.slowness


class Estimates:
    """Expected work of calls by service and operation, in undisturbed seconds."""

    def __init__(self) -> None:
        self._work_s_by_operation: dict[tuple[str, str], float] = {}
        self._work_s_by_service: dict[str, float] = {}

    def record(self, service: str, operation: str, work_s: float) -> None:
        """Take over the work that one answered call took."""
        key = (service, operation)
        known = self._work_s_by_operation.get(key)
        self._work_s_by_operation[key] = _mean(known, work_s)
        self._work_s_by_service[service] = _mean(
            self._work_s_by_service.get(service), work_s
        )

    def work_s(self, service: str, operation: str) -> float:
        """Return the expected work of a call."""
        known = self._work_s_by_operation.get((service, operation))
        if known is not None:
            return known
        return self._work_s_by_service.get(service, UNKNOWN_WORK_S)

    def retain(self, operations: set[tuple[str, str]]) -> None:
        """Forget the operations that are no longer published."""
        for key in [k for k in self._work_s_by_operation if k not in operations]:
            del self._work_s_by_operation[key]


def _mean(known: float | None, sample: float) -> float:
    if known is None:
        return sample
    return known + SAMPLE_WEIGHT * (sample - known)
