"""Clock for deadlines and data ages that includes the time of a system suspend."""

from __future__ import annotations

import asyncio
import time


def now() -> float:
    """Return the seconds since the machine booted, including suspended time.

    ``time.monotonic`` stops while the machine is suspended. With it, deadlines would
    expire late by the length of the suspension, and data from before the suspension
    would look fresh.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class EventLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers use `now` as their clock."""

    def time(self) -> float:
        """Return the current time in seconds."""
        return now()
