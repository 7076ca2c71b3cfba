"""How a stand-in endpoint behaves: service times, noisy neighbours and switches."""

from __future__ import annotations

import collections
import dataclasses
import math
import random

MIN_SPEED_PHASE_S = 0.005
MAX_SPEED_PHASE_S = 0.5
SERVICE_TIME_SIGMA = 0.5
COLD_START_SLOWDOWN = 4.0
# Weight and slowdown of each level; speeds are normalised to a mean of 1 over time.
NOISE_SLOWDOWNS = ((0.75, 1.0), (0.18, 3.0), (0.07, 8.0))


@dataclasses.dataclass(slots=True)
class Switches:
    """Faults that the control path turns on and off.

    Attributes
    ----------
    slow : float
        Factor on every service time.
    fail : bool
        Answer 500 at once.
    shed : bool
        Answer 503 with ``Retry-After`` at once.
    draining : bool
        Announce ``Snipelink-State: draining`` on answers. New work is still
        accepted, so that a run shows whether it keeps coming.
    cut : float
        Share of answers that are cut off inside the body.
    lie : bool
        Report an idle endpoint whatever the load.
    crash_marked : bool
        End the process when it runs a request marked ``crash``.
    cold_s : float
        Time after the start during which requests take longer.
    freeze_s : float
        Stop all work for this time; acts once when it is set.
    """

    slow: float = 1.0
    fail: bool = False
    shed: bool = False
    draining: bool = False
    cut: float = 0.0
    lie: bool = False
    crash_marked: bool = True
    cold_s: float = 0.0
    freeze_s: float = 0.0


class Noise:
    """Speed of an endpoint that shifts every 5 to 500 ms, with mean 1.

    A shift also slows the requests that are running: what a request takes is work,
    and its end depends on the speeds until then.
    """

    def __init__(self, rng: random.Random, enabled: bool, now: float) -> None:
        self._rng = rng
        self._enabled = enabled
        # Ends and speeds of the shifts, the current one first.
        self._shifts = collections.deque([(now, 1.0)])

    def duration_s(self, work_s: float, now: float) -> float:
        """Return how long work that takes `work_s` at speed 1 takes from `now` on."""
        if not self._enabled:
            return work_s
        while self._shifts[0][0] <= now:
            if len(self._shifts) == 1:
                self._extend()
            self._shifts.popleft()
        at, index = now, 0
        while True:
            ends, speed = self._shifts[index]
            if work_s <= (ends - at) * speed:
                return at + work_s / speed - now
            work_s -= (ends - at) * speed
            at, index = ends, index + 1
            if index == len(self._shifts):
                self._extend()

    def _extend(self) -> None:
        mean = sum(weight / factor for weight, factor in NOISE_SLOWDOWNS)
        weights = [weight for weight, _ in NOISE_SLOWDOWNS]
        factors = [factor for _, factor in NOISE_SLOWDOWNS]
        speed = 1.0 / (self._rng.choices(factors, weights)[0] * mean)
        low, high = math.log(MIN_SPEED_PHASE_S), math.log(MAX_SPEED_PHASE_S)
        lasts_s = math.exp(self._rng.uniform(low, high))
        self._shifts.append((self._shifts[-1][0] + lasts_s, speed))


class ServiceTimes:
    """Draws the time that a request takes.

    Parameters
    ----------
    means_by_operation : dict of str to float
        Mean seconds by operation; the key ``""`` is the default.
    """

    def __init__(
        self, rng: random.Random, means_by_operation: dict[str, float], noise: Noise
    ) -> None:
        self._rng = rng
        self._means_by_operation = means_by_operation
        self._noise = noise

    def sample_s(
        self, operation: str, switches: Switches, age_s: float, now: float
    ) -> float:
        """Return seconds for one request of `operation` that starts at `now`."""
        default = self._means_by_operation.get("", 0.0)
        mean = self._means_by_operation.get(operation, default)
        if mean <= 0.0:
            return 0.0
        sigma = SERVICE_TIME_SIGMA
        drawn = mean * math.exp(self._rng.gauss(-sigma * sigma / 2, sigma))
        cold = 1.0
        if age_s < switches.cold_s:
            cold += (COLD_START_SLOWDOWN - 1.0) * (1.0 - age_s / switches.cold_s)
        return self._noise.duration_s(drawn * switches.slow * cold, now)


class DelayedLoadReports:
    """Load report that is renewed only every `lag_s` seconds."""

    def __init__(self, slots: int, lag_s: float) -> None:
        self._slots = slots
        self._lag_s = lag_s
        self._taken_at = float("-inf")
        self._report = ""

    def header_value(
        self, running: int, queued: int, hide_load: bool, now: float
    ) -> str:
        """Return the value of ``Snipelink-Load``."""
        if hide_load:
            return f"running=0,queued=0,slots={self._slots}"
        if now - self._taken_at >= self._lag_s:
            self._taken_at = now
            self._report = f"running={running},queued={queued},slots={self._slots}"
        return self._report
