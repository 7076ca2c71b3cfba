"""Admission control for one endpoint as a state machine without clock or waiting."""

from __future__ import annotations

import dataclasses
import enum

from result import Err, Ok, Result

from snipelink import errors, model
from snipelink.admission import concurrency_limit, fair_queue, slowness

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0


class Outcome(enum.Enum):
    """Outcome of an admitted call as the concurrency limit needs it."""

    ANSWERED = "answered"
    FAILED = "failed"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed-out"
    NOT_STARTED = "not-started"


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """Slot of the local endpoint that one admitted call holds.

    The holder returns the ticket exactly once.
    """

    call_id: str
    operation: str
    admitted_at: float
    returned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class QueueBounds:
    """Bounds on the length of the queue and on the expected wait in it."""

    max_queued: int
    max_wait_s: float = 0.1


class AdmissionController:
    """Slots, concurrency limit and queue of one endpoint; not thread-safe.

    The caller passes the current time to each method. ``offer`` returns a ticket, a
    queued waiter or a refusal. ``release`` frees a slot and starts queued calls; it
    sets ``admitted`` or ``failure`` on each waiter that it decides.
    """

    def __init__(self, slots: int, bounds: QueueBounds, now: float) -> None:
        self._limit = concurrency_limit.ConcurrencyLimit(slots, now)
        self._bounds = bounds
        self._slowness = slowness.SlownessEstimator(now)
        self._queue = fair_queue.WeightedFairQueue()
        self._running = 0
        self._draining = False
        self._last_progress_at = now

    def offer(
        self, call: model.Call, now: float
    ) -> Result[Ticket | fair_queue.Waiter, errors.Failure]:
        """Admit, queue or refuse a call."""
        if self._draining:
            return Err(errors.Failure(errors.Kind.LEAVING, "endpoint is draining"))
        remaining_s = call.deadline - now
        if remaining_s <= 0:
            return Err(_deadline_passed())
        if self._running < self._limit.value and not len(self._queue):
            return Ok(self._admit(call, now))
        wait_s = self._expected_wait_s(
            self._queue.expected_position(call.operation), now
        )
        service_s = self._limit.operation_service_s(call.operation.name)
        if wait_s > min(self._bounds.max_wait_s, remaining_s - service_s):
            return Err(self._overloaded("expected wait too long", now))
        waiter = fair_queue.Waiter(call, now)
        if len(self._queue) < self._bounds.max_queued:
            self._queue.push(waiter)
            return Ok(waiter)
        shed = self._queue.shed_for(call.operation)
        if shed is None:
            return Err(self._overloaded("queue full", now))
        shed.failure = self._overloaded("displaced from the queue", now)
        if shed.decided is not None:
            shed.decided.set()
        self._queue.push(waiter)
        return Ok(waiter)

    def release(self, ticket: Ticket, outcome: Outcome, now: float) -> None:
        """Return a ticket, record the outcome and start queued calls."""
        if ticket.returned:
            return
        ticket.returned = True
        self._slowness.advance(self._running, now)
        at_limit = self._running >= self._limit.value
        self._running -= 1
        self._last_progress_at = max(self._last_progress_at, now)
        if outcome is Outcome.ANSWERED:
            latency_s = now - ticket.admitted_at
            self._limit.record(ticket.operation, latency_s, at_limit, now)
            self._slowness.record_finished(self._limit.baseline_s(ticket.operation))
        elif outcome in (Outcome.OVERLOADED, Outcome.TIMED_OUT):
            self._limit.record_overload(now)
        self.start_waiters(now)

    def start_waiters(self, now: float) -> None:
        """Start queued calls while slots are free; fail those past their deadline."""
        while self._running < self._limit.value:
            waiter = self._queue.peek()
            if waiter is None:
                return
            if waiter.call.deadline <= now:
                self._queue.remove(waiter)
                waiter.failure = _deadline_passed()
            else:
                cost_s = self._limit.operation_service_s(waiter.call.operation.name)
                self._queue.pop(cost_s)
                self._slowness.advance(self._running, now)
                self._running += 1
                waiter.admitted = True
            if waiter.decided is not None:
                waiter.decided.set()

    def stop_waiting(
        self, waiter: fair_queue.Waiter, now: float
    ) -> errors.Failure | None:
        """Remove a waiter that is still queued; return None when it was admitted."""
        if waiter.admitted:
            return None
        if waiter.failure is None:
            self._queue.remove(waiter)
            if now >= waiter.call.deadline:
                waiter.failure = _deadline_passed()
            else:
                waiter.failure = self._overloaded("waited too long", now)
        return waiter.failure

    def issue_ticket(self, waiter: fair_queue.Waiter, now: float) -> Ticket:
        """Return the ticket of an admitted waiter; its running time starts now."""
        return Ticket(waiter.call.call_id, waiter.call.operation.name, now)

    def load_report(self, now: float) -> model.LoadReport:
        """Return the current load of the endpoint."""
        self._slowness.advance(self._running, now)
        return model.LoadReport(
            running=self._running,
            queued=len(self._queue),
            limit=self._limit.value,
            leaving=self._draining,
            slowness=self._slowness.ratio(),
        )

    def set_slots(self, slots: int, bounds: QueueBounds, now: float) -> None:
        """Change the number of slots and the bounds of the queue."""
        self._limit.set_slots(slots)
        self._bounds = bounds
        self.start_waiters(now)

    def start_draining(self) -> None:
        """Refuse new calls from now on; queued calls still run."""
        self._draining = True

    def wait_deadline(self, waiter: fair_queue.Waiter) -> float:
        """Return the time at which a queued call must stop waiting."""
        return min(waiter.call.deadline, waiter.queued_at + 2 * self._bounds.max_wait_s)

    def _admit(self, call: model.Call, now: float) -> Ticket:
        self._slowness.advance(self._running, now)
        self._running += 1
        self._last_progress_at = now
        return Ticket(call.call_id, call.operation.name, now)

    def _expected_wait_s(self, calls_ahead: float, now: float) -> float:
        """Return the expected wait behind ``calls_ahead`` queued calls.

        When no call has started or finished for more than two mean service times, the
        endpoint counts as stalled. The expected wait is then at least the time since
        the last start or finish, because a stalled endpoint frees no slot.
        """
        service_s = self._limit.mean_service_s
        wait_s = (calls_ahead + 1) * service_s / max(1, self._limit.value)
        stalled_s = now - self._last_progress_at
        return max(wait_s, stalled_s) if stalled_s > 2 * service_s > 0 else wait_s

    def _overloaded(self, detail: str, now: float) -> errors.Failure:
        wait_s = self._expected_wait_s(len(self._queue), now)
        retry_after_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return errors.Failure(errors.Kind.OVERLOADED, detail, retry_after_s)


def _deadline_passed() -> errors.Failure:
    return errors.Failure(
        errors.Kind.DEADLINE_NOT_RUN, "deadline passed before the start"
    )
