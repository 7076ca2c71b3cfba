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
    """Guards against rules that refuse correct callers."""
    head, target = ACCEPTED[name]
    with servers.serving(recorder.handle) as (_, port):
        answers = servers.exchange(port, head + b"\r\n" + CLOSE)
    assert servers.statuses(answers) == [200, 200]
    assert _targets(recorder) == [target, "/last"]
    assert recorder.requests[0].host == "a.example"
    assert recorder.requests[0].path == target.split("?")[0]


def test_pipelined_requests_are_answered_in_order(recorder) -> None:
    """Guards against answers that are swapped or left out."""

    def echo(request: http.Request, cancelled: object) -> http.Response:
        return http.Response(200, [], request.target.encode() + request.body)

    chunked = POST + b"Transfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n"
    sized = POST + b"Content-Length: 3\r\n\r\nabc"
    with servers.serving(echo) as (_, port):
        answers = servers.exchange(port, GET + chunked + sized + CLOSE + GET)
    assert [part.split(b"\r\n\r\n")[1] for part in answers.split(b"HTTP/1.1")[1:]] == [
        b"/a",
        b"/pxy",
        b"/pabc",
        b"/last",
    ]


def test_requests_before_a_refused_one_are_answered(recorder) -> None:
    """Guards against a refusal that overtakes or swallows earlier answers."""
    with servers.serving(recorder.handle) as (server, port):
        answers = servers.exchange(port, GET + b"GET /b HTTP/1.1\r\n\r\n" + GET)
        assert server.refused_by_kind == {errors.Kind.BAD_REQUEST: 1}
    assert servers.statuses(answers) == [200, 400]
    assert _targets(recorder) == ["/a"]


def test_old_version_is_answered_and_closed(recorder) -> None:
    """Guards against a HTTP/1.0 caller that waits for the end of the answer."""
    head = b"GET /old HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
    with servers.serving(recorder.handle) as (_, port):
        answers = servers.exchange(port, head)
    assert b"connection: close" in answers
    assert answers.endswith(servers.BODY)


def test_head_is_answered_without_body(recorder) -> None:
    """Guards against a body that the caller reads as the next answer."""
    recorder.response = http.Response(200, [("content-length", "6")], b"answer")
    with servers.serving(recorder.handle) as (_, port):
        answers = servers.exchange(port, GET.replace(b"GET", b"HEAD") + CLOSE)
    first = answers.split(b"HTTP/1.1 ")[1]
    assert first.endswith(b"\r\n\r\n")
    assert b"content-length: 6" in first


def test_expectation_is_answered_before_the_body(recorder) -> None:
    """Guards against a caller that waits for 100 Continue until its time-out."""
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
def test_slow_sender_is_refused_by_the_total_time(
    recorder, start: bytes, piece: bytes
) -> None:
    """Guards against a caller that holds a thread by sending a byte now and then."""
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
        answers = servers.read_all(connection)
        done.set()
        sender.join()
    assert servers.statuses(answers) == [408]
    assert recorder.requests == []


def test_idle_connection_is_closed_without_an_answer(recorder) -> None:
    """Guards against idle connections that are kept forever."""
    with servers.serving(recorder.handle, idle_timeout_s=0.1) as (_, port):
        assert servers.exchange(port, b"") == b""


def test_body_beyond_the_memory_budget_is_refused(recorder) -> None:
    """Guards against memory that many bodies at once exhaust."""
    with servers.serving(recorder.handle, budget_bytes=6000) as (server, port):
        with servers.connect(port) as holder:
            holder.sendall(POST + b"Content-Length: 5000\r\n\r\n" + b"a" * 4999)
            while server.budget.used() < 4999:
                time.sleep(0.01)
            request = POST + b"Content-Length: 2000\r\n\r\n" + b"a" * 2000
            answers = servers.exchange(port, request)
            holder.sendall(b"a" + CLOSE)
            assert servers.statuses(servers.read_all(holder)) == [200, 200]
        assert server.budget.used() == 0
    assert servers.kinds(answers) == ["overloaded"]


def test_connection_beyond_the_limit_is_refused(recorder) -> None:
    """Guards against threads without bound, and against a silent refusal."""
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
def test_header_that_would_split_the_answer_is_replaced(recorder, value: str) -> None:
    """Guards against a second answer that a header value smuggles in."""
    recorder.response = http.Response(200, [("x-one", value)], b"")
    with servers.serving(recorder.handle) as (_, port):
        answers = servers.exchange(port, CLOSE)
    assert servers.kinds(answers) == ["answer-invalid"]


def test_failing_handler_does_not_leave_the_caller_without_answer() -> None:
    """Guards against a programming error that callers see as a closed connection."""

    def fail(*_: object) -> http.Response:
        raise RuntimeError("fault")

    with servers.serving(fail) as (_, port):
        assert servers.kinds(servers.exchange(port, CLOSE)) == ["internal"]


def test_closed_caller_is_noticed_and_pipelined_data_kept() -> None:
    """Guards against running calls whose caller is gone, and against lost requests."""
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


def test_stop_answers_what_runs_and_what_crosses_it() -> None:
    """Guards against calls that are cut or dropped while the node stops."""
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
        answers = servers.read_all(idle)
        assert servers.kinds(answers) == ["leaving"]
        assert b"connection: close" in answers
        fresh_read.join(5)
        assert not fresh_read.is_alive()
        assert server.busy_connections() == 1
        release.set()
        answers = servers.read_all(running)
        assert servers.statuses(answers) == [200, 503]
        assert b"connection: close" in answers.split(b"HTTP/1.1 ")[2]
        with pytest.raises(OSError, match="refused"):
            servers.connect(port)
        for connection in (running, idle, fresh):
            connection.close()
        while server.open_connections():
            time.sleep(0.01)
