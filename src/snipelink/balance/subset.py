"""Balanced subsets of a service's endpoints, one for each node's connections."""

from __future__ import annotations

import math
from collections.abc import Collection

from snipelink.balance import rendezvous

MIN_SUBSET_SIZE = 3
# Capacity of an endpoint divided by the mean number of nodes per endpoint. A higher
# ratio moves fewer nodes when the fleet changes, but balances the endpoints less.
CAPACITY_SLACK_RATIO = 1.25
# Share of an endpoint's connection limit that subsets may use. The rest is left for
# connections being replaced and for nodes with a stale view of the fleet.
MAX_CONNECTION_RATIO = 0.75
# With more pairs of node and endpoint the assignment takes over about 0.2 s of CPU.
MAX_PAIR_COUNT = 100_000


def size(
    endpoint_count: int,
    node_count: int,
    connections: int,
    connections_per_node: int,
) -> int:
    """Return how many endpoints a node may keep connections to.

    Parameters
    ----------
    endpoint_count : int
        Endpoints of the service.
    node_count : int
        Nodes that call the service.
    connections : int
        Maximum number of connections that each endpoint accepts from all nodes.
    connections_per_node : int
        Connections that a node keeps to one endpoint.
    """
    nodes_per_endpoint = connections * MAX_CONNECTION_RATIO / connections_per_node
    allowed = (
        nodes_per_endpoint * endpoint_count / max(1, node_count) / CAPACITY_SLACK_RATIO
    )
    return min(endpoint_count, max(MIN_SUBSET_SIZE, int(allowed)))


def choose(
    node: str, nodes: Collection[str], endpoints: Collection[str], count: int
) -> tuple[str, ...]:
    """Return the subset of a node, the preferred endpoint first.

    Each node takes its highest-ranked endpoints, except those that nodes of higher rank
    have filled. Every node computes the same assignment from the same names. An
    endpoint that is added or removed mainly moves the nodes that rank it high.

    Parameters
    ----------
    node : str
        Name of the node whose subset is returned.
    nodes : collection of str
        Nodes that call the service; ``node`` is added if it is missing.
    endpoints : collection of str
        Names of the service's endpoints.
    count : int
        Size of the subset.
    """
    if count >= len(endpoints):
        return tuple(rendezvous.rank(node, endpoints))
    callers = {node, *nodes}
    if len(callers) * len(endpoints) > MAX_PAIR_COUNT:
        return tuple(rendezvous.rank(node, endpoints)[:count])
    capacity = math.ceil(len(callers) * count / len(endpoints) * CAPACITY_SLACK_RATIO)
    nodes_by_endpoint = dict.fromkeys(endpoints, 0)
    for caller in rendezvous.rank("subset", callers):
        ranked = rendezvous.rank(caller, endpoints)
        free = [name for name in ranked if nodes_by_endpoint[name] < capacity]
        chosen = tuple(free[:count])
        if caller == node:
            return chosen
        for name in chosen:
            nodes_by_endpoint[name] += 1
    return ()
