from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Sequence

import pytest
from result import Err, Ok, Result

from snipelink.mesh import catalog, objects, watcher

Step = catalog.Changes | objects.Published | Exception


class Script:
    """Source that plays steps; after the last one it waits for ever."""

    def __init__(self, steps: Sequence[Step]) -> None:
        self.steps = list(steps)
        self.calls: list[str] = []

    async def read(self) -> objects.Published:
        step = await self._next("read")
        assert isinstance(step, objects.Published)
        return step

    async def watch(self, after: int, wait_s: float) -> catalog.Changes:
        step = await self._next(f"watch {after}")
        assert isinstance(step, catalog.Changes)
        return step

    async def _next(self, call: str) -> Step:
        self.calls.append(call)
        if not self.steps:
            await asyncio.Event().wait()
        step = self.steps.pop(0)
        if isinstance(step, Exception):
            raise step
        return step


def _instance(name: str) -> objects.Instance:
    return objects.Instance(name, "rota", "10.0.0.1", "a", False)


def _play(
    monkeypatch: pytest.MonkeyPatch, *steps: Step
) -> tuple[Script, catalog.Catalog]:
    """Play steps until all are used up."""
    monkeypatch.setattr(watcher, "PAUSE_S", 0.0)
    monkeypatch.setattr(watcher, "MIN_BACKOFF_S", 0.01)
    source, known = Script(steps), catalog.Catalog(2.0)

    async def play() -> None:
        tested = watcher.Watcher(source, known, lambda: None, random.Random(1))
        task = asyncio.ensure_future(tested.run())
        async with asyncio.timeout(5.0):
            while len(source.calls) <= len(steps):
                await asyncio.sleep(0.005)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    asyncio.run(play())
    return source, known


def test_watch_goes_on_from_the_revision_that_was_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    source, known = _play(
        monkeypatch,
        objects.Published(7, None, (_instance("a"),)),
        catalog.Changes(9, instances=(_instance("b"),)),
    )
    assert source.calls == ["read", "watch 7", "watch 9"]
    assert set(known.instances_by_id) == {"a", "b"}


def test_lost_history_is_followed_by_a_read_of_everything(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    source, known = _play(
        monkeypatch,
        objects.Published(7, None, (_instance("a"),)),
        watcher.HistoryLost(),
        objects.Published(12, None, (_instance("b"),)),
    )
    assert source.calls == ["read", "watch 7", "read", "watch 12"]
    assert set(known.instances_by_id) == {"b"}


def test_error_of_a_watch_is_followed_by_the_same_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    source, known = _play(
        monkeypatch,
        objects.Published(7, None, (_instance("a"),)),
        watcher.SourceError("busy"),
        watcher.SourceError("busy"),
        catalog.Changes(8, removed=("a",)),
    )
    assert source.calls == ["read", "watch 7", "watch 7", "watch 7", "watch 8"]
    assert not known.instances_by_id


def test_store_that_is_down_at_the_start_is_read_until_it_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    source, known = _play(
        monkeypatch,
        watcher.SourceError("down"),
        objects.Published(7, None, (_instance("a"),)),
    )
    assert source.calls == ["read", "read", "watch 7"]
    assert known.revision == 7


@pytest.mark.parametrize(
    ("fetched", "expected"),
    [
        (Ok(objects.Published(9, None, (_instance("a"),))), 9),
        (Ok(objects.Published(3, None, ())), 5),
        (Err("refused"), 5),
    ],
    ids=["newer", "older", "out of reach"],
)
def test_node_that_reports_more_is_asked_for_it(
    monkeypatch: pytest.MonkeyPatch,
    fetched: Result[objects.Published, str],
    expected: int,
) -> None:
    monkeypatch.setattr(watcher, "BEHIND_S", 0.02)
    monkeypatch.setattr(watcher, "BEHIND_POLL_S", 0.01)
    known = catalog.Catalog(2.0)
    known.sync(objects.Published(5, None, ()), 0.0)
    asked: list[str] = []

    async def fetch(host: str) -> Result[objects.Published, str]:
        asked.append(host)
        return fetched

    async def play() -> None:
        tested = watcher.Watcher(Script([]), known, lambda: None, random.Random(1))
        follow = tested.follow_nodes(lambda: (9, "10.0.0.2"), fetch)
        task = asyncio.ensure_future(follow)
        async with asyncio.timeout(5.0):
            while not asked:
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(play())
    assert asked[0] == "10.0.0.2"
    assert known.revision == expected
