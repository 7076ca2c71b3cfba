"""Pace of the own endpoint over the last fraction of a second."""

from __future__ import annotations

import math

MIN_TAU_S = 0.05
TAU_SERVICES = 3.0
# Ordinary work assumed on top of what was seen, so that few calls say little.
PRIOR_CALLS = 0.5
MAX_SLOWNESS = 20.0


class Pace:
    """Compares the slot time spent with the ordinary time of the finished calls.

    Calls that still run count with their time so far, so a slowed or stalled endpoint
    shows before its first late answer. Both sums forget exponentially.
    """

    def __init__(self, now: float) -> None:
        self._spent_s = 0.0
        self._finished_s = 0.0
        self._ordinary_s = 0.0
        self._at = now

    def advance(self, running: int, now: float) -> None:
        """Account for the time since the last event, before ``running`` changes."""
        elapsed = now - self._at
        if elapsed <= 0.0:
            return
        tau = max(MIN_TAU_S, TAU_SERVICES * self._ordinary_s)
        keep = math.exp(-elapsed / tau)
        self._spent_s = self._spent_s * keep + running * tau * (1.0 - keep)
        self._finished_s *= keep
        self._at = now

    def finish(self, ordinary_s: float) -> None:
        """Count a finished call with its ordinary service time."""
        if ordinary_s > 0.0:
            self._finished_s += ordinary_s
            self._ordinary_s += (ordinary_s - self._ordinary_s) / 16

    def slowness(self) -> float:
        """Return the time spent per ordinary time; 1 is ordinary or unknown."""
        prior = PRIOR_CALLS * self._ordinary_s
        if prior <= 0.0:
            return 1.0
        ratio = (self._spent_s + prior) / (self._finished_s + prior)
        return min(MAX_SLOWNESS, ratio)
