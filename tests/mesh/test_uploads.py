"""Tests of non-idempotent requests with large bodies: run whole, and at most once."""

from __future__ import annotations

import asyncio
import gc
import random
import tracemalloc

import pytest

from snipelink.mesh import channel, published_state
from snipelink.session import http, memory
from tests.mesh import fleet, test_node

UPLOAD = {"idempotent": False, "prefix": "/claim/", "timeout_s": 3.0, "target_s": 1.0}
BODY = random.Random(1).randbytes(360_000)
LARGE_BODY = bytes(4 << 20)
# Bytes that a node may hold once all uploads are answered: buffers of connections.
MAX_RETAINED_BYTES = 1 << 20


async def _upload_routes() -> tuple[published_state.Route, ...]:
    return (fleet.route("rota"), fleet.route("rota", **UPLOAD))


def _head(call_id: str, size: int, remaining_ms: int = 2000) -> bytes:
    return http.encode_head(
        [
            "POST /claim/1 HTTP/1.1",
            "host: example",
            f"{fleet.NAMES.call_id}: {call_id}",
            f"{fleet.NAMES.remaining_ms}: {remaining_ms}",
            f"content-length: {size}",
        ]
    )


async def _client_with_head_timeout(
    members: list[fleet.Member], timeout_s: float
) -> fleet.Client:
    """Set the timeout of request heads, and open a caller's connection."""
    routes = await _upload_routes()
    fleet.publish(
        members,
        fleet.configuration(*routes, version=2, header_timeout_s=timeout_s),
    )
    await fleet.wait_until(lambda: fleet.all_up_to_date(members), 1.0)
    return await fleet.Client.open(members[0])


@test_node.run
async def test_body_reaches_the_endpoint_unchanged_and_once() -> None:
    async with fleet.running(
        "rota", "archive", routes=await _upload_routes()
    ) as members:
        for index, member in enumerate(members):
            client = await fleet.Client.open(member)
            response = await client.call(
                f"c{index}", path="/claim/1", method="POST", body=BODY
            )
            assert response.status == 200
        seen = members[0].endpoint.received
        assert [each.request.body for each in seen] == [BODY, BODY]


@test_node.run
async def test_disconnect_in_the_middle_of_a_body_runs_nothing() -> None:
    async with fleet.running("rota", routes=await _upload_routes()) as members:
        client = await fleet.Client.open(members[0])
        client.stream.write(_head("c1", len(BODY)) + BODY[:100_000])
        await asyncio.sleep(0.1)
        client.stream.abort()
        await asyncio.sleep(0.2)
        assert members[0].endpoint.received == []
        assert members[0].node._callers.pool.used == 0


@test_node.run
async def test_slow_body_is_read_while_it_makes_progress() -> None:
    async with fleet.running("rota", routes=await _upload_routes()) as members:
        client = await _client_with_head_timeout(members, 0.3)
        client.stream.write(_head("c1", len(BODY)))
        for start in range(0, len(BODY), 60_000):
            await asyncio.sleep(0.15)
            client.stream.write(BODY[start : start + 60_000])
        response = await client.receive()
        assert response is not None
        assert response.status == 200


@test_node.run
async def test_body_that_stalls_is_refused_as_not_run() -> None:
    async with fleet.running("rota", routes=await _upload_routes()) as members:
        client = await _client_with_head_timeout(members, 0.3)
        client.stream.write(_head("c1", len(BODY)) + BODY[:1000])
        response = await client.receive(2.0)
        assert response is not None
        assert response.status == 408
        assert members[0].endpoint.received == []


@test_node.run
async def test_arrival_time_of_a_body_counts_against_the_deadline() -> None:
    async with fleet.running("rota", routes=await _upload_routes()) as members:
        client = await fleet.Client.open(members[0])
        client.stream.write(_head("c1", 10, remaining_ms=1400) + BODY[:5])
        await asyncio.sleep(0.5)
        client.stream.write(BODY[:5])
        response = await client.receive()
        assert response is not None
        assert response.status == 200
        seen = members[0].endpoint.received[0].request
        assert int(seen.header(fleet.NAMES.remaining_ms)) <= 900


@test_node.run
async def test_endpoint_lost_in_the_middle_of_a_body_may_have_run_the_call() -> None:
    async def serve(stream: channel.Channel) -> None:
        await stream.receive()
        stream.abort()

    async with fleet.running("rota", "rota", routes=await _upload_routes()) as members:
        for member in members:
            member.endpoint.stop()
        listeners = [
            await channel.listen((member.host, fleet.ENDPOINT_PORT), serve, 10)
            for member in members
        ]
        client = await fleet.Client.open(members[0])
        response = await client.call("c1", path="/claim/1", method="POST", body=BODY)
        for listener in listeners:
            listener.close()
        # Status 503 would tell the caller that the call has not run.
        assert response.status in (502, 504)


@test_node.run
async def test_early_answer_does_not_cut_the_body() -> None:
    bodies: list[bytes] = []

    async def serve(stream: channel.Channel) -> None:
        """Answer each request after its head, then read its body slowly."""
        buffer = b""
        while True:
            while b"\r\n\r\n" not in buffer:
                data = await stream.receive()
                if not data:
                    return
                buffer += data
            text, _, buffer = buffer.partition(b"\r\n\r\n")
            lines = text.decode().split("\r\n")
            assert lines[0] in ("POST /claim/1 HTTP/1.1", "GET /health HTTP/1.1")
            fields = dict(line.split(": ", 1) for line in lines[1:])
            names = fleet.NAMES
            headers = [(names.instance, endpoint.instance), (names.load, "0,0,4,100")]
            if names.call_id in fields:
                headers += [(names.call_id, fields[names.call_id]), (names.stamp, "s")]
            answer = http.Response(200, headers, b"early")
            stream.write(http.encode_response(answer, "GET", True))
            size = int(fields.get("content-length", "0"))
            while len(buffer) < size:
                await asyncio.sleep(0.01)
                buffer += await stream.receive()
            if size:
                bodies.append(buffer[:size])
                buffer = buffer[size:]

    async with fleet.running("rota", routes=await _upload_routes()) as members:
        endpoint = members[0].endpoint
        endpoint.stop()
        address = (endpoint.host, fleet.ENDPOINT_PORT)
        listener = await channel.listen(address, serve, 10)
        client = await fleet.Client.open(members[0])
        for index in range(5):
            response = await client.call(
                f"c{index}", path="/claim/1", method="POST", body=BODY
            )
            assert (response.status, response.body) == (200, b"early")
        await fleet.wait_until(lambda: len(bodies) == 5)
        listener.close()
    assert bodies == [BODY] * 5


def test_body_beyond_the_memory_limit_is_refused_with_a_retry_time() -> None:
    async def check() -> None:
        routes = await _upload_routes()
        async with fleet.running("rota", routes=routes) as members:
            members[0].node._callers.pool.limit = 100_000
            client = await fleet.Client.open(members[0])
            response = await client.call(
                "c1", path="/claim/1", method="POST", body=BODY
            )
            assert response.status == 503
            assert float(dict(response.headers)["retry-after"]) > 0.0
            assert members[0].endpoint.received == []
            other = await fleet.Client.open(members[0])
            answered = await other.call(
                "c2", path="/claim/1", method="POST", body=BODY[:50_000]
            )
            assert answered.status == 200

    asyncio.run(check())


async def _bytes_held_after_uploads(
    members: list[fleet.Member], *, on_new_connections: bool
) -> int:
    """Return the growth of the memory by uploads that the endpoint has dropped."""
    sender, receiver = members[-1], members[0]
    client = await fleet.Client.open(sender)
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for index in range(4):
            if on_new_connections:
                client.stream.close()
                client = await fleet.Client.open(sender)
            response = await client.call(
                f"c{index}", path="/claim/1", method="POST", body=LARGE_BODY
            )
            assert response.status == 200
            receiver.endpoint.received.clear()
        client.stream.close()
        await asyncio.sleep(0.2)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before


@pytest.mark.parametrize("services", [("rota",), ("rota", "archive")])
@pytest.mark.parametrize("on_new_connections", [True, False])
def test_answered_uploads_leave_no_bytes_in_memory(
    services: tuple[str, ...], on_new_connections: bool
) -> None:
    """Guards against a node that exceeds its memory limit and loses its calls.

    The reader of a caller's connection kept the last body until a garbage collection,
    and an idle connection between two nodes kept its last call twice.
    """

    @test_node.run
    async def check() -> None:
        async with fleet.running(*services, routes=await _upload_routes()) as members:
            held = await _bytes_held_after_uploads(
                members, on_new_connections=on_new_connections
            )
            for member in members:
                pools = member.node._buffers
                assert (pools.caller_requests.used, pools.peer_calls.used) == (0, 0)
        assert held < MAX_RETAINED_BYTES

    gc.disable()
    try:
        check()
    finally:
        gc.enable()


@test_node.run
async def test_upload_without_room_at_the_other_node_is_not_run_and_others_are() -> (
    None
):
    """Guards against large calls of other nodes that take any amount of memory."""
    routes = await _upload_routes()
    async with fleet.running("rota", "archive", routes=routes) as members:
        receiver, sender = members
        receiver.node._buffers.peer_calls.limit = len(BODY)
        client = await fleet.Client.open(sender)
        refused = await client.call("c1", path="/claim/1", method="POST", body=BODY)
        assert refused.status in (502, 503, 504)
        assert receiver.endpoint.received == []
        client = await fleet.Client.open(sender)
        answered = await client.call(
            "c2", path="/claim/1", method="POST", body=BODY[:20_000]
        )
        assert answered.status == 200
        assert receiver.node._buffers.peer_calls.used == 0


@test_node.run
async def test_upload_that_waits_for_room_runs_once_there_is_some() -> None:
    routes = await _upload_routes()
    async with fleet.running("rota", "archive", routes=routes) as members:
        receiver, sender = members
        held = memory.PoolCharge(receiver.node._buffers.peer_calls)
        pool = receiver.node._buffers.peer_calls
        assert held.charge(pool.limit - pool.limit // memory.RESERVE_DIVISOR)
        client = await fleet.Client.open(sender)
        client.send("c1", path="/claim/1", method="POST", body=BODY)
        await asyncio.sleep(0.3)
        assert receiver.endpoint.received == []
        held.release()
        response = await client.receive()
        assert response is not None
        assert response.status == 200
        assert [each.request.body for each in receiver.endpoint.received] == [BODY]
