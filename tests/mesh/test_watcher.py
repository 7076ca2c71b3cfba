from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections.abc import Callable, Sequence

import pytest
from result import Err, Ok, Result

from snipelink import clock
from snipelink.decide import store_outage, store_position, watch_rotation
from snipelink.mesh import catalog, published_state, watcher

# Time within which a change must be in force in the strictest deployment, seconds.
MAX_APPLY_S = 2.0

Step = catalog.Changes | published_state.PublishedState | Exception


class ScriptedStore:
    """Store that answers with scripted steps; after the last one it never answers."""

    def __init__(self, steps: Sequence[Step]) -> None:
        self.steps = list(steps)
        self.calls: list[str] = []
        # Monotonic time of the last step.
        self.answered_at = 0.0

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
        self.answered_at = clock.now()
        if isinstance(step, Exception):
            raise step
        return step


def _instance(name: str) -> published_state.Instance:
    return published_state.Instance(name, "rota", "10.0.0.1", "a", False)


def _reported(
    revision: int, host: str = "10.0.0.2", *, era: int = 0, version: int = 0
) -> watcher.ReportedState:
    position = store_position.Position(era, revision)
    return watcher.ReportedState(host, position, version)


def _make_watcher(
    store: ScriptedStore,
    state: catalog.Catalog,
    others: Callable[[], watch_rotation.PeerView] = lambda: watch_rotation.PeerView(
        1, 2, 2
    ),
) -> watcher.Watcher:
    return watcher.Watcher(store, state, lambda: None, random.Random(1), others)


def _run_steps(
    monkeypatch: pytest.MonkeyPatch, *steps: Step
) -> tuple[ScriptedStore, catalog.Catalog]:
    """Run a watcher until the store has given all scripted answers."""
    monkeypatch.setattr(watch_rotation, "watch_pause_s", lambda others: 0.0)
    monkeypatch.setattr(watcher, "MIN_BACKOFF_S", 0.01)
    store, state = ScriptedStore(steps), catalog.Catalog(2.0)

    async def run_watcher() -> None:
        tested = _make_watcher(store, state)
        task = asyncio.ensure_future(tested.run())
        async with asyncio.timeout(5.0):
            while len(store.calls) <= len(steps):
                await asyncio.sleep(0.005)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    asyncio.run(run_watcher())
    return store, state


def test_watch_continues_from_the_revision_that_was_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store, state = _run_steps(
        monkeypatch,
        published_state.PublishedState(7, None, (_instance("a"),)),
        catalog.Changes(9, instances=(_instance("b"),)),
    )
    assert store.calls == ["read", "watch 7", "watch 9"]
    assert set(state.instances_by_id) == {"a", "b"}


def test_lost_history_is_followed_by_a_fresh_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store, state = _run_steps(
        monkeypatch,
        published_state.PublishedState(7, None, (_instance("a"),)),
        watcher.HistoryLost(),
        published_state.PublishedState(12, None, (_instance("b"),)),
    )
    assert store.calls == ["read", "watch 7", "read fresh", "watch 12"]
    assert set(state.instances_by_id) == {"b"}


def test_failed_watch_is_retried_from_the_same_revision(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store, state = _run_steps(
        monkeypatch,
        published_state.PublishedState(7, None, (_instance("a"),)),
        watcher.StoreError("busy"),
        watcher.StoreError("busy"),
        catalog.Changes(8, removed=("a",)),
    )
    assert store.calls == ["read", "watch 7", "watch 7", "watch 7", "watch 8"]
    assert not state.instances_by_id


def test_initial_read_is_retried_until_the_store_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store, state = _run_steps(
        monkeypatch,
        watcher.StoreError("down"),
        published_state.PublishedState(7, None, (_instance("a"),)),
    )
    assert store.calls == ["read", "read", "watch 7"]
    assert state.revision == 7


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
def test_node_with_a_newer_revision_is_asked_for_it(
    monkeypatch: pytest.MonkeyPatch,
    fetched: Result[published_state.PublishedState | catalog.Changes, str],
    expected: int,
) -> None:
    monkeypatch.setattr(watcher, "PEER_SYNC_DELAY_S", 0.02)
    monkeypatch.setattr(watcher, "PEER_SYNC_JITTER_S", 0.01)
    state = catalog.Catalog(2.0)
    state.apply_snapshot(published_state.PublishedState(5, None, ()), 0.0)
    asked: list[str] = []

    async def fetch(
        host: str, after: store_position.Position
    ) -> Result[published_state.PublishedState | catalog.Changes, str]:
        asked.append(f"{host} after {after.revision}")
        return fetched

    async def run_watcher() -> None:
        tested = _make_watcher(ScriptedStore([]), state)
        follow = tested.sync_from_nodes(lambda: _reported(9), fetch)
        task = asyncio.ensure_future(follow)
        async with asyncio.timeout(5.0):
            while not asked:
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run_watcher())
    assert asked[0] == "10.0.0.2 after 5"
    assert state.revision == expected


def test_node_does_not_watch_while_it_receives_reports_of_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watch_rotation, "watch_pause_s", lambda others: 0.0)
    monkeypatch.setattr(watcher, "TURN_CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(watch_rotation, "ISOLATED_MEAN_REST_S", 0.0)
    store, reporting_count = (
        ScriptedStore([published_state.PublishedState(7, None, ())]),
        20,
    )

    async def run_watcher() -> list[list[str]]:
        nonlocal reporting_count
        others = lambda: watch_rotation.PeerView(3900, 20, reporting_count)  # noqa: E731
        tested = _make_watcher(store, catalog.Catalog(2.0), others)
        task = asyncio.ensure_future(tested.run())
        await asyncio.sleep(0.1)
        seen = [list(store.calls)]
        assert not tested.is_watching
        reporting_count = 0
        await asyncio.sleep(0.1)
        assert tested.is_watching
        task.cancel()
        return [*seen, store.calls]

    while_others_report, without_reports = asyncio.run(run_watcher())
    assert while_others_report == ["read"]
    assert without_reports == ["read", "watch 7"]


def test_store_without_an_answer_counts_as_unavailable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watcher, "STORE_OUTAGE_S", 0.0)

    async def run_watcher() -> list[bool]:
        steps = [
            watcher.StoreError("down"),
            published_state.PublishedState(7, None, ()),
        ]
        tested = _make_watcher(ScriptedStore(steps), catalog.Catalog(2.0))
        task = asyncio.ensure_future(tested.run())
        seen = []
        for _ in range(2):
            await asyncio.sleep(0.03)
            seen.append(tested.is_store_unavailable(clock.now()))
            await asyncio.sleep(0.1)
        task.cancel()
        return seen

    assert asyncio.run(run_watcher()) == [True, False]


def _last_resort_s_after_failures(
    monkeypatch: pytest.MonkeyPatch, *contacts: store_outage.Contact
) -> float:
    """Return the time of an endpoint that is removed when the store answers again."""
    monkeypatch.setattr(watcher, "STORE_OUTAGE_S", 0.0)
    state = catalog.Catalog(2.0)
    store = ScriptedStore(
        [
            published_state.PublishedState(7, None, (_instance("a"),)),
            watcher.StoreError("down"),
            catalog.Changes(8, removed=("a",)),
        ]
    )

    async def run_watcher() -> float:
        tested = _make_watcher(
            store,
            state,
            lambda: watch_rotation.PeerView(1, 2, 2, store_contacts=contacts),
        )
        task = asyncio.ensure_future(tested.run())
        async with asyncio.timeout(5.0):
            while not state.last_resort_count:
                await asyncio.sleep(0.005)
        removed_at = clock.now()
        task.cancel()
        step_s = 0.01
        steps = (n * step_s for n in itertools.count())
        return next(s for s in steps if not state.is_usable("a", removed_at + s))

    return asyncio.run(run_watcher())


def test_failures_of_all_nodes_count_as_an_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    away = store_outage.Contact(is_away=True)
    assert _last_resort_s_after_failures(monkeypatch) > 2.0
    assert _last_resort_s_after_failures(monkeypatch, away) > 2.0


def test_failures_of_one_node_are_no_outage_while_others_are_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls to a removed endpoint after its drain time."""
    answered = store_outage.Contact(answered_at=clock.now())
    assert _last_resort_s_after_failures(monkeypatch, answered) < 1.3


def _run_with_a_rest(
    monkeypatch: pytest.MonkeyPatch, state: catalog.Catalog, after_rest: Step
) -> tuple[watcher.Watcher, ScriptedStore]:
    """Let one request fail and the watcher rest, until the next request has ended."""
    monkeypatch.setattr(watcher, "MAX_FAILURES_PER_TURN", 1)
    monkeypatch.setattr(watcher, "TURN_CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(watcher, "STORE_OUTAGE_S", 0.2)
    monkeypatch.setattr(watcher, "OUTAGE_EXPIRY_S", 0.1)
    monkeypatch.setattr(watch_rotation, "watch_pause_s", lambda others: 0.0)
    first = published_state.PublishedState(7, None, (_instance("a"),))
    store = ScriptedStore([first, watcher.StoreError("lost"), after_rest])
    is_over = False

    def others() -> watch_rotation.PeerView:
        is_resting = len(store.steps) == 1 and not is_over
        return watch_rotation.PeerView(3900 if is_resting else 1, 20, 20)

    tested = _make_watcher(store, state, others)

    async def run_watcher() -> None:
        nonlocal is_over
        task = asyncio.ensure_future(tested.run())
        async with asyncio.timeout(5.0):
            while len(store.steps) > 1:
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.3)
            assert store.steps == [after_rest]
            is_over = True
            while store.steps:
                await asyncio.sleep(0.001)
        task.cancel()

    asyncio.run(run_watcher())
    return tested, store


def test_failure_before_a_rest_is_no_outage_until_the_next_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls to a removed endpoint after its drain time.

    A request failed once. When the node asked the store again after its rest, all the
    time since then counted as an outage.
    """
    state = catalog.Catalog(2.0)
    _run_with_a_rest(monkeypatch, state, catalog.Changes(8, removed=("a",)))
    assert state.last_resort_count == 1
    assert not state.is_usable("a", clock.now() + 1.3)


def test_failures_before_and_after_a_rest_are_no_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a node that reports itself away after one failed request."""
    state = catalog.Catalog(2.0)
    tested, store = _run_with_a_rest(monkeypatch, state, watcher.StoreError("lost"))
    assert not tested.is_store_unavailable(store.answered_at)


def test_outage_is_followed_until_the_check_after_its_end(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    state = catalog.Catalog(2.0)
    now = clock.now()
    contacts = [store_outage.Contact(is_away=True)]
    tested = _make_watcher(
        ScriptedStore([]),
        state,
        lambda: watch_rotation.PeerView(1, 2, 2, store_contacts=tuple(contacts)),
    )
    tested.follow_outage(now)
    contacts[0] = store_outage.Contact(answered_at=now + 5.0)
    tested.follow_outage(now + 5.0)
    tested.follow_outage(now + 6.0)
    state.apply_snapshot(
        published_state.PublishedState(7, None, (_instance("a"),)), now + 6.0
    )
    state.apply_changes(catalog.Changes(8, removed=("a",)), now + 5.3)
    assert state.is_usable("a", now + 7.1)
    assert not state.is_usable("a", now + 7.3)
    messages = [record.message for record in caplog.records]
    assert messages[:2] == ["platform is out", "platform is no longer out"]


def test_refused_node_leaves_the_watch_rotation_to_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watch_rotation, "watch_pause_s", lambda others: 0.0)
    monkeypatch.setattr(watcher, "MIN_BACKOFF_S", 0.001)
    refused = [watcher.StoreError("refused")] * 50
    store, published_count = (
        ScriptedStore([published_state.PublishedState(7, None, ()), *refused]),
        2,
    )

    async def run_watcher() -> int:
        nonlocal published_count
        tested = _make_watcher(
            store,
            catalog.Catalog(2.0),
            lambda: watch_rotation.PeerView(published_count, 20, 20),
        )
        task = asyncio.ensure_future(tested.run())
        await asyncio.sleep(0.03)
        # The node's turn has begun; from now on other nodes share the rotation.
        published_count = 3900
        await asyncio.sleep(0.3)
        task.cancel()
        return len(store.calls)

    assert 1 < asyncio.run(run_watcher()) <= 1 + 2 * watcher.MAX_FAILURES_PER_TURN


def test_long_store_outage_does_not_end_the_watcher(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watcher, "MIN_BACKOFF_S", 0.0)
    monkeypatch.setattr(watcher, "MAX_BACKOFF_S", 0.0)
    down = [watcher.StoreError("down")] * 1200
    store = ScriptedStore([*down, published_state.PublishedState(7, None, ())])

    async def run_watcher() -> None:
        task = asyncio.ensure_future(_make_watcher(store, catalog.Catalog(2.0)).run())
        async with asyncio.timeout(10.0):
            while store.steps:
                assert not task.done()
                await asyncio.sleep(0.005)
        task.cancel()

    asyncio.run(run_watcher())
    assert len(store.calls) >= 1201


def test_node_logs_that_it_is_behind_and_that_it_no_longer_is(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    state = catalog.Catalog(2.0)
    tested = _make_watcher(ScriptedStore([]), state)
    tested.on_reported_state(_reported(9), 1.0)
    for now in (1.5, 2.5, 3.0):
        tested.log_lag(now)
    state.apply_snapshot(published_state.PublishedState(9, None, ()), 4.0)
    tested.log_lag(4.0)
    assert [record.message for record in caplog.records] == [
        "node is behind other nodes",
        "node is no longer behind",
    ]
    assert tested.behind_s(5.0) == 0.0


def test_node_whose_peers_do_not_answer_gets_a_change_from_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an old configuration while the store has the new one.

    Busy nodes report a newer revision and do not answer requests for it in time, and
    the turn of this node in the watch rotation is far away.
    """
    monkeypatch.setattr(watch_rotation, "watch_pause_s", lambda others: 0.0)
    state = catalog.Catalog(2.0)
    store = ScriptedStore(
        [published_state.PublishedState(7, None, ()), catalog.Changes(9)]
    )

    async def fetch(
        host: str, after: store_position.Position
    ) -> Result[published_state.PublishedState | catalog.Changes, str]:
        await asyncio.sleep(0.3)
        return Err("no published state arrives")

    async def run_watcher() -> None:
        others = lambda: watch_rotation.PeerView(3900, 20, 20)  # noqa: E731
        tested = _make_watcher(store, state, others)
        sync = tested.sync_from_nodes(lambda: _reported(9), fetch)
        tasks = [asyncio.ensure_future(each) for each in (tested.run(), sync)]
        while state.revision < 7:
            await asyncio.sleep(0.005)
        tested.on_reported_state(_reported(9), clock.now())
        await asyncio.sleep(MAX_APPLY_S)
        for task in tasks:
            task.cancel()

    asyncio.run(run_watcher())
    assert state.revision == 9


def test_further_nodes_are_asked_while_one_does_not_answer() -> None:
    """Guards against an old configuration for as long as one request is pending."""
    state = catalog.Catalog(2.0)
    state.apply_snapshot(published_state.PublishedState(7, None, ()), 0.0)
    asked: list[str] = []

    async def fetch(
        host: str, after: store_position.Position
    ) -> Result[published_state.PublishedState | catalog.Changes, str]:
        asked.append(host)
        if len(asked) == 1:
            await asyncio.sleep(10.0)
        return Ok(catalog.Changes(9))

    async def run_watcher() -> None:
        hosts = itertools.cycle(["10.0.0.2", "10.0.0.3"])
        tested = _make_watcher(ScriptedStore([]), state)
        sync = tested.sync_from_nodes(lambda: _reported(9, next(hosts)), fetch)
        task = asyncio.ensure_future(sync)
        await asyncio.sleep(MAX_APPLY_S / 2.0)
        task.cancel()

    asyncio.run(run_watcher())
    assert state.revision == 9
    assert asked == ["10.0.0.2", "10.0.0.3"]


def test_answer_of_another_era_to_a_watch_is_followed_by_a_fresh_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against changes of two histories that are joined.

    The revisions of the restored store have overtaken those before the restore, so it
    keeps the history after the watched revision.
    """
    store, state = _run_steps(
        monkeypatch,
        published_state.PublishedState(7, None, (_instance("a"),), era=1),
        catalog.Changes(9, instances=(_instance("c"),), era=2),
        published_state.PublishedState(9, None, (_instance("b"),), era=2),
    )
    assert store.calls == ["read", "watch 7", "read fresh", "watch 9"]
    assert set(state.instances_by_id) == {"a", "b"}


def test_answer_to_a_watch_from_a_former_era_is_not_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against missed changes if other nodes tell of a restore during a watch.

    The watch continues from a revision of the former era, so that its answer lacks the
    changes of the new era up to that revision.
    """
    monkeypatch.setattr(watch_rotation, "watch_pause_s", lambda others: 0.0)
    state = catalog.Catalog(2.0)

    class RestoredStore(ScriptedStore):
        async def watch(self, after: int, wait_s: float) -> catalog.Changes:
            changes = await super().watch(after, wait_s)
            copy = published_state.PublishedState(20, None, (), era=2)
            state.apply_snapshot(copy, clock.now())
            return changes

    store = RestoredStore(
        [
            published_state.PublishedState(60, None, (), era=1),
            catalog.Changes(61, instances=(_instance("b"),), era=2),
            catalog.Changes(61, instances=(_instance("a"), _instance("b")), era=2),
        ]
    )

    async def run_watcher() -> None:
        task = asyncio.ensure_future(_make_watcher(store, state).run())
        async with asyncio.timeout(5.0):
            while len(store.calls) <= 3:
                await asyncio.sleep(0.005)
        task.cancel()

    asyncio.run(run_watcher())
    assert store.calls == ["read", "watch 60", "watch 20", "watch 61"]
    assert set(state.instances_by_id) == {"a", "b"}


def test_late_answer_of_a_former_era_is_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a slow answer that undoes what other nodes have passed on."""
    store, state = _run_steps(
        monkeypatch,
        published_state.PublishedState(5, None, (_instance("a"),), era=2),
        watcher.HistoryLost(),
        published_state.PublishedState(70, None, (), era=1),
        catalog.Changes(71, removed=("a",), era=1),
    )
    assert store.calls[-2:] == ["watch 5", "watch 5"]
    assert state.position == (2, 5)
    assert set(state.instances_by_id) == {"a"}


@pytest.mark.parametrize(
    ("reported", "known_after"),
    [
        (_reported(3, era=2), 5),
        (_reported(5, era=1, version=9), 0),
        (_reported(4, era=1, version=9), 0),
        (_reported(90, era=0, version=9), None),
        (_reported(5, era=1, version=8), None),
    ],
    ids=["later era", "same position", "older position", "former era", "same version"],
)
def test_node_of_a_later_era_or_version_is_asked(
    reported: watcher.ReportedState, known_after: int | None
) -> None:
    state = catalog.Catalog(2.0)
    configuration = published_state.Configuration(
        8, (), {}, published_state.CallerLimits()
    )
    state.apply_snapshot(
        published_state.PublishedState(5, configuration, (), era=1), 0.0
    )
    asked: list[store_position.Position] = []

    async def fetch(
        host: str, after: store_position.Position
    ) -> Result[published_state.PublishedState | catalog.Changes, str]:
        asked.append(after)
        return Err("refused")

    async def run_watcher() -> None:
        tested = _make_watcher(ScriptedStore([]), state)
        tested.on_reported_state(reported, clock.now())
        task = asyncio.ensure_future(tested.sync_from_nodes(lambda: reported, fetch))
        await asyncio.sleep(0.2)
        task.cancel()

    asyncio.run(run_watcher())
    assert asked[:1] == ([] if known_after is None else [(1, known_after)])
