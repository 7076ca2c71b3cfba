from __future__ import annotations

from snipelink.mesh import catalog, objects

NOW = 100.0
DRAIN_S = 2.0


def _instance(
    name: str, *, leaving: bool = False, born_ms: int = 0
) -> objects.Instance:
    return objects.Instance(name, "rota", "10.0.0.1", "a", leaving, born_ms)


def _catalog(*instances: objects.Instance, revision: int = 5) -> catalog.Catalog:
    known = catalog.Catalog(DRAIN_S)
    known.sync(objects.Published(revision, None, instances), NOW)
    return known


def _usable(known: catalog.Catalog, now: float = NOW) -> list[str]:
    return [instance.id for instance in known.usable("rota", now)]


def test_older_state_of_another_node_is_not_taken() -> None:
    known = _catalog(_instance("a"))
    assert not known.sync(objects.Published(4, None, ()), NOW)
    assert _usable(known) == ["a"]


def test_changes_up_to_the_known_revision_have_no_effect() -> None:
    known = _catalog(_instance("a"))
    known.apply(catalog.Changes(5, removed=("a",)), NOW)
    assert _usable(known) == ["a"]
    known.apply(catalog.Changes(6, removed=("a",)), NOW)
    assert "a" not in known.instances_by_id


def test_leaving_endpoint_is_a_last_resort_within_its_drain_time() -> None:
    known = _catalog(_instance("a"), _instance("b"))
    known.apply(catalog.Changes(6, instances=(_instance("a", leaving=True),)), NOW)
    assert _usable(known) == ["b"]
    known.apply(catalog.Changes(7, removed=("b",)), NOW)
    assert sorted(_usable(known)) == ["a", "b"]
    assert _usable(known, NOW + DRAIN_S) == []
    assert not known.is_usable("a", NOW + DRAIN_S)


def test_endpoint_that_comes_back_is_used_again() -> None:
    known = _catalog(_instance("a"))
    known.apply(catalog.Changes(6, removed=("a",)), NOW)
    known.apply(catalog.Changes(7, instances=(_instance("a"),)), NOW + 1.5)
    assert _usable(known, NOW + 10.0) == ["a"]


def test_lapsed_entries_are_kept_longer_after_the_store_was_away() -> None:
    known = _catalog(_instance("a"))
    known.on_source_away(NOW)
    known.apply(catalog.Changes(6, removed=("a",)), NOW)
    assert _usable(known, NOW + 2.0) == ["a"]
    assert _usable(known, NOW + 2.3) == []


def test_late_entry_of_a_former_process_is_ignored() -> None:
    known = _catalog(_instance("a", born_ms=2000))
    late = _instance("a", leaving=True, born_ms=1000)
    known.apply(catalog.Changes(6, instances=(late,)), NOW)
    assert _usable(known) == ["a"]


def test_changes_since_a_revision_lead_to_the_same_state() -> None:
    first, second = catalog.Catalog(2.0), catalog.Catalog(2.0)
    for known in (first, second):
        known.sync(objects.Published(5, None, (_instance("a"), _instance("b"))), NOW)
    first.apply(catalog.Changes(6, removed=("a",)), NOW)
    first.apply(catalog.Changes(7, instances=(_instance("c"),)), NOW)
    first.apply(catalog.Changes(9, instances=(_instance("a"),), removed=("c",)), NOW)
    for after in (5, 6, 7, 8, 9):
        changes = first.changes_since(after)
        assert changes is not None
        assert changes.revision == 9
    changes = first.changes_since(5)
    assert changes is not None
    second.apply(changes, NOW)
    assert second.instances_by_id == first.instances_by_id
    assert second.revision == first.revision


def test_changes_that_are_no_longer_known_are_not_made_up() -> None:
    known = catalog.Catalog(2.0)
    known.sync(objects.Published(5, None, ()), NOW)
    known.apply(catalog.Changes(6, instances=(_instance("a"),)), NOW)
    assert known.changes_since(4) is None
    known.sync(objects.Published(8, None, ()), NOW)
    assert known.changes_since(6) is None
    for revision in range(9, 9 + 2 * catalog.MAX_KEPT_CHANGES):
        known.apply(catalog.Changes(revision), NOW)
    assert known.changes_since(9) is None
    assert known.changes_since(known.revision - 1) is not None
