"""Gate of the own endpoint: the waiting part of admission."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from result import Err, Ok, Result

from snipelink import errors, model
from snipelink.admission import controller, fair_queue

Outcome = controller.Outcome
Ticket = controller.Ticket


def _never() -> bool:
    return False


class AdmissionGate:
    """Admits calls to the own endpoint, at most as many at once as its limit.

    Parameters
    ----------
    slots : int
        Calls the endpoint runs at once; upper bound of the adaptive limit.
    max_queued : int, default=None
        Length of the queue; by default twice the slots.
    max_wait_s : float, default=0.1
        Expected wait above which a call is refused.
    clock : callable, default=time.monotonic
        Read only after a call has waited.
    """

    def __init__(
        self,
        slots: int,
        *,
        max_queued: int | None = None,
        max_wait_s: float = 0.1,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._max_queued = max_queued
        self._max_wait_s = max_wait_s
        self._clock = clock
        self._lock = threading.Lock()
        self._admission = controller.Admission(slots, self._bounds(slots), clock())

    def acquire(
        self,
        call: model.Call,
        now: float,
        cancelled: Callable[[], bool] = _never,
    ) -> Result[Ticket, errors.Failure]:
        """Wait for a slot; on Ok the caller must ``release`` with the ticket.

        Parameters
        ----------
        call : model.Call
            The call to run.
        now : float
            Current monotonic time, seconds.
        cancelled : callable
            Asked immediately before the start, without the lock; a cancelled call is
            refused and frees its slot.
        """
        with self._lock:
            offered = self._admission.offer(call, now)
            if isinstance(offered, Err):
                return offered
            place = offered.ok_value
            if isinstance(place, fair_queue.Waiter):
                place.wake = threading.Event()
        if isinstance(place, fair_queue.Waiter):
            waited = self._wait(place, now)
            if isinstance(waited, Err):
                return waited
            place = waited.ok_value
        if cancelled():
            self.release(place, Outcome.NOT_STARTED, place.admitted_at)
            return Err(errors.Failure(errors.Kind.CANCELLED, "cancelled in the queue"))
        return Ok(place)

    def release(self, ticket: Ticket, outcome: Outcome, now: float) -> None:
        """Give the slot back; a second return of the same ticket has no effect."""
        with self._lock:
            self._admission.release(ticket, outcome, now)

    def load_report(self) -> model.LoadReport:
        """Return the load to report to callers."""
        with self._lock:
            return self._admission.load_report(self._clock())

    def set_slots(self, slots: int, now: float) -> None:
        """Change the slots, as a newly accepted set says."""
        with self._lock:
            self._admission.set_slots(slots, self._bounds(slots), now)

    def start_draining(self) -> None:
        """Refuse new calls as ``leaving``; queued and running calls finish."""
        with self._lock:
            self._admission.start_draining()

    def is_idle(self) -> bool:
        """Return whether no call runs or waits."""
        load = self.load_report()
        return load.running == 0 and load.queued == 0

    def _bounds(self, slots: int) -> controller.Bounds:
        max_queued = 2 * slots if self._max_queued is None else self._max_queued
        return controller.Bounds(max_queued, self._max_wait_s)

    def _wait(
        self, waiter: fair_queue.Waiter, now: float
    ) -> Result[Ticket, errors.Failure]:
        assert waiter.wake is not None
        waiter.wake.wait(max(0.0, self._admission.wait_bound(waiter) - now))
        woken = self._clock()
        with self._lock:
            failure = self._admission.withdraw(waiter, woken)
            if failure is not None:
                return Err(failure)
            ticket = self._admission.ticket_of(waiter, woken)
            if woken >= waiter.call.deadline:
                self._admission.release(ticket, Outcome.NOT_STARTED, woken)
                return Err(
                    errors.Failure(
                        errors.Kind.DEADLINE_NOT_RUN, "deadline passed in the queue"
                    )
                )
            return Ok(ticket)
