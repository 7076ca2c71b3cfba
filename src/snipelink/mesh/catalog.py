"""Published state in force at this node; it never goes back."""

from __future__ import annotations

import collections
import dataclasses
import logging
from collections.abc import Collection

from snipelink.mesh import published_state

logger = logging.getLogger(__name__)

# A leaving endpoint is used for this share of the time for which it serves, and only
# if there is no other: calls that wait must still reach it in that time. Some leave
# without notice, and entries that lapsed while the store was away come back.
LAST_RESORT_RATIO = 0.6
# The same after the store was away: entries are back within about two seconds.
LAPSED_ENTRY_S = 2.2
# Lines that one configuration adds to the log for what in it cannot be read.
MAX_LOGGED_PROBLEMS = 20
# Changes that are kept for nodes that ask for what they missed.
MAX_HISTORY_COUNT = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of the published state up to a revision.

    Attributes
    ----------
    configurations : tuple of Configuration
        New ones, in the order of publication.
    instances : tuple of Instance
        Added or changed endpoints.
    removed : tuple of str
        Identities of endpoints that are gone or no longer readable.
    evacuated, restored : tuple of str
        Failure domains that are to be evacuated, and those that are taken back.
    """

    revision: int
    configurations: tuple[published_state.Configuration, ...] = ()
    instances: tuple[published_state.Instance, ...] = ()
    removed: tuple[str, ...] = ()
    evacuated: tuple[str, ...] = ()
    restored: tuple[str, ...] = ()


class Catalog:
    """Routes and endpoints, merged from the platform and from other nodes.

    Parameters
    ----------
    drain_s : float
        Seconds for which a leaving endpoint still serves.
    """

    def __init__(self, drain_s: float) -> None:
        self._last_resort_s = drain_s * LAST_RESORT_RATIO
        self.revision = 0
        self.route_table: published_state.RouteTable | None = None
        self.instances_by_id: dict[str, published_state.Instance] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._ready_by_service: dict[str, list[published_state.Instance]] = {}
        self._last_resort_until_by_id: dict[
            str, tuple[published_state.Instance, float]
        ] = {}
        self._lapses_until = 0.0
        # What was applied, after which revision.
        self._kept: collections.deque[tuple[int, Changes]] = collections.deque(
            maxlen=MAX_HISTORY_COUNT
        )

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self.route_table.configuration.version if self.route_table else 0

    @property
    def configuration_problem_count(self) -> int:
        """Parts of the configuration in force that cannot be read."""
        return len(self.route_table.configuration.problems) if self.route_table else 0

    def snapshot(self) -> published_state.PublishedState:
        """Return all that is known, for another node."""
        configuration = self.route_table.configuration if self.route_table else None
        instances = tuple(self.instances_by_id.values())
        evacuated = tuple(sorted(self._evacuated))
        return published_state.PublishedState(
            self.revision, configuration, instances, evacuated
        )

    def changes_since(self, revision: int) -> Changes | None:
        """Return what changed after a revision; None if that is no longer known."""
        missed = [entry for entry in self._kept if entry[1].revision > revision]
        if revision >= self.revision:
            return Changes(self.revision)
        if not missed or missed[0][0] > revision:
            return None
        return _merge([changes for _, changes in missed])

    def apply_snapshot(
        self, published: published_state.PublishedState, now: float
    ) -> bool:
        """Take over a whole state; false if it is older than the known one."""
        if published.revision < self.revision:
            return False
        if published.configuration is not None:
            self._set_configuration(published.configuration)
        self._set_evacuated(frozenset(published.evacuated), now)
        present = {instance.id: instance for instance in published.instances}
        for name in [n for n in self.instances_by_id if n not in present]:
            self._remove(name, now)
        for instance in present.values():
            self._set_instance(instance, now)
        self._group()
        self.revision = published.revision
        self._kept.clear()
        return True

    def apply_changes(self, changes: Changes, now: float) -> None:
        """Take over changes; those up to the known revision have no effect."""
        if changes.revision <= self.revision:
            return
        for configuration in changes.configurations:
            self._set_configuration(configuration)
        left = self._evacuated.difference(changes.restored)
        self._set_evacuated(left.union(changes.evacuated), now)
        for name in changes.removed:
            self._remove(name, now)
        for instance in changes.instances:
            self._set_instance(instance, now)
        if changes != Changes(changes.revision):
            self._group()
        self._kept.append((self.revision, changes))
        self.revision = changes.revision

    def on_store_unavailable(self, now: float) -> None:
        """Note that the platform's store is away, or was until now."""
        self._lapses_until = now + LAPSED_ENTRY_S

    def usable_instances(
        self, service: str, now: float
    ) -> Collection[published_state.Instance]:
        """Return the endpoints of a service that may receive calls.

        Those that leave, were just removed or are in a failure domain that has just
        been evacuated are returned only if there is no other.
        """
        ready = self._ready_by_service.get(service)
        if ready:
            return ready
        last_resort = []
        for name, (instance, until) in list(self._last_resort_until_by_id.items()):
            if now >= until:
                del self._last_resort_until_by_id[name]
            elif instance.service == service:
                last_resort.append(instance)
        return last_resort

    def is_usable(self, instance: str, now: float) -> bool:
        """Whether an endpoint may still receive calls, as a last resort or not."""
        known = self.instances_by_id.get(instance)
        if known is not None and self._is_ready(known):
            return True
        _, until = self._last_resort_until_by_id.get(instance, (None, 0.0))
        return now < until

    def _group(self) -> None:
        """Group the endpoints that are ready, as each call looks at them."""
        self._ready_by_service = {}
        for instance in self.instances_by_id.values():
            if self._is_ready(instance):
                ready = self._ready_by_service.setdefault(instance.service, [])
                ready.append(instance)

    def _is_ready(self, instance: published_state.Instance) -> bool:
        return not instance.leaving and instance.failure_domain not in self._evacuated

    def _set_evacuated(self, domains: frozenset[str], now: float) -> None:
        """Take over which failure domains are to be evacuated."""
        before = self._evacuated
        if domains == before:
            return
        for instance in self.instances_by_id.values():
            if instance.failure_domain in domains - before and not instance.leaving:
                self._keep_as_last_resort(instance, now)
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
        known = self.instances_by_id.get(instance.id)
        if known == instance:
            return
        if known is not None and instance.born_ms < known.born_ms:
            _log("entry of a former process is ignored", instance, leaving=False)
            return
        self.instances_by_id[instance.id] = instance
        self._last_resort_until_by_id.pop(instance.id, None)
        if instance.leaving:
            self._keep_as_last_resort(instance, now)
        _log("endpoint is published", instance, leaving=instance.leaving)

    def _remove(self, name: str, now: float) -> None:
        instance = self.instances_by_id.pop(name, None)
        if instance is None:
            return
        if not instance.leaving:
            self._keep_as_last_resort(instance, now)
        _log("endpoint is no longer published", instance, leaving=instance.leaving)

    def _keep_as_last_resort(
        self, instance: published_state.Instance, now: float
    ) -> None:
        if instance.failure_domain in self._evacuated:
            # Its time runs since the evacuation, and not anew since it leaves.
            return
        until = max(now + self._last_resort_s, self._lapses_until)
        self._last_resort_until_by_id[instance.id] = (instance, until)


def _merge(series: list[Changes]) -> Changes:
    """Return successive changes as one."""
    instances_by_id: dict[str, published_state.Instance] = {}
    removed: dict[str, None] = {}
    evacuated: dict[str, bool] = {}
    for changes in series:
        evacuated |= dict.fromkeys(changes.restored, False)
        evacuated |= dict.fromkeys(changes.evacuated, True)
        for name in changes.removed:
            instances_by_id.pop(name, None)
            removed[name] = None
        for instance in changes.instances:
            instances_by_id[instance.id] = instance
            removed.pop(instance.id, None)
    return Changes(
        series[-1].revision,
        tuple(each for changes in series for each in changes.configurations),
        tuple(instances_by_id.values()),
        tuple(removed),
        tuple(domain for domain, is_evacuated in evacuated.items() if is_evacuated),
        tuple(domain for domain, is_evacuated in evacuated.items() if not is_evacuated),
    )


def _log(message: str, instance: published_state.Instance, *, leaving: bool) -> None:
    logger.info(
        message,
        extra={
            "fields": {
                "instance": instance.id,
                "service": instance.service,
                "host": instance.host,
                "leaving": leaving,
            }
        },
    )
