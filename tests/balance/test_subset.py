from __future__ import annotations

import collections

from snipelink.balance import subset

NODES = [f"n{i}" for i in range(150)]
ENDPOINTS = [f"e{i}" for i in range(30)]


def assign(nodes: list[str], endpoints: list[str]) -> dict[str, tuple[str, ...]]:
    return {node: subset.choose(node, nodes, endpoints, 5) for node in nodes}


def test_no_endpoint_receives_more_than_its_part() -> None:
    """Guards against connections above the limit of a server."""
    counts = collections.Counter(
        name for names in assign(NODES, ENDPOINTS).values() for name in names
    )
    assert sum(counts.values()) == 150 * 5
    assert max(counts.values()) <= 32
    assert min(counts.values()) >= 15


def test_change_of_the_fleet_moves_few_connections() -> None:
    """Guards against a wave of new connections when one endpoint leaves."""
    before = assign(NODES, ENDPOINTS)
    after = assign(NODES, ENDPOINTS[:-1])
    moved = sum(len(set(after[n]) - set(before[n])) for n in NODES)
    left = sum(ENDPOINTS[-1] in before[n] for n in NODES)
    assert left <= moved <= 2.5 * left


def test_size_keeps_connections_under_the_limit() -> None:
    """Guards against subsets that are too large for the servers together."""
    count = subset.size(100, 3900, 200, 1)
    assert 3900 * count / 100 * subset.CAPACITY_SLACK_RATIO <= 200
    assert subset.size(4, 10, 200, 4) == 4
