"""Decision after a failed attempt."""

from __future__ import annotations

import dataclasses
import enum

from snipelink import errors, model
from snipelink.retry import budget as budget_module

MAX_ATTEMPTS = 3
MIN_REMAINING_S = 0.002
DEFAULT_RETRY_AFTER_S = 1.0

# Another endpoint gives the same result: the owner of the key is the same one, and the
# answer has the same size.
SAME_ELSEWHERE = frozenset(
    {
        errors.Kind.KEY_IN_PROGRESS,
        errors.Kind.KEY_UNKNOWN,
        errors.Kind.ANSWER_TOO_LARGE,
    }
)


class Action(enum.Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    LATER = "later"
    GIVE_UP = "give-up"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Decision after a failed attempt.

    Attributes
    ----------
    action : Action
        ``RETRY`` on another endpoint; ``LATER`` answers at once and tells the caller
        when to repeat; ``GIVE_UP`` answers at once.
    failure : errors.Failure
        Failure to answer with when the call is not retried.
    reason : str
        Reason for traces and ``explain``.
    """

    action: Action
    failure: errors.Failure
    reason: str


def may_repeat(call: model.Call, failure: errors.Failure) -> bool:
    """Return whether the call may run once more after this failure."""
    if failure.crashed or failure.kind in SAME_ELSEWHERE:
        return False
    if failure.not_run:
        return failure.traits.retryability is errors.Retryability.ELSEWHERE
    return call.operation.idempotent


def decide(
    call: model.Call,
    failure: errors.Failure,
    attempts: int,
    budget: budget_module.Budget,
    now: float,
    expected_s: float = 0.0,
) -> Decision:
    """Decide whether to retry a call after its last attempt failed.

    Parameters
    ----------
    call : model.Call
        The call.
    failure : errors.Failure
        Failure of the last attempt.
    attempts : int
        Attempts made so far, the failed one included.
    budget : Budget
        Retry budget of the service; charged only when the decision is ``RETRY``.
    now : float
        Current monotonic time, seconds.
    expected_s : float, default=0.0
        Time that another attempt is expected to take.
    """
    reason = ""
    if failure.retried:
        reason = "a nearer hop decided"
    elif failure.crashed:
        reason = "the endpoint crashed while the call ran"
    elif not may_repeat(call, failure):
        reason = "the kind forbids it"
    elif attempts >= MAX_ATTEMPTS:
        reason = "too many attempts"
    elif call.deadline - now <= max(MIN_REMAINING_S, expected_s):
        reason = "too little time"
    elif not budget.try_spend(now):
        reason = "budget spent"
    if not reason:
        return Decision(Action.RETRY, failure, "within budget and deadline")
    return _final(failure, reason)


def _final(failure: errors.Failure, reason: str) -> Decision:
    later = (
        failure.traits.retryability is not errors.Retryability.NO
        and not failure.crashed
    )
    retry_after = failure.retry_after_s
    if later and retry_after <= 0.0:
        retry_after = DEFAULT_RETRY_AFTER_S
    final = dataclasses.replace(failure, retried=True, retry_after_s=retry_after)
    return Decision(Action.LATER if later else Action.GIVE_UP, final, reason)
