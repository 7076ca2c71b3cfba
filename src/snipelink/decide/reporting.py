"""When a node reports the load of its endpoint to the nodes that follow it.

The number of calls changes with every call, and slowness several times a second. Each
report costs processor time at the sender and the receiver, and traffic to other failure
domains is billed. A node therefore reports only changes that affect the choice of an
endpoint; the number of calls matters only once another call would be slowed down by the
ones that already run.

A new revision of the published state is disseminated by gossip with a small fan-out.
Each node is followed by tens of others; if every node reported the revision to all of
its followers at once, each node would receive it tens of times. With a small fan-out it
reaches hundreds of nodes in three hops.
"""

from __future__ import annotations

import dataclasses

from snipelink.decide import placement

# Minimum time between two reports to the same node if the endpoint's speed or state
# has changed.
URGENT_INTERVAL_S = 0.02
# Minimum time between two reports if only the number of calls has changed. It is longer
# because the number changes with every call, and a node counts the calls that it sends.
CALL_COUNT_INTERVAL_S = 0.05
# Gossip fan-out: followers that receive a newer revision of the published state at
# once. The others receive it with their next report.
REVISION_FANOUT = 4
# Time after which an unchanged report is repeated. It is a fraction of
# `placement.SILENT_NODE_S`, so that one lost datagram does not make a node appear
# silent.
REPEAT_INTERVAL_S = placement.FRESH_REPORT_S
# Fraction of the slots whose loss is urgent; an endpoint that becomes cold loses most
# of its slots.
LOST_SLOTS_RATIO = 0.5
# Relative change of slowness that is urgent.
SLOWNESS_CHANGE_RATIO = 0.3
# Change of the number of calls, relative to the slots, from which it is reported to
# nodes of other failure domains.
FAR_CALLS_CHANGE_RATIO = 0.25
# Change of the percentage of failed calls that is urgent.
FAILING_CHANGE_PERCENT = 10


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an endpoint as reported to other nodes.

    Attributes
    ----------
    calls : int
        Number of calls that run on the endpoint or wait for it.
    state : tuple
        Properties whose change is urgent: identity, and whether calls are accepted.
    position : tuple of (int, int)
        Era and revision of the published state that is in force at the node.
    """

    calls: int
    slots: int
    slowness_percent: int
    failing_percent: int
    state: tuple[object, ...]
    position: tuple[int, int] = (0, 0)


def interval_s(sent: LoadReport, current: LoadReport, *, near: bool) -> float:
    """Return the seconds between the last report to a node and the next report.

    Parameters
    ----------
    sent, current : LoadReport
        Last report sent to the node, and the present load.
    near : bool
        Whether the node is in the same failure domain.
    """
    if _is_urgent(sent, current):
        return URGENT_INTERVAL_S
    # Up to this number of calls, a further one is not slowed down (see `placement`).
    uncrowded = int(placement.UNCROWDED_RATIO * current.slots) - 1
    change = abs(max(current.calls, uncrowded) - max(sent.calls, uncrowded))
    min_change = 1 if near else max(2.0, FAR_CALLS_CHANGE_RATIO * current.slots)
    return CALL_COUNT_INTERVAL_S if change >= min_change else REPEAT_INTERVAL_S


def _is_urgent(sent: LoadReport, current: LoadReport) -> bool:
    if sent.state != current.state:
        return True
    if current.slots <= sent.slots * (1.0 - LOST_SLOTS_RATIO):
        return True
    slowness = abs(current.slowness_percent - sent.slowness_percent)
    if slowness >= SLOWNESS_CHANGE_RATIO * max(1, sent.slowness_percent):
        return True
    return abs(current.failing_percent - sent.failing_percent) >= FAILING_CHANGE_PERCENT
