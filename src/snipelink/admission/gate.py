"""Thread-safe, blocking admission control for the local endpoint."""

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
    """Limits the concurrent calls on the local endpoint; others wait or fail.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent calls; upper bound of the adaptive limit.
    max_queued : int, default=None
        Maximum length of the queue; by default twice the slots.
    max_wait_s : float, default=0.1
        Expected wait, in seconds, above which a call is refused.
    clock : callable, default=time.monotonic
        Monotonic clock; read after a call has waited and for load reports.
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
        self._controller = controller.AdmissionController(
            slots, self._bounds(slots), clock()
        )

    def acquire(
        self,
        call: model.Call,
        now: float,
        cancelled: Callable[[], bool] = _never,
    ) -> Result[Ticket, errors.Failure]:
        """Wait for a slot; on Ok the caller must pass the ticket to ``release``.

        Parameters
        ----------
        call : model.Call
            The call to run.
        now : float
            Current monotonic time, seconds.
        cancelled : callable
            Called immediately before the start, without the lock. When it returns
            True, the call is refused and its slot is freed.
        """
        with self._lock:
            offered = self._controller.offer(call, now)
            if isinstance(offered, Err):
                return offered
            admitted = offered.ok_value
            if isinstance(admitted, fair_queue.Waiter):
                admitted.decided = threading.Event()
        if isinstance(admitted, fair_queue.Waiter):
            waited = self._wait(admitted, now)
            if isinstance(waited, Err):
                return waited
            admitted = waited.ok_value
        if cancelled():
            self.release(admitted, Outcome.NOT_STARTED, admitted.admitted_at)
            return Err(errors.Failure(errors.Kind.CANCELLED, "cancelled in the queue"))
        return Ok(admitted)

    def release(self, ticket: Ticket, outcome: Outcome, now: float) -> None:
        """Free the slot of a ticket; a second release of it has no effect."""
        with self._lock:
            self._controller.release(ticket, outcome, now)

    def load_report(self) -> model.LoadReport:
        """Return the load report that the node sends to callers."""
        with self._lock:
            return self._controller.load_report(self._clock())

    def set_slots(self, slots: int, now: float) -> None:
        """Change the number of slots to that of a newly accepted set of objects."""
        with self._lock:
            self._controller.set_slots(slots, self._bounds(slots), now)

    def start_draining(self) -> None:
        """Refuse new calls with ``leaving``; queued and running calls finish."""
        with self._lock:
            self._controller.start_draining()

    def is_idle(self) -> bool:
        """Return whether no call runs or waits."""
        load = self.load_report()
        return load.running == 0 and load.queued == 0

    def _bounds(self, slots: int) -> controller.QueueBounds:
        max_queued = 2 * slots if self._max_queued is None else self._max_queued
        return controller.QueueBounds(max_queued, self._max_wait_s)

    def _wait(
        self, waiter: fair_queue.Waiter, now: float
    ) -> Result[Ticket, errors.Failure]:
        assert waiter.decided is not None
        waiter.decided.wait(max(0.0, self._controller.wait_deadline(waiter) - now))
        woken_at = self._clock()
        with self._lock:
            failure = self._controller.stop_waiting(waiter, woken_at)
            if failure is not None:
                return Err(failure)
            ticket = self._controller.issue_ticket(waiter, woken_at)
            if woken_at >= waiter.call.deadline:
                self._controller.release(ticket, Outcome.NOT_STARTED, woken_at)
                return Err(
                    errors.Failure(
                        errors.Kind.DEADLINE_NOT_RUN, "deadline passed in the queue"
                    )
                )
            return Ok(ticket)
