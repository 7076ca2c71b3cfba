"""Budget of the node for bodies that are held in memory."""

from __future__ import annotations

import threading
import typing


class Chargeable(typing.Protocol):
    """What bodies are charged to."""

    def charge(self, size: int) -> bool:
        """Charge bytes; false if they do not fit."""


class Budget:
    """Bytes of bodies that all calls of the node may hold at once.

    One thread serves a call from its first byte to the end of its answer, so
    bytes are charged to the calling thread, and `release` returns them.

    Parameters
    ----------
    limit : int
        Bytes held at once.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._used = 0
        self._thread = _Charges()
        self.refused = 0

    def charge(self, size: int) -> bool:
        """Charge `size` bytes to this thread; false if they do not fit."""
        with self._lock:
            if self._used + size > self._limit:
                self.refused += 1
                return False
            self._used += size
        self._thread.size += size
        return True

    def release(self) -> None:
        """Return all bytes that were charged to this thread."""
        size = self._thread.size
        if size:
            self._thread.size = 0
            with self._lock:
                self._used -= size

    def used(self) -> int:
        """Return the bytes that are held now."""
        return self._used


class _Charges(threading.local):
    size = 0


class Pool:
    """Bytes of bodies that all connections of one event loop may hold at once."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.refused = 0


class PoolCharge:
    """Bytes that one connection, or one request, holds of a pool."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._size = 0

    def charge(self, size: int) -> bool:
        """Charge bytes; false if they do not fit."""
        if self._pool.used + size > self._pool.limit:
            self._pool.refused += 1
            return False
        self._pool.used += size
        self._size += size
        return True

    def detach(self) -> PoolCharge:
        """Return a charge that holds all bytes of this one, which then holds none."""
        other = PoolCharge(self._pool)
        other._size, self._size = self._size, 0
        return other

    def release(self) -> None:
        """Return all bytes of this charge."""
        self._pool.used -= self._size
        self._size = 0
