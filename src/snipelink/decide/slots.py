"""Admission control of one endpoint: which calls run, wait or are refused.

`queue_policy` holds the rules for the order of the queue and for load shedding; this
module holds the calls that the rules apply to.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Sequence

from snipelink.decide import (
    concurrency_limit,
    queue_policy,
    service_floor,
    slow_start,
    slowness_period,
    work_estimation,
)

# Number of slots that is assumed until an endpoint reports it.
DEFAULT_SLOT_COUNT = 4
# Lower bound of the expected work in the ratio of observed to expected work.
MIN_WORK_S = 0.001

# Sort key of a waiting call.
_Rank = tuple[bool, tuple[bool, int], bool, float]


class Verdict(enum.Enum):
    """Decision on an offered call."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class OfferResult:
    """Result of offering a call.

    Attributes
    ----------
    wait_s : float
        Expected seconds until the call starts; for a refused call, until it could
        start.
    reason : str
        Why the call is refused.
    """

    verdict: Verdict
    wait_s: float = 0.0
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedCall:
    """A call that was refused after it had waited."""

    key: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class _WaitingCall:
    """A waiting call, and the monotonic time after which it is refused."""

    demand: queue_policy.Demand
    refuse_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class _RunningCall:
    """A running call.

    Attributes
    ----------
    started_work_s : float
        `EndpointProgress.done_until_s` at the start of the call.
    concurrency_at_start : int
        Running calls when it started, including itself.
    """

    demand: queue_policy.Demand
    started_work_s: float
    concurrency_at_start: int


class Slots:
    """Running and waiting calls of one endpoint by key.

    Parameters
    ----------
    now : float
        Present monotonic time in seconds.
    period_estimator : PeriodEstimator
        Estimates the period of the slowness changes of all endpoints.

    Attributes
    ----------
    progress : EndpointProgress
        Speed of the endpoint.
    capacity : int
        Number of calls that the endpoint can run concurrently.
    limit : int
        Number of calls that it should run concurrently; see `concurrency_limit`.
    external_count : int
        Number of running calls that were not offered here.
    slow_start : SlowStartLimiter
        Limits the calls that start while the endpoint is cold.
    floor : ServiceFloor
        Floors of the priorities of the waiting calls.
    """

    def __init__(
        self, now: float, period_estimator: slowness_period.PeriodEstimator
    ) -> None:
        self.progress = work_estimation.EndpointProgress(now, period_estimator)
        self.capacity = DEFAULT_SLOT_COUNT
        self.limit = DEFAULT_SLOT_COUNT
        self.external_count = 0
        self.slow_start = slow_start.SlowStartLimiter(now)
        self.floor = service_floor.ServiceFloor()
        self._concurrency_limit = concurrency_limit.ConcurrencyLimit()
        self._running_by_key: dict[int, _RunningCall] = {}
        self._waiting_by_key: dict[int, _WaitingCall] = {}

    @property
    def running_count(self) -> int:
        """Number of calls that were offered here and occupy a slot."""
        return len(self._running_by_key)

    @property
    def waiting_count(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._waiting_by_key)

    def offer(self, key: int, demand: queue_policy.Demand, now: float) -> OfferResult:
        """Start a call, queue it or refuse it."""
        self.floor.on_offer(demand.priority, demand.work_s, now)
        mean_s = demand.work_s * self.progress.mean_slowness
        if queue_policy.misses_deadline(demand, mean_s, now):
            reason = f"takes {mean_s:.2f} s, too long for its deadline"
            return OfferResult(Verdict.REFUSE, mean_s, reason)
        is_next = not self.slow_start.is_limiting(now) or not self._count_ahead(demand)
        if is_next and self._has_room(now) and self._meets_deadline(demand, now):
            self._start(key, demand, now)
            return OfferResult(Verdict.START)
        wait_s = self._expected_wait_s(demand, now)
        allowed_s = queue_policy.allowed_wait_s(demand, mean_s, now)
        if wait_s > allowed_s:
            return OfferResult(Verdict.REFUSE, wait_s, f"would start in {wait_s:.2f} s")
        refuse_after = now + allowed_s * queue_policy.MAX_WAIT_FACTOR
        self._waiting_by_key[key] = _WaitingCall(demand, refuse_after)
        return OfferResult(Verdict.WAIT, wait_s)

    def set_capacity(self, capacity: int, now: float) -> None:
        """Set the number of calls that the endpoint can run concurrently."""
        if capacity != self.capacity:
            self.capacity = capacity
            self.limit = self._concurrency_limit.limit(capacity, now)

    def on_new_process(self, now: float) -> None:
        """Discard the measurements of the endpoint's former process."""
        self.external_count = 0
        self.progress.set_slowness(1.0, now)
        self._concurrency_limit.reset()
        self.slow_start.on_new_process(now)
        self.limit = self._concurrency_limit.limit(self.capacity, now)

    def level_samples(self, now: float) -> list[concurrency_limit.LevelSample]:
        """Return the measured concurrency levels to report to other nodes."""
        return self._concurrency_limit.samples(now)

    def set_peer_samples(
        self,
        samples_by_peer: Iterable[Sequence[concurrency_limit.LevelSample]],
        now: float,
    ) -> None:
        """Use the levels measured on endpoints of the same service and capacity."""
        self._concurrency_limit.set_peer_samples(samples_by_peer)
        self.limit = self._concurrency_limit.limit(self.capacity, now)

    def on_answer(self, key: int, now: float) -> float:
        """Record the answer to a running call; return its work in seconds.

        The work is in seconds at normal speed. Call this before `release`.
        """
        entry = self._running_by_key.get(key)
        if entry is None:
            return 0.0
        work_s = self.progress.done_until_s(now) - entry.started_work_s
        concurrency = (entry.concurrency_at_start, self._busy_count())
        ratio = work_s / max(MIN_WORK_S, entry.demand.work_s)
        self._concurrency_limit.record(concurrency, ratio, self.capacity, now)
        self.limit = self._concurrency_limit.limit(self.capacity, now)
        return work_s

    def release(self, key: int) -> None:
        """Remove a running or waiting call."""
        self._running_by_key.pop(key, None)
        self._waiting_by_key.pop(key, None)

    def admit_waiting(self, now: float) -> tuple[list[int], list[RefusedCall]]:
        """Start waiting calls as slots permit, and refuse those that wait too long.

        Returns
        -------
        started : list of int
            Keys of calls that now occupy a slot.
        refused : list of RefusedCall
            Calls that were removed from the queue.
        """
        refused = []
        for key, entry in list(self._waiting_by_key.items()):
            mean_s = entry.demand.work_s * self.progress.mean_slowness
            if queue_policy.misses_deadline(entry.demand, mean_s, now):
                refused.append(RefusedCall(key, "cannot be done in time"))
            elif now > entry.refuse_after:
                refused.append(RefusedCall(key, "has waited too long"))
        for each in refused:
            del self._waiting_by_key[each.key]
        started = []
        for key in sorted(self._waiting_by_key, key=lambda key: self._rank(key, now)):
            if not self._has_room(now):
                break
            demand = self._waiting_by_key[key].demand
            if self._meets_deadline(demand, now):
                del self._waiting_by_key[key]
                self._start(key, demand, now)
                started.append(key)
        return started, refused

    def remove_all_waiting(self) -> list[int]:
        """Remove all waiting calls; return their keys."""
        keys = list(self._waiting_by_key)
        self._waiting_by_key.clear()
        return keys

    def reported_load(self, now: float) -> tuple[int, int]:
        """Return the running calls and the slots to report to other nodes.

        A cold endpoint reports no more free slots than calls may start on it.
        """
        busy = self._busy_count()
        if not self.slow_start.is_limiting(now):
            return busy, self.limit
        free = self.slow_start.available_starts(now)
        return max(busy, 1 - free), max(1, min(self.limit, busy + free))

    def _start(self, key: int, demand: queue_policy.Demand, now: float) -> None:
        done_s = self.progress.done_until_s(now)
        self._running_by_key[key] = _RunningCall(demand, done_s, self._busy_count() + 1)
        self.slow_start.on_start(now)
        self.floor.on_start(demand.priority, demand.work_s, now)

    def _busy_count(self) -> int:
        return len(self._running_by_key) + self.external_count

    def _has_room(self, now: float) -> bool:
        return self._busy_count() < max(1, self.limit) and self.slow_start.may_start(
            now
        )

    def _count_ahead(self, demand: queue_policy.Demand) -> int:
        """Return the number of waiting calls of equal or higher precedence."""
        others = self._waiting_by_key.values()
        return sum(each.demand.precedence <= demand.precedence for each in others)

    def _meets_deadline(self, demand: queue_policy.Demand, now: float) -> bool:
        duration_s = self.progress.max_duration_s(demand.work_s)
        return not queue_policy.misses_deadline(demand, duration_s, now)

    def _rank(self, key: int, now: float) -> _Rank:
        return self._rank_demand(self._waiting_by_key[key].demand, now)

    def _rank_demand(self, demand: queue_policy.Demand, now: float) -> _Rank:
        """Return the sort key of a waiting call; the smallest starts next."""
        run_s = self.progress.duration_s(demand.work_s, now)
        precedence, is_late, arrived_at = queue_policy.rank(demand, run_s, now)
        is_first = demand.is_internal or self.floor.starts_first(
            demand.priority, is_late=is_late
        )
        return (not is_first, precedence, is_late, arrived_at)

    def _expected_wait_s(self, demand: queue_policy.Demand, now: float) -> float:
        done_s = self.progress.done_until_s(now)
        remaining_s = [
            max(0.0, each.demand.work_s - (done_s - each.started_work_s))
            for each in self._running_by_key.values()
        ]
        others = [entry.demand for entry in self._waiting_by_key.values()]
        limit = max(1, self.limit)
        if self.floor.is_enabled:
            rank = self._rank_demand(demand, now)
            ahead = [each for each in others if self._rank_demand(each, now) <= rank]
            work_s = queue_policy.queue_work_s(ahead, remaining_s, limit)
        else:
            work_s = queue_policy.work_ahead_s(demand, others, remaining_s, limit)
        wait_s = self.progress.duration_s(work_s, now)
        wait_s = max(wait_s, self.slow_start.wait_s(self._count_ahead(demand), now))
        if self._meets_deadline(demand, now):
            return wait_s
        return max(wait_s, slowness_period.DEFAULT_PHASE_S)
