from __future__ import annotations

import random
from collections.abc import Sequence

import pytest

from snipelink.decide import watch_rotation

CHECK_INTERVAL_S = 0.25
# Time within which a change must take effect in the strictest deployment.
MAX_GAP_S = 2.0
CONNECTED = watch_rotation.PeerView(
    published_count=80, followed_count=20, reporting_count=20
)


class Fleet:
    """Nodes that take turns in watching the store."""

    def __init__(self, nodes: int, seed: int = 1) -> None:
        self._nodes = [
            watch_rotation.WatchRotation(random.Random(seed * nodes + index), 0.0)
            for index in range(nodes)
        ]
        self.refused: set[int] = set()

    def run(self, first_s: float, last_s: float, reporting: int = 20) -> list[int]:
        """Return the number of watching nodes at each check."""
        count = len(self._nodes)
        refused = bool(self.refused)
        peers = watch_rotation.PeerView(
            count, followed_count=20, reporting_count=reporting, store_refused=refused
        )
        return [
            sum(
                node.is_own_turn(peers, check * CHECK_INTERVAL_S)
                and index not in self.refused
                for index, node in enumerate(self._nodes)
            )
            for check in range(
                int(first_s / CHECK_INTERVAL_S), int(last_s / CHECK_INTERVAL_S)
            )
        ]


def _longest_gap_s(counts: Sequence[int]) -> float:
    gap = longest = 0
    for count in counts:
        gap = 0 if count else gap + 1
        longest = max(longest, gap)
    return longest * CHECK_INTERVAL_S


@pytest.mark.parametrize("nodes", [30, 80, 300])
def test_number_of_watching_nodes_does_not_depend_on_the_fleet_size(nodes: int) -> None:
    counts = Fleet(nodes).run(0.0, 120.0)
    mean = sum(counts) / len(counts)
    assert (
        watch_rotation.MEAN_WATCHER_COUNT * 0.7
        < mean
        < watch_rotation.MEAN_WATCHER_COUNT * 2.0
    )


@pytest.mark.parametrize("seed", range(20))
def test_there_is_no_gap_after_all_nodes_start_at_once(seed: int) -> None:
    fleet = Fleet(80, seed=seed)
    fleet.run(0.0, 1.5, reporting=0)
    assert _longest_gap_s(fleet.run(1.5, 60.0)) < MAX_GAP_S


@pytest.mark.parametrize("seed", range(20))
def test_there_is_no_gap_while_the_store_refuses_a_third_of_the_nodes(
    seed: int,
) -> None:
    fleet = Fleet(80, seed=seed)
    fleet.run(0.0, 20.0)
    fleet.refused = set(range(0, 80, 3))
    assert _longest_gap_s(fleet.run(20.0, 60.0)) < MAX_GAP_S


def test_single_node_watches_all_the_time() -> None:
    node = watch_rotation.WatchRotation(random.Random(1), 0.0)
    peers = watch_rotation.PeerView(
        published_count=1, followed_count=0, reporting_count=0
    )
    assert all(
        node.is_own_turn(peers, check * CHECK_INTERVAL_S) for check in range(100)
    )


def test_small_fleet_watches_all_the_time() -> None:
    node = watch_rotation.WatchRotation(random.Random(1), 0.0)
    peers = watch_rotation.PeerView(
        published_count=5, followed_count=4, reporting_count=4
    )
    assert all(
        node.is_own_turn(peers, check * CHECK_INTERVAL_S) for check in range(100)
    )


def test_isolated_node_watches_often() -> None:
    node = watch_rotation.WatchRotation(random.Random(1), 0.0)
    isolated = watch_rotation.PeerView(
        published_count=3900, followed_count=20, reporting_count=1
    )
    due = [node.is_own_turn(isolated, check * 0.05) for check in range(1, 2001)]
    assert sum(due) == pytest.approx(
        100.0 / watch_rotation.ISOLATED_MEAN_REST_S, rel=0.2
    )
    assert (
        _longest_gap_s(due) * 0.05 / CHECK_INTERVAL_S
        < 8.0 * watch_rotation.ISOLATED_MEAN_REST_S
    )


def test_turn_of_an_isolated_node_is_a_single_watch() -> None:
    node = watch_rotation.WatchRotation(random.Random(1), 0.0)
    isolated = watch_rotation.PeerView(
        published_count=80, followed_count=20, reporting_count=0
    )
    assert node.is_own_turn(isolated, 100.0)
    assert node.watch_duration_s(100.0) == watch_rotation.TURN_S
    assert not node.is_own_turn(CONNECTED, 100.1)


def test_unreachable_nodes_are_not_part_of_the_rotation() -> None:
    partitioned = watch_rotation.PeerView(
        published_count=80, followed_count=20, reporting_count=10
    )
    assert partitioned.reachable_count == CONNECTED.reachable_count / 2
