"""Token bucket that limits the rate of log lines and spans."""

from __future__ import annotations

import threading


class TokenBucket:
    """Allows bursts of ``burst`` events and ``rate_per_s`` events on average."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_at: float | None = None
        self._lock = threading.Lock()

    def try_take(self, now: float) -> bool:
        """Take a token; return false if there is none."""
        with self._lock:
            if self._updated_at is not None and now > self._updated_at:
                earned = (now - self._updated_at) * self._rate_per_s
                self._tokens = min(self._burst, self._tokens + earned)
            self._updated_at = max(now, self._updated_at or now)
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
