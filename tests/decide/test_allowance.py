from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from snipelink.decide import allowance

TOTAL = 18.0
WINDOW_S = 10.0
CHANGES = st.lists(
    st.tuples(st.sampled_from([0.1, 2.0, 30.0, 59.0, 61.0]), st.integers(0, 12)),
    min_size=1,
    max_size=30,
)


def test_fleet_that_shrinks_in_an_instant_is_not_believed() -> None:
    """Guards against a larger part while entries are missing in the list."""
    tested = allowance.NodeShare()
    tested.on_published(9, 0.0)
    tested.on_published(1, 100.0)
    assert tested.machine_count(100.0 + allowance.REMEMBERED_S - 0.1) == 9


def test_fleet_that_stays_smaller_is_believed() -> None:
    """Guards against parts that stay small after machines were taken away."""
    tested = allowance.NodeShare()
    tested.on_published(9, 0.0)
    tested.on_published(6, 100.0)
    assert tested.machine_count(100.0 + allowance.REMEMBERED_S) == 6
    assert tested.share_of(TOTAL, WINDOW_S, 100.0 + allowance.REMEMBERED_S) == 3.0


def test_fleet_that_grows_is_believed_at_once() -> None:
    tested = allowance.NodeShare()
    tested.on_published(6, 0.0)
    tested.on_published(9, 100.0)
    assert tested.share_of(TOTAL, WINDOW_S, 100.0) == 2.0


def test_empty_list_counts_as_the_own_machine() -> None:
    tested = allowance.NodeShare()
    assert tested.machine_count(0.0) == 1
    tested.on_published(0, 0.0)
    assert tested.machine_count(0.0) == 1


def test_part_is_earned_over_the_first_window() -> None:
    """Guards against a process that has its whole part at once after each kill."""
    tested = allowance.NodeShare()
    assert tested.share_of(TOTAL, WINDOW_S, 50.0) == 0.0
    tested.on_published(0, 50.0)
    tested.on_published(9, 100.0)
    settled = 100.0 + allowance.SETTLED_S
    assert tested.share_of(TOTAL, WINDOW_S, settled) == 0.0
    assert tested.share_of(TOTAL, WINDOW_S, settled + WINDOW_S / 2) == 1.0
    assert tested.share_of(TOTAL, WINDOW_S, settled + WINDOW_S) == 2.0
    assert tested.share_of(TOTAL, WINDOW_S, settled + 5 * WINDOW_S) == 2.0


@hypothesis.given(CHANGES)
@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
def test_fleet_is_the_largest_that_was_published_lately(
    changes: list[tuple[float, int]],
) -> None:
    """Guards against a size that is forgotten when another one is published."""
    tested = allowance.NodeShare()
    now = 0.0
    published: list[tuple[float, int]] = []
    for pause_s, machines in changes:
        now += pause_s
        published.append((now, machines))
        tested.on_published(machines, now)
        ends = [start for start, _ in published[1:]] + [now]
        recent = [
            count
            for (_, count), end in zip(published, ends, strict=True)
            if now - end < allowance.REMEMBERED_S
        ]
        assert tested.machine_count(now) == max(1, *recent)
