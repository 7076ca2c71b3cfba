from __future__ import annotations

import random
from collections.abc import Sequence

import pytest

from snipelink.decide import watch_rotation

LOOK_S = 0.25
# Time in which a change must be in force on the strictest deployment.
BOUND_S = 2.0
CALM = watch_rotation.PeerView(published_count=80, followed_count=20, heard_count=20)


class Fleet:
    """Nodes that take turns."""

    def __init__(self, nodes: int, seed: int = 1) -> None:
        self._nodes = [
            watch_rotation.WatchRotation(random.Random(seed * nodes + index), 0.0)
            for index in range(nodes)
        ]
        self.refused: set[int] = set()

    def play(self, first_s: float, last_s: float, heard: int = 20) -> list[int]:
        """Return how many watched at each look."""
        count = len(self._nodes)
        refused = bool(self.refused)
        others = watch_rotation.PeerView(
            count, followed_count=20, heard_count=heard, store_refused=refused
        )
        return [
            sum(
                node.is_own_turn(others, look * LOOK_S) and index not in self.refused
                for index, node in enumerate(self._nodes)
            )
            for look in range(int(first_s / LOOK_S), int(last_s / LOOK_S))
        ]


def _longest_gap_s(counts: Sequence[int]) -> float:
    gap = longest = 0
    for count in counts:
        gap = 0 if count else gap + 1
        longest = max(longest, gap)
    return longest * LOOK_S


@pytest.mark.parametrize("nodes", [30, 80, 300])
def test_a_few_nodes_watch_at_any_time_whatever_the_fleet(nodes: int) -> None:
    counts = Fleet(nodes).play(0.0, 120.0)
    mean = sum(counts) / len(counts)
    assert watch_rotation.WATCHERS * 0.7 < mean < watch_rotation.WATCHERS * 2.0


@pytest.mark.parametrize("seed", range(20))
def test_there_is_no_gap_after_all_nodes_start_at_once(seed: int) -> None:
    fleet = Fleet(80, seed=seed)
    fleet.play(0.0, 1.5, heard=0)
    assert _longest_gap_s(fleet.play(1.5, 60.0)) < BOUND_S


@pytest.mark.parametrize("seed", range(20))
def test_there_is_no_gap_while_the_store_refuses_a_third_of_the_nodes(
    seed: int,
) -> None:
    fleet = Fleet(80, seed=seed)
    fleet.play(0.0, 20.0)
    fleet.refused = set(range(0, 80, 3))
    assert _longest_gap_s(fleet.play(20.0, 60.0)) < BOUND_S


def test_only_node_watches_all_the_time() -> None:
    node = watch_rotation.WatchRotation(random.Random(1), 0.0)
    others = watch_rotation.PeerView(published_count=1, followed_count=0, heard_count=0)
    assert all(node.is_own_turn(others, look * LOOK_S) for look in range(100))


def test_small_fleet_watches_all_the_time() -> None:
    node = watch_rotation.WatchRotation(random.Random(1), 0.0)
    others = watch_rotation.PeerView(published_count=5, followed_count=4, heard_count=4)
    assert all(node.is_own_turn(others, look * LOOK_S) for look in range(100))


def test_node_that_hears_no_other_watches_often() -> None:
    node = watch_rotation.WatchRotation(random.Random(1), 0.0)
    alone = watch_rotation.PeerView(
        published_count=3900, followed_count=20, heard_count=1
    )
    due = [node.is_own_turn(alone, look * 0.05) for look in range(1, 2001)]
    assert sum(due) == pytest.approx(
        100.0 / watch_rotation.ISOLATED_MEAN_REST_S, rel=0.2
    )
    assert (
        _longest_gap_s(due) * 0.05 / LOOK_S < 8.0 * watch_rotation.ISOLATED_MEAN_REST_S
    )


def test_node_that_hears_no_other_watches_once_and_looks_again() -> None:
    node = watch_rotation.WatchRotation(random.Random(1), 0.0)
    alone = watch_rotation.PeerView(
        published_count=80, followed_count=20, heard_count=0
    )
    assert node.is_own_turn(alone, 100.0)
    assert node.watch_duration_s(100.0) == watch_rotation.TURN_S
    assert not node.is_own_turn(CALM, 100.1)


def test_nodes_that_are_cut_off_are_not_counted_on() -> None:
    cut = watch_rotation.PeerView(published_count=80, followed_count=20, heard_count=10)
    assert cut.reachable_count == CALM.reachable_count / 2
