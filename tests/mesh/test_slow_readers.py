"""Tests of callers that do not read the large answers that they asked for."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import socket
from collections.abc import Iterator

from snipelink.mesh import channel
from snipelink.session import http
from tests.mesh import fleet, test_node

# More than the kernel buffers for a connection.
ANSWER = bytes(6 << 20)
SLOW_READER_COUNT = 6
RECEIVE_BUFFER_BYTES = 4096
HEAD_BYTES = 512


async def _answer_by_path(
    endpoint: fleet.FakeEndpoint, request: http.Request, stream: channel.Channel
) -> None:
    body = ANSWER if request.path.startswith("/read/large") else b"body"
    await stream.write_parts(endpoint.response(request, body=body))


@contextlib.contextmanager
def _slow_reader(member: fleet.Member) -> Iterator[socket.socket]:
    """Request a large answer on a connection that receives a few kilobytes at once."""
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            connection.connect((member.host, fleet.CALLER_PORT))
        yield connection


async def _request_large(connection: socket.socket, call_id: str) -> str:
    """Send a request and return the status line of its answer."""
    loop = asyncio.get_running_loop()
    lines = [
        "GET /read/large/1 HTTP/1.1",
        "host: example",
        f"{fleet.NAMES.call_id}: {call_id}",
        f"{fleet.NAMES.remaining_ms}: 4000",
    ]
    await loop.sock_sendall(connection, http.encode_head(lines))
    head = await loop.sock_recv(connection, HEAD_BYTES)
    return head.split(b"\r\n")[0].decode()


@test_node.run
async def test_slow_readers_of_large_answers_cost_no_call_that_has_run() -> None:
    """Guards against answers that find no memory once their calls have run."""
    large = fleet.route("rota", prefix="/read/large/", timeout_s=4.0, target_s=2.0)
    routes = (fleet.route("rota"), large)
    async with fleet.running("rota", "archive", routes=routes) as members:
        members[0].endpoint.script = _answer_by_path
        member = members[1]
        pool = member.node._buffers.peer_replies
        statuses: collections.Counter[str] = collections.Counter()
        client = await fleet.Client.open(member)
        with contextlib.ExitStack() as stack:
            for index in range(SLOW_READER_COUNT):
                call_id = f"slow-{index}"
                reader = stack.enter_context(_slow_reader(member))
                statuses[await _request_large(reader, call_id)] += 1
                response = await client.call(f"quick-{index}", path="/view/small")
                assert response.status == 200
            assert pool.used > pool.limit // 2
            assert pool.peak <= pool.limit
        assert set(statuses) == {"HTTP/1.1 200 OK", "HTTP/1.1 503 Service Unavailable"}
        ran = [
            each
            for each in members[0].endpoint.received
            if each.request.path.startswith("/read/large")
        ]
        assert len(ran) == statuses["HTTP/1.1 200 OK"]
        await fleet.wait_until(lambda: pool.used == 0)


@test_node.run
async def test_large_requests_do_not_count_as_answers() -> None:
    """Guards against uploads that are refused because answers hold the memory."""
    upload = fleet.route("rota", prefix="/claim/", idempotent=False)
    routes = (fleet.route("rota"), upload)
    async with fleet.running("rota", "archive", routes=routes) as members:
        member = members[1]
        client = await fleet.Client.open(member)
        for index in range(2):
            response = await client.call(
                f"upload-{index}", path="/claim/1", method="POST", body=ANSWER
            )
            assert response.status == 200
            pool = member.node._buffers.peer_replies
            pool.used = pool.limit - len(ANSWER) // 2
        pool.used = 0
