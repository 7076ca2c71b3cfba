"""When the connection of a caller ends, and which of its requests are started.

Load pattern: callers send further requests before the first one is answered, and one of
the answers has to close the connection: the caller asks for it, the node leaves, a
request cannot be read, the connection has been idle. A request that an endpoint has run
and whose connection then closes is lost work, and its caller sends it again.

Holds: a connection ends only when each request that was started has its answer, and
none is started once the end has been decided. Requests that were not started are left
unread; their callers send them again.
"""

from __future__ import annotations

import enum

# Requests of one connection that run at once; further ones wait. A caller must not fill
# all endpoints through one connection.
MAX_UNANSWERED_REQUESTS = 16


class CloseCause(enum.Enum):
    """What ended the connection of a caller."""

    CALLER_CLOSED = "caller-closed"
    IDLE = "idle"
    CLOSING_ANSWER = "closing-answer"
    REFUSED_REQUEST = "refused-request"
    NODE_STOPS = "node-stops"
    FAULT = "fault"


class ConnectionDrain:
    """Decides on the start of requests and on the end of one connection.

    Requests are started and answered in the order in which they were read.

    Parameters
    ----------
    opened : float
        Time at which the connection was accepted.

    Attributes
    ----------
    cause : CloseCause or None
        Why the connection is going to end, once that has been decided.
    started : int
        Requests that were started and are not answered yet.
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
        """Decide to end the connection; the first cause holds."""
        self.cause = self.cause or cause

    @property
    def may_start(self) -> bool:
        """Whether the oldest request that was not started may be started now."""
        return self.cause is None and self.unanswered_count < MAX_UNANSWERED_REQUESTS

    def on_request_start(self, *, keep_alive: bool) -> None:
        """Note a started request; `keep_alive` is false if it is to be the last."""
        self.unanswered_count += 1
        if not keep_alive:
            self.begin_close(CloseCause.CLOSING_ANSWER)

    def is_last_answer(self, *, is_leaving: bool, has_next_request: bool) -> bool:
        """Whether the next answer has to close the connection.

        Parameters
        ----------
        is_leaving : bool
            Whether the node stops.
        has_next_request : bool
            Whether a further request has been read. A leaving node answers it too: its
            caller would lose the time for which it has waited.
        """
        if is_leaving and not has_next_request:
            self.begin_close(CloseCause.NODE_STOPS)
        return self.cause is not None and self.unanswered_count == 1

    def on_request_answered(self) -> None:
        """Note that the oldest started request has its answer."""
        self.unanswered_count -= 1

    def on_idle(self, now: float) -> None:
        """Note that the caller has all its answers."""
        self._idle_since = now

    def idle_remaining_s(self, idle_timeout_s: float, now: float) -> float:
        """Return the seconds for which an idle connection is still kept open.

        Parameters
        ----------
        idle_timeout_s : float
            Longest idle timeout that the caller may rely on.
        """
        return self._idle_since + idle_timeout_s - now
