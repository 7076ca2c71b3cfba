"""Idempotency keys: each lets a call start at most once.

The owner of a key is one endpoint's node, chosen by ``ownership``. Only the owner lets
a keyed call start, and it keeps the outcome in memory. Where that memory may be
incomplete, the owner refuses with ``key-unknown`` instead of starting the call:

- after a restart, for keys issued before the start plus twice the clock skew;
- while its knowledge of the set in force is older than the lease, as after a pause or
  during a partition;
- for keys issued while another endpoint was, or may have been, the owner;
- for keys so old that outcomes of their age have been evicted.

While the owner is gone or out of reach its keys have no other owner, so the caller
receives ``key-unknown``.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import heapq
import math
import re
import threading
from collections.abc import Collection

from result import Err, Ok, Result

from snipelink import errors, model
from snipelink.retry import key_ownership as ownership_module

RETENTION_S = 600.0
MAX_RECORDS = 20_000
MAX_ANSWER_BYTES = 16 << 10
MAX_TOTAL_BYTES = 4 << 20
IN_PROGRESS_RETRY_AFTER_S = 0.5

_KEY = re.compile(r"([0-9]{1,14})-([A-Za-z0-9_-]{8,64})", re.ASCII)


class State(enum.Enum):
    """State of a key at its owner."""

    IN_PROGRESS = "in-progress"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, eq=False)
class Claim:
    """Right to start the call of a key; ends with ``finish`` or ``abandon``."""

    key: str
    issued: float
    fingerprint: str
    state: State = State.IN_PROGRESS
    answer: model.Answer | None = None
    answer_digest: str = ""


def issue_time(key: str) -> float | None:
    """Return the issue time of a key in Unix seconds; None when it is malformed."""
    match = _KEY.fullmatch(key)
    return int(match.group(1)) / 1000 if match else None


def owner_unreached_failure(failure: errors.Failure) -> errors.Failure:
    """Return what a keyed call is answered with when its owner was not reached.

    That this attempt did not run says nothing about earlier attempts with the key.
    """
    if not failure.not_run or failure.entry.repeat is errors.Repeat.NO:
        return failure
    return _unknown(f"the owner of the key did not accept it: {failure.kind.value}")


class KeyTable:
    """Keys of one service at one node, which is owner of some of them."""

    def __init__(
        self,
        name: str,
        wall: float,
        *,
        ownership: ownership_module.KeyOwnership | None = None,
        retention_s: float = RETENTION_S,
        max_records: int = MAX_RECORDS,
        max_total_bytes: int = MAX_TOTAL_BYTES,
    ) -> None:
        self._name = name
        self._ownership = ownership or ownership_module.KeyOwnership()
        self._retention_s = retention_s
        self._max_records = max_records
        self._max_total_bytes = max_total_bytes
        self._lock = threading.Lock()
        self._claims_by_key: dict[str, Claim] = {}
        self._keys_by_age: list[tuple[float, str]] = []
        self._bytes_by_key: dict[str, int] = {}
        self._total_bytes = 0
        # The clock of this host may have been replaced with the instance, so an earlier
        # process may have accepted keys up to two skews ahead of this clock.
        self._floor = wall + 2 * self._ownership.skew_s

    def apply_revision(
        self,
        revision: int,
        owners: Collection[str],
        wall: float,
        handover: float = -math.inf,
    ) -> None:
        """Apply a higher revision, see ``KeyOwnership.apply_revision``."""
        with self._lock:
            self._ownership.apply_revision(revision, owners, wall, handover)

    def renew_lease(self, revision: int, now: float, wall: float) -> None:
        """Renew the lease on the revision, see ``KeyOwnership.renew_lease``."""
        with self._lock:
            self._ownership.renew_lease(revision, now, wall)

    @property
    def revision(self) -> int:
        """Return the revision whose owners were adopted last."""
        return self._ownership.revision

    def has_lease(self, now: float) -> bool:
        """Return whether the lease on the adopted revision holds."""
        with self._lock:
            return self._ownership.has_lease(now)

    def is_lease_renewal_due(self, now: float) -> bool:
        """Return whether less than half of the lease is left."""
        with self._lock:
            return self._ownership.is_lease_renewal_due(now)

    def route(self, key: str) -> Result[str, errors.Failure]:
        """Return the endpoint that a keyed call is sent to."""
        issued = issue_time(key)
        if issued is None:
            return Err(_malformed())
        with self._lock:
            name = self._ownership.route(key, issued)
        return Ok(name) if name else Err(_unknown("the key has no owner"))

    def begin(
        self, key: str, fingerprint: str, now: float, wall: float
    ) -> Result[Claim, errors.Failure]:
        """Claim the start of a keyed call.

        On Ok, a claim in state ``IN_PROGRESS`` lets the caller start the call once and
        must be ended; one in state ``FINISHED`` holds the answer to give again.
        """
        issued = issue_time(key)
        if issued is None:
            return Err(_malformed())
        with self._lock:
            self._expire(wall)
            known = self._claims_by_key.get(key)
            if known is not None:
                return _repeat(known, fingerprint)
            reason = self._reason_to_refuse(key, issued, now, wall)
            if reason:
                return Err(_unknown(reason))
            if not self._make_room():
                return Err(
                    errors.Failure(
                        errors.Kind.OVERLOADED, "too many keys in progress", 1.0
                    )
                )
            if issued <= self._floor:
                return Err(_unknown("keys of this age are no longer kept"))
            claim = Claim(key, issued, fingerprint)
            self._claims_by_key[key] = claim
            self._push(issued, key)
            return Ok(claim)

    def finish(self, claim: Claim, answer: model.Answer) -> None:
        """Record the answer of a started call."""
        with self._lock:
            if claim.state is not State.IN_PROGRESS:
                return
            claim.state = State.FINISHED
            claim.answer_digest = hashlib.blake2b(
                answer.body, digest_size=16
            ).hexdigest()
            if self._claims_by_key.get(claim.key) is claim:
                self._keep_answer(claim, answer)

    def abandon(self, claim: Claim, failure: errors.Failure) -> None:
        """Record that a call did not run, or that its outcome is unknown.

        Only a call that certainly never runs may be started again with its key.
        """
        with self._lock:
            if claim.state is not State.IN_PROGRESS:
                return
            claim.state = State.UNKNOWN
            if failure.not_run and self._claims_by_key.get(claim.key) is claim:
                del self._claims_by_key[claim.key]

    def _reason_to_refuse(
        self, key: str, issued: float, now: float, wall: float
    ) -> str:
        if issued > wall + self._ownership.skew_s:
            return "the key's issue time is in the future"
        if issued <= self._floor:
            return "the key is older than what this owner remembers"
        if not self._ownership.has_lease(now):
            return "this owner's knowledge of the set in force is too old"
        if self._ownership.owner(key, issued) != self._name:
            return "this endpoint does not own the key"
        return ""

    def _push(self, issued: float, key: str) -> None:
        """Index a key by age; abandoned keys leave entries that are dropped here."""
        heapq.heappush(self._keys_by_age, (issued, key))
        if len(self._keys_by_age) > 2 * self._max_records:
            claims = self._claims_by_key.values()
            self._keys_by_age = [(claim.issued, claim.key) for claim in claims]
            heapq.heapify(self._keys_by_age)

    def _expire(self, wall: float) -> None:
        horizon = wall - self._retention_s
        self._floor = max(self._floor, horizon)
        while self._keys_by_age and self._keys_by_age[0][0] <= horizon:
            self._forget(heapq.heappop(self._keys_by_age)[1])

    def _make_room(self) -> bool:
        """Evict the oldest ended key if the table is full; raise the floor to it."""
        running = []
        while len(self._claims_by_key) >= self._max_records and self._keys_by_age:
            issued, key = heapq.heappop(self._keys_by_age)
            claim = self._claims_by_key.get(key)
            if claim is not None and claim.state is State.IN_PROGRESS:
                running.append((issued, key))
                continue
            if claim is not None:
                self._floor = max(self._floor, issued)
            self._forget(key)
        for item in running:
            heapq.heappush(self._keys_by_age, item)
        return len(self._claims_by_key) < self._max_records

    def _keep_answer(self, claim: Claim, answer: model.Answer) -> None:
        size = len(answer.body) + sum(len(n) + len(v) for n, v in answer.headers)
        if size > MAX_ANSWER_BYTES:
            return
        claim.answer = answer
        self._bytes_by_key[claim.key] = size
        self._total_bytes += size
        while self._total_bytes > self._max_total_bytes:
            oldest = next(iter(self._bytes_by_key))
            self._total_bytes -= self._bytes_by_key.pop(oldest)
            self._claims_by_key[oldest].answer = None

    def _forget(self, key: str) -> None:
        self._claims_by_key.pop(key, None)
        self._total_bytes -= self._bytes_by_key.pop(key, 0)


def _repeat(claim: Claim, fingerprint: str) -> Result[Claim, errors.Failure]:
    if claim.fingerprint != fingerprint:
        return Err(
            errors.Failure(
                errors.Kind.BAD_REQUEST, "the key was used for another request"
            )
        )
    if claim.state is State.IN_PROGRESS:
        return Err(
            errors.Failure(
                errors.Kind.KEY_IN_PROGRESS,
                "a call with this key is running",
                IN_PROGRESS_RETRY_AFTER_S,
            )
        )
    if claim.state is State.FINISHED and claim.answer is not None:
        return Ok(claim)
    if claim.state is State.FINISHED:
        return Err(_unknown("the call ran, but its answer is no longer kept"))
    return Err(_unknown("the outcome of an earlier call with this key is unknown"))


def _malformed() -> errors.Failure:
    return errors.Failure(
        errors.Kind.BAD_REQUEST,
        "Idempotency-Key is not <issue time in Unix ms>-<random>",
    )


def _unknown(detail: str) -> errors.Failure:
    return errors.Failure(errors.Kind.KEY_UNKNOWN, detail)
