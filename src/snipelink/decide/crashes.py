"""Detection of endpoint crashes, and the requests suspected of causing them.

A crash closes all connections of a process at once, and its port refuses new ones for
some seconds. Connections may also close, singly or all together, while the process
keeps running: the process resets them when it is overloaded, or a device on the path
resets them. In both cases the process still answers under the same identity.
"""

from __future__ import annotations

import collections
import dataclasses

from snipelink.gossip import dissemination
from snipelink.retry import crash_suspects

# Time after the first lost connection at which the endpoint is polled to find out
# whether it is still the same process. The kernel closes all connections of a process
# within a few milliseconds; all calls that one crash interrupts are suspected together.
LOSS_SETTLE_S = 0.02
# Time for which lost calls are kept while an endpoint neither answers nor refuses
# connections; endpoints usually restart within some seconds.
LOSS_RETENTION_S = 30.0
# Maximum number of calls suspected of one crash; endpoints have about ten slots. The
# calls fit into one datagram, so that nodes evaluate them together.
MAX_SUSPECTS_PER_CRASH = 48
# Maximum number of crashes that a node stores and sends to a starting node. A request
# is contained after two or three crashes; further crashes have other causes.
MAX_KNOWN_CRASHES = 64
# Number of times that a node sends each crash, because datagrams may be lost.
SEND_COUNT = 3
# Maximum number of crashes that are resent in one round, to prevent datagram bursts.
MAX_RESENDS_PER_ROUND = 8
# Number of fingerprints, the most recent ones, whose clean runs a node counts. Frequent
# requests stay among them; most other requests never run a second time.
MAX_OWN_FINGERPRINTS = 2048
# Number of fingerprints whose clean-run counts from other nodes are stored.
MAX_PEER_FINGERPRINTS = 1024
# Maximum number of nodes whose clean-run counts are stored for one fingerprint.
MAX_PEERS_PER_FINGERPRINT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class LostCall:
    """A call whose connection to the endpoint closed before the answer was complete."""

    call_id: str
    fingerprint: str
    lost_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Crash of an endpoint's process, with the calls that were running.

    Attributes
    ----------
    name : str
        Identifier of the crash, the same on every node.
    crashed_at : float
        Monotonic time in seconds at which the first connection was lost.
    """

    name: str
    crashed_at: float
    losses: tuple[LostCall, ...]

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Return the distinct fingerprints of the lost calls."""
        return tuple(dict.fromkeys(loss.fingerprint for loss in self.losses))


class CrashDetector:
    """Distinguishes crashes of one endpoint from other losses of connections.

    Parameters
    ----------
    node_name : str
        Name of this process of the node; it makes the names of crashes unique.
    """

    def __init__(self, node_name: str) -> None:
        self._node_name = node_name
        self._losses: collections.deque[LostCall] = collections.deque(
            maxlen=MAX_SUSPECTS_PER_CRASH
        )
        self._lifetime = 0
        self._is_down = False

    @property
    def settled_at(self) -> float | None:
        """Time from which a poll or refusal is conclusive; None without lost calls."""
        return self._losses[0].lost_at + LOSS_SETTLE_S if self._losses else None

    def on_lost_call(self, loss: LostCall) -> None:
        """Record a call that lost its connection."""
        if self._losses and loss.lost_at - self._losses[0].lost_at >= LOSS_RETENTION_S:
            self._losses.clear()
        self._losses.append(loss)

    def on_answer(self, polled_at: float) -> None:
        """Record that the same process answered a poll that was sent at `polled_at`."""
        while self._losses and self._losses[0].lost_at + LOSS_SETTLE_S <= polled_at:
            self._losses.popleft()
        if self._is_down:
            # A process may restart under the same identity.
            self._is_down = False
            self._lifetime += 1

    def on_connection_refused(self, instance: str, now: float) -> Crash | None:
        """Return the crash that a refused connection reveals, if not yet returned."""
        settled_at = self.settled_at
        if settled_at is None or now < settled_at:
            return None
        self._is_down = True
        return self._consume_losses(instance, now)

    def on_new_process(self, instance: str, now: float) -> Crash | None:
        """Return the crash of the replaced process `instance`, if not yet returned."""
        crash = self._consume_losses(instance, now)
        self._is_down = False
        self._lifetime += 1
        return crash

    def _consume_losses(self, instance: str, now: float) -> Crash | None:
        losses = tuple(
            each for each in self._losses if now - each.lost_at < LOSS_RETENTION_S
        )
        self._losses.clear()
        if not losses:
            return None
        name = f"{instance}/{self._node_name}/{self._lifetime}"
        return Crash(name, losses[0].lost_at, losses)


@dataclasses.dataclass(frozen=True, slots=True)
class KnownCrash:
    """A crash of any endpoint, with its monotonic time in seconds."""

    name: str
    crashed_at: float
    fingerprints: tuple[str, ...]


class CrashDissemination:
    """Gossip about the crashes of all endpoints."""

    def __init__(self) -> None:
        self._known_by_name: dict[str, KnownCrash] = {}
        self._resends: dissemination.Queue[KnownCrash] = dissemination.Queue(
            MAX_KNOWN_CRASHES, crash_suspects.EXPIRY_S
        )

    def add(self, crash: KnownCrash, now: float) -> KnownCrash | None:
        """Merge a crash; return what to send at once, or None if nothing is new."""
        if now - crash.crashed_at >= crash_suspects.EXPIRY_S:
            return None
        previous = self._known_by_name.pop(crash.name, None)
        if previous is not None:
            suspected = dict.fromkeys(previous.fingerprints + crash.fingerprints)
            crash = KnownCrash(
                previous.name,
                previous.crashed_at,
                tuple(suspected)[:MAX_SUSPECTS_PER_CRASH],
            )
        while len(self._known_by_name) >= MAX_KNOWN_CRASHES:
            del self._known_by_name[next(iter(self._known_by_name))]
        self._known_by_name[crash.name] = crash
        if crash == previous:
            return None
        self._resends.add(crash, SEND_COUNT - 1, now)
        return crash

    def due_resends(self, now: float) -> list[KnownCrash]:
        """Return the crashes to send again."""
        return self._resends.take_batch(MAX_RESENDS_PER_ROUND, now)

    def crash_count(self, fingerprint: str) -> int:
        """Return the number of crashes of which a request is suspected."""
        return sum(
            fingerprint in crash.fingerprints for crash in self._known_by_name.values()
        )

    def unexpired(self, now: float) -> list[KnownCrash]:
        """Return the crashes to send to a node that starts."""
        return [
            crash
            for crash in self._known_by_name.values()
            if now - crash.crashed_at < crash_suspects.EXPIRY_S
        ]


class CleanRunCounts:
    """Number of clean runs, which end with an answer, by request fingerprint.

    When servers are killed, popular requests are often among the interrupted calls.
    Unlike a poison request, they have completed before and complete elsewhere. The
    counts of several nodes are combined, as a single node sees too few of the runs.
    """

    def __init__(self) -> None:
        self._own_counts: dict[str, int] = {}
        self._peer_counts: dict[str, dict[str, int]] = {}

    def on_clean_run(self, fingerprint: str) -> None:
        """Count a clean run that this node observed."""
        count = self._own_counts.pop(fingerprint, 0)
        if len(self._own_counts) >= MAX_OWN_FINGERPRINTS:
            del self._own_counts[next(iter(self._own_counts))]
        self._own_counts[fingerprint] = count + 1

    def on_peer_count(self, fingerprint: str, host: str, count: int) -> None:
        """Merge the count that the node on a host reports."""
        if count <= 0:
            return
        counts = self._peer_counts.pop(fingerprint, {})
        if len(self._peer_counts) >= MAX_PEER_FINGERPRINTS:
            del self._peer_counts[next(iter(self._peer_counts))]
        self._peer_counts[fingerprint] = counts
        if host in counts or len(counts) < MAX_PEERS_PER_FINGERPRINT:
            counts[host] = max(count, counts.get(host, 0))

    def own_count(self, fingerprint: str) -> int:
        """Return the clean runs that this node observed."""
        return self._own_counts.get(fingerprint, 0)

    def total_count(self, fingerprint: str) -> int:
        """Return the clean runs that this node observed or other nodes reported."""
        return self.own_count(fingerprint) + sum(
            self._peer_counts.get(fingerprint, {}).values()
        )


def is_unlikely_cause(crash_count: int, clean_runs: int) -> bool:
    """Whether a request had too many clean runs to be the cause of its crashes.

    A poison request crashes nearly every server on which it runs. A popular request
    runs on several servers that are killed for other reasons; the crash ratio that
    `crash_suspects` requires after many crashes would contain it wrongly.
    """
    return clean_runs > crash_count
