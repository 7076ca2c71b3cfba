"""Rendezvous hashing: every node ranks the same names alike, without a vote."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def score(key: str, name: str) -> int:
    """Return the score of a name for a key; the highest score wins."""
    data = f"{key}\0{name}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names ordered by their score for a key, the winner first."""
    return sorted(names, key=lambda name: (score(key, name), name), reverse=True)


def winner(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest score for a key."""
    return max(names, key=lambda name: (score(key, name), name), default=None)
