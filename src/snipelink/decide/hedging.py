"""When an idempotent call that still runs is also sent to a second endpoint.

Load pattern: a server turns slow while calls run on it. What is left of a call may
then take longer than the whole call on another server.
"""

from __future__ import annotations

# A call near the end of its expected work is taken to need this share of it still.
OVERDUE_SHARE = 0.3
# The second endpoint must be this much quicker, as a share of the time left, for
# moving work costs capacity that others could use.
MIN_GAIN_SHARE = 0.3
# A gain below this is not worth an attempt, seconds.
MIN_GAIN_S = 0.05


def remaining_work_s(work_s: float, done_s: float) -> float:
    """Return the undisturbed seconds that a running call still needs.

    Parameters
    ----------
    work_s, done_s : float
        Expected and done work in undisturbed seconds.
    """
    # What a call has taken beyond its expected work is the best guess of what it will
    # take on top; an endpoint that never answers soon seems far from the end.
    return max(work_s - done_s, work_s * OVERDUE_SHARE, done_s - work_s)


def is_worthwhile(
    left_s: float, elsewhere_s: float, target: float, deadline: float, now: float
) -> bool:
    """Whether a second attempt is likely to improve the answer.

    Parameters
    ----------
    left_s, elsewhere_s : float
        Seconds until the first attempt ends, and until a second one would.
    target, deadline : float
        Monotonic times by which the answer has its full value, and any.
    """
    gain_s = left_s - elsewhere_s
    if gain_s < max(MIN_GAIN_S, MIN_GAIN_SHARE * left_s):
        return False
    if now + left_s <= target:
        return False
    if now + elsewhere_s <= target:
        return True
    return now + left_s > deadline >= now + elsewhere_s
