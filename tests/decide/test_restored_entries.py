from __future__ import annotations

import dataclasses

from snipelink.decide import restored_entries
from snipelink.mesh import published_state

NOW = 100.0


def _instance(
    name: str, *, leaving: bool = False, born_ms: int = 1000, revision: int = 50
) -> published_state.Instance:
    return published_state.Instance(
        name, "rota", "10.0.0.1", "a", leaving, born_ms, revision, era=1
    )


def _reconcile(
    *known: published_state.Instance,
    removed: tuple[published_state.Instance, ...] = (),
    copy: tuple[published_state.Instance, ...],
) -> restored_entries.Reconciliation[published_state.Instance]:
    written = tuple(dataclasses.replace(entry, era=2) for entry in copy)
    return restored_entries.reconcile(
        {entry.id: entry for entry in known},
        {entry.id: entry for entry in removed},
        written,
    )


def test_running_endpoint_that_the_copy_lacks_is_absent() -> None:
    found = _reconcile(
        _instance("a"), _instance("b"), _instance("c", leaving=True), copy=()
    )
    assert found.absent_ids == {"a", "b"}
    assert found.entries == ()


def test_endpoint_that_left_before_the_restore_is_withdrawn() -> None:
    found = _reconcile(
        _instance("a"),
        _instance("b", leaving=True),
        removed=(_instance("c"),),
        copy=(_instance("a"), _instance("b"), _instance("c")),
    )
    assert found.withdrawn_ids == {"b", "c"}
    assert found.absent_ids == frozenset()


def test_new_process_of_a_withdrawn_identity_is_not_withdrawn() -> None:
    later = _instance("a", born_ms=2000)
    assert not _reconcile(_instance("a", leaving=True), copy=(later,)).withdrawn_ids
    assert not _reconcile(removed=(_instance("a"),), copy=(later,)).withdrawn_ids


def test_entry_of_a_former_process_does_not_replace_the_running_one() -> None:
    running = _instance("a", born_ms=2000, revision=90)
    former = _instance("a", leaving=True, born_ms=1000)
    (entry,) = _reconcile(running, copy=(former,)).entries
    assert entry.has_same_content(running)
    assert entry.written_at == (2, former.revision)


def test_removed_entries_are_forgotten_once_their_processes_have_ended() -> None:
    removed = restored_entries.RemovedEntries[published_state.Instance]()
    removed.add(_instance("a"), NOW)
    removed.add(_instance("b"), NOW + 10.0)
    removed.add(_instance("c"), NOW + 10.0)
    removed.discard("c")
    assert set(removed.recent_by_id(NOW + 20.0)) == {"a", "b"}
    later = NOW + restored_entries.WITHDRAWN_ENTRY_S + 5.0
    assert set(removed.recent_by_id(later)) == {"b"}


def test_number_of_removed_entries_in_memory_is_bounded() -> None:
    removed = restored_entries.RemovedEntries[published_state.Instance]()
    for number in range(restored_entries.MAX_REMOVED_ENTRIES + 10):
        removed.add(_instance(f"i-{number}"), NOW)
    recent_by_id = removed.recent_by_id(NOW)
    assert len(recent_by_id) == restored_entries.MAX_REMOVED_ENTRIES
    assert "i-9" not in recent_by_id
