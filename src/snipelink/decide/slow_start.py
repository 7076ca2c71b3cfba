"""Slow start: rate limit for calls that start on a cold endpoint.

Servers that have just started, or lost their caches, tolerate only a few requests per
second for some seconds and crash at higher rates, while other servers of the service
run tens of calls concurrently. A node detects a cold endpoint only by a poll, and an
endpoint may become cold between two polls. The number of starts since the
last poll that found the endpoint warm is therefore limited as well.
"""

from __future__ import annotations

import collections
import dataclasses
import math

# Burst size of the token bucket; it exceeds 1 because two calls often arrive together.
BURST_STARTS = 2.0
# Window over which operators count the requests to a cold endpoint.
WINDOW_S = 1.0
# Fraction of the starts allowed since the last poll after which the next poll is due,
# so that it is answered before the remaining starts are used up.
POLL_DUE_RATIO = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ColdLimits:
    """Request rate limits of a cold endpoint.

    Attributes
    ----------
    rate_per_s : float
        Sustained rate that the endpoint tolerates, requests per second.
    max_per_window : float
        Maximum number of requests that operators allow in any `WINDOW_S`.
    """

    rate_per_s: float
    max_per_window: float

    @property
    def max_unconfirmed_starts(self) -> int:
        """Starts allowed between a poll that found the endpoint warm and the next one.

        A restarted node does not know about the starts of its former process. The bound
        leaves room for the starts that a new process allows a cold endpoint, so that
        both processes together stay within `max_per_window`.
        """
        return max(
            1,
            math.floor(self.max_per_window - self.rate_per_s * WINDOW_S - BURST_STARTS),
        )


class SlowStartLimiter:
    """Token bucket for the starts of calls on one endpoint that is or may be cold.

    The endpoint is assumed to be cold until a poll finds it warm. Starts are unlimited
    while no limits are set.

    Parameters
    ----------
    now : float
        Present monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._limits: ColdLimits | None = None
        # Tokens at a monotonic time; negative after many starts since the last poll.
        self._tokens = BURST_STARTS
        self._tokens_at = now
        # Send time of the last poll that found the endpoint warm.
        self._warm_poll_sent_at = -math.inf
        self._cold_until = math.inf
        # Monotonic times of the starts in the last `WINDOW_S`.
        self._starts: collections.deque[float] = collections.deque()

    def set_limits(self, limits: ColdLimits | None, now: float) -> None:
        """Set the limits that apply while the endpoint is cold; None for no limits."""
        if limits != self._limits:
            self._refill(now)
            self._limits = limits

    def on_new_process(self, now: float) -> None:
        """Assume that the endpoint is cold, and discard the former process's starts."""
        self._tokens, self._tokens_at = BURST_STARTS, now
        self._warm_poll_sent_at = -math.inf
        self._cold_until = math.inf
        self._starts.clear()

    def on_poll_answer(self, sent_at: float, cold_s: float, now: float) -> None:
        """Process the answer to a poll.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which the poll was sent.
        cold_s : float
            Seconds for which the endpoint reports that it stays cold; 0 if it is warm.
        """
        if cold_s > 0.0:
            self._warm_poll_sent_at = -math.inf
            self._cold_until = now + cold_s
            return
        self._warm_poll_sent_at = sent_at
        self._cold_until = -math.inf
        # The endpoint was warm when this poll was sent, so only the starts since then
        # may have reached it while it was cold.
        self._tokens, self._tokens_at = BURST_STARTS - self._unconfirmed_count(), now

    def may_start(self, now: float) -> bool:
        """Whether a call may start."""
        limits = self._limits
        if limits is None:
            return True
        if (
            self._is_warm(now)
            and self._unconfirmed_count() < limits.max_unconfirmed_starts
        ):
            return True
        self._refill(now)
        return self._tokens >= 1.0

    def on_start(self, now: float) -> None:
        """Record the start of a call."""
        self._refill(now)
        self._tokens -= 1.0
        self._starts.append(now)
        while self._starts[0] <= now - WINDOW_S:
            self._starts.popleft()

    def is_limiting(self, now: float) -> bool:
        """Whether the limits apply, that is, the endpoint is assumed to be cold."""
        return self._limits is not None and not self._is_warm(now)

    def available_starts(self, now: float) -> int:
        """Return the number of calls that may start now on a cold endpoint."""
        self._refill(now)
        return max(0, math.floor(self._tokens))

    def wait_s(self, ahead_count: int, now: float) -> float:
        """Return the seconds until a call may start.

        Parameters
        ----------
        ahead_count : int
            Number of waiting calls that start before it.
        """
        if self._limits is None or self._is_warm(now):
            return 0.0
        self._refill(now)
        return max(0.0, (ahead_count + 1.0 - self._tokens) / self._limits.rate_per_s)

    def next_start_at(self, now: float) -> float:
        """Return the monotonic time at which the next token becomes available."""
        if self._limits is None or self._is_warm(now):
            return math.inf
        self._refill(now)
        if self._tokens >= BURST_STARTS:
            return math.inf
        return (
            now
            + (math.floor(self._tokens) + 1.0 - self._tokens) / self._limits.rate_per_s
        )

    def poll_due_at(self, now: float) -> float:
        """Return the monotonic time by which the endpoint should be polled."""
        if self._limits is None:
            return math.inf
        if not self._is_warm(now):
            return self._cold_until
        is_due = (
            self._unconfirmed_count()
            >= POLL_DUE_RATIO * self._limits.max_unconfirmed_starts
        )
        return now if is_due else math.inf

    def _is_warm(self, now: float) -> bool:
        return now - self._warm_poll_sent_at < WINDOW_S

    def _unconfirmed_count(self) -> int:
        return sum(at >= self._warm_poll_sent_at for at in self._starts)

    def _refill(self, now: float) -> None:
        per_s = self._limits.rate_per_s if self._limits is not None else 0.0
        passed_s = max(0.0, now - self._tokens_at)
        self._tokens = min(BURST_STARTS, self._tokens + passed_s * per_s)
        self._tokens_at = now
