from __future__ import annotations

import collections

from snipelink.balance import subset

NODES = [f"n{i}" for i in range(150)]
ENDPOINTS = [f"e{i}" for i in range(30)]


def choose_subsets(
    nodes: list[str], endpoints: list[str]
) -> dict[str, tuple[str, ...]]:
    return {node: subset.choose(node, nodes, endpoints, 5) for node in nodes}


def test_endpoints_receive_a_balanced_number_of_nodes() -> None:
    """Guards against a server that receives more connections than its limit."""
    counts = collections.Counter(
        name for names in choose_subsets(NODES, ENDPOINTS).values() for name in names
    )
    assert sum(counts.values()) == 150 * 5
    assert max(counts.values()) <= 32
    assert min(counts.values()) >= 15


def test_removed_endpoint_moves_few_connections() -> None:
    """Guards against a reconnect storm when one endpoint is removed."""
    before = choose_subsets(NODES, ENDPOINTS)
    after = choose_subsets(NODES, ENDPOINTS[:-1])
    moved = sum(len(set(after[node]) - set(before[node])) for node in NODES)
    lost = sum(ENDPOINTS[-1] in before[node] for node in NODES)
    assert lost <= moved <= 2.5 * lost


def test_size_keeps_connections_under_the_limit() -> None:
    """Guards against subsets that together exceed the servers' connection limits."""
    count = subset.size(100, 3900, 200, 1)
    assert 3900 * count / 100 * subset.CAPACITY_SLACK_RATIO <= 200
    assert subset.size(4, 10, 200, 4) == 4
