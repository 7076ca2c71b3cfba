"""Idempotency keys: a call starts at most once for each key.

Each key is owned by the node of one endpoint, see ``key_ownership``. Only the owner
starts calls with the key, and it keeps their outcomes in memory. When its memory may be
incomplete, the owner refuses the call with ``key-unknown`` instead of starting it:

- after a restart, for keys issued before the start plus twice the maximum clock skew;
- while its lease on the set in force has expired, for example after a pause of the
  process or during a network partition;
- for keys issued while another endpoint was, or may have been, the owner;
- for keys so old that outcomes of their age were evicted.

While the owner of a key is unreachable, no other node owns the key, and the caller
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
MAX_RECORD_COUNT = 20_000
MAX_ANSWER_BYTES = 16 << 10
MAX_TOTAL_ANSWER_BYTES = 4 << 20
IN_PROGRESS_RETRY_AFTER_S = 0.5

_KEY_PATTERN = re.compile(r"([0-9]{1,14})-([A-Za-z0-9_-]{8,64})", re.ASCII)


class ClaimState(enum.Enum):
    """State of a claimed key at its owner."""

    IN_PROGRESS = "in-progress"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, eq=False)
class Claim:
    """Record of one keyed call at the owner; ``finish`` or ``abandon`` ends it."""

    key: str
    issued_at: float
    fingerprint: str
    state: ClaimState = ClaimState.IN_PROGRESS
    answer: model.Answer | None = None
    answer_digest: str = ""


def issue_time(key: str) -> float | None:
    """Return the issue time of a key in Unix seconds; None when it is malformed."""
    match = _KEY_PATTERN.fullmatch(key)
    return int(match.group(1)) / 1000 if match else None


def owner_unreached_failure(failure: errors.Failure) -> errors.Failure:
    """Return the failure to answer when the owner of a key did not accept a call.

    A failure that means not-run and allows a repeat becomes ``key-unknown``, because an
    earlier attempt with the same key may have run. Others are returned unchanged.
    """
    if not failure.not_run or failure.traits.retryability is errors.Retryability.NO:
        return failure
    return _key_unknown(f"the owner of the key did not accept it: {failure.kind.value}")


class KeyTable:
    """Idempotency keys of one service at one node, which owns some of the keys."""

    def __init__(
        self,
        name: str,
        wall_time: float,
        *,
        ownership: ownership_module.KeyOwnership | None = None,
        retention_s: float = RETENTION_S,
        max_records: int = MAX_RECORD_COUNT,
        max_total_bytes: int = MAX_TOTAL_ANSWER_BYTES,
    ) -> None:
        self._own_endpoint = name
        self._ownership = ownership or ownership_module.KeyOwnership()
        self._retention_s = retention_s
        self._max_records = max_records
        self._max_total_bytes = max_total_bytes
        self._lock = threading.Lock()
        self._claims_by_key: dict[str, Claim] = {}
        self._keys_by_age: list[tuple[float, str]] = []
        self._bytes_by_key: dict[str, int] = {}
        self._total_bytes = 0
        # The previous process may have run on a host with another clock, and may have
        # accepted keys issued up to twice the maximum skew ahead of this clock. Keys
        # issued at or before this time are refused.
        self._min_issue_time = wall_time + 2 * self._ownership.max_skew_s

    def apply_revision(
        self,
        revision: int,
        owners: Collection[str],
        wall_time: float,
        handover_time: float = -math.inf,
    ) -> None:
        """Apply a higher revision, see ``KeyOwnership.apply_revision``."""
        with self._lock:
            self._ownership.apply_revision(revision, owners, wall_time, handover_time)

    def renew_lease(self, revision: int, now: float, wall_time: float) -> None:
        """Renew the lease on the revision, see ``KeyOwnership.renew_lease``."""
        with self._lock:
            self._ownership.renew_lease(revision, now, wall_time)

    @property
    def revision(self) -> int:
        """Return the revision that was applied last."""
        return self._ownership.revision

    def has_lease(self, now: float) -> bool:
        """Return whether the lease on the applied revision is valid."""
        with self._lock:
            return self._ownership.has_lease(now)

    def is_lease_renewal_due(self, now: float) -> bool:
        """Return whether less than half of the lease is left."""
        with self._lock:
            return self._ownership.is_lease_renewal_due(now)

    def route(self, key: str) -> Result[str, errors.Failure]:
        """Return the endpoint that a keyed call is sent to."""
        issued_at = issue_time(key)
        if issued_at is None:
            return Err(_malformed_key())
        with self._lock:
            name = self._ownership.route(key, issued_at)
        return Ok(name) if name else Err(_key_unknown("the key has no owner"))

    def begin(
        self, key: str, fingerprint: str, now: float, wall_time: float
    ) -> Result[Claim, errors.Failure]:
        """Claim the start of a keyed call.

        A claim in state ``IN_PROGRESS`` permits one start of the call; the caller ends
        the claim with ``finish`` or ``abandon``. A claim in state ``FINISHED`` holds
        the answer of the earlier call with this key.
        """
        issued_at = issue_time(key)
        if issued_at is None:
            return Err(_malformed_key())
        with self._lock:
            self._expire(wall_time)
            existing = self._claims_by_key.get(key)
            if existing is not None:
                return _outcome_of_repeat(existing, fingerprint)
            reason = self._reason_to_refuse(key, issued_at, now, wall_time)
            if reason:
                return Err(_key_unknown(reason))
            if not self._make_room():
                return Err(
                    errors.Failure(
                        errors.Kind.OVERLOADED, "too many keys in progress", 1.0
                    )
                )
            if issued_at <= self._min_issue_time:
                return Err(_key_unknown("keys of this age are no longer kept"))
            claim = Claim(key, issued_at, fingerprint)
            self._claims_by_key[key] = claim
            self._index_by_age(issued_at, key)
            return Ok(claim)

    def finish(self, claim: Claim, answer: model.Answer) -> None:
        """Record the answer of a started call."""
        with self._lock:
            if claim.state is not ClaimState.IN_PROGRESS:
                return
            claim.state = ClaimState.FINISHED
            claim.answer_digest = hashlib.blake2b(
                answer.body, digest_size=16
            ).hexdigest()
            if self._claims_by_key.get(claim.key) is claim:
                self._store_answer(claim, answer)

    def abandon(self, claim: Claim, failure: errors.Failure) -> None:
        """Record that a call did not run or that its outcome is unknown.

        The key becomes free for another start only if the call certainly did not run.
        """
        with self._lock:
            if claim.state is not ClaimState.IN_PROGRESS:
                return
            claim.state = ClaimState.UNKNOWN
            if failure.not_run and self._claims_by_key.get(claim.key) is claim:
                del self._claims_by_key[claim.key]

    def _reason_to_refuse(
        self, key: str, issued_at: float, now: float, wall_time: float
    ) -> str:
        if issued_at > wall_time + self._ownership.max_skew_s:
            return "the key's issue time is in the future"
        if issued_at <= self._min_issue_time:
            return "the key is older than what this owner remembers"
        if not self._ownership.has_lease(now):
            return "this owner's knowledge of the set in force is too old"
        if self._ownership.owner(key, issued_at) != self._own_endpoint:
            return "this endpoint does not own the key"
        return ""

    def _index_by_age(self, issued_at: float, key: str) -> None:
        """Index a key by age; rebuild the index when too many entries are stale."""
        heapq.heappush(self._keys_by_age, (issued_at, key))
        if len(self._keys_by_age) > 2 * self._max_records:
            claims = self._claims_by_key.values()
            self._keys_by_age = [(claim.issued_at, claim.key) for claim in claims]
            heapq.heapify(self._keys_by_age)

    def _expire(self, wall_time: float) -> None:
        expired_until = wall_time - self._retention_s
        self._min_issue_time = max(self._min_issue_time, expired_until)
        while self._keys_by_age and self._keys_by_age[0][0] <= expired_until:
            self._remove(heapq.heappop(self._keys_by_age)[1])

    def _make_room(self) -> bool:
        """Evict the oldest ended claims of a full table; return whether it has room.

        Keys issued up to the time of an evicted claim are refused from now on.
        """
        in_progress = []
        while len(self._claims_by_key) >= self._max_records and self._keys_by_age:
            issued_at, key = heapq.heappop(self._keys_by_age)
            claim = self._claims_by_key.get(key)
            if claim is not None and claim.state is ClaimState.IN_PROGRESS:
                in_progress.append((issued_at, key))
                continue
            if claim is not None:
                self._min_issue_time = max(self._min_issue_time, issued_at)
            self._remove(key)
        for item in in_progress:
            heapq.heappush(self._keys_by_age, item)
        return len(self._claims_by_key) < self._max_records

    def _store_answer(self, claim: Claim, answer: model.Answer) -> None:
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

    def _remove(self, key: str) -> None:
        self._claims_by_key.pop(key, None)
        self._total_bytes -= self._bytes_by_key.pop(key, 0)


def _outcome_of_repeat(claim: Claim, fingerprint: str) -> Result[Claim, errors.Failure]:
    if claim.fingerprint != fingerprint:
        return Err(
            errors.Failure(
                errors.Kind.BAD_REQUEST, "the key was used for another request"
            )
        )
    if claim.state is ClaimState.IN_PROGRESS:
        return Err(
            errors.Failure(
                errors.Kind.KEY_IN_PROGRESS,
                "a call with this key is running",
                IN_PROGRESS_RETRY_AFTER_S,
            )
        )
    if claim.state is ClaimState.FINISHED and claim.answer is not None:
        return Ok(claim)
    if claim.state is ClaimState.FINISHED:
        return Err(_key_unknown("the call ran, but its answer is no longer kept"))
    return Err(_key_unknown("the outcome of an earlier call with this key is unknown"))


def _malformed_key() -> errors.Failure:
    return errors.Failure(
        errors.Kind.BAD_REQUEST,
        "Idempotency-Key is not <issue time in Unix ms>-<random>",
    )


def _key_unknown(detail: str) -> errors.Failure:
    return errors.Failure(errors.Kind.KEY_UNKNOWN, detail)
