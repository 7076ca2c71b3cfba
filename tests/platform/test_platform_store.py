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
AnswerFunction = Callable[[http.Request], bytes | None]


def item_json(key: str, value: bytes, revision: int = 5) -> dict[str, Any]:
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "revision": revision, "created": 1, "lease": 0}


def server_item_json(name: str, **changes: Any) -> dict[str, Any]:
    value = json.dumps(documents.SERVER | changes).encode()
    return item_json(f"servers/{name}", value)


def encode_answer(
    body: dict[str, Any], status: int = 200, era: str | None = None
) -> bytes:
    fields = [] if era is None else [("Store-Era", era)]
    response = http.Response(status, fields, json.dumps(body).encode())
    return http.encode_response(response, "GET", True)


class Limits:
    max_header_bytes = 8192
    max_body_bytes = 0


@contextlib.asynccontextmanager
async def serve_store(answer: AnswerFunction) -> AsyncIterator[platform_store.Store]:
    """Run a store that sends the result of `answer`, or nothing if it is None."""

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


def test_read_collects_all_pages_and_skips_invalid_entries() -> None:
    pages = [
        {
            "items": [
                item_json("op/config", documents._configuration()),
                server_item_json("i-1"),
                item_json("servers/i-2", b"\xff\xfe"),
            ],
            "has_more": True,
            "as_of": 7,
        },
        {
            "items": [item_json("op/evacuate/z-1", b"{}"), server_item_json("i-3")],
            "has_more": False,
            "as_of": 9,
        },
    ]
    requested_targets: list[str] = []

    def answer(request: http.Request) -> bytes:
        requested_targets.append(request.raw_target)
        return encode_answer(pages[len(requested_targets) - 1])

    async def check() -> None:
        async with serve_store(answer) as client:
            published = await client.read(fresh=True)
        assert published.revision == 7
        assert published.configuration is not None
        assert published.configuration.version == 12
        assert [instance.id for instance in published.instances] == ["i-1", "i-3"]
        assert published.evacuated == ("z-1",)
        assert "after=servers%2Fi-2" in requested_targets[1]
        assert not any("serializable" in target for target in requested_targets)

    asyncio.run(check())


def test_stale_read_returns_the_lowest_revision_of_its_pages() -> None:
    """Guards against missing changes, if a later page is older than the first."""
    pages = [
        {"items": [server_item_json("i-1")], "has_more": True, "as_of": 9},
        {"items": [server_item_json("i-3")], "has_more": False, "as_of": 7},
    ]
    requested_targets: list[str] = []

    def answer(request: http.Request) -> bytes:
        requested_targets.append(request.raw_target)
        return encode_answer(pages[len(requested_targets) - 1])

    async def check() -> None:
        async with serve_store(answer) as client:
            published = await client.read(fresh=False)
        assert published.revision == 7
        assert all("serializable=1" in target for target in requested_targets)

    asyncio.run(check())


def test_watch_returns_changed_removed_and_invalid_entries() -> None:
    events = [
        server_item_json("i-1", state="draining"),
        {"key": "servers/i-2", "revision": 8, "deleted": True},
        item_json("servers/i-3", b"{}"),
        server_item_json("i-4"),
        {"key": "servers/i-4", "revision": 9, "deleted": True},
        item_json("elsewhere", b"x"),
        item_json("op/evacuate/z-1", b""),
        item_json("op/evacuate/z-2", b"{}"),
        {"key": "op/evacuate/z-2", "revision": 10, "deleted": True},
    ]

    async def check() -> None:
        body = {"events": events, "as_of": 11}
        async with serve_store(lambda request: encode_answer(body)) as client:
            changes = await client.watch(5, 1.0)
        assert changes.revision == 11
        assert [i.id for i in changes.instances] == ["i-1"]
        assert changes.instances[0].leaving
        assert set(changes.removed) == {"i-2", "i-3", "i-4"}
        assert (changes.evacuated, changes.restored) == (("z-1",), ("z-2",))

    asyncio.run(check())


def test_watch_after_lost_history_raises_history_lost() -> None:
    async def check() -> None:
        async with serve_store(lambda request: encode_answer({}, 410)) as client:
            with pytest.raises(watcher.HistoryLost):
                await client.watch(5, 1.0)

    asyncio.run(check())


@pytest.mark.parametrize("has_length", [True, False])
def test_changes_that_are_too_large_are_replaced_by_a_read(has_length: bool) -> None:
    """Guards against a node that cannot catch up after an absence.

    The changes it had missed exceeded the size of an answer, and it asked for the same
    ones again and again.
    """
    events = [item_json("op/config", bytes(1 << 20), 6 + index) for index in range(32)]
    answer = encode_answer({"events": events, "as_of": 40})
    if not has_length:
        lines = answer.split(b"\r\n\r\n", 1)
        answer = b"HTTP/1.1 200 OK\r\n\r\n" + lines[1]

    async def check() -> None:
        async with serve_store(lambda request: answer) as client:
            with pytest.raises(watcher.HistoryLost):
                await client.watch(5, 1.0)
            assert client._stream is None

    asyncio.run(check())


@pytest.mark.parametrize(
    "answer",
    [
        encode_answer({}, 503),
        encode_answer({}, 429),
        encode_answer({"items": 3}),
        b"nonsense\r\n\r\n",
    ],
    ids=["busy", "too many", "unreadable", "no http"],
)
def test_refusals_and_invalid_answers_raise_store_errors(answer: bytes) -> None:
    async def check() -> None:
        async with serve_store(lambda request: answer) as client:
            with pytest.raises(watcher.StoreError):
                await client.read(fresh=True)

    asyncio.run(check())


def test_read_after_a_lost_answer_uses_a_new_connection() -> None:
    answers = [None, encode_answer({"items": [], "has_more": False, "as_of": 3})]

    async def check() -> None:
        async with serve_store(lambda request: answers.pop(0)) as client:
            with pytest.raises(watcher.StoreError):
                await client.read(fresh=True)
            assert (await client.read(fresh=True)).revision == 3

    asyncio.run(check())


def test_refused_connection_raises_a_store_error() -> None:
    async def check() -> None:
        with pytest.raises(watcher.StoreError):
            await platform_store.Store(("127.0.0.1", 1)).read(fresh=True)

    asyncio.run(check())


def _page(as_of: int, *, era: str | None, has_more: bool = False) -> bytes:
    items = [server_item_json(f"i-{as_of}")]
    body = {"items": items, "has_more": has_more, "as_of": as_of}
    return encode_answer(body, era=era)


def test_answers_have_the_era_of_the_store() -> None:
    events = encode_answer({"events": [server_item_json("i-1")], "as_of": 11}, era="4")
    answers = [_page(7, era="3"), events]

    async def check() -> None:
        async with serve_store(lambda request: answers.pop(0)) as client:
            published = await client.read(fresh=True)
            changes = await client.watch(7, 1.0)
        assert (published.era, published.instances[0].era) == (3, 3)
        assert (changes.era, changes.instances[0].era) == (4, 4)

    asyncio.run(check())


@pytest.mark.parametrize("era", [None, "", "x", "-1", "9" * 30])
def test_answer_that_states_no_era_is_of_the_era_before(era: str | None) -> None:
    answers = [_page(7, era=era), _page(7, era="3"), _page(8, era=era)]

    async def check() -> list[int]:
        async with serve_store(lambda request: answers.pop(0)) as client:
            return [(await client.read(fresh=True)).era for _ in range(3)]

    assert asyncio.run(check()) == [0, 3, 3]


def test_pages_of_two_eras_are_not_joined() -> None:
    """Guards against a state that contains entries from before and after a restore."""
    answers = [_page(9, era="1", has_more=True), _page(7, era="2"), _page(8, era="2")]

    async def check() -> None:
        async with serve_store(lambda request: answers.pop(0)) as client:
            with pytest.raises(watcher.StoreError):
                await client.read(fresh=True)
            assert (await client.read(fresh=True)).position == (2, 8)

    asyncio.run(check())
