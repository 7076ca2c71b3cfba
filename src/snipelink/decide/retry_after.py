"""Time after which a refused caller should retry.

Callers that are refused in a burst and all retry at the same time form the next burst.
The retry time of each caller is the time until the present backlog is done, plus a
random jitter.
"""

from __future__ import annotations

import random

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
# Maximum jitter as a fraction of the time. The callers of a burst retry spread over
# half the time that the work of the burst takes.
JITTER_RATIO = 0.5


def retry_after_s(backlog_s: float, rng: random.Random) -> float:
    """Return the seconds after which a refused caller should retry.

    Parameters
    ----------
    backlog_s : float
        Seconds until the present backlog of work is done.
    """
    base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, backlog_s))
    return base_s * (1.0 + JITTER_RATIO * rng.random())
