"""Detects that this process was stopped and resumed."""

from __future__ import annotations

import threading
import time

TICK_INTERVAL_S = 0.05
PAUSE_THRESHOLD_S = 0.5


class PauseDetector:
    """Remembers when the process last resumed after a pause.

    A thread ticks regularly; a gap between two ticks above the threshold is a
    pause. The process may be resumed in any thread, so the time since the last
    tick counts as well.
    """

    def __init__(self, now: float) -> None:
        self._last_tick = now
        self._resumed_at = float("-inf")

    def start(self) -> None:
        """Tick in a thread of its own."""
        threading.Thread(target=self._run, name="pauses", daemon=True).start()

    def tick(self, now: float) -> None:
        """Record that the process runs at `now`."""
        if now - self._last_tick > PAUSE_THRESHOLD_S:
            self._resumed_at = now
        self._last_tick = now

    def paused_since(self, before: float, now: float) -> bool:
        """Whether a pause ended between `before` and `now`."""
        return self._resumed_at >= before or self.is_paused(now)

    def is_paused(self, now: float) -> bool:
        """Whether the process resumes just now, before the next tick noticed it."""
        return now - self._last_tick > PAUSE_THRESHOLD_S

    def resumed_at(self) -> float:
        """Return when the last pause ended; minus infinity without one."""
        return self._resumed_at

    def _run(self) -> None:
        while True:
            time.sleep(TICK_INTERVAL_S)
            self.tick(time.monotonic())
