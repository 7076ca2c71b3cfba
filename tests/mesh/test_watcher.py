from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence

import pytest
from result import Err, Ok, Result

from snipelink import clock
from snipelink.decide import watch_rotation
from snipelink.mesh import catalog, published_state, watcher

Step = catalog.Changes | published_state.PublishedState | Exception


class Script:
    """Source that plays steps; after the last one it waits for ever."""

    def __init__(self, steps: Sequence[Step]) -> None:
        self.steps = list(steps)
        self.calls: list[str] = []

    async def read(self, *, fresh: bool) -> published_state.PublishedState:
        step = await self._next("read fresh" if fresh else "read")
        assert isinstance(step, published_state.PublishedState)
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


def _instance(name: str) -> published_state.Instance:
    return published_state.Instance(name, "rota", "10.0.0.1", "a", False)


def _watcher(
    source: Script,
    known: catalog.Catalog,
    others: Callable[[], watch_rotation.PeerView] = lambda: watch_rotation.PeerView(
        1, 2, 2
    ),
) -> watcher.Watcher:
    return watcher.Watcher(source, known, lambda: None, random.Random(1), others)


def _play(
    monkeypatch: pytest.MonkeyPatch, *steps: Step
) -> tuple[Script, catalog.Catalog]:
    """Play steps until all are used up."""
    monkeypatch.setattr(watch_rotation, "watch_pause_s", lambda others: 0.0)
    monkeypatch.setattr(watcher, "MIN_BACKOFF_S", 0.01)
    source, known = Script(steps), catalog.Catalog(2.0)

    async def play() -> None:
        tested = _watcher(source, known)
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
        published_state.PublishedState(7, None, (_instance("a"),)),
        catalog.Changes(9, instances=(_instance("b"),)),
    )
    assert source.calls == ["read", "watch 7", "watch 9"]
    assert set(known.instances_by_id) == {"a", "b"}


def test_lost_history_is_followed_by_a_read_of_everything(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    source, known = _play(
        monkeypatch,
        published_state.PublishedState(7, None, (_instance("a"),)),
        watcher.HistoryLost(),
        published_state.PublishedState(12, None, (_instance("b"),)),
    )
    assert source.calls == ["read", "watch 7", "read fresh", "watch 12"]
    assert set(known.instances_by_id) == {"b"}


def test_error_of_a_watch_is_followed_by_the_same_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    source, known = _play(
        monkeypatch,
        published_state.PublishedState(7, None, (_instance("a"),)),
        watcher.StoreError("busy"),
        watcher.StoreError("busy"),
        catalog.Changes(8, removed=("a",)),
    )
    assert source.calls == ["read", "watch 7", "watch 7", "watch 7", "watch 8"]
    assert not known.instances_by_id


def test_store_that_is_down_at_the_start_is_read_until_it_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    source, known = _play(
        monkeypatch,
        watcher.StoreError("down"),
        published_state.PublishedState(7, None, (_instance("a"),)),
    )
    assert source.calls == ["read", "read", "watch 7"]
    assert known.revision == 7


@pytest.mark.parametrize(
    ("fetched", "expected"),
    [
        (Ok(published_state.PublishedState(9, None, (_instance("a"),))), 9),
        (Ok(published_state.PublishedState(3, None, ())), 5),
        (Ok(catalog.Changes(8, instances=(_instance("a"),))), 8),
        (Ok(catalog.Changes(4, instances=(_instance("a"),))), 5),
        (Err("refused"), 5),
    ],
    ids=["newer", "older", "newer changes", "older changes", "out of reach"],
)
def test_node_that_reports_more_is_asked_for_it(
    monkeypatch: pytest.MonkeyPatch,
    fetched: Result[published_state.PublishedState | catalog.Changes, str],
    expected: int,
) -> None:
    monkeypatch.setattr(watcher, "PEER_SYNC_DELAY_S", 0.02)
    monkeypatch.setattr(watcher, "PEER_SYNC_JITTER_S", 0.01)
    known = catalog.Catalog(2.0)
    known.apply_snapshot(published_state.PublishedState(5, None, ()), 0.0)
    asked: list[str] = []

    async def fetch(
        host: str, after: int
    ) -> Result[published_state.PublishedState | catalog.Changes, str]:
        asked.append(f"{host} after {after}")
        return fetched

    async def play() -> None:
        tested = _watcher(Script([]), known)
        follow = tested.sync_from_nodes(lambda: (9, "10.0.0.2"), fetch)
        task = asyncio.ensure_future(follow)
        async with asyncio.timeout(5.0):
            while not asked:
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(play())
    assert asked[0] == "10.0.0.2 after 5"
    assert known.revision == expected


def test_node_rests_while_it_hears_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watch_rotation, "watch_pause_s", lambda others: 0.0)
    monkeypatch.setattr(watcher, "TURN_CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(watch_rotation, "ISOLATED_MEAN_REST_S", 0.0)
    source, heard = Script([published_state.PublishedState(7, None, ())]), 20

    async def play() -> list[list[str]]:
        nonlocal heard
        others = lambda: watch_rotation.PeerView(3900, 20, heard)  # noqa: E731
        tested = _watcher(source, catalog.Catalog(2.0), others)
        task = asyncio.ensure_future(tested.run())
        await asyncio.sleep(0.1)
        seen = [list(source.calls)]
        assert not tested.is_watching
        heard = 0
        await asyncio.sleep(0.1)
        assert tested.is_watching
        task.cancel()
        return [*seen, source.calls]

    resting, alone = asyncio.run(play())
    assert resting == ["read"]
    assert alone == ["read", "watch 7"]


def test_watch_without_an_answer_counts_as_a_store_that_is_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watcher, "STORE_OUTAGE_S", 0.0)

    async def play() -> list[bool]:
        steps = [
            watcher.StoreError("down"),
            published_state.PublishedState(7, None, ()),
        ]
        tested = _watcher(Script(steps), catalog.Catalog(2.0))
        task = asyncio.ensure_future(tested.run())
        seen = []
        for _ in range(2):
            await asyncio.sleep(0.03)
            seen.append(tested.is_store_unavailable(clock.now()))
            await asyncio.sleep(0.1)
        task.cancel()
        return seen

    assert asyncio.run(play()) == [True, False]


def test_refused_node_leaves_the_store_to_others_that_it_hears(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watch_rotation, "watch_pause_s", lambda others: 0.0)
    monkeypatch.setattr(watcher, "MIN_BACKOFF_S", 0.001)
    refused = [watcher.StoreError("refused")] * 50
    source, many = Script([published_state.PublishedState(7, None, ()), *refused]), 2

    async def play() -> int:
        nonlocal many
        tested = _watcher(
            source, catalog.Catalog(2.0), lambda: watch_rotation.PeerView(many, 20, 20)
        )
        task = asyncio.ensure_future(tested.run())
        await asyncio.sleep(0.03)
        # The turn has begun; from now on there are others.
        many = 3900
        await asyncio.sleep(0.3)
        task.cancel()
        return len(source.calls)

    assert 1 < asyncio.run(play()) <= 1 + 2 * watcher.MAX_FAILURES_PER_TURN


def test_store_that_stays_away_does_not_end_the_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watcher, "MIN_BACKOFF_S", 0.0)
    monkeypatch.setattr(watcher, "MAX_BACKOFF_S", 0.0)
    down = [watcher.StoreError("down")] * 1200
    source = Script([*down, published_state.PublishedState(7, None, ())])

    async def play() -> None:
        task = asyncio.ensure_future(_watcher(source, catalog.Catalog(2.0)).run())
        async with asyncio.timeout(10.0):
            while source.steps:
                assert not task.done()
                await asyncio.sleep(0.005)
        task.cancel()

    asyncio.run(play())
    assert len(source.calls) >= 1201
