"""Thread that reads the platform on behalf of a node.

A node that is chosen to watch holds a watch on the manifest and reads the instance
list. Every node also reads the manifest at long intervals (resync), and soon after the
confirmations of the watching nodes stop (fallback); see `read_delays`.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import logging
import random
import threading
import time
from collections.abc import Callable
from typing import Protocol

import result

from snipelink.config import assembly, platform_client, read_delays, source, store
from snipelink.objects import documents

_LOG = logging.getLogger(__name__)

# Longest wait of one watch, and so the longest time between two confirmations that a
# watching node receives.
WATCH_TIMEOUT_S = 2.5
# Time between two checks for due actions, and shortest wait of a watch.
POLL_INTERVAL_S = 0.25
# If a watch ends later than its wait plus this time, this process or the platform was
# paused, and the manifest is read directly at once.
MAX_ANSWER_LATENESS_S = 0.5
# A node with a set in force reads at most this many missing documents from the platform
# at once. More documents, and all documents of a first set, are first requested from
# peers, because nodes that start together would exceed the platform's rate limit.
MAX_DIRECT_DOCUMENTS = 8
# Bounds of the random time for which documents are left to peers.
MIN_PEER_WAIT_S = 1.0
MAX_PEER_WAIT_S = 3.0
# Most consecutive stale answers that are followed by an early read of another replica.
# The bound keeps a fleet from overloading a platform whose replicas are all stale.
MAX_STALE_RETRIES = 2


class GossipState(Protocol):
    """Gossip state of the node as the thread uses it."""

    @property
    def is_standalone(self) -> bool:
        """Whether this node has no peers to get documents from."""

    @property
    def is_watching(self) -> bool:
        """Whether this node watches the platform for its failure domain."""

    @property
    def domain_size(self) -> int:
        """Number of usable members in the own failure domain."""

    @property
    def confirmed_at(self) -> float:
        """When the platform last confirmed that the revision in force is the newest.

        The time is in monotonic seconds.
        """

    def record_confirmation(self, revision: int, now: float) -> None:
        """Record that the platform answered with a revision at ``now``."""


class Action(enum.Enum):
    """What the thread does next."""

    WATCH = "watch"
    READ = "read"
    LIST = "list"
    WAIT = "wait"


@dataclasses.dataclass(slots=True)
class Schedule:
    """Times at which actions are due, in monotonic seconds.

    Attributes
    ----------
    read_at : float
        Next read of the manifest.
    list_at : float
        Next read of the instance list.
    backoff_until : float
        End of the backoff after a failed read.
    fallback_at : float
        Read of the manifest because confirmations are missing; infinite if none is due.
    failures : int
        Consecutive failed reads.
    """

    read_at: float
    list_at: float
    backoff_until: float = float("-inf")
    fallback_at: float = float("inf")
    failures: int = 0


def next_action(
    schedule: Schedule, gossip: GossipState, must_read: bool, now: float
) -> Action:
    """Return the next action.

    Parameters
    ----------
    schedule : Schedule
        Times at which actions are due.
    gossip : GossipState
        Gossip state of the node.
    must_read : bool
        Whether documents must be read because peers did not supply them.
    now : float
        Monotonic seconds.
    """
    if now < schedule.backoff_until:
        return Action.WAIT
    if must_read or now >= schedule.read_at or now >= schedule.fallback_at:
        return Action.READ
    if not gossip.is_watching:
        return Action.WAIT
    return Action.LIST if now >= schedule.list_at else Action.WATCH


class Watcher:
    """Reads the platform in its own thread and offers new sets to the store.

    Parameters
    ----------
    set_store : Store
        Store of the object set in force.
    client : PlatformClient
        Client of the platform.
    gossip : GossipState
        Gossip state of the node.
    on_instance_list : callable
        Receives each instance list and the time of its receipt.
    needs_platform : callable
        Returns whether peers failed to supply a document.
    on_accepted : callable
        Called after the store accepted a set.
    rng : random.Random
        Source of randomness for jitter.
    """

    def __init__(
        self,
        set_store: store.Store,
        client: platform_client.PlatformClient,
        gossip: GossipState,
        on_instance_list: Callable[[platform_client.InstanceList, float], None],
        needs_platform: Callable[[], bool],
        on_accepted: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self.counts_by_event: collections.Counter[str] = collections.Counter()
        self._store = set_store
        self._client = client
        self._gossip = gossip
        self._on_instance_list = on_instance_list
        self._needs_platform = needs_platform
        self._on_accepted = on_accepted
        self._rng = rng
        self._stopped = threading.Event()
        self._platform_revision = 0
        self._assembly: assembly.Assembly | None = None
        self._peer_wait_ends_at = 0.0
        self._stale_answers = 0
        now = time.monotonic()
        self._schedule = Schedule(
            now + rng.uniform(0.0, 0.5), now + rng.uniform(0.0, 1.0)
        )
        self._thread = threading.Thread(
            target=self._run, name="platform-reader", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; wait for a running watch until it times out."""
        self._stopped.set()
        self._client.close()
        if self._thread.is_alive():
            self._thread.join(WATCH_TIMEOUT_S + 1.0)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._step(time.monotonic())
            except Exception:
                _LOG.exception("reading from the platform failed; it is retried")
                self._record_failure(time.monotonic())

    def _step(self, now: float) -> None:
        self._schedule_fallback(now)
        must_read = self._must_read_documents(now)
        action = next_action(self._schedule, self._gossip, must_read, now)
        if action is Action.WAIT:
            self._stopped.wait(POLL_INTERVAL_S)
        elif action is Action.READ:
            self._read(now)
        elif action is Action.LIST:
            self._read_instance_list()
        else:
            self._watch(now)

    def _schedule_fallback(self, now: float) -> None:
        """Schedule a fallback read if confirmations are missing, else cancel it."""
        age_s = now - self._gossip.confirmed_at
        if age_s < read_delays.MAX_CONFIRMATION_AGE_S:
            self._schedule.fallback_at = float("inf")
        elif self._schedule.fallback_at == float("inf"):
            delay = read_delays.fallback_delay(self._gossip.domain_size, self._rng)
            self._schedule.fallback_at = now + delay

    def _must_read_documents(self, now: float) -> bool:
        """Whether documents must be read because peers did not supply them in time."""
        if self._store.claim().revision <= self._store.revision():
            return False
        late = self._assembly is not None and now >= self._peer_wait_ends_at
        return late or self._needs_platform()

    def _read(self, requested_at: float) -> None:
        self.counts_by_event["reads"] += 1
        answer = self._client.read(documents.MANIFEST_KEY)
        now = time.monotonic()
        if isinstance(answer, result.Err):
            self.counts_by_event[f"read-{answer.err_value.value}"] += 1
            self._record_failure(now)
            return
        self._record_success(now)
        self._handle_manifest(answer.ok_value, requested_at)

    def _watch(self, now: float) -> None:
        self.counts_by_event["watches"] += 1
        wait_s = min(
            WATCH_TIMEOUT_S, max(POLL_INTERVAL_S, self._schedule.list_at - now)
        )
        after = self._platform_revision
        answer = self._client.watch(documents.MANIFEST_KEY, after, wait_s)
        if time.monotonic() - now > wait_s + MAX_ANSWER_LATENESS_S:
            self._schedule.read_at = time.monotonic()
        if isinstance(answer, result.Err):
            self.counts_by_event[f"watch-{answer.err_value.value}"] += 1
            self._record_failure(time.monotonic())
        elif answer.ok_value is None:
            self._schedule.failures = 0
            if self._store.claim().revision <= self._store.revision():
                answered_at = min(now + wait_s, time.monotonic())
                self._gossip.record_confirmation(self._store.revision(), answered_at)
        else:
            self._record_success(time.monotonic())
            self._handle_manifest(answer.ok_value, now)

    def _read_instance_list(self) -> None:
        self.counts_by_event["lists"] += 1
        answer = self._client.instances()
        now = time.monotonic()
        if isinstance(answer, result.Err):
            self.counts_by_event[f"list-{answer.err_value.value}"] += 1
            self._schedule.list_at = now + read_delays.retry_delay(
                self._schedule.failures + 1, self._rng
            )
            return
        listed = answer.ok_value
        self._schedule.list_at = now + read_delays.list_delay(
            listed.size_bytes, self._rng
        )
        self._on_instance_list(listed, now)

    def _handle_manifest(
        self, manifest: platform_client.VersionedValue, requested_at: float
    ) -> None:
        """Collect the documents of a manifest and offer the set to the store.

        The answer is treated as being as old as its request, because this process may
        have been paused between the two.
        """
        now = time.monotonic()
        origin = source.platform(manifest.url)
        started = self._store.start_assembly(manifest.content)
        if isinstance(started, result.Err):
            self._store.offer(manifest.content, {}, origin, now)
            self._platform_revision = max(self._platform_revision, manifest.revision)
            return
        collected = started.ok_value
        if collected.revision < self._store.revision():
            self._handle_stale_answer(now)
            return
        self._stale_answers = 0
        self._platform_revision = max(self._platform_revision, manifest.revision)
        if collected.revision > self._store.revision():
            self._store.record_claim(
                collected.revision, collected.set_digest, origin, now
            )
            if not self._collect(collected, now):
                return
        accepted = self._store.accept(collected, origin, time.monotonic())
        self._assembly = None
        if isinstance(accepted, result.Ok):
            self._gossip.record_confirmation(collected.revision, requested_at)
            self._on_accepted()
        else:
            self._store.drop_claim(collected.revision)
            self._gossip.record_confirmation(self._store.revision(), requested_at)

    def _handle_stale_answer(self, now: float) -> None:
        """Schedule an early read of another replica, unless too many were stale."""
        self.counts_by_event["stale-replica"] += 1
        self._stale_answers += 1
        if self._stale_answers <= MAX_STALE_RETRIES:
            delay = read_delays.retry_delay(self._stale_answers, self._rng)
            self._schedule.read_at = now + delay

    def _collect(self, collected: assembly.Assembly, now: float) -> bool:
        """Read the missing documents; return whether all of them are present.

        False means that the documents are left to peers for now or that a read failed.
        """
        same = (
            self._assembly is not None
            and self._assembly.set_digest == collected.set_digest
        )
        if same and self._assembly is not None:
            collected.documents_by_key.update(self._assembly.documents_by_key)
        else:
            self._peer_wait_ends_at = now + self._rng.uniform(
                MIN_PEER_WAIT_S, MAX_PEER_WAIT_S
            )
        self._assembly = collected
        while missing := collected.missing():
            if not self._may_read_documents(len(missing), now):
                return False
            answer = self._client.read(missing[0])
            if isinstance(answer, result.Err):
                self.counts_by_event[f"document-{answer.err_value.value}"] += 1
                self._record_failure(time.monotonic())
                return False
            self.counts_by_event["documents"] += 1
            if isinstance(
                collected.add(missing[0], answer.ok_value.content), result.Err
            ):
                self.counts_by_event["document-damaged"] += 1
                self._record_failure(time.monotonic())
                return False
        return True

    def _may_read_documents(self, missing_count: int, now: float) -> bool:
        few = self._store.revision() > 0 and missing_count <= MAX_DIRECT_DOCUMENTS
        late = now >= self._peer_wait_ends_at or self._gossip.is_standalone
        return few or late or self._needs_platform()

    def _record_success(self, now: float) -> None:
        schedule = self._schedule
        schedule.failures = 0
        schedule.fallback_at = float("inf")
        delay = read_delays.resync_delay(self._gossip.domain_size, self._rng)
        schedule.read_at = now + (delay if self._store.revision() else POLL_INTERVAL_S)

    def _record_failure(self, now: float) -> None:
        schedule = self._schedule
        schedule.failures += 1
        schedule.backoff_until = now + read_delays.retry_delay(
            schedule.failures, self._rng
        )
