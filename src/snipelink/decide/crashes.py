"""Whether calls lost their connections because the endpoint crashed.

Fault pattern: a crash ends all connections of a process at once, and for some seconds
its port refuses new ones. Connections also end one by one or all together while the
process goes on: it resets them when it is full, or something between resets them. Then
it still answers under the identity that it had.
"""

from __future__ import annotations

import collections
import dataclasses

from snipelink.gossip import dissemination
from snipelink.retry import crash_suspects

# Time after the first lost connection at which the endpoint is asked whether it still
# is the same, seconds: the kernel ends all connections of a process within a few
# milliseconds, and those lost in one crash are blamed together.
LOSS_SETTLE_S = 0.02
# Lost calls are kept so long for an endpoint that neither answers nor refuses, seconds;
# endpoints are back after some seconds.
LOSS_KEPT_S = 30.0
# Calls blamed for one crash; they fit one datagram, so that they are judged together.
# Endpoints have about ten slots.
MAX_SUSPECTS_PER_CRASH = 48
# Crashes that a node remembers, and tells a node that starts. A request is contained
# after two or three; more come from endpoints that ended for other reasons.
MAX_KNOWN_CRASHES = 64
# Times that a node tells of a crash; datagrams get lost.
SEND_COUNT = 3
# Crashes that are told once more at a time, so that many at once make no burst.
MAX_DUE = 8
# Fingerprints whose clean runs a node counts, the latest, and those of which it keeps
# what others count. A popular request is among them, others never run twice.
MAX_COUNTED = 2048
MAX_HEARD = 1024
# Nodes whose counts are kept for one fingerprint.
MAX_COUNTING = 64


@dataclasses.dataclass(frozen=True, slots=True)
class LostCall:
    """A call that lost its connection to the endpoint before its answer was whole."""

    call_id: str
    fingerprint: str
    lost_at: float


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
    crashed_at: float
    losses: tuple[LostCall, ...]

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Return each fingerprint that is blamed once."""
        return tuple(dict.fromkeys(loss.fingerprint for loss in self.losses))


class CrashDetector:
    """Tells crashes of one endpoint from other losses of connections.

    Parameters
    ----------
    node : str
        Name of this process of the node; no other one names crashes alike.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._losses: collections.deque[LostCall] = collections.deque(
            maxlen=MAX_SUSPECTS_PER_CRASH
        )
        self._lifetime = 0
        self._is_gone = False

    @property
    def settled_at(self) -> float | None:
        """Time from which the endpoint's word counts; None if no call was lost."""
        return self._losses[0].lost_at + LOSS_SETTLE_S if self._losses else None

    def on_lost_call(self, loss: LostCall) -> None:
        """Note a call that lost its connection."""
        if self._losses and loss.lost_at - self._losses[0].lost_at >= LOSS_KEPT_S:
            self._losses.clear()
        self._losses.append(loss)

    def on_answer(self, asked_at: float) -> None:
        """Note that the same process answered a question asked at `asked_at`."""
        while self._losses and self._losses[0].lost_at + LOSS_SETTLE_S <= asked_at:
            self._losses.popleft()
        if self._is_gone:
            # A process may start again under the identity that it had.
            self._is_gone = False
            self._lifetime += 1

    def on_connection_refused(self, instance: str, now: float) -> Crash | None:
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
        losses = tuple(
            each for each in self._losses if now - each.lost_at < LOSS_KEPT_S
        )
        self._losses.clear()
        if not losses:
            return None
        name = f"{instance}/{self._node}/{self._lifetime}"
        return Crash(name, losses[0].lost_at, losses)


@dataclasses.dataclass(frozen=True, slots=True)
class KnownCrash:
    """A crash of any endpoint, as a node knows it; its time is in seconds."""

    name: str
    crashed_at: float
    fingerprints: tuple[str, ...]


class CrashDissemination:
    """Crashes of all endpoints, and how often they are still to be passed on."""

    def __init__(self) -> None:
        self._known_by_name: dict[str, KnownCrash] = {}
        self._rumours: dissemination.Queue[KnownCrash] = dissemination.Queue(
            MAX_KNOWN_CRASHES, crash_suspects.EXPIRY_S
        )

    def add(self, crash: KnownCrash, now: float) -> KnownCrash | None:
        """Return what is to be told at once; None if nothing of a crash is news."""
        if now - crash.crashed_at >= crash_suspects.EXPIRY_S:
            return None
        known = self._known_by_name.pop(crash.name, None)
        if known is not None:
            blamed = dict.fromkeys(known.fingerprints + crash.fingerprints)
            crash = KnownCrash(
                known.name, known.crashed_at, tuple(blamed)[:MAX_SUSPECTS_PER_CRASH]
            )
        while len(self._known_by_name) >= MAX_KNOWN_CRASHES:
            del self._known_by_name[next(iter(self._known_by_name))]
        self._known_by_name[crash.name] = crash
        if crash == known:
            return None
        self._rumours.add(crash, SEND_COUNT - 1, now)
        return crash

    def due_resends(self, now: float) -> list[KnownCrash]:
        """Return what is to be told once more."""
        return self._rumours.take_batch(MAX_DUE, now)

    def crash_count(self, fingerprint: str) -> int:
        """Return the crashes for which a call is blamed."""
        return sum(
            fingerprint in crash.fingerprints for crash in self._known_by_name.values()
        )

    def unexpired(self, now: float) -> list[KnownCrash]:
        """Return what a node that starts has to know."""
        return [
            crash
            for crash in self._known_by_name.values()
            if now - crash.crashed_at < crash_suspects.EXPIRY_S
        ]


class CleanRunCounts:
    """Runs that ended with an answer, by fingerprint.

    Servers that are killed often break off popular requests. Unlike a request that
    crashes them, these have run before and go on to run elsewhere; one node alone sees
    too little of that.
    """

    def __init__(self) -> None:
        self._own: dict[str, int] = {}
        self._heard: dict[str, dict[str, int]] = {}

    def on_clean_run(self, fingerprint: str) -> None:
        """Count a run that this node saw."""
        count = self._own.pop(fingerprint, 0)
        if len(self._own) >= MAX_COUNTED:
            del self._own[next(iter(self._own))]
        self._own[fingerprint] = count + 1

    def on_peer_count(self, fingerprint: str, host: str, count: int) -> None:
        """Take over what the node on a machine counts."""
        if count <= 0:
            return
        counts = self._heard.pop(fingerprint, {})
        if len(self._heard) >= MAX_HEARD:
            del self._heard[next(iter(self._heard))]
        self._heard[fingerprint] = counts
        if host in counts or len(counts) < MAX_COUNTING:
            counts[host] = max(count, counts.get(host, 0))

    def own_count(self, fingerprint: str) -> int:
        """Return the runs that this node saw."""
        return self._own.get(fingerprint, 0)

    def total_count(self, fingerprint: str) -> int:
        """Return the runs that this node and those that told it saw."""
        return self.own_count(fingerprint) + sum(
            self._heard.get(fingerprint, {}).values()
        )


def is_unlikely_cause(crash_count: int, clean_runs: int) -> bool:
    """Whether a request ran too often without a crash to be the cause of its crashes.

    The cause crashes every server, or nearly. Popular requests meet several kills of
    servers, which the share that `suspects` asks for after many crashes would blame.
    """
    return clean_runs > crash_count
