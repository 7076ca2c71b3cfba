"""How long calls wait at a node that has just started.

After a loss of power, callers are back before the nodes. A starting node needs a moment
until it has read its configuration and heard of the first endpoints. Callers that were
refused then would come back together, and most of them retry only once.
"""

from __future__ import annotations

from snipelink.decide import queue_policy

# Maximum time for which a call waits for the first configuration, seconds, and as a
# fraction of its remaining time, so that enough of it is left for the call itself.
MAX_CONFIGURATION_WAIT_S = 0.5
MAX_CONFIGURATION_WAIT_RATIO = 0.25
# Time after the first configuration for which calls wait for the first endpoint of
# their service, seconds.
ENDPOINT_SETTLE_S = 1.0
# Time between two checks whether an endpoint accepts calls, seconds.
CHECK_INTERVAL_S = 0.02


def for_configuration_s(remaining_s: float) -> float:
    """Return the seconds for which a call waits for the first configuration.

    Parameters
    ----------
    remaining_s : float
        Seconds that its caller has left.
    """
    return min(MAX_CONFIGURATION_WAIT_S, remaining_s * MAX_CONFIGURATION_WAIT_RATIO)


def may_wait_for_endpoint(
    demand: queue_policy.Demand, configured_s: float, now: float
) -> bool:
    """Whether a call may wait for the first endpoint of its service.

    Parameters
    ----------
    configured_s : float
        Seconds since the node's first configuration.
    """
    if configured_s > ENDPOINT_SETTLE_S:
        return False
    return now + CHECK_INTERVAL_S + demand.work_s <= demand.target
