"""Detects that this process was suspended and resumed."""

from __future__ import annotations

import threading
import time

TICK_INTERVAL_S = 0.05
PAUSE_THRESHOLD_S = 0.5


class PauseDetector:
    """Records when the process last resumed after a pause.

    A thread ticks at a regular interval, and a gap between two ticks above the
    threshold is a pause. After a resume, another thread may run before the ticking
    thread, so a long time since the last tick also counts as a pause.
    """

    def __init__(self, now: float) -> None:
        self._last_tick = now
        self._resumed_at = float("-inf")

    def start(self) -> None:
        """Start the ticking thread."""
        threading.Thread(target=self._run, name="pauses", daemon=True).start()

    def tick(self, now: float) -> None:
        """Record that the process is running at `now`."""
        if now - self._last_tick > PAUSE_THRESHOLD_S:
            self._resumed_at = now
        self._last_tick = now

    def paused_since(self, before: float, now: float) -> bool:
        """Whether a pause of the process ended between `before` and `now`."""
        return self._resumed_at >= before or self.is_paused(now)

    def is_paused(self, now: float) -> bool:
        """Whether the process has resumed and the next tick has not recorded it yet."""
        return now - self._last_tick > PAUSE_THRESHOLD_S

    def resumed_at(self) -> float:
        """Return the time when the last pause ended; minus infinity if none did."""
        return self._resumed_at

    def _run(self) -> None:
        while True:
            time.sleep(TICK_INTERVAL_S)
            self.tick(time.monotonic())
