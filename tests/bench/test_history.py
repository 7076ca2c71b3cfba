from __future__ import annotations

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from bench import history, load_generator
from snipelink import errors

ENDPOINTS = ("a-1", "a-2", "a-3")
KINDS = sorted(errors.Kind, key=lambda kind: kind.value)
STOP = history.PlannedStop("a-1", 5.0)


@dataclasses.dataclass
class Call:
    """Call with its record and its executions on endpoints."""

    record: load_generator.CallRecord
    runs: list[history.Execution]


@strategies.composite
def clean_calls(draw: strategies.DrawFn, index: int) -> Call:
    """Draw a call whose record matches its executions."""
    token = f"t{index}"
    started = draw(strategies.floats(0.0, 10.0))
    idempotent = draw(strategies.booleans())
    key = "" if idempotent else draw(strategies.sampled_from(["", f"k{index}"]))
    record = load_generator.CallRecord(
        token, "a", "op", idempotent, "b-1", started, key=key
    )
    record.finished_at = started + 0.5
    run = history.Execution(draw(strategies.sampled_from(ENDPOINTS)), token, started)
    run = dataclasses.replace(run, ended=started + 0.1, outcome="done", key=key)
    if draw(strategies.booleans()):
        record.outcome, record.status, record.endpoint = "answered", 200, run.endpoint
        again = draw(strategies.integers(0, 2)) if idempotent else 0
        return Call(record, [run] * (1 + again))
    kind = draw(strategies.sampled_from(KINDS))
    refuse(record, kind)
    ran = kind in KINDS_THAT_MAY_HAVE_RUN and draw(strategies.booleans())
    return Call(record, [run] if ran else [])


KINDS_THAT_MAY_HAVE_RUN = (errors.Kind.DEADLINE_UNKNOWN, errors.Kind.ANSWER_TOO_LARGE)


def refuse(record: load_generator.CallRecord, kind: errors.Kind) -> None:
    traits = errors.TRAITS_BY_KIND[kind]
    record.outcome, record.error = "refused", kind.value
    record.status, record.ran = traits.status, traits.execution_status.value
    record.retry_after = "" if traits.retryability is errors.Retryability.NO else "1"


@strategies.composite
def clean_histories(draw: strategies.DrawFn) -> list[Call]:
    count = draw(strategies.integers(2, 12))
    return [draw(clean_calls(index)) for index in range(count)]


def check(calls: list[Call], **others: object) -> list[history.Violation]:
    records = [call.record for call in calls]
    runs = [run for call in calls for run in call.runs]
    return history.check(history.History(records, runs, **others))


def probes(times: list[float]) -> list[history.Probe]:
    return [history.Probe("a-1", time) for time in times]


def answered(token: str, idempotent: bool = False, key: str = "") -> Call:
    record = load_generator.CallRecord(
        token, "a", "op", idempotent, "b-1", 1.0, key=key
    )
    record.outcome, record.status, record.endpoint = "answered", 200, "a-2"
    record.finished_at = 1.2
    return Call(record, [history.Execution("a-2", token, 1.0, 1.1, "done", key)])


@hypothesis.given(calls=clean_histories(), data=strategies.data())
def test_clean_history_passes(calls: list[Call], data: strategies.DataObject) -> None:
    """Guards against a checker that reports violations where there are none."""
    gaps = data.draw(strategies.lists(strategies.floats(1.0, 9.0), max_size=10))
    times = [sum(gaps[:index]) for index in range(len(gaps))]
    latest = max((run.started for call in calls for run in call.runs), default=0.0)
    departures = [history.Departure("a-1", latest - 2.9)]
    found = check(
        calls, probes=probes(times), departures=departures, planned_stops=[STOP]
    )
    assert found == []


def plant_body(calls: list[Call]) -> None:
    calls.append(answered("p"))
    calls[-1].record.body_valid = False


def plant_answer_of_another_endpoint(calls: list[Call]) -> None:
    calls.append(answered("p"))
    calls[-1].record.endpoint = "a-3"


def plant_not_run(calls: list[Call]) -> None:
    calls.append(answered("p", idempotent=True))
    refuse(calls[-1].record, errors.Kind.OVERLOADED)


def plant_start_after_not_run(calls: list[Call]) -> None:
    plant_not_run(calls)
    calls[-1].runs = [history.Execution("a-3", "p", 99.0, None)]


def plant_second_start(calls: list[Call]) -> None:
    calls.append(answered("p"))
    calls[-1].runs.append(history.Execution("a-1", "p", 2.0, None))


def plant_key_started_twice(calls: list[Call]) -> None:
    calls += [answered("p", key="same"), answered("q", key="same")]


def plant_lost_call(calls: list[Call]) -> None:
    calls.append(answered("p"))
    calls[-1].record.entry, calls[-1].record.outcome = "a-1", "lost"
    calls[-1].record.finished_at = 5.1


def plant_cut_call(calls: list[Call]) -> None:
    calls.append(answered("p"))
    refuse(calls[-1].record, errors.Kind.CONNECTION_LOST)
    calls[-1].runs = [history.Execution("a-1", "p", 4.9, None)]
    calls[-1].record.finished_at = 5.1


def plant_wrong_ran(calls: list[Call]) -> None:
    calls.append(Call(answered("p").record, []))
    refuse(calls[-1].record, errors.Kind.CONNECTION_LOST)
    calls[-1].record.ran = "not-run"


def plant_missing_retry_after(calls: list[Call]) -> None:
    calls.append(Call(answered("p").record, []))
    refuse(calls[-1].record, errors.Kind.OVERLOADED)
    calls[-1].record.retry_after = ""


@pytest.mark.parametrize(
    ("plant", "rule"),
    [
        (plant_body, history.Rule.WRONG_ANSWER),
        (plant_answer_of_another_endpoint, history.Rule.WRONG_ANSWER),
        (plant_not_run, history.Rule.NOT_RUN_BUT_STARTED),
        (plant_start_after_not_run, history.Rule.NOT_RUN_BUT_STARTED),
        (plant_second_start, history.Rule.STARTED_TWICE),
        (plant_key_started_twice, history.Rule.KEY_STARTED_TWICE),
        (plant_lost_call, history.Rule.CUT_BY_PLANNED_STOP),
        (plant_cut_call, history.Rule.CUT_BY_PLANNED_STOP),
        (plant_wrong_ran, history.Rule.INCONSISTENT_REFUSAL),
        (plant_missing_retry_after, history.Rule.INCONSISTENT_REFUSAL),
    ],
)
@hypothesis.given(calls=clean_histories())
def test_planted_violation_is_found(
    plant: object, rule: history.Rule, calls: list[Call]
) -> None:
    """Guards against a checker that misses a violation among clean calls."""
    plant(calls)
    found = check(calls, planned_stops=[STOP])
    assert rule in {violation.rule for violation in found}


@hypothesis.given(calls=clean_histories(), late=strategies.floats(3.001, 60.0))
def test_work_on_a_leaving_endpoint_is_found(calls: list[Call], late: float) -> None:
    """Guards against missing a start more than 3 s after the announcement."""
    call = answered("p")
    announced = call.runs[0].started - late
    calls.append(call)
    found = check(calls, departures=[history.Departure("a-2", announced)])
    assert history.Rule.STARTED_WHILE_LEAVING in {v.rule for v in found}
    returned = [history.Departure("a-2", announced, call.runs[0].started - 0.0005)]
    found = check([call], departures=returned)
    assert found == []


@hypothesis.given(
    start=strategies.floats(0.0, 100.0),
    earlier=strategies.lists(strategies.floats(-500.0, -10.0), max_size=3, unique=True),
)
def test_burst_of_probes_after_a_pause_is_found(
    start: float, earlier: list[float]
) -> None:
    """Guards against a budget that is only checked on average over the run."""
    times = [start + before for before in sorted(earlier)]
    burst = [start, start + 0.1, start + 0.2]
    found = check([], probes=probes(times + burst))
    assert history.Rule.PROBE_BUDGET_EXCEEDED in {v.rule for v in found}
