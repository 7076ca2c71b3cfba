"""Whether calls lost their connections because the endpoint crashed.

Fault pattern: a crash ends all connections of a process at once, and for some seconds
its port refuses new ones. Connections also end one by one or all together while the
process goes on: it resets them when it is full, or something between resets them. Then
it still answers under the identity that it had.
"""

from __future__ import annotations

import collections
import dataclasses

# Time after the first lost connection at which the endpoint is asked whether it still
# is the same, seconds: the kernel ends all connections of a process within a few
# milliseconds, and those lost in one crash are blamed together.
SETTLE_S = 0.02
# Lost calls are kept so long for an endpoint that neither answers nor refuses, seconds;
# endpoints are back after some seconds.
LOSS_KEPT_S = 30.0
# Calls blamed for one crash; they fit one datagram. Endpoints have about ten slots.
MAX_BLAMED = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A call that lost its connection to the endpoint before its answer was whole."""

    call_id: str
    fingerprint: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """End of an endpoint's process, with the calls that were running.

    Attributes
    ----------
    name : str
        The same on every node.
    at : float
        Time in seconds at which the first connection was lost.
    """

    name: str
    at: float
    losses: tuple[Loss, ...]

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Return each fingerprint that is blamed once."""
        return tuple(dict.fromkeys(loss.fingerprint for loss in self.losses))


class Detector:
    """Tells crashes of one endpoint from other losses of connections.

    Parameters
    ----------
    node : str
        Name of this process of the node; no other one names crashes alike.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._losses: collections.deque[Loss] = collections.deque(maxlen=MAX_BLAMED)
        self._lifetime = 0
        self._is_gone = False

    @property
    def settled_at(self) -> float | None:
        """Time from which the endpoint's word counts; None if no call was lost."""
        return self._losses[0].at + SETTLE_S if self._losses else None

    def on_lost(self, loss: Loss) -> None:
        """Note a call that lost its connection."""
        if self._losses and loss.at - self._losses[0].at >= LOSS_KEPT_S:
            self._losses.clear()
        self._losses.append(loss)

    def on_answer(self, asked_at: float) -> None:
        """Note that the same process answered a question asked at `asked_at`."""
        settled_at = self.settled_at
        if settled_at is not None and asked_at >= settled_at:
            self._losses.clear()
        if self._is_gone:
            # A process may start again under the identity that it had.
            self._is_gone = False
            self._lifetime += 1

    def on_refused(self, instance: str, now: float) -> Crash | None:
        """Return the crash that a refused connection tells of, if it is news."""
        settled_at = self.settled_at
        if settled_at is None or now < settled_at:
            return None
        self._is_gone = True
        return self._take(instance, now)

    def on_new_process(self, instance: str, now: float) -> Crash | None:
        """Return the crash of the former process `instance`, if it is news."""
        crash = self._take(instance, now)
        self._is_gone = False
        self._lifetime += 1
        return crash

    def _take(self, instance: str, now: float) -> Crash | None:
        losses = tuple(each for each in self._losses if now - each.at < LOSS_KEPT_S)
        self._losses.clear()
        if not losses:
            return None
        name = f"{instance}/{self._node}/{self._lifetime}"
        return Crash(name, losses[0].at, losses)
