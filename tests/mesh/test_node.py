from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from snipelink import clock
from snipelink.decide import placement
from snipelink.mesh import (
    channel,
    frames,
    messages,
    node,
    published_state,
    retry_budgets,
)
from snipelink.session import http
from tests.mesh import fleet

ONCE = {"idempotent": False, "prefix": "/claim/"}


def run(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run a test in an event loop of its own."""

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
    return view, fleet.route(services[0], **(ONCE | changes))


@run
async def test_answer_of_the_endpoint_is_passed_on_unchanged() -> None:
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
async def test_service_of_the_machine_replaces_what_the_caller_claims() -> None:
    async with fleet.running("rota", "archive") as members:
        client = await fleet.Client.open(members[1])
        await client.call("c1", **{fleet.NAMES.caller_service: "forged"})
        seen = members[0].endpoint.received[0]
        header = fleet.NAMES.caller_service
        values = [v for name, v in seen.request.headers if name == header]
        assert values == ["archive"]


@run
async def test_unknown_route_is_not_found() -> None:
    async with fleet.running("rota") as members:
        client = await fleet.Client.open(members[0])
        assert (await client.call("c1", path="/other/")).status == 404


@run
async def test_route_that_cannot_be_read_is_refused_with_its_reason() -> None:
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
async def test_node_without_configuration_answers_unavailable() -> None:
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
async def test_close_of_the_caller_stops_the_work_through_two_nodes() -> None:
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
async def test_idempotent_call_is_repeated_elsewhere_after_a_reset() -> None:
    async with fleet.running("rota", "rota") as members:
        members[0].endpoint.script = reset
        for index in range(10):
            client = await fleet.Client.open(members[1])
            assert (await client.call(f"c{index}")).status == 200


@run
async def test_node_repeats_no_more_than_its_part_of_the_allowance() -> None:
    """Guards against a node that takes the part of the others as well."""
    async with fleet.running("rota", "rota") as members:
        for member in members:
            member.endpoint.script = reset
        client = await fleet.Client.open(members[0])
        for index in range(20):
            assert (await client.call(f"c{index}")).status == 502
        # Two nodes share the allowance, and the reserve pays one attempt more.
        part = fleet.BOUNDS.retry_allowance * retry_budgets.ALLOWANCE_SHARE / 2
        arrived = sum(arrivals(members, f"c{index}") for index in range(20))
        assert arrived == 20 + int(part) + 1


@run
async def test_call_that_may_run_once_is_not_repeated_after_a_reset() -> None:
    routes = await both_routes("rota")
    async with fleet.running("rota", "rota", routes=routes) as members:
        for member in members:
            member.endpoint.script = reset
        client = await fleet.Client.open(members[1])
        response = await client.call("c1", path="/claim/1", method="POST", body=b"x")
        assert response.status == 502
        assert arrivals(members, "c1") == 1


@run
async def test_call_that_the_endpoint_did_not_run_is_tried_elsewhere() -> None:
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
async def test_refusal_after_a_run_that_may_have_happened_is_no_promise() -> None:
    """A reset first and a refusal then must not be told as not run."""
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


def test_fault_of_the_program_is_answered_as_such(
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
async def test_second_answer_to_a_poll_is_not_taken_for_that_of_a_call() -> None:
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
async def test_fault_in_one_task_ends_neither_the_node_nor_the_task() -> None:
    async with fleet.running("rota", "rota") as members:
        broken = members[0].node
        follow, failed = broken._exchange.follow, 0

        def fail_twice(*arguments: Any) -> None:
            nonlocal failed
            failed += 1
            if failed <= 2:
                raise RuntimeError("planted")
            follow(*arguments)

        broken._exchange.follow = fail_twice  # type: ignore[method-assign]
        await fleet.wait_until(lambda: failed > 2)
        client = await fleet.Client.open(members[0])
        assert (await client.call("c1")).status == 200


@run
async def test_task_that_is_cancelled_from_inside_runs_again() -> None:
    """It ended for good: the node went on without reports, polls or the store."""
    async with fleet.running("rota", "rota") as members:
        broken = members[0].node
        follow, calls = broken._exchange.follow, 0

        def cancel_once(*arguments: Any) -> None:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise asyncio.CancelledError
            follow(*arguments)

        broken._exchange.follow = cancel_once  # type: ignore[method-assign]
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
async def test_answer_of_another_request_is_skipped_for_the_right_one() -> None:
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
def test_success_that_is_not_the_endpoints_is_no_success(
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
async def test_answer_that_ends_early_does_not_look_complete() -> None:
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
async def test_request_that_may_run_once_waits_for_the_answers_before_it() -> None:
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
async def test_call_that_cannot_be_done_in_time_is_refused_at_once() -> None:
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
async def test_call_on_an_endpoint_that_turned_slow_is_sent_to_a_second_one() -> None:
    routes = (fleet.route("rota", timeout_s=5.0, target_s=0.5),)
    async with fleet.running("rota", "rota", routes=routes) as members:
        for index in range(6):
            warm = await fleet.Client.open(members[0])
            await warm.call(f"w{index}")
        slow, quick = members
        slow.endpoint.work_s = 3.0
        # The caller's own node knows nothing of the other one at first.
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
async def test_call_without_an_answer_ends_at_the_time_of_its_route() -> None:
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
async def test_stop_finishes_what_runs_and_sends_new_calls_elsewhere() -> None:
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
        # Short calls are still taken for a moment, and none that may outlast the stop.
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
    """What the process had not handed to the kernel was lost when it ended."""
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
            # The caller reads slowly, as over a link that is in use.
            await asyncio.sleep(node.MIN_SHUTDOWN_S + 0.5)
            assert leaving.task is not None
            assert not leaving.task.done()
            response = await client.receive()
            assert response is not None
            assert response.body == body
            assert await leaving.task == 0

    asyncio.run(check())


@run
async def test_node_that_stops_refuses_what_may_outlast_it() -> None:
    """Such a request would be cut off at the end of the grace time."""
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
async def test_stop_answers_what_still_waits_for_an_endpoint() -> None:
    """Its connection ended without an answer though no endpoint was at work on it."""
    routes = (fleet.route("rota", timeout_s=12.0, target_s=10.0),)
    async with fleet.running("rota", "archive", routes=routes) as members:
        serving, leaving = members
        fields = {fleet.NAMES.remaining_ms: "12000"}
        # The work of a call is known.
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


def test_stop_tells_of_calls_whether_they_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a 503 for a call that runs, and no answer for one that waits."""
    # The own endpoint takes calls until the end, and some still wait for it then.
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
            told = []
            for client in clients:
                response = await client.receive()
                assert response is not None, "the connection ended without an answer"
                headers = dict(response.headers)
                told.append((response.status, headers["snipelink-ran"]))
            assert told == [(502, "unknown"), (503, "not-run")]
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
async def test_only_endpoint_serves_a_little_longer_after_its_entry_lapsed() -> None:
    async with fleet.running("rota") as members:
        members[0].store.publish(instances=())
        await asyncio.sleep(0.1)
        client = await fleet.Client.open(members[0])
        assert (await client.call("c1")).status == 200
        await asyncio.sleep(1.5)
        assert (await client.call("c2")).status == 503


@run
async def test_node_without_the_store_learns_from_the_others() -> None:
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
async def test_older_configuration_is_not_taken_over() -> None:
    async with fleet.running("rota") as members:
        store = members[0].store
        store.publish(fleet.configuration(fleet.route("rota", "/new/"), version=12))
        await asyncio.sleep(0.5)
        store.publish(fleet.configuration(fleet.route("rota", "/old/"), version=9))
        await asyncio.sleep(0.5)
        client = await fleet.Client.open(members[0])
        assert (await client.call("c1", path="/new/1")).status == 200


@run
async def test_restarted_endpoint_gets_only_calls_meant_for_it() -> None:
    async with fleet.running("rota", "rota") as members:
        members[0].endpoint.instance = "i-new"
        await asyncio.sleep(0.2)
        for index in range(6):
            client = await fleet.Client.open(members[1])
            assert (await client.call(f"c{index}")).status == 200
        assert not members[0].endpoint.received


@run
async def test_request_with_two_identities_is_refused() -> None:
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
async def test_resting_node_learns_of_a_change_from_a_watching_one() -> None:
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


def test_further_attempt_is_not_given_the_time_of_a_suspension(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An endpoint that works past the caller's deadline does so for nobody."""
    read = time.clock_gettime
    suspended_s = 1.5

    async def reset_after_suspension(
        endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
    ) -> None:
        monkeypatch.setattr(
            time, "clock_gettime", lambda name: read(name) + suspended_s
        )
        # Facts are stale after a suspension; the next reports are awaited.
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
            told_ms = [
                int(seen.request.header(fleet.NAMES.remaining_ms))
                for member in members
                for seen in member.endpoint.received
            ]
            assert min(told_ms) <= 5000 - 1000 * suspended_s

    asyncio.run(check())


COLD_PER_S = 5.0
COLD_MOST = COLD_PER_S * fleet.BOUNDS.cold_over + fleet.BOUNDS.cold_slack


def most_in_one_second(endpoint: fleet.FakeEndpoint, since: float) -> int:
    times = [seen.at for seen in endpoint.received if seen.at >= since]
    return max((sum(a <= t < a + 1.0 for t in times) for a in times), default=0)


async def ask_often(member: fleet.Member, name: str, per_s: float, for_s: float) -> int:
    """Send calls evenly; return how many were answered with success."""

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
async def test_cold_endpoint_gets_no_more_calls_than_it_bears() -> None:
    """Guards against crashes of cold endpoints under the load of a warm one."""
    services = ("rota", "archive", "archive")
    async with fleet.running(*services, cold_per_s=COLD_PER_S) as members:
        cold = members[0].endpoint
        cold.cold_ms = 3000
        await asyncio.sleep(0.6)
        began = clock.now()
        served = await asyncio.gather(
            *(ask_often(m, m.host, per_s=15.0, for_s=2.0) for m in members)
        )
        assert most_in_one_second(cold, began) <= COLD_MOST
        assert sum(served) >= 1.5 * COLD_PER_S


@run
async def test_endpoint_that_turns_cold_under_load_gets_no_more_than_it_bears() -> None:
    """An endpoint may turn cold between two polls, when it has many calls."""
    services = ("rota", "archive")
    async with fleet.running(*services, cold_per_s=COLD_PER_S) as members:
        cold = members[0].endpoint
        cold.slots = 9
        tasks = [
            asyncio.ensure_future(ask_often(m, m.host, per_s=40.0, for_s=2.5))
            for m in members
        ]
        await asyncio.sleep(1.0)
        began = clock.now()
        cold.cold_ms = 3000
        await asyncio.gather(*tasks)
        assert len(cold.received) > 60
        assert most_in_one_second(cold, began) <= COLD_MOST


@run
async def test_calls_go_to_the_warm_endpoints_while_one_is_cold() -> None:
    services = ("rota", "rota", "rota")
    async with fleet.running(*services, cold_per_s=COLD_PER_S) as members:
        members[0].endpoint.cold_ms = 3000
        await asyncio.sleep(0.6)
        began = clock.now()
        served = await ask_often(members[1], "c", per_s=40.0, for_s=2.0)
        assert served == 80
        assert most_in_one_second(members[0].endpoint, began) <= COLD_MOST


@run
async def test_cold_endpoint_is_used_as_ever_where_no_rate_is_published() -> None:
    async with fleet.running("rota") as members:
        members[0].endpoint.cold_ms = 3000
        await asyncio.sleep(0.6)
        assert await ask_often(members[0], "c", per_s=40.0, for_s=1.0) == 40


@run
async def test_restarted_endpoint_is_cold_until_it_says_otherwise() -> None:
    async with fleet.running("rota", cold_per_s=COLD_PER_S) as members:
        endpoint = members[0].endpoint
        assert await ask_often(members[0], "warm", per_s=40.0, for_s=0.5) == 20
        endpoint.cold_ms, endpoint.instance = 1000, "i-again"
        members[0].store.publish(instances=(fleet.published_instance(members[0]),))
        await fleet.wait_until(
            lambda: "i-again" in members[0].node.accepting_by_instance()
        )
        began = clock.now()
        asking = asyncio.ensure_future(ask_often(members[0], "c", 40.0, 2.0))
        await asyncio.sleep(1.0)
        assert most_in_one_second(endpoint, began) <= COLD_MOST
        endpoint.cold_ms = 0
        await asking
        assert len([s for s in endpoint.received if s.at > began + 1.2]) >= 20


@run
async def test_evacuated_failure_domain_gets_no_calls_until_it_is_taken_back() -> None:
    """Guards against calls to servers of a zone that operators have emptied."""
    async with fleet.running("rota", "rota") as members:
        emptied, staying = members
        instances = (
            fleet.published_instance(emptied, failure_domain="b"),
            fleet.published_instance(staying),
        )
        for member in members:
            member.store.publish(instances=instances, evacuated=("b",))
        await fleet.wait_until(lambda: fleet.all_up_to_date(members), 1.0)
        for member in members:
            assert await ask_often(member, member.host, per_s=40.0, for_s=0.5) == 20
        assert not emptied.endpoint.received
        fleet.publish(members)
        await fleet.wait_until(lambda: fleet.all_up_to_date(members), 1.0)
        await fleet.wait_until(
            lambda: emptied.node.accepting_by_instance()[emptied.endpoint.instance]
        )
        assert await ask_often(staying, "back", per_s=40.0, for_s=0.5) == 20
        assert await ask_often(emptied, "own", per_s=40.0, for_s=0.5) == 20
        assert emptied.endpoint.received
