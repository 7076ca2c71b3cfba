from __future__ import annotations

import dataclasses
import typing
import weakref

import pytest

from snipelink.decide import restored_entries, store_position
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
    state = catalog.Catalog(DRAIN_S)
    state.apply_snapshot(published_state.PublishedState(revision, None, instances), NOW)
    return state


def _usable(state: catalog.Catalog, now: float = NOW) -> list[str]:
    return [instance.id for instance in state.usable_instances("rota", now)]


def test_older_snapshot_is_not_applied() -> None:
    state = _catalog(_instance("a"))
    assert not state.apply_snapshot(published_state.PublishedState(4, None, ()), NOW)
    assert _usable(state) == ["a"]


def test_changes_up_to_the_known_revision_have_no_effect() -> None:
    state = _catalog(_instance("a"))
    state.apply_changes(catalog.Changes(5, removed=("a",)), NOW)
    assert _usable(state) == ["a"]
    state.apply_changes(catalog.Changes(6, removed=("a",)), NOW)
    assert "a" not in state.instances_by_id


def test_leaving_endpoint_is_a_last_resort_within_its_drain_time() -> None:
    state = _catalog(_instance("a"), _instance("b"))
    state.apply_changes(
        catalog.Changes(6, instances=(_instance("a", leaving=True),)), NOW
    )
    assert _usable(state) == ["b"]
    state.apply_changes(catalog.Changes(7, removed=("b",)), NOW)
    assert sorted(_usable(state)) == ["a", "b"]
    assert _usable(state, NOW + DRAIN_S) == []
    assert not state.is_usable("a", NOW + DRAIN_S)


def _last_resort_fields(caplog: pytest.LogCaptureFixture) -> list[dict[str, object]]:
    return [
        record.__dict__["fields"]
        for record in caplog.records
        if record.message == "endpoint is a last resort"
    ]


def test_last_resort_is_logged_with_its_cause_and_time(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    state = _catalog(_instance("a"), _instance("b"), _instance("c", domain="c"))
    changes = catalog.Changes(
        6, instances=(_instance("a", leaving=True),), removed=("b",), evacuated=("c",)
    )
    state.apply_changes(changes, NOW)
    seen = {
        fields["instance"]: fields["cause"] for fields in _last_resort_fields(caplog)
    }
    assert seen == {"a": "leaving", "b": "removed", "c": "evacuated"}
    assert {fields["usable_s"] for fields in _last_resort_fields(caplog)} == {1.2}
    assert state.last_resort_count == 3


def test_last_resorts_are_forgotten_while_other_endpoints_are_ready() -> None:
    state = _catalog(_instance("a"), _instance("b"))
    state.apply_changes(catalog.Changes(6, removed=("a",)), NOW)
    state.expire(NOW + 1.0)
    assert set(state._last_resort_until_by_id) == {"a"}
    assert not state.expire(NOW + DRAIN_S)
    assert not state._last_resort_until_by_id


def test_endpoint_that_is_published_again_is_usable_again() -> None:
    state = _catalog(_instance("a"))
    state.apply_changes(catalog.Changes(6, removed=("a",)), NOW)
    state.apply_changes(catalog.Changes(7, instances=(_instance("a"),)), NOW + 1.5)
    assert _usable(state, NOW + 10.0) == ["a"]


def test_removed_endpoints_stay_usable_longer_after_a_store_outage() -> None:
    state = _catalog(_instance("a"))
    state.on_store_unavailable(NOW)
    state.apply_changes(catalog.Changes(6, removed=("a",)), NOW)
    assert _usable(state, NOW + 2.0) == ["a"]
    assert _usable(state, NOW + 2.3) == []


@pytest.mark.parametrize("cause", ["leaving", "evacuated"])
@pytest.mark.parametrize("is_snapshot", [False, True])
def test_outage_of_the_store_does_not_prolong_an_announced_departure(
    *, cause: str, is_snapshot: bool
) -> None:
    """Guards against calls to a leaving endpoint after its drain time.

    The longer time is for entries that lapsed. An endpoint that reports its departure,
    or whose failure domain is evacuated, has not lapsed.
    """
    state = _catalog(_instance("a"))
    state.on_store_unavailable(NOW)
    leaving = _instance("a", leaving=cause == "leaving")
    evacuated = ("a",) if cause == "evacuated" else ()
    if is_snapshot:
        copy = published_state.PublishedState(6, None, (leaving,), evacuated)
        state.apply_snapshot(copy, NOW)
    else:
        changes = catalog.Changes(6, instances=(leaving,), evacuated=evacuated)
        state.apply_changes(changes, NOW)
    assert _usable(state, NOW + 1.1) == ["a"]
    state.on_store_unavailable(NOW + 1.0)
    assert _usable(state, NOW + 1.3) == []
    assert not state.is_usable("a", NOW + 1.3)
    state.apply_changes(catalog.Changes(7, removed=("a",)), NOW + 1.3)
    assert _usable(state, NOW + 1.3) == []


@pytest.mark.parametrize("field", ["slots", "born_ms"])
@pytest.mark.parametrize("is_snapshot", [False, True])
def test_changed_entry_of_a_leaving_endpoint_does_not_restart_its_time(
    field: str, *, is_snapshot: bool
) -> None:
    """Guards against calls to a leaving endpoint after its drain time.

    Its entry was written again with another value of a field.
    """
    state = _catalog(_instance("a"))
    leaving = _instance("a", leaving=True)
    state.apply_changes(catalog.Changes(6, instances=(leaving,)), NOW)
    changed = dataclasses.replace(leaving, **{field: 7})
    if is_snapshot:
        copy = published_state.PublishedState(7, None, (changed,))
        state.apply_snapshot(copy, NOW + 1.0)
    else:
        state.apply_changes(catalog.Changes(7, instances=(changed,)), NOW + 1.0)
    assert list(state.usable_instances("rota", NOW + 1.1)) == [changed]
    assert _usable(state, NOW + 1.3) == []
    assert not state.is_usable("a", NOW + 1.3)


@pytest.mark.parametrize("is_leaving", [False, True])
def test_changed_entry_in_an_evacuated_domain_keeps_its_time(
    *, is_leaving: bool
) -> None:
    """Guards against refused calls while an evacuated endpoint still serves."""
    state = _catalog(_instance("a"))
    state.apply_changes(catalog.Changes(6, evacuated=("a",)), NOW)
    changed = dataclasses.replace(_instance("a", leaving=is_leaving), slots=7)
    state.apply_changes(catalog.Changes(7, instances=(changed,)), NOW + 1.0)
    assert _usable(state, NOW + 1.1) == ["a"]
    assert _usable(state, NOW + 1.3) == []


def test_departure_after_an_evacuation_has_a_time_of_its_own() -> None:
    state = _catalog(_instance("a"))
    state.apply_changes(catalog.Changes(6, evacuated=("a",)), NOW)
    state.apply_changes(catalog.Changes(7, restored=("a",)), NOW + 0.5)
    leaving = _instance("a", leaving=True)
    state.apply_changes(catalog.Changes(8, instances=(leaving,)), NOW + 1.0)
    assert _usable(state, NOW + 2.1) == ["a"]
    assert _usable(state, NOW + 2.3) == []


def test_late_entry_of_a_former_process_is_ignored() -> None:
    state = _catalog(_instance("a", born_ms=2000))
    late = _instance("a", leaving=True, born_ms=1000)
    state.apply_changes(catalog.Changes(6, instances=(late,)), NOW)
    assert _usable(state) == ["a"]


def test_own_entry_of_an_endpoint_replaces_one_with_a_later_start_time() -> None:
    """Guards against one entry of another writer that is in force for ever.

    Its start time was in the future, and what the endpoint itself wrote afterwards was
    ignored as an entry of a former process.
    """
    own = _instance("a", born_ms=1000)
    state = _catalog(dataclasses.replace(own, revision=4))
    other = _instance("a", leaving=True, born_ms=2**62)
    other = dataclasses.replace(other, service="desk", revision=6)
    state.apply_changes(catalog.Changes(6, instances=(other,)), NOW)
    own = dataclasses.replace(own, revision=7)
    state.apply_changes(catalog.Changes(7, instances=(own,)), NOW)
    assert _usable(state) == ["a"]
    assert state.instances_by_id == {"a": own}


def test_restart_after_a_backward_step_of_the_clock_is_followed() -> None:
    """Guards against ignoring a restarted endpoint whose start time is lower."""
    first = _instance("a", born_ms=9000)
    state = _catalog(dataclasses.replace(first, revision=4))
    leaving = _instance("a", leaving=True, born_ms=8000)
    leaving = dataclasses.replace(leaving, revision=8)
    state.apply_changes(catalog.Changes(8, instances=(leaving,)), NOW)
    assert state.instances_by_id["a"].leaving


def test_older_write_of_an_entry_does_not_replace_a_newer_one() -> None:
    newer = dataclasses.replace(_instance("a", born_ms=1000), revision=9)
    state = _catalog(newer)
    older = dataclasses.replace(_instance("a", leaving=True, born_ms=2000), revision=8)
    state.apply_changes(catalog.Changes(10, instances=(older,)), NOW)
    assert state.instances_by_id == {"a": newer}


def test_changes_since_a_revision_lead_to_the_same_state() -> None:
    first, second = catalog.Catalog(2.0), catalog.Catalog(2.0)
    for state in (first, second):
        state.apply_snapshot(
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
        changes = first.changes_since(store_position.Position(0, after))
        assert changes is not None
        assert changes.revision == 10
    changes = first.changes_since(store_position.Position(0, 5))
    assert changes is not None
    second.apply_changes(changes, NOW)
    assert second.instances_by_id == first.instances_by_id
    assert second.revision == first.revision
    assert first.snapshot().evacuated == ("a",)
    assert second.snapshot().evacuated == first.snapshot().evacuated


def test_changes_before_the_kept_history_are_not_returned() -> None:
    state = catalog.Catalog(2.0)
    state.apply_snapshot(published_state.PublishedState(5, None, ()), NOW)
    state.apply_changes(catalog.Changes(6, instances=(_instance("a"),)), NOW)
    assert state.changes_since(store_position.Position(0, 4)) is None
    state.apply_snapshot(published_state.PublishedState(8, None, ()), NOW)
    assert state.changes_since(store_position.Position(0, 6)) is None
    for revision in range(9, 9 + 2 * catalog.MAX_HISTORY_COUNT):
        state.apply_changes(catalog.Changes(revision), NOW)
    assert state.changes_since(store_position.Position(0, 9)) is None
    assert (
        state.changes_since(store_position.Position(0, state.revision - 1)) is not None
    )


def _catalog_with_evacuation() -> catalog.Catalog:
    """Return a catalog of two failure domains, of which "a" is evacuated at `NOW`."""
    state = _catalog(_instance("a"), _instance("b", domain="b"))
    state.apply_changes(catalog.Changes(6, evacuated=("a",)), NOW)
    return state


def test_evacuated_domain_gets_no_calls_until_it_is_restored() -> None:
    state = _catalog_with_evacuation()
    assert _usable(state) == ["b"]
    state.apply_changes(catalog.Changes(7, instances=(_instance("c"),)), NOW + 9.0)
    assert _usable(state, NOW + 9.0) == ["b"]
    assert not state.is_usable("c", NOW + 9.0)
    state.apply_changes(catalog.Changes(8, restored=("a",)), NOW + 10.0)
    assert sorted(_usable(state, NOW + 10.0)) == ["a", "b", "c"]
    assert state.is_usable("a", NOW + 20.0)


def test_evacuated_domain_is_a_last_resort_for_a_short_time() -> None:
    state = _catalog_with_evacuation()
    state.apply_changes(catalog.Changes(7, removed=("b",)), NOW)
    assert sorted(_usable(state, NOW + 0.5)) == ["a", "b"]
    assert state.is_usable("a", NOW + 0.5)
    assert _usable(state, NOW + DRAIN_S) == []
    assert not state.is_usable("a", NOW + DRAIN_S)


def test_leaving_an_evacuated_domain_does_not_restart_the_last_resort_time() -> None:
    state = _catalog_with_evacuation()
    late = NOW + 4.5
    state.apply_changes(
        catalog.Changes(7, instances=(_instance("a", leaving=True),)), late
    )
    assert not state.is_usable("a", late)
    state.apply_changes(catalog.Changes(8, removed=("a",)), late)
    assert not state.is_usable("a", late)


def test_evacuation_is_part_of_the_snapshot() -> None:
    state = _catalog(_instance("a"), _instance("b", domain="b"))
    published = published_state.PublishedState(6, None, (_instance("a"),), ("a",))
    state.apply_snapshot(published, NOW)
    assert state.snapshot() == published
    started = catalog.Catalog(DRAIN_S)
    started.apply_snapshot(published, NOW)
    assert _usable(started) == []
    state.apply_snapshot(
        published_state.PublishedState(7, None, (_instance("a"),)), NOW
    )
    assert _usable(state) == ["a"]


def test_endpoint_that_is_first_read_as_leaving_is_no_last_resort() -> None:
    """Guards against calls to an endpoint that left while the node was restarted."""
    restarted = catalog.Catalog(DRAIN_S)
    leaving = _instance("a", leaving=True)
    restarted.apply_snapshot(published_state.PublishedState(5, None, (leaving,)), NOW)
    assert not restarted.usable_instances("rota", NOW)
    assert not restarted.is_usable("a", NOW)


class _Configuration(published_state.Configuration):
    """A configuration that can be referred to weakly."""


def _configuration(version: int) -> published_state.Configuration:
    return _Configuration(version, (), {}, published_state.CallerLimits())


def test_replaced_configurations_are_not_kept() -> None:
    """Guards against a node that keeps every version, and exceeds its memory limit."""
    state = _catalog()
    replaced = []
    for revision in range(6, 46):
        configuration = _configuration(revision)
        replaced.append(weakref.ref(configuration))
        change = catalog.Changes(revision, configurations=(configuration,))
        state.apply_changes(change, NOW)
        del change, configuration
    assert [each() is not None for each in replaced].count(True) == 1


def test_node_that_missed_several_versions_gets_the_one_in_force() -> None:
    state, late = _catalog(), _catalog()
    for revision in range(6, 10):
        change = catalog.Changes(revision, configurations=(_configuration(revision),))
        state.apply_changes(change, NOW)
    state.apply_changes(catalog.Changes(10, instances=(_instance("a"),)), NOW)
    changes = state.changes_since(store_position.Position(0, 5))
    assert changes is not None
    assert [each.version for each in changes.configurations] == [9]
    late.apply_changes(changes, NOW)
    assert late.snapshot() == state.snapshot()
    only_instances = state.changes_since(store_position.Position(0, 9))
    assert only_instances is not None
    assert only_instances.configurations == ()


def test_history_is_bounded_by_the_number_of_its_entries() -> None:
    state = _catalog()
    names = [f"i-{index}" for index in range(catalog.MAX_HISTORY_ENTRIES // 4)]
    for revision in range(6, 16):
        instances = tuple(_instance(name, born_ms=revision) for name in names)
        state.apply_changes(catalog.Changes(revision, instances=instances), NOW)
    assert state.changes_since(store_position.Position(0, 6)) is None
    assert state.changes_since(store_position.Position(0, 14)) is not None


def test_service_has_few_slots_if_all_ready_endpoints_publish_few() -> None:
    few = dataclasses.replace(_instance("a"), slots=3)
    assert _catalog(few).has_few_slots("rota", 3)
    assert not _catalog(few).has_few_slots("rota", 2)
    assert not _catalog(few).has_few_slots("archive", 3)
    more = dataclasses.replace(_instance("b"), slots=4)
    assert not _catalog(few, more).has_few_slots("rota", 3)
    leaving = dataclasses.replace(more, leaving=True)
    assert _catalog(few, leaving).has_few_slots("rota", 3)


def test_service_without_published_slots_does_not_have_few() -> None:
    assert not _catalog(_instance("a")).has_few_slots("rota", 3)


def _written(
    name: str, revision: int, era: int = 1, **changes: typing.Any
) -> published_state.Instance:
    return dataclasses.replace(_instance(name, **changes), revision=revision, era=era)


def _restored(
    state: catalog.Catalog,
    *instances: published_state.Instance,
    evacuated: tuple[str, ...] = (),
    version: int = 0,
    era: int = 2,
) -> None:
    """Apply a copy at revision 20 of the next era."""
    configuration = _configuration(version) if version else None
    copy = published_state.PublishedState(
        20, configuration, instances, evacuated, era=era
    )
    assert state.apply_snapshot(copy, NOW)


def _catalog_before_restore(
    *instances: published_state.Instance, evacuated: tuple[str, ...] = ()
) -> catalog.Catalog:
    state = catalog.Catalog(DRAIN_S)
    state.apply_snapshot(
        published_state.PublishedState(
            60, _configuration(8), instances, evacuated, era=1
        ),
        NOW,
    )
    return state


def test_state_of_a_former_era_is_not_applied() -> None:
    state = _catalog_before_restore()
    _restored(state, _written("a", 15, era=2))
    old = published_state.PublishedState(90, _configuration(9), (), era=1)
    assert not state.apply_snapshot(old, NOW)
    state.apply_changes(catalog.Changes(90, removed=("a",), era=1), NOW)
    assert _usable(state) == ["a"]
    assert state.position == (2, 20)
    assert state.configuration_version == 8


def test_changes_of_a_later_era_need_a_snapshot_first() -> None:
    state = _catalog_before_restore(_written("a", 50))
    state.apply_changes(catalog.Changes(90, removed=("a",), era=2), NOW)
    assert state.position == (1, 60)
    assert _usable(state) == ["a"]


def test_highest_configuration_version_stays_in_force_after_a_restore() -> None:
    state = _catalog_before_restore()
    _restored(state, version=5)
    assert state.configuration_version == 8
    change = catalog.Changes(21, configurations=(_configuration(7),), era=2)
    state.apply_changes(change, NOW)
    assert state.configuration_version == 8


def test_version_that_the_restored_store_lacks_is_taken_from_an_older_snapshot() -> (
    None
):
    late = catalog.Catalog(DRAIN_S)
    _restored(late, version=5)
    late.apply_changes(catalog.Changes(25, era=2), NOW)
    state = _catalog_before_restore()
    _restored(state, version=5)
    assert not late.apply_snapshot(state.snapshot(), NOW)
    assert late.configuration_version == 8
    assert late.position == (2, 25)


def test_entry_that_the_copy_lacks_stays_usable_for_a_limited_time() -> None:
    state = _catalog_before_restore(_written("a", 50), _written("b", 10))
    _restored(state, _written("b", 10, era=2))
    assert sorted(_usable(state)) == ["a", "b"]
    state.apply_changes(catalog.Changes(21, era=2), NOW)
    assert not state.expire(NOW + 2.0)
    assert sorted(_usable(state, NOW + 2.0)) == ["a", "b"]
    assert state.expire(NOW + 2.3)
    assert _usable(state, NOW + 2.3) == ["b"]


def test_entry_that_stays_absent_after_a_restore_is_no_last_resort() -> None:
    """Guards against calls to an endpoint that left before the restore.

    An entry that is still missing after the time for its return is gone, and the
    endpoint got calls for another period as one that had just been removed.
    """
    state = _catalog_before_restore(_written("a", 50))
    _restored(state)
    state.on_store_unavailable(NOW + 1.0)
    assert _usable(state, NOW + 2.1) == ["a"]
    assert state.expire(NOW + 2.3)
    assert _usable(state, NOW + 2.3) == []
    assert not state.is_usable("a", NOW + 2.3)


def test_entry_that_is_written_again_after_a_restore_stays() -> None:
    state = _catalog_before_restore(_written("a", 50))
    _restored(state)
    again = _written("a", 21, era=2)
    state.apply_changes(catalog.Changes(21, instances=(again,), era=2), NOW)
    assert not state.expire(NOW + 10.0)
    assert state.instances_by_id == {"a": again}


def test_absent_entry_is_not_passed_on() -> None:
    """Guards against an entry that nodes pass on to each other without end."""
    state = _catalog_before_restore(_written("a", 50), evacuated=("b",))
    _restored(state)
    assert state.snapshot().instances == ()
    assert state.snapshot().evacuated == ()


def test_second_restore_starts_the_time_of_absent_entries_again() -> None:
    state = _catalog_before_restore(_written("a", 50))
    _restored(state)
    copy = published_state.PublishedState(10, None, (), era=3)
    assert state.apply_snapshot(copy, NOW + 2.0)
    assert not state.expire(NOW + 3.0)
    assert _usable(state, NOW + 3.0) == ["a"]


@pytest.mark.parametrize("is_removed", [False, True])
def test_endpoint_that_left_stays_leaving_until_it_is_written_again(
    *, is_removed: bool
) -> None:
    state = _catalog_before_restore(_written("a", 10), _written("b", 11))
    change = catalog.Changes(61, removed=("a",), era=1)
    if not is_removed:
        leaving = _written("a", 61, leaving=True)
        change = catalog.Changes(61, instances=(leaving,), era=1)
    state.apply_changes(change, NOW)
    copy = (_written("a", 10, era=2), _written("b", 11, era=2))
    _restored(state, *copy)
    assert _usable(state) == ["b"]
    # The store is read once more, for example because its history was lost.
    again = published_state.PublishedState(25, None, copy, era=2)
    assert state.apply_snapshot(again, NOW)
    assert _usable(state) == ["b"]
    _restored(state, *(dataclasses.replace(each, era=3) for each in copy), era=3)
    assert _usable(state) == ["b"]
    written = _written("a", 26, era=3)
    state.apply_changes(catalog.Changes(26, instances=(written,), era=3), NOW)
    assert sorted(_usable(state)) == ["a", "b"]


def test_endpoint_that_left_is_usable_again_if_its_entry_outlives_its_process() -> None:
    """Guards against a running endpoint that is never used again.

    Its entry had expired, and was written again before the restored copy was read.
    """
    state = _catalog_before_restore(_written("a", 10))
    state.apply_changes(catalog.Changes(61, removed=("a",), era=1), NOW)
    _restored(state, _written("a", 19, era=2))
    assert state.instances_by_id["a"].leaving
    assert not state.snapshot().instances[0].leaving
    later = NOW + restored_entries.WITHDRAWN_ENTRY_S
    assert state.expire(later)
    assert _usable(state, later) == ["a"]


def test_older_write_does_not_end_the_time_of_a_withdrawn_entry() -> None:
    """Guards against a running endpoint that is never used again.

    The pages of a read may be newer than its revision, so that changes before the entry
    of the copy follow.
    """
    state = _catalog_before_restore(_written("a", 10, leaving=True))
    _restored(state, _written("a", 22, era=2))
    older = catalog.Changes(21, instances=(_written("a", 21, era=2),), era=2)
    state.apply_changes(older, NOW)
    assert state.instances_by_id["a"].leaving
    later = NOW + restored_entries.WITHDRAWN_ENTRY_S
    assert state.expire(later)
    assert _usable(state, later) == ["a"]


def test_evacuation_that_the_copy_lacks_ends_after_a_limited_time() -> None:
    state = _catalog_before_restore(_written("a", 10), evacuated=("a",))
    state.apply_changes(catalog.Changes(61, era=1), NOW)
    _restored(state, _written("a", 10, era=2))
    assert not state._ready_by_service
    assert state.expire(NOW + 2.3)
    assert _usable(state, NOW + 2.3) == ["a"]


def test_evacuation_that_is_written_again_after_a_restore_stays() -> None:
    state = _catalog_before_restore(_written("a", 10), evacuated=("a",))
    _restored(state, _written("a", 10, era=2))
    state.apply_changes(catalog.Changes(21, evacuated=("a",), era=2), NOW)
    assert not state.expire(NOW + 2.3)
    assert state.snapshot().evacuated == ("a",)


def test_node_that_missed_a_restore_gets_a_snapshot() -> None:
    state = _catalog_before_restore()
    _restored(state)
    state.apply_changes(catalog.Changes(21, era=2), NOW)
    for revision in (15, 20, 60):
        assert state.changes_since(store_position.Position(1, revision)) is None
    assert state.changes_since(store_position.Position(2, 20)) is not None
    assert state.changes_since(store_position.Position(3, 5)) == catalog.Changes(
        21, era=2
    )


def test_store_that_states_no_era_is_ordered_by_revision() -> None:
    state = _catalog(_instance("a"))
    assert not state.apply_snapshot(published_state.PublishedState(4, None, ()), NOW)
    assert state.apply_snapshot(published_state.PublishedState(6, None, ()), NOW)
    assert "a" not in state.instances_by_id


def test_restore_is_logged_with_what_the_copy_lacks(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    state = _catalog_before_restore(
        _written("a", 50), _written("b", 51, leaving=True), evacuated=("z",)
    )
    _restored(state, _written("b", 12, era=2), version=5)
    (line,) = [each for each in caplog.records if "restored" in each.message]
    assert line.__dict__["fields"] == {
        "era": 2,
        "before": 1,
        "revision": 20,
        "version": 8,
        "copy_version": 5,
        "absent": ["a"],
        "absent_count": 1,
        "absent_evacuations": ["z"],
        "withdrawn": ["b"],
    }


def test_first_state_of_a_node_is_not_taken_for_a_restore(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    state = catalog.Catalog(DRAIN_S)
    _restored(state, _written("a", 10, era=2))
    assert not [each for each in caplog.records if "restored" in each.message]
    assert _usable(state) == ["a"]
