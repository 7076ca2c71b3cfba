from __future__ import annotations

import dataclasses

import pytest

from snipelink.config import watcher

NEVER = float("inf")
WATCH, READ = watcher.Action.WATCH, watcher.Action.READ
LIST, WAIT = watcher.Action.LIST, watcher.Action.WAIT


@dataclasses.dataclass
class _Situation:
    is_watching: bool
    is_alone: bool = False
    domain_size: int = 3
    confirmed_at: float = 0.0

    def confirm(self, revision: int, now: float) -> None:
        """Ignore the answer."""


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
