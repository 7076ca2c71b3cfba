"""Bounded, balanced subsets of endpoints that nodes keep connections to."""

from __future__ import annotations

import math
from collections.abc import Collection

from snipelink.balance import rendezvous

MIN_SIZE = 3
# Room above the mean number of nodes per endpoint. The more room, the fewer nodes move
# when the fleet changes, and the less balanced the subsets are.
SLACK = 1.25
# Part of the server's limit that subsets may use; the rest is for connections being
# replaced and for nodes whose view of the fleet is late.
CONNECTION_SHARE = 0.75
# Above this many pairs the balanced assignment costs more than about 0.2 s of CPU.
MAX_PAIRS = 100_000


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
        Connections each endpoint accepts over all nodes.
    connections_per_node : int
        Connections a node keeps to one endpoint.
    """
    nodes_per_endpoint = connections * CONNECTION_SHARE / connections_per_node
    allowed = nodes_per_endpoint * endpoint_count / max(1, node_count) / SLACK
    return min(endpoint_count, max(MIN_SIZE, int(allowed)))


def choose(
    node: str, nodes: Collection[str], endpoints: Collection[str], count: int
) -> tuple[str, ...]:
    """Return the subset of a node, the preferred endpoint first.

    Each node takes its highest-ranked endpoints, except those that are full with nodes
    of higher rank. Every node computes the same assignment from the same names; an
    endpoint that comes or goes moves only the nodes that rank it high.

    Parameters
    ----------
    node : str
        The node whose subset is wanted.
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
    if len(callers) * len(endpoints) > MAX_PAIRS:
        return tuple(rendezvous.rank(node, endpoints)[:count])
    capacity = math.ceil(len(callers) * count / len(endpoints) * SLACK)
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
