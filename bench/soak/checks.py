"""Checks the history of a run against the invariants of the mesh."""

from __future__ import annotations

import collections
import dataclasses

from bench.soak import history

# Statuses that guarantee that the call has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Time after an unplanned fault in which time limits are not checked for the parts that
# it affected.
AFTERMATH_S = 3.0
# Tolerance of time limits for delays on a busy machine.
SCHEDULING_SLACK_S = 0.5
# Tolerance for the answer to a call after the call's time limit.
ANSWER_SLACK_S = 0.5
# Least share of calls that must succeed after the recovery deadline.
RECOVERED_RATIO = 0.95
MIN_RECOVERED_CALL_COUNT = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """Violation of an invariant, with the call or process that shows it."""

    invariant: str
    detail: str


def check(recorded: history.History) -> list[Violation]:
    """Return all violations of invariants in a history."""
    return [
        *_find_repeated_executions(recorded),
        *_find_executed_refusals(recorded),
        *_find_misdirected_executions(recorded),
        *_find_invalid_answers(recorded),
        *_find_unanswered_calls(recorded),
        *_find_calls_cut_off_by_shutdown(recorded),
        *_find_calls_to_withdrawn_endpoints(recorded),
        *_find_unapplied_routes(recorded),
        *_find_invalid_exits(recorded),
        *_find_missing_recovery(recorded),
    ]


def _find_repeated_executions(recorded: history.History) -> list[Violation]:
    at_most_once_ids = {call.call_id for call in recorded.calls if not call.idempotent}
    counts = collections.Counter(execution.call_id for execution in recorded.executions)
    return [
        Violation("no call runs twice that may run only once", f"{name} ran {count}x")
        for name, count in counts.items()
        if name in at_most_once_ids and count > 1
    ]


def _find_executed_refusals(recorded: history.History) -> list[Violation]:
    executed_ids = {each.call_id for each in recorded.executions}
    return [
        Violation("a refused call has not run", f"{call.call_id}: {call.status}")
        for call in recorded.calls
        if call.status in NOT_RUN_STATUSES
        and not call.idempotent
        and call.call_id in executed_ids
    ]


def _find_misdirected_executions(recorded: history.History) -> list[Violation]:
    service_by_id = {
        call.call_id: recorded.service_by_path.get(call.path) for call in recorded.calls
    }
    return [
        Violation("a call runs at its service", f"{each.call_id} at {each.service}")
        for each in recorded.executions
        if service_by_id.get(each.call_id) not in (None, each.service)
    ]


def _find_invalid_answers(recorded: history.History) -> list[Violation]:
    return [
        Violation("a success is the endpoint's answer to this call", call.call_id)
        for call in recorded.calls
        if call.status == 200 and not call.is_intact
    ]


def _find_unanswered_calls(recorded: history.History) -> list[Violation]:
    return [
        Violation("a call has an answer by its time limit", _describe(call))
        for call in recorded.calls
        if call.outcome is history.Outcome.TIMED_OUT
        and not _overlaps_unplanned_fault(
            recorded, call.node, call.sent_at, call.ended_at
        )
    ]


def _find_calls_cut_off_by_shutdown(recorded: history.History) -> list[Violation]:
    """Find executed calls whose connection was closed without an unplanned fault.

    The check includes calls on connections that have already served other calls.
    """
    executed_ids = {each.call_id for each in recorded.executions}
    return [
        Violation("a stop cuts off no call that an endpoint runs", _describe(call))
        for call in recorded.calls
        if call.outcome is history.Outcome.CLOSED
        and call.call_id in executed_ids
        and not _overlaps_unplanned_fault(recorded, None, call.sent_at, call.ended_at)
    ]


def _find_calls_to_withdrawn_endpoints(recorded: history.History) -> list[Violation]:
    withdrawn_at = {each.instance: each.withdrawn_at for each in recorded.withdrawals}
    violations = []
    for execution in recorded.executions:
        at = withdrawn_at.get(execution.instance)
        if (
            at is None
            or execution.started_at <= at + recorded.drain_s + SCHEDULING_SLACK_S
        ):
            continue
        if not _overlaps_unplanned_fault(recorded, None, at, execution.started_at):
            late_s = execution.started_at - at
            detail = (
                f"{execution.call_id} reached {execution.instance} after {late_s:.2f} s"
            )
            violations.append(Violation("a withdrawn endpoint gets no calls", detail))
    return violations


def _find_unapplied_routes(recorded: history.History) -> list[Violation]:
    published_at = {
        each.path: each.published_at for each in recorded.route_publications
    }
    violations = []
    for call in recorded.calls:
        at = published_at.get(call.path)
        if call.status != 404 or at is None:
            continue
        late = call.sent_at > at + recorded.route_apply_s + SCHEDULING_SLACK_S
        if late and not _overlaps_unplanned_fault(
            recorded, call.node, at, call.sent_at
        ):
            violations.append(
                Violation("a published route is in force", _describe(call))
            )
    return violations


def _find_invalid_exits(recorded: history.History) -> list[Violation]:
    violations = []
    for each in recorded.process_exits:
        detail = (
            f"node {each.node}: code {each.exit_code} after {each.shutdown_s:.2f} s"
        )
        if not each.signal:
            violations.append(Violation("no node ends by itself", detail))
        elif (
            each.signal == "TERM"
            and each.shutdown_s > recorded.grace_s + SCHEDULING_SLACK_S
        ):
            violations.append(Violation("a stop ends in the grace period", detail))
    return violations


def _find_missing_recovery(recorded: history.History) -> list[Violation]:
    calls = [
        call
        for call in recorded.calls
        if call.sent_at >= recorded.recovery_deadline
        and call.outcome is not history.Outcome.ABANDONED
    ]
    served = sum(call.status == 200 for call in calls)
    if len(calls) < MIN_RECOVERED_CALL_COUNT:
        return [Violation("callers are served after the faults", f"{len(calls)} calls")]
    if served < RECOVERED_RATIO * len(calls):
        detail = f"{served} of {len(calls)} calls"
        return [Violation("callers are served after the faults", detail)]
    return []


def _overlaps_unplanned_fault(
    recorded: history.History, node: int | None, first_at: float, last_at: float
) -> bool:
    """Whether an unplanned fault was active on a node, or any node, in an interval.

    Each fault counts as active for another ``AFTERMATH_S`` after its end.
    """
    return any(
        not fault.planned
        and (node is None or fault.node is None or fault.node == node)
        and fault.started_at <= last_at
        and fault.ended_at + AFTERMATH_S >= first_at
        for fault in recorded.fault_intervals
    )


def _describe(call: history.CallRecord) -> str:
    took_s = call.ended_at - call.sent_at
    return f"{call.call_id} at node {call.node}: {call.outcome.value}, {took_s:.2f} s"
