from __future__ import annotations

import asyncio
import logging
import random

import pytest

from snipelink import clock, errors
from snipelink.decide import (
    return_schedule,
    slowness_period,
    start_wait,
    work_estimation,
)
from snipelink.generated import mesh
from snipelink.mesh import (
    calls,
    catalog,
    load_reports,
    published_state,
    returns,
    settings,
)
from snipelink.observe import metrics
from snipelink.session import http
from tests.mesh import fleet
from tests.mesh.test_node import run

SERVICE = "rota"
FEW_SLOTS = settings.Balancing().few_slots
# Time for which the nodes of the tests miss their configuration or endpoints, seconds.
MISSING_S = 0.2
# Latency objective that leaves time for such a wait, seconds.
TARGET_S = 1.5


def _planner(
    *, slots: int, reports: bool
) -> tuple[returns.ReturnPlanner, metrics.Metrics]:
    now = clock.now()
    published = catalog.Catalog(2.0)
    instance = published_state.Instance(
        "i-0", SERVICE, "10.0.0.1", "a", False, slots=slots
    )
    published.apply_snapshot(published_state.PublishedState(1, None, (instance,)), now)
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    if reports:
        load = mesh.Load("i-0", 1, 1, 3, 2, 3, 100, 0, True, 1, 1, False)
        table.update(load, instance.host, now)
    recorded = metrics.Metrics()
    planner = returns.ReturnPlanner(
        fleet.make_settings(),
        published,
        table,
        work_estimation.WorkEstimates(),
        recorded,
        random.Random(1),
    )
    return planner, recorded


def _call(remaining_s: float) -> calls.Call:
    now = clock.now()
    return calls.Call(
        "c1",
        SERVICE,
        "view",
        "GET",
        "/view/1",
        [],
        b"",
        now,
        now + 0.2,
        now + remaining_s,
        2,
        True,
        0.05,
    )


def _refusal(retry_after_s: float = 0.1) -> calls.Outcome:
    return calls.failed_outcome(errors.Kind.OVERLOADED, "full", retry_after_s)


def _retry_after_s(outcome: calls.Outcome) -> float:
    assert outcome.failure is not None
    return outcome.failure.retry_after_s


def test_refused_callers_are_told_different_times_within_their_limit() -> None:
    planner, recorded = _planner(slots=FEW_SLOTS, reports=True)
    times = []
    for _ in range(50):
        call = _call(remaining_s=3.0)
        times.append(_retry_after_s(planner.plan(call, _refusal(), clock.now())))
        assert call.appointment is not None
    assert 0.1 <= min(times) < 0.3
    assert 0.9 < max(times) <= 3.0 * return_schedule.MAX_WAIT_RATIO
    text = recorded.exposition()
    assert f'snipelink_mesh_promised_returns{{service="{SERVICE}"}} 50' in text
    assert "snipelink_mesh_promised_returns_total" in text


@pytest.mark.parametrize(
    ("slots", "reports"),
    [(FEW_SLOTS, False), (FEW_SLOTS + 1, True), (0, True)],
    ids=["no reports", "many slots", "unpublished slots"],
)
def test_former_rule_holds_without_reports_or_few_slots(
    slots: int, reports: bool
) -> None:
    planner, _ = _planner(slots=slots, reports=reports)
    call, refusal = _call(3.0), _refusal()
    assert planner.plan(call, refusal, clock.now()) is refusal
    assert call.appointment is None


def test_failure_that_may_have_run_keeps_its_outcome() -> None:
    planner, _ = _planner(slots=FEW_SLOTS, reports=True)
    lost = calls.failed_outcome(errors.Kind.CONNECTION_LOST, "reset", reached=True)
    assert planner.plan(_call(3.0), lost, clock.now()) is lost


class _SlowStore(fleet.FakeStore):
    """Store whose first answer takes `MISSING_S`."""

    async def read(self, *, fresh: bool) -> published_state.PublishedState:
        await asyncio.sleep(MISSING_S)
        return await super().read(fresh=fresh)


@run
async def test_call_to_a_starting_node_waits_for_the_configuration() -> None:
    """Guards against refusing the callers of a loss of power, who retry once."""
    member = fleet.make_member(SERVICE, _SlowStore())
    instance = fleet.published_instance(member, slots=FEW_SLOTS)
    patient = fleet.route(SERVICE, target_s=TARGET_S, timeout_s=2.0)
    member.store.publish(fleet.configuration(patient), (instance,))
    await member.start()
    try:
        await asyncio.sleep(0.05)
        client = await fleet.Client.open(member)
        response = await client.call("c1")
        assert response.status == 200
    finally:
        await member.end()


async def _refusal_status(*, leaves_before: bool) -> int:
    """Return the answer of a node that stops without a configuration."""
    dispatcher = fleet.make_member(SERVICE, _SlowStore()).node._dispatcher
    if leaves_before:
        dispatcher.stops_at = clock.now() + 5.0
    request = http.Request("GET", "/view/1", [(fleet.NAMES.call_id, "c1")])
    answering = asyncio.ensure_future(dispatcher.answer(request, clock.now()))
    await asyncio.sleep(0.0)
    if not leaves_before:
        dispatcher.stop()
    response = await asyncio.wait_for(answering, 5.0)
    return response.status


@pytest.mark.parametrize("leaves_before", [True, False])
def test_no_call_waits_for_the_configuration_of_a_node_that_stops(
    monkeypatch: pytest.MonkeyPatch, *, leaves_before: bool
) -> None:
    """Guards against connections that a shutdown closes without an answer."""
    monkeypatch.setattr(start_wait, "for_configuration_s", lambda remaining_s: 60.0)
    assert asyncio.run(_refusal_status(leaves_before=leaves_before)) == 503


@run
async def test_call_waits_for_the_first_endpoint_only_while_it_can_be_in_time() -> None:
    """Restarts a node whose endpoint starts after it."""
    member = fleet.make_member(SERVICE, fleet.FakeStore())
    instance = fleet.published_instance(member, slots=FEW_SLOTS)
    routes = (
        fleet.route(SERVICE, target_s=TARGET_S, timeout_s=2.0),
        fleet.route(SERVICE, "/soon/", target_s=0.05, timeout_s=1.0),
    )
    member.store.publish(fleet.configuration(*routes), (instance,))
    await member.start()
    member.endpoint.stop()
    try:
        await fleet.wait_until(lambda: member.node.is_ready)
        client = await fleet.Client.open(member)
        impatient = await client.call("c1", path="/soon/1")
        assert impatient.status == 503
        client.send("c2")
        await asyncio.sleep(MISSING_S)
        await member.endpoint.start()
        response = await client.receive()
        assert response is not None
        assert response.status == 200
    finally:
        await member.end()


@pytest.mark.parametrize("slots", [0, FEW_SLOTS + 1])
def test_call_of_a_service_with_many_slots_waits_for_no_endpoint(
    monkeypatch: pytest.MonkeyPatch, slots: int
) -> None:
    monkeypatch.setattr(start_wait, "may_wait_for_endpoint", lambda *_: True)
    node = fleet.make_member(SERVICE, fleet.FakeStore()).node
    instance = published_state.Instance("i-1", SERVICE, "h", "a", False, slots=slots)
    published = published_state.PublishedState(
        1, fleet.configuration(fleet.route(SERVICE)), (instance,)
    )
    node._catalog.apply_snapshot(published, clock.now())
    request = http.Request(
        "GET",
        "/view/1",
        [(fleet.NAMES.call_id, "c1")],
        host="example",
        path="/view/1",
        raw_target="/view/1",
    )

    async def scenario() -> http.Response:
        answer = node._dispatcher.answer(request, clock.now())
        return await asyncio.wait_for(answer, 5.0)

    assert asyncio.run(scenario()).status == 503


def test_refused_call_logs_its_return(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    refused = asyncio.run(_refused_answers())
    assert refused
    limit_s = 2.0 * return_schedule.MAX_WAIT_RATIO
    assert all(0.0 < float(each["retry-after"]) <= limit_s for each in refused)
    answered = [r for r in caplog.records if r.message == "call is answered"]
    fields = [r.__dict__["fields"] for r in answered]
    booked = [each for each in fields if "returns_at" in each and "booked" in each]
    assert len(booked) == len(refused)


async def _refused_answers() -> list[dict[str, str]]:
    """Return the headers of the refusals of a burst at an endpoint with one slot."""
    async with fleet.running(SERVICE) as members:
        member = members[0]
        member.endpoint.work_s, member.endpoint.slots = 0.4, 1
        few = fleet.published_instance(member, slots=FEW_SLOTS)
        member.store.publish(instances=(few,))
        await fleet.wait_until(lambda: fleet.all_up_to_date(members))
        clients = [await fleet.Client.open(member) for _ in range(8)]
        responses = await asyncio.gather(
            *(client.call(f"c{i}") for i, client in enumerate(clients))
        )
    return [dict(r.headers) for r in responses if r.status == 503]
