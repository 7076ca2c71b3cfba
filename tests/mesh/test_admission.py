from __future__ import annotations

import asyncio
from unittest import mock

import pytest

from snipelink import clock
from snipelink.decide import work_correction
from snipelink.mesh import calls, internal_calls, published_state
from tests.mesh import fleet, test_node

NOW = 100.0


def _call(member: fleet.Member) -> calls.Call:
    return calls.Call(
        "c1",
        member.endpoint.service,
        "r/view/",
        "GET",
        "/view/1",
        [],
        b"",
        NOW,
        NOW + 0.5,
        NOW + 1.0,
        1,
        True,
        0.1,
        "archive",
    )


@pytest.mark.parametrize(
    ("published_slots", "reported_slots", "is_corrected"),
    [(3, 3, True), (3, 9, True), (9, 9, False), (9, 2, False), (0, 2, False)],
)
def test_expected_work_is_corrected_where_few_slots_are_published(
    published_slots: int, reported_slots: int, is_corrected: bool
) -> None:
    member = fleet.make_member("rota", fleet.FakeStore())
    instance = fleet.published_instance(member, slots=published_slots)
    published = published_state.PublishedState(1, None, (instance,))
    member.node._catalog.apply_snapshot(published, NOW)
    runner, call = member.node._runner, _call(member)
    runner.slots.set_capacity(reported_slots, NOW)
    for _ in range(work_correction.MIN_SAMPLES):
        runner._work_correction.record(call.work_s, call.work_s / 2)
    now = clock.now()
    assert (runner._demand(call, now).work_s < call.work_s) is is_corrected
    later = now + work_correction.LEARNING_S + 1.0
    assert runner._demand(call, later).work_s == call.work_s


def test_request_that_the_endpoint_refused_does_not_count_as_running() -> None:
    """Guards against callers of an idle node that are taken for its endpoint."""

    async def scenario() -> None:
        async with fleet.running("rota") as members:
            members[0].endpoint.script = test_node.refuse
            client = await fleet.Client.open(members[0])
            response = await client.call("c1")
            assert response.status == 503
            tracker = members[0].node._runner._internal_calls
            latest_end = clock.now() + internal_calls.RUN_GRACE_S
            assert tracker._may_run_until <= latest_end

    with mock.patch.object(internal_calls, "RESTART_GRACE_S", 0.0):
        asyncio.run(scenario())
