"""Facts about one endpoint and what they say at a given time."""

from __future__ import annotations

import dataclasses
import enum
import math

# A report's weight falls to a third within this time, because load shifts within
# milliseconds. A slowed server usually stays slow for longer than its load is the same.
REPORT_TAU_S = 0.05
REPORTED_SLOWNESS_TAU_S = 0.2
SLOWNESS_TAU_S = 5.0
RISE = 0.2
FALL = 0.1
MAX_RATIO = 20.0
FAILURE_SMOOTHING = 0.2
# Without fading, an endpoint with two failures would cost too much to be tried again;
# fading within 2 s sent a call to a failing server every 3 s from each node.
FAILURE_TAU_S = 10.0
NEGLIGIBLE_FAILURE_SHARE = 0.05
RAMP_S = 5.0
MIN_RAMP = 0.1
MIN_STALL_S = 0.02
STALL_MEDIANS = 5.0


class State(enum.Enum):
    """Whether an endpoint takes part in the choice."""

    ACTIVE = "active"
    EJECTED = "ejected"
    TRIAL = "trial"


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt in flight, as returned by ``Tracker.on_start``."""

    endpoint: str
    operation: str
    started_at: float
    trial: bool = False
    done: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class EndpointStats:
    """What a node knows about one endpoint.

    Attributes
    ----------
    others : float
        Calls of other nodes on the endpoint when it last reported.
    slowness : float
        Recent latency relative to the median of the operation over all endpoints.
    failure_share : float
        Recent share of attempts that failed.
    busy_until : float
        Time before which the endpoint refuses work by its own word.
    """

    slots: int
    known_since: float
    ramp_from: float = -math.inf
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    others: float = 0.0
    limit: int = 0
    reported_at: float = -math.inf
    reported_slowness: float = 1.0
    slowness: float = 1.0
    slowness_at: float = -math.inf
    answered_at: float = -math.inf
    failure_share: float = 0.0
    failure_at: float = -math.inf
    busy_until: float = -math.inf
    leaving_since: float = math.inf
    state: State = State.ACTIVE
    ejected_until: float = -math.inf
    ejections: int = 0
    trial_successes: int = 0
    reason: str = ""

    @property
    def in_flight(self) -> int:
        """Return this node's calls on the endpoint."""
        return len(self.attempts)

    def ramp(self, now: float) -> float:
        """Return the part of the usual draws that a fresh endpoint takes part in."""
        elapsed = now - self.ramp_from
        return 1.0 if elapsed >= RAMP_S else max(MIN_RAMP, elapsed / RAMP_S)

    def load(self, now: float, prior: float) -> float:
        """Return the estimated calls on the endpoint.

        The reported calls of other nodes lose weight with age in favour of ``prior``,
        the mean over all endpoints; this node's own calls are counted exactly, so its
        sends since the report are part of the estimate.
        """
        weight = math.exp((self.reported_at - now) / REPORT_TAU_S)
        return weight * self.others + (1.0 - weight) * prior + len(self.attempts)

    def utilisation(self, now: float, prior: float) -> float:
        """Return the estimated utilisation with one more call; above 1 it queues."""
        return (self.load(now, prior) + 1.0) / (self.limit or self.slots)

    def record_ratio(self, ratio: float, now: float) -> None:
        """Record a latency relative to the operation's median; rises fast."""
        ratio = min(ratio, MAX_RATIO)
        current = self.current_slowness(now)
        step = RISE if ratio > current else FALL
        self.slowness = current + (ratio - current) * step
        self.slowness_at = now

    def current_slowness(self, now: float) -> float:
        """Return the slowness, which approaches 1 while nothing is measured."""
        if self.slowness <= 1.0:
            return self.slowness
        decay = math.exp((self.slowness_at - now) / SLOWNESS_TAU_S)
        return 1.0 + (self.slowness - 1.0) * decay

    def reported_slowness_now(self, now: float) -> float:
        """Return the slowness the endpoint's node reported, weighted by age."""
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
        """Return the failure share, which fades while there are no attempts."""
        if self.failure_share <= 0.0:
            return 0.0
        share = self.failure_share * math.exp((self.failure_at - now) / FAILURE_TAU_S)
        return share if share >= NEGLIGIBLE_FAILURE_SHARE else 0.0

    def stall(self, now: float, median_s: float) -> float:
        """Return how long the oldest attempt exceeds what is ordinary; 1 is ordinary.

        An answer that arrived in the meantime shows that the endpoint does not stall.
        """
        if not self.attempts:
            return 1.0
        oldest = next(iter(self.attempts.values()))
        waited = now - max(oldest.started_at, self.answered_at)
        return waited / max(MIN_STALL_S, STALL_MEDIANS * median_s)
