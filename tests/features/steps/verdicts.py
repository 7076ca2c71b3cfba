"""Steps that check the verdict of one run under faults."""

from __future__ import annotations

import typing

from behave import then, when

TIMEOUT_S = 120


@when('"{faults}" happens under load')
def run_faults(context: typing.Any, faults: str) -> None:
    step = f'"{faults}" happens under load'
    context.verdict = context.futures_by_step[step].result(TIMEOUT_S)


@when('"{faults}" happens under load with repeats')
def run_with_repeats(context: typing.Any, faults: str) -> None:
    step = f'"{faults}" happens under load with repeats'
    context.verdict = context.futures_by_step[step].result(TIMEOUT_S)


@when('"{faults}" happens under load without "{mechanism}"')
def run_without(context: typing.Any, faults: str, mechanism: str) -> None:
    step = f'"{faults}" happens under load without "{mechanism}"'
    context.verdict = context.futures_by_step[step].result(TIMEOUT_S)


@when('"{faults}" happens under load with repeats without "{mechanism}"')
def run_with_repeats_without(context: typing.Any, faults: str, mechanism: str) -> None:
    step = f'"{faults}" happens under load with repeats without "{mechanism}"'
    context.verdict = context.futures_by_step[step].result(TIMEOUT_S)


@then("calls were answered")
def check_answered(context: typing.Any) -> None:
    assert context.verdict.answered > 0


@then("no invariant was violated")
def check_violations(context: typing.Any) -> None:
    found = [
        f"{violation.rule.value}: {violation.subject} {violation.detail}"
        for violation in context.verdict.violations
    ]
    assert not found, f"{len(found)} violations, the first ones are {found[:3]}"


@then("every node answers again")
def check_problems(context: typing.Any) -> None:
    assert not context.verdict.problems, context.verdict.problems


@then('it is reported that "{rule}"')
def check_reported(context: typing.Any, rule: str) -> None:
    rules = {violation.rule.value for violation in context.verdict.violations}
    assert rule in rules, f"reported rules are only {rules}; verdict: {context.verdict}"
