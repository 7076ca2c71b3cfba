"""Checks the recorded life of calls against the endpoints' own logs."""

from __future__ import annotations

import collections
import dataclasses
import enum
import json
import pathlib
from collections.abc import Iterable, Sequence

from bench import load_generator
from snipelink import errors

LEAVING_GRACE_S = 3.0
# Kinds that tell a caller that its call was cut off while it may have run.
CUT_OFF_KINDS = frozenset(
    {
        errors.Kind.CONNECTION_LOST.value,
        errors.Kind.STOPPED.value,
        errors.Kind.ANSWER_INCOMPLETE.value,
        errors.Kind.INTERNAL.value,
    }
)


class Rule(enum.Enum):
    """What a violation breaks; the value is shown in reports."""

    WRONG_ANSWER = "answer is not the complete one to its own call"
    NOT_RUN_BUT_STARTED = "told not-run, but started"
    STARTED_TWICE = "non-idempotent call started twice"
    KEY_STARTED_TWICE = "idempotency key started twice"
    STARTED_WHILE_LEAVING = "new work on a leaving endpoint"
    CUT_BY_PLANNED_STOP = "call in flight cut by a planned stop"
    PROBE_BUDGET_EXCEEDED = "measuring exceeds its budget"
    INCONSISTENT_REFUSAL = "refusal does not match the table of error kinds"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule, with the call or endpoint that shows it."""

    rule: Rule
    subject: str
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """One start on an endpoint; `ended` is None when the process died before."""

    endpoint: str
    token: str
    started: float
    ended: float | None = None
    outcome: str = ""
    key: str = ""
    call_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """One measuring request that reached an endpoint."""

    endpoint: str
    time: float


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """An endpoint announced at `announced` that it leaves, until `returned`."""

    endpoint: str
    announced: float
    returned: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStop:
    """A process of the server was told to stop at `time`."""

    server: str
    time: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeBudget:
    """Probes that one endpoint may receive: a rate with a burst."""

    per_s: float = 1.0
    burst: float = 2.0


@dataclasses.dataclass(slots=True)
class History:
    """Everything that is known about one run."""

    records: Sequence[load_generator.CallRecord]
    executions: Sequence[Execution]
    probes: Sequence[Probe] = ()
    departures: Sequence[Departure] = ()
    planned_stops: Sequence[PlannedStop] = ()
    probe_budget: ProbeBudget = ProbeBudget()


def read_logs(directory: pathlib.Path) -> tuple[list[Execution], list[Probe]]:
    """Return the runs and probes that the endpoints wrote to their logs."""
    executions: list[Execution] = []
    probes: list[Probe] = []
    for path in sorted(directory.iterdir()):
        # A start is matched with the next end of the same token and node's call.
        open_by_call: dict[tuple[str, str], collections.deque[int]] = {}
        for line in path.read_bytes().splitlines():
            fields = json.loads(line)
            call = (fields["token"], fields["call_id"])
            if fields["event"] == "probe":
                probes.append(Probe(fields["endpoint"], fields["time"]))
            elif fields["event"] == "start":
                started = fields["time"]
                execution = Execution(
                    fields["endpoint"], call[0], started, key=fields["key"]
                )
                open_by_call.setdefault(call, collections.deque()).append(
                    len(executions)
                )
                executions.append(dataclasses.replace(execution, call_id=call[1]))
            else:
                index = open_by_call[call].popleft()
                executions[index] = dataclasses.replace(
                    executions[index], ended=fields["time"], outcome=fields["event"]
                )
    return executions, probes


def check(history: History) -> list[Violation]:
    """Return every violation in a history."""
    executions_by_token: dict[str, list[Execution]] = collections.defaultdict(list)
    for execution in history.executions:
        executions_by_token[execution.token].append(execution)
    violations: list[Violation] = []
    for record in history.records:
        answered = record.answered_token or record.token
        violations += _check_answer(record, executions_by_token[answered])
        violations += _check_refusal(record)
        violations += _check_starts(record, executions_by_token[record.token])
    violations += _check_keys(history)
    violations += _check_departures(history)
    violations += _check_planned_stops(history, executions_by_token)
    violations += _check_probes(history)
    return violations


def _check_answer(
    record: load_generator.CallRecord, executions: Sequence[Execution]
) -> Iterable[Violation]:
    if record.outcome != "answered":
        return
    if not record.body_valid:
        yield Violation(Rule.WRONG_ANSWER, record.token, "body")
    elif record.status == 200 and not any(
        execution.outcome == "done" and execution.endpoint == record.endpoint
        for execution in executions
    ):
        detail = f"no run on {record.endpoint}"
        yield Violation(Rule.WRONG_ANSWER, record.token, detail)


def _check_refusal(record: load_generator.CallRecord) -> Iterable[Violation]:
    if record.outcome != "refused":
        return
    try:
        traits = errors.TRAITS_BY_KIND[errors.Kind(record.error)]
    except ValueError:
        yield Violation(Rule.INCONSISTENT_REFUSAL, record.token, record.error)
        return
    later = traits.retryability is not errors.Retryability.NO
    if record.ran != traits.execution_status.value or record.status != traits.status:
        detail = f"{record.error} {record.status} {record.ran}"
        yield Violation(Rule.INCONSISTENT_REFUSAL, record.token, detail)
    elif later and not record.retry_after:
        detail = f"{record.error} without Retry-After"
        yield Violation(Rule.INCONSISTENT_REFUSAL, record.token, detail)


def _check_starts(
    record: load_generator.CallRecord, executions: Sequence[Execution]
) -> Iterable[Violation]:
    detail = ", ".join(
        f"{execution.endpoint} {execution.started:.3f}" for execution in executions
    )
    if executions and record.outcome == "refused" and record.ran == "not-run":
        detail = f"{record.error}: {detail}"
        yield Violation(Rule.NOT_RUN_BUT_STARTED, record.token, detail)
    if len(executions) > 1 and not record.idempotent:
        yield Violation(Rule.STARTED_TWICE, record.token, detail)


def _check_keys(history: History) -> Iterable[Violation]:
    idempotent_by_token = {r.token: r.idempotent for r in history.records}
    executions_by_key: dict[str, list[Execution]] = collections.defaultdict(list)
    for execution in history.executions:
        if execution.key and not idempotent_by_token.get(execution.token, False):
            executions_by_key[execution.key].append(execution)
    for key, executions in executions_by_key.items():
        if len(executions) > 1:
            detail = ", ".join(
                f"{execution.token} on {execution.endpoint}" for execution in executions
            )
            yield Violation(Rule.KEY_STARTED_TWICE, key, detail)


def _check_departures(history: History) -> Iterable[Violation]:
    for departure in history.departures:
        last = departure.announced + LEAVING_GRACE_S
        for execution in history.executions:
            if execution.endpoint == departure.endpoint and (
                last < execution.started < departure.returned
            ):
                detail = (
                    f"{execution.token} "
                    f"{execution.started - departure.announced:.3f} s after"
                )
                yield Violation(Rule.STARTED_WHILE_LEAVING, execution.endpoint, detail)


def _check_planned_stops(
    history: History, executions_by_token: dict[str, list[Execution]]
) -> Iterable[Violation]:
    for stop in history.planned_stops:
        for record in history.records:
            executions = executions_by_token[record.token]
            touched = record.entry == stop.server or any(
                execution.endpoint == stop.server for execution in executions
            )
            cut = record.outcome == "lost" or record.error in CUT_OFF_KINDS
            if touched and executions and cut and record.finished_at >= stop.time:
                detail = f"{record.token}: {record.outcome} {record.error}"
                yield Violation(Rule.CUT_BY_PLANNED_STOP, stop.server, detail)


def _check_probes(history: History) -> Iterable[Violation]:
    """Check every window at once: the budget's bucket must never overflow."""
    budget = history.probe_budget
    level_by_endpoint: dict[str, tuple[float, float]] = {}
    for probe in sorted(history.probes, key=lambda probe: probe.time):
        level, before = level_by_endpoint.get(probe.endpoint, (0.0, probe.time))
        level = max(0.0, level - (probe.time - before) * budget.per_s) + 1.0
        level_by_endpoint[probe.endpoint] = (level, probe.time)
        if level > budget.burst + 1e-6:
            detail = f"{level:.2f} probes above the rate, burst {budget.burst}"
            yield Violation(Rule.PROBE_BUDGET_EXCEEDED, probe.endpoint, detail)
