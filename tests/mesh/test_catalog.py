from __future__ import annotations

from snipelink.mesh import catalog, published_state

NOW = 100.0
DRAIN_S = 2.0


def _instance(
    name: str, *, leaving: bool = False, born_ms: int = 0, domain: str = "a"
) -> published_state.Instance:
    return published_state.Instance(name, "rota", "10.0.0.1", domain, leaving, born_ms)


def _catalog(
    *instances: published_state.Instance, revision: int = 5
) -> catalog.Catalog:
    known = catalog.Catalog(DRAIN_S)
    known.apply_snapshot(published_state.PublishedState(revision, None, instances), NOW)
    return known


def _usable(known: catalog.Catalog, now: float = NOW) -> list[str]:
    return [instance.id for instance in known.usable_instances("rota", now)]


def test_older_state_of_another_node_is_not_taken() -> None:
    known = _catalog(_instance("a"))
    assert not known.apply_snapshot(published_state.PublishedState(4, None, ()), NOW)
    assert _usable(known) == ["a"]


def test_changes_up_to_the_known_revision_have_no_effect() -> None:
    known = _catalog(_instance("a"))
    known.apply_changes(catalog.Changes(5, removed=("a",)), NOW)
    assert _usable(known) == ["a"]
    known.apply_changes(catalog.Changes(6, removed=("a",)), NOW)
    assert "a" not in known.instances_by_id


def test_leaving_endpoint_is_a_last_resort_within_its_drain_time() -> None:
    known = _catalog(_instance("a"), _instance("b"))
    known.apply_changes(
        catalog.Changes(6, instances=(_instance("a", leaving=True),)), NOW
    )
    assert _usable(known) == ["b"]
    known.apply_changes(catalog.Changes(7, removed=("b",)), NOW)
    assert sorted(_usable(known)) == ["a", "b"]
    assert _usable(known, NOW + DRAIN_S) == []
    assert not known.is_usable("a", NOW + DRAIN_S)


def test_endpoint_that_comes_back_is_used_again() -> None:
    known = _catalog(_instance("a"))
    known.apply_changes(catalog.Changes(6, removed=("a",)), NOW)
    known.apply_changes(catalog.Changes(7, instances=(_instance("a"),)), NOW + 1.5)
    assert _usable(known, NOW + 10.0) == ["a"]


def test_lapsed_entries_are_kept_longer_after_the_store_was_away() -> None:
    known = _catalog(_instance("a"))
    known.on_store_unavailable(NOW)
    known.apply_changes(catalog.Changes(6, removed=("a",)), NOW)
    assert _usable(known, NOW + 2.0) == ["a"]
    assert _usable(known, NOW + 2.3) == []


def test_late_entry_of_a_former_process_is_ignored() -> None:
    known = _catalog(_instance("a", born_ms=2000))
    late = _instance("a", leaving=True, born_ms=1000)
    known.apply_changes(catalog.Changes(6, instances=(late,)), NOW)
    assert _usable(known) == ["a"]


def test_changes_since_a_revision_lead_to_the_same_state() -> None:
    first, second = catalog.Catalog(2.0), catalog.Catalog(2.0)
    for known in (first, second):
        known.apply_snapshot(
            published_state.PublishedState(5, None, (_instance("a"), _instance("b"))),
            NOW,
        )
    first.apply_changes(catalog.Changes(6, removed=("a",)), NOW)
    first.apply_changes(catalog.Changes(7, instances=(_instance("c"),)), NOW)
    first.apply_changes(catalog.Changes(8, evacuated=("a", "d")), NOW)
    first.apply_changes(
        catalog.Changes(9, instances=(_instance("a"),), removed=("c",)), NOW
    )
    first.apply_changes(catalog.Changes(10, restored=("d",)), NOW)
    for after in (5, 6, 7, 8, 9, 10):
        changes = first.changes_since(after)
        assert changes is not None
        assert changes.revision == 10
    changes = first.changes_since(5)
    assert changes is not None
    second.apply_changes(changes, NOW)
    assert second.instances_by_id == first.instances_by_id
    assert second.revision == first.revision
    assert first.snapshot().evacuated == ("a",)
    assert second.snapshot().evacuated == first.snapshot().evacuated


def test_changes_that_are_no_longer_known_are_not_made_up() -> None:
    known = catalog.Catalog(2.0)
    known.apply_snapshot(published_state.PublishedState(5, None, ()), NOW)
    known.apply_changes(catalog.Changes(6, instances=(_instance("a"),)), NOW)
    assert known.changes_since(4) is None
    known.apply_snapshot(published_state.PublishedState(8, None, ()), NOW)
    assert known.changes_since(6) is None
    for revision in range(9, 9 + 2 * catalog.MAX_HISTORY_COUNT):
        known.apply_changes(catalog.Changes(revision), NOW)
    assert known.changes_since(9) is None
    assert known.changes_since(known.revision - 1) is not None


def _evacuated() -> catalog.Catalog:
    """Return a catalog with one of two failure domains evacuated at `NOW`."""
    known = _catalog(_instance("a"), _instance("b", domain="b"))
    known.apply_changes(catalog.Changes(6, evacuated=("a",)), NOW)
    return known


def test_evacuated_domain_gets_no_calls_until_it_is_taken_back() -> None:
    known = _evacuated()
    assert _usable(known) == ["b"]
    known.apply_changes(catalog.Changes(7, instances=(_instance("c"),)), NOW + 9.0)
    assert _usable(known, NOW + 9.0) == ["b"]
    assert not known.is_usable("c", NOW + 9.0)
    known.apply_changes(catalog.Changes(8, restored=("a",)), NOW + 10.0)
    assert sorted(_usable(known, NOW + 10.0)) == ["a", "b", "c"]
    assert known.is_usable("a", NOW + 20.0)


def test_evacuated_domain_is_a_last_resort_for_a_short_time() -> None:
    known = _evacuated()
    known.apply_changes(catalog.Changes(7, removed=("b",)), NOW)
    assert sorted(_usable(known, NOW + 0.5)) == ["a", "b"]
    assert known.is_usable("a", NOW + 0.5)
    assert _usable(known, NOW + DRAIN_S) == []
    assert not known.is_usable("a", NOW + DRAIN_S)


def test_endpoint_that_leaves_an_evacuated_domain_is_no_last_resort_anew() -> None:
    known = _evacuated()
    late = NOW + 4.5
    known.apply_changes(
        catalog.Changes(7, instances=(_instance("a", leaving=True),)), late
    )
    assert not known.is_usable("a", late)
    known.apply_changes(catalog.Changes(8, removed=("a",)), late)
    assert not known.is_usable("a", late)


def test_evacuation_is_part_of_the_whole_state() -> None:
    known = _catalog(_instance("a"), _instance("b", domain="b"))
    published = published_state.PublishedState(6, None, (_instance("a"),), ("a",))
    known.apply_snapshot(published, NOW)
    assert known.snapshot() == published
    started = catalog.Catalog(DRAIN_S)
    started.apply_snapshot(published, NOW)
    assert _usable(started) == []
    known.apply_snapshot(
        published_state.PublishedState(7, None, (_instance("a"),)), NOW
    )
    assert _usable(known) == ["a"]
