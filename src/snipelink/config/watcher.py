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
WATCH_S = 2.5
STEP_S = 0.25
# A watch that ends later than this was cut by a pause of this process or the platform.
LATE_ANSWER_S = 0.5
# Documents that a running node reads itself at once. More of them, and all of a first
# set, are left to peers first: nodes that start together would exceed the rate limit.
FEW_DOCUMENTS = 8
SHORTEST_PEER_PATIENCE_S = 1.0
LONGEST_PEER_PATIENCE_S = 3.0
# A platform that is stale as a whole must not be read again and again by every node.
STALE_RETRIES = 2


class Situation(Protocol):
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
class Plan:
    """When the thread acts; all times are monotonic seconds."""

    read_at: float
    list_at: float
    blocked_until: float = float("-inf")
    fallback_at: float = float("inf")
    failures: int = 0


def decide(plan: Plan, situation: Situation, urgent: bool, now: float) -> Action:
    """Return the next action.

    Parameters
    ----------
    plan : Plan
        Times of the next actions.
    situation : Situation
        Role and news of the node.
    urgent : bool
        Whether peers could not supply a document.
    now : float
        Monotonic seconds.
    """
    if now < plan.blocked_until:
        return Action.WAIT
    if urgent or now >= plan.read_at or now >= plan.fallback_at:
        return Action.READ
    if not situation.is_watching:
        return Action.WAIT
    return Action.LIST if now >= plan.list_at else Action.WATCH


class Watcher:
    """Reads the platform in one thread.

    Parameters
    ----------
    target : Store
        Accepted set.
    client : PlatformClient
        Client of the platform.
    situation : Situation
        Role and news of the node.
    on_list : callable
        Receives each instance list.
    needs_platform : callable
        Whether peers could not supply a document.
    wake : callable
        Called when a set was put in force.
    rng : random.Random
        Jitter.
    """

    def __init__(
        self,
        target: store.Store,
        client: platform_client.PlatformClient,
        situation: Situation,
        on_list: Callable[[platform_client.InstanceList, float], None],
        needs_platform: Callable[[], bool],
        wake: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self.counts_by_event: collections.Counter[str] = collections.Counter()
        self._store = target
        self._reader = client
        self._situation = situation
        self._on_list = on_list
        self._needs_platform = needs_platform
        self._wake = wake
        self._rng = rng
        self._stopped = threading.Event()
        self._platform_revision = 0
        self._collecting: assembly.Assembly | None = None
        self._peers_until = 0.0
        self._stale_answers = 0
        now = time.monotonic()
        self._plan = Plan(now + rng.uniform(0.0, 0.5), now + rng.uniform(0.0, 1.0))
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
            self._thread.join(WATCH_S + 1.0)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._step(time.monotonic())
            except Exception:
                _LOG.exception("platform reader")
                self._fail(time.monotonic())

    def _step(self, now: float) -> None:
        self._schedule_fallback(now)
        urgent = self._must_collect(now)
        action = decide(self._plan, self._situation, urgent, now)
        if action is Action.WAIT:
            self._stopped.wait(STEP_S)
        elif action is Action.READ:
            self._read(now)
        elif action is Action.LIST:
            self._list()
        else:
            self._watch(now)

    def _schedule_fallback(self, now: float) -> None:
        """Start a random delay when confirmations are missing; news end it."""
        age_s = now - self._situation.confirmed_at
        if age_s < read_delays.MAX_CONFIRMATION_AGE_S:
            self._plan.fallback_at = float("inf")
        elif self._plan.fallback_at == float("inf"):
            delay = read_delays.fallback_delay(self._situation.domain_size, self._rng)
            self._plan.fallback_at = now + delay

    def _must_collect(self, now: float) -> bool:
        """Whether documents that peers did not supply must be read now."""
        if self._store.claim().revision <= self._store.revision():
            return False
        late = self._collecting is not None and now >= self._peers_until
        return late or self._needs_platform()

    def _read(self, asked_at: float) -> None:
        self.counts_by_event["reads"] += 1
        answer = self._reader.read(documents.MANIFEST_KEY)
        now = time.monotonic()
        if isinstance(answer, result.Err):
            self.counts_by_event[f"read-{answer.err_value.value}"] += 1
            self._fail(now)
            return
        self._succeed(now)
        self._take(answer.ok_value, asked_at)

    def _watch(self, now: float) -> None:
        self.counts_by_event["watches"] += 1
        wait_s = min(WATCH_S, max(STEP_S, self._plan.list_at - now))
        after = self._platform_revision
        answer = self._reader.watch(documents.MANIFEST_KEY, after, wait_s)
        if time.monotonic() - now > wait_s + LATE_ANSWER_S:
            self._plan.read_at = time.monotonic()
        if isinstance(answer, result.Err):
            self.counts_by_event[f"watch-{answer.err_value.value}"] += 1
            self._fail(time.monotonic())
        elif answer.ok_value is None:
            self._plan.failures = 0
            if self._store.claim().revision <= self._store.revision():
                answered_at = min(now + wait_s, time.monotonic())
                self._situation.record_confirmation(self._store.revision(), answered_at)
        else:
            self._succeed(time.monotonic())
            self._take(answer.ok_value, now)

    def _list(self) -> None:
        self.counts_by_event["lists"] += 1
        answer = self._reader.instances()
        now = time.monotonic()
        if isinstance(answer, result.Err):
            self.counts_by_event[f"list-{answer.err_value.value}"] += 1
            self._plan.list_at = now + read_delays.retry_delay(
                self._plan.failures + 1, self._rng
            )
            return
        listed = answer.ok_value
        self._plan.list_at = now + read_delays.list_delay(listed.size_bytes, self._rng)
        self._on_list(listed, now)

    def _take(self, reading: platform_client.VersionedValue, asked_at: float) -> None:
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
            self._note_stale(now)
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
        self._collecting = None
        if isinstance(accepted, result.Ok):
            self._situation.record_confirmation(collected.revision, asked_at)
            self._wake()
        else:
            self._store.drop_claim(collected.revision)
            self._situation.record_confirmation(self._store.revision(), asked_at)

    def _note_stale(self, now: float) -> None:
        """Try other replicas soon, but only a few times."""
        self.counts_by_event["stale-replica"] += 1
        self._stale_answers += 1
        if self._stale_answers <= STALE_RETRIES:
            delay = read_delays.retry_delay(self._stale_answers, self._rng)
            self._plan.read_at = now + delay

    def _collect(self, collected: assembly.Assembly, now: float) -> bool:
        """Read missing documents; False when they are left to peers or failed."""
        same = (
            self._collecting is not None
            and self._collecting.set_digest == collected.set_digest
        )
        if same and self._collecting is not None:
            collected.documents_by_key.update(self._collecting.documents_by_key)
        else:
            self._peers_until = now + self._rng.uniform(
                SHORTEST_PEER_PATIENCE_S, LONGEST_PEER_PATIENCE_S
            )
        self._collecting = collected
        while missing := collected.missing():
            if not self._may_read_documents(len(missing), now):
                return False
            answer = self._reader.read(missing[0])
            if isinstance(answer, result.Err):
                self.counts_by_event[f"document-{answer.err_value.value}"] += 1
                self._fail(time.monotonic())
                return False
            self.counts_by_event["documents"] += 1
            if isinstance(
                collected.add(missing[0], answer.ok_value.content), result.Err
            ):
                self.counts_by_event["document-damaged"] += 1
                self._fail(time.monotonic())
                return False
        return True

    def _may_read_documents(self, missing: int, now: float) -> bool:
        few = self._store.revision() > 0 and missing <= FEW_DOCUMENTS
        late = now >= self._peers_until or self._situation.is_standalone
        return few or late or self._needs_platform()

    def _succeed(self, now: float) -> None:
        plan = self._plan
        plan.failures = 0
        plan.fallback_at = float("inf")
        delay = read_delays.audit_delay(self._situation.domain_size, self._rng)
        plan.read_at = now + (delay if self._store.revision() else STEP_S)

    def _fail(self, now: float) -> None:
        plan = self._plan
        plan.failures += 1
        plan.blocked_until = now + read_delays.retry_delay(plan.failures, self._rng)
