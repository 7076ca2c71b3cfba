"""When a node tells the others about the load of its endpoint.

Load pattern: load changes with every call, and slowness several times a second.
Nodes of the same failure domain hear of each change; bytes to other failure domains
are paid for, so those hear of what changes a choice.
"""

from __future__ import annotations

import dataclasses

# Time between two reports to the same node, seconds: a poll of the endpoint.
MIN_INTERVAL_S = 0.02
# Time after which an unchanged report is repeated, seconds; a fraction of
# `placement.SILENT_S`, so a few lost datagrams do not silence a node.
NEAR_REPEAT_S = 0.25
FAR_REPEAT_S = 0.35
# Change of slowness, as a share, that moves calls elsewhere.
SLOWNESS_SHARE = 0.3
# Change of the number of calls, as a share of the slots, that moves calls of other
# failure domains.
FAR_CALLS_SHARE = 0.25
# Change of the share of failed calls, percent.
FAILING_PERCENT = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What other nodes are told.

    Attributes
    ----------
    calls : int
        Calls on the endpoint and waiting for it.
    state : tuple
        All that must be told at once: identity, acceptance, version in force.
    """

    calls: int
    slots: int
    slowness_percent: int
    failing_percent: int
    state: tuple[object, ...]


def is_due(sent: Report, current: Report, age_s: float, *, near: bool) -> bool:
    """Whether a node should be told again, `age_s` seconds after the last time."""
    if age_s < MIN_INTERVAL_S:
        return False
    if sent.state != current.state or age_s >= (
        NEAR_REPEAT_S if near else FAR_REPEAT_S
    ):
        return True
    slowness = abs(current.slowness_percent - sent.slowness_percent)
    if slowness >= SLOWNESS_SHARE * max(1, sent.slowness_percent):
        return True
    if abs(current.failing_percent - sent.failing_percent) >= FAILING_PERCENT:
        return True
    change = abs(current.calls - sent.calls)
    return change >= (1 if near else max(2.0, FAR_CALLS_SHARE * current.slots))
