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
class _Situation:
    is_watching: bool
    is_standalone: bool = False
    domain_size: int = 3
    confirmed_at: float = 0.0
    confirmed: list[tuple[int, float]] = dataclasses.field(default_factory=list)

    def record_confirmation(self, revision: int, now: float) -> None:
        self.confirmed.append((revision, now))


class _Meter:
    def try_spend(self, byte_count: int, now: float) -> bool:
        return True


def _watcher(target: store.Store, situation: _Situation) -> watcher.Watcher:
    rng = random.Random(1)
    client = platform_client.PlatformClient(
        "n", ["http://127.0.0.1:9"], 0.1, _Meter(), rng
    )
    return watcher.Watcher(
        target,
        client,
        situation,
        lambda listed, now: None,
        lambda: False,
        lambda: None,
        rng,
    )


def _accepted(revision: int) -> store.Store:
    target = store.Store("rota")
    assert target.offer(*sets.rendered(revision), source.platform("x"), 0.0).is_ok()
    return target


def _reading(revision: int, servers: int = 2) -> platform_client.VersionedValue:
    return platform_client.VersionedValue(
        sets.rendered(revision, servers)[0], revision, "x"
    )


@pytest.mark.parametrize(
    ("watching", "plan", "urgent", "expected"),
    [
        (True, watcher.Plan(NEVER, NEVER), False, WATCH),
        (True, watcher.Plan(NEVER, 5.0), False, LIST),
        (False, watcher.Plan(NEVER, 5.0), False, WAIT),
        (False, watcher.Plan(5.0, NEVER), False, READ),
        (False, watcher.Plan(NEVER, NEVER, fallback_at=5.0), False, READ),
        (False, watcher.Plan(NEVER, NEVER), True, READ),
        (True, watcher.Plan(5.0, 5.0, blocked_until=11.0), True, WAIT),
    ],
)
def test_decide(
    watching: bool, plan: watcher.Plan, urgent: bool, expected: watcher.Action
) -> None:
    """Guards against a node that reads too much, or not when nobody else does."""
    action = watcher.decide(plan, _Situation(watching), urgent, 10.0)
    assert action is expected


def test_stale_platform_is_not_read_again_and_again() -> None:
    """Guards against reads of the whole fleet beyond the rate while it is stale."""
    situation = _Situation(False, domain_size=355)
    running = _watcher(_accepted(5), situation)
    for _ in range(watcher.STALE_RETRIES + 1):
        running._succeed(100.0)
        running._take(_reading(4), 100.0)
    assert running._plan.read_at >= 100.0 + read_delays.SHORTEST_AUDIT_S / 2
    assert situation.confirmed == []
    assert running.counts_by_event["stale-replica"] == watcher.STALE_RETRIES + 1


def test_answer_confirms_only_what_is_in_force() -> None:
    """Guards against a confirmation of an old set while a newer one is collected."""
    situation = _Situation(True)
    target = _accepted(5)
    running = _watcher(target, situation)
    running._take(_reading(5), 7.0)
    assert situation.confirmed == [(5, 7.0)]
    running._take(_reading(6, 3), 8.0)  # its documents can't be read
    assert target.claim().revision == 6
    assert situation.confirmed == [(5, 7.0)]


def test_refused_set_does_not_stop_confirmations() -> None:
    """Guards against a fleet that reads directly for as long as a bad set is there."""
    situation = _Situation(True)
    target = _accepted(5)
    running = _watcher(target, situation)
    running._take(_reading(5, 3), 7.0)
    assert target.conflicting_revisions() == (5,)
    assert situation.confirmed == [(5, 7.0)]
