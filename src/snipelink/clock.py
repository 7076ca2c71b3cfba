"""Present time of a process, for deadlines and for the age of what it knows."""

from __future__ import annotations

import asyncio
import time


def now() -> float:
    """Return seconds since the machine started, with the time it was suspended.

    The monotonic clock stands still during a suspension: deadlines would end late by
    that time, and what was known before would seem fresh.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class EventLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers follow `now`."""

    def time(self) -> float:
        """Return the present time, seconds."""
        return now()
