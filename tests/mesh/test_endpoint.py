from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import gc
import socket
import threading
import time
import tracemalloc
from collections.abc import Awaitable, Callable, Iterator

import pytest

from bench import loopback
from snipelink import clock, errors
from snipelink.mesh import channel, endpoint
from tests.mesh import fleet

ADDRESS = (loopback.next_host(), 21395)
# Peak memory of reading an answer to a health check, with the stand-in's buffers.
MAX_HEALTH_CHECK_BYTES = 2 << 20
# Bytes that may stay in memory after broken-off answers: buffers of a few connections.
MAX_RETAINED_BYTES = 1 << 20


def _answer(call_id: str, *fields: str) -> bytes:
    lines = ["HTTP/1.1 200 OK", f"{fleet.NAMES.call_id}: {call_id}", *fields]
    return "\r\n".join([*lines, "content-length: 0", "", ""]).encode()


def _request(call_id: str, *, idempotent: bool = True) -> endpoint.EndpointRequest:
    payload = endpoint.encode_request("GET", "/x", [("host", "x")], b"")
    deadline = clock.now() + 0.5
    return endpoint.EndpointRequest(call_id, "GET", payload, deadline, idempotent)


def _opened_connection_count(
    *fields: str, idle_s: float = 0.0, idempotent: bool = True, count: int = 2
) -> int:
    """Return the number of connections opened by requests with pauses in between."""

    async def serve(stream: channel.Channel) -> None:
        while await stream.receive():
            stream.write(_answer("c", *fields))

    async def check() -> int:
        listener = await channel.listen(ADDRESS, serve, 10)
        client = endpoint.EndpointClient(ADDRESS, fleet.NAMES)
        try:
            for _ in range(count):
                sent = await client.send(_request("c", idempotent=idempotent))
                assert sent.is_ok()
                await asyncio.sleep(idle_s)
        finally:
            client.close()
            listener.close()
        return client.connections_opened

    return asyncio.run(check())


def test_connection_is_reused_for_the_next_request() -> None:
    assert _opened_connection_count() == 1


def test_connection_that_the_endpoint_closes_is_not_reused() -> None:
    assert _opened_connection_count("connection: close") == 2


def test_connection_is_dropped_before_the_endpoint_idle_timeout() -> None:
    assert _opened_connection_count("keep-alive: timeout=1", idle_s=0.6) == 2


def test_non_idempotent_call_does_not_reuse_an_idle_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(endpoint, "MAX_IDLE_NON_IDEMPOTENT_S", 0.05)
    assert _opened_connection_count(idle_s=0.1, idempotent=False) == 2
    assert _opened_connection_count(idle_s=0.1) == 1


def test_failure_kind_says_whether_the_request_may_have_run() -> None:
    async def check() -> None:
        client = endpoint.EndpointClient(("127.0.0.1", 1), fleet.NAMES)
        refused = (await client.send(_request("c"))).unwrap_err()
        assert refused.kind is errors.Kind.UNREACHABLE
        assert refused.not_run

        async def end(stream: channel.Channel) -> None:
            await stream.receive()

        listener = await channel.listen(ADDRESS, end, 10)
        client = endpoint.EndpointClient(ADDRESS, fleet.NAMES)
        lost = (await client.send(_request("c"))).unwrap_err()
        listener.close()
        assert lost.kind is errors.Kind.CONNECTION_LOST
        assert not lost.not_run

    asyncio.run(check())


@contextlib.contextmanager
def _answer_in_thread(answer: bytes, work_s: float) -> Iterator[None]:
    """Answer one request from a thread, which runs on while the event loop stalls."""

    def serve(listener: socket.socket) -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(65536)
            time.sleep(work_s)
            connection.sendall(answer)
            connection.recv(1)

    with socket.create_server(ADDRESS) as listener:
        thread = threading.Thread(target=serve, args=(listener,))
        thread.start()
        yield
        thread.join()


def test_answer_that_arrived_in_time_is_delivered_after_a_stall() -> None:
    """Guards against a timeout although the answer arrived before the deadline.

    After a stall, the event loop handled the answer and the deadline in one iteration,
    the deadline first.
    """

    async def check() -> None:
        client = endpoint.EndpointClient(ADDRESS, fleet.NAMES)
        sending = asyncio.ensure_future(client.send(_request("c")))
        await asyncio.sleep(0.05)
        time.sleep(0.7)
        answered = await sending
        client.close()
        assert answered.unwrap().status == 200

    with _answer_in_thread(_answer("c"), work_s=0.1):
        asyncio.run(check())


def test_answer_that_ends_with_its_connection_is_delivered_after_a_stall() -> None:
    """Guards against losing an answer whose end is the close of its connection.

    The body arrived before the stall, and the close during the stall.
    """

    def serve(listener: socket.socket) -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(65536)
            head = f"HTTP/1.1 200 OK\r\n{fleet.NAMES.call_id}: c\r\n\r\n"
            connection.sendall(head.encode() + b"body")
            time.sleep(0.2)

    async def check() -> None:
        client = endpoint.EndpointClient(ADDRESS, fleet.NAMES)
        sending = asyncio.ensure_future(client.send(_request("c")))
        await asyncio.sleep(0.1)
        time.sleep(0.7)
        answered = await sending
        assert answered.is_ok(), answered.unwrap_err()
        assert answered.unwrap().body == b"body"

    with socket.create_server(ADDRESS) as listener:
        thread = threading.Thread(target=serve, args=(listener,))
        thread.start()
        try:
            asyncio.run(check())
        finally:
            thread.join()


def test_connection_to_a_former_address_is_not_reused_after_a_reload() -> None:
    """Guards against reusing pooled connections after the endpoint's address changed.

    Calls and polls were still sent to the former address.
    """
    received: list[str] = []

    def serve_as(name: str) -> Callable[[channel.Channel], Awaitable[None]]:
        async def serve(stream: channel.Channel) -> None:
            while await stream.receive():
                received.append(name)
                stream.write(_answer("c"))

        return serve

    async def check() -> None:
        other = (loopback.next_host(), ADDRESS[1])
        listeners = [
            await channel.listen(ADDRESS, serve_as("former"), 10),
            await channel.listen(other, serve_as("present"), 10),
        ]
        client = endpoint.EndpointClient(ADDRESS, fleet.NAMES)
        try:
            assert (await client.send(_request("c"))).is_ok()
            client.address = other
            assert (await client.send(_request("c"))).is_ok()
        finally:
            client.close()
            for listener in listeners:
                listener.close()

    asyncio.run(check())
    assert received == ["former", "present"]


def test_stall_while_connecting_does_not_count_as_a_connect_timeout() -> None:
    """Guards against a connect timeout although the connection was established.

    After a stall, the event loop handled the connection and the timeout in one
    iteration, the timeout first.
    """

    async def check() -> None:
        client = endpoint.EndpointClient(ADDRESS, fleet.NAMES)
        request = _request("c")
        request = dataclasses.replace(request, deadline=request.deadline + 5.0)
        sending = asyncio.ensure_future(client.send(request))
        # One iteration of the event loop starts the connection attempt.
        await asyncio.sleep(0)
        time.sleep(endpoint.CONNECT_TIMEOUT_S + 0.1)
        answered = await sending
        client.close()
        assert answered.is_ok(), answered.unwrap_err()

    with _answer_in_thread(_answer("c"), work_s=0.0):
        asyncio.run(check())


def _head_of(*fields: str) -> bytes:
    return "\r\n".join(["HTTP/1.1 200 OK", *fields, "", ""]).encode()


STAMPED = (f"{fleet.NAMES.call_id}: c", f"{fleet.NAMES.stamp}: s")


@pytest.mark.parametrize(
    "answer",
    [
        _head_of(*STAMPED, "content-length: 4") + b"body",
        _head_of(*STAMPED, "transfer-encoding: chunked") + b"4\r\nbody\r\n0\r\n\r\n",
        _head_of(*STAMPED, "content-length: 0", "connection: close"),
        b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
        + _head_of(*STAMPED, "content-length: 4")
        + b"body",
        # The whole head: without a length, the answer ends with its connection.
        _head_of(*STAMPED),
    ],
    ids=["length", "chunks", "empty", "interim", "no length"],
)
def test_answer_that_is_cut_at_any_byte_is_not_delivered(answer: bytes) -> None:
    async def check() -> None:
        length = 0

        async def serve_cut(stream: channel.Channel) -> None:
            await stream.receive()
            stream.write(answer[:length])

        listener = await channel.listen(ADDRESS, serve_cut, 10)
        client = endpoint.EndpointClient(ADDRESS, fleet.NAMES)
        try:
            for length in range(len(answer)):
                failure = (await client.send(_request("c"))).unwrap_err()
                assert not failure.not_run, (length, failure)
            length = len(answer)
            assert (await client.send(_request("c"))).unwrap().status == 200
        finally:
            client.close()
            listener.close()

    asyncio.run(check())


def _refusal(call_id: str) -> bytes:
    fields = [f"{fleet.NAMES.not_run}: 1", "content-length: 0"]
    if call_id:
        fields.append(f"{fleet.NAMES.call_id}: {call_id}")
    return "\r\n".join(["HTTP/1.1 503 Full", *fields, "", ""]).encode()


@pytest.mark.parametrize("first_id", ["c0", ""], ids=["identity", "no identity"])
@pytest.mark.parametrize(
    "repeated_id", ["c0", "other", "c1", ""], ids=["first", "other", "own", "none"]
)
def test_repeated_refusal_is_not_taken_for_the_next_answer(
    first_id: str, repeated_id: str
) -> None:
    """Guards against a call that runs and is reported as not run.

    The endpoint repeats a refusal once the next call has arrived on the connection.
    """

    async def serve(stream: channel.Channel) -> None:
        await stream.receive()
        stream.write(_refusal(first_id) if not served else _answer("c1"))
        served.append("c0")
        if await stream.receive():
            stream.write(_refusal(repeated_id))
            await asyncio.sleep(0.02)
            stream.write(_answer("c1"))

    served: list[str] = []

    async def check() -> None:
        listener = await channel.listen(ADDRESS, serve, 10)
        client = endpoint.EndpointClient(ADDRESS, fleet.NAMES)
        try:
            assert (await client.send(_request("c0"))).unwrap().status == 503
            assert (await client.send(_request("c1"))).unwrap().status == 200
        finally:
            client.close()
            listener.close()

    asyncio.run(check())


def test_answer_with_a_call_id_is_not_taken_for_a_poll_answer() -> None:
    async def serve(stream: channel.Channel) -> None:
        while await stream.receive():
            own = f"HTTP/1.1 200 OK\r\n{fleet.NAMES.instance}: i-1"
            own += "\r\ncontent-length: 0\r\n\r\n"
            stream.write(_answer("late") + own.encode())

    async def check() -> None:
        listener = await channel.listen(ADDRESS, serve, 10)
        client = endpoint.EndpointClient(ADDRESS, fleet.NAMES)
        try:
            answered = (await client.send(_request(""))).unwrap()
        finally:
            client.close()
            listener.close()
        assert dict(answered.headers)[fleet.NAMES.instance] == "i-1"

    asyncio.run(check())


# An eighth of the memory of the smallest machines. Socket buffers hold a part of the
# bytes.
MAX_RECEIVED_BYTES = 25_000_000
# Endless invalid answers: a beginning, and bytes that are repeated until the client
# closes the connection.
ENDLESS_ANSWERS = {
    "no protocol": (b"", b"x" * 65536),
    "head": (b"HTTP/1.1 200 OK\r\n", b"a: " + b"b" * 65533 + b"\r\n"),
    "one header": (b"HTTP/1.1 200 OK\r\na: ", b"b" * 65536),
    "hints": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2000),
    "body without length": (b"HTTP/1.1 200 OK\r\n\r\n", b"b" * 65536),
    "body of a stated length": (
        b"HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n",
        b"b" * 65536,
    ),
    "chunks": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"b" * 65536 + b"\r\n",
    ),
    "chunk extension": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
        b"b" * 65536,
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        b"a: " + b"b" * 65533 + b"\r\n",
    ),
}


async def _send_endless(stream: channel.Channel, name: str) -> int:
    """Send until the client closes; return the number of bytes sent."""
    beginning, repeated = ENDLESS_ANSWERS[name]
    stream.write(beginning)
    sent = len(beginning)
    try:
        while True:
            stream.write(repeated)
            await stream.drain()
            sent += len(repeated)
            await asyncio.sleep(0)
    except ConnectionError:
        return sent


@pytest.mark.parametrize("name", ENDLESS_ANSWERS)
def test_endless_answer_is_cut_off_at_the_size_limit(name: str) -> None:
    sent: list[int] = []

    async def serve(stream: channel.Channel) -> None:
        await stream.receive()
        sent.append(await _send_endless(stream, name))

    async def check() -> None:
        listener = await channel.listen(ADDRESS, serve, 10)
        client = endpoint.EndpointClient(ADDRESS, fleet.NAMES)
        payload = endpoint.encode_request("GET", "/x", [("host", "x")], b"")
        deadline = clock.now() + 10.0
        request = endpoint.EndpointRequest("c", "GET", payload, deadline, True)
        try:
            answered = await client.send(request)
            assert answered.is_err()
            # The size limit must end the request well before its deadline.
            assert clock.now() < deadline - 5.0
            async with asyncio.timeout(2.0):
                while not sent:
                    await asyncio.sleep(0.01)
        finally:
            client.close()
            listener.close()

    asyncio.run(check())
    assert sent[0] < MAX_RECEIVED_BYTES


def test_endless_answers_share_one_memory_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(endpoint, "MAX_ANSWER_BYTES", 1 << 22)
    monkeypatch.setattr(endpoint, "MAX_BUFFERED_ANSWERS_BYTES", 1 << 23)

    async def serve(stream: channel.Channel) -> None:
        await stream.receive()
        await _send_endless(stream, "body without length")

    async def check() -> list[errors.Kind]:
        listener = await channel.listen(ADDRESS, serve, 10)
        client = endpoint.EndpointClient(ADDRESS, fleet.NAMES)
        payload = endpoint.encode_request("GET", "/x", [("host", "x")], b"")
        request = endpoint.EndpointRequest(
            "c", "GET", payload, clock.now() + 10.0, idempotent=True
        )
        try:
            sent = await asyncio.gather(*(client.send(request) for _ in range(8)))
        finally:
            client.close()
            listener.close()
        return [each.unwrap_err().kind for each in sent]

    kinds = asyncio.run(check())
    assert errors.Kind.ANSWER_TOO_LARGE in kinds
    assert set(kinds) <= {errors.Kind.ANSWER_TOO_LARGE, errors.Kind.ANSWER_INVALID}


@pytest.mark.parametrize("head", ["", "transfer-encoding: chunked\r\n"])
def test_answers_without_end_leave_no_bytes_in_memory(head: str) -> None:
    """Guards against a node that exceeds its memory limit and loses its other calls.

    A faulty endpoint sent answers without end. Each was broken off at its maximum size
    but stayed in memory until a garbage collection.
    """
    block = b"10000\r\n" + bytes(65536) + b"\r\n" if head else bytes(65536)

    async def serve(stream: channel.Channel) -> None:
        await stream.receive()
        stream.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        with contextlib.suppress(ConnectionError):
            while True:
                stream.write(block)
                await stream.drain()

    async def check() -> None:
        listener = await channel.listen(ADDRESS, serve, 10)
        client = endpoint.EndpointClient(ADDRESS, fleet.NAMES)
        request = dataclasses.replace(_request("c"), deadline=clock.now() + 30.0)
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        try:
            for _ in range(3):
                answered = await client.send(request)
                assert answered.unwrap_err().kind is errors.Kind.ANSWER_INVALID
            await asyncio.sleep(0.05)
            after, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            client.close()
            listener.close()
        assert after - before < MAX_RETAINED_BYTES

    gc.disable()
    try:
        asyncio.run(check())
    finally:
        gc.enable()


@pytest.mark.parametrize("name", ENDLESS_ANSWERS)
def test_health_answers_without_end_are_cut_off_after_kilobytes(name: str) -> None:
    """Guards against a node that exceeds its memory limit by its health checks.

    They were read up to the size of answers to calls, up to thirty times a second.
    """

    async def serve(stream: channel.Channel) -> None:
        await stream.receive()
        await _send_endless(stream, name)

    async def check() -> None:
        listener = await channel.listen(ADDRESS, serve, 10)
        async with fleet.running("rota") as members:
            client = members[0].node._poll_client
            client.address = ADDRESS
            request = dataclasses.replace(_request(""), deadline=clock.now() + 5.0)
            tracemalloc.start()
            try:
                for _ in range(4):
                    assert (await client.send(request)).is_err()
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
                listener.close()
        assert peak < MAX_HEALTH_CHECK_BYTES

    gc.disable()
    try:
        asyncio.run(check())
    finally:
        gc.enable()
