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
