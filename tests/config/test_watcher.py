from __future__ import annotations

import dataclasses
import random

import pytest

from snipelink.config import platform_client, read_delays, source, store, watcher
from tests.config import sets

NEVER = float("inf")
WATCH, READ = watcher.Action.WATCH, watcher.Action.READ
LIST, WAIT = watcher.Action.LIST, watcher.Action.WAIT


@dataclasses.dataclass
class _GossipState:
    is_watching: bool
    is_standalone: bool = False
    domain_size: int = 3
    confirmed_at: float = 0.0
    confirmed: list[tuple[int, float]] = dataclasses.field(default_factory=list)

    def record_confirmation(self, revision: int, now: float) -> None:
        self.confirmed.append((revision, now))


class _ByteBudget:
    def try_spend(self, byte_count: int, now: float) -> bool:
        return True


def _watcher(set_store: store.Store, gossip: _GossipState) -> watcher.Watcher:
    rng = random.Random(1)
    client = platform_client.PlatformClient(
        "n", ["http://127.0.0.1:9"], 0.1, _ByteBudget(), rng
    )
    return watcher.Watcher(
        set_store,
        client,
        gossip,
        lambda listed, now: None,
        lambda: False,
        lambda: None,
        rng,
    )


def _accepted(revision: int) -> store.Store:
    set_store = store.Store("rota")
    assert set_store.offer(*sets.rendered(revision), source.platform("x"), 0.0).is_ok()
    return set_store


def _answer(revision: int, servers: int = 2) -> platform_client.VersionedValue:
    return platform_client.VersionedValue(
        sets.rendered(revision, servers)[0], revision, "x"
    )


@pytest.mark.parametrize(
    ("watching", "schedule", "must_read", "expected"),
    [
        (True, watcher.Schedule(NEVER, NEVER), False, WATCH),
        (True, watcher.Schedule(NEVER, 5.0), False, LIST),
        (False, watcher.Schedule(NEVER, 5.0), False, WAIT),
        (False, watcher.Schedule(5.0, NEVER), False, READ),
        (False, watcher.Schedule(NEVER, NEVER, fallback_at=5.0), False, READ),
        (False, watcher.Schedule(NEVER, NEVER), True, READ),
        (True, watcher.Schedule(5.0, 5.0, backoff_until=11.0), True, WAIT),
    ],
)
def test_next_action(
    watching: bool,
    schedule: watcher.Schedule,
    must_read: bool,
    expected: watcher.Action,
) -> None:
    """Guards against excessive reads, and against no reads when no other node reads."""
    action = watcher.next_action(schedule, _GossipState(watching), must_read, 10.0)
    assert action is expected


def test_stale_platform_is_retried_a_bounded_number_of_times() -> None:
    """Guards against reads above the rate limit while all replicas are stale."""
    gossip = _GossipState(False, domain_size=355)
    tested = _watcher(_accepted(5), gossip)
    for _ in range(watcher.MAX_STALE_RETRIES + 1):
        tested._record_success(100.0)
        tested._handle_manifest(_answer(4), 100.0)
    assert tested._schedule.read_at >= 100.0 + read_delays.MIN_RESYNC_INTERVAL_S / 2
    assert gossip.confirmed == []
    assert tested.counts_by_event["stale-replica"] == watcher.MAX_STALE_RETRIES + 1


def test_manifest_confirms_only_the_set_in_force() -> None:
    """Guards against confirming the old set while the documents of a newer one load."""
    gossip = _GossipState(True)
    set_store = _accepted(5)
    tested = _watcher(set_store, gossip)
    tested._handle_manifest(_answer(5), 7.0)
    assert gossip.confirmed == [(5, 7.0)]
    tested._handle_manifest(_answer(6, 3), 8.0)  # its documents can't be read
    assert set_store.claim().revision == 6
    assert gossip.confirmed == [(5, 7.0)]


def test_refused_set_does_not_stop_confirmations() -> None:
    """Guards against direct reads by the whole fleet while a bad set is published."""
    gossip = _GossipState(True)
    set_store = _accepted(5)
    tested = _watcher(set_store, gossip)
    tested._handle_manifest(_answer(5, 3), 7.0)
    assert set_store.conflicting_revisions() == (5,)
    assert gossip.confirmed == [(5, 7.0)]
