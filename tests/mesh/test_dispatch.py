from __future__ import annotations

import asyncio
import dataclasses
import logging
import typing

import pytest

from snipelink import clock, errors
from snipelink.decide import placement
from snipelink.generated import mesh
from snipelink.mesh import calls, dispatch, published_state, settings
from snipelink.session import http
from tests.mesh import test_attempts

FEW_SLOTS = 4
FULL = {"running": FEW_SLOTS, "waiting": 20}
FREE = {"running": 0, "waiting": 0}
ENDPOINT_COUNT = 6
WORK_S = 0.04


def _subject(
    load: typing.Mapping[str, int],
    script: test_attempts.Script = test_attempts._answer,
    *,
    slots: int = FEW_SLOTS,
    age_s: float = 0.0,
) -> test_attempts.Subject:
    """Return a node that has heard the same load of all endpoints."""
    subject = test_attempts._subject(script, known=ENDPOINT_COUNT)
    subject.own.balancing = settings.Balancing(admission_slots=FEW_SLOTS)
    now = clock.now()
    instances = tuple(
        dataclasses.replace(instance, slots=slots)
        for instance in subject.catalog.instances_by_id.values()
    )
    revision = subject.catalog.revision + 1
    subject.catalog.apply_snapshot(
        published_state.PublishedState(revision, None, instances), now
    )
    table = subject.attempts._load_table
    for instance in instances:
        report = mesh.Load(
            instance.id,
            1,
            2,
            load["running"],
            load["waiting"],
            slots,
            100,
            0,
            True,
            1,
            1,
            False,
        )
        table.update(report, instance.host, now - age_s)
    subject.attempts.estimates.record(test_attempts.SERVICE, "view", WORK_S)
    return subject


def _answer(subject: test_attempts.Subject, call_id: str = "c1") -> http.Response:
    dispatcher = test_attempts._dispatcher(subject, idempotent=True, max_attempts=2)
    request = test_attempts._request(call_id)
    return asyncio.run(dispatcher.answer(request, clock.now()))


def _service_refusals(subject: test_attempts.Subject) -> dict[tuple[str, ...], float]:
    return subject.metrics.counter("snipelink_mesh_service_refusals_total", "").values()


def test_call_is_refused_before_it_is_sent_if_its_service_has_no_room(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a tour of full endpoints."""
    caplog.set_level(logging.INFO)
    subject = _subject(FULL)
    response = _answer(subject)
    assert response.status == 503
    assert dict(response.headers)["snipelink-error"] == "overloaded"
    assert float(dict(response.headers)["retry-after"]) > 0.0
    assert subject.client.sent == []
    assert _service_refusals(subject) == {(test_attempts.SERVICE,): 1.0}
    assert "service has no room" in [record.message for record in caplog.records]


def test_call_is_sent_if_one_endpoint_has_room() -> None:
    subject = _subject(FULL)
    table = subject.attempts._load_table
    report = dataclasses.replace(table.loads_by_instance["i-3"]).report
    report.sequence, report.running, report.waiting = 3, 1, 0
    assert _answer(subject).status == 200
    assert [instance for _, instance in subject.client.sent] == ["i-3"]


def test_service_of_many_slots_is_not_refused_by_the_callers_node() -> None:
    subject = _subject(FULL, slots=FEW_SLOTS + 1)
    assert _answer(subject).status == 200


def test_node_that_has_just_started_sends_calls() -> None:
    """Guards against refusals by a node that has outdated or no reports."""
    age_s = (placement.FRESH_REPORT_S + placement.SILENT_NODE_S) / 2
    assert _answer(_subject(FULL, age_s=age_s)).status == 200


def test_silent_endpoints_are_reported_as_unavailable_and_not_as_full() -> None:
    """Guards against a wrong cause where all nodes of a service are cut off."""
    subject = _subject(FREE, age_s=placement.SILENT_NODE_S + 0.1)
    response = _answer(subject)
    assert dict(response.headers)["snipelink-error"] == "no-endpoint"
    assert _service_refusals(subject) == {}


def _refusing_endpoints() -> test_attempts.Script:
    async def run(call: calls.Call, instance: str) -> calls.Outcome:
        return calls.failed_outcome(errors.Kind.OVERLOADED, "full", 0.2)

    return run


def test_refused_call_is_tried_elsewhere_only_where_it_starts_in_time() -> None:
    subject = _subject({"running": FEW_SLOTS, "waiting": 5})
    now = clock.now()
    call = test_attempts._call(target_at=now + 0.1, work_s=WORK_S)
    assert subject.attempts.refuse_without_room(call, now) is None
    assert not subject.attempts.has_room_elsewhere(call, {"i-0"}, now)
    patient = test_attempts._call(target_at=now + 0.3, work_s=WORK_S)
    assert subject.attempts.has_room_elsewhere(patient, {"i-0"}, now)


def test_refused_call_is_tried_elsewhere_while_slots_are_free() -> None:
    """Guards against calls that are given up though only single endpoints are full."""
    subject = _subject(FREE, _refusing_endpoints())
    assert _answer(subject).status == 503
    assert len(subject.client.sent) == dispatch.MAX_REFUSED_ATTEMPTS
