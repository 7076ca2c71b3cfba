"""Store of the object set in force, and of claims about newer revisions.

A set is a manifest with the documents that it names. At most one accepted set is in
force at a time. A claim is the statement of a source that a newer revision exists.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import logging
import threading
from collections.abc import Mapping

import result

from snipelink import model
from snipelink.config import assembly, source
from snipelink.objects import documents

_LOG = logging.getLogger(__name__)

# Manifests of recently accepted sets that are kept for peers.
MAX_MANIFESTS = 4
# Bounds the conflicting revisions that are remembered, and the refusals whose last log
# time is remembered.
MAX_CONFLICTS = 16
# Bounds the replaced documents that are kept for peers, which may still request them or
# use them as the base of a delta.
MAX_RETIRED_BYTES = 524_288
# Shortest time between two log records of the same refusal.
LOG_INTERVAL_S = 60.0


class Reason(enum.Enum):
    """Why a set was refused."""

    INVALID = "invalid"
    INCOMPLETE = "incomplete"
    OLDER = "older"
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why an offered set was refused, with details for the log."""

    reason: Reason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedSet:
    """Object set in force; ``accepted_at`` is in monotonic seconds."""

    objects: model.ObjectSet
    manifest: bytes
    source: source.Source
    accepted_at: float

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self.objects.revision

    @property
    def digest(self) -> str:
        """Return the digest of the set in force."""
        return self.objects.digest


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Highest revision that any source has named, whether accepted or not.

    ``learned_at`` is in monotonic seconds.
    """

    revision: int = 0
    digest: str = ""
    source: source.Source | None = None
    learned_at: float = 0.0


class Store:
    """Holds the object set in force.

    A set is accepted only as a whole, with verified digests and with a higher revision
    than the set in force. All methods may be called from any thread.

    Parameters
    ----------
    own_service : str
        Service of the endpoint beside this node.
    """

    def __init__(self, own_service: str = "") -> None:
        self.own_service = own_service
        self.refused_by_reason: collections.Counter[str] = collections.Counter()
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._in_force: AcceptedSet | None = None
        self._documents_by_key: dict[str, bytes] = {}
        self._retired_by_key: dict[str, bytes] = {}
        self._manifests_by_digest: dict[str, bytes] = {}
        self._claim = Claim()
        self._conflicts: dict[int, None] = {}
        self._logged_at_by_text: dict[str, float] = {}

    def in_force(self) -> AcceptedSet | None:
        """Return the set in force, or None before the first one."""
        return self._in_force

    def objects(self) -> model.ObjectSet | None:
        """Return the objects of the set in force, or None before the first set."""
        accepted = self._in_force
        return accepted.objects if accepted else None

    def revision(self) -> int:
        """Return the revision in force, or 0 before the first set."""
        accepted = self._in_force
        return accepted.revision if accepted else 0

    def claim(self) -> Claim:
        """Return the highest revision that any source has named."""
        return self._claim

    def conflicting_revisions(self) -> tuple[int, ...]:
        """Return the revisions under which two different sets are known."""
        with self._lock:
            return tuple(self._conflicts)

    def wait_for(self, revision: int, timeout_s: float) -> bool:
        """Wait until a revision or a higher one is in force; False after a timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self.revision() >= revision, timeout_s
            )

    def record_claim(
        self, revision: int, digest: str, origin: source.Source, now: float
    ) -> bool:
        """Record that a source names a revision; return whether it is now the claim."""
        with self._lock:
            if self._is_conflicting(revision, digest):
                self._add_conflict(revision, origin, now)
                return False
            if revision <= max(self._claim.revision, self.revision()):
                return False
            if revision in self._conflicts:
                return False
            self._claim = Claim(revision, digest, origin, now)
            return True

    def record_conflict(self, revision: int, origin: source.Source, now: float) -> None:
        """Record that a source knows two different sets under one revision.

        Such a revision is refused, so that no two nodes use different sets under it.
        """
        with self._lock:
            if revision > self.revision():
                self._add_conflict(revision, origin, now)

    def drop_claim(self, revision: int) -> None:
        """Discard a claim whose set no source could supply."""
        with self._lock:
            if self._claim.revision == revision and revision > self.revision():
                accepted = self._in_force
                self._claim = (
                    Claim(accepted.revision, accepted.digest, accepted.source)
                    if accepted
                    else Claim()
                )

    def start_assembly(self, content: bytes) -> result.Result[assembly.Assembly, str]:
        """Start the collection of a manifest's documents; unchanged ones are reused."""
        with self._lock:
            return assembly.start(content, self.own_service, self._documents_by_key)

    def document(self, key: str) -> bytes | None:
        """Return a document of the set in force or of a recent one, for peers."""
        return self._documents_by_key.get(key) or self._retired_by_key.get(key)

    def manifest(self, digest: str) -> bytes | None:
        """Return the manifest of a recently accepted set by the digest of the set."""
        with self._lock:
            return self._manifests_by_digest.get(digest)

    def find_delta_base(self, key: str) -> tuple[str, bytes] | None:
        """Return the key and content of the document in force that ``key`` replaces.

        Its content is the base of the delta in which a peer sends the new document.
        """
        name = key.rpartition("@")[0]
        with self._lock:
            for known, content in self._documents_by_key.items():
                if known.rpartition("@")[0] == name:
                    return known, content
        return None

    def offer(
        self,
        manifest: bytes,
        documents_by_key: Mapping[str, bytes],
        origin: source.Source,
        now: float,
    ) -> result.Result[AcceptedSet, Refusal]:
        """Accept a set as a whole, or refuse it and keep the set in force.

        Documents that the set in force shares with the new one may be omitted. If the
        offered set is already in force, it is accepted without effect.
        """
        started = self.start_assembly(manifest)
        if isinstance(started, result.Err):
            return self._refuse(Reason.INVALID, started.err_value, origin, now)
        collected = started.ok_value
        for _ in range(2):  # the rules first, then the services that they name
            for key in collected.missing():
                if key in documents_by_key:
                    added = collected.add(key, documents_by_key[key])
                    if isinstance(added, result.Err):
                        return self._refuse(
                            Reason.INVALID, added.err_value, origin, now
                        )
        return self.accept(collected, origin, now)

    def accept(
        self, collected: assembly.Assembly, origin: source.Source, now: float
    ) -> result.Result[AcceptedSet, Refusal]:
        """Accept an assembled set, or refuse it; see `offer`."""
        with self._changed:
            refusal = self._find_refusal(collected, origin, now)
            if refusal is not None:
                return self._refuse(refusal.reason, refusal.detail, origin, now)
            accepted = self._in_force
            if accepted is not None and accepted.revision == collected.revision:
                return result.Ok(accepted)
            decoded = self._decode(collected)
            if isinstance(decoded, result.Err):
                return self._refuse(Reason.INVALID, decoded.err_value, origin, now)
            return result.Ok(self._activate(collected, decoded.ok_value, origin, now))

    def _find_refusal(
        self, collected: assembly.Assembly, origin: source.Source, now: float
    ) -> Refusal | None:
        revision, digest = collected.revision, collected.set_digest
        if revision < self.revision():
            return Refusal(
                Reason.OLDER, f"revision {revision} is below {self.revision()}"
            )
        if self._is_conflicting(revision, digest):
            self._add_conflict(revision, origin, now)
        if revision in self._conflicts and revision > self.revision():
            return Refusal(
                Reason.CONFLICT, f"two different sets under revision {revision}"
            )
        if self._in_force and revision == self.revision():
            same = digest == self._in_force.digest
            detail = f"differs from the set in force under revision {revision}"
            return None if same else Refusal(Reason.CONFLICT, detail)
        missing = collected.missing()
        if missing:
            return Refusal(Reason.INCOMPLETE, f"{missing[0]}: missing")
        return None

    def _decode(
        self, collected: assembly.Assembly
    ) -> result.Result[model.ObjectSet, str]:
        """Decode the changed services and reuse the decoded form of the others."""
        accepted = self._in_force
        known = accepted.objects.services_by_name if accepted else {}
        reused = {
            name: known[name]
            for name in collected.services & known.keys()
            if collected.service_key(name) in self._documents_by_key
        }
        changed = collected.services - reused.keys()
        decoded = documents.decode(
            collected.manifest_bytes, collected.documents_by_key, changed
        )
        if isinstance(decoded, result.Err):
            return decoded
        services = reused | decoded.ok_value.services_by_name
        names = [n for s in services.values() for n in s.endpoints_by_name]
        if len(names) != len(set(names)):
            return result.Err("two services have an endpoint of the same name")
        return result.Ok(
            dataclasses.replace(
                decoded.ok_value, services_by_name=dict(sorted(services.items()))
            )
        )

    def _activate(
        self,
        collected: assembly.Assembly,
        objects: model.ObjectSet,
        origin: source.Source,
        now: float,
    ) -> AcceptedSet:
        accepted = AcceptedSet(objects, collected.manifest_bytes, origin, now)
        self._in_force = accepted
        self._replace_documents(collected.documents_by_key)
        self._manifests_by_digest[objects.digest] = collected.manifest_bytes
        while len(self._manifests_by_digest) > MAX_MANIFESTS:
            del self._manifests_by_digest[next(iter(self._manifests_by_digest))]
        if objects.revision >= self._claim.revision:
            self._claim = Claim(objects.revision, objects.digest, origin, now)
        self._changed.notify_all()
        _LOG.info(
            "set accepted: revision %d, digest %.12s, from %s",
            objects.revision,
            objects.digest,
            origin,
        )
        return accepted

    def _replace_documents(self, documents_by_key: Mapping[str, bytes]) -> None:
        for key, content in self._documents_by_key.items():
            if key not in documents_by_key:
                self._retired_by_key[key] = content
        size = sum(map(len, self._retired_by_key.values()))
        while size > MAX_RETIRED_BYTES:
            size -= len(self._retired_by_key.pop(next(iter(self._retired_by_key))))
        self._documents_by_key = dict(documents_by_key)

    def _is_conflicting(self, revision: int, digest: str) -> bool:
        accepted = self._in_force
        if accepted is not None and revision == accepted.revision:
            return digest != accepted.digest
        return revision == self._claim.revision and digest != self._claim.digest

    def _add_conflict(self, revision: int, origin: source.Source, now: float) -> None:
        """Refuse further sets under a revision.

        If the revision is in force, it stays in force, because a node never reverts to
        an older set.
        """
        if revision not in self._conflicts:
            self._conflicts[revision] = None
            while len(self._conflicts) > MAX_CONFLICTS:
                del self._conflicts[min(self._conflicts)]
            _LOG.error(
                "two different sets under revision %d, reported by %s", revision, origin
            )
        self.drop_claim(revision)

    def _refuse(
        self, reason: Reason, detail: str, origin: source.Source, now: float
    ) -> result.Err[Refusal]:
        with self._lock:
            self.refused_by_reason[reason.value] += 1
            text = f"{reason.value}: {detail}"
            if (
                now - self._logged_at_by_text.get(text, -LOG_INTERVAL_S)
                >= LOG_INTERVAL_S
            ):
                if len(self._logged_at_by_text) >= MAX_CONFLICTS:
                    self._logged_at_by_text.clear()
                self._logged_at_by_text[text] = now
                _LOG.warning("set from %s was refused: %s", origin, text)
        return result.Err(Refusal(reason, detail))
