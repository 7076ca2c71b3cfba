from __future__ import annotations

import asyncio
import time

import pytest

from bench import loopback
from snipelink import errors
from snipelink.mesh import channel, endpoint
from tests.mesh import fleet

ADDRESS = (loopback.next_host(), 21395)


def _answer(call_id: str, *fields: str) -> bytes:
    lines = ["HTTP/1.1 200 OK", f"{fleet.NAMES.call_id}: {call_id}", *fields]
    return "\r\n".join([*lines, "content-length: 0", "", ""]).encode()


def _exchange(call_id: str, *, idempotent: bool = True) -> endpoint.Exchange:
    payload = endpoint.encode("GET", "/x", [("host", "x")], b"")
    deadline = time.monotonic() + 0.5
    return endpoint.Exchange(call_id, "GET", payload, deadline, idempotent)


def _connections(
    *fields: str, idle_s: float = 0.0, idempotent: bool = True, count: int = 2
) -> int:
    """Return the connections that requests with a pause between them take."""

    async def serve(stream: channel.Channel) -> None:
        while await stream.receive():
            stream.write(_answer("c", *fields))

    async def check() -> int:
        listener = await channel.listen(ADDRESS, serve, 10)
        client = endpoint.EndpointClient(ADDRESS, fleet.NAMES)
        try:
            for _ in range(count):
                sent = await client.send(_exchange("c", idempotent=idempotent))
                assert sent.is_ok()
                await asyncio.sleep(idle_s)
        finally:
            client.close()
            listener.close()
        return client.connections_opened

    return asyncio.run(check())


def test_connection_is_kept_for_the_next_request() -> None:
    assert _connections() == 1


def test_connection_that_the_endpoint_closes_is_not_used_again() -> None:
    assert _connections("connection: close") == 2


def test_connection_is_given_up_before_the_endpoint_forgets_it() -> None:
    assert _connections("keep-alive: timeout=1", idle_s=0.6) == 2


def test_call_that_may_run_once_uses_no_connection_that_was_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(endpoint, "MAX_IDLE_ONCE_S", 0.05)
    assert _connections(idle_s=0.1, idempotent=False) == 2
    assert _connections(idle_s=0.1) == 1


def test_failure_tells_whether_the_request_may_have_run() -> None:
    async def check() -> None:
        client = endpoint.EndpointClient(("127.0.0.1", 1), fleet.NAMES)
        refused = (await client.send(_exchange("c"))).unwrap_err()
        assert refused.kind is errors.Kind.UNREACHABLE
        assert refused.not_run

        async def end(stream: channel.Channel) -> None:
            await stream.receive()

        listener = await channel.listen(ADDRESS, end, 10)
        client = endpoint.EndpointClient(ADDRESS, fleet.NAMES)
        lost = (await client.send(_exchange("c"))).unwrap_err()
        listener.close()
        assert lost.kind is errors.Kind.CONNECTION_LOST
        assert not lost.not_run

    asyncio.run(check())
