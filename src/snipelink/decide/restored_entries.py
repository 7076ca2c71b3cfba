"""Which published entries stay in force after a restore of the platform's store.

A store that is restored from an older copy has lost its last writes. Their writers
repeat them within seconds. Until then, the copy lacks entries of running endpoints and
contains entries of endpoints that have announced their shutdown since. Each node
decides for itself, by what it knew before the restore.
"""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Mapping, Sequence

# Entries that were lost in an outage or by a restore of the store are published again
# within about two seconds of its return.
LAPSED_ENTRY_S = 2.2
# Time for which an endpoint that left before a restore counts as leaving, unless its
# entry is written again. After it, the process has ended and its entry has expired.
WITHDRAWN_ENTRY_S = 30.0
# Removed entries in memory. Beyond, the oldest ones are forgotten.
MAX_REMOVED_ENTRIES = 4096


class Entry(typing.Protocol):
    """Published entry of an endpoint process."""

    @property
    def id(self) -> str:
        """Identity of the process."""

    @property
    def leaving(self) -> bool:
        """Whether the process is about to stop."""

    @property
    def born_ms(self) -> int:
        """Start time of the process in Unix milliseconds; 0 if it is not stated."""

    def at_position_of(self, other: typing.Self) -> typing.Self:
        """Return this entry as if it was written at the position of another one."""


EntryT = typing.TypeVar("EntryT", bound=Entry)


class RemovedEntries(typing.Generic[EntryT]):
    """Entries that were removed within the last `WITHDRAWN_ENTRY_S`."""

    def __init__(self) -> None:
        # In order of removal.
        self._removed_by_id: dict[str, tuple[EntryT, float]] = {}

    def add(self, instance: EntryT, now: float) -> None:
        """Record that an entry was removed."""
        self._removed_by_id.pop(instance.id, None)
        self._removed_by_id[instance.id] = (instance, now)
        if len(self._removed_by_id) > MAX_REMOVED_ENTRIES:
            del self._removed_by_id[next(iter(self._removed_by_id))]

    def discard(self, instance_id: str) -> None:
        """Record that an entry is published again."""
        self._removed_by_id.pop(instance_id, None)

    def recent_by_id(self, now: float) -> dict[str, EntryT]:
        """Return the entries that were removed recently, and forget older ones."""
        for instance_id, (_, removed_at) in list(self._removed_by_id.items()):
            if now - removed_at <= WITHDRAWN_ENTRY_S:
                break
            del self._removed_by_id[instance_id]
        return {
            instance_id: instance
            for instance_id, (instance, _) in self._removed_by_id.items()
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Reconciliation(typing.Generic[EntryT]):
    """Difference between a restored copy and what a node knew before.

    Attributes
    ----------
    entries : tuple of Entry
        Entries in force. They are those of the copy, except where the copy has the
        entry of a former process of the same identity.
    withdrawn_ids : frozenset of str
        Entries of the copy whose endpoints are known to be leaving or removed.
    absent_ids : frozenset of str
        Known entries that the copy lacks, without those of leaving endpoints.
    """

    entries: tuple[EntryT, ...]
    withdrawn_ids: frozenset[str]
    absent_ids: frozenset[str]


def reconcile(
    known_by_id: Mapping[str, EntryT],
    removed_by_id: dict[str, EntryT],
    copy: Sequence[EntryT],
) -> Reconciliation[EntryT]:
    """Compare the first state of a new era with the entries known before.

    Parameters
    ----------
    known_by_id : dict of str to Entry
        Entries in force before the restore.
    removed_by_id : dict of str to Entry
        Entries that were removed shortly before the restore.
    copy : sequence of Entry
        Entries of the first state of the new era that this node has received.
    """
    withdrawn_by_id = removed_by_id | {
        known.id: known for known in known_by_id.values() if known.leaving
    }
    running_by_id = {
        known.id: known for known in known_by_id.values() if not known.leaving
    }
    present_ids = {entry.id for entry in copy}
    return Reconciliation(
        tuple(_entry_in_force(entry, running_by_id.get(entry.id)) for entry in copy),
        frozenset(
            entry.id
            for entry in copy
            if entry.id in withdrawn_by_id
            and entry.born_ms <= withdrawn_by_id[entry.id].born_ms
        ),
        frozenset(running_by_id.keys() - present_ids),
    )


def _entry_in_force(entry: EntryT, running: EntryT | None) -> EntryT:
    """Return the entry of the later process, as written at the entry of the copy."""
    if running is None or entry.born_ms >= running.born_ms:
        return entry
    return running.at_position_of(entry)
