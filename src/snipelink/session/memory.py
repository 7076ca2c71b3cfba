"""Memory budgets for bodies of requests and responses."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging
import threading
import typing

logger = logging.getLogger(__name__)

# Charges up to this size may use the reserve of a pool.
SMALL_CHARGE_BYTES = 1 << 16
# Share of a pool, as a divisor, that is reserved for small charges.
RESERVE_DIVISOR = 8


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
    """Bounds the memory of one kind of buffered bytes of an event loop.

    Charges that hold more than `SMALL_CHARGE_BYTES` leave 1/`RESERVE_DIVISOR` of the
    pool to smaller ones, so that a few large messages do not stop all others.

    Parameters
    ----------
    limit : int
        Maximum number of bytes held at once.
    name : str
        What the bytes belong to, for logs.
    parent : Pool or None
        Pool that the bytes are charged to as well.

    Attributes
    ----------
    used, peak : int
        Bytes held now, and most bytes held at once so far.
    refused : int
        Charges that found no room.
    """

    def __init__(self, limit: int, name: str = "", parent: Pool | None = None) -> None:
        self.limit = limit
        self.name = name
        self.used = self.peak = self.refused = 0
        self._parent = parent
        self._waiting: collections.deque[_Waiting] = (
            collections.deque() if parent is None else parent._waiting
        )

    def has_room(self, size: int, held: int = 0) -> bool:
        """Whether a charge that holds `held` bytes may grow by `size` bytes."""
        if self.used + size > self._limit_for(held + size):
            return False
        return self._parent is None or self._parent.has_room(size, held)

    def can_hold(self, size: int) -> bool:
        """Whether a charge of `size` bytes has room while nothing else is charged."""
        if size > self._limit_for(size):
            return False
        return self._parent is None or self._parent.can_hold(size)

    def _limit_for(self, charge_size: int) -> int:
        reserve = self.limit // RESERVE_DIVISOR
        return self.limit - (reserve if charge_size > SMALL_CHARGE_BYTES else 0)

    def _add(self, size: int) -> None:
        self.used += size
        self.peak = max(self.peak, self.used)
        if self._parent is not None:
            self._parent._add(size)

    def _remove(self, size: int) -> None:
        self.used -= size
        if self._parent is not None:
            self._parent._remove(size)
            return
        while self._waiting:
            first = self._waiting[0]
            if not first.admitted.done():
                if not first.pool.has_room(first.size):
                    return
                first.pool._add(first.size)
                first.admitted.set_result(None)
            self._waiting.popleft()

    def _refuse(self, size: int) -> None:
        self.refused += 1
        fields = {
            "pool": self.name,
            "size": size,
            "used": self.used,
            "limit": self.limit,
        }
        logger.warning("no room for further bytes", extra={"fields": fields})


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    """A charge that waits for room."""

    pool: Pool
    size: int
    admitted: asyncio.Future[None]


class PoolCharge:
    """The bytes that one connection or message has charged to a pool."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._size = 0

    def charge(self, size: int) -> bool:
        """Charge `size` bytes; return false if they exceed the limit."""
        if not self._pool.has_room(size, self._size):
            self._pool._refuse(size)
            return False
        self._pool._add(size)
        self._size += size
        return True

    async def wait_and_charge(self, size: int, timeout_s: float) -> bool:
        """Charge `size` bytes once there is room; return false after a timeout.

        Charges are admitted in the order in which they started to wait. One that can
        never have room is refused at once.
        """
        pool = self._pool
        if not pool.can_hold(size):
            pool._refuse(size)
            return False
        if not pool._waiting and pool.has_room(size, self._size):
            return self.charge(size)
        waiting = _Waiting(pool, size, asyncio.get_running_loop().create_future())
        pool._waiting.append(waiting)
        try:
            async with asyncio.timeout(timeout_s):
                await waiting.admitted
        except BaseException as error:
            if waiting.admitted.done() and not waiting.admitted.cancelled():
                pool._remove(size)
            waiting.admitted.cancel()
            if not isinstance(error, TimeoutError):
                raise
            pool._refuse(size)
            return False
        self._size += size
        return True

    def detach(self) -> PoolCharge:
        """Move all bytes of this charge to a new charge and return the new one."""
        other = PoolCharge(self._pool)
        other._size, self._size = self._size, 0
        return other

    def release(self) -> None:
        """Free all bytes of this charge."""
        size, self._size = self._size, 0
        if size:
            self._pool._remove(size)


class ChargedBuffer(bytearray):
    """Buffer whose memory charge ends when the buffer itself is freed."""

    charge: PoolCharge | None = None

    def __del__(self) -> None:
        """Release the charge."""
        if self.charge is not None:
            self.charge.release()
