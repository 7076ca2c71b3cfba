"""Download of a newer object set from peers in chunks."""

from __future__ import annotations

import dataclasses
import logging
import random
from collections.abc import Mapping

import result

from snipelink.config import assembly, source, store
from snipelink.generated import messages
from snipelink.gossip import delta
from snipelink.membership import member as members
from snipelink.objects import documents

_LOG = logging.getLogger(__name__)

MAX_CHUNK_BYTES = 8_192
CHUNK_TIMEOUT_S = 1.0
# Failed requests to peers for one document before it is read from the platform.
FAILURES_BEFORE_PLATFORM_READ = 3
# A claimed revision is dropped if it can't be downloaded within this time.
CLAIM_TIMEOUT_S = 30.0
# Time for which a set that was refused or could not be downloaded isn't tried again.
AVOIDANCE_S = 60.0
MAX_AVOIDED_SETS = 32
MAX_ENCODED_BYTES = documents.MAX_DOCUMENT_BYTES + 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class PullRequest:
    """Request to a peer for a chunk of a document."""

    peer: members.Member
    pull: messages.Pull


@dataclasses.dataclass(slots=True)
class _PendingDocument:
    """Document that is being downloaded from one peer."""

    key: str
    base_key: str
    peer: str
    requested_at: float
    buffer: bytearray = dataclasses.field(default_factory=bytearray)
    awaiting_chunk: bool = True


def manifest_key(digest: str) -> str:
    """Return the key that peers use for the manifest of a set."""
    return f"{documents.MANIFEST_KEY}@{digest}"


def make_chunk(set_store: store.Store, pull: messages.Pull) -> messages.Chunk:
    """Return the chunk of a document that a peer requests.

    The document is delta compressed against the base that the peer names, if this node
    has that base. The total of the chunk is -1 if this node lacks the document.
    """
    content = _read_content(set_store, pull.key)
    if content is None:
        return messages.Chunk(pull.key, -1, b"")
    base = _read_content(set_store, pull.base) if pull.base else None
    encoded = delta.compress(content, base or b"")
    part = encoded[pull.offset : pull.offset + MAX_CHUNK_BYTES]
    base_key = pull.base if base is not None else ""
    return messages.Chunk(pull.key, len(encoded), part, base_key, pull.offset)


def _read_content(set_store: store.Store, key: str) -> bytes | None:
    name, _, digest = key.rpartition("@")
    if name == documents.MANIFEST_KEY:
        return set_store.manifest(digest)
    return set_store.document(key)


class SetFetcher:
    """Downloads the claimed set of a store, one document from one peer at a time.

    The claim of a store is the highest revision that any source has named. Documents
    that are unchanged from the set in force are not downloaded. All methods
    except `needs_platform` must be called from the exchange thread.

    Parameters
    ----------
    set_store : Store
        Store whose claimed set is downloaded and which accepts the result.
    rng : random.Random
        Source of randomness for the choice of peers.
    """

    def __init__(self, set_store: store.Store, rng: random.Random) -> None:
        self.refused_chunks = 0
        self._store = set_store
        self._rng = rng
        self._target_digest = ""
        self._target_revision = 0
        self._started_at = 0.0
        self._assembly: assembly.Assembly | None = None
        self._pending: _PendingDocument | None = None
        self._failures_by_key: dict[str, int] = {}
        self._rejected_keys_by_peer: dict[str, set[str]] = {}
        self._avoided_until_by_digest: dict[str, float] = {}

    def is_avoided(self, digest: str, now: float) -> bool:
        """Whether a set was recently refused or could not be downloaded."""
        return now < self._avoided_until_by_digest.get(digest, now)

    def needs_platform(self) -> bool:
        """Whether peers failed to supply a document, so that the platform is read."""
        return any(
            failures >= FAILURES_BEFORE_PLATFORM_READ
            for failures in self._failures_by_key.values()
        )

    def next_request(
        self,
        holders_by_name: Mapping[str, members.Member],
        servers_by_service: Mapping[str, list[members.Member]],
        now: float,
    ) -> PullRequest | None:
        """Return the next request, or None while a chunk is awaited or no peer is left.

        Parameters
        ----------
        holders_by_name : mapping of str to Member
            Peers that have the claimed revision or a higher one in force.
        servers_by_service : mapping of str to list of Member
            Members of each service. They hold the document of their service, so they
            are asked for it when no other peer is left.
        now : float
            Monotonic seconds.
        """
        self._follow_claim(now)
        if not self._target_digest:
            return None
        if now - self._started_at > CLAIM_TIMEOUT_S:
            self._abandon_set("peers did not supply it in time", now)
            return None
        pending = self._pending
        if pending is not None and pending.awaiting_chunk:
            if now - pending.requested_at < CHUNK_TIMEOUT_S:
                return None
            self._reject_supplier(pending)
            pending = None
        if pending is not None:
            peer = holders_by_name.get(pending.peer)
            if peer is None:
                peer = _find_server(servers_by_service, pending.peer)
            if peer is not None:
                return self._request_chunk(pending, peer, now)
        return self._start_document(holders_by_name, servers_by_service, now)

    def receive(self, peer: str, chunk: messages.Chunk, now: float) -> bool:
        """Handle a chunk from a peer; return whether it completed a document."""
        pending = self._pending
        if (
            pending is None
            or not pending.awaiting_chunk
            or (peer, chunk.key, chunk.offset)
            != (pending.peer, pending.key, len(pending.buffer))
        ):
            self.refused_chunks += 1
            return False
        if chunk.total < 0 or chunk.total > MAX_ENCODED_BYTES or not chunk.data:
            self._reject_supplier(pending)
            return False
        if chunk.base not in ("", pending.base_key):
            self._reject_supplier(pending)
            return False
        pending.base_key = chunk.base
        pending.buffer += chunk.data
        pending.awaiting_chunk = False
        if len(pending.buffer) < chunk.total:
            return False
        self._complete_document(pending, peer, now)
        return True

    def _follow_claim(self, now: float) -> None:
        claim = self._store.claim()
        if claim.revision <= self._store.revision():
            self._reset()
        elif claim.digest != self._target_digest:
            self._reset()
            self._target_digest, self._target_revision = claim.digest, claim.revision
            self._started_at = now

    def _reset(self) -> None:
        self._target_digest = ""
        self._assembly = None
        self._pending = None
        self._failures_by_key.clear()
        self._rejected_keys_by_peer.clear()

    def _abandon_set(self, reason: str, now: float) -> None:
        _LOG.warning(
            "stopped downloading revision %d: %s", self._target_revision, reason
        )
        self._store.drop_claim(self._target_revision)
        avoided = self._avoided_until_by_digest
        while len(avoided) >= MAX_AVOIDED_SETS:
            del avoided[next(iter(avoided))]
        avoided[self._target_digest] = now + AVOIDANCE_S
        self._reset()

    def _next_key(self) -> str:
        if self._assembly is None:
            return manifest_key(self._target_digest)
        missing = self._assembly.missing()
        return missing[0] if missing else ""

    def _start_document(
        self,
        holders_by_name: Mapping[str, members.Member],
        servers_by_service: Mapping[str, list[members.Member]],
        now: float,
    ) -> PullRequest | None:
        key = self._next_key()
        rejected_keys = self._rejected_keys_by_peer
        candidates = [
            peer
            for name, peer in holders_by_name.items()
            if key not in rejected_keys.get(name, ())
        ]
        if not candidates and key.startswith("service/"):
            service = key.removeprefix("service/").rpartition("@")[0]
            candidates = [
                peer
                for peer in servers_by_service.get(service, [])
                if key not in rejected_keys.get(peer.name, ())
            ]
        if not candidates:
            if holders_by_name:
                self._failures_by_key[key] = FAILURES_BEFORE_PLATFORM_READ
                rejected_keys.clear()
            return None
        peer = self._rng.choice(candidates)
        self._pending = _PendingDocument(key, self._base_key(key), peer.name, now)
        return self._request_chunk(self._pending, peer, now)

    def _request_chunk(
        self, pending: _PendingDocument, peer: members.Member, now: float
    ) -> PullRequest:
        pending.awaiting_chunk = True
        pending.requested_at = now
        pull = messages.Pull(pending.key, pending.base_key, len(pending.buffer))
        return PullRequest(peer, pull)

    def _base_key(self, key: str) -> str:
        if key.startswith(f"{documents.MANIFEST_KEY}@"):
            accepted = self._store.in_force()
            return manifest_key(accepted.digest) if accepted else ""
        base = self._store.find_delta_base(key)
        return base[0] if base else ""

    def _reject_supplier(self, pending: _PendingDocument) -> None:
        key = pending.key
        self._failures_by_key[key] = self._failures_by_key.get(key, 0) + 1
        self._rejected_keys_by_peer.setdefault(pending.peer, set()).add(key)
        self._pending = None

    def _complete_document(
        self, pending: _PendingDocument, peer: str, now: float
    ) -> None:
        base = _read_content(self._store, pending.base_key) if pending.base_key else b""
        content = delta.decompress(
            bytes(pending.buffer), base or b"", documents.MAX_DOCUMENT_BYTES
        )
        if content is None or not self._add_document(pending.key, content):
            self._reject_supplier(pending)
            return
        self._pending = None
        self._failures_by_key.pop(pending.key, None)
        collected = self._assembly
        if collected is not None and not collected.missing():
            accepted = self._store.accept(collected, source.peer(peer), now)
            if isinstance(accepted, result.Err):
                self._abandon_set(accepted.err_value.detail, now)
            self._reset()

    def _add_document(self, key: str, content: bytes) -> bool:
        if self._assembly is not None:
            return isinstance(self._assembly.add(key, content), result.Ok)
        started = self._store.start_assembly(content)
        if isinstance(started, result.Err):
            return False
        if started.ok_value.set_digest != self._target_digest:
            return False
        self._assembly = started.ok_value
        return True


def _find_server(
    servers_by_service: Mapping[str, list[members.Member]], name: str
) -> members.Member | None:
    for servers in servers_by_service.values():
        for server in servers:
            if server.name == name:
                return server
    return None
