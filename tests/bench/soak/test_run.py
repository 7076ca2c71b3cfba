from __future__ import annotations

import asyncio
import pathlib

import pytest

from bench.soak import checks, plan, run

SECONDS = 4.0
# Seeds with several kinds of faults; the last one includes ``silence-open``.
SEEDS = (2, 11, 26)


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_under_the_faults_of_a_seed(
    seed: int, tmp_path: pathlib.Path
) -> None:
    recorded = asyncio.run(run.Run(seed, 3, SECONDS, tmp_path).execute())
    events = plan.draw(seed, 3, SECONDS)
    assert checks.check(recorded) == [], events
    assert len(recorded.executions) > 100


# Stated targets for the anonymous memory of a node at a limit of 300 MB.
MAX_PEAK_MB = 150.0
MAX_PEAK_MB_BY_KIND = {"endless": 60.0, "endless-health": 60.0, "odd-entries": 60.0}


@pytest.mark.parametrize("kind", plan.HOSTILE_KINDS)
def test_nodes_stay_within_their_memory_and_routes(
    kind: str, tmp_path: pathlib.Path
) -> None:
    """Guards against nodes that end by what servers, callers or other writers send."""
    events = [plan.Event(0.5, kind, 0, plan.HOSTILE_DURATION_S)]
    recorded = asyncio.run(run.Run(1, 3, SECONDS, tmp_path, events).execute())
    assert checks.check(recorded) == []
    peak_mb = max(recorded.peak_memory_mb_by_node.values())
    assert 0.0 < peak_mb <= MAX_PEAK_MB_BY_KIND.get(kind, MAX_PEAK_MB)


@pytest.mark.parametrize("cut_node", [0, 1])
def test_departures_end_in_time_while_a_node_is_cut_off_from_the_store(
    cut_node: int, tmp_path: pathlib.Path
) -> None:
    """Guards against one node's trouble that prolongs the use of what has left."""
    events = [
        plan.Event(0.5, plan.DEPARTURES_KIND, cut_node, plan.DEPARTURES_DURATION_S)
    ]
    recorded = asyncio.run(run.Run(1, 4, SECONDS, tmp_path, events).execute())
    assert checks.check(recorded) == []
    assert len(recorded.withdrawals) == 2


def test_new_route_is_in_force_after_restores_of_the_store(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against nodes that ignore the store after it returns from a copy."""
    seconds = 2.0 * SECONDS
    events = [
        plan.Event(0.5, "publish", 0, 0.0),
        plan.Event(0.5, "drain", 1, 0.0),
        # Many writes that are lost, so that revisions stay below those before.
        plan.Event(0.5, "odd-entries", 2, 1.5),
        plan.Event(1.0, plan.RESTORE_KIND, 0, 1.0),
        plan.Event(2.5, plan.RESTORE_KIND, 0, 2.0),
        plan.Event(seconds - 0.5, "publish", 0, 0.0),
    ]
    recorded = asyncio.run(run.Run(1, 3, seconds, tmp_path, events).execute())
    assert checks.check(recorded) == []
    new_paths = {each.path for each in recorded.route_publications}
    served = {call.path for call in recorded.calls if call.status == 200}
    assert len(new_paths) == 2
    assert new_paths <= served
