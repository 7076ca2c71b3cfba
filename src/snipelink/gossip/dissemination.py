"""Queue of records that gossip messages carry a limited number of times."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Hashable
from typing import Generic, TypeVar

Record = TypeVar("Record", bound=Hashable)


def transmit_limit(member_count: int) -> int:
    """Return how often each node sends a record in a fleet of ``member_count`` nodes.

    Random forwarding reaches nearly all of ``n`` nodes when each node sends a record
    about ``ln n`` times. Anti-entropy by bucket checksums repairs the rest.
    """
    return math.ceil(math.log2(member_count + 2))


@dataclasses.dataclass(slots=True)
class _QueuedRecord:
    transmissions_left: int
    expires_at: float


class Queue(Generic[Record]):
    """Deduplicating queue, bounded by record count, transmissions and age.

    Parameters
    ----------
    capacity : int
        Maximum number of records; the oldest is dropped first.
    retention_s : float
        Time for which a record is stored. While it is stored, adding it again has no
        effect.
    """

    def __init__(self, capacity: int, retention_s: float) -> None:
        self._capacity = capacity
        self._retention_s = retention_s
        self._queued_by_record: dict[Record, _QueuedRecord] = {}

    def __len__(self) -> int:
        return len(self._queued_by_record)

    def add(self, record: Record, transmissions: int, now: float) -> bool:
        """Add a record to send ``transmissions`` times; return whether it is new."""
        if record in self._queued_by_record:
            return False
        while len(self._queued_by_record) >= self._capacity:
            del self._queued_by_record[next(iter(self._queued_by_record))]
        self._queued_by_record[record] = _QueuedRecord(
            transmissions, now + self._retention_s
        )
        return True

    def take_batch(self, count: int, now: float) -> list[Record]:
        """Return records to send now, those with most transmissions left first."""
        self._expire(now)
        pending = [
            record
            for record, queued in self._queued_by_record.items()
            if queued.transmissions_left > 0
        ]
        pending.sort(
            key=lambda record: -self._queued_by_record[record].transmissions_left
        )
        for record in pending[:count]:
            self._queued_by_record[record].transmissions_left -= 1
        return pending[:count]

    def has_pending(self) -> bool:
        """Whether any record has transmissions left."""
        return any(
            queued.transmissions_left > 0 for queued in self._queued_by_record.values()
        )

    def _expire(self, now: float) -> None:
        for record, queued in list(self._queued_by_record.items()):
            if now >= queued.expires_at:
                del self._queued_by_record[record]
