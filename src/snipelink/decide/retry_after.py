"""When a refused caller should come back.

Load pattern: callers refused in a burst that all return together are the next burst.
They are told the time after which the work ahead of them will be done, each with a
spread of its own.
"""

from __future__ import annotations

import random

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
# Largest addition, as a share of the time itself; a burst's callers return over half
# the time that the burst's work takes.
SPREAD_SHARE = 0.5


def retry_after_s(backlog_s: float, rng: random.Random) -> float:
    """Return the seconds after which a refused caller may find room.

    Parameters
    ----------
    backlog_s : float
        Seconds until the work that is ahead is done.
    """
    base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, backlog_s))
    return base_s * (1.0 + SPREAD_SHARE * rng.random())
