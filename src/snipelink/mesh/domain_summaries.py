"""Exchanges summaries of the endpoints' loads between failure domains.

Endpoints with few slots are not followed from other failure domains. Some nodes of each
domain send the loads of all of them to the other domains, whose nodes pass them on
among themselves.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable, Mapping

import msgspec

from snipelink import clock
from snipelink.decide import (
    domain_summary,
    placement,
    reporting,
    store_position,
    summary_senders,
)
from snipelink.generated import mesh
from snipelink.mesh import catalog, load_reports, published_state, settings, watcher
from snipelink.observe import metrics

logger = logging.getLogger(__name__)

# First byte of a datagram with a part of a summary.
SUMMARY_KIND = b"S"
# Time between two iterations of the sender from which this process counts as paused.
PAUSE_S = placement.SILENT_NODE_S

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(mesh.DomainSummary)


@dataclasses.dataclass(frozen=True, slots=True)
class _Published:
    """Published state as far as summaries need it.

    Attributes
    ----------
    services : frozenset of str
        Services whose endpoints are told by summaries.
    hosts_by_domain : dict of str to list of str
        Machines of each failure domain.
    sender_orders_by_domain : dict of str to list of str
        Machines of the own domain in the order in which they send to another one.
    summarized_hosts_by_domain : dict of str to list of str
        Machines of each domain with an endpoint of one of the services.
    instances_by_domain : dict
        Endpoints of the services by domain and by the hash of their identity.
    """

    services: frozenset[str] = frozenset()
    hosts_by_domain: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    sender_orders_by_domain: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )
    summarized_hosts_by_domain: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )
    instances_by_domain: dict[str, dict[bytes, published_state.Instance]] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedState:
    """Published state that a sender of another domain knows, and when it was told."""

    state: watcher.ReportedState
    received_at: float


class DomainSummaries:
    """Sends the summaries of this domain, receives and passes on those of others.

    Parameters
    ----------
    node_settings : Settings
        Identity of this node.
    started_ms : int
        Start of this process, Unix milliseconds.
    service_catalog : Catalog
        Published endpoints.
    load_table : LoadTable
        Loads that are sent, and in which received ones are stored.
    exchange : LoadExchange
        Sends and receives the datagrams.
    on_reported_state : callable
        Called with the published state that a sender reports, and the present time.
    registry : Metrics
        Registry of the gauges.
    rng : random.Random
        Chooses the receivers.

    Attributes
    ----------
    receiving_domains : frozenset of str
        Domains to which this node sends.
    """

    def __init__(
        self,
        node_settings: settings.Settings,
        started_ms: int,
        service_catalog: catalog.Catalog,
        load_table: load_reports.LoadTable,
        exchange: load_reports.LoadExchange,
        on_reported_state: Callable[[watcher.ReportedState, float], None],
        registry: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = node_settings
        self._started_ms = started_ms
        self._catalog = service_catalog
        self._load_table = load_table
        self._exchange = exchange
        self._on_reported_state = on_reported_state
        self._rng = rng
        self._published = _Published()
        self._schedule = summary_senders.SendSchedule()
        self._received = summary_senders.ReceivedSummaries()
        self._sequence = 0
        self._checked_at: float | None = None
        self._resumes_at = 0.0
        self.receiving_domains: frozenset[str] = frozenset()
        self._silent_domains: frozenset[str] = frozenset()
        self._received_at_by_domain: dict[str, float] = {}
        self._reported_by_host: dict[str, _ReceivedState] = {}
        self._has_newer_revision = asyncio.Event()
        self.sent_datagrams = 0
        self.received_summaries = 0
        exchange.receivers_by_kind[SUMMARY_KIND] = self._on_datagram
        self._register_gauges(registry)

    @property
    def services(self) -> frozenset[str]:
        """Services whose endpoints in other domains are told by summaries."""
        return self._published.services

    @property
    def far_hosts(self) -> set[str]:
        """Machines of other domains whose endpoints are told by summaries."""
        return {
            host
            for domain, hosts in self._published.summarized_hosts_by_domain.items()
            if domain != self._settings.failure_domain
            for host in hosts
        }

    def on_catalog_change(self, now: float) -> None:
        """Index the published endpoints, and send a newer revision soon."""
        few_slots = self._settings.balancing.few_slots
        instances = list(self._catalog.instances_by_id.values())
        services = frozenset(
            service
            for service in {instance.service for instance in instances}
            if self._catalog.has_few_slots(service, few_slots)
        )
        self._published = _index(instances, services, self._settings.failure_domain)
        far_domains = self._published.sender_orders_by_domain.keys()
        for domain in [d for d in self._received_at_by_domain if d not in far_domains]:
            del self._received_at_by_domain[domain]
        for domain in far_domains:
            self._received_at_by_domain.setdefault(domain, now)
        published_hosts = {
            host for hosts in self._published.hosts_by_domain.values() for host in hosts
        }
        self._received.retain(published_hosts)
        for host in [h for h in self._reported_by_host if h not in published_hosts]:
            del self._reported_by_host[host]
        self._has_newer_revision.set()

    def update_senders(self, is_silent: Callable[[str], bool]) -> dict[str, bool]:
        """Update whether this node sends; return the near hosts that it must follow.

        Returns
        -------
        near_by_host : dict of str to bool
            Hosts of the own domain; the values are true.
        """
        published, own_host = self._published, self._settings.host
        receiving_domains = set()
        followed: set[str] = set()
        for domain, ordered in published.sender_orders_by_domain.items():
            observed = summary_senders.observed_senders(ordered, own_host, is_silent)
            followed.update(observed)
            if own_host in observed:
                receiving_domains.add(domain)
        if receiving_domains:
            own_domain = self._settings.failure_domain
            followed.update(published.summarized_hosts_by_domain.get(own_domain, ()))
        if receiving_domains != self.receiving_domains:
            self.receiving_domains = frozenset(receiving_domains)
            logger.info(
                "node sends summaries to other domains",
                extra={"fields": {"domains": sorted(receiving_domains)}},
            )
        return dict.fromkeys(sorted(followed - {own_host}), True)

    def log_silent_domains(self, now: float) -> None:
        """Log the domains whose summaries no longer arrive, or arrive again."""
        silent = frozenset(
            domain
            for domain, at in self._received_at_by_domain.items()
            if now - at > placement.SILENT_NODE_S
        )
        for domain in sorted(silent - self._silent_domains):
            logger.warning(
                "no summary of a domain arrives", extra={"fields": {"domain": domain}}
            )
        for domain in sorted(self._silent_domains - silent):
            logger.info(
                "summaries of a domain arrive again",
                extra={"fields": {"domain": domain}},
            )
        self._silent_domains = silent

    def random_far_hosts(self) -> frozenset[str]:
        """Return a few random machines of each other domain with summaries."""
        count = summary_senders.FAR_PEER_COUNT
        chosen: set[str] = set()
        for domain in self._published.sender_orders_by_domain:
            hosts = self._published.hosts_by_domain[domain]
            chosen.update(self._rng.sample(hosts, min(count, len(hosts))))
        return frozenset(chosen)

    def newest_state(
        self, known: store_position.Position, now: float
    ) -> watcher.ReportedState | None:
        """Return the newest state that a sender of another domain has reported.

        Among the senders that are not ahead of `known`, the highest version of the
        configuration in its era decides.

        Only summaries that arrived from their sender itself count: this node's domain
        then fetches the changes once or twice, not once for each of its nodes. Returns
        None if none has arrived recently.
        """
        recent = [
            each.state
            for each in self._reported_by_host.values()
            if now - each.received_at <= placement.SILENT_NODE_S
            and each.state.position.era >= known.era
        ]
        return max(recent, key=lambda each: each.order_from(known), default=None)

    async def run(self) -> None:
        """Send the summaries that are due until cancelled."""
        while True:
            now = clock.now()
            due_at = self.send_due(now)
            self._has_newer_revision.clear()
            try:
                async with asyncio.timeout(max(0.0, due_at - now)):
                    await self._has_newer_revision.wait()
            except TimeoutError:
                continue

    def send_due(self, now: float) -> float:
        """Send the summaries if they are due; return when the next ones are.

        None are sent for some time after a pause of this process: reports that waited
        in the socket meanwhile look recent.
        """
        if self._checked_at is not None and now - self._checked_at > PAUSE_S:
            self._resumes_at = now + placement.SILENT_NODE_S
        self._checked_at = now
        if now < self._resumes_at:
            return min(self._resumes_at, now + summary_senders.SUMMARY_INTERVAL_S)
        position = self._catalog.position
        if not self.receiving_domains:
            return now + summary_senders.SUMMARY_INTERVAL_S
        due_at = self._schedule.due_at(position)
        if now >= due_at:
            self._schedule.on_sent(position, now)
            self._send(now)
            due_at = self._schedule.due_at(position)
        return due_at

    def _send(self, now: float) -> None:
        self._sequence += 1
        hosts_by_domain = summary_senders.choose_receivers(
            self._published.hosts_by_domain,
            self.receiving_domains,
            self._load_table.silent_hosts,
            self._rng,
        )
        for part, entries in enumerate(
            domain_summary.encode_parts(self._own_entries(now))
        ):
            message = mesh.DomainSummary(
                self._settings.failure_domain,
                self._settings.host,
                self._started_ms,
                self._sequence,
                part,
                self._catalog.revision,
                self._catalog.configuration_version,
                entries,
                self._catalog.era,
            )
            payload = _encoder.encode(message)
            for host in hosts_by_domain.values():
                self._send_datagram(payload, host)

    def _own_entries(self, now: float) -> list[domain_summary.Entry]:
        """Return the loads of this domain's endpoints that are heard."""
        own_domain = self._settings.failure_domain
        instances = self._published.instances_by_domain.get(own_domain, {})
        entries = []
        for name, instance in instances.items():
            endpoint_load = self._load_table.loads_by_host.get(instance.host)
            if endpoint_load is None or endpoint_load.report.instance != instance.id:
                continue
            age_s = now - endpoint_load.received_at
            if age_s <= placement.SILENT_NODE_S:
                entries.append(_entry(name, endpoint_load.report, age_s))
        return entries

    def _send_datagram(self, payload: bytes, host: str) -> None:
        self.sent_datagrams += 1
        self._exchange.send_datagram(SUMMARY_KIND, payload, host)

    def _on_datagram(self, host: str, body: memoryview, now: float) -> None:
        summary = _decoder.decode(body)
        is_from_other_domain = summary.domain in self._published.sender_orders_by_domain
        if not is_from_other_domain or not self._received.accept(
            summary.host, summary.started_ms, summary.sequence, summary.part, now
        ):
            return
        try:
            entries = domain_summary.decode(summary.entries)
        except ValueError as error:
            raise msgspec.ValidationError(str(error)) from error
        self.received_summaries += 1
        self._received_at_by_domain[summary.domain] = now
        near_hosts = summary_senders.responsive_hosts(
            self._published.hosts_by_domain.get(self._settings.failure_domain, []),
            self._load_table.silent_hosts,
        )
        payload = bytes(body)
        for next_host in summary_senders.choose_next_hops(
            near_hosts, (host, self._settings.host), self._rng
        ):
            self._send_datagram(payload, next_host)
        self._apply(summary, entries, now)
        if host == summary.host:
            self._on_state(summary, now)

    def _apply(
        self,
        summary: mesh.DomainSummary,
        entries: list[domain_summary.Entry],
        now: float,
    ) -> None:
        instances = self._published.instances_by_domain.get(summary.domain, {})
        for entry in entries:
            instance = instances.get(entry.identity_hash)
            if instance is not None:
                self._load_table.update_from_summary(
                    _load(entry, instance), instance.host, now - entry.overdue_s, now
                )

    def _on_state(self, summary: mesh.DomainSummary, now: float) -> None:
        position = store_position.Position(summary.era, summary.revision)
        state = watcher.ReportedState(summary.host, position, summary.configuration)
        self._reported_by_host[summary.host] = _ReceivedState(state, now)
        self._on_reported_state(state, now)

    def _register_gauges(self, registry: metrics.Metrics) -> None:
        registry.gauge(
            "snipelink_mesh_summaries_sent",
            "datagrams with summaries of a failure domain, also those passed on",
            lambda: self.sent_datagrams,
        )
        registry.gauge(
            "snipelink_mesh_summaries_received",
            "new summaries of other failure domains",
            lambda: self.received_summaries,
        )
        registry.gauge(
            "snipelink_mesh_summary_age_seconds",
            "seconds since the last summary of each other failure domain",
            self._ages_s,
            ("domain",),
        )

    def _ages_s(self) -> Mapping[tuple[str, ...], float]:
        now = clock.now()
        return {(name,): now - at for name, at in self._received_at_by_domain.items()}


def _index(
    instances: list[published_state.Instance], services: frozenset[str], own_domain: str
) -> _Published:
    hosts_by_domain: dict[str, set[str]] = {}
    summarized_by_domain: dict[str, list[published_state.Instance]] = {}
    for instance in instances:
        if not instance.leaving:
            hosts_by_domain.setdefault(instance.failure_domain, set()).add(
                instance.host
            )
        if instance.service in services:
            summarized_by_domain.setdefault(instance.failure_domain, []).append(
                instance
            )
    if not services:
        return _Published()
    near_hosts = hosts_by_domain.get(own_domain, set())
    return _Published(
        services,
        {domain: sorted(hosts) for domain, hosts in hosts_by_domain.items()},
        {
            domain: summary_senders.sender_order(own_domain, domain, near_hosts)
            for domain in hosts_by_domain
            if domain != own_domain
        },
        {
            domain: sorted({instance.host for instance in each})
            for domain, each in summarized_by_domain.items()
        },
        {
            domain: _by_hash({instance.id: instance for instance in each})
            for domain, each in summarized_by_domain.items()
        },
    )


def _by_hash(
    instances_by_id: dict[str, published_state.Instance],
) -> dict[bytes, published_state.Instance]:
    names = domain_summary.hashes_to_instances(instances_by_id)
    return {name: instances_by_id[each] for name, each in names.items()}


def _entry(name: bytes, load: mesh.Load, age_s: float) -> domain_summary.Entry:
    return domain_summary.Entry(
        name,
        load.running,
        load.waiting,
        load.slots,
        load.slowness_percent,
        load.failing_percent,
        load.accepting,
        # A node repeats an unchanged report only after this interval.
        max(0.0, age_s - reporting.REPEAT_INTERVAL_S),
    )


def _load(entry: domain_summary.Entry, instance: published_state.Instance) -> mesh.Load:
    return mesh.Load(
        instance.id,
        load_reports.UNKNOWN_START_MS,
        0,
        entry.running,
        entry.waiting,
        entry.slots,
        entry.slowness_percent,
        entry.failing_percent,
        entry.accepting,
        0,
        0,
        False,
    )
