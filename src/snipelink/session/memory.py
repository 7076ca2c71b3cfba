"""Memory budgets for bodies of requests and responses."""

from __future__ import annotations

import threading
import typing


class Chargeable(typing.Protocol):
    """A memory budget that bytes can be charged to."""

    def charge(self, size: int) -> bool:
        """Charge `size` bytes; return false if they exceed the limit."""


class Budget:
    """Bounds the memory that bodies of all calls of the node hold at once.

    One thread serves a call from its first byte to the end of its answer. Bytes are
    therefore accounted for each thread, and `release` frees all bytes of the calling
    thread.

    Parameters
    ----------
    limit : int
        Maximum number of bytes held at once.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._used = 0
        self._thread = _Charges()
        self.refused = 0

    def charge(self, size: int) -> bool:
        """Charge `size` bytes to this thread; return false if they exceed the limit."""
        with self._lock:
            if self._used + size > self._limit:
                self.refused += 1
                return False
            self._used += size
        self._thread.size += size
        return True

    def release(self) -> None:
        """Free all bytes that were charged to this thread."""
        size = self._thread.size
        if size:
            self._thread.size = 0
            with self._lock:
                self._used -= size

    def used(self) -> int:
        """Return the number of bytes held now."""
        return self._used


class _Charges(threading.local):
    size = 0


class Pool:
    """Bounds the memory of bodies of all connections of one event loop."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.refused = 0


class PoolCharge:
    """The bytes that one connection or request has charged to a pool."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._size = 0

    def charge(self, size: int) -> bool:
        """Charge `size` bytes; return false if they exceed the limit."""
        if self._pool.used + size > self._pool.limit:
            self._pool.refused += 1
            return False
        self._pool.used += size
        self._size += size
        return True

    def detach(self) -> PoolCharge:
        """Move all bytes of this charge to a new charge and return the new one."""
        other = PoolCharge(self._pool)
        other._size, self._size = self._size, 0
        return other

    def release(self) -> None:
        """Free all bytes of this charge."""
        self._pool.used -= self._size
        self._size = 0
