"""A mesh node: its parts, its start and its graceful stop."""

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
    subsetting,
    watch_rotation,
)
from snipelink.generated import mesh
from snipelink.mesh import (
    admission,
    attempts,
    callers,
    catalog,
    connection_monitor,
    deduplication,
    dispatch,
    endpoint,
    health,
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

# Callers are sent elsewhere after two questions for readiness, one a second.
MIN_SHUTDOWN_S = 2.5
# Callers leave by themselves in that time; meanwhile the endpoint goes on with calls of
# other nodes, up to this time after the start of the stop, seconds.
ENDPOINT_DRAIN_S = 1.2
# A node without requests for so long after that has been left, seconds.
CALLER_QUIET_S = 0.4
# Time before the end of the grace period at which the node stops anyway, seconds.
SHUTDOWN_MARGIN_S = 0.4
# Part of that margin for the answers to calls that are cut off, seconds; they are on
# the same machine or a few milliseconds away. The rest is for the end of the process.
SHUTDOWN_ANSWERS_S = 0.25
SHUTDOWN_CHECK_INTERVAL_S = 0.05
# Time after which a task that failed starts again, seconds.
TASK_RESTART_DELAY_S = 0.2
# Time between two looks at which nodes are followed and heard, seconds.
FOLLOW_INTERVAL_S = 0.2

Work = Callable[[], typing.Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class StatusPaths:
    """Paths of the status ports."""

    ready: str
    metrics: str


class Node:
    """Serves the callers of one machine and its endpoint.

    Parameters
    ----------
    own : Settings
        Identity and addresses.
    names : HeaderNames
        Names of the mesh's own headers.
    paths : StatusPaths
        Paths of the status ports.
    source : Store
        Reads the published state.
    """

    def __init__(
        self,
        own: settings.Settings,
        names: settings.HeaderNames,
        paths: StatusPaths,
        source: watcher.Store,
    ) -> None:
        now = clock.now()
        rng = random.Random()
        self._rhythm = slowness_period.PeriodEstimator()
        self._own = own
        # Tells the processes of one machine apart; never compared as a time.
        self._started_ms = int(time.time() * 1000)
        self._started_by_host: dict[str, int] = {}
        self._is_leaving = False
        # Monotonic time until which a leaving node takes calls for its endpoint.
        self._endpoint_until = now
        self._metrics = metrics.Metrics()
        self._catalog = catalog.Catalog(own.bounds.drain_s)
        self._loads = load_reports.LoadTable(self._rhythm)
        self.connection_monitor = connection_monitor.ConnectionMonitor()
        self._endpoint = endpoint.EndpointClient(
            own.endpoint_address, names, self.connection_monitor
        )
        # Polls have connections of their own: their answers name no call, so a second
        # one that comes late could be taken for that of a call.
        self._poll_client = endpoint.EndpointClient(
            own.endpoint_address, names, self.connection_monitor
        )
        self._exchange = load_reports.LoadExchange(
            own.host, own.load_port, self._loads, self._load, self._on_report, rng
        )
        self._containment = poison_requests.PoisonRequestGuard(
            f"{own.node}.{self._started_ms}", self._exchange, self._metrics, rng
        )
        self._runner = admission.EndpointRunner(
            self._endpoint,
            names,
            rng,
            now,
            self._on_calls_change,
            self._rhythm,
            self._containment,
        )
        self._peers = peers.PeerClient(own.peer_port, self.connection_monitor)
        self._peer_port = peers.PeerPort(
            deduplication.Deduplicator(self._runner, self._started_ms), self._catalog
        )
        self._interest = subsetting.EndpointSubset(own.host)
        self._followed: dict[str, bool] = {}
        self._rng = rng
        running = attempts.AttemptRunner(
            own,
            self._catalog,
            self._loads,
            self._runner,
            self._peers,
            self._metrics,
            rng,
        )
        self._dispatcher = dispatch.Dispatcher(
            own, names, self._catalog, running, self._containment, self._metrics, rng
        )
        self._callers = callers.CallerPort(
            self._dispatcher, names, self._limits, self._metrics
        )
        self._poller = health.Poller(
            self._poll_client,
            self._runner,
            self._catalog,
            own,
            names,
            self._on_look,
        )
        self._watcher = watcher.Watcher(
            source, self._catalog, self._on_catalog, rng, self._others
        )
        self._ready_port = status.StatusPort({paths.ready: self._ready})
        self._metrics_port = status.StatusPort({paths.metrics: self._exposition})
        self._add_gauges()

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent to this node."""
        return self._catalog.route_table is not None and not self._is_leaving

    @property
    def revision(self) -> int:
        """Revision of the published state that this node knows."""
        return self._catalog.revision

    async def run(self, stop: asyncio.Event) -> int:
        """Serve until `stop` is set, then finish what runs.

        Returns
        -------
        status : int
            0 if no call was cut off, else 1.
        """
        own = self._own
        await self._exchange.start((own.host, own.load_port))
        await self._peer_port.start(own.peer_listen)
        await self._callers.start(own.caller_listen)
        await self._ready_port.start(own.ready_listen)
        await self._start_metrics_port()
        sync_from_nodes = functools.partial(
            self._watcher.sync_from_nodes,
            self._newest,
            self._peers.fetch_published_state,
        )
        works_by_name: dict[str, Work] = {
            "watch the store": self._watcher.run,
            "ask other nodes": sync_from_nodes,
            "poll the endpoint": self._poller.run,
            "follow loads": self._follow,
        }
        tasks = [
            asyncio.ensure_future(_keep_running(name, work))
            for name, work in works_by_name.items()
        ]
        logger.info(
            "node has started",
            extra={"fields": {"node": own.node, "service": own.service}},
        )
        await stop.wait()
        cut = await self._leave()
        for task in tasks:
            task.cancel()
        logger.info("node has stopped", extra={"fields": {"calls_cut_off": cut}})
        return 1 if cut else 0

    async def _start_metrics_port(self) -> None:
        try:
            await self._metrics_port.start(self._own.metrics_listen)
        except OSError as error:
            # Calls are served all the same; operators miss the figures of this node.
            logger.warning(
                "metrics port is taken", extra={"fields": {"error": str(error)}}
            )

    def reload(self, new: settings.Settings) -> None:
        """Take over changed settings."""
        changed, ignored = self._own.update_from(new)
        self._endpoint.address = self._own.endpoint_address
        self._poll_client.address = self._own.endpoint_address
        self._rank_interest()
        self._update_cold_terms(clock.now())
        logger.info(
            "settings are reloaded",
            extra={"fields": {"changed": changed, "needs_restart": ignored}},
        )

    def accepting_by_instance(self) -> dict[str, bool]:
        """Return whether each endpoint that was reported takes calls."""
        return {
            name: fact.load.accepting
            for name, fact in self._loads.loads_by_instance.items()
        }

    def close(self) -> None:
        """Close all ports and connections at once."""
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
        self._exchange.close()

    async def _leave(self) -> int:
        """Stop gracefully; return the number of calls that were cut off."""
        started = clock.now()
        stops_at = started + self._own.bounds.grace_s - SHUTDOWN_MARGIN_S
        self._is_leaving = True
        self._dispatcher.stops_at = stops_at
        self._callers.is_leaving = True
        self._endpoint_until = started + ENDPOINT_DRAIN_S
        self._poller.wake_by(self._endpoint_until)
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
        cut = self._calls_in_flight()
        if cut:
            await self._answer_rest(stops_at + SHUTDOWN_ANSWERS_S)
        self.close()
        return cut

    async def _answer_rest(self, until: float) -> None:
        """Answer the calls that are cut off, until about a monotonic time."""
        self._dispatcher.stop()
        self._runner.refuse_waiting("the node is leaving")
        # Their refusals arrive before the others are cut off, and say that they have
        # not run.
        await asyncio.sleep(SHUTDOWN_CHECK_INTERVAL_S)
        self._dispatcher.abort_calls()
        while True:
            # After a stall, too, the answers get the time to be written.
            await asyncio.sleep(SHUTDOWN_CHECK_INTERVAL_S)
            busy = self._calls_in_flight() or self._callers.lingering_connections
            if not busy or clock.now() + SHUTDOWN_CHECK_INTERVAL_S > until:
                return

    def _calls_in_flight(self) -> int:
        return self._callers.requests_in_flight + self._peer_port.calls_in_flight

    async def _follow(self) -> None:
        """Keep up with the nodes whose load this node needs."""
        while True:
            now = clock.now()
            is_silent = functools.partial(self._exchange.is_silent, now=now)
            self._followed = self._interest.followed_hosts(is_silent)
            self._exchange.follow(self._followed, now)
            fallen, back = self._loads.update_silent_hosts(now)
            for host in fallen:
                logger.warning("node is silent", extra={"fields": {"host": host}})
            for host in back:
                logger.info("node is heard again", extra={"fields": {"host": host}})
            if back:
                self._containment.request_known_crashes()
            self._containment.run_due_work(now)
            self._loads.expire(self._followed, now)
            if self._is_source_away(now):
                self._catalog.on_store_unavailable(now)
            await asyncio.sleep(FOLLOW_INTERVAL_S)

    def _is_source_away(self, now: float) -> bool:
        """Whether this node or one that it hears cannot reach the store."""
        return self._watcher.is_store_unavailable(now) or any(
            fact.load.source_away and now - fact.received_at < placement.SILENT_NODE_S
            for fact in self._loads.loads_by_host.values()
        )

    def _others(self) -> watch_rotation.PeerView:
        now = clock.now()
        return watch_rotation.PeerView(
            published_count=len(self._catalog.instances_by_id),
            followed_count=len(self._followed),
            heard_count=sum(
                self._loads.has_recent_report(host, now) for host in self._followed
            ),
            store_refused=self._is_source_away(now),
        )

    def _on_look(self, now: float) -> float:
        """Publish what changed; return when to look again."""
        self._update_leaving(now)
        self._publish_load(now)
        next_at = min(
            self._exchange.next_report_at,
            self._runner.slots.slow_start.next_start_at(now),
        )
        if self._is_leaving and now < self._endpoint_until:
            return min(self._endpoint_until, next_at)
        return next_at

    def _update_leaving(self, now: float) -> None:
        state = self._runner.state
        usable = self._catalog.is_usable(state.instance, now)
        stopping = self._is_leaving and now >= self._endpoint_until
        state.is_leaving = stopping or not usable

    def _update_cold_terms(self, now: float) -> None:
        table, bounds = self._catalog.route_table, self._own.bounds
        per_s = 0.0
        if table is not None:
            known = table.configuration.cold_per_s_by_service
            per_s = known.get(self._own.service, 0.0)
        most = per_s * bounds.cold_over + bounds.cold_slack
        terms = (
            slow_start.ColdLimits(per_s, most) if per_s > 0.0 and most > 0.0 else None
        )
        self._runner.slots.slow_start.set_limits(terms, now)

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
        self._rank_interest()
        self._update_leaving(now)
        self._update_cold_terms(now)
        self._runner.admit(now)
        self._publish_load(now)

    def _rank_interest(self) -> None:
        instances = self._catalog.instances_by_id.values()
        self._interest.set_endpoints(instances, self._own.failure_domain)

    def _on_report(self, host: str, load: mesh.Load) -> None:
        if self._started_by_host.get(host) != load.started_ms:
            self._started_by_host[host] = load.started_ms
            self._peers.drop_idle_connections(host)
        if load.revision > self._catalog.revision:
            self._watcher.on_newer_revision()

    def _publish_load(self, now: float) -> None:
        self._exchange.publish(now)
        self._poller.wake_by(self._exchange.next_report_at)

    def _load(self, now: float) -> mesh.Load:
        state, slots = self._runner.state, self._runner.slots
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
        )

    def _newest(self) -> tuple[int, str]:
        """Return the highest revision that a node reports, and its host.

        Of several, one in this failure domain is taken if there is one.
        """
        facts = self._loads.loads_by_host.values()
        newest = max((fact.load.revision for fact in facts), default=0)
        hosts = [fact.host for fact in facts if fact.load.revision == newest]
        near = [host for host in hosts if self._followed.get(host)]
        return newest, self._rng.choice(near or hosts) if hosts else ""

    def _limits(self) -> published_state.CallerLimits:
        table = self._catalog.route_table
        return table.configuration.limits if table else published_state.CallerLimits()

    def _ready(self) -> http.Response:
        if self.is_ready:
            return http.Response(200, [], b"ready\n")
        return http.Response(503, [], b"not ready\n")

    def _exposition(self) -> http.Response:
        text = self._metrics.exposition()
        return http.Response(
            200, [("content-type", metrics.CONTENT_TYPE)], text.encode()
        )

    def _add_gauges(self) -> None:
        values = {
            "catalog_revision": lambda: self._catalog.revision,
            "configuration_version": lambda: self._catalog.configuration_version,
            "configuration_problems": lambda: self._catalog.configuration_problem_count,
            "calls_running": lambda: self._runner.slots.running_count,
            "calls_waiting": lambda: self._runner.slots.waiting_count,
            "calls_limit": lambda: self._runner.slots.limit,
            "endpoint_slowness": lambda: self._runner.slots.progress.slowness,
            "slowness_period_seconds": lambda: self._rhythm.period_s or 0.0,
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
                self._poller.polls + self._poll_client.polls_repeated
            ),
            "platform_reads": lambda: self._watcher.read_count,
            "platform_reads_failed": lambda: self._watcher.failed_read_count,
            "load_datagrams_sent": lambda: self._exchange.sent_datagrams,
            "nodes_followed": lambda: len(self._followed),
            "nodes_following": lambda: self._exchange.follower_count,
        }
        for name, read in values.items():
            self._metrics.gauge(f"snipelink_mesh_{name}", name.replace("_", " "), read)


async def _keep_running(name: str, work: Work) -> typing.NoReturn:
    """Run a task until cancelled; a fault of the program ends none of the others."""
    while True:
        try:
            await work()
        except asyncio.CancelledError:
            running = asyncio.current_task()
            if running is None or running.cancelling():
                raise
            # Not this task has been cancelled, but something that it waited for.
            logger.exception("task has failed", extra={"fields": {"task": name}})
        except Exception:
            logger.exception("task has failed", extra={"fields": {"task": name}})
        await asyncio.sleep(TASK_RESTART_DELAY_S)
