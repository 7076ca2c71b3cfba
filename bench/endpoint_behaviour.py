"""Simulated behaviour of a fake endpoint: service times, noise and injected faults."""

from __future__ import annotations

import collections
import dataclasses
import math
import random

MIN_SPEED_PHASE_S = 0.005
MAX_SPEED_PHASE_S = 0.5
SERVICE_TIME_LOG_SIGMA = 0.5
COLD_START_SLOWDOWN = 4.0
# Probability and slowdown of each noise level. Speeds are normalised to a mean of 1
# over time, so that noise does not change the capacity.
NOISE_SLOWDOWNS = ((0.75, 1.0), (0.18, 3.0), (0.07, 8.0))


@dataclasses.dataclass(slots=True)
class Switches:
    """Faults that a POST to ``/control/switches`` turns on and off.

    Attributes
    ----------
    slow : float
        Factor by which every service time is multiplied.
    fail : bool
        Answer 500 immediately.
    shed : bool
        Shed load: answer 503 with ``Retry-After`` immediately.
    draining : bool
        Send ``Snipelink-State: draining`` with every answer. The endpoint still
        accepts new calls, so that the checks can detect nodes that keep sending them.
    cut : float
        Share of the answers that are truncated in the middle of the body.
    lie : bool
        Report an idle endpoint regardless of the load.
    crash_marked : bool
        Exit the process on a request with ``Bench-Mark: crash`` (a poison request).
    cold_s : float
        Warm-up time after the start of the process, during which requests take longer.
        The slowdown falls linearly from `COLD_START_SLOWDOWN` to 1.
    freeze_s : float
        Suspend all work for this time, once, when the switch is set.
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
    """Speed of an endpoint with noisy neighbours; it changes every 5 to 500 ms.

    The mean speed over time is 1. A change also affects the requests that are already
    running: a request needs a fixed amount of work, and its duration depends on the
    speed in every phase until that work is done.
    """

    def __init__(self, rng: random.Random, enabled: bool, now: float) -> None:
        self._rng = rng
        self._enabled = enabled
        # End time and speed of each phase, starting with the current phase.
        self._speed_phases = collections.deque([(now, 1.0)])

    def duration_s(self, work_s: float, now: float) -> float:
        """Return the duration, from `now`, of work that takes `work_s` at speed 1."""
        if not self._enabled:
            return work_s
        while self._speed_phases[0][0] <= now:
            if len(self._speed_phases) == 1:
                self._append_phase()
            self._speed_phases.popleft()
        at, index = now, 0
        while True:
            phase_end, speed = self._speed_phases[index]
            if work_s <= (phase_end - at) * speed:
                return at + work_s / speed - now
            work_s -= (phase_end - at) * speed
            at, index = phase_end, index + 1
            if index == len(self._speed_phases):
                self._append_phase()

    def _append_phase(self) -> None:
        mean = sum(weight / factor for weight, factor in NOISE_SLOWDOWNS)
        weights = [weight for weight, _ in NOISE_SLOWDOWNS]
        factors = [factor for _, factor in NOISE_SLOWDOWNS]
        speed = 1.0 / (self._rng.choices(factors, weights)[0] * mean)
        low, high = math.log(MIN_SPEED_PHASE_S), math.log(MAX_SPEED_PHASE_S)
        phase_s = math.exp(self._rng.uniform(low, high))
        self._speed_phases.append((self._speed_phases[-1][0] + phase_s, speed))


class ServiceTimes:
    """Samples service times from a log-normal distribution.

    Parameters
    ----------
    means_by_operation : dict of str to float
        Mean service time in seconds of each operation. The key ``""`` holds the default
        for all other operations.
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
        """Return the service time in seconds of one request that starts at `now`."""
        default = self._means_by_operation.get("", 0.0)
        mean = self._means_by_operation.get(operation, default)
        if mean <= 0.0:
            return 0.0
        sigma = SERVICE_TIME_LOG_SIGMA
        work_s = mean * math.exp(self._rng.gauss(-sigma * sigma / 2, sigma))
        cold_slowdown = 1.0
        if age_s < switches.cold_s:
            cold_slowdown += (COLD_START_SLOWDOWN - 1.0) * (
                1.0 - age_s / switches.cold_s
            )
        return self._noise.duration_s(work_s * switches.slow * cold_slowdown, now)


class DelayedLoadReports:
    """Load report that is recomputed at most once in `lag_s` seconds.

    Callers therefore see a stale load, as they do with a real endpoint.
    """

    def __init__(self, slots: int, lag_s: float) -> None:
        self._slots = slots
        self._lag_s = lag_s
        self._renewed_at = float("-inf")
        self._report = ""

    def header_value(
        self, running: int, queued: int, hide_load: bool, now: float
    ) -> str:
        """Return the value of ``Snipelink-Load``."""
        if hide_load:
            return f"running=0,queued=0,slots={self._slots}"
        if now - self._renewed_at >= self._lag_s:
            self._renewed_at = now
            self._report = f"running={running},queued={queued},slots={self._slots}"
        return self._report
