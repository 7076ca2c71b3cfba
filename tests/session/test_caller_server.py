from __future__ import annotations

import socket
import threading
import time

import pytest

from snipelink import errors
from snipelink.session import http
from tests.session import servers

GET = b"GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n"
POST = b"POST /p HTTP/1.1\r\nHost: a.example\r\n"
CLOSE = b"GET /last HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n"


@pytest.fixture
def recorder() -> servers.Recorder:
    return servers.Recorder()


def _targets(recorder: servers.Recorder) -> list[str]:
    return [request.target for request in recorder.requests]


ACCEPTED = {
    "plain": (b"GET /a?b=[c] HTTP/1.1\r\nHost: A.Example:80\r\n", "/a?b=[c]"),
    "absolute": (b"GET http://a.example HTTP/1.1\r\nHost: a.example\r\n", "/"),
    "asterisk": (b"OPTIONS * HTTP/1.1\r\nHost: a.example\r\n", "*"),
    "decoded": (b"GET /%61%7e/%2A%3b HTTP/1.1\r\nHost: a.example\r\n", "/a~/%2A%3B"),
    "dots inside": (b"GET /a..b/...c HTTP/1.1\r\nHost: a.example\r\n", "/a..b/...c"),
    "upgrade": (
        b"GET /u HTTP/1.1\r\nHost: a.example\r\n"
        b"Upgrade: websocket\r\nConnection: upgrade\r\n",
        "/u",
    ),
    "empty line first": (b"\r\nGET /e HTTP/1.1\r\nHost: a.example\r\n", "/e"),
}


@pytest.mark.parametrize("name", ACCEPTED)
def test_unusual_but_valid_request_is_accepted(recorder, name: str) -> None:
    """Guards against rules that refuse valid requests."""
    head, target = ACCEPTED[name]
    with servers.serving(recorder.handle) as (_, port):
        responses = servers.exchange(port, head + b"\r\n" + CLOSE)
    assert servers.statuses(responses) == [200, 200]
    assert _targets(recorder) == [target, "/last"]
    assert recorder.requests[0].host == "a.example"
    assert recorder.requests[0].path == target.split("?")[0]


def test_pipelined_requests_are_answered_in_order(recorder) -> None:
    """Guards against responses that are swapped or missing."""

    def echo(request: http.Request, cancelled: object) -> http.Response:
        return http.Response(200, [], request.target.encode() + request.body)

    chunked = POST + b"Transfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n"
    sized = POST + b"Content-Length: 3\r\n\r\nabc"
    with servers.serving(echo) as (_, port):
        responses = servers.exchange(port, GET + chunked + sized + CLOSE + GET)
    assert [
        part.split(b"\r\n\r\n")[1] for part in responses.split(b"HTTP/1.1")[1:]
    ] == [
        b"/a",
        b"/pxy",
        b"/pabc",
        b"/last",
    ]


def test_requests_before_a_refused_one_are_answered(recorder) -> None:
    """Guards against a refusal that precedes or replaces earlier responses."""
    with servers.serving(recorder.handle) as (server, port):
        responses = servers.exchange(port, GET + b"GET /b HTTP/1.1\r\n\r\n" + GET)
        assert server.refused_by_kind == {errors.Kind.BAD_REQUEST: 1}
    assert servers.statuses(responses) == [200, 400]
    assert _targets(recorder) == ["/a"]


def test_http_1_0_request_is_answered_and_closed(recorder) -> None:
    """Guards against an HTTP/1.0 caller that waits for the end of the response."""
    head = b"GET /old HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
    with servers.serving(recorder.handle) as (_, port):
        responses = servers.exchange(port, head)
    assert b"connection: close" in responses
    assert responses.endswith(servers.BODY)


def test_head_is_answered_without_body(recorder) -> None:
    """Guards against a body that the caller reads as the next response."""
    recorder.response = http.Response(200, [("content-length", "6")], b"answer")
    with servers.serving(recorder.handle) as (_, port):
        responses = servers.exchange(port, GET.replace(b"GET", b"HEAD") + CLOSE)
    first = responses.split(b"HTTP/1.1 ")[1]
    assert first.endswith(b"\r\n\r\n")
    assert b"content-length: 6" in first


def test_continue_is_sent_before_the_body(recorder) -> None:
    """Guards against a caller that waits for 100 Continue until it times out."""
    expecting = POST + b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
    with (
        servers.serving(recorder.handle) as (_, port),
        servers.connect(port) as connection,
    ):
        connection.sendall(expecting)
        assert connection.recv(1000) == b"HTTP/1.1 100 Continue\r\n\r\n"
        connection.sendall(b"ab" + CLOSE)
        assert servers.statuses(servers.read_all(connection)) == [200, 200]
    assert recorder.requests[0].body == b"ab"


@pytest.mark.parametrize(
    ("start", "piece"),
    [(b"GET /a HT", b"1"), (POST + b"Content-Length: 999\r\n\r\n", b"1")],
)
def test_slow_sender_is_refused_after_the_total_time(
    recorder, start: bytes, piece: bytes
) -> None:
    """Guards against a caller that occupies a thread by sending single bytes."""
    done = threading.Event()

    def trickle(connection: socket.socket) -> None:
        while not done.wait(0.05):
            try:
                connection.sendall(piece)
            except OSError:
                return

    with (
        servers.serving(recorder.handle, header_timeout_s=0.4) as (_, port),
        servers.connect(port) as connection,
    ):
        connection.sendall(start)
        sender = threading.Thread(target=trickle, args=(connection,))
        sender.start()
        responses = servers.read_all(connection)
        done.set()
        sender.join()
    assert servers.statuses(responses) == [408]
    assert recorder.requests == []


def test_idle_connection_is_closed_without_a_response(recorder) -> None:
    """Guards against idle connections that are kept forever."""
    with servers.serving(recorder.handle, idle_timeout_s=0.1) as (_, port):
        assert servers.exchange(port, b"") == b""


def test_body_beyond_the_memory_budget_is_refused(recorder) -> None:
    """Guards against memory exhaustion by many bodies at once."""
    with servers.serving(recorder.handle, budget_bytes=6000) as (server, port):
        with servers.connect(port) as holder:
            holder.sendall(POST + b"Content-Length: 5000\r\n\r\n" + b"a" * 4999)
            while server.budget.used() < 4999:
                time.sleep(0.01)
            request = POST + b"Content-Length: 2000\r\n\r\n" + b"a" * 2000
            responses = servers.exchange(port, request)
            holder.sendall(b"a" + CLOSE)
            assert servers.statuses(servers.read_all(holder)) == [200, 200]
        assert server.budget.used() == 0
    assert servers.kinds(responses) == ["overloaded"]


def test_connection_beyond_the_limit_is_refused(recorder) -> None:
    """Guards against unbounded threads and against a refusal without a response."""
    with (
        servers.serving(recorder.handle, max_connections=1) as (_, port),
        servers.connect(port) as first,
    ):
        first.sendall(GET)
        first.recv(1000)
        with servers.connect(port) as second:
            assert servers.kinds(servers.read_all(second)) == ["overloaded"]
        first.sendall(CLOSE)
        assert servers.statuses(servers.read_all(first)) == [200]


@pytest.mark.parametrize("value", ["a\r\nX: b", "a\nb", "a\0b", "\u4f60"])
def test_response_with_a_splitting_header_is_replaced(recorder, value: str) -> None:
    """Guards against response splitting by a header value."""
    recorder.response = http.Response(200, [("x-one", value)], b"")
    with servers.serving(recorder.handle) as (_, port):
        responses = servers.exchange(port, CLOSE)
    assert servers.kinds(responses) == ["answer-invalid"]


def test_failing_handler_is_answered_as_internal_error() -> None:
    """Guards against a handler error that closes the connection without a response."""

    def fail(*_: object) -> http.Response:
        raise RuntimeError("fault")

    with servers.serving(fail) as (_, port):
        assert servers.kinds(servers.exchange(port, CLOSE)) == ["internal"]


def test_closed_caller_is_detected_and_pipelined_data_is_kept() -> None:
    """Guards against calls that outlive their caller, and against lost requests."""
    entered, seen = threading.Event(), []

    def wait(request: http.Request, cancelled) -> http.Response:
        entered.set()
        for _ in range(500 if request.target == "/gone" else 5):
            if cancelled():
                seen.append(request.target)
                break
            time.sleep(0.01)
        return http.Response(200, [])

    with servers.serving(wait) as (server, port):
        with servers.connect(port) as connection:
            connection.sendall(GET)
            entered.wait(5)
            connection.sendall(CLOSE)
            assert servers.statuses(servers.read_all(connection)) == [200, 200]
        assert seen == []
        entered.clear()
        with servers.connect(port) as connection:
            connection.sendall(GET.replace(b"/a", b"/gone"))
            entered.wait(5)
        while server.open_connections():
            time.sleep(0.01)
        assert seen == ["/gone"]


def test_stop_answers_running_requests_and_requests_sent_before_it() -> None:
    """Guards against calls that are cut off or dropped while the node stops."""
    entered, release = threading.Event(), threading.Event()

    def wait(request: http.Request, cancelled: object) -> http.Response:
        entered.set()
        release.wait(5)
        return http.Response(200, [], b"done")

    with servers.serving(wait) as (server, port):
        running, idle, fresh = (servers.connect(port) for _ in range(3))
        running.sendall(GET + GET)
        entered.wait(5)
        server.stopping = True
        idle.sendall(GET)
        fresh_read = threading.Thread(target=servers.read_all, args=(fresh,))
        fresh_read.start()
        server.stop_accepting()
        responses = servers.read_all(idle)
        assert servers.kinds(responses) == ["leaving"]
        assert b"connection: close" in responses
        fresh_read.join(5)
        assert not fresh_read.is_alive()
        assert server.busy_connections() == 1
        release.set()
        responses = servers.read_all(running)
        assert servers.statuses(responses) == [200, 503]
        assert b"connection: close" in responses.split(b"HTTP/1.1 ")[2]
        with pytest.raises(OSError, match="refused"):
            servers.connect(port)
        for connection in (running, idle, fresh):
            connection.close()
        while server.open_connections():
            time.sleep(0.01)
