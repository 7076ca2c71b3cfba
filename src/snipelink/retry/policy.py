"""Decision whether to retry a call after a failed attempt."""

from __future__ import annotations

import dataclasses
import enum

from snipelink import errors, model
from snipelink.retry import budget as budget_module

MAX_ATTEMPTS = 3
MIN_REMAINING_S = 0.002
DEFAULT_RETRY_AFTER_S = 1.0

# Kinds of failure that recur on every other endpoint: an idempotency key has the same
# owner on every node, and the answer has the same size.
SAME_ON_EVERY_ENDPOINT = frozenset(
    {
        errors.Kind.KEY_IN_PROGRESS,
        errors.Kind.KEY_UNKNOWN,
        errors.Kind.ANSWER_TOO_LARGE,
    }
)


class Action(enum.Enum):
    """Action after a failed attempt."""

    RETRY = "retry"
    LATER = "later"
    GIVE_UP = "give-up"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Decision after a failed attempt.

    Attributes
    ----------
    action : Action
        ``RETRY`` sends the call to another endpoint. ``LATER`` answers the caller at
        once with the time after which to repeat the call. ``GIVE_UP`` answers at once
        and adds no such time.
    failure : errors.Failure
        Failure that is answered to the caller when the call is not retried.
    reason : str
        Reason for the decision, for traces.
    """

    action: Action
    failure: errors.Failure
    reason: str


def may_repeat(call: model.Call, failure: errors.Failure) -> bool:
    """Return whether it is safe and useful to run the call again."""
    if failure.crashed or failure.kind in SAME_ON_EVERY_ENDPOINT:
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
        Call whose attempt failed.
    failure : errors.Failure
        Failure of the last attempt.
    attempts : int
        Number of attempts so far, including the failed one.
    budget : Budget
        Retry budget of the service; charged only when the decision is ``RETRY``.
    now : float
        Current monotonic time, seconds.
    expected_s : float, default=0.0
        Expected duration of another attempt, seconds.
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
    return _final_decision(failure, reason)


def _final_decision(failure: errors.Failure, reason: str) -> Decision:
    may_repeat_later = (
        failure.traits.retryability is not errors.Retryability.NO
        and not failure.crashed
    )
    retry_after_s = failure.retry_after_s
    if may_repeat_later and retry_after_s <= 0.0:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    final_failure = dataclasses.replace(
        failure, retried=True, retry_after_s=retry_after_s
    )
    return Decision(
        Action.LATER if may_repeat_later else Action.GIVE_UP, final_failure, reason
    )
