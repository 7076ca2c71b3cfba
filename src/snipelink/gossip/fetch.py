"""Collection of a newer set from peers, chunk by chunk."""

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

CHUNK_BYTES = 8_192
ANSWER_TIMEOUT_S = 1.0
# Peers asked in vain for one document before the platform is asked.
FAILURES_BEFORE_PLATFORM = 3
# Time without any supplier after which a claimed revision is dropped.
CLAIM_DROP_S = 30.0
# Time for which a set that was refused or had no supplier isn't tried again.
AVOID_S = 60.0
MAX_AVOIDED = 32
MAX_ENCODED_BYTES = documents.MAX_DOCUMENT_BYTES + 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A part of a document to ask a peer for."""

    peer: members.Member
    pull: messages.Pull


@dataclasses.dataclass(slots=True)
class _Pending:
    """The document being received."""

    key: str
    base_key: str
    peer: str
    asked_at: float
    buffer: bytearray = dataclasses.field(default_factory=bytearray)
    waiting: bool = True


def manifest_key(digest: str) -> str:
    """Return the key under which peers supply the manifest of a set."""
    return f"{documents.MANIFEST_KEY}@{digest}"


def answer(target: store.Store, pull: messages.Pull) -> messages.Chunk:
    """Return the part of a document that a peer asks for."""
    content = _content(target, pull.key)
    if content is None:
        return messages.Chunk(pull.key, -1, b"")
    base = _content(target, pull.base) if pull.base else None
    encoded = delta.compress(content, base or b"")
    part = encoded[pull.offset : pull.offset + CHUNK_BYTES]
    base_key = pull.base if base is not None else ""
    return messages.Chunk(pull.key, len(encoded), part, base_key, pull.offset)


def _content(target: store.Store, key: str) -> bytes | None:
    name, _, digest = key.rpartition("@")
    if name == documents.MANIFEST_KEY:
        return target.manifest(digest)
    return target.document(key)


class Fetch:
    """Collects the claimed set of a store; one document and one peer at a time.

    Verified documents survive a change of the target. Only the exchange thread calls
    its methods.
    """

    def __init__(self, target: store.Store, rng: random.Random) -> None:
        self.refused_chunks = 0
        self._store = target
        self._rng = rng
        self._digest = ""
        self._revision = 0
        self._started_at = 0.0
        self._assembly: assembly.Assembly | None = None
        self._pending: _Pending | None = None
        self._failures_by_key: dict[str, int] = {}
        self._refused_by_peer: dict[str, set[str]] = {}
        self._avoided_until_by_digest: dict[str, float] = {}

    def avoids(self, digest: str, now: float) -> bool:
        """Whether a set was recently refused or had no supplier."""
        return now < self._avoided_until_by_digest.get(digest, now)

    def needs_platform(self) -> bool:
        """Whether peers could not supply a document, so that the platform is asked."""
        return any(
            failures >= FAILURES_BEFORE_PLATFORM
            for failures in self._failures_by_key.values()
        )

    def next_request(
        self,
        holders_by_name: Mapping[str, members.Member],
        servers_by_service: Mapping[str, list[members.Member]],
        now: float,
    ) -> Request | None:
        """Return what to ask next, or None while an answer is awaited.

        Parameters
        ----------
        holders_by_name : mapping of str to Member
            Peers that have the claimed revision or a higher one in force.
        servers_by_service : mapping of str to list of Member
            Members that run a service and therefore hold its document.
        """
        self._retarget(now)
        if not self._digest:
            return None
        if now - self._started_at > CLAIM_DROP_S:
            self._give_up("no peer could supply it", now)
            return None
        pending = self._pending
        if pending is not None and pending.waiting:
            if now - pending.asked_at < ANSWER_TIMEOUT_S:
                return None
            self._fail(pending)
            pending = None
        if pending is not None:
            peer = holders_by_name.get(pending.peer)
            if peer is None:
                peer = _find(servers_by_service, pending.peer)
            if peer is not None:
                return self._ask(pending, peer, now)
        return self._start_document(holders_by_name, servers_by_service, now)

    def receive(self, peer: str, chunk: messages.Chunk, now: float) -> bool:
        """Add an answer; return whether it completed a document."""
        pending = self._pending
        if (
            pending is None
            or not pending.waiting
            or (peer, chunk.key, chunk.offset)
            != (pending.peer, pending.key, len(pending.buffer))
        ):
            self.refused_chunks += 1
            return False
        if chunk.total < 0 or chunk.total > MAX_ENCODED_BYTES or not chunk.data:
            self._fail(pending)
            return False
        if chunk.base not in ("", pending.base_key):
            self._fail(pending)
            return False
        pending.base_key = chunk.base
        pending.buffer += chunk.data
        pending.waiting = False
        if len(pending.buffer) < chunk.total:
            return False
        self._finish(pending, peer, now)
        return True

    def _retarget(self, now: float) -> None:
        claim = self._store.claim()
        if claim.revision <= self._store.revision():
            self._clear()
        elif claim.digest != self._digest:
            self._clear()
            self._digest, self._revision = claim.digest, claim.revision
            self._started_at = now

    def _clear(self) -> None:
        self._digest = ""
        self._assembly = None
        self._pending = None
        self._failures_by_key.clear()
        self._refused_by_peer.clear()

    def _give_up(self, why: str, now: float) -> None:
        _LOG.warning("revision %d given up: %s", self._revision, why)
        self._store.drop_claim(self._revision)
        avoided = self._avoided_until_by_digest
        while len(avoided) >= MAX_AVOIDED:
            del avoided[next(iter(avoided))]
        avoided[self._digest] = now + AVOID_S
        self._clear()

    def _next_key(self) -> str:
        if self._assembly is None:
            return manifest_key(self._digest)
        missing = self._assembly.missing()
        return missing[0] if missing else ""

    def _start_document(
        self,
        holders_by_name: Mapping[str, members.Member],
        servers_by_service: Mapping[str, list[members.Member]],
        now: float,
    ) -> Request | None:
        key = self._next_key()
        refused = self._refused_by_peer
        candidates = [
            peer
            for name, peer in holders_by_name.items()
            if key not in refused.get(name, ())
        ]
        if not candidates and key.startswith("service/"):
            service = key.removeprefix("service/").rpartition("@")[0]
            candidates = [
                peer
                for peer in servers_by_service.get(service, [])
                if key not in refused.get(peer.name, ())
            ]
        if not candidates:
            if holders_by_name:
                self._failures_by_key[key] = FAILURES_BEFORE_PLATFORM
                refused.clear()
            return None
        peer = self._rng.choice(candidates)
        self._pending = _Pending(key, self._base_key(key), peer.name, now)
        return self._ask(self._pending, peer, now)

    def _ask(self, pending: _Pending, peer: members.Member, now: float) -> Request:
        pending.waiting = True
        pending.asked_at = now
        pull = messages.Pull(pending.key, pending.base_key, len(pending.buffer))
        return Request(peer, pull)

    def _base_key(self, key: str) -> str:
        if key.startswith(f"{documents.MANIFEST_KEY}@"):
            accepted = self._store.in_force()
            return manifest_key(accepted.digest) if accepted else ""
        base = self._store.base_for(key)
        return base[0] if base else ""

    def _fail(self, pending: _Pending) -> None:
        key = pending.key
        self._failures_by_key[key] = self._failures_by_key.get(key, 0) + 1
        self._refused_by_peer.setdefault(pending.peer, set()).add(key)
        self._pending = None

    def _finish(self, pending: _Pending, peer: str, now: float) -> None:
        base = _content(self._store, pending.base_key) if pending.base_key else b""
        content = delta.decompress(
            bytes(pending.buffer), base or b"", documents.MAX_DOCUMENT_BYTES
        )
        if content is None or not self._add(pending.key, content):
            self._fail(pending)
            return
        self._pending = None
        self._failures_by_key.pop(pending.key, None)
        collected = self._assembly
        if collected is not None and not collected.missing():
            accepted = self._store.accept(collected, source.peer(peer), now)
            if isinstance(accepted, result.Err):
                self._give_up(accepted.err_value.detail, now)
            self._clear()

    def _add(self, key: str, content: bytes) -> bool:
        if self._assembly is not None:
            return isinstance(self._assembly.add(key, content), result.Ok)
        started = self._store.assemble(content)
        if isinstance(started, result.Err):
            return False
        if started.ok_value.set_digest != self._digest:
            return False
        self._assembly = started.ok_value
        return True


def _find(
    servers_by_service: Mapping[str, list[members.Member]], name: str
) -> members.Member | None:
    for servers in servers_by_service.values():
        for server in servers:
            if server.name == name:
                return server
    return None
