from __future__ import annotations

import asyncio
import dataclasses
import itertools
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from snipelink import clock
from snipelink.decide import internal_operations, placement
from snipelink.mesh import (
    catalog,
    channel,
    domain_summaries,
    frames,
    messages,
    node,
    published_state,
    retry_budgets,
    watcher,
)
from snipelink.session import http
from tests.mesh import fleet

NON_IDEMPOTENT = {"idempotent": False, "prefix": "/claim/"}


def run(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run an async test function in a new event loop."""

    def wrapped() -> None:
        asyncio.run(test())

    wrapped.__name__ = test.__name__
    wrapped.__doc__ = test.__doc__
    return wrapped


async def reset(
    endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
) -> None:
    stream.abort()


async def refuse(
    endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
) -> None:
    fields = {fleet.NAMES.not_run: "1", fleet.NAMES.stamp: ""}
    stream.write(endpoint.response(request, 503, b"", **fields))


async def hang(
    endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
) -> None:
    await asyncio.sleep(30)


def arrivals(members: list[fleet.Member], call_id: str) -> int:
    return sum(
        seen.request.header(fleet.NAMES.call_id) == call_id
        for member in members
        for seen in member.endpoint.received
    )


async def both_routes(
    *services: str, **changes: Any
) -> tuple[published_state.Route, published_state.Route]:
    view = fleet.route(services[0], **changes)
    return view, fleet.route(services[0], **(NON_IDEMPOTENT | changes))


@run
async def test_endpoint_answer_is_forwarded_unchanged() -> None:
    async with fleet.running("rota", "rota") as members:
        client = await fleet.Client.open(members[0])
        response = await client.call("c1", path="/view/a?x=%41", extra="kept")
        assert (response.status, response.body) == (200, b"body")
        seen = next(s for m in members for s in m.endpoint.received)
        assert seen.request.raw_target == "/view/a?x=%41"
        assert seen.request.header("extra") == "kept"
        names = fleet.NAMES
        assert seen.request.header(names.expected_instance) == seen.instance
        assert 0 < int(seen.request.header(names.remaining_ms)) <= 1000
        fields = dict(response.headers)
        assert fields[names.stamp] == f"stamp-{seen.instance}"
        assert fields[names.call_id] == "c1"


@run
async def test_caller_service_header_is_set_to_the_service_of_the_machine() -> None:
    async with fleet.running("rota", "archive") as members:
        client = await fleet.Client.open(members[1])
        await client.call("c1", **{fleet.NAMES.caller_service: "forged"})
        seen = members[0].endpoint.received[0]
        header = fleet.NAMES.caller_service
        values = [v for name, v in seen.request.headers if name == header]
        assert values == ["archive"]


@run
async def test_unknown_route_is_answered_with_404() -> None:
    async with fleet.running("rota") as members:
        client = await fleet.Client.open(members[0])
        assert (await client.call("c1", path="/other/")).status == 404


@run
async def test_call_of_an_unreadable_route_is_refused_with_the_reason() -> None:
    routes = await both_routes("rota", problem="timeout_s is text")
    routes = (dataclasses.replace(routes[0], problem=""), routes[1])
    async with fleet.running("rota", routes=routes) as members:
        client = await fleet.Client.open(members[0])
        assert (await client.call("c1")).status == 200
        response = await client.call("c2", path="/claim/1", method="POST", body=b"x")
        assert response.status == 503
        assert b"timeout_s is text" in response.body
        assert arrivals(members, "c2") == 0


@run
async def test_node_without_configuration_answers_503() -> None:
    member = fleet.make_member("rota", fleet.FakeStore())
    await member.start()
    try:
        await asyncio.sleep(0.05)
        client = await fleet.Client.open(member)
        response = await client.call("c1")
        assert response.status == 503
        assert "retry-after" in dict(response.headers)
    finally:
        await member.end()


@run
async def test_closed_caller_connection_cancels_the_work_across_two_nodes() -> None:
    async with fleet.running("rota", "archive") as members:
        endpoint = members[0].endpoint
        endpoint.script = hang
        for member in members:
            client = await fleet.Client.open(member)
            client.send("c1")
            await fleet.wait_until(lambda: endpoint.running == 1)
            client.stream.abort()
            await fleet.wait_until(lambda: endpoint.running == 0, 0.5)
        assert endpoint.cancelled_count == 2


@run
async def test_idempotent_call_is_retried_on_another_endpoint_after_a_reset() -> None:
    async with fleet.running("rota", "rota") as members:
        members[0].endpoint.script = reset
        for index in range(10):
            client = await fleet.Client.open(members[1])
            assert (await client.call(f"c{index}")).status == 200


@run
async def test_node_retries_within_its_share_of_the_allowance() -> None:
    """Guards against a node that spends the whole retry allowance of the fleet."""
    async with fleet.running("rota", "rota") as members:
        for member in members:
            member.endpoint.script = reset
        client = await fleet.Client.open(members[0])
        for index in range(20):
            assert (await client.call(f"c{index}")).status == 502
        # Two nodes share the allowance, and the reserve allows one more attempt.
        node_allowance = (
            fleet.BOUNDS.retry_allowance * retry_budgets.ALLOWANCE_SHARE / 2
        )
        arrival_count = sum(arrivals(members, f"c{index}") for index in range(20))
        assert arrival_count == 20 + int(node_allowance) + 1


@run
async def test_non_idempotent_call_is_not_retried_after_a_reset() -> None:
    routes = await both_routes("rota")
    async with fleet.running("rota", "rota", routes=routes) as members:
        for member in members:
            member.endpoint.script = reset
        client = await fleet.Client.open(members[1])
        response = await client.call("c1", path="/claim/1", method="POST", body=b"x")
        assert response.status == 502
        assert arrivals(members, "c1") == 1


@run
async def test_call_that_the_endpoint_did_not_run_is_retried_elsewhere() -> None:
    routes = await both_routes("rota")
    async with fleet.running("rota", "rota", routes=routes) as members:
        members[0].endpoint.script = refuse
        for index in range(10):
            client = await fleet.Client.open(members[1])
            response = await client.call(
                f"c{index}", path="/claim/1", method="POST", body=b"x"
            )
            assert response.status == 200


@run
async def test_refusal_after_a_possible_run_is_not_reported_as_not_run() -> None:
    """Guards against reporting a call as not run if its first attempt was reset.

    The first attempt may have run although the retry was refused.
    """
    async with fleet.running("rota", "rota") as members:
        outcomes = set()
        for index in range(12):
            members[0].endpoint.script = reset
            members[1].endpoint.script = refuse
            client = await fleet.Client.open(members[1])
            response = await client.call(f"c{index}")
            if any(
                seen.request.header(fleet.NAMES.call_id) == f"c{index}"
                for seen in members[0].endpoint.received
            ):
                outcomes.add(response.status)
        assert outcomes <= {502}
        assert outcomes


def test_programming_error_is_answered_with_500(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_: object, **__: object) -> None:
        raise RuntimeError("planted")

    async def check() -> None:
        async with fleet.running("rota") as members:
            client = await fleet.Client.open(members[0])
            monkeypatch.setattr(placement, "choose", fail)
            assert (await client.call("c1")).status == 500
            monkeypatch.undo()
            assert (await client.call("c2")).status == 200

    asyncio.run(check())


@run
async def test_duplicate_poll_answer_is_not_taken_for_a_call_answer() -> None:
    routes = await both_routes("rota")
    async with fleet.running("rota", routes=routes) as members:
        members[0].endpoint.sends_late_poll_answer = True
        for index in range(10):
            client = await fleet.Client.open(members[0])
            response = await client.call(
                f"c{index}", path="/claim/1", method="POST", body=b"x"
            )
            assert response.status == 200
            await asyncio.sleep(0.05)


@run
async def test_background_task_restarts_after_an_exception() -> None:
    async with fleet.running("rota", "rota") as members:
        node_under_test = members[0].node
        follow, failure_count = node_under_test._load_exchange.follow, 0

        def fail_twice(*arguments: Any) -> None:
            nonlocal failure_count
            failure_count += 1
            if failure_count <= 2:
                raise RuntimeError("planted")
            follow(*arguments)

        node_under_test._load_exchange.follow = fail_twice  # type: ignore[method-assign]
        await fleet.wait_until(lambda: failure_count > 2)
        client = await fleet.Client.open(members[0])
        assert (await client.call("c1")).status == 200


@run
async def test_background_task_restarts_after_a_cancellation_from_inside() -> None:
    """Guards against a background task that ends for good after a CancelledError.

    The node then continued without load reports, polls or reads of the store.
    """
    async with fleet.running("rota", "rota") as members:
        node_under_test = members[0].node
        follow, calls = node_under_test._load_exchange.follow, 0

        def cancel_once(*arguments: Any) -> None:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise asyncio.CancelledError
            follow(*arguments)

        node_under_test._load_exchange.follow = cancel_once  # type: ignore[method-assign]
        await fleet.wait_until(lambda: calls > 1, 2.0)


@run
async def test_late_answer_to_another_request_is_not_delivered() -> None:
    async def answer_twice(
        endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
    ) -> None:
        stream.write(endpoint.response(request))
        await asyncio.sleep(0.02)
        stream.write(endpoint.response(request, body=b"extra"))

    async with fleet.running("rota") as members:
        members[0].endpoint.script = answer_twice
        client = await fleet.Client.open(members[0])
        for index in range(8):
            response = await client.call(f"c{index}")
            fields = dict(response.headers)
            assert fields[fleet.NAMES.call_id] == f"c{index}"
            assert response.body == b"body"
            await asyncio.sleep(0.005 * index)


@run
async def test_answer_to_another_request_is_skipped() -> None:
    async def answer_other_first(
        endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
    ) -> None:
        other = endpoint.response(request, **{fleet.NAMES.call_id: "other"})
        stream.write(other + endpoint.response(request, body=b"right"))

    async with fleet.running("rota") as members:
        members[0].endpoint.script = answer_other_first
        client = await fleet.Client.open(members[0])
        assert (await client.call("c1")).body == b"right"


@pytest.mark.parametrize(
    "changes",
    [{fleet.NAMES.stamp: ""}, {"content-encoding": "gzip"}],
    ids=["no stamp", "encoded"],
)
def test_unstamped_or_encoded_success_is_answered_with_502(
    changes: dict[str, str],
) -> None:
    async def answer_changed(
        endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
    ) -> None:
        stream.write(endpoint.response(request, **changes))

    async def check() -> None:
        async with fleet.running("rota") as members:
            members[0].endpoint.script = answer_changed
            client = await fleet.Client.open(members[0])
            assert (await client.call("c1")).status == 502

    asyncio.run(check())


@run
async def test_truncated_answer_is_answered_with_502() -> None:
    async def break_off(
        endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
    ) -> None:
        stream.write(endpoint.response(request)[:-2])
        stream.close()

    async with fleet.running("rota") as members:
        members[0].endpoint.script = break_off
        client = await fleet.Client.open(members[0])
        assert (await client.call("c1")).status == 502


@run
async def test_pipelined_requests_run_together_and_are_answered_in_order() -> None:
    async with fleet.running("rota") as members:
        members[0].endpoint.work_s = 0.1
        client = await fleet.Client.open(members[0])
        started = clock.now()
        for index in range(4):
            client.send(f"c{index}")
        for index in range(4):
            response = await client.receive()
            assert response is not None
            assert dict(response.headers)[fleet.NAMES.call_id] == f"c{index}"
        assert clock.now() - started < 0.3


@run
async def test_pipelined_non_idempotent_request_waits_for_earlier_answers() -> None:
    routes = await both_routes("rota")
    async with fleet.running("rota", routes=routes) as members:
        members[0].endpoint.work_s = 0.1
        client = await fleet.Client.open(members[0])
        client.send("c0")
        client.send("c1", path="/claim/1", method="POST", body=b"x")
        await asyncio.sleep(0.05)
        assert arrivals(members, "c1") == 0
        assert await client.receive() is not None
        assert await client.receive() is not None
        assert arrivals(members, "c1") == 1


@run
async def test_call_that_cannot_meet_its_deadline_is_shed_immediately() -> None:
    routes = (fleet.route("rota", timeout_s=0.4, target_s=0.2),)
    async with fleet.running("rota", routes=routes) as members:
        endpoint = members[0].endpoint
        endpoint.work_s = 0.2
        warm = await fleet.Client.open(members[0])
        for index in range(3):
            await warm.call(f"w{index}")
        clients = [await fleet.Client.open(members[0]) for _ in range(40)]
        started = clock.now()
        for index, client in enumerate(clients):
            client.send(f"c{index}")

        async def receive(client: fleet.Client) -> tuple[http.Response, float]:
            response = await client.receive()
            assert response is not None
            return response, clock.now() - started

        answers = await asyncio.gather(*(receive(client) for client in clients))
        refused = [
            (index, response, took_s)
            for index, (response, took_s) in enumerate(answers)
            if response.status == 503
        ]
        assert len(refused) > 20
        for index, response, took_s in refused:
            assert arrivals(members, f"c{index}") == 0
            assert float(dict(response.headers)["retry-after"]) > 0.0
            assert took_s < 0.15
        assert sum(response.status == 200 for response, _ in answers) >= 4


@run
async def test_call_on_an_endpoint_that_turned_slow_is_hedged() -> None:
    routes = (fleet.route("rota", timeout_s=5.0, target_s=0.5),)
    async with fleet.running("rota", "rota", routes=routes) as members:
        for index in range(6):
            warm = await fleet.Client.open(members[0])
            await warm.call(f"w{index}")
        slow, quick = members
        slow.endpoint.work_s = 3.0
        # The other endpoint reports that it is slow, so that the call is first sent to
        # the endpoint on the caller's machine.
        quick.endpoint.slowness = 1000
        await asyncio.sleep(0.2)
        client = await fleet.Client.open(slow)
        client.send("c1")
        await fleet.wait_until(lambda: slow.endpoint.running == 1)
        slow.endpoint.slowness, quick.endpoint.slowness = 1500, 100
        started = clock.now()
        response = await client.receive()
        assert response is not None
        assert response.status == 200
        assert clock.now() - started < 1.0
        await fleet.wait_until(lambda: slow.endpoint.cancelled_count == 1, 0.5)


@run
async def test_call_without_an_answer_ends_at_the_route_timeout() -> None:
    routes = (fleet.route("rota", timeout_s=0.3),)
    async with fleet.running("rota", "archive", routes=routes) as members:
        members[0].endpoint.script = hang
        for index, member in enumerate(members):
            client = await fleet.Client.open(member)
            started = clock.now()
            response = await client.call(f"c{index}")
            assert response.status == 504
            assert 0.2 < clock.now() - started < 0.5


@run
async def test_stop_completes_running_calls_and_sends_new_ones_elsewhere() -> None:
    async with fleet.running("rota", "rota") as members:
        leaving, staying = members
        leaving.endpoint.work_s = staying.endpoint.work_s = 0.5
        clients = [await fleet.Client.open(leaving) for _ in range(6)]
        for index, client in enumerate(clients):
            client.send(f"c{index}")
        await asyncio.sleep(0.05)
        leaving.stop.set()
        await asyncio.sleep(0.1)
        ready = await channel.connect((leaving.host, fleet.READY_PORT), 1.0)
        ready.write(b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n")
        assert b" 503 " in await ready.receive()
        # The endpoint still accepts short calls until its drain time has passed.
        await asyncio.sleep(node.ENDPOINT_DRAIN_S)
        before = len(leaving.endpoint.received)
        late = await fleet.Client.open(leaving)
        late.send("late")
        for client in [*clients, late]:
            response = await client.receive()
            assert response is not None
            assert response.status == 200
            assert dict(response.headers)["connection"] == "close"
        assert len(leaving.endpoint.received) == before
        assert leaving.task is not None
        async with asyncio.timeout(fleet.BOUNDS.grace_s):
            assert await leaving.task == 0


def test_stop_waits_for_answers_that_are_still_being_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against answers that are truncated when the process exits.

    Bytes that the process had not yet passed to the kernel were lost.
    """
    monkeypatch.setattr(fleet, "BOUNDS", dataclasses.replace(fleet.BOUNDS, grace_s=6.0))
    body = b"x" * (15 << 20)

    async def answer_long(
        endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
    ) -> None:
        stream.write(endpoint.response(request, body=body))
        await stream.drain()

    async def check() -> None:
        async with fleet.running("rota", "rota") as members:
            leaving = members[0]
            for member in members:
                member.endpoint.script = answer_long
            client = await fleet.Client.open(leaving)
            client.send("c1")
            await fleet.wait_until(lambda: arrivals(members, "c1") == 1)
            leaving.stop.set()
            # The caller reads late, as over a busy link.
            await asyncio.sleep(node.MIN_SHUTDOWN_S + 0.5)
            assert leaving.task is not None
            assert not leaving.task.done()
            response = await client.receive()
            assert response is not None
            assert response.body == body
            assert await leaving.task == 0

    asyncio.run(check())


@run
async def test_stopping_node_refuses_calls_that_may_outlast_it() -> None:
    """Guards against accepting calls that the end of the grace period cuts off."""
    routes = (fleet.route("rota", timeout_s=2.0),)
    async with fleet.running("rota", "rota", routes=routes) as members:
        members[0].stop.set()
        await asyncio.sleep(1.0)
        client = await fleet.Client.open(members[0])
        response = await client.call("c1")
        assert response.status == 503
        assert "retry-after" in dict(response.headers)
        assert arrivals(members, "c1") == 0


@run
async def test_stop_answers_calls_that_still_wait_for_an_endpoint() -> None:
    """Guards against closing a waiting call's connection without an answer.

    No endpoint had run the call, so it could have been refused as not run.
    """
    routes = (fleet.route("rota", timeout_s=12.0, target_s=10.0),)
    async with fleet.running("rota", "archive", routes=routes) as members:
        serving, leaving = members
        fields = {fleet.NAMES.remaining_ms: "12000"}
        # From these calls the node estimates the work of a call.
        client = await fleet.Client.open(leaving)
        for index in range(20):
            assert (await client.call(f"w{index}", **fields)).status == 200
        serving.endpoint.script = hang
        serving.endpoint.slots = 1
        slots = serving.node._runner.slots
        await fleet.wait_until(lambda: slots.limit == 1)
        clients = [await fleet.Client.open(leaving) for _ in range(2)]
        for index, client in enumerate(clients):
            client.send(f"c{index}", **fields)
            await fleet.wait_until(lambda: arrivals(members, "c0") == 1)
        await fleet.wait_until(lambda: slots.waiting_count == 1)
        leaving.stop.set()
        response = await clients[1].receive()
        assert arrivals(members, "c1") == 0
        assert response is not None, "the connection ended without an answer"


def test_stop_reports_whether_each_call_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a 503 for a running call and no answer to a waiting one."""
    # With a long drain time, calls still wait for the local endpoint at the end of the
    # shutdown.
    monkeypatch.setattr(node, "ENDPOINT_DRAIN_S", 60.0)

    async def check() -> None:
        times = {"timeout_s": 12.0, "target_s": 10.0}
        routes = await both_routes("rota", **times)
        async with fleet.running("rota", routes=routes) as members:
            member = members[0]
            fields = {fleet.NAMES.remaining_ms: "12000"}
            clients = [await fleet.Client.open(member) for _ in range(2)]
            for index in range(20):
                assert (await clients[0].call(f"w{index}", **fields)).status == 200
            member.endpoint.script = hang
            member.endpoint.slots = 1
            slots = member.node._runner.slots
            await fleet.wait_until(lambda: slots.limit == 1)
            clients[0].send("runs", "/claim/1", "POST", b"x", **fields)
            await fleet.wait_until(lambda: arrivals(members, "runs") == 1)
            clients[1].send("waits", **fields)
            stream = await channel.connect((member.host, fleet.PEER_PORT), 1.0)
            stream.write(fleet.call_frame(member, "waits-too", remaining_ms=12000))
            await fleet.wait_until(lambda: slots.waiting_count == 2)
            stopped_at = clock.now()
            member.stop.set()
            answered = []
            for client in clients:
                response = await client.receive()
                assert response is not None, "the connection ended without an answer"
                headers = dict(response.headers)
                answered.append((response.status, headers["snipelink-ran"]))
            assert answered == [(502, "unknown"), (503, "not-run")]
            received = await frames.FrameChannel(stream).receive()
            assert received is not None
            assert received[0] is frames.Kind.REPLY
            assert messages.decode_reply(received[1]).failure == "leaving"
            assert len(member.endpoint.received) == 21
            assert member.task is not None
            await member.task
            assert clock.now() - stopped_at < fleet.BOUNDS.grace_s

    asyncio.run(check())


@run
async def test_leaving_endpoint_gets_no_calls_while_there_is_another() -> None:
    async with fleet.running("rota", "rota") as members:
        leaving, staying = members
        instances = (
            fleet.published_instance(leaving, leaving=True),
            fleet.published_instance(staying),
        )
        fleet.publish(members, instances=instances)
        await fleet.wait_until(lambda: fleet.all_up_to_date(members), 1.0)
        for index in range(10):
            client = await fleet.Client.open(leaving)
            assert (await client.call(f"c{index}")).status == 200
        assert not leaving.endpoint.received


@run
async def test_only_endpoint_stays_usable_shortly_after_its_entry_lapsed() -> None:
    async with fleet.running("rota") as members:
        members[0].store.publish(instances=())
        await asyncio.sleep(0.1)
        client = await fleet.Client.open(members[0])
        assert (await client.call("c1")).status == 200
        await asyncio.sleep(1.5)
        assert (await client.call("c2")).status == 503


@pytest.mark.parametrize("is_removed", [False, True])
def test_node_without_the_store_does_not_prolong_departures_at_others(
    *, is_removed: bool
) -> None:
    """Guards against calls to endpoints after the drain time of their departure.

    One node could not reach the store, and the others took that for an outage of the
    store, after which entries of running endpoints come back.
    """
    asyncio.run(_leave_while_a_node_is_cut_off(is_removed=is_removed))


async def _leave_while_a_node_is_cut_off(*, is_removed: bool) -> None:
    async with fleet.running("rota", "archive", "archive") as members:
        leaving, other, cut = members
        cut.store.cut()
        await asyncio.sleep(watcher.STORE_OUTAGE_S + 1.0)
        instances = tuple(
            fleet.published_instance(each, leaving=each is leaving)
            for each in members
            if not (is_removed and each is leaving)
        )
        fleet.publish([leaving, other], instances=instances)
        await fleet.wait_until(lambda: fleet.all_up_to_date([leaving, other]), 1.0)
        client = await fleet.Client.open(other)
        assert (await client.call("c1")).status == 200
        await asyncio.sleep(1.5)
        assert (await client.call("c2")).status == 503


@run
async def test_removed_endpoint_stays_usable_longer_after_an_outage_for_all() -> None:
    """Guards against refused calls to a running endpoint whose entry has lapsed.

    It is published again within about two seconds of the return of the store.
    """
    async with fleet.running("rota", "archive", "archive") as members:
        lapsed, other, _ = members
        published = other.store.state.instances
        for each in members:
            each.store.cut()
        await asyncio.sleep(watcher.STORE_OUTAGE_S + 1.0)
        for each in members:
            each.store.is_unavailable = False
        left = tuple(each for each in published if each.id != lapsed.endpoint.instance)
        fleet.publish(members, instances=left)
        await fleet.wait_until(lambda: fleet.all_up_to_date([other]), 2.0)
        client = await fleet.Client.open(other)
        # Longer than without an outage.
        await asyncio.sleep(fleet.BOUNDS.drain_s * catalog.LAST_RESORT_RATIO + 0.1)
        assert (await client.call("c1")).status == 200
        fleet.publish(members, instances=published)
        await asyncio.sleep(1.0)
        assert (await client.call("c2")).status == 200


@run
async def test_node_without_the_store_syncs_from_other_nodes() -> None:
    async with fleet.running("rota", "rota") as members:
        cut, other = members
        cut.store.is_unavailable = True
        new = fleet.configuration(fleet.route("rota", "/new/"), version=2)
        other.store.publish(new)
        await asyncio.sleep(1.0)
        client = await fleet.Client.open(cut)
        assert (await client.call("c1", path="/new/1")).status == 200
        assert (await client.call("c2", path="/view/1")).status == 404


@run
async def test_silent_node_is_not_asked_for_a_change_that_another_has() -> None:
    """Guards against an old configuration at all nodes of a failure domain.

    The only near node that reported a newer revision has stopped since; it was asked
    again and again, and never the far one that reports the same.
    """
    async with fleet.running("rota", "rota", "rota") as members:
        asking, silent, far = members
        instances = tuple(
            fleet.published_instance(each, failure_domain="b" if each is far else "a")
            for each in members
        )
        fleet.publish(members, None, instances)
        await fleet.wait_until(lambda: fleet.all_up_to_date(members))
        await silent.end()
        await fleet.wait_until(
            lambda: silent.host in asking.node._loads.silent_hosts, 5.0
        )
        for member in (silent, far):
            asking.node._loads.loads_by_host[member.host].report.revision = 1000
        for _ in range(20):
            newest = asking.node._newest_state()
            assert (newest.position.revision, newest.host) == (1000, far.host)


@run
async def test_version_that_only_a_far_sender_knows_is_asked_for() -> None:
    """Guards against an older version in force after a restore of the store.

    The sender of the other domain is behind in revisions.
    """
    async with fleet.running("rota", "rota") as members:
        asking = members[0]
        await fleet.wait_until(lambda: fleet.all_up_to_date(members))
        position = asking.node.position
        far = watcher.ReportedState(
            "127.9.9.9",
            position._replace(revision=position.revision - 1),
            asking.node._catalog.configuration_version + 1,
        )
        asking.node._summaries._reported_by_host[far.host] = (
            domain_summaries._ReceivedState(far, clock.now())
        )
        assert asking.node._newest_state() == far


@run
async def test_older_configuration_is_not_applied() -> None:
    async with fleet.running("rota") as members:
        store = members[0].store
        store.publish(fleet.configuration(fleet.route("rota", "/new/"), version=12))
        await asyncio.sleep(0.5)
        store.publish(fleet.configuration(fleet.route("rota", "/old/"), version=9))
        await asyncio.sleep(0.5)
        client = await fleet.Client.open(members[0])
        assert (await client.call("c1", path="/new/1")).status == 200


@run
async def test_restarted_endpoint_gets_no_calls_meant_for_its_former_process() -> None:
    async with fleet.running("rota", "rota") as members:
        members[0].endpoint.instance = "i-new"
        await asyncio.sleep(0.2)
        for index in range(6):
            client = await fleet.Client.open(members[1])
            assert (await client.call(f"c{index}")).status == 200
        assert not members[0].endpoint.received


@run
async def test_request_with_two_call_id_headers_is_refused() -> None:
    async with fleet.running("rota") as members:
        client = await fleet.Client.open(members[0])
        name = fleet.NAMES.call_id.title()
        client.send("c1", **{name: "c2"})
        response = await client.receive()
        assert response is not None
        assert response.status == 400
        assert not members[0].endpoint.received


@run
async def test_node_serves_calls_though_its_metrics_port_is_taken() -> None:
    member = fleet.make_member("rota", fleet.FakeStore())
    address = (member.host, fleet.METRICS_PORT)
    other = await channel.listen(address, lambda _: asyncio.sleep(0), 1)
    fleet.publish(
        [member],
        fleet.configuration(fleet.route("rota")),
        (fleet.published_instance(member),),
    )
    await member.start()
    try:
        await fleet.wait_until(lambda: member.node.is_ready)
        await fleet.wait_until(lambda: bool(member.node.accepting_by_instance()))
        client = await fleet.Client.open(member)
        assert (await client.call("c-1")).status == 200
    finally:
        await member.end()
        other.close()


@run
async def test_resting_node_gets_a_change_from_a_watching_one() -> None:
    async with fleet.running("rota", "rota", "rota") as members:
        resting = members[1]
        resting.store.is_unavailable = True
        new = fleet.configuration(fleet.route("rota", "/new/"), version=2)
        members[0].store.publish(new)
        client = await fleet.Client.open(resting)
        started = clock.now()
        while (await client.call("c-1", path="/new/1")).status == 404:
            await asyncio.sleep(0.02)
        assert clock.now() - started < 1.0


def test_retry_gets_no_time_that_passed_during_a_suspension(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a retry that runs past the caller's deadline.

    While the machine is suspended, the deadline comes closer. The remaining time sent
    with the retry must not include the time of the suspension.
    """
    read = time.clock_gettime
    suspended_s = 1.5

    async def reset_after_suspension(
        endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
    ) -> None:
        monkeypatch.setattr(
            time, "clock_gettime", lambda name: read(name) + suspended_s
        )
        # Load reports are stale after a suspension, so wait for the next ones.
        await asyncio.sleep(0.6)
        stream.abort()

    async def check() -> None:
        routes = (fleet.route("rota", timeout_s=10.0, target_s=5.0),)
        async with fleet.running("rota", "rota", routes=routes) as members:
            for member in members:
                member.endpoint.script = reset_after_suspension
            client = await fleet.Client.open(members[0])
            client.send("c1", **{fleet.NAMES.remaining_ms: "5000"})
            await fleet.wait_until(lambda: arrivals(members, "c1") == 1)
            await fleet.wait_until(lambda: arrivals(members, "c1") == 2)
            remaining_ms = [
                int(seen.request.header(fleet.NAMES.remaining_ms))
                for member in members
                for seen in member.endpoint.received
            ]
            assert min(remaining_ms) <= 5000 - 1000 * suspended_s

    asyncio.run(check())


COLD_PER_S = 5.0
COLD_MAX_PER_S = COLD_PER_S * fleet.BOUNDS.cold_over + fleet.BOUNDS.cold_slack


def max_in_one_second(endpoint: fleet.FakeEndpoint, since: float) -> int:
    times = [seen.at for seen in endpoint.received if seen.at >= since]
    return max((sum(a <= t < a + 1.0 for t in times) for a in times), default=0)


async def send_at_rate(
    member: fleet.Member, name: str, per_s: float, for_s: float
) -> int:
    """Send calls at an even rate; return how many were answered with 200."""

    async def ask(call_id: str) -> bool:
        client = await fleet.Client.open(member)
        try:
            return (await client.call(call_id)).status == 200
        finally:
            client.stream.close()

    tasks = []
    for index in range(int(per_s * for_s)):
        tasks.append(asyncio.ensure_future(ask(f"{name}-{index}")))
        await asyncio.sleep(1.0 / per_s)
    return sum(await asyncio.gather(*tasks))


@run
async def test_cold_endpoint_gets_no_more_calls_than_it_tolerates() -> None:
    """Guards against sending a cold endpoint the load of a warm one: it crashes."""
    services = ("rota", "archive", "archive")
    async with fleet.running(*services, cold_per_s=COLD_PER_S) as members:
        cold = members[0].endpoint
        cold.cold_ms = 3000
        await asyncio.sleep(0.6)
        began = clock.now()
        served = await asyncio.gather(
            *(send_at_rate(m, m.host, per_s=15.0, for_s=2.0) for m in members)
        )
        assert max_in_one_second(cold, began) <= COLD_MAX_PER_S
        assert sum(served) >= 1.5 * COLD_PER_S


@run
async def test_endpoint_that_turns_cold_under_load_is_not_overloaded() -> None:
    """Guards against overload of an endpoint that turns cold between two polls."""
    services = ("rota", "archive")
    async with fleet.running(*services, cold_per_s=COLD_PER_S) as members:
        cold = members[0].endpoint
        cold.slots = 9
        tasks = [
            asyncio.ensure_future(send_at_rate(m, m.host, per_s=40.0, for_s=2.5))
            for m in members
        ]
        await asyncio.sleep(1.0)
        began = clock.now()
        cold.cold_ms = 3000
        await asyncio.gather(*tasks)
        assert len(cold.received) > 60
        assert max_in_one_second(cold, began) <= COLD_MAX_PER_S


@run
async def test_calls_go_to_the_warm_endpoints_while_one_is_cold() -> None:
    services = ("rota", "rota", "rota")
    async with fleet.running(*services, cold_per_s=COLD_PER_S) as members:
        members[0].endpoint.cold_ms = 3000
        await asyncio.sleep(0.6)
        began = clock.now()
        served = await send_at_rate(members[1], "c", per_s=40.0, for_s=2.0)
        assert served == 80
        assert max_in_one_second(members[0].endpoint, began) <= COLD_MAX_PER_S


@run
async def test_cold_endpoint_is_not_limited_without_a_published_rate() -> None:
    async with fleet.running("rota") as members:
        members[0].endpoint.cold_ms = 3000
        await asyncio.sleep(0.6)
        assert await send_at_rate(members[0], "c", per_s=40.0, for_s=1.0) == 40


@run
async def test_restarted_endpoint_counts_as_cold_until_a_poll_finds_it_warm() -> None:
    async with fleet.running("rota", cold_per_s=COLD_PER_S) as members:
        endpoint = members[0].endpoint
        assert await send_at_rate(members[0], "warm", per_s=40.0, for_s=0.5) == 20
        endpoint.cold_ms, endpoint.instance = 1000, "i-again"
        members[0].store.publish(instances=(fleet.published_instance(members[0]),))
        await fleet.wait_until(
            lambda: "i-again" in members[0].node.accepting_by_instance()
        )
        began = clock.now()
        asking = asyncio.ensure_future(send_at_rate(members[0], "c", 40.0, 2.0))
        await asyncio.sleep(1.0)
        assert max_in_one_second(endpoint, began) <= COLD_MAX_PER_S
        endpoint.cold_ms = 0
        await asking
        assert len([s for s in endpoint.received if s.at > began + 1.2]) >= 20


@run
async def test_evacuated_failure_domain_gets_no_calls_until_it_is_restored() -> None:
    """Guards against calls to a failure domain that operators have evacuated."""
    async with fleet.running("rota", "rota") as members:
        evacuated, staying = members
        instances = (
            fleet.published_instance(evacuated, failure_domain="b"),
            fleet.published_instance(staying),
        )
        for member in members:
            member.store.publish(instances=instances, evacuated=("b",))
        await fleet.wait_until(lambda: fleet.all_up_to_date(members), 1.0)
        for member in members:
            assert await send_at_rate(member, member.host, per_s=40.0, for_s=0.5) == 20
        assert not evacuated.endpoint.received
        fleet.publish(members)
        await fleet.wait_until(lambda: fleet.all_up_to_date(members), 1.0)
        await fleet.wait_until(
            lambda: evacuated.node.accepting_by_instance()[evacuated.endpoint.instance]
        )
        assert await send_at_rate(staying, "back", per_s=40.0, for_s=0.5) == 20
        assert await send_at_rate(evacuated, "own", per_s=40.0, for_s=0.5) == 20
        assert evacuated.endpoint.received


@run
async def test_nodes_of_a_service_share_measured_levels_of_concurrency() -> None:
    async with fleet.running("rota", "rota", "archive") as members:
        first, second, other = (each.node._runner.slots for each in members)
        await fleet.wait_until(lambda: {first.capacity, other.capacity} == {4})
        for member in members:
            member.endpoint.slots = 8
        await fleet.wait_until(
            lambda: {s.capacity for s in (first, second, other)} == {8}
        )
        now = clock.now()
        for _ in range(20):
            for level, ratio in ((5, 1.0), (6, 1.0), (7, 2.0), (8, 3.0)):
                first._concurrency_limit.record((level, level), ratio, 8, now)
        await fleet.wait_until(lambda: second.limit == 6)
        assert other.limit == 8


@run
async def test_endpoint_does_not_run_calls_of_another_service() -> None:
    """Guards against an entry of another writer that names a wrong service.

    Callers of that service got the answers of an endpoint of another one.
    """
    async with fleet.running("rota", "archive") as members:
        wrong = fleet.published_instance(members[1], service="rota")
        fleet.publish(members, instances=(wrong,))
        await fleet.wait_until(lambda: fleet.all_up_to_date(members))
        client = await fleet.Client.open(members[0])
        response = await client.call("c1")
        assert response.status in (502, 503, 504)
        assert members[1].endpoint.received == []


@run
async def test_requests_sent_all_through_a_stop_are_answered_or_not_run() -> None:
    """Guards against a stop that cuts requests which arrive late in its grace time.

    They were passed on and ended without an answer, also those that run once at most.
    """
    caller_count, work_s = 16, 0.4
    routes = await both_routes("rota")
    async with fleet.running("rota", "rota", routes=routes) as members:
        leaving, staying = members
        leaving.endpoint.work_s = staying.endpoint.work_s = work_s
        unanswered: list[str] = []
        refused: list[str] = []
        answered_count = 0

        async def send_steadily(number: int) -> None:
            nonlocal answered_count
            client: fleet.Client | None = None
            for index in itertools.count():
                call_id = f"c{number}-{index}"
                fields = {"path": "/claim/1", "method": "POST", "body": b"x"}
                try:
                    client = client or await fleet.Client.open(leaving)
                    client.send(call_id, **(fields if number % 2 else {}))
                    response = await client.receive()
                except ConnectionRefusedError:
                    return
                except ConnectionError:
                    response = None
                if response is None:
                    unanswered.append(call_id)
                    client = None
                    continue
                answered_count += response.status == 200
                if response.status in (429, 503):
                    refused.append(call_id)
                if dict(response.headers).get("connection") == "close":
                    client.stream.close()
                    client = None
                await asyncio.sleep(0.02)

        tasks = [
            asyncio.ensure_future(send_steadily(number))
            for number in range(caller_count)
        ]
        await asyncio.sleep(0.5)
        leaving.stop.set()
        assert leaving.task is not None
        async with asyncio.timeout(fleet.BOUNDS.grace_s):
            assert await leaving.task == 0
        async with asyncio.timeout(5.0):
            await asyncio.gather(*tasks)
        assert answered_count > caller_count
        ran = {
            call_id for call_id in unanswered + refused if arrivals(members, call_id)
        }
        assert not ran


async def request_index(
    endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
) -> None:
    """Answer after a call to `/index/` through the node on the endpoint's machine."""
    call_stream = await channel.connect((endpoint.host, fleet.CALLER_PORT), 1.0)
    client = fleet.Client(call_stream)
    call_id = "inner-" + request.header(fleet.NAMES.call_id)
    response = await client.call(call_id, path="/index/1")
    call_stream.abort()
    status = 200 if response.status == 200 else 500
    stream.write(endpoint.response(request, status))


def internal_verdicts(member: fleet.Member) -> dict[tuple[str, ...], float]:
    counter = member.node._metrics.counter("snipelink_mesh_internal_calls_total", "")
    return counter.values()


async def submit(member: fleet.Member, prefix: str, count: int) -> list[int]:
    client = await fleet.Client.open(member)
    statuses = []
    for number in range(count):
        response = await client.call(f"{prefix}{number}", path="/submit/1")
        statuses.append(response.status)
    return statuses


@run
async def test_restarted_node_learns_internal_operations_anew() -> None:
    """Calls of running requests are ordinary until then, and are still served."""
    routes = (
        fleet.route("rota", "/index/"),
        fleet.route("rota", "/view/"),
        fleet.route("archive", "/submit/"),
    )
    sample_count = internal_operations.SAMPLE_COUNT
    async with fleet.running("rota", "archive", routes=routes) as members:
        called, submitting = members
        submitting.endpoint.script = request_index
        instances = tuple(fleet.published_instance(m, slots=3) for m in members)
        fleet.publish(members, None, instances)
        await fleet.wait_until(lambda: fleet.all_up_to_date(members))
        await (await fleet.Client.open(called)).call("caller-1")
        assert set(await submit(submitting, "a", sample_count + 3)) == {200}
        assert internal_verdicts(called) == {("rota", "started"): 4}

        await called.end()
        restarted = fleet.restart(called)
        members[0] = restarted
        await restarted.start()
        await fleet.wait_until(
            lambda: all(
                m.node.accepting_by_instance().get(called.endpoint.instance)
                for m in members
            )
        )
        await (await fleet.Client.open(restarted)).call("caller-2")
        assert set(await submit(submitting, "b", sample_count - 1)) == {200}
        assert internal_verdicts(restarted) == {}
        assert set(await submit(submitting, "c", 2)) == {200}
        assert internal_verdicts(restarted) == {("rota", "started"): 2}
