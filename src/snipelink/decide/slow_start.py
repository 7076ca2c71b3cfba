"""How many calls a second may start on an endpoint that is, or may be, cold.

Load pattern: servers that have just started, or lost their caches, bear a few requests
a second for some seconds and crash at more, while others of their service run tens at
once. Only polls tell that an endpoint is cold, and it may turn cold between two of
them, so the starts since the last poll that found it warm are bounded as well.
"""

from __future__ import annotations

import collections
import dataclasses
import math

# Starts at once beyond the rate of a cold endpoint: two calls often arrive together.
BURST = 2.0
# Span in which operators count the requests of a cold endpoint, seconds.
WINDOW_S = 1.0
# Share of the starts allowed since the last poll from which the next one is due: it is
# answered before the others are used up.
POLL_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ColdLimits:
    """What a cold endpoint bears.

    Attributes
    ----------
    per_s : float
        Requests a second that it tolerates.
    most : float
        Requests in any one second that operators allow.
    """

    rate_per_s: float
    max_per_window: float

    @property
    def max_unconfirmed_starts(self) -> int:
        """Starts allowed after a poll that found the endpoint warm, before the next.

        A node that ends and starts again does not know of its former starts; those of
        both together stay within the bound.
        """
        return max(
            1, math.floor(self.max_per_window - self.rate_per_s * WINDOW_S - BURST)
        )


class SlowStartLimiter:
    """Bounds the calls that start on one endpoint while it is or may be cold.

    The endpoint counts as cold until a poll finds it warm. Without terms there is no
    bound.

    Parameters
    ----------
    now : float
        Present monotonic time, seconds.
    """

    def __init__(self, now: float) -> None:
        self._terms: ColdLimits | None = None
        # Starts that are free, as of a time; negative after many unseen ones.
        self._free = BURST
        self._free_at = now
        # Monotonic time at which the last poll that found the endpoint warm was sent.
        self._warm_at = -math.inf
        self._cold_until = math.inf
        # Times of the starts in the last `WINDOW_S`.
        self._starts: collections.deque[float] = collections.deque()

    def set_limits(self, terms: ColdLimits | None, now: float) -> None:
        """Take over what the endpoint bears while cold; None if nothing is known."""
        if terms != self._terms:
            self._refill(now)
            self._terms = terms

    def on_new_process(self, now: float) -> None:
        """Take the endpoint for cold, and forget the starts on its former process."""
        self._free, self._free_at = BURST, now
        self._warm_at = -math.inf
        self._cold_until = math.inf
        self._starts.clear()

    def on_poll_answer(self, sent_at: float, cold_s: float, now: float) -> None:
        """Take over the answer to a poll.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which the poll was sent.
        cold_s : float
            Seconds for which the endpoint says that it stays cold; 0 if it is warm.
        """
        if cold_s > 0.0:
            self._warm_at = -math.inf
            self._cold_until = now + cold_s
            return
        self._warm_at = sent_at
        self._cold_until = -math.inf
        # The starts since then are all that a cold endpoint may have got.
        self._free, self._free_at = BURST - self._unseen_count(), now

    def may_start(self, now: float) -> bool:
        """Whether a call may start."""
        terms = self._terms
        if terms is None:
            return True
        if self._is_warm(now) and self._unseen_count() < terms.max_unconfirmed_starts:
            return True
        self._refill(now)
        return self._free >= 1.0

    def on_start(self, now: float) -> None:
        """Note that a call starts."""
        self._refill(now)
        self._free -= 1.0
        self._starts.append(now)
        while self._starts[0] <= now - WINDOW_S:
            self._starts.popleft()

    def is_limiting(self, now: float) -> bool:
        """Whether the endpoint is taken for cold."""
        return self._terms is not None and not self._is_warm(now)

    def available_starts(self, now: float) -> int:
        """Return the calls that may start at once on a cold endpoint."""
        self._refill(now)
        return max(0, math.floor(self._free))

    def wait_s(self, ahead: int, now: float) -> float:
        """Return the seconds until a call may start.

        Parameters
        ----------
        ahead : int
            Waiting calls that start before it.
        """
        if self._terms is None or self._is_warm(now):
            return 0.0
        self._refill(now)
        return max(0.0, (ahead + 1.0 - self._free) / self._terms.rate_per_s)

    def next_start_at(self, now: float) -> float:
        """Return the monotonic time at which one more start gets free."""
        if self._terms is None or self._is_warm(now):
            return math.inf
        self._refill(now)
        if self._free >= BURST:
            return math.inf
        return (
            now + (math.floor(self._free) + 1.0 - self._free) / self._terms.rate_per_s
        )

    def poll_due_at(self, now: float) -> float:
        """Return the monotonic time by which the endpoint should be polled."""
        if self._terms is None:
            return math.inf
        if not self._is_warm(now):
            return self._cold_until
        is_due = self._unseen_count() >= POLL_SHARE * self._terms.max_unconfirmed_starts
        return now if is_due else math.inf

    def _is_warm(self, now: float) -> bool:
        return now - self._warm_at < WINDOW_S

    def _unseen_count(self) -> int:
        return sum(at >= self._warm_at for at in self._starts)

    def _refill(self, now: float) -> None:
        per_s = self._terms.rate_per_s if self._terms is not None else 0.0
        passed_s = max(0.0, now - self._free_at)
        self._free = min(BURST, self._free + passed_s * per_s)
        self._free_at = now
