"""Statistics that one node keeps of one endpoint, evaluated at a given time."""

from __future__ import annotations

import dataclasses
import enum
import math

# Time constants of the exponential decay, in which a weight falls to about a third.
# Reported load is soon stale because load shifts within milliseconds. Reported slowness
# holds longer because a server usually stays slow for longer than its load stays equal.
REPORT_TAU_S = 0.05
REPORTED_SLOWNESS_TAU_S = 0.2
SLOWNESS_TAU_S = 5.0
SLOWNESS_RISE_SMOOTHING = 0.2
SLOWNESS_FALL_SMOOTHING = 0.1
MAX_SLOWNESS_RATIO = 20.0
FAILURE_SMOOTHING = 0.2
# Without decay, an endpoint with two failures would cost too much to be chosen again.
# With a time constant of 2 s each node sends a call to a failing server every 3 s.
FAILURE_TAU_S = 10.0
NEGLIGIBLE_FAILURE_SHARE = 0.05
SLOW_START_S = 5.0
MIN_SLOW_START_RATIO = 0.1
MIN_STALL_S = 0.02
STALL_MEDIAN_COUNT = 5.0


class EjectionState(enum.Enum):
    """State of an endpoint in outlier ejection."""

    ACTIVE = "active"
    EJECTED = "ejected"
    TRIAL = "trial"


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, as returned by ``Tracker.on_start``."""

    endpoint: str
    operation: str
    started_at: float
    trial: bool = False
    done: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class EndpointStats:
    """Load, latency and failures of one endpoint, and its ejection state.

    Attributes
    ----------
    other_calls : float
        Calls of other nodes on the endpoint at the time of its last load report.
    slowness : float
        Recent latency divided by the median of the operation over all endpoints.
    failure_share : float
        Recent share of attempts that failed.
    busy_until : float
        Time until which the endpoint is avoided because it refused a call under load.
    """

    slots: int
    known_since: float
    slow_start_from: float = -math.inf
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    other_calls: float = 0.0
    limit: int = 0
    reported_at: float = -math.inf
    reported_slowness: float = 1.0
    slowness: float = 1.0
    slowness_at: float = -math.inf
    last_answer_at: float = -math.inf
    failure_share: float = 0.0
    failure_at: float = -math.inf
    busy_until: float = -math.inf
    leaving_since: float = math.inf
    state: EjectionState = EjectionState.ACTIVE
    ejected_until: float = -math.inf
    ejection_count: int = 0
    trial_successes: int = 0
    reason: str = ""

    @property
    def in_flight(self) -> int:
        """Return the number of this node's attempts in flight on the endpoint."""
        return len(self.attempts)

    def slow_start_ratio(self, now: float) -> float:
        """Return the share of random draws in which the endpoint may be chosen.

        It rises during the slow start and is 1 afterwards.
        """
        elapsed = now - self.slow_start_from
        return (
            1.0
            if elapsed >= SLOW_START_S
            else max(MIN_SLOW_START_RATIO, elapsed / SLOW_START_S)
        )

    def load(self, now: float, mean_other_calls: float) -> float:
        """Return the estimated number of calls on the endpoint.

        The other nodes' calls are a weighted mean of the last report and of
        ``mean_other_calls``, the mean over all endpoints; the weight of the report
        decays with its age. This node's calls are counted exactly, so the estimate
        includes the calls that it sent since the report.
        """
        weight = math.exp((self.reported_at - now) / REPORT_TAU_S)
        return (
            weight * self.other_calls
            + (1.0 - weight) * mean_other_calls
            + len(self.attempts)
        )

    def utilisation(self, now: float, mean_other_calls: float) -> float:
        """Return the estimated utilisation with one more call; above 1 calls queue."""
        return (self.load(now, mean_other_calls) + 1.0) / (self.limit or self.slots)

    def record_latency_ratio(self, ratio: float, now: float) -> None:
        """Record a latency divided by the median; slowness rises fast, falls slowly."""
        ratio = min(ratio, MAX_SLOWNESS_RATIO)
        current = self.current_slowness(now)
        step = SLOWNESS_RISE_SMOOTHING if ratio > current else SLOWNESS_FALL_SMOOTHING
        self.slowness = current + (ratio - current) * step
        self.slowness_at = now

    def current_slowness(self, now: float) -> float:
        """Return the slowness, which decays to 1 while no latency is measured."""
        if self.slowness <= 1.0:
            return self.slowness
        decay = math.exp((self.slowness_at - now) / SLOWNESS_TAU_S)
        return 1.0 + (self.slowness - 1.0) * decay

    def current_reported_slowness(self, now: float) -> float:
        """Return the slowness in the last load report, which decays to 1 with age."""
        if self.reported_slowness <= 1.0:
            return 1.0
        weight = math.exp((self.reported_at - now) / REPORTED_SLOWNESS_TAU_S)
        return 1.0 + (self.reported_slowness - 1.0) * weight

    def record_outcome(self, failed: bool, now: float) -> None:
        """Record whether an attempt failed for a reason other than load."""
        current = self.current_failure_share(now)
        self.failure_share = current + (failed - current) * FAILURE_SMOOTHING
        self.failure_at = now

    def current_failure_share(self, now: float) -> float:
        """Return the failure share, which decays to 0 while there are no attempts."""
        if self.failure_share <= 0.0:
            return 0.0
        share = self.failure_share * math.exp((self.failure_at - now) / FAILURE_TAU_S)
        return share if share >= NEGLIGIBLE_FAILURE_SHARE else 0.0

    def stall_ratio(self, now: float, median_s: float) -> float:
        """Return the wait for an answer divided by the longest ordinary wait.

        The wait starts with the oldest attempt in flight, or with the last answer if
        that is later, because an answer shows that the endpoint does not stall.
        """
        if not self.attempts:
            return 1.0
        oldest = next(iter(self.attempts.values()))
        waited = now - max(oldest.started_at, self.last_answer_at)
        return waited / max(MIN_STALL_S, STALL_MEDIAN_COUNT * median_s)
