"""When a node watches the platform's store itself.

Load pattern: each change wakes every watch, and each watch is a call that is paid for;
if all nodes watched, calls would grow with the fleet. Nodes watch in turns, so that a
few of them watch at any time, and tell the others. None is appointed, so that nothing
has to be agreed on when nodes end, are cut off or cannot reach the store.
"""

from __future__ import annotations

import dataclasses
import math
import random

# Nodes that watch at any time, in the mean; that none does for two seconds is unlikely
# even while the store refuses a third of them.
WATCHERS = 6.0
# Factor by which more nodes try while the store refuses some.
REFUSED_FACTOR = 2.0
# Length of a turn, seconds; the shorter, the sooner another one makes up for a gap.
TURN_S = 2.0
# A node that hears fewer others cannot rely on them.
MIN_HEARD = 2
# Mean time between two watches of such a node, seconds: a fraction of the time in which
# a change must be in force. When a whole fleet starts, all are alone for a while.
ISOLATED_MEAN_REST_S = 0.5
# Changes come in series, and each answer of the store costs a call; time between an
# answer and the next watch, seconds, of a node that watches all the time, and of one
# that takes turns with others, which watch meanwhile.
PAUSE_S = 0.15
SHARED_PAUSE_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """What a node knows of the other ones.

    Attributes
    ----------
    published : int
        Machines that are published.
    followed, heard : int
        Machines that this node follows, and those of them that it hears.
    refused : bool
        Whether the store does not answer one of them, or this node.
    """

    published_count: int
    followed_count: int
    heard_count: int
    store_refused: bool = False

    @property
    def reachable_count(self) -> float:
        """Nodes that take turns with this one; those cut off from it do not."""
        return self.published_count * self.heard_count / max(1, self.followed_count)


class WatchRotation:
    """Turns of one node.

    Parameters
    ----------
    rng : random.Random
        Spreads the turns of nodes that start together.
    now : float
        Present monotonic time, seconds.
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        self._rng = rng
        self._turn_ends: float | None = None
        self._looked_at = now

    def is_own_turn(self, others: PeerView, now: float) -> bool:
        """Whether the node should watch now; to be asked again after each watch."""
        if self._turn_ends is not None:
            if now < self._turn_ends:
                return True
            self._turn_ends = None
            self._looked_at = now
        # Rests without memory never fall into step, however nodes start, and follow a
        # mean that changes.
        rested_s = now - self._looked_at
        self._looked_at = now
        mean_s = _mean_rest_s(others)
        if mean_s > 0.0 and self._rng.random() < math.exp(-rested_s / mean_s):
            return False
        # A node that is alone may hear others after a single watch.
        self._turn_ends = now if others.heard_count < MIN_HEARD else now + TURN_S
        return True

    def end_turn(self) -> None:
        """Let the present turn end with its watch."""
        if self._turn_ends is not None:
            self._turn_ends = -math.inf

    def watch_duration_s(self, now: float) -> float:
        """Return the seconds for which to watch."""
        left_s = 0.0 if self._turn_ends is None else self._turn_ends - now
        return left_s if left_s > 0.0 else TURN_S


def watch_pause_s(others: PeerView) -> float:
    """Return the seconds between an answer of the store and the next watch."""
    return SHARED_PAUSE_S if _mean_rest_s(others) > 0.0 else PAUSE_S


def _mean_rest_s(others: PeerView) -> float:
    if others.published_count and others.followed_count < MIN_HEARD:
        return 0.0
    if others.heard_count < MIN_HEARD:
        return ISOLATED_MEAN_REST_S
    watchers = WATCHERS * (REFUSED_FACTOR if others.store_refused else 1.0)
    return max(0.0, TURN_S * (others.reachable_count / watchers - 1.0))
