"""Watch rotation: which nodes watch the platform's store at a given time.

Each change of the store completes every open watch, and each watch is a billed request;
if all nodes watched, requests would grow with the fleet. Nodes therefore take turns: a
few of them watch at any time and report changes to the others. Each node decides at
random for itself, so that no agreement is needed when nodes stop, are partitioned or
cannot reach the store.
"""

from __future__ import annotations

import dataclasses
import math
import random

from snipelink.decide import store_outage

# Mean number of nodes that watch at any time. With this number, a gap of two seconds
# without a watching node is unlikely even while the store refuses a third of the nodes.
MEAN_WATCHER_COUNT = 6.0
# Factor by which the number of watching nodes grows while the store refuses some nodes.
STORE_REFUSED_FACTOR = 2.0
# Duration of a turn. With shorter turns, the turn of another node ends a gap sooner.
TURN_S = 2.0
# A node that receives load reports from fewer peers counts as isolated, because it may
# miss the changes that the peers report.
MIN_REPORTING_COUNT = 2
# A node that has been behind other nodes for longer than this watches at once. It is
# above the time in which a change usually arrives from other nodes, and a fraction of
# the time within which a change must take effect.
MAX_LAG_S = 0.7
# Mean rest between two watches of an isolated node; a fraction of the time within which
# a change must take effect. It is not zero because all nodes of a fleet that starts are
# isolated for a while.
ISOLATED_MEAN_REST_S = 0.5
# Pause between an answer of the store and the next watch. Changes come in bursts, and
# each answer costs a request, so the pause lets one answer cover several changes.
SOLE_WATCH_PAUSE_S = 0.15
# The same pause for a node in a rotation. It is longer because other nodes watch during
# the pause.
ROTATION_PAUSE_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """State of the other nodes as one node observes it.

    Attributes
    ----------
    published_count : int
        Number of published machines.
    followed_count, reporting_count : int
        Number of machines that this node follows or whose loads summaries tell, and of
        those of them whose loads arrive.
    store_refused : bool
        Whether the store does not answer this node or one of the followed machines.
    store_contacts : tuple of Contact
        Contacts of the other nodes with the store.
    """

    published_count: int
    followed_count: int
    reporting_count: int
    store_refused: bool = False
    store_contacts: tuple[store_outage.Contact, ...] = ()

    @property
    def reachable_count(self) -> float:
        """Estimated number of nodes in the rotation, without unreachable ones."""
        return self.published_count * self.reporting_count / max(1, self.followed_count)


class WatchRotation:
    """Decides when one node watches.

    Parameters
    ----------
    rng : random.Random
        Source of jitter, which spreads the turns of nodes that start together.
    now : float
        Present monotonic time in seconds.
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        self._rng = rng
        self._turn_ends_at: float | None = None
        self._checked_at = now

    def is_own_turn(self, peers: PeerView, now: float, behind_s: float = 0.0) -> bool:
        """Whether the node should watch now; call again after each watch.

        Parameters
        ----------
        behind_s : float
            Seconds for which this node has missed a revision that others report.
        """
        if behind_s > MAX_LAG_S:
            # The other nodes do not answer in time, and the watch does at once.
            return True
        if self._turn_ends_at is not None:
            if now < self._turn_ends_at:
                return True
            self._turn_ends_at = None
            self._checked_at = now
        # Rests are exponentially distributed. As such rests are memoryless, nodes never
        # synchronise, however they start, and a changed mean takes effect at once.
        rested_s = now - self._checked_at
        self._checked_at = now
        mean_s = _mean_rest_s(peers)
        if mean_s > 0.0 and self._rng.random() < math.exp(-rested_s / mean_s):
            return False
        # The turn of an isolated node is a single watch, after which it may receive
        # reports from peers.
        self._turn_ends_at = (
            now if peers.reporting_count < MIN_REPORTING_COUNT else now + TURN_S
        )
        return True

    def end_turn(self) -> None:
        """End the present turn after the watch in progress."""
        if self._turn_ends_at is not None:
            self._turn_ends_at = -math.inf

    def watch_duration_s(self, now: float) -> float:
        """Return the seconds until the next watch should time out."""
        left_s = 0.0 if self._turn_ends_at is None else self._turn_ends_at - now
        return left_s if left_s > 0.0 else TURN_S


def watch_pause_s(peers: PeerView) -> float:
    """Return the seconds between an answer of the store and the next watch."""
    return ROTATION_PAUSE_S if _mean_rest_s(peers) > 0.0 else SOLE_WATCH_PAUSE_S


def _mean_rest_s(peers: PeerView) -> float:
    if peers.published_count and peers.followed_count < MIN_REPORTING_COUNT:
        return 0.0
    if peers.reporting_count < MIN_REPORTING_COUNT:
        return ISOLATED_MEAN_REST_S
    watchers = MEAN_WATCHER_COUNT * (
        STORE_REFUSED_FACTOR if peers.store_refused else 1.0
    )
    return max(0.0, TURN_S * (peers.reachable_count / watchers - 1.0))
