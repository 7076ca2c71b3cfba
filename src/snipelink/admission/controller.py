"""Decisions of admission, with the time as an argument and without waiting."""

from __future__ import annotations

import dataclasses
import enum

from result import Err, Ok, Result

from snipelink import errors, model
from snipelink.admission import concurrency_limit as limit_module
from snipelink.admission import fair_queue, slowness

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0


class Outcome(enum.Enum):
    """How an admitted call ended, as far as the limit is concerned."""

    ANSWERED = "answered"
    FAILED = "failed"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed-out"
    NOT_STARTED = "not-started"


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """Right to run one call on the own endpoint; given back exactly once."""

    call_id: str
    operation: str
    admitted_at: float
    returned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the queue."""

    max_queued: int
    max_wait_s: float = 0.1


class Admission:
    """Slots, limit and queue of one endpoint; not thread-safe.

    ``offer`` returns a ticket, a queued waiter or a refusal. ``release`` gives a slot
    back and decides which waiters start; it returns those whose fate is decided.
    """

    def __init__(self, slots: int, bounds: Bounds, now: float) -> None:
        self._limit = limit_module.Limit(slots, now)
        self._bounds = bounds
        self._pace = slowness.Pace(now)
        self._queue = fair_queue.WeightedQueue()
        self._running = 0
        self._draining = False
        self._progress_at = now

    def offer(
        self, call: model.Call, now: float
    ) -> Result[Ticket | fair_queue.Waiter, errors.Failure]:
        """Admit, queue or refuse a call."""
        if self._draining:
            return Err(errors.Failure(errors.Kind.LEAVING, "endpoint is draining"))
        remaining = call.deadline - now
        if remaining <= 0:
            return Err(_deadline_passed())
        if self._running < self._limit.value and not len(self._queue):
            return Ok(self._admit(call, now))
        wait = self._wait_s(self._queue.position(call.operation), now)
        service = self._limit.service_s(call.operation.name)
        if wait > min(self._bounds.max_wait_s, remaining - service):
            return Err(self._overloaded("expected wait too long", now))
        waiter = fair_queue.Waiter(call, now)
        if len(self._queue) < self._bounds.max_queued:
            self._queue.push(waiter)
            return Ok(waiter)
        displaced = self._queue.displace_for(call.operation)
        if displaced is None:
            return Err(self._overloaded("queue full", now))
        displaced.failure = self._overloaded("displaced from the queue", now)
        if displaced.wake is not None:
            displaced.wake.set()
        self._queue.push(waiter)
        return Ok(waiter)

    def release(self, ticket: Ticket, outcome: Outcome, now: float) -> None:
        """Take a ticket back and start waiters in its place."""
        if ticket.returned:
            return
        ticket.returned = True
        self._pace.advance(self._running, now)
        bound = self._running >= self._limit.value
        self._running -= 1
        self._progress_at = max(self._progress_at, now)
        if outcome is Outcome.ANSWERED:
            latency = now - ticket.admitted_at
            self._limit.record(ticket.operation, latency, bound, now)
            self._pace.finish(self._limit.baseline_s(ticket.operation))
        elif outcome in (Outcome.OVERLOADED, Outcome.TIMED_OUT):
            self._limit.record_overload(now)
        self.start_waiters(now)

    def start_waiters(self, now: float) -> None:
        """Decide the waiters for which there is room or no time left."""
        while self._running < self._limit.value:
            waiter = self._queue.peek()
            if waiter is None:
                return
            if waiter.call.deadline <= now:
                self._queue.remove(waiter)
                waiter.failure = _deadline_passed()
            else:
                cost = self._limit.service_s(waiter.call.operation.name)
                self._queue.pop(cost)
                self._pace.advance(self._running, now)
                self._running += 1
                waiter.admitted = True
            if waiter.wake is not None:
                waiter.wake.set()

    def withdraw(self, waiter: fair_queue.Waiter, now: float) -> errors.Failure | None:
        """Take back a waiter that stops waiting; None when it was admitted."""
        if waiter.admitted:
            return None
        if waiter.failure is None:
            self._queue.remove(waiter)
            if now >= waiter.call.deadline:
                waiter.failure = _deadline_passed()
            else:
                waiter.failure = self._overloaded("waited too long", now)
        return waiter.failure

    def ticket_of(self, waiter: fair_queue.Waiter, now: float) -> Ticket:
        """Return the ticket of an admitted waiter; its running time starts now."""
        return Ticket(waiter.call.call_id, waiter.call.operation.name, now)

    def load_report(self, now: float) -> model.LoadReport:
        """Return the current load."""
        self._pace.advance(self._running, now)
        return model.LoadReport(
            running=self._running,
            queued=len(self._queue),
            limit=self._limit.value,
            leaving=self._draining,
            slowness=self._pace.slowness(),
        )

    def set_slots(self, slots: int, bounds: Bounds, now: float) -> None:
        """Change the slots and the bounds of the queue."""
        self._limit.set_slots(slots)
        self._bounds = bounds
        self.start_waiters(now)

    def start_draining(self) -> None:
        """Refuse new calls from now on; queued calls still run."""
        self._draining = True

    def wait_bound(self, waiter: fair_queue.Waiter) -> float:
        """Return the time up to which a call may wait."""
        return min(waiter.call.deadline, waiter.since + 2 * self._bounds.max_wait_s)

    def _admit(self, call: model.Call, now: float) -> Ticket:
        self._pace.advance(self._running, now)
        self._running += 1
        self._progress_at = now
        return Ticket(call.call_id, call.operation.name, now)

    def _wait_s(self, ahead: float, now: float) -> float:
        """Return the expected wait behind ``ahead`` calls.

        A stalled endpoint releases nothing; once nothing has moved for two service
        times, the wait is expected to be at least as long again.
        """
        service = self._limit.mean_service_s
        wait = (ahead + 1) * service / max(1, self._limit.value)
        stalled = now - self._progress_at
        return max(wait, stalled) if stalled > 2 * service > 0 else wait

    def _overloaded(self, detail: str, now: float) -> errors.Failure:
        wait = self._wait_s(len(self._queue), now)
        retry_after = min(max(wait, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return errors.Failure(errors.Kind.OVERLOADED, detail, retry_after)


def _deadline_passed() -> errors.Failure:
    return errors.Failure(
        errors.Kind.DEADLINE_NOT_RUN, "deadline passed before the start"
    )
