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


def _greet(server: call_server.CallServer) -> socket.socket:
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


def _wait_until_empty(server: call_server.CallServer) -> None:
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
def test_broken_frame_ends_the_connection_as_not_run(name: str) -> None:
    """Guards against a broken frame that runs, or that stops the node."""
    with _serving() as (server, handler):
        with _greet(server) as connection:
            connection.sendall(BROKEN[name])
            reply = _reply(connection)
            assert messages.is_goaway(reply)
            assert reply.error_kind == "unreachable"
            assert connection.recv(1) == b""
        assert handler.requests == []
        assert server.broken_connections == 1
        with _greet(server) as connection:
            connection.sendall(_frame(body=b"next"))
            assert _reply(connection).body == b"next"


@pytest.mark.parametrize("cut", [1, 4, 20])
def test_truncated_frame_does_not_run(cut: int) -> None:
    """Guards against a call whose end never arrived."""
    with _serving() as (server, handler):
        with _greet(server) as connection:
            connection.sendall(_frame()[:cut])
            connection.shutdown(socket.SHUT_WR)
            assert messages.is_goaway(_reply(connection))
        _wait_until_empty(server)
    assert handler.requests == []


@pytest.mark.parametrize("version", [0, 3, 99])
def test_other_version_is_told_the_own_one_and_refused(version: int) -> None:
    """Guards against nodes that misread each other's messages."""
    hello = msgspec.msgpack.encode(
        {"version": version, "node": "x", "incarnation": "y", "added": 1}
    )
    with _serving() as (server, _), servers.connect(server.port) as connection:
        frames.send(connection, hello)
        answer = messages.decode_hello(frames.receive(connection, LIMIT) or b"")
        assert answer.version == messages.VERSION
        assert connection.recv(1) == b""


def test_next_version_with_unknown_fields_is_accepted() -> None:
    """Guards against an upgrade that cuts the old nodes off."""
    hello = {"version": 2, "node": "x", "incarnation": "y", "added": [1]}
    with _serving() as (server, _), servers.connect(server.port) as connection:
        frames.send(connection, msgspec.msgpack.encode(hello))
        frames.receive(connection, LIMIT)
        connection.sendall(_frame(body=b"a"))
        assert _reply(connection).body == b"a"


def test_slow_frame_ends_after_its_total_time() -> None:
    """Guards against a peer that holds a thread by sending a byte now and then."""
    with _serving(header_timeout_s=0.3) as (server, handler):
        with _greet(server) as connection:
            frame = _frame(body=b"x" * 1000)
            done = threading.Event()

            def trickle() -> None:
                for byte in frame:
                    if done.wait(0.02):
                        return
                    try:
                        connection.sendall(bytes([byte]))
                    except OSError:
                        return

            sender = threading.Thread(target=trickle)
            sender.start()
            assert messages.is_goaway(_reply(connection))
            done.set()
            sender.join()
        assert handler.requests == []


def test_silent_peer_is_closed_after_the_idle_time() -> None:
    """Guards against idle connections that are kept forever."""
    with _serving(idle_timeout_s=0.1) as (server, _), _greet(server) as connection:
        assert _reply(connection).error_kind == "unreachable"
        assert connection.recv(1) == b""


def test_silent_connection_without_hello_is_closed(monkeypatch) -> None:
    """Guards against connections that never say who they are."""
    monkeypatch.setattr(call_server, "HANDSHAKE_TIMEOUT_S", 0.1)
    with _serving() as (server, _), servers.connect(server.port) as connection:
        assert connection.recv(1) == b""


def test_connection_beyond_the_limit_is_closed() -> None:
    """Guards against threads without bound."""
    with _serving(max_connections=1) as (server, _), _greet(server):
        with servers.connect(server.port) as second, contextlib.suppress(OSError):
            assert second.recv(1) == b""
        assert server.refused_connections == 1


def test_frame_beyond_the_memory_budget_is_overloaded() -> None:
    """Guards against memory that many frames at once exhaust."""
    with _serving(budget_bytes=5000) as (server, handler):
        with _greet(server) as connection:
            connection.sendall(_frame(body=b"x" * 10000))
            assert _reply(connection).error_kind == "overloaded"
        assert handler.requests == []
        with _greet(server) as connection:
            connection.sendall(_frame(body=b"x" * 3000))
            assert len(_reply(connection).body) == 3000
        _wait_until_empty(server)
        assert server._budget.used() == 0


def test_call_for_an_earlier_process_does_not_run() -> None:
    """Guards against a call that reaches another process at a reused address."""
    with _serving() as (server, handler), _greet(server) as connection:
        connection.sendall(_frame(incarnation="i-0"))
        assert _reply(connection).error_kind == "stale-incarnation"
        assert handler.requests == []


def test_closed_connection_cancels_its_call() -> None:
    """Guards against a call that runs although nobody waits for it."""
    with _serving() as (server, handler):
        handler.release.clear()
        with _greet(server) as connection:
            connection.sendall(_frame())
            assert handler.entered.wait(5)
        # The end of the stream arrives over loopback before the call goes on.
        time.sleep(0.05)
        handler.release.set()
        _wait_until_empty(server)
        assert handler.cancelled


def test_stop_answers_what_runs_and_what_crosses_it() -> None:
    """Guards against calls that are cut or dropped while the node stops."""
    with _serving() as (server, handler):
        port = server.port
        running, idle, crossing = (_greet(server) for _ in range(3))
        handler.release.clear()
        running.sendall(_frame("r", b"done"))
        assert handler.entered.wait(5)
        server._stopping = True
        crossing.sendall(_frame("x"))
        server.stop()
        reply = _reply(crossing)
        assert (reply.call_id, reply.error_kind) == ("x", "leaving")
        goodbye = _reply(idle)
        assert messages.is_goaway(goodbye)
        assert goodbye.error_kind == "leaving"
        handler.release.set()
        assert _reply(running).body == b"done"
        assert messages.is_goaway(_reply(running))
        with pytest.raises(OSError, match="refused"):
            servers.connect(port)
        for connection in (running, idle, crossing):
            connection.close()
        _wait_until_empty(server)
    assert [request.call_id for request in handler.requests] == ["r"]


class Peer:
    """Answers the first call with scripted frames, then closes."""

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
OTHER = messages.encode_reply("d", Ok(model.Answer(200, [], b"abc")), None)
REPLIES = {
    "another call": (errors.Kind.CONNECTION_LOST, _framed(OTHER)),
    "no call": (
        errors.Kind.CONNECTION_LOST,
        _framed(messages.encode_reply("", Ok(model.Answer(200, [], b"abc")), None)),
    ),
    "cut": (errors.Kind.CONNECTION_LOST, _framed(REPLY)[:-1]),
    "two": (errors.Kind.CONNECTION_LOST, _framed(REPLY) + _framed(REPLY)),
    "garbage": (errors.Kind.CONNECTION_LOST, _framed(b"\xc1")),
    "oversized": (errors.Kind.CONNECTION_LOST, frames.LENGTH_PREFIX.pack(LIMIT + 1)),
    "none": (errors.Kind.CONNECTION_LOST, b""),
    "goodbye": (
        errors.Kind.LEAVING,
        _framed(messages.encode_goaway(errors.Kind.LEAVING)),
    ),
}


@pytest.mark.parametrize("name", REPLIES)
def test_only_the_own_reply_is_taken(name: str) -> None:
    """Guards against another call's answer, and against a false not-run."""
    kind, script = REPLIES[name]
    forwarder, outcome = Peer(script).forward()
    assert outcome.err_value.kind is kind
    assert forwarder.mismatched_replies == (name in ("another call", "no call"))


def test_reply_beyond_the_memory_budget_is_too_large() -> None:
    """Guards against memory that many answers of other nodes exhaust."""
    assert Peer(_framed(REPLY)).forward(len(REPLY))[1].ok_value.body == b"abc"
    outcome = Peer(_framed(REPLY)).forward(len(REPLY) - 1)[1]
    assert outcome.err_value.kind is errors.Kind.ANSWER_TOO_LARGE


def test_own_reply_is_returned() -> None:
    """Guards against tests above that pass because nothing works."""
    assert Peer(_framed(REPLY)).forward()[1].ok_value.body == b"abc"


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
