from __future__ import annotations

import contextlib
import gc
import socket
import threading
import time
import typing
import weakref

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from result import Err, Ok

from snipelink import errors
from snipelink.execute import endpoint_client
from snipelink.session import memory

HOST = "127.0.0.1"
OK = b"HTTP/1.1 200 OK\r\n"
SIZED = OK + b"Content-Length: 3\r\n\r\nabc"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
MAX_BYTES = 1000
INCOMPLETE = errors.Kind.ANSWER_INCOMPLETE
INVALID = errors.Kind.ANSWER_INVALID
TOO_LARGE = errors.Kind.ANSWER_TOO_LARGE


class ScriptedEndpoint:
    """Sends the next scripted bytes for each request.

    It closes a connection after one response unless `keep_open` is set.
    """

    def __init__(
        self, *scripts: bytes, keep_open: bool = True, head_only: bool = False
    ):
        self.scripts = list(scripts)
        self.keep_open = keep_open
        self.head_only = head_only
        self.accepted = 0
        self.received: list[bytes] = []
        self.listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                self.accepted += 1
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            while self.scripts:
                data = b""
                while b"\r\n\r\n" not in data:
                    if not (part := connection.recv(65536)):
                        return
                    data += part
                self.received.append(data)
                connection.sendall(self.scripts.pop(0))
                if not self.keep_open:
                    return
            # Keeps the connection open until the client closes it or 5 s have passed.
            connection.settimeout(5)
            while not self.head_only and connection.recv(65536):
                pass


@contextlib.contextmanager
def _client(
    endpoint: ScriptedEndpoint, budget: int = 100000
) -> typing.Iterator[endpoint_client.EndpointClient]:
    client = endpoint_client.EndpointClient(
        endpoint.address, "e-1", memory.Budget(budget)
    )
    try:
        yield client
    finally:
        client.close()
        endpoint.listener.close()


def _request(
    client: endpoint_client.EndpointClient,
    method: str = "GET",
    body: bytes = b"",
    timeout_s: float = 5.0,
):
    deadline = time.monotonic() + timeout_s
    return client.request(method, "/", [("host", "h")], body, deadline, MAX_BYTES)


ANSWERS: dict[str, tuple[errors.Kind | bytes, bytes]] = {
    "sized": (b"abc", SIZED),
    "chunked": (b"abcde", CHUNKED + b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"),
    "chunked with trailer": (b"a", CHUNKED + b"1\r\na\r\n0\r\nX-T: 1\r\n\r\n"),
    "no content": (b"", b"HTTP/1.1 204 No Content\r\n\r\n"),
    "not modified": (b"", b"HTTP/1.1 304 N\r\nContent-Length: 5\r\n\r\n"),
    "interim": (b"abc", b"HTTP/1.1 103 E\r\nLink: x\r\n\r\n" + SIZED),
    "old version": (b"abc", SIZED.replace(b"1.1", b"1.0")),
    "closed before": (errors.Kind.CONNECTION_LOST, b""),
    "closed in head": (INCOMPLETE, OK + b"X: "),
    "interim only": (INCOMPLETE, b"HTTP/1.1 100 C\r\n\r\n"),
    "short body": (INCOMPLETE, OK + b"Content-Length: 4\r\n\r\nabc"),
    "missing last chunk": (INCOMPLETE, CHUNKED + b"3\r\nabc\r\n"),
    "missing end of trailers": (INCOMPLETE, CHUNKED + b"1\r\na\r\n0\r\n"),
    "no length": (INCOMPLETE, OK + b"\r\nabc"),
    "no length, close": (INCOMPLETE, OK + b"Connection: close\r\n\r\nabc"),
    "no length, old": (INCOMPLETE, b"HTTP/1.0 200 OK\r\n\r\nabc"),
    "two lengths": (INVALID, OK + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc"),
    "length list": (INVALID, OK + b"Content-Length: 3, 3\r\n\r\nabc"),
    "length and coding": (
        INVALID,
        OK + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
    "coding gzip": (INVALID, OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n"),
    "coding in 1.0": (INVALID, CHUNKED.replace(b"1.1", b"1.0") + b"0\r\n\r\n"),
    "switch": (INVALID, b"HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"),
    "status 000": (INVALID, b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"),
    "status 0": (INVALID, b"HTTP/1.1 0 X\r\nContent-Length: 0\r\n\r\n"),
    "status 099": (INVALID, b"HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n"),
    "no status": (INVALID, b"HTTP/1.1 X\r\nContent-Length: 0\r\n\r\n"),
    "long status": (INVALID, b"HTTP/1.1 2000 X\r\nContent-Length: 0\r\n\r\n"),
    "status 600": (INVALID, b"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n"),
    "version 2.0": (INVALID, b"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n"),
    "garbage": (INVALID, b"\x00\x01garbage\r\n\r\n"),
    "folded header": (INVALID, OK + b"X: a\r\n b\r\nContent-Length: 0\r\n\r\n"),
    "bare lf": (INVALID, b"HTTP/1.1 200 OK\nX: a\nContent-Length: 0\n\n"),
    "control in header": (INVALID, OK + b"X: a\x01\r\nContent-Length: 0\r\n\r\n"),
    "long head": (INVALID, OK + b"X: " + b"a" * 70000),
    "endless trailers": (INVALID, CHUNKED + b"0\r\n" + b"X: y\r\n" * 50000),
    "long body": (TOO_LARGE, OK + b"Content-Length: 1001\r\n\r\n"),
    "long chunks": (TOO_LARGE, CHUNKED + b"3e9\r\n" + b"a" * 1001 + b"\r\n0\r\n\r\n"),
}


@pytest.mark.parametrize("name", ANSWERS)
def test_only_complete_and_valid_answers_are_returned(name: str) -> None:
    """Guards against a partial answer that is returned as a complete one."""
    expected, script = ANSWERS[name]
    with _client(ScriptedEndpoint(script, keep_open=False)) as client:
        outcome = _request(client)
    if isinstance(expected, bytes):
        assert isinstance(outcome, Ok), outcome
        assert outcome.ok_value.body == expected
        assert all(
            field[0] not in ("link", "x-t") for field in outcome.ok_value.headers
        )
    else:
        assert isinstance(outcome, Err)
        assert outcome.err_value.kind is expected


def test_connection_is_reused_after_a_complete_answer() -> None:
    """Guards against a new connection for every call."""
    endpoint = ScriptedEndpoint(SIZED, b"HTTP/1.1 204 N\r\n\r\n", SIZED)
    with _client(endpoint) as client:
        assert [_request(client).ok_value.status for _ in range(3)] == [200, 204, 200]
    assert endpoint.accepted == 1


def test_answer_to_head_has_no_body_and_its_connection_is_reused() -> None:
    """Guards against waiting for the body that a HEAD answer's length announces."""
    head = OK + b"Content-Length: 5000\r\n\r\n"
    endpoint = ScriptedEndpoint(head, SIZED)
    with _client(endpoint) as client:
        assert ("content-length", "5000") in _request(client, "HEAD").ok_value.headers
        assert _request(client).ok_value.body == b"abc"
    assert endpoint.accepted == 1


@pytest.mark.parametrize(
    ("method", "script"),
    [
        ("GET", SIZED + SIZED),
        ("GET", SIZED + b"x"),
        ("GET", b"HTTP/1.1 204 N\r\n\r\nabc"),
        ("HEAD", SIZED),
    ],
)
def test_surplus_bytes_never_become_the_next_answer(method: str, script: bytes) -> None:
    """Guards against a caller that receives the answer to another request."""
    other = SIZED.replace(b"abc", b"xyz")
    endpoint = ScriptedEndpoint(script, other)
    with _client(endpoint) as client:
        assert isinstance(_request(client, method), Ok)
        assert _request(client).ok_value.body == b"xyz"
        assert client.unexpected_answers == 1
    assert endpoint.accepted == 2


def test_late_answer_on_an_idle_connection_is_discarded() -> None:
    """Guards against a late answer that is returned for the next request."""
    endpoint = ScriptedEndpoint(SIZED, SIZED.replace(b"abc", b"xyz"))
    with _client(endpoint) as client:
        assert _request(client).ok_value.body == b"abc"
        stream = client._idle_connections[0].stream
        stream._connection.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert stream.wait_readable(5)
        endpoint.scripts.append(SIZED)
        assert _request(client).ok_value.body == b"abc"
        assert client.unexpected_answers == 1
    assert endpoint.accepted == 2


@pytest.mark.parametrize("status", [b"429 Later", b"503 Full"])
def test_connection_is_not_reused_after_a_refusal(status: bytes) -> None:
    """Guards against a repeated refusal that is returned for the next request."""
    refusal = b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n"
    endpoint = ScriptedEndpoint(refusal, SIZED)
    with _client(endpoint) as client:
        assert isinstance(_request(client), Ok)
        assert _request(client).ok_value.body == b"abc"
    assert endpoint.accepted == 2


@pytest.mark.parametrize(
    "script", [b"Connection: close\r\n", b"Connection: X,Close\r\n"]
)
def test_connection_is_not_reused_when_the_endpoint_closes(script: bytes) -> None:
    """Guards against a request on a connection that is about to close."""
    answer = OK + script + b"Content-Length: 0\r\n\r\n"
    endpoint = ScriptedEndpoint(answer, SIZED)
    with _client(endpoint) as client:
        assert isinstance(_request(client), Ok)
        assert isinstance(_request(client), Ok)
    assert endpoint.accepted == 2


def test_connection_is_not_reused_after_the_idle_limit(monkeypatch) -> None:
    """Guards against a request in transit while the endpoint closes the connection."""
    monkeypatch.setattr(endpoint_client, "MAX_IDLE_S", 0.0)
    endpoint = ScriptedEndpoint(SIZED, SIZED)
    with _client(endpoint) as client:
        assert isinstance(_request(client), Ok)
        assert isinstance(_request(client), Ok)
    assert endpoint.accepted == 2


@pytest.mark.parametrize("keep_open", [True, False])
def test_answer_sent_before_the_end_of_the_request_is_returned(keep_open: bool) -> None:
    """Guards against an early answer that is lost because sending failed."""
    early = b"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno"
    endpoint = ScriptedEndpoint(early, keep_open=keep_open, head_only=True)
    with _client(endpoint) as client:
        outcome = _request(client, "POST", b"x" * (16 << 20))
        if isinstance(outcome, Err):
            # A TCP reset may discard the answer before the client has read it.
            assert not keep_open
            assert outcome.err_value.kind is errors.Kind.CONNECTION_LOST
        else:
            assert outcome.ok_value.status == 413
        assert not client._idle_connections


def test_call_to_a_silent_endpoint_ends_at_the_deadline() -> None:
    """Guards against a call that outlives its deadline or is reported as not run."""
    with _client(ScriptedEndpoint(b"", OK)) as client:
        outcome = _request(client, timeout_s=0.2)
    assert outcome.err_value.kind is errors.Kind.DEADLINE_UNKNOWN


def test_refused_connection_is_reported_as_unreachable() -> None:
    """Guards against unknown execution for a call that was never sent."""
    with socket.socket() as unused:
        unused.bind((HOST, 0))
        address = f"{HOST}:{unused.getsockname()[1]}"
        client = endpoint_client.EndpointClient(address, "e-1", memory.Budget(1))
        outcome = _request(client)
    assert outcome.err_value.kind is errors.Kind.UNREACHABLE


def test_answers_share_the_memory_budget() -> None:
    """Guards against concurrent answers that exhaust the memory."""
    long = OK + b"Content-Length: 900\r\n\r\n" + b"a" * 900
    with _client(ScriptedEndpoint(long, long), budget=1000) as client:
        assert isinstance(_request(client), Ok)
        assert _request(client).err_value.kind is TOO_LARGE
        client._budget.release()
        assert client._budget.used() == 0


@pytest.mark.parametrize("field", [("x", "a\r\nY: b"), ("x\n", "a"), ("x", "\0")])
def test_request_header_that_would_split_the_request_is_refused(field) -> None:
    """Guards against request smuggling by a line break in a forwarded header."""
    endpoint = ScriptedEndpoint(SIZED)
    with _client(endpoint) as client:
        deadline = time.monotonic() + 5
        outcome = client.request("GET", "/", [field], b"", deadline, MAX_BYTES)
    assert outcome.err_value.kind is errors.Kind.BAD_REQUEST
    assert endpoint.accepted == 0


@seed(20261204)
@settings(max_examples=300, deadline=None, database=None)
@given(
    st.sampled_from([SIZED, CHUNKED + b"3\r\nabc\r\n0\r\n\r\n"]),
    st.data(),
)
def test_cut_answer_is_never_complete(script: bytes, data: st.DataObject) -> None:
    """Guards against a truncated answer that reaches the caller as complete."""
    cut = data.draw(st.integers(0, len(script) - 1))
    middle = data.draw(st.integers(0, cut))
    reader = endpoint_client._ResponseReader("GET", MAX_BYTES, memory.Budget(10000))
    reader.feed(script[:middle])
    reader.feed(script[middle:cut])
    assert not reader.done
    reader.feed(script[cut:])
    assert reader.done
    assert reader.body == b"abc"


@seed(20261204)
@settings(max_examples=300, deadline=None, database=None)
@given(st.sampled_from(sorted(ANSWERS)), st.integers(0, 100), st.binary(max_size=4))
def test_changed_answers_fail_only_as_invalid(
    name: str, position: int, inserted: bytes
) -> None:
    """Guards against an exception that no error kind is made for."""
    script = ANSWERS[name][1][:300]
    reader = endpoint_client._ResponseReader("GET", MAX_BYTES, memory.Budget(10000))
    with contextlib.suppress(endpoint_client._InvalidAnswerError):
        reader.feed(script[:position] + inserted + script[position:])
    assert len(reader.body) <= MAX_BYTES


def test_closed_reader_is_freed_without_a_garbage_collection() -> None:
    """Guards against broken-off answers that stay in memory beyond their budget."""
    gc.disable()
    try:
        reader = endpoint_client._ResponseReader("GET", MAX_BYTES, memory.Budget(10000))
        with contextlib.suppress(endpoint_client._InvalidAnswerError):
            reader.feed(SIZED.split(b"\r\n\r\n")[0] + b"\r\n\r\na")
        reader.close()
        freed = weakref.ref(reader)
        del reader
        assert freed() is None
    finally:
        gc.enable()
