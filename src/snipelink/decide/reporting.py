"""When a node tells the others about the load of its endpoint.

Load pattern: load changes with every call, and slowness several times a second. Each
report costs the sender and the receiver processor time, and bytes to other failure
domains are paid for, so nodes hear of what changes a choice: the calls of an endpoint
only once there are so many that a further one would be crowded.

A change of the published state reaches all nodes, and each of them follows tens of
others. If all told it at once, each node would hear of it tens of times; told to a few,
who tell a few others, it reaches hundreds of nodes in three steps.
"""

from __future__ import annotations

import dataclasses

from snipelink.decide import placement

# Time between two reports to the same node, seconds, where the second one tells of an
# endpoint that changed its speed or ended, and where it tells of more or fewer calls:
# these change with every call, and the sender of a call counts it itself.
MIN_INTERVAL_S = 0.02
CALLS_INTERVAL_S = 0.05
# Nodes that are told at once of a newer published state; the others hear of it with the
# next report.
REVISION_FANOUT = 4
# Time after which an unchanged report is repeated, seconds; a fraction of
# `placement.SILENT_S`, so a lost datagram does not silence a node.
REPEAT_INTERVAL_S = placement.FRESH_S
# Share of the slots whose loss moves calls elsewhere: a cold endpoint loses most.
LOST_SLOTS_SHARE = 0.5
# Change of slowness, as a share, that moves calls elsewhere.
SLOWNESS_SHARE = 0.3
# Change of the number of calls, as a share of the slots, that moves calls of other
# failure domains.
FAR_CALLS_SHARE = 0.25
# Change of the share of failed calls, percent.
FAILING_PERCENT = 10


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What other nodes are told.

    Attributes
    ----------
    calls : int
        Calls on the endpoint and waiting for it.
    state : tuple
        All that must be told at once: identity, acceptance.
    revision : int
        Revision of the published state that the node knows.
    """

    calls: int
    slots: int
    slowness_percent: int
    failing_percent: int
    state: tuple[object, ...]
    revision: int = 0


def interval_s(sent: LoadReport, current: LoadReport, *, near: bool) -> float:
    """Return the seconds after the last report at which a node is told again."""
    if _is_urgent(sent, current):
        return MIN_INTERVAL_S
    # Fewer calls than these are all alike to `placement`.
    spare = int(placement.COMFORTABLE_SHARE * current.slots) - 1
    change = abs(max(current.calls, spare) - max(sent.calls, spare))
    least = 1 if near else max(2.0, FAR_CALLS_SHARE * current.slots)
    return CALLS_INTERVAL_S if change >= least else REPEAT_INTERVAL_S


def _is_urgent(sent: LoadReport, current: LoadReport) -> bool:
    if sent.state != current.state:
        return True
    if current.slots <= sent.slots * (1.0 - LOST_SLOTS_SHARE):
        return True
    slowness = abs(current.slowness_percent - sent.slowness_percent)
    if slowness >= SLOWNESS_SHARE * max(1, sent.slowness_percent):
        return True
    return abs(current.failing_percent - sent.failing_percent) >= FAILING_PERCENT
