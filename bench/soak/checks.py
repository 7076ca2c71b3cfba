"""Checks a history against the promises of the mesh."""

from __future__ import annotations

import collections
import dataclasses

from bench.soak import history

# Statuses that promise that a call has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Time after a fault in which bounds on time do not hold for what it acted on, seconds.
TOUCH_S = 3.0
# What a busy machine may add to a bound, seconds.
SLACK_S = 0.5
# Time after its limit within which a call has an answer, seconds.
ANSWER_SLACK_S = 0.5
# Share of calls that succeed once all faults are over.
RECOVERED_SHARE = 0.95
MIN_RECOVERED_CALLS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken."""

    promise: str
    detail: str


def check(seen: history.History) -> list[Violation]:
    """Return all violations."""
    return [
        *_run_twice(seen),
        *_ran_though_refused(seen),
        *_wrong_answers(seen),
        *_unanswered(seen),
        *_cut_off_by_a_stop(seen),
        *_sent_to_withdrawn(seen),
        *_unknown_routes(seen),
        *_exits(seen),
        *_not_recovered(seen),
    ]


def _run_twice(seen: history.History) -> list[Violation]:
    once = {sent.call_id for sent in seen.sent if not sent.idempotent}
    counts = collections.Counter(ran.call_id for ran in seen.ran)
    return [
        Violation("no call runs twice that may run only once", f"{name} ran {count}x")
        for name, count in counts.items()
        if name in once and count > 1
    ]


def _ran_though_refused(seen: history.History) -> list[Violation]:
    ran = {each.call_id for each in seen.ran}
    return [
        Violation("a refused call has not run", f"{sent.call_id}: {sent.status}")
        for sent in seen.sent
        if sent.status in NOT_RUN_STATUSES
        and not sent.idempotent
        and sent.call_id in ran
    ]


def _wrong_answers(seen: history.History) -> list[Violation]:
    return [
        Violation("a success is the endpoint's answer to this call", sent.call_id)
        for sent in seen.sent
        if sent.status == 200 and not sent.is_intact
    ]


def _unanswered(seen: history.History) -> list[Violation]:
    return [
        Violation("a call has an answer by its time limit", _told(sent))
        for sent in seen.sent
        if sent.ending is history.Ending.TIMED_OUT
        and not _disturbed(seen, sent.node, sent.sent_at, sent.ended_at)
    ]


def _cut_off_by_a_stop(seen: history.History) -> list[Violation]:
    """Beside planned work only, whatever a connection has carried before."""
    ran = {each.call_id for each in seen.ran}
    return [
        Violation("a stop cuts off no call that an endpoint runs", _told(sent))
        for sent in seen.sent
        if sent.ending is history.Ending.CLOSED
        and sent.call_id in ran
        and not _disturbed(seen, None, sent.sent_at, sent.ended_at)
    ]


def _sent_to_withdrawn(seen: history.History) -> list[Violation]:
    withdrawn_at = {each.instance: each.at for each in seen.withdrawn}
    found = []
    for ran in seen.ran:
        at = withdrawn_at.get(ran.instance)
        if at is None or ran.at <= at + seen.drain_s + SLACK_S:
            continue
        if not _disturbed(seen, None, at, ran.at):
            late_s = ran.at - at
            detail = f"{ran.call_id} reached {ran.instance} after {late_s:.2f} s"
            found.append(Violation("a withdrawn endpoint gets no calls", detail))
    return found


def _unknown_routes(seen: history.History) -> list[Violation]:
    published_at = {each.path: each.at for each in seen.routes}
    found = []
    for sent in seen.sent:
        at = published_at.get(sent.path)
        if sent.status != 404 or at is None:
            continue
        late = sent.sent_at > at + seen.apply_s + SLACK_S
        if late and not _disturbed(seen, sent.node, at, sent.sent_at):
            found.append(Violation("a published route is in force", _told(sent)))
    return found


def _exits(seen: history.History) -> list[Violation]:
    found = []
    for each in seen.exited:
        detail = f"node {each.node}: code {each.code} after {each.took_s:.2f} s"
        if not each.signal:
            found.append(Violation("no node ends by itself", detail))
        elif each.signal == "TERM" and each.took_s > seen.grace_s + SLACK_S:
            found.append(Violation("a stop ends in the grace period", detail))
    return found


def _not_recovered(seen: history.History) -> list[Violation]:
    late = [
        sent
        for sent in seen.sent
        if sent.sent_at >= seen.calm_from and sent.ending is not history.Ending.LEFT
    ]
    served = sum(sent.status == 200 for sent in late)
    if len(late) < MIN_RECOVERED_CALLS:
        return [Violation("callers are served after the faults", f"{len(late)} calls")]
    if served < RECOVERED_SHARE * len(late):
        detail = f"{served} of {len(late)} calls"
        return [Violation("callers are served after the faults", detail)]
    return []


def _disturbed(
    seen: history.History, node: int | None, first_at: float, last_at: float
) -> bool:
    """Whether an unplanned fault acted on a node, or on any, or shortly before."""
    return any(
        not fault.planned
        and (node is None or fault.node is None or fault.node == node)
        and fault.first_at <= last_at
        and fault.last_at + TOUCH_S >= first_at
        for fault in seen.disturbed
    )


def _told(sent: history.Sent) -> str:
    took_s = sent.ended_at - sent.sent_at
    return f"{sent.call_id} at node {sent.node}: {sent.ending.value}, {took_s:.2f} s"
