from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from typing import Any

import platform_store
import pytest

from bench import loopback
from snipelink.mesh import channel, watcher
from snipelink.session import http, memory, request_reader
from tests.platform import test_platform_documents as documents

ADDRESS = (loopback.next_host(), 21390)
Answer = Callable[[http.Request], bytes | None]


def item(key: str, value: bytes, revision: int = 5) -> dict[str, Any]:
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "revision": revision, "created": 1, "lease": 0}


def server_item(name: str, **changes: Any) -> dict[str, Any]:
    value = json.dumps(documents.SERVER | changes).encode()
    return item(f"servers/{name}", value)


def reply(body: dict[str, Any], status: int = 200) -> bytes:
    response = http.Response(status, [], json.dumps(body).encode())
    return http.encode_response(response, "GET", True)


class Limits:
    max_header_bytes = 8192
    max_body_bytes = 0


@contextlib.asynccontextmanager
async def store(answer: Answer) -> AsyncIterator[platform_store.Store]:
    """Serve what `answer` returns for each request; None keeps silent."""

    async def serve(stream: channel.Channel) -> None:
        charge = memory.PoolCharge(memory.Pool(0))
        reader = request_reader.RequestReader(Limits(), charge)
        while data := await stream.receive():
            reader.feed(data)
            while (request := reader.next_request()) is not None:
                if (answered := answer(request)) is not None:
                    stream.write(answered)

    listener = await channel.listen(ADDRESS, serve, 10)
    try:
        yield platform_store.Store(ADDRESS)
    finally:
        listener.close()


def test_read_collects_all_pages_and_skips_what_is_unreadable() -> None:
    pages = [
        {
            "items": [
                item("op/config", documents._configuration()),
                server_item("i-1"),
                item("servers/i-2", b"\xff\xfe"),
            ],
            "has_more": True,
            "as_of": 7,
        },
        {
            "items": [item("op/evacuate/z-1", b"{}"), server_item("i-3")],
            "has_more": False,
            "as_of": 9,
        },
    ]
    asked: list[str] = []

    def answer(request: http.Request) -> bytes:
        asked.append(request.raw_target)
        return reply(pages[len(asked) - 1])

    async def check() -> None:
        async with store(answer) as client:
            published = await client.read(fresh=True)
        assert published.revision == 7
        assert published.configuration is not None
        assert published.configuration.version == 12
        assert [instance.id for instance in published.instances] == ["i-1", "i-3"]
        assert published.evacuated == ("z-1",)
        assert "after=servers%2Fi-2" in asked[1]
        assert not any("serializable" in target for target in asked)

    asyncio.run(check())


def test_read_that_may_be_old_counts_from_its_oldest_page() -> None:
    pages = [
        {"items": [server_item("i-1")], "has_more": True, "as_of": 9},
        {"items": [server_item("i-3")], "has_more": False, "as_of": 7},
    ]
    asked: list[str] = []

    def answer(request: http.Request) -> bytes:
        asked.append(request.raw_target)
        return reply(pages[len(asked) - 1])

    async def check() -> None:
        async with store(answer) as client:
            published = await client.read(fresh=False)
        assert published.revision == 7
        assert all("serializable=1" in target for target in asked)

    asyncio.run(check())


def test_watch_tells_changes_removals_and_what_became_unreadable() -> None:
    events = [
        server_item("i-1", state="draining"),
        {"key": "servers/i-2", "revision": 8, "deleted": True},
        item("servers/i-3", b"{}"),
        server_item("i-4"),
        {"key": "servers/i-4", "revision": 9, "deleted": True},
        item("elsewhere", b"x"),
        item("op/evacuate/z-1", b""),
        item("op/evacuate/z-2", b"{}"),
        {"key": "op/evacuate/z-2", "revision": 10, "deleted": True},
    ]

    async def check() -> None:
        body = {"events": events, "as_of": 11}
        async with store(lambda request: reply(body)) as client:
            changes = await client.watch(5, 1.0)
        assert changes.revision == 11
        assert [i.id for i in changes.instances] == ["i-1"]
        assert changes.instances[0].leaving
        assert set(changes.removed) == {"i-2", "i-3", "i-4"}
        assert (changes.evacuated, changes.restored) == (("z-1",), ("z-2",))

    asyncio.run(check())


def test_lost_history_is_told_apart_from_errors() -> None:
    async def check() -> None:
        async with store(lambda request: reply({}, 410)) as client:
            with pytest.raises(watcher.HistoryLost):
                await client.watch(5, 1.0)

    asyncio.run(check())


@pytest.mark.parametrize(
    "answer",
    [reply({}, 503), reply({}, 429), reply({"items": 3}), b"nonsense\r\n\r\n"],
    ids=["busy", "too many", "unreadable", "no http"],
)
def test_refusals_and_garbage_are_errors_of_the_source(answer: bytes) -> None:
    async def check() -> None:
        async with store(lambda request: answer) as client:
            with pytest.raises(watcher.StoreError):
                await client.read(fresh=True)

    asyncio.run(check())


def test_lost_answer_ends_the_connection_and_the_next_read_works() -> None:
    answers = [None, reply({"items": [], "has_more": False, "as_of": 3})]

    async def check() -> None:
        async with store(lambda request: answers.pop(0)) as client:
            with pytest.raises(watcher.StoreError):
                await client.read(fresh=True)
            assert (await client.read(fresh=True)).revision == 3

    asyncio.run(check())


def test_store_that_is_down_is_an_error_of_the_source() -> None:
    async def check() -> None:
        with pytest.raises(watcher.StoreError):
            await platform_store.Store(("127.0.0.1", 1)).read(fresh=True)

    asyncio.run(check())
