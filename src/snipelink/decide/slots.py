"""Admission control of one endpoint: which calls run, wait or are refused.

`queue_policy` holds the rules for the order of the queue and for load shedding; this
module holds the calls that the rules apply to.
"""

from __future__ import annotations

import dataclasses
import enum

from snipelink.decide import (
    concurrency_limit,
    queue_policy,
    slow_start,
    slowness_period,
    work_estimation,
)

# Slots assumed before an endpoint reports them.
UNKNOWN_SLOTS = 4
# Shortest expected work that observed work is compared with, seconds.
MIN_WORK_S = 0.001


class Verdict(enum.Enum):
    """What becomes of a call that is offered."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class OfferResult:
    """Answer to an offered call.

    Attributes
    ----------
    wait_s : float
        Seconds until the call would start; for a refused call, until there is room.
    reason : str
        Why it is refused.
    """

    verdict: Verdict
    wait_s: float = 0.0
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedCall:
    """A call that waited in vain."""

    key: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    """A waiting call, and the monotonic time after which it is refused."""

    demand: queue_policy.Demand
    refused_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    """A running call.

    Attributes
    ----------
    started_work_s : float
        Work that its endpoint had done when it started, undisturbed seconds.
    beside : int
        Calls that ran when it started, with itself.
    """

    demand: queue_policy.Demand
    started_work_s: float
    beside: int


class Slots:
    """Calls of one endpoint by key.

    Parameters
    ----------
    now : float
        Present monotonic time, seconds.
    shared : PeriodEstimator
        When endpoints change their slowness; other endpoints' changes count too.

    Attributes
    ----------
    progress : EndpointProgress
        Speed of the endpoint.
    capacity : int
        Calls that it can run at once.
    limit : int
        Calls that it should run at once; see `concurrency_limit`.
    external_count : int
        Calls that it runs and that were not offered here.
    slow_start : SlowStartLimiter
        Bounds the calls that start while the endpoint is cold.
    """

    def __init__(self, now: float, shared: slowness_period.PeriodEstimator) -> None:
        self.progress = work_estimation.EndpointProgress(now, shared)
        self.capacity = UNKNOWN_SLOTS
        self.limit = UNKNOWN_SLOTS
        self.external_count = 0
        self.slow_start = slow_start.SlowStartLimiter(now)
        self._crowding = concurrency_limit.ConcurrencyLimit()
        self._running_by_key: dict[int, _Running] = {}
        self._waiting_by_key: dict[int, _Waiting] = {}

    @property
    def running_count(self) -> int:
        """Calls that hold a slot and were offered here."""
        return len(self._running_by_key)

    @property
    def waiting_count(self) -> int:
        """Calls that wait for a slot."""
        return len(self._waiting_by_key)

    def offer(self, key: int, demand: queue_policy.Demand, now: float) -> OfferResult:
        """Take up a call, let it wait, or refuse it."""
        mean_s = demand.work_s * self.progress.mean_slowness
        if queue_policy.misses_deadline(demand, mean_s, now):
            reason = f"takes {mean_s:.2f} s, too long for its deadline"
            return OfferResult(Verdict.REFUSE, mean_s, reason)
        is_next = not self.slow_start.is_limiting(now) or not self._ahead(demand)
        if is_next and self._has_room(now) and self._may_start(demand, now):
            self._start(key, demand, now)
            return OfferResult(Verdict.START)
        wait_s = self._wait_s(demand, now)
        allowed_s = queue_policy.allowed_wait_s(demand, mean_s, now)
        if wait_s > allowed_s:
            return OfferResult(Verdict.REFUSE, wait_s, f"would start in {wait_s:.2f} s")
        refused_at = now + allowed_s * queue_policy.PATIENCE
        self._waiting_by_key[key] = _Waiting(demand, refused_at)
        return OfferResult(Verdict.WAIT, wait_s)

    def set_capacity(self, capacity: int, now: float) -> None:
        """Take over the number of calls that the endpoint can run at once."""
        if capacity != self.capacity:
            self.capacity = capacity
            self.limit = self._crowding.limit(capacity, now)

    def on_new_process(self, now: float) -> None:
        """Forget what was seen of the endpoint's former process."""
        self.external_count = 0
        self.progress.set_slowness(1.0, now)
        self._crowding.forget()
        self.slow_start.on_new_process(now)
        self.limit = self.capacity

    def on_answer(self, key: int, now: float) -> float:
        """Note that a running call was answered; return its work, undisturbed seconds.

        To be called before its `end`.
        """
        entry = self._running_by_key.get(key)
        if entry is None:
            return 0.0
        work_s = self.progress.done_until_s(now) - entry.started_work_s
        beside = (entry.beside, self._busy())
        ratio = work_s / max(MIN_WORK_S, entry.demand.work_s)
        self._crowding.record(beside, ratio, self.capacity, now)
        self.limit = self._crowding.limit(self.capacity, now)
        return work_s

    def release(self, key: int) -> None:
        """Free the slot of a call, or forget one that waits."""
        self._running_by_key.pop(key, None)
        self._waiting_by_key.pop(key, None)

    def admit_waiting(self, now: float) -> tuple[list[int], list[RefusedCall]]:
        """Start the waiting calls that may start, and refuse those that wait in vain.

        Returns
        -------
        started : list of int
            Keys of calls that now hold a slot.
        refused : list of RefusedCall
            Calls that no longer wait.
        """
        refused = []
        for key, entry in list(self._waiting_by_key.items()):
            mean_s = entry.demand.work_s * self.progress.mean_slowness
            if queue_policy.misses_deadline(entry.demand, mean_s, now):
                refused.append(RefusedCall(key, "cannot be done in time"))
            elif now > entry.refused_at:
                refused.append(RefusedCall(key, "has waited too long"))
        for each in refused:
            del self._waiting_by_key[each.key]
        started = []
        for key in sorted(self._waiting_by_key, key=lambda key: self._rank(key, now)):
            if not self._has_room(now):
                break
            demand = self._waiting_by_key[key].demand
            if self._may_start(demand, now):
                del self._waiting_by_key[key]
                self._start(key, demand, now)
                started.append(key)
        return started, refused

    def remove_all_waiting(self) -> list[int]:
        """Let no call wait any longer; return the keys of those that did."""
        keys = list(self._waiting_by_key)
        self._waiting_by_key.clear()
        return keys

    def reported_load(self, now: float) -> tuple[int, int]:
        """Return the running calls and the slots that other nodes are told.

        A cold endpoint seems to have no more free slots than calls may start on it.
        """
        busy = self._busy()
        if not self.slow_start.is_limiting(now):
            return busy, self.limit
        free = self.slow_start.available_starts(now)
        return max(busy, 1 - free), max(1, min(self.limit, busy + free))

    def _start(self, key: int, demand: queue_policy.Demand, now: float) -> None:
        done_s = self.progress.done_until_s(now)
        self._running_by_key[key] = _Running(demand, done_s, self._busy() + 1)
        self.slow_start.on_start(now)

    def _busy(self) -> int:
        return len(self._running_by_key) + self.external_count

    def _has_room(self, now: float) -> bool:
        return self._busy() < max(1, self.limit) and self.slow_start.may_start(now)

    def _ahead(self, demand: queue_policy.Demand) -> int:
        """Return the waiting calls that are as urgent as a call or more so."""
        others = self._waiting_by_key.values()
        return sum(each.demand.priority <= demand.priority for each in others)

    def _may_start(self, demand: queue_policy.Demand, now: float) -> bool:
        longest_s = self.progress.max_duration_s(demand.work_s)
        return not queue_policy.misses_deadline(demand, longest_s, now)

    def _rank(self, key: int, now: float) -> tuple[int, bool, float]:
        demand = self._waiting_by_key[key].demand
        return queue_policy.rank(
            demand, self.progress.duration_s(demand.work_s, now), now
        )

    def _wait_s(self, demand: queue_policy.Demand, now: float) -> float:
        done_s = self.progress.done_until_s(now)
        remaining_s = [
            max(0.0, each.demand.work_s - (done_s - each.started_work_s))
            for each in self._running_by_key.values()
        ]
        others = [entry.demand for entry in self._waiting_by_key.values()]
        limit = max(1, self.limit)
        work_s = queue_policy.work_ahead_s(demand, others, remaining_s, limit)
        wait_s = self.progress.duration_s(work_s, now)
        wait_s = max(wait_s, self.slow_start.wait_s(self._ahead(demand), now))
        if self._may_start(demand, now):
            return wait_s
        return max(wait_s, slowness_period.DEFAULT_PHASE_S)
