"""Routes and endpoints in force at this node; positions and versions only increase."""

from __future__ import annotations

import collections
import dataclasses
import enum
import logging
import math
from collections.abc import Collection

from snipelink.decide import restored_entries, store_position
from snipelink.mesh import published_state

logger = logging.getLogger(__name__)

# An endpoint that leaves or whose entry is removed stays usable as a last resort for
# this share of its drain time. The share is below 1 because calls that wait must still
# reach the endpoint while it serves. Endpoints without an entry are included because
# some leave without notice, and because entries that expired during an outage of the
# store are published again.
LAST_RESORT_RATIO = 0.6
# Log lines about unreadable parts of one configuration.
MAX_LOGGED_PROBLEMS = 20
# Identities of endpoints in one log line.
MAX_LOGGED_ENDPOINTS = 20
# Changes kept in memory for nodes that missed them, and the entries and identities in
# them. A node that is further behind gets a snapshot.
MAX_HISTORY_COUNT = 256
MAX_HISTORY_ENTRIES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of the published state up to `revision`.

    Attributes
    ----------
    configurations : tuple of Configuration
        New configurations, in the order of publication.
    instances : tuple of Instance
        Endpoints that were added or changed.
    removed : tuple of str
        Identities of endpoints whose entries were deleted or became unreadable.
    evacuated, restored : tuple of str
        Failure domains whose evacuation starts, and those whose evacuation ends.
    era : int
        Era of the platform's store in which the revision counts.
    """

    revision: int
    configurations: tuple[published_state.Configuration, ...] = ()
    instances: tuple[published_state.Instance, ...] = ()
    removed: tuple[str, ...] = ()
    evacuated: tuple[str, ...] = ()
    restored: tuple[str, ...] = ()
    era: int = 0

    @property
    def position(self) -> store_position.Position:
        """Position up to which the changes lead."""
        return store_position.Position(self.era, self.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class _Applied:
    """Changes that were applied, without their configurations.

    Attributes
    ----------
    before : int
        Revision that they were applied to.
    has_configuration : bool
        Whether they contained a configuration. Only the one in force is kept, since
        versions may come often and take megabytes each.
    """

    before: int
    changes: Changes
    has_configuration: bool

    @property
    def entry_count(self) -> int:
        """Number of entries and identities in the changes."""
        changes = self.changes
        domain_count = len(changes.evacuated) + len(changes.restored)
        return len(changes.instances) + len(changes.removed) + domain_count


class _Departure(enum.Enum):
    """Why an endpoint is no longer ready."""

    LEAVING = "leaving"
    REMOVED = "removed"
    EVACUATED = "evacuated"


class Catalog:
    """Routes and endpoints, merged from the platform's store and from other nodes.

    Parameters
    ----------
    drain_s : float
        Seconds for which an endpoint still serves after it announced its shutdown.

    Attributes
    ----------
    update_count : int
        Number of times that the state in force may have changed.
    """

    def __init__(self, drain_s: float) -> None:
        self._last_resort_s = drain_s * LAST_RESORT_RATIO
        self.update_count = 0
        self.era = 0
        self.revision = 0
        self.route_table: published_state.RouteTable | None = None
        self.instances_by_id: dict[str, published_state.Instance] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._ready_by_service: dict[str, list[published_state.Instance]] = {}
        # Highest number of slots that a ready endpoint publishes; infinite if an entry
        # does not state it.
        self._most_slots_by_service: dict[str, float] = {}
        self._last_resort_until_by_id: dict[
            str, tuple[published_state.Instance, float]
        ] = {}
        self._lapsed_entries_usable_until = 0.0
        self._removed_entries = restored_entries.RemovedEntries[
            published_state.Instance
        ]()
        # Entries and evacuations of a former era that the restored copy lacks, with the
        # time at which they end.
        self._absent_until_by_id: dict[str, float] = {}
        self._absent_until_by_domain: dict[str, float] = {}
        # Entries of the restored copy that are in force as leaving ones, as published.
        self._withdrawn_until_by_id: dict[
            str, tuple[published_state.Instance, float]
        ] = {}
        self._history: collections.deque[_Applied] = collections.deque()
        self._history_entry_count = 0

    @property
    def position(self) -> store_position.Position:
        """Position up to which this node knows the published state."""
        return store_position.Position(self.era, self.revision)

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 if there is none yet."""
        return self.route_table.configuration.version if self.route_table else 0

    @property
    def configuration_problem_count(self) -> int:
        """Parts of the configuration in force that cannot be read."""
        return len(self.route_table.configuration.problems) if self.route_table else 0

    @property
    def last_resort_count(self) -> int:
        """Number of endpoints that are used only if their service has no other."""
        return len(self._last_resort_until_by_id)

    def snapshot(self) -> published_state.PublishedState:
        """Return the whole state in force, to be sent to another node.

        What the store's present history does not contain is left out: passed on from
        node to node, it would not end.
        """
        configuration = self.route_table.configuration if self.route_table else None
        withdrawn = self._withdrawn_until_by_id
        instances = tuple(
            withdrawn[instance.id][0] if instance.id in withdrawn else instance
            for instance in self.instances_by_id.values()
            if instance.id not in self._absent_until_by_id
        )
        evacuated = self._evacuated.difference(self._absent_until_by_domain)
        return published_state.PublishedState(
            self.revision, configuration, instances, tuple(sorted(evacuated)), self.era
        )

    def changes_since(self, after: store_position.Position) -> Changes | None:
        """Return the changes after a position, merged into one.

        Returns None if the history in memory does not reach back to that position.
        """
        if after >= self.position:
            return Changes(self.revision, era=self.era)
        if after.era != self.era:
            return None
        revision = after.revision
        missed = [each for each in self._history if each.changes.revision > revision]
        if not missed or missed[0].before > revision:
            return None
        merged = _merge([each.changes for each in missed])
        if self.route_table and any(each.has_configuration for each in missed):
            newest = self.route_table.configuration
            merged = dataclasses.replace(merged, configurations=(newest,))
        return merged

    def apply_snapshot(
        self, published: published_state.PublishedState, now: float
    ) -> bool:
        """Replace the state by a snapshot; return False if the snapshot is older.

        Of an older snapshot of the same era, a higher version of the configuration is
        still taken: the store may lack it since it was restored.
        """
        self.update_count += 1
        if published.era >= self.era and published.configuration is not None:
            self._set_configuration(published.configuration)
        if published.position < self.position:
            return False
        if published.era > self.era and self.revision:
            published = self._reconcile(published, now)
        self._absent_until_by_domain = {
            domain: until
            for domain, until in self._absent_until_by_domain.items()
            if domain not in published.evacuated
        }
        evacuated = frozenset(published.evacuated).union(self._absent_until_by_domain)
        self._set_evacuated(evacuated, now)
        present = {instance.id: instance for instance in published.instances}
        for instance_id in [i for i in self.instances_by_id if i not in present]:
            if instance_id not in self._absent_until_by_id:
                self._remove(instance_id, now)
        for instance in present.values():
            self._set_instance(instance, now)
        self._index_ready_instances()
        self.era, self.revision = published.position
        self._history.clear()
        self._history_entry_count = 0
        return True

    def _reconcile(
        self, copy: published_state.PublishedState, now: float
    ) -> published_state.PublishedState:
        """Return the state in force after a restore of the platform's store."""
        found = restored_entries.reconcile(
            self.instances_by_id,
            self._removed_entries.recent_by_id(now),
            copy.instances,
        )
        absent_until = now + restored_entries.LAPSED_ENTRY_S
        self._absent_until_by_id = dict.fromkeys(found.absent_ids, absent_until)
        absent_domains = self._evacuated.difference(copy.evacuated)
        self._absent_until_by_domain = dict.fromkeys(absent_domains, absent_until)
        withdrawn_until = now + restored_entries.WITHDRAWN_ENTRY_S
        self._withdrawn_until_by_id = {
            entry.id: (entry, withdrawn_until)
            for entry in found.entries
            if entry.id in found.withdrawn_ids and not entry.leaving
        }
        fields = {
            "era": copy.era,
            "before": self.era,
            "revision": copy.revision,
            "version": self.configuration_version,
            "copy_version": copy.configuration.version if copy.configuration else 0,
            "absent": sorted(found.absent_ids)[:MAX_LOGGED_ENDPOINTS],
            "absent_count": len(found.absent_ids),
            "absent_evacuations": sorted(absent_domains),
            "withdrawn": sorted(self._withdrawn_until_by_id)[:MAX_LOGGED_ENDPOINTS],
        }
        logger.warning(
            "platform was restored from an older copy", extra={"fields": fields}
        )
        return dataclasses.replace(copy, instances=found.entries)

    def expire(self, now: float) -> bool:
        """End what was kept after a restore for a limited time; return whether any.

        Also forgets the last resorts whose time is over.
        """
        self._last_resort_until_by_id = {
            instance_id: (instance, until)
            for instance_id, (instance, until) in self._last_resort_until_by_id.items()
            if now < until
        }
        absent_ids = [
            i for i, until in self._absent_until_by_id.items() if now >= until
        ]
        for instance_id in absent_ids:
            # Its time for coming back has passed, so it gets no further one.
            self._remove(instance_id, now, may_return=False)
        domains = [
            d for d, until in self._absent_until_by_domain.items() if now >= until
        ]
        for domain in domains:
            del self._absent_until_by_domain[domain]
        self._set_evacuated(self._evacuated.difference(domains), now)
        withdrawn = [
            entry
            for entry, until in self._withdrawn_until_by_id.values()
            if now >= until
        ]
        for entry in withdrawn:
            del self._withdrawn_until_by_id[entry.id]
            self._set_instance(entry, now)
        has_expired = bool(absent_ids or domains or withdrawn)
        if has_expired:
            self.update_count += 1
            self._index_ready_instances()
        return has_expired

    def apply_changes(self, changes: Changes, now: float) -> None:
        """Apply changes; ignore them if they are older or of another era."""
        if changes.era != self.era or changes.revision <= self.revision:
            return
        self.update_count += 1
        for configuration in changes.configurations:
            self._set_configuration(configuration)
        for domain in (*changes.restored, *changes.evacuated):
            self._absent_until_by_domain.pop(domain, None)
        still_evacuated = self._evacuated.difference(changes.restored)
        self._set_evacuated(still_evacuated.union(changes.evacuated), now)
        for instance_id in changes.removed:
            self._remove(instance_id, now)
        for instance in changes.instances:
            self._set_instance(instance, now)
        if changes != Changes(changes.revision, era=changes.era):
            self._index_ready_instances()
        self._keep(changes)
        self.revision = changes.revision

    def _keep(self, changes: Changes) -> None:
        """Add changes to the history, and drop the oldest ones beyond its bounds."""
        without = dataclasses.replace(changes, configurations=())
        applied = _Applied(self.revision, without, bool(changes.configurations))
        self._history.append(applied)
        self._history_entry_count += applied.entry_count
        while (
            len(self._history) > MAX_HISTORY_COUNT
            or self._history_entry_count > MAX_HISTORY_ENTRIES
        ):
            self._history_entry_count -= self._history.popleft().entry_count

    def on_store_unavailable(self, now: float) -> None:
        """Record that the platform's store is unavailable, or was until now.

        Entries that are removed shortly after may have lapsed, and stay usable longer.
        """
        self._lapsed_entries_usable_until = now + restored_entries.LAPSED_ENTRY_S

    def usable_instances(
        self, service: str, now: float
    ) -> Collection[published_state.Instance]:
        """Return the endpoints of a service that may receive calls.

        If no endpoint is ready, returns the last resorts: endpoints that are leaving,
        were recently removed or whose failure domain was recently evacuated.
        """
        ready = self._ready_by_service.get(service)
        if ready:
            return ready
        last_resort = []
        for instance_id, (instance, until) in list(
            self._last_resort_until_by_id.items()
        ):
            if now >= until:
                del self._last_resort_until_by_id[instance_id]
            elif instance.service == service:
                last_resort.append(instance)
        return last_resort

    def has_few_slots(self, service: str, few_slots: int) -> bool:
        """Whether all ready endpoints of a service publish at most `few_slots` slots.

        Returns False if the service has no ready endpoint.
        """
        most = self._most_slots_by_service.get(service)
        return most is not None and most <= few_slots

    def is_usable(self, instance_id: str, now: float) -> bool:
        """Whether an endpoint may receive calls, also if only as a last resort."""
        instance = self.instances_by_id.get(instance_id)
        if instance is not None and self._is_ready(instance):
            return True
        _, until = self._last_resort_until_by_id.get(instance_id, (None, 0.0))
        return now < until

    def _index_ready_instances(self) -> None:
        """Index the ready endpoints by service, since each call looks them up."""
        self._ready_by_service = {}
        for instance in self.instances_by_id.values():
            if self._is_ready(instance):
                ready = self._ready_by_service.setdefault(instance.service, [])
                ready.append(instance)
        self._most_slots_by_service = {
            service: max(instance.slots or math.inf for instance in ready)
            for service, ready in self._ready_by_service.items()
        }

    def _is_ready(self, instance: published_state.Instance) -> bool:
        return not instance.leaving and instance.failure_domain not in self._evacuated

    def _set_evacuated(self, domains: frozenset[str], now: float) -> None:
        """Set the evacuated failure domains.

        Endpoints of newly evacuated domains become last resorts.
        """
        before = self._evacuated
        if domains == before:
            return
        for instance in self.instances_by_id.values():
            if instance.failure_domain in domains - before and not instance.leaving:
                self._keep_as_last_resort(instance, _Departure.EVACUATED, now)
        self._evacuated = domains
        fields = {"evacuated": sorted(domains), "before": sorted(before)}
        logger.info("evacuated domains have changed", extra={"fields": fields})

    def _set_configuration(self, configuration: published_state.Configuration) -> None:
        if configuration.version <= self.configuration_version:
            return
        logger.info(
            "configuration is in force",
            extra={
                "fields": {
                    "version": configuration.version,
                    "replaces": self.configuration_version,
                    "routes": len(configuration.routes),
                }
            },
        )
        for problem in configuration.problems[:MAX_LOGGED_PROBLEMS]:
            logger.warning(
                "part of the configuration is not readable",
                extra={
                    "fields": {"version": configuration.version, "problem": problem}
                },
            )
        self.route_table = published_state.RouteTable(configuration)

    def _set_instance(self, instance: published_state.Instance, now: float) -> None:
        self._absent_until_by_id.pop(instance.id, None)
        self._removed_entries.discard(instance.id)
        previous = self.instances_by_id.get(instance.id)
        if previous == instance:
            return
        if previous is not None and instance.is_older_than(previous):
            _log_instance("older entry is ignored", instance, leaving=instance.leaving)
            return
        withdrawn, _ = self._withdrawn_until_by_id.get(instance.id, (None, 0.0))
        if withdrawn is not None and instance.written_at == withdrawn.written_at:
            instance = dataclasses.replace(instance, leaving=True)
        elif withdrawn is not None:
            del self._withdrawn_until_by_id[instance.id]
        self.instances_by_id[instance.id] = instance
        if previous is not None and instance.has_same_content(previous):
            return
        _, until = self._last_resort_until_by_id.pop(instance.id, (None, 0.0))
        # An endpoint that is first read as leaving is no last resort: it may have been
        # leaving for any time, for example while this process was down.
        if previous is not None and not self._is_ready(instance):
            if self._is_ready(previous):
                self._keep_as_last_resort(instance, _Departure.LEAVING, now)
            elif until:
                # The time does not start again with another entry.
                self._last_resort_until_by_id[instance.id] = (instance, until)
        _log_instance("endpoint is published", instance, leaving=instance.leaving)

    def _remove(self, instance_id: str, now: float, *, may_return: bool = True) -> None:
        self._absent_until_by_id.pop(instance_id, None)
        self._withdrawn_until_by_id.pop(instance_id, None)
        instance = self.instances_by_id.pop(instance_id, None)
        if instance is None:
            return
        self._removed_entries.add(instance, now)
        # The time of an endpoint that was not ready has started before.
        if may_return and self._is_ready(instance):
            self._keep_as_last_resort(instance, _Departure.REMOVED, now)
        _log_instance(
            "endpoint is no longer published", instance, leaving=instance.leaving
        )

    def _keep_as_last_resort(
        self, instance: published_state.Instance, cause: _Departure, now: float
    ) -> None:
        until = now + self._last_resort_s
        if cause is _Departure.REMOVED:
            # The entry may have lapsed in an outage of the store, and come back.
            until = max(until, self._lapsed_entries_usable_until)
        self._last_resort_until_by_id[instance.id] = (instance, until)
        fields = {
            "instance": instance.id,
            "service": instance.service,
            "cause": cause.value,
            "usable_s": round(until - now, 3),
            "store_outage": until > now + self._last_resort_s,
        }
        logger.info("endpoint is a last resort", extra={"fields": fields})


def _merge(successive: list[Changes]) -> Changes:
    """Merge successive changes, whose configurations are left out, into one."""
    instances_by_id: dict[str, published_state.Instance] = {}
    removed: dict[str, None] = {}
    evacuated: dict[str, bool] = {}
    for changes in successive:
        evacuated |= dict.fromkeys(changes.restored, False)
        evacuated |= dict.fromkeys(changes.evacuated, True)
        for instance_id in changes.removed:
            instances_by_id.pop(instance_id, None)
            removed[instance_id] = None
        for instance in changes.instances:
            instances_by_id[instance.id] = instance
            removed.pop(instance.id, None)
    return Changes(
        successive[-1].revision,
        (),
        tuple(instances_by_id.values()),
        tuple(removed),
        tuple(domain for domain, is_evacuated in evacuated.items() if is_evacuated),
        tuple(domain for domain, is_evacuated in evacuated.items() if not is_evacuated),
        successive[-1].era,
    )


def _log_instance(
    message: str, instance: published_state.Instance, *, leaving: bool
) -> None:
    logger.info(
        message,
        extra={
            "fields": {
                "instance": instance.id,
                "service": instance.service,
                "host": instance.host,
                "leaving": leaving,
                "written_at": instance.revision,
                "era": instance.era,
                "born_ms": instance.born_ms,
            }
        },
    )
