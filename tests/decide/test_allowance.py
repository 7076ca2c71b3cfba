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


def test_smaller_fleet_does_not_count_at_once() -> None:
    """Guards against a larger share while machines are missing in the list."""
    share = allowance.NodeShare()
    share.on_published(9, 0.0)
    share.on_published(1, 100.0)
    assert share.machine_count(100.0 + allowance.FLEET_SIZE_RETENTION_S - 0.1) == 9


def test_smaller_fleet_counts_after_the_retention_time() -> None:
    """Guards against shares that stay small after machines were removed."""
    share = allowance.NodeShare()
    share.on_published(9, 0.0)
    share.on_published(6, 100.0)
    assert share.machine_count(100.0 + allowance.FLEET_SIZE_RETENTION_S) == 6
    assert (
        share.share_of(TOTAL, WINDOW_S, 100.0 + allowance.FLEET_SIZE_RETENTION_S) == 3.0
    )


def test_larger_fleet_counts_at_once() -> None:
    share = allowance.NodeShare()
    share.on_published(6, 0.0)
    share.on_published(9, 100.0)
    assert share.share_of(TOTAL, WINDOW_S, 100.0) == 2.0


def test_empty_list_counts_as_one_machine() -> None:
    share = allowance.NodeShare()
    assert share.machine_count(0.0) == 1
    share.on_published(0, 0.0)
    assert share.machine_count(0.0) == 1


def test_share_is_earned_over_the_first_window() -> None:
    """Guards against a process that has its full share at once after each restart."""
    share = allowance.NodeShare()
    assert share.share_of(TOTAL, WINDOW_S, 50.0) == 0.0
    share.on_published(0, 50.0)
    share.on_published(9, 100.0)
    settled = 100.0 + allowance.LIST_SETTLE_S
    assert share.share_of(TOTAL, WINDOW_S, settled) == 0.0
    assert share.share_of(TOTAL, WINDOW_S, settled + WINDOW_S / 2) == 1.0
    assert share.share_of(TOTAL, WINDOW_S, settled + WINDOW_S) == 2.0
    assert share.share_of(TOTAL, WINDOW_S, settled + 5 * WINDOW_S) == 2.0


@hypothesis.given(CHANGES)
@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
def test_fleet_size_is_the_largest_recently_published(
    changes: list[tuple[float, int]],
) -> None:
    """Guards against a size that is discarded when another one is published."""
    share = allowance.NodeShare()
    now = 0.0
    published: list[tuple[float, int]] = []
    for pause_s, machines in changes:
        now += pause_s
        published.append((now, machines))
        share.on_published(machines, now)
        ends = [start for start, _ in published[1:]] + [now]
        recent = [
            count
            for (_, count), end in zip(published, ends, strict=True)
            if now - end < allowance.FLEET_SIZE_RETENTION_S
        ]
        assert share.machine_count(now) == max(1, *recent)
