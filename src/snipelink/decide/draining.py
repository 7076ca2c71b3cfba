"""Draining of callers' connections: when one closes and which requests still start.

Callers pipeline requests, and at some point the connection has to close: the caller
asks for it, the node shuts down, a request cannot be parsed or the connection is idle.
If it closed while an endpoint runs one of its requests, the work would be lost and the
caller would send the request again.

Invariant: a connection closes only after every started request has been answered, and
no request starts after the decision to close. Requests that were not started are
dropped without an answer; the caller sends them again.
"""

from __future__ import annotations

import enum

# Requests of one connection that run at once; further ones wait. The bound prevents a
# caller from occupying all endpoints through one connection.
MAX_UNANSWERED_REQUESTS = 16


class CloseCause(enum.Enum):
    """Why the connection of a caller closes."""

    CALLER_CLOSED = "caller-closed"
    IDLE = "idle"
    CLOSING_ANSWER = "closing-answer"
    REFUSED_REQUEST = "refused-request"
    NODE_STOPS = "node-stops"
    FAULT = "fault"


class ConnectionDrain:
    """Decides when requests of one connection start and when the connection closes.

    Requests are started and answered in the order in which they were received.

    Parameters
    ----------
    opened : float
        Monotonic time at which the connection was accepted.

    Attributes
    ----------
    cause : CloseCause or None
        Why the connection is closing; None while it stays open.
    unanswered_count : int
        Number of started requests that have not been answered.
    """

    def __init__(self, opened: float) -> None:
        self.cause: CloseCause | None = None
        self.unanswered_count = 0
        self._idle_since = opened

    @property
    def may_close(self) -> bool:
        """Whether the connection may be closed now."""
        return self.cause is not None and not self.unanswered_count

    def begin_close(self, cause: CloseCause) -> None:
        """Start closing the connection; the first cause is kept."""
        self.cause = self.cause or cause

    @property
    def may_start(self) -> bool:
        """Whether the next request may be started now."""
        return self.cause is None and self.unanswered_count < MAX_UNANSWERED_REQUESTS

    def on_request_start(self, *, keep_alive: bool) -> None:
        """Record the start of a request; without `keep_alive` it is the last one."""
        self.unanswered_count += 1
        if not keep_alive:
            self.begin_close(CloseCause.CLOSING_ANSWER)

    def is_last_answer(self, *, is_leaving: bool, has_next_request: bool) -> bool:
        """Whether the next answer has to close the connection.

        Parameters
        ----------
        is_leaving : bool
            Whether the node is shutting down.
        has_next_request : bool
            Whether a further request has been received. A node that is shutting down
            still answers it, so that its caller does not lose the time already waited.
        """
        if is_leaving and not has_next_request:
            self.begin_close(CloseCause.NODE_STOPS)
        return self.cause is not None and self.unanswered_count == 1

    def on_request_answered(self) -> None:
        """Record that the oldest started request has been answered."""
        self.unanswered_count -= 1

    def on_idle(self, now: float) -> None:
        """Record that all requests of the caller have been answered."""
        self._idle_since = now

    def idle_remaining_s(self, idle_timeout_s: float, now: float) -> float:
        """Return the seconds until an idle connection is closed.

        Parameters
        ----------
        idle_timeout_s : float
            Longest idle timeout that has been in force for the connection.
        """
        return self._idle_since + idle_timeout_s - now
