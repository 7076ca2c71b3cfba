from __future__ import annotations

import dataclasses

import pytest

from snipelink import errors, model
from snipelink.retry import budget, policy

READ = model.Operation("read", "GET", "/r", True)
BOOK = model.Operation("book", "POST", "/b", False)


def make_call(operation: model.Operation) -> model.Call:
    return model.Call("c", "s", operation, operation.method, "/", [], b"", 10.0)


def make_budget() -> budget.Budget:
    retry_budget = budget.Budget(0.5)
    for _ in range(100):
        retry_budget.deposit(0.0)
    return retry_budget


@pytest.mark.parametrize("kind", list(errors.Kind))
def test_non_idempotent_call_is_retried_only_if_it_did_not_run(
    kind: errors.Kind,
) -> None:
    """Guards against running a call twice that is not idempotent, such as a booking."""
    failure = errors.Failure(kind)
    decision = policy.decide(make_call(BOOK), failure, 1, make_budget(), 0.0)
    traits = failure.traits
    expected = (
        traits.execution_status is errors.ExecutionStatus.NOT_RUN
        and traits.retryability is errors.Retryability.ELSEWHERE
    )
    assert (decision.action is policy.Action.RETRY) == expected


@pytest.mark.parametrize("operation", [READ, BOOK])
def test_crash_or_decision_of_another_hop_ends_the_call(
    operation: model.Operation,
) -> None:
    """Guards against retrying a poison request, and against retries at several hops."""
    for failure in (
        errors.Failure(errors.Kind.CONNECTION_LOST, crashed=True),
        errors.Failure(errors.Kind.OVERLOADED, retried=True),
    ):
        decision = policy.decide(make_call(operation), failure, 1, make_budget(), 0.0)
        assert decision.action is not policy.Action.RETRY
        assert decision.failure.retried


@pytest.mark.parametrize(
    ("attempts", "now", "funded", "action"),
    [
        (1, 0.0, True, policy.Action.RETRY),
        (3, 0.0, True, policy.Action.LATER),
        (1, 9.999, True, policy.Action.LATER),
        (1, 0.0, False, policy.Action.LATER),
    ],
)
def test_attempts_deadline_and_budget_bound_retries(
    attempts: int, now: float, funded: bool, action: policy.Action
) -> None:
    """Guards against unbounded retries, and a final refusal without Retry-After."""
    retry_budget = make_budget() if funded else budget.Budget(0.0)
    failure = errors.Failure(errors.Kind.OVERLOADED)
    decision = policy.decide(make_call(BOOK), failure, attempts, retry_budget, now)
    assert decision.action is action
    if action is policy.Action.LATER:
        assert decision.failure.retry_after_s > 0


def test_refused_retry_is_not_charged() -> None:
    """Guards against charging the budget for calls that are not retried."""
    retry_budget = make_budget()
    before = retry_budget.available(0.0)
    failure = errors.Failure(errors.Kind.BAD_REQUEST)
    policy.decide(make_call(READ), failure, 1, retry_budget, 0.0)
    late = dataclasses.replace(make_call(READ), deadline=0.0)
    policy.decide(late, errors.Failure(errors.Kind.OVERLOADED), 1, retry_budget, 0.0)
    assert retry_budget.available(0.0) == before
