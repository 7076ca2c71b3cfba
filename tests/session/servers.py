"""Server and raw connections shared by the tests of the session package."""

from __future__ import annotations

import contextlib
import socket
import ssl
import types
import typing

from snipelink import errors
from snipelink.execute import request_handler
from snipelink.session import caller_server, http, memory

HOST = "127.0.0.1"
BODY = b"answer"


def limits(**changes: object) -> types.SimpleNamespace:
    values: dict[str, object] = {
        "max_header_bytes": 4096,
        "max_body_bytes": 10000,
        "max_connections": 50,
        "header_timeout_s": 5.0,
        "idle_timeout_s": 5.0,
    }
    return types.SimpleNamespace(**(values | changes))


class Recorder:
    """Request handler that records all requests and returns a fixed response."""

    def __init__(self) -> None:
        self.requests: list[http.Request] = []
        self.response = http.Response(200, [("x-one", "1")], BODY)

    def handle(
        self, request: http.Request, cancelled: caller_server.Cancelled
    ) -> http.Response:
        self.requests.append(request)
        return self.response


@contextlib.contextmanager
def serving(
    handle: caller_server.Handle,
    budget_bytes: int = 1 << 20,
    tls_context: ssl.SSLContext | None = None,
    **changes: object,
) -> typing.Iterator[tuple[caller_server.CallerServer, int]]:
    """Run a caller server on a free port until the context ends."""
    server = caller_server.CallerServer(
        (HOST, 0),
        typing.cast(caller_server.Limits, limits(**changes)),
        handle,
        request_handler.failure_response,
        memory.Budget(budget_bytes),
        tls_context,
    )
    server.start_serving()
    try:
        yield server, server.socket.getsockname()[1]
    finally:
        server.stop_accepting()


def connect(port: int) -> socket.socket:
    connection = socket.create_connection((HOST, port), 10)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def read_all(connection: socket.socket) -> bytes:
    """Read until the server closes the connection."""
    data = b""
    while chunk := connection.recv(65536):
        data += chunk
    return data


def exchange(port: int, *parts: bytes) -> bytes:
    """Send the parts and return all received bytes until the server closes."""
    with connect(port) as connection:
        for part in parts:
            connection.sendall(part)
        return read_all(connection)


def kinds(responses: bytes) -> list[str]:
    """Return the error kinds of all responses in order."""
    return [
        line.split(b": ")[1].decode()
        for line in responses.split(b"\r\n")
        if line.startswith(b"snipelink-error: ")
    ]


def statuses(responses: bytes) -> list[int]:
    """Return the statuses of all responses in order."""
    return [int(part[:3]) for part in responses.split(b"HTTP/1.1 ")[1:]]


def status_of(kind: errors.Kind) -> int:
    return errors.TRAITS_BY_KIND[kind].status
