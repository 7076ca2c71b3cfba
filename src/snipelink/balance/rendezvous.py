"""Rendezvous hashing: all nodes rank the same names alike without coordination."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def score(key: str, name: str) -> int:
    """Return the hash score of a name for a key."""
    data = f"{key}\0{name}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in descending order of their score for a key."""
    return sorted(names, key=lambda name: (score(key, name), name), reverse=True)


def highest_ranked(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest score for a key."""
    return max(names, key=lambda name: (score(key, name), name), default=None)
