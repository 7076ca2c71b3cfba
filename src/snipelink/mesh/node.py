"""Builds a mesh node from its components, starts it and shuts it down gracefully."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import logging
import random
import time
import typing
from collections.abc import Callable

from snipelink import clock
from snipelink.decide import (
    placement,
    slow_start,
    slowness_period,
    store_outage,
    store_position,
    subsetting,
    watch_rotation,
)
from snipelink.generated import mesh
from snipelink.mesh import (
    admission,
    attempts,
    buffers,
    callers,
    catalog,
    connection_monitor,
    deduplication,
    dispatch,
    domain_summaries,
    endpoint,
    health,
    internal_calls,
    load_reports,
    peers,
    poison_requests,
    published_state,
    settings,
    status,
    watcher,
)
from snipelink.observe import metrics
from snipelink.session import http

logger = logging.getLogger(__name__)

# Minimum time for which a node that shuts down keeps serving callers. The platform
# probes readiness once a second and redirects callers after two failed probes.
MIN_SHUTDOWN_S = 2.5
# Time after the start of a shutdown for which the local endpoint still accepts calls of
# other nodes, so that callers can move to other nodes first.
ENDPOINT_DRAIN_S = 1.2
# After MIN_SHUTDOWN_S, all callers count as moved to other nodes once no request has
# arrived for this long.
CALLER_QUIET_S = 0.4
# The shutdown ends this long before the grace period does, even if calls still run.
SHUTDOWN_MARGIN_S = 0.4
# Part of SHUTDOWN_MARGIN_S for sending answers to the calls that are cut off. The
# recipients are on the same machine or a few milliseconds away. The rest of the margin
# is for the exit of the process.
SHUTDOWN_ANSWERS_S = 0.25
SHUTDOWN_CHECK_INTERVAL_S = 0.05
TASK_RESTART_DELAY_S = 0.2
# Time between two updates of the set of followed nodes and of the silent nodes.
FOLLOW_INTERVAL_S = 0.2
# Lateness of a timer that is logged: far above the time slices of a busy processor.
LOGGED_LOOP_DELAY_S = 0.5

TaskFunction = Callable[[], typing.Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class StatusPaths:
    """URL paths of the readiness and metrics ports."""

    ready: str
    metrics: str


class Node:
    """Forwards the calls of local callers and serves the endpoint on this machine.

    Parameters
    ----------
    node_settings : Settings
        Identity, addresses and limits of this node.
    header_names : HeaderNames
        Names of the HTTP headers that the mesh adds or reads.
    paths : StatusPaths
        URL paths of the readiness and metrics ports.
    store : Store
        Platform's store, from which the node reads the published state.
    """

    def __init__(
        self,
        node_settings: settings.Settings,
        header_names: settings.HeaderNames,
        paths: StatusPaths,
        store: watcher.Store,
    ) -> None:
        now = clock.now()
        rng = random.Random()
        self._period_estimator = slowness_period.PeriodEstimator()
        self._settings = node_settings
        # Identifies this process among successive processes on one machine; used only
        # for equality, never as a time.
        self._started_ms = int(time.time() * 1000)
        self._started_ms_by_host: dict[str, int] = {}
        self._is_leaving = False
        # Monotonic time until which a node that shuts down accepts calls for its
        # endpoint.
        self._endpoint_drain_ends_at = now
        self._metrics = metrics.Metrics()
        self._catalog = catalog.Catalog(node_settings.bounds.drain_s)
        self._loads = load_reports.LoadTable(self._period_estimator)
        self.connection_monitor = connection_monitor.ConnectionMonitor()
        self._buffers = buffers.Buffers.for_memory_limit(node_settings.memory_bytes)
        self._endpoint = endpoint.EndpointClient(
            node_settings.endpoint_address,
            header_names,
            self.connection_monitor,
            self._buffers.endpoint_answers,
        )
        # Health polls use a separate connection pool. Their answers carry no call
        # identity, so a late duplicate answer on a shared connection could be taken
        # for the answer to a call.
        self._poll_client = endpoint.EndpointClient(
            node_settings.endpoint_address,
            header_names,
            self.connection_monitor,
            self._buffers.health_answers,
            endpoint.HEALTH_LIMITS,
        )
        self._load_exchange = load_reports.LoadExchange(
            node_settings.host,
            node_settings.load_port,
            self._loads,
            self._current_load,
            self._on_report,
            rng,
        )
        self._poison_guard = poison_requests.PoisonRequestGuard(
            f"{node_settings.node}.{self._started_ms}",
            self._load_exchange,
            self._metrics,
            rng,
        )
        internal_call_tracker = internal_calls.InternalCalls(
            node_settings, self._catalog, self._metrics, now
        )
        self._runner = admission.EndpointRunner(
            self._endpoint,
            node_settings,
            self._catalog,
            header_names,
            rng,
            now,
            self._on_calls_change,
            self._period_estimator,
            self._poison_guard,
            internal_call_tracker,
        )
        self._peers = peers.PeerClient(
            node_settings.peer_port, self.connection_monitor, self._buffers.peer_replies
        )
        self._peer_port = peers.PeerPort(
            deduplication.Deduplicator(self._runner, self._started_ms),
            self._catalog,
            self._buffers.peer_calls,
        )
        self._endpoint_subset = subsetting.EndpointSubset(node_settings.host)
        self._followed_hosts: dict[str, bool] = {}
        self._loop_delay_s = 0.0
        self._rng = rng
        call_attempts = attempts.AttemptRunner(
            node_settings,
            self._catalog,
            self._loads,
            self._runner,
            self._peers,
            self._metrics,
            rng,
        )
        self._dispatcher = dispatch.Dispatcher(
            node_settings,
            header_names,
            self._catalog,
            call_attempts,
            self._poison_guard,
            internal_call_tracker,
            self._buffers,
            self._metrics,
            rng,
        )
        self._callers = callers.CallerPort(
            self._dispatcher,
            header_names,
            self._caller_limits,
            self._metrics,
            self._buffers.caller_requests,
        )
        self._poller = health.Poller(
            self._poll_client,
            self._runner,
            self._catalog,
            node_settings,
            header_names,
            self._on_check,
        )
        self._watcher = watcher.Watcher(
            store, self._catalog, self._on_catalog, rng, self._other_nodes
        )
        self._summaries = domain_summaries.DomainSummaries(
            node_settings,
            self._started_ms,
            self._catalog,
            self._loads,
            self._load_exchange,
            self._watcher.on_reported_state,
            self._metrics,
            rng,
        )
        self._ready_port = status.StatusPort({paths.ready: self._readiness_response})
        self._metrics_port = status.StatusPort({paths.metrics: self._metrics_response})
        self._register_gauges()

    @property
    def is_ready(self) -> bool:
        """Whether the platform may route callers to this node."""
        return self._catalog.route_table is not None and not self._is_leaving

    @property
    def position(self) -> store_position.Position:
        """Position of the published state that is in force at this node."""
        return self._catalog.position

    async def run(self, stop: asyncio.Event) -> int:
        """Serve until `stop` is set, then shut down gracefully.

        Returns
        -------
        status : int
            Exit status of the process: 0 if all calls were completed, 1 if some were
            cut off.
        """
        node_settings = self._settings
        await self._load_exchange.start((node_settings.host, node_settings.load_port))
        await self._peer_port.start(node_settings.peer_listen)
        await self._callers.start(node_settings.caller_listen)
        await self._ready_port.start(node_settings.ready_listen)
        await self._start_metrics_port()
        sync_from_nodes = functools.partial(
            self._watcher.sync_from_nodes,
            self._newest_state,
            self._peers.fetch_published_state,
        )
        task_functions_by_name: dict[str, TaskFunction] = {
            "watch the store": self._watcher.run,
            "ask other nodes": sync_from_nodes,
            "poll the endpoint": self._poller.run,
            "follow loads": self._follow_loads,
            "send summaries": self._summaries.run,
        }
        tasks = [
            asyncio.ensure_future(_run_forever(name, function))
            for name, function in task_functions_by_name.items()
        ]
        logger.info(
            "node has started",
            extra={
                "fields": {"node": node_settings.node, "service": node_settings.service}
            },
        )
        await stop.wait()
        cut_off_count = await self._shut_down()
        for task in tasks:
            task.cancel()
        logger.info(
            "node has stopped", extra={"fields": {"calls_cut_off": cut_off_count}}
        )
        return 1 if cut_off_count else 0

    async def _start_metrics_port(self) -> None:
        try:
            await self._metrics_port.start(self._settings.metrics_listen)
        except OSError as error:
            # The node serves calls without its metrics port; only its metrics are
            # unavailable to operators.
            logger.warning(
                "metrics port is taken", extra={"fields": {"error": str(error)}}
            )

    def reload(self, new: settings.Settings) -> None:
        """Apply the changed settings that need no restart."""
        changed, ignored = self._settings.update_from(new)
        self._endpoint.address = self._settings.endpoint_address
        self._poll_client.address = self._settings.endpoint_address
        self._update_endpoint_subset()
        self._update_cold_limits(clock.now())
        logger.info(
            "settings are reloaded",
            extra={"fields": {"changed": changed, "needs_restart": ignored}},
        )

    def accepting_by_instance(self) -> dict[str, bool]:
        """Return, for each endpoint with a load report, whether it accepts calls."""
        return {
            instance: endpoint_load.report.accepting
            for instance, endpoint_load in self._loads.loads_by_instance.items()
        }

    def close(self) -> None:
        """Close all ports and connections immediately."""
        for port in (
            self._callers,
            self._peer_port,
            self._ready_port,
            self._metrics_port,
        ):
            port.close()
        self._peers.close()
        self._endpoint.close()
        self._poll_client.close()
        self._load_exchange.close()

    async def _shut_down(self) -> int:
        """Drain and close the node; return the number of calls that were cut off.

        Keeps serving until callers have moved to other nodes and no call is in flight,
        or until shortly before the end of the grace period.
        """
        started = clock.now()
        stops_at = started + self._settings.bounds.grace_s - SHUTDOWN_MARGIN_S
        self._is_leaving = True
        self._dispatcher.stops_at = stops_at
        self._callers.is_leaving = True
        self._endpoint_drain_ends_at = started + ENDPOINT_DRAIN_S
        self._poller.wake_by(self._endpoint_drain_ends_at)
        self._runner.stops_at = stops_at
        logger.info(
            "node is leaving", extra={"fields": {"calls": self._calls_in_flight()}}
        )
        while True:
            await asyncio.sleep(SHUTDOWN_CHECK_INTERVAL_S)
            now = clock.now()
            if now >= stops_at:
                break
            quiet = now - self._callers.last_request_at >= CALLER_QUIET_S
            busy = self._calls_in_flight() or self._callers.lingering_connections
            if now - started >= MIN_SHUTDOWN_S and quiet and not busy:
                break
        cut_off_count = self._calls_in_flight()
        if cut_off_count:
            await self._answer_unfinished_calls(stops_at + SHUTDOWN_ANSWERS_S)
        self.close()
        return cut_off_count

    async def _answer_unfinished_calls(self, until: float) -> None:
        """Refuse waiting calls and cut off running ones, with an answer to each caller.

        Returns when all answers are written, or at about the monotonic time `until`.
        """
        self._dispatcher.stop()
        self._runner.refuse_waiting("the node is leaving")
        # The refusals of waiting calls, which say that the call has not run, must
        # arrive before the running calls are cut off.
        await asyncio.sleep(SHUTDOWN_CHECK_INTERVAL_S)
        self._dispatcher.abort_calls()
        while True:
            # Sleeping before the time check gives the answers one interval to be
            # written even if the process stalled until after the deadline.
            await asyncio.sleep(SHUTDOWN_CHECK_INTERVAL_S)
            busy = self._calls_in_flight() or self._callers.lingering_connections
            if not busy or clock.now() + SHUTDOWN_CHECK_INTERVAL_S > until:
                return

    def _calls_in_flight(self) -> int:
        return self._callers.requests_in_flight + self._peer_port.calls_in_flight

    async def _follow_loads(self) -> None:
        """Update followed nodes, silent nodes and crash reports until cancelled."""
        while True:
            now = clock.now()
            is_silent = functools.partial(self._load_exchange.is_silent, now=now)
            self._followed_hosts = self._endpoint_subset.followed_hosts(is_silent)
            self._followed_hosts |= self._summaries.update_senders(is_silent)
            self._load_exchange.far_peer_hosts = self._summaries.random_far_hosts()
            self._load_exchange.follow(self._followed_hosts, now)
            self._summaries.log_silent_domains(now)
            newly_silent, recovered = self._loads.update_silent_hosts(now)
            for host in newly_silent:
                logger.warning("node is silent", extra={"fields": {"host": host}})
            for host in recovered:
                logger.info("node is heard again", extra={"fields": {"host": host}})
            if recovered:
                self._poison_guard.request_known_crashes()
            self._poison_guard.run_due_work(now)
            self._loads.expire(self._observed_hosts(), now)
            self._update_peer_samples(now)
            self._watcher.follow_outage(now)
            if self._catalog.expire(now):
                self._on_catalog()
            self._watcher.log_lag(now)
            await asyncio.sleep(FOLLOW_INTERVAL_S)
            self._update_loop_delay(clock.now() - now - FOLLOW_INTERVAL_S)

    def _update_loop_delay(self, delay_s: float) -> None:
        """Record how late the event loop ran a timer, and log a long delay."""
        self._loop_delay_s = max(0.0, delay_s)
        if delay_s > LOGGED_LOOP_DELAY_S:
            fields = {"delay_s": round(delay_s, 3)}
            logger.warning("event loop is late", extra={"fields": fields})

    def _store_contacts(self, now: float) -> tuple[store_outage.Contact, ...]:
        """Return the contacts with the store that other nodes report."""
        return tuple(
            load_reports.store_contact(endpoint_load)
            for host, endpoint_load in self._loads.loads_by_host.items()
            if host != self._settings.host
            and now - endpoint_load.received_at < placement.SILENT_NODE_S
        )

    def _observed_hosts(self) -> set[str]:
        """Return the followed hosts and those whose load summaries tell."""
        return self._followed_hosts.keys() | self._summaries.far_hosts

    def _other_nodes(self) -> watch_rotation.PeerView:
        now = clock.now()
        observed = self._observed_hosts()
        contacts = self._store_contacts(now)
        is_any_away = any(contact.is_away for contact in contacts)
        return watch_rotation.PeerView(
            published_count=len(self._catalog.instances_by_id),
            followed_count=len(observed),
            reporting_count=sum(
                self._loads.has_recent_report(host, now) for host in observed
            ),
            store_refused=is_any_away or self._watcher.is_store_unavailable(now),
            store_contacts=contacts,
        )

    def _on_check(self, now: float) -> float:
        """Update and publish the endpoint's state; return the time of the next check.

        The poller calls this method after each poll and between polls.
        """
        self._update_leaving(now)
        self._publish_load(now)
        next_at = min(
            self._load_exchange.next_report_at,
            self._runner.slots.slow_start.next_start_at(now),
        )
        if self._is_leaving and now < self._endpoint_drain_ends_at:
            return min(self._endpoint_drain_ends_at, next_at)
        return next_at

    def _update_leaving(self, now: float) -> None:
        state = self._runner.state
        usable = self._catalog.is_usable(state.instance, now)
        stopping = self._is_leaving and now >= self._endpoint_drain_ends_at
        state.is_leaving = stopping or not usable

    def _update_cold_limits(self, now: float) -> None:
        table, bounds = self._catalog.route_table, self._settings.bounds
        per_s = 0.0
        if table is not None:
            rates_by_service = table.configuration.cold_per_s_by_service
            per_s = rates_by_service.get(self._settings.service, 0.0)
        max_per_s = per_s * bounds.cold_over + bounds.cold_slack
        limits = (
            slow_start.ColdLimits(per_s, max_per_s)
            if per_s > 0.0 and max_per_s > 0.0
            else None
        )
        self._runner.slots.slow_start.set_limits(limits, now)

    def _on_calls_change(self, now: float) -> None:
        self._publish_load(now)
        if self._runner.slots.slow_start.poll_due_at(now) <= now:
            self._poller.wake_by(now)
        if self._runner.slots.waiting_count:
            self._poller.wake_by(now + health.WAITING_CALLS_CHECK_S)
        if self._runner.crash_check_at is not None:
            self._poller.wake_by(self._runner.crash_check_at)

    def _on_catalog(self) -> None:
        now = clock.now()
        self._dispatcher.on_catalog_change(now)
        self._update_endpoint_subset()
        self._update_leaving(now)
        self._update_cold_limits(now)
        self._runner.slots.floor.is_enabled = self._catalog.has_few_slots(
            self._settings.service, self._settings.balancing.admission_slots
        )
        self._runner.admit(now)
        self._publish_load(now)

    def _update_endpoint_subset(self) -> None:
        self._summaries.on_catalog_change(clock.now())
        self._endpoint_subset.set_endpoints(
            self._catalog.instances_by_id.values(),
            self._settings.failure_domain,
            self._summaries.services,
        )

    def _on_report(self, host: str, load: mesh.Load) -> None:
        if self._started_ms_by_host.get(host) != load.started_ms:
            self._started_ms_by_host[host] = load.started_ms
            self._peers.drop_idle_connections(host)
        reported = watcher.ReportedState(
            host, load_reports.position(load), load.configuration
        )
        self._watcher.on_reported_state(reported, clock.now())

    def _publish_load(self, now: float) -> None:
        self._load_exchange.publish(now)
        self._poller.wake_by(self._load_exchange.next_report_at)

    def _current_load(self, now: float) -> mesh.Load:
        state, slots = self._runner.state, self._runner.slots
        answer_age_s = self._watcher.answer_age_s(now)
        running, capacity = slots.reported_load(now)
        return mesh.Load(
            state.instance,
            self._started_ms,
            0,
            running,
            slots.waiting_count,
            capacity,
            int(slots.progress.slowness * 100),
            int(self._runner.failure_share(now) * 100),
            state.is_accepting,
            self._catalog.revision,
            self._catalog.configuration_version,
            self._watcher.is_store_unavailable(now),
            slots.capacity,
            load_reports.encode_level_samples(slots.level_samples(now)),
            self._catalog.era,
            -1 if answer_age_s is None else int(answer_age_s * 1000),
        )

    def _update_peer_samples(self, now: float) -> None:
        """Pass on the concurrency levels that other nodes of the service measured."""
        slots, service = self._runner.slots, self._settings.service
        own_instance = self._runner.state.instance
        samples_by_peer = []
        for instance in self._catalog.usable_instances(service, now):
            endpoint_load = self._loads.loads_by_instance.get(instance.id)
            if endpoint_load is None or instance.id == own_instance:
                continue
            if endpoint_load.report.capacity == slots.capacity:
                samples_by_peer.append(
                    load_reports.decode_level_samples(endpoint_load.report)
                )
        slots.set_peer_samples(samples_by_peer, now)

    def _newest_state(self) -> watcher.ReportedState:
        """Return the newest reported state and a host that reports it.

        Hosts in this failure domain are preferred; ties are broken at random.
        """
        near = {host for host, is_near in self._followed_hosts.items() if is_near}
        now = clock.now()
        known = self._catalog.position
        position, version, hosts = self._loads.newest_state(known, near, now)
        far = self._summaries.newest_state(known, now)
        if far and far.order_from(known) > (position, version):
            return far
        host = self._rng.choice(hosts) if hosts else ""
        return watcher.ReportedState(host, position, version)

    def _caller_limits(self) -> published_state.CallerLimits:
        table = self._catalog.route_table
        return table.configuration.limits if table else published_state.CallerLimits()

    def _readiness_response(self) -> http.Response:
        if self.is_ready:
            return http.Response(200, [], b"ready\n")
        return http.Response(503, [], b"not ready\n")

    def _metrics_response(self) -> http.Response:
        text = self._metrics.exposition()
        return http.Response(
            200, [("content-type", metrics.CONTENT_TYPE)], text.encode()
        )

    def _register_gauges(self) -> None:
        values = {
            "catalog_revision": lambda: self._catalog.revision,
            "store_out": lambda: float(self._watcher.is_store_out(clock.now())),
            "store_era": lambda: self._catalog.era,
            "configuration_version": lambda: self._catalog.configuration_version,
            "last_resorts": lambda: self._catalog.last_resort_count,
            "configuration_problems": lambda: self._catalog.configuration_problem_count,
            "calls_running": lambda: self._runner.slots.running_count,
            "calls_waiting": lambda: self._runner.slots.waiting_count,
            "calls_limit": lambda: self._runner.slots.limit,
            "endpoint_slowness": lambda: self._runner.slots.progress.slowness,
            "slowness_period_seconds": lambda: self._period_estimator.period_s or 0.0,
            "endpoint_connections_opened": lambda: self._endpoint.connections_opened,
            "unexpected_answers": lambda: (
                self._endpoint.unexpected_answers + self._poll_client.unexpected_answers
            ),
            "calls_sent_again": lambda: self._peers.calls_sent_again,
            "silent_endpoint_connections": lambda: (
                self.connection_monitor.silent_count_by_role[
                    connection_monitor.Role.ENDPOINT
                ]
            ),
            "silent_node_connections": lambda: (
                self.connection_monitor.silent_count_by_role[
                    connection_monitor.Role.NODE
                ]
            ),
            "endpoint_polls": lambda: (
                self._poller.poll_count + self._poll_client.polls_repeated
            ),
            "platform_reads": lambda: self._watcher.read_count,
            "platform_reads_failed": lambda: self._watcher.failed_read_count,
            "load_datagrams_sent": lambda: self._load_exchange.sent_datagrams,
            "behind_seconds": lambda: self._watcher.behind_s(clock.now()),
            "event_loop_delay_seconds": lambda: self._loop_delay_s,
            "nodes_followed": lambda: len(self._followed_hosts),
            "nodes_following": lambda: self._load_exchange.follower_count,
        }
        self._buffers.register_gauges(self._metrics)
        for name, read in values.items():
            self._metrics.gauge(f"snipelink_mesh_{name}", name.replace("_", " "), read)


async def _run_forever(name: str, function: TaskFunction) -> typing.NoReturn:
    """Run a background task until cancelled, restarting it after any exception.

    A programming error in one task must not end the node or its other tasks.
    """
    while True:
        try:
            await function()
        except asyncio.CancelledError:
            running = asyncio.current_task()
            if running is None or running.cancelling():
                raise
            # The cancellation came from an awaited object; this task itself was not
            # cancelled and must go on.
            logger.exception("task has failed", extra={"fields": {"task": name}})
        except Exception:
            logger.exception("task has failed", extra={"fields": {"task": name}})
        await asyncio.sleep(TASK_RESTART_DELAY_S)
