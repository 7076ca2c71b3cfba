"""Compact encoding of the loads of a failure domain's endpoints.

Nodes of other failure domains receive these loads instead of one report from each
endpoint, because traffic between failure domains is billed by the byte.
"""

from __future__ import annotations

import dataclasses
import hashlib
import struct
from collections.abc import Iterable, Sequence

# Hash of the identity; running; waiting; slots; slowness; failing percentage, with the
# highest bit set if no calls are accepted; age.
_ENTRY = struct.Struct(">4sBBBBBB")
ENTRY_BYTES = _ENTRY.size
IDENTITY_HASH_BYTES = 4
MAX_COUNT = 255
SLOWNESS_STEP_PERCENT = 5
AGE_STEP_S = 0.01
NOT_ACCEPTING_BIT = 0x80
# Entries of one datagram at most; 800 bytes, which leaves room for the other fields.
MAX_ENTRIES_PER_PART = 80


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Load of one endpoint.

    Attributes
    ----------
    identity_hash : bytes
        Hash of the identity of its process, see `identity_hash`.
    overdue_s : float
        Seconds for which a report of the endpoint has been overdue at the sender.
    """

    identity_hash: bytes
    running: int
    waiting: int
    slots: int
    slowness_percent: int
    failing_percent: int
    accepting: bool = True
    overdue_s: float = 0.0


def identity_hash(instance: str) -> bytes:
    """Return the hash by which entries name the process of an endpoint."""
    return hashlib.blake2b(instance.encode(), digest_size=IDENTITY_HASH_BYTES).digest()


def encode_parts(entries: Sequence[Entry]) -> list[bytes]:
    """Return the encoded entries, divided evenly among as few parts as possible.

    Returns one empty part if there are no entries.
    """
    part_count = max(1, -(-len(entries) // MAX_ENTRIES_PER_PART))
    size = -(-len(entries) // part_count)
    return [
        b"".join(map(_encode, entries[part * size : (part + 1) * size]))
        for part in range(part_count)
    ]


def decode(data: bytes) -> list[Entry]:
    """Return the entries of one part; raise ``ValueError`` if it is cut off."""
    if len(data) % ENTRY_BYTES:
        raise ValueError(f"{len(data)} bytes are no whole number of entries")
    return [_decode(fields) for fields in _ENTRY.iter_unpack(data)]


def hashes_to_instances(instances: Iterable[str]) -> dict[bytes, str]:
    """Return identities by their hash, without those whose hashes are equal."""
    by_hash: dict[bytes, str] = {}
    ambiguous: set[bytes] = set()
    for instance in instances:
        name = identity_hash(instance)
        if by_hash.setdefault(name, instance) != instance:
            ambiguous.add(name)
    return {name: each for name, each in by_hash.items() if name not in ambiguous}


def _encode(entry: Entry) -> bytes:
    failing = max(0, min(100, entry.failing_percent))
    return _ENTRY.pack(
        entry.identity_hash,
        _bounded(entry.running),
        _bounded(entry.waiting),
        _bounded(entry.slots),
        _bounded(round(entry.slowness_percent / SLOWNESS_STEP_PERCENT)),
        failing | (0 if entry.accepting else NOT_ACCEPTING_BIT),
        _bounded(int(entry.overdue_s / AGE_STEP_S)),
    )


def _decode(fields: tuple[bytes, int, int, int, int, int, int]) -> Entry:
    name, running, waiting, slots, slowness, failing, overdue = fields
    return Entry(
        name,
        running,
        waiting,
        slots,
        slowness * SLOWNESS_STEP_PERCENT,
        failing & ~NOT_ACCEPTING_BIT,
        not failing & NOT_ACCEPTING_BIT,
        overdue * AGE_STEP_S,
    )


def _bounded(value: int) -> int:
    return max(0, min(MAX_COUNT, value))
