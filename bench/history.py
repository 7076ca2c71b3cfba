"""Checks what callers recorded against the execution logs of the endpoints."""

from __future__ import annotations

import collections
import dataclasses
import enum
import json
import pathlib
from collections.abc import Iterable, Sequence

from bench import load_generator
from snipelink import errors

# Nodes must stop sending calls to a leaving endpoint within this time.
LEAVING_GRACE_S = 3.0
# Error kinds of calls that were cut off and may have run.
CUT_OFF_KINDS = frozenset(
    {
        errors.Kind.CONNECTION_LOST.value,
        errors.Kind.STOPPED.value,
        errors.Kind.ANSWER_INCOMPLETE.value,
        errors.Kind.INTERNAL.value,
    }
)


class Rule(enum.Enum):
    """Invariant that a violation breaks; reports show its value."""

    WRONG_ANSWER = "answer is not the complete one to its own call"
    NOT_RUN_BUT_STARTED = "reported as not-run, but started"
    STARTED_TWICE = "non-idempotent call started twice"
    KEY_STARTED_TWICE = "idempotency key started twice"
    STARTED_WHILE_LEAVING = "new work on a leaving endpoint"
    CUT_BY_PLANNED_STOP = "call in flight cut by a planned stop"
    PROBE_BUDGET_EXCEEDED = "probes exceed their budget"
    INCONSISTENT_REFUSAL = "refusal does not match the table of error kinds"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """Violation of a rule; `subject` is the affected call, key or server."""

    rule: Rule
    subject: str
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """Execution of a call on an endpoint.

    `ended` is None if the process of the endpoint crashed during the execution.
    """

    endpoint: str
    token: str
    started: float
    ended: float | None = None
    outcome: str = ""
    key: str = ""
    call_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Probe request that an endpoint received."""

    endpoint: str
    time: float


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """Period from `announced` to `returned` in which an endpoint is leaving."""

    endpoint: str
    announced: float
    returned: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStop:
    """Graceful shutdown of a process of a server, requested at `time`."""

    server: str
    time: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeBudget:
    """Token bucket that limits the probes of one endpoint: rate and burst."""

    per_s: float = 1.0
    burst: float = 2.0


@dataclasses.dataclass(slots=True)
class History:
    """Everything that was observed in one test run."""

    records: Sequence[load_generator.CallRecord]
    executions: Sequence[Execution]
    probes: Sequence[Probe] = ()
    departures: Sequence[Departure] = ()
    planned_stops: Sequence[PlannedStop] = ()
    probe_budget: ProbeBudget = ProbeBudget()


def read_logs(directory: pathlib.Path) -> tuple[list[Execution], list[Probe]]:
    """Return the executions and probes from the event logs of the endpoints."""
    executions: list[Execution] = []
    probes: list[Probe] = []
    for path in sorted(directory.iterdir()):
        # A start is paired with the next end that has the same token and call id.
        # The entry node assigns the call id.
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
        violations += _check_executions(record, executions_by_token[record.token])
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
    is_repeatable = traits.retryability is not errors.Retryability.NO
    if record.ran != traits.execution_status.value or record.status != traits.status:
        detail = f"{record.error} {record.status} {record.ran}"
        yield Violation(Rule.INCONSISTENT_REFUSAL, record.token, detail)
    elif is_repeatable and not record.retry_after:
        detail = f"{record.error} without Retry-After"
        yield Violation(Rule.INCONSISTENT_REFUSAL, record.token, detail)


def _check_executions(
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
            is_affected = record.entry == stop.server or any(
                execution.endpoint == stop.server for execution in executions
            )
            cut = record.outcome == "lost" or record.error in CUT_OFF_KINDS
            if is_affected and executions and cut and record.finished_at >= stop.time:
                detail = f"{record.token}: {record.outcome} {record.error}"
                yield Violation(Rule.CUT_BY_PLANNED_STOP, stop.server, detail)


def _check_probes(history: History) -> Iterable[Violation]:
    """Check the probes of each endpoint with a leaky bucket.

    The bucket never overflows exactly if no time window has more probes than allowed.
    """
    budget = history.probe_budget
    level_by_endpoint: dict[str, tuple[float, float]] = {}
    for probe in sorted(history.probes, key=lambda probe: probe.time):
        level, previous_at = level_by_endpoint.get(probe.endpoint, (0.0, probe.time))
        level = max(0.0, level - (probe.time - previous_at) * budget.per_s) + 1.0
        level_by_endpoint[probe.endpoint] = (level, probe.time)
        if level > budget.burst + 1e-6:
            detail = f"{level:.2f} probes in the bucket, burst {budget.burst}"
            yield Violation(Rule.PROBE_BUDGET_EXCEEDED, probe.endpoint, detail)
