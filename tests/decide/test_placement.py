from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from snipelink.decide import placement

WORK_S = 0.16


def _candidate(name: str = "a", **changes: object) -> placement.Candidate:
    values: dict[str, object] = {
        "instance": name,
        "near": True,
        "running": 0,
        "waiting": 0,
        "slots": 9,
        "slowness": 1.0,
    }
    return placement.Candidate(**(values | changes))  # type: ignore[arg-type]


def _choose(*candidates: placement.Candidate) -> str:
    chosen = placement.choose(candidates, WORK_S, WORK_S, random.Random(1))
    assert chosen is not None
    return chosen.instance


def test_no_candidate_gives_no_choice() -> None:
    assert placement.choose([], WORK_S, WORK_S, random.Random(1)) is None


def test_fast_busy_endpoint_beats_an_idle_slow_one() -> None:
    busy = _candidate("busy", running=8)
    slow = _candidate("slow", slowness=7.0)
    assert _choose(busy, slow) == "busy"


def test_full_endpoint_loses_to_an_idle_one_of_equal_speed() -> None:
    full = _candidate("full", running=9, waiting=3)
    assert _choose(full, _candidate("free")) == "free"


def test_near_endpoint_is_preferred_at_similar_speed() -> None:
    near = _candidate("near", running=2)
    far = _candidate("far", near=False)
    assert _choose(near, far) == "near"
    assert _choose(_candidate("near", slowness=2.0), far) == "far"


def test_failing_endpoint_loses_to_a_slower_healthy_one() -> None:
    failing = _candidate("failing", failing_ratio=0.5)
    assert _choose(failing, _candidate("sound", slowness=2.0)) == "sound"


def test_silent_node_gets_no_calls() -> None:
    silent = _candidate("silent", age_s=placement.SILENT_NODE_S + 0.1)
    assert _choose(silent, _candidate("slow", slowness=20.0)) == "slow"
    assert placement.choose([silent], WORK_S, WORK_S, random.Random(1)) is None


def test_stale_report_counts_as_mean_slowness() -> None:
    old = _candidate("old", mean_slowness=2.0, age_s=placement.STALE_REPORT_S)
    assert _choose(old, _candidate("fresh", slowness=1.5)) == "fresh"


def test_present_slowness_counts_less_for_long_calls() -> None:
    slow = _candidate("slow", slowness=7.0)
    full = _candidate("full", running=9, waiting=3)
    assert placement.choose([slow, full], 0.16, 0.16, random.Random(1)) == full
    assert placement.choose([slow, full], 0.6, 0.6, random.Random(1)) == slow


def test_call_that_cannot_be_hedged_avoids_endpoints_that_may_stay_slow() -> None:
    slow = _candidate("slow", slowness=7.0)
    full = _candidate("full", running=9, waiting=9)
    chosen = placement.choose([slow, full], 0.3, 0.3, random.Random(1), may_hedge=False)
    assert chosen == full
    assert placement.choose([slow, full], 0.3, 0.3, random.Random(1)) == slow


def test_equal_endpoints_share_the_calls() -> None:
    rng = random.Random(1)
    candidates = [_candidate(name) for name in "abc"]
    counts = dict.fromkeys("abc", 0)
    for _ in range(600):
        chosen = placement.choose(candidates, WORK_S, WORK_S, rng)
        assert chosen is not None
        counts[chosen.instance] += 1
    assert min(counts.values()) > 150


@given(
    running=st.integers(0, 40),
    waiting=st.integers(0, 40),
    slots=st.integers(0, 20),
    slowness=st.floats(0.25, 50.0),
)
def test_more_calls_never_reduce_the_expected_time(
    running: int, waiting: int, slots: int, slowness: float
) -> None:
    less = _candidate(running=running, waiting=waiting, slots=slots, slowness=slowness)
    more = _candidate(
        running=running + 1, waiting=waiting, slots=slots, slowness=slowness
    )
    assert placement.expected_time_s(more, WORK_S, WORK_S) >= placement.expected_time_s(
        less, WORK_S, WORK_S
    )


def _slow_candidates() -> list[placement.Candidate]:
    """Return enough slow endpoints for `MIN_PHASE_CANDIDATES`."""
    return [
        _candidate(f"slow {index}", slowness=7.0)
        for index in range(placement.MIN_PHASE_CANDIDATES)
    ]


def test_endpoint_that_stays_fast_longest_is_chosen_while_uncrowded() -> None:
    soon_slow = _candidate("soon slow", phase_left_s=0.02)
    long_fast = _candidate("long quick", phase_left_s=0.45, running=3)
    assert _choose(soon_slow, long_fast, *_slow_candidates()) == "long quick"


def test_phase_left_is_ignored_for_few_or_crowded_endpoints() -> None:
    """Guards against all nodes choosing the same few endpoints at once."""
    soon_slow = _candidate("soon slow", phase_left_s=0.02)
    long_fast = _candidate("long quick", phase_left_s=0.45, running=7)
    assert _choose(soon_slow, long_fast) == "soon slow"
    crowded = _candidate("crowded", phase_left_s=0.02, running=7)
    longer = _candidate("longer", phase_left_s=0.45, running=8)
    assert _choose(crowded, longer, *_slow_candidates()) == "crowded"


def test_call_that_cannot_be_hedged_avoids_an_endpoint_that_is_slow_briefly() -> None:
    slow = _candidate("slow", slowness=7.0, phase_left_s=0.02)
    quick = _candidate("quick", running=6)
    chosen = placement.choose(
        [slow, quick], WORK_S, WORK_S, random.Random(1), may_hedge=False
    )
    assert chosen is not None
    assert chosen.instance == "quick"
