from __future__ import annotations

import contextlib
import itertools
import socket
import threading
import time
import typing

import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from result import Ok

from snipelink import errors, model
from snipelink.execute import forwarding
from snipelink.generated import messages as generated
from snipelink.session import call_server, frames, memory, messages
from tests.session import servers

HELLO = messages.encode_hello("other", "i-2")
LIMIT = 20000
OPERATION = model.Operation("get", "GET", "/", True)
ENDPOINT = model.Endpoint("own", "s", "d-1", "d", "127.0.0.1:1")


class Handler:
    def __init__(self) -> None:
        self.requests: list[generated.CallRequest] = []
        self.entered, self.release = threading.Event(), threading.Event()
        self.release.set()
        self.cancelled = False

    def run_forwarded(self, request, receive_started_at, now, cancelled):
        self.requests.append(request)
        self.entered.set()
        self.release.wait(5)
        self.cancelled = cancelled()
        return Ok(model.Answer(200, [("x", "1")], request.body))

    def load_report(self) -> None:
        return None

    def revision(self) -> int:
        return 7


@contextlib.contextmanager
def _serving(
    budget_bytes: int = 1 << 20, **changes: object
) -> typing.Iterator[tuple[call_server.CallServer, Handler]]:
    handler = Handler()
    server = call_server.CallServer(
        (servers.HOST, 0),
        "own",
        "i-1",
        handler,
        LIMIT,
        typing.cast(call_server.Limits, servers.limits(**changes)),
        memory.Budget(budget_bytes),
    )
    server.start()
    try:
        yield server, handler
    finally:
        server.stop()


def _connect_with_hello(server: call_server.CallServer) -> socket.socket:
    connection = servers.connect(server.port)
    frames.send(connection, HELLO)
    assert messages.decode_hello(frames.receive(connection, LIMIT) or b"").node == "own"
    return connection


def _call(call_id: str = "c", body: bytes = b"", deadline_s: float = 5.0) -> model.Call:
    deadline = time.monotonic() + deadline_s
    return model.Call(call_id, "s", OPERATION, "GET", "/", [], body, deadline)


def _frame(call_id: str = "c", body: bytes = b"", incarnation: str = "i-1") -> bytes:
    payload = messages.encode_request(
        _call(call_id, body), incarnation, time.monotonic()
    )
    return frames.LENGTH_PREFIX.pack(len(payload)) + payload


def _reply(connection: socket.socket) -> generated.CallReply:
    return messages.decode_reply(frames.receive(connection, LIMIT) or b"")


def _wait_until_all_closed(server: call_server.CallServer) -> None:
    while server.open_connections():
        time.sleep(0.01)


BROKEN = {
    "garbage": b"GET / HTTP/1.1\r\n\r\n",
    "oversized": frames.LENGTH_PREFIX.pack(LIMIT + 1) + b"x",
    "huge": b"\xff\xff\xff\xff",
    "empty": frames.LENGTH_PREFIX.pack(0),
    "no msgpack": frames.LENGTH_PREFIX.pack(3) + b"\xc1\xc1\xc1",
    "another message": frames.LENGTH_PREFIX.pack(len(HELLO)) + HELLO,
    "two frames": _frame() + _frame(),
}


@pytest.mark.parametrize("name", BROKEN)
def test_broken_frame_closes_the_connection_with_goaway(name: str) -> None:
    """Guards against a broken frame that runs as a call or stops the server."""
    with _serving() as (server, handler):
        with _connect_with_hello(server) as connection:
            connection.sendall(BROKEN[name])
            reply = _reply(connection)
            assert messages.is_goaway(reply)
            assert reply.error_kind == "unreachable"
            assert connection.recv(1) == b""
        assert handler.requests == []
        assert server.broken_connections == 1
        with _connect_with_hello(server) as connection:
            connection.sendall(_frame(body=b"next"))
            assert _reply(connection).body == b"next"


@pytest.mark.parametrize("cut", [1, 4, 20])
def test_truncated_frame_does_not_run(cut: int) -> None:
    """Guards against running a call that arrived only in part."""
    with _serving() as (server, handler):
        with _connect_with_hello(server) as connection:
            connection.sendall(_frame()[:cut])
            connection.shutdown(socket.SHUT_WR)
            assert messages.is_goaway(_reply(connection))
        _wait_until_all_closed(server)
    assert handler.requests == []


@pytest.mark.parametrize("version", [0, 3, 99])
def test_unsupported_version_receives_the_own_version_and_is_closed(
    version: int,
) -> None:
    """Guards against nodes that misinterpret each other's messages."""
    hello = msgspec.msgpack.encode(
        {"version": version, "node": "x", "incarnation": "y", "added": 1}
    )
    with _serving() as (server, _), servers.connect(server.port) as connection:
        frames.send(connection, hello)
        answer = messages.decode_hello(frames.receive(connection, LIMIT) or b"")
        assert answer.version == messages.VERSION
        assert connection.recv(1) == b""


def test_next_version_with_unknown_fields_is_accepted() -> None:
    """Guards against a rolling upgrade in which old and new nodes cannot talk."""
    hello = {"version": 2, "node": "x", "incarnation": "y", "added": [1]}
    with _serving() as (server, _), servers.connect(server.port) as connection:
        frames.send(connection, msgspec.msgpack.encode(hello))
        frames.receive(connection, LIMIT)
        connection.sendall(_frame(body=b"a"))
        assert _reply(connection).body == b"a"


def test_slow_frame_is_closed_after_its_total_time() -> None:
    """Guards against a peer that occupies a thread by sending single bytes."""
    with _serving(header_timeout_s=0.3) as (server, handler):
        with _connect_with_hello(server) as connection:
            frame = _frame(body=b"x" * 1000)
            stop_sending = threading.Event()

            def trickle() -> None:
                for byte in frame:
                    if stop_sending.wait(0.02):
                        return
                    try:
                        connection.sendall(bytes([byte]))
                    except OSError:
                        return

            sender = threading.Thread(target=trickle)
            sender.start()
            assert messages.is_goaway(_reply(connection))
            stop_sending.set()
            sender.join()
        assert handler.requests == []


def test_idle_connection_is_closed_after_the_idle_timeout() -> None:
    """Guards against idle connections that are kept forever."""
    with (
        _serving(idle_timeout_s=0.1) as (server, _),
        _connect_with_hello(server) as connection,
    ):
        assert _reply(connection).error_kind == "unreachable"
        assert connection.recv(1) == b""


def test_connection_without_hello_is_closed(monkeypatch) -> None:
    """Guards against connections whose peer never identifies itself."""
    monkeypatch.setattr(call_server, "HANDSHAKE_TIMEOUT_S", 0.1)
    with _serving() as (server, _), servers.connect(server.port) as connection:
        assert connection.recv(1) == b""


def test_connection_beyond_the_limit_is_closed() -> None:
    """Guards against an unbounded number of threads."""
    with _serving(max_connections=1) as (server, _), _connect_with_hello(server):
        with servers.connect(server.port) as second, contextlib.suppress(OSError):
            assert second.recv(1) == b""
        assert server.refused_connections == 1


def test_frame_beyond_the_memory_budget_is_refused_as_overloaded() -> None:
    """Guards against memory exhaustion by many frames at once."""
    with _serving(budget_bytes=5000) as (server, handler):
        with _connect_with_hello(server) as connection:
            connection.sendall(_frame(body=b"x" * 10000))
            assert _reply(connection).error_kind == "overloaded"
        assert handler.requests == []
        with _connect_with_hello(server) as connection:
            connection.sendall(_frame(body=b"x" * 3000))
            assert len(_reply(connection).body) == 3000
        _wait_until_all_closed(server)
        assert server._budget.used() == 0


def test_call_for_an_earlier_process_does_not_run() -> None:
    """Guards against a call that reaches another process at a reused address."""
    with _serving() as (server, handler), _connect_with_hello(server) as connection:
        connection.sendall(_frame(incarnation="i-0"))
        assert _reply(connection).error_kind == "stale-incarnation"
        assert handler.requests == []


def test_closed_connection_cancels_its_call() -> None:
    """Guards against a call that runs on after its caller has disconnected."""
    with _serving() as (server, handler):
        handler.release.clear()
        with _connect_with_hello(server) as connection:
            connection.sendall(_frame())
            assert handler.entered.wait(5)
        # Gives the end of the stream time to arrive before the call continues.
        time.sleep(0.05)
        handler.release.set()
        _wait_until_all_closed(server)
        assert handler.cancelled


def test_stop_answers_running_calls_and_calls_sent_before_it() -> None:
    """Guards against calls that are cut off or dropped while the node stops."""
    with _serving() as (server, handler):
        port = server.port
        running, idle, late = (_connect_with_hello(server) for _ in range(3))
        handler.release.clear()
        running.sendall(_frame("r", b"done"))
        assert handler.entered.wait(5)
        server._stopping = True
        late.sendall(_frame("x"))
        server.stop()
        reply = _reply(late)
        assert (reply.call_id, reply.error_kind) == ("x", "leaving")
        goaway = _reply(idle)
        assert messages.is_goaway(goaway)
        assert goaway.error_kind == "leaving"
        handler.release.set()
        assert _reply(running).body == b"done"
        assert messages.is_goaway(_reply(running))
        with pytest.raises(OSError, match="refused"):
            servers.connect(port)
        for connection in (running, idle, late):
            connection.close()
        _wait_until_all_closed(server)
    assert [request.call_id for request in handler.requests] == ["r"]


class ScriptedNode:
    """Node that answers the first call with given bytes and then closes."""

    def __init__(self, *payloads: bytes) -> None:
        self.listener = socket.create_server((servers.HOST, 0))
        self.payloads = payloads
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        connection, _ = self.listener.accept()
        with connection, contextlib.suppress(OSError):
            frames.receive(connection, LIMIT)
            frames.send(connection, messages.encode_hello("own", "i-1"))
            frames.receive(connection, LIMIT)
            for payload in self.payloads:
                connection.sendall(payload)

    def forward(self, budget_bytes: int = LIMIT):
        address = f"{servers.HOST}:{self.listener.getsockname()[1]}"
        endpoint = model.Endpoint("own", "s", "d-1", "d", "", address)
        forwarder = forwarding.Forwarder(
            "other", "i-2", LIMIT, None, memory.Budget(budget_bytes)
        )
        try:
            return forwarder, forwarder.forward(_call(), endpoint)
        finally:
            forwarder.close()
            self.listener.close()


def _framed(payload: bytes) -> bytes:
    return frames.LENGTH_PREFIX.pack(len(payload)) + payload


REPLY = messages.encode_reply("c", Ok(model.Answer(200, [], b"abc")), None)
OTHER_REPLY = messages.encode_reply("d", Ok(model.Answer(200, [], b"abc")), None)
REPLIES = {
    "another call": (errors.Kind.CONNECTION_LOST, _framed(OTHER_REPLY)),
    "no call": (
        errors.Kind.CONNECTION_LOST,
        _framed(messages.encode_reply("", Ok(model.Answer(200, [], b"abc")), None)),
    ),
    "cut": (errors.Kind.CONNECTION_LOST, _framed(REPLY)[:-1]),
    "two": (errors.Kind.CONNECTION_LOST, _framed(REPLY) + _framed(REPLY)),
    "garbage": (errors.Kind.CONNECTION_LOST, _framed(b"\xc1")),
    "oversized": (errors.Kind.CONNECTION_LOST, frames.LENGTH_PREFIX.pack(LIMIT + 1)),
    "none": (errors.Kind.CONNECTION_LOST, b""),
    "goaway": (
        errors.Kind.LEAVING,
        _framed(messages.encode_goaway(errors.Kind.LEAVING)),
    ),
}


@pytest.mark.parametrize("name", REPLIES)
def test_only_the_reply_to_the_own_call_is_accepted(name: str) -> None:
    """Guards against taking the reply of another call, or claiming not-run wrongly."""
    kind, script = REPLIES[name]
    forwarder, outcome = ScriptedNode(script).forward()
    assert outcome.err_value.kind is kind
    assert forwarder.mismatched_replies == (name in ("another call", "no call"))


def test_reply_beyond_the_memory_budget_is_refused() -> None:
    """Guards against memory exhaustion by many replies of other nodes."""
    assert ScriptedNode(_framed(REPLY)).forward(len(REPLY))[1].ok_value.body == b"abc"
    outcome = ScriptedNode(_framed(REPLY)).forward(len(REPLY) - 1)[1]
    assert outcome.err_value.kind is errors.Kind.ANSWER_TOO_LARGE


def test_reply_to_the_own_call_is_returned() -> None:
    """Guards against the tests above passing because every reply is refused."""
    assert ScriptedNode(_framed(REPLY)).forward()[1].ok_value.body == b"abc"


class Pieces:
    """Connection that delivers bytes in given pieces."""

    def __init__(self, pieces: list[bytes]) -> None:
        self.pieces = [piece for piece in pieces if piece]

    def recv(self, size: int) -> bytes:
        if not self.pieces:
            return b""
        piece = self.pieces.pop(0)
        if len(piece) > size:
            self.pieces.insert(0, piece[size:])
        return piece[:size]

    def sendall(self, data: bytes) -> None:
        raise AssertionError


@seed(20261204)
@settings(max_examples=300, deadline=None, database=None)
@given(st.binary(max_size=200), st.data())
def test_frame_does_not_depend_on_how_bytes_arrive(
    payload: bytes, data: st.DataObject
) -> None:
    """Guards against frames that are cut or merged by the network."""
    sent = _framed(payload)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(sent)), max_size=8)))
    edges = [0, *cuts, len(sent)]
    pieces = [sent[a:b] for a, b in itertools.pairwise(edges)]
    assert frames.receive(Pieces(pieces), 200) == payload


@seed(20261204)
@settings(max_examples=300, deadline=None, database=None)
@given(st.binary(max_size=60))
def test_garbage_fails_as_one_of_the_known_errors(data: bytes) -> None:
    """Guards against an exception that ends the thread without closing."""
    with contextlib.suppress(frames.FrameError, msgspec.MsgspecError):
        payload = frames.receive(Pieces([data]), 50)
        messages.decode_request(payload or b"")
    with contextlib.suppress(msgspec.MsgspecError):
        messages.decode_hello(data)
    with contextlib.suppress(msgspec.MsgspecError):
        messages.decode_reply(data)
