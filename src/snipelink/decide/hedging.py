"""Hedging: when a running idempotent call is also sent to a second endpoint.

A server may become slow while calls run on it. The remainder of a call may then take
longer than the whole call on another server.
"""

from __future__ import annotations

# Minimum remaining work of a running call, as a fraction of its expected work.
MIN_REMAINING_RATIO = 0.3
# Minimum gain as a fraction of the remaining time. A hedge uses capacity that other
# calls could use.
MIN_GAIN_RATIO = 0.3
# Minimum gain, in seconds, that is worth a hedge.
MIN_GAIN_S = 0.05


def remaining_work_s(work_s: float, done_s: float) -> float:
    """Return the remaining work of a running call, in seconds at normal speed.

    Parameters
    ----------
    work_s, done_s : float
        Expected work and the work done so far, in seconds at normal speed.
    """
    # The best estimate of the remaining work of an overdue call is the work beyond its
    # expected work. The estimate thus grows for an endpoint that never answers.
    return max(work_s - done_s, work_s * MIN_REMAINING_RATIO, done_s - work_s)


def is_worthwhile(
    remaining_s: float, elsewhere_s: float, target: float, deadline: float, now: float
) -> bool:
    """Whether a hedge is likely to make the answer more valuable.

    That is the case if only the hedge would be answered by the target, or only the
    hedge by the deadline.

    Parameters
    ----------
    remaining_s, elsewhere_s : float
        Seconds until the first attempt ends, and until a hedge would end.
    target, deadline : float
        Monotonic times after which an answer loses part of its value, and all of it.
    """
    gain_s = remaining_s - elsewhere_s
    if gain_s < max(MIN_GAIN_S, MIN_GAIN_RATIO * remaining_s):
        return False
    if now + remaining_s <= target:
        return False
    if now + elsewhere_s <= target:
        return True
    return now + remaining_s > deadline >= now + elsewhere_s
