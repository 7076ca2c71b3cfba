from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from snipelink.decide import traffic_split


@given(
    weights=st.lists(st.integers(1, 100), min_size=2, max_size=4),
    seed=st.integers(0, 1000),
)
def test_proportions_hold_over_a_hundred_calls(weights: list[int], seed: int) -> None:
    splitter = traffic_split.TrafficSplitter(weights, random.Random(seed))
    counts = [0] * len(weights)
    for _ in range(100):
        counts[splitter.next_index()] += 1
    for count, weight in zip(counts, weights, strict=True):
        assert abs(count - 100 * weight / sum(weights)) <= len(weights)


def test_part_without_weight_gets_no_calls() -> None:
    splitter = traffic_split.TrafficSplitter([0, 5], random.Random(1))
    assert {splitter.next_index() for _ in range(50)} == {1}
