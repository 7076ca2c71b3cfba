"""Thread that reads the platform: watches, audits, and the fallback."""

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

# Also the longest time between two confirmations of a watching node.
WATCH_TIMEOUT_S = 2.5
POLL_INTERVAL_S = 0.25
# A watch that ends later than this was cut by a pause of this process or the platform.
MAX_ANSWER_LATENESS_S = 0.5
# Documents that a running node reads itself at once. More of them, and all of a first
# set, are left to peers first: nodes that start together would exceed the rate limit.
MAX_DIRECT_DOCUMENTS = 8
MIN_PEER_WAIT_S = 1.0
MAX_PEER_WAIT_S = 3.0
# A platform that is stale as a whole must not be read again and again by every node.
MAX_STALE_RETRIES = 2


class GossipState(Protocol):
    """What the thread needs to know of the node's exchange."""

    @property
    def is_standalone(self) -> bool:
        """Whether this node has no peers to read from."""

    @property
    def is_watching(self) -> bool:
        """Whether this node holds a watch."""

    @property
    def domain_size(self) -> int:
        """Number of members of the failure domain."""

    @property
    def confirmed_at(self) -> float:
        """When the platform last confirmed that it has nothing newer."""

    def record_confirmation(self, revision: int, now: float) -> None:
        """Note an answer of the platform."""


class Action(enum.Enum):
    """What the thread does next."""

    WATCH = "watch"
    READ = "read"
    LIST = "list"
    WAIT = "wait"


@dataclasses.dataclass(slots=True)
class Schedule:
    """When the thread acts; all times are monotonic seconds."""

    read_at: float
    list_at: float
    backoff_until: float = float("-inf")
    fallback_at: float = float("inf")
    failures: int = 0


def next_action(
    schedule: Schedule, gossip: GossipState, urgent: bool, now: float
) -> Action:
    """Return the next action.

    Parameters
    ----------
    schedule : Schedule
        Times of the next actions.
    gossip : GossipState
        Role and news of the node.
    urgent : bool
        Whether peers could not supply a document.
    now : float
        Monotonic seconds.
    """
    if now < schedule.backoff_until:
        return Action.WAIT
    if urgent or now >= schedule.read_at or now >= schedule.fallback_at:
        return Action.READ
    if not gossip.is_watching:
        return Action.WAIT
    return Action.LIST if now >= schedule.list_at else Action.WATCH


class Watcher:
    """Reads the platform in one thread.

    Parameters
    ----------
    set_store : Store
        Accepted set.
    client : PlatformClient
        Client of the platform.
    gossip : GossipState
        Role and news of the node.
    on_instance_list : callable
        Receives each instance list.
    needs_platform : callable
        Whether peers could not supply a document.
    on_accepted : callable
        Called when a set was put in force.
    rng : random.Random
        Jitter.
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
        self._reader = client
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
        """Stop the thread; a waiting watch ends with its timeout."""
        self._stopped.set()
        self._reader.close()
        if self._thread.is_alive():
            self._thread.join(WATCH_TIMEOUT_S + 1.0)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._step(time.monotonic())
            except Exception:
                _LOG.exception("platform reader")
                self._record_failure(time.monotonic())

    def _step(self, now: float) -> None:
        self._schedule_fallback(now)
        urgent = self._must_read_documents(now)
        action = next_action(self._schedule, self._gossip, urgent, now)
        if action is Action.WAIT:
            self._stopped.wait(POLL_INTERVAL_S)
        elif action is Action.READ:
            self._read(now)
        elif action is Action.LIST:
            self._read_instance_list()
        else:
            self._watch(now)

    def _schedule_fallback(self, now: float) -> None:
        """Start a random delay when confirmations are missing; news end it."""
        age_s = now - self._gossip.confirmed_at
        if age_s < read_delays.MAX_CONFIRMATION_AGE_S:
            self._schedule.fallback_at = float("inf")
        elif self._schedule.fallback_at == float("inf"):
            delay = read_delays.fallback_delay(self._gossip.domain_size, self._rng)
            self._schedule.fallback_at = now + delay

    def _must_read_documents(self, now: float) -> bool:
        """Whether documents that peers did not supply must be read now."""
        if self._store.claim().revision <= self._store.revision():
            return False
        late = self._assembly is not None and now >= self._peer_wait_ends_at
        return late or self._needs_platform()

    def _read(self, asked_at: float) -> None:
        self.counts_by_event["reads"] += 1
        answer = self._reader.read(documents.MANIFEST_KEY)
        now = time.monotonic()
        if isinstance(answer, result.Err):
            self.counts_by_event[f"read-{answer.err_value.value}"] += 1
            self._record_failure(now)
            return
        self._record_success(now)
        self._handle_manifest(answer.ok_value, asked_at)

    def _watch(self, now: float) -> None:
        self.counts_by_event["watches"] += 1
        wait_s = min(
            WATCH_TIMEOUT_S, max(POLL_INTERVAL_S, self._schedule.list_at - now)
        )
        after = self._platform_revision
        answer = self._reader.watch(documents.MANIFEST_KEY, after, wait_s)
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
        answer = self._reader.instances()
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
        self, reading: platform_client.VersionedValue, asked_at: float
    ) -> None:
        """Collect the set of a manifest and offer it.

        The platform's answer is as old as the question: a pause of this process may
        lie between the two.
        """
        now = time.monotonic()
        origin = source.platform(reading.url)
        started = self._store.start_assembly(reading.content)
        if isinstance(started, result.Err):
            self._store.offer(reading.content, {}, origin, now)
            self._platform_revision = max(self._platform_revision, reading.revision)
            return
        collected = started.ok_value
        if collected.revision < self._store.revision():
            self._handle_stale_answer(now)
            return
        self._stale_answers = 0
        self._platform_revision = max(self._platform_revision, reading.revision)
        if collected.revision > self._store.revision():
            self._store.record_claim(
                collected.revision, collected.set_digest, origin, now
            )
            if not self._collect(collected, now):
                return
        accepted = self._store.accept(collected, origin, time.monotonic())
        self._assembly = None
        if isinstance(accepted, result.Ok):
            self._gossip.record_confirmation(collected.revision, asked_at)
            self._on_accepted()
        else:
            self._store.drop_claim(collected.revision)
            self._gossip.record_confirmation(self._store.revision(), asked_at)

    def _handle_stale_answer(self, now: float) -> None:
        """Try other replicas soon, but only a few times."""
        self.counts_by_event["stale-replica"] += 1
        self._stale_answers += 1
        if self._stale_answers <= MAX_STALE_RETRIES:
            delay = read_delays.retry_delay(self._stale_answers, self._rng)
            self._schedule.read_at = now + delay

    def _collect(self, collected: assembly.Assembly, now: float) -> bool:
        """Read missing documents; False when they are left to peers or failed."""
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
            answer = self._reader.read(missing[0])
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

    def _may_read_documents(self, missing: int, now: float) -> bool:
        few = self._store.revision() > 0 and missing <= MAX_DIRECT_DOCUMENTS
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
