"""Runs a small deployment with callers and injects the faults of a seed."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import time
import typing

import platform_names

from bench import loopback
from bench.soak import callers, endpoints, history, links, nodes, plan, store
from snipelink.mesh import channel
from snipelink.session import http

DRAIN_S, ROUTE_APPLY_S, GRACE_S, TIMEOUT_S = 1.5, 2.0, 3.0, 1.0
SERVICES = ("front", "back")
ZONES = ("a", "b")
CALLERS_PER_NODE = 3
START_TIMEOUT_S = 15.0
# Time for the mesh to recover after the last fault, followed by the time in which calls
# must succeed.
RECOVERY_TIME_S = 4.0
RECOVERY_CHECK_S = 1.5
# Odd entries under the key of an endpoint: a missing field, values of a wrong type or
# out of range, and a start time that no later one exceeds.
ODD_ENTRY_CHANGES: tuple[dict[str, typing.Any], ...] = (
    {"seq": None},
    {"version": 7},
    {"slots": 10**4000},
    {"address": "10.0.0.9:99999"},
    {"born": 1 << 62},
)
UPLOAD_COUNT, UPLOAD_BYTES = 16, 12 << 20
VERSION_COUNT, ADDED_ROUTE_COUNT = 100, 4000
# Time for which the store is away before it returns from an older copy, and time until
# the changes that it has lost are written again.
RESTORE_OUTAGE_S, REWRITE_DELAY_S = 0.4, 0.8
# Time for which a withdrawn server still runs after its drain time.
SHUTDOWN_LINGER_S = 1.0
# Time for which a node is cut off from the store before the endpoints of a service
# leave; the node then counts as away.
CUT_BEFORE_DEPARTURES_S = 2.0


class Run:
    """Deployment, callers and faults of one seed.

    Parameters
    ----------
    fault_window_s : float
        Length in seconds of the period in which faults begin.
    directory : Path
        Directory for the settings and logs of the nodes.
    events : list of Event or None
        Faults and planned work; None to draw them from the seed.
    tree : Path
        Source tree of the nodes' program.
    """

    def __init__(
        self,
        seed: int,
        node_count: int,
        fault_window_s: float,
        directory: pathlib.Path,
        events: list[plan.Event] | None = None,
        tree: pathlib.Path = nodes.ROOT,
    ) -> None:
        self._rng = random.Random(f"run/{seed}")
        self._events = (
            plan.draw(seed, node_count, fault_window_s) if events is None else events
        )
        self._fault_window_s = fault_window_s
        self.history = history.History(DRAIN_S, ROUTE_APPLY_S, GRACE_S, TIMEOUT_S)
        self._store = store.Store()
        self._links_by_host: dict[str, links.Link] = {}
        self._paths = [("/view/", True), ("/claim/", False), ("/list/", True)]
        self._routes = [
            ("/view/", True, SERVICES[0]),
            ("/claim/", False, SERVICES[0]),
            ("/list/", True, SERVICES[1]),
        ]
        self.history.service_by_path = {
            prefix: service for prefix, _, service in self._routes
        }
        self._configuration_version = 1
        self._nodes = []
        self._endpoints = []
        for number in range(node_count):
            host, proxy_host = loopback.next_host(), loopback.next_host()
            service = SERVICES[number % len(SERVICES)]
            zone = ZONES[number // len(SERVICES) % len(ZONES)]
            self._nodes.append(
                nodes.Node(number, host, zone, service, directory, self.history, tree)
            )
            address = (host, nodes.ENDPOINT_PORT)
            self._endpoints.append(endpoints.Endpoint(address, service, self.history))
            links.Link(host, proxy_host, nodes.PEER_PORT, self._links_by_host)

    async def execute(self) -> history.History:
        """Execute the run and return its history."""
        tasks: list[asyncio.Task[None]] = []
        try:
            await self._start_deployment(tasks)
            await self._run_calls_and_faults(tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._store.close()
            for endpoint in self._endpoints:
                endpoint.stop()
            for link in self._links_by_host.values():
                link.close()
        return self.history

    async def _start_deployment(self, tasks: list[asyncio.Task[None]]) -> None:
        hosts = [node.host for node in self._nodes]
        await self._store.start([(host, nodes.STORE_PORT) for host in hosts])
        for link in self._links_by_host.values():
            await link.start()
        self._publish_routes()
        for number, endpoint in enumerate(self._endpoints):
            await endpoint.start()
            self._publish_server(number, "ready")
        tasks += [asyncio.ensure_future(node.run()) for node in self._nodes]
        async with asyncio.timeout(START_TIMEOUT_S):
            for node in self._nodes:
                await _wait_until_ready(node)
        # Wait until the nodes have exchanged load reports.
        await asyncio.sleep(1.0)

    async def _run_calls_and_faults(self, tasks: list[asyncio.Task[None]]) -> None:
        faults_start = time.monotonic()
        faults_end = faults_start + self._fault_window_s + plan.MAX_DURATION_S
        self.history.recovery_deadline = faults_end + RECOVERY_TIME_S
        self.history.ends_at = self.history.recovery_deadline + RECOVERY_CHECK_S
        caller_tasks = [
            asyncio.ensure_future(self._run_caller(number, index))
            for number in range(len(self._nodes))
            for index in range(CALLERS_PER_NODE)
        ]
        tasks += caller_tasks
        event_tasks = []
        for event in self._events:
            await asyncio.sleep(
                max(0.0, faults_start + event.start_s - time.monotonic())
            )
            event_tasks.append(asyncio.ensure_future(self._inject(event)))
        tasks += event_tasks
        await asyncio.gather(*event_tasks, *caller_tasks)

    async def _run_caller(self, number: int, index: int) -> None:
        rng = random.Random(self._rng.random())
        name = f"c{number}.{index}"
        caller = callers.Caller(
            name, number, self._nodes[number], self._paths, self.history, rng
        )
        await caller.run(self.history.ends_at)

    async def _inject(self, event: plan.Event) -> None:
        started_at = time.monotonic()
        planned = event.kind in plan.PLANNED_KINDS
        store_kinds = (*plan.STORE_KINDS, plan.RESTORE_KIND)
        affects_all_nodes = event.kind in store_kinds or planned
        node = None if affects_all_nodes else event.node
        interval = history.FaultInterval(
            node, event.kind, started_at, started_at, planned
        )
        index = len(self.history.fault_intervals)
        # If the injection raises an error, the fault counts as active until the end.
        open_interval = dataclasses.replace(interval, ended_at=self.history.ends_at)
        self.history.fault_intervals.append(open_interval)
        await self._actions_by_kind()[event.kind](event)
        closed_interval = dataclasses.replace(interval, ended_at=time.monotonic())
        self.history.fault_intervals[index] = closed_interval

    def _actions_by_kind(
        self,
    ) -> dict[str, typing.Callable[[plan.Event], typing.Awaitable[None]]]:
        actions = {
            "kill": self._kill_node,
            "freeze": self._freeze_node,
            "stop": self._stop_node,
            "reload": self._reload_node,
            "store-forgets": self._forget_history,
            plan.RESTORE_KIND: self._restore_store,
            "drain": self._drain_endpoint,
            "vanish": self._remove_endpoint_entry,
            "publish": self._publish_new_route,
            plan.SILENCE_OPEN_KIND: self._silence_open_connections,
            "odd-entries": self._replace_entry,
            "uploads": self._upload,
            "versions": self._publish_versions,
            plan.DEPARTURES_KIND: self._withdraw_service,
        }
        actions |= dict.fromkeys(plan.LINK_KINDS, self._inject_link_fault)
        actions |= dict.fromkeys(plan.STORE_KINDS[:3], self._inject_store_fault)
        endpoint_kinds = ("slow", "refuse", "break-off", "mute")
        for kind in (*endpoint_kinds, *plan.HOSTILE_ENDPOINT_KINDS):
            actions[kind] = self._inject_endpoint_fault
        return actions

    async def _kill_node(self, event: plan.Event) -> None:
        self._nodes[event.node].send_signal("KILL")
        await self._wait_until_restarted(event)

    async def _freeze_node(self, event: plan.Event) -> None:
        node = self._nodes[event.node]
        node.send_signal("STOP")
        await asyncio.sleep(event.duration_s)
        node.send_signal("CONT")

    async def _stop_node(self, event: plan.Event) -> None:
        self._nodes[event.node].send_signal("TERM")
        await asyncio.sleep(GRACE_S)
        await self._wait_until_restarted(event)

    async def _reload_node(self, event: plan.Event) -> None:
        node = self._nodes[event.node]
        node.rewrite_settings()
        node.send_signal("HUP")

    async def _wait_until_restarted(self, event: plan.Event) -> None:
        node = self._nodes[event.node]
        while node.is_stopping or not node.is_alive():
            await asyncio.sleep(nodes.EXIT_POLL_INTERVAL_S)
        async with asyncio.timeout(START_TIMEOUT_S):
            await _wait_until_ready(node)

    async def _inject_link_fault(self, event: plan.Event) -> None:
        link = self._links_by_host[self._nodes[event.node].host]
        link.active_fault = event.kind
        if event.kind == "reset":
            link.reset_connections()
        await asyncio.sleep(event.duration_s)
        link.active_fault = ""

    async def _silence_open_connections(self, event: plan.Event) -> None:
        self._links_by_host[self._nodes[event.node].host].silence_open_connections()

    async def _inject_store_fault(self, event: plan.Event) -> None:
        self._store.active_fault = event.kind
        await asyncio.sleep(event.duration_s)
        self._store.active_fault = ""

    async def _forget_history(self, event: plan.Event) -> None:
        self._store.forget_history()

    async def _restore_store(self, event: plan.Event) -> None:
        """Lose the changes of the last seconds, and write them again."""
        self._store.active_fault = "store-refuses"
        await asyncio.sleep(RESTORE_OUTAGE_S)
        self._store.restore(event.duration_s)
        self._store.active_fault = ""
        await asyncio.sleep(REWRITE_DELAY_S)
        self._store.write_lost_changes_again()

    async def _inject_endpoint_fault(self, event: plan.Event) -> None:
        endpoint = self._endpoints[event.node]
        endpoint.active_fault = event.kind
        await asyncio.sleep(event.duration_s)
        endpoint.active_fault = ""

    async def _drain_endpoint(self, event: plan.Event) -> None:
        self._record_withdrawal(
            event.node, self._publish_server(event.node, "draining")
        )
        await asyncio.sleep(DRAIN_S)
        key = self._server_key(event.node)
        await asyncio.sleep(SHUTDOWN_LINGER_S)
        self._store.put(key, None)
        await self._replace_endpoint(event.node)

    async def _remove_endpoint_entry(self, event: plan.Event) -> None:
        at = self._store.put(self._server_key(event.node), None)
        self._record_withdrawal(event.node, at)
        await asyncio.sleep(DRAIN_S + SHUTDOWN_LINGER_S)
        await self._replace_endpoint(event.node)

    async def _withdraw_service(self, event: plan.Event) -> None:
        """Withdraw the endpoints of the other service than that of a node cut off.

        They leave as by ``drain`` and ``vanish``, in turn.
        """
        node = self._nodes[event.node]
        self._store.cut_off(node.host)
        await asyncio.sleep(CUT_BEFORE_DEPARTURES_S)
        departing = [
            dataclasses.replace(event, node=number)
            for number, each in enumerate(self._nodes)
            if each.service != node.service
        ]
        await asyncio.gather(
            *(self._drain_endpoint(each) for each in departing[::2]),
            *(self._remove_endpoint_entry(each) for each in departing[1::2]),
        )
        self._store.reconnect(node.host)

    async def _replace_endpoint(self, number: int) -> None:
        self._endpoints[number].stop()
        await asyncio.sleep(nodes.RESTART_DELAY_S)
        await self._endpoints[number].start()
        self._publish_server(number, "ready")

    async def _publish_new_route(self, event: plan.Event) -> None:
        prefix = f"/new{self._configuration_version}/"
        self._routes.append((prefix, True, SERVICES[0]))
        self.history.service_by_path[prefix] = SERVICES[0]
        at = self._publish_routes()
        self.history.route_publications.append(history.RoutePublication(prefix, at))
        self._paths.append((prefix, True))

    async def _replace_entry(self, event: plan.Event) -> None:
        """Write odd entries in the place of an endpoint's own, which then writes it.

        The odd ones name another service, and are an entry but for one field.
        """
        other = SERVICES[1 - SERVICES.index(self._nodes[event.node].service)]
        key = self._server_key(event.node)
        for change in ODD_ENTRY_CHANGES:
            entry = self._server_entry(event.node, "ready") | {"service": other}
            self._store.put(key, entry | change)
            await asyncio.sleep(event.duration_s / len(ODD_ENTRY_CHANGES) / 2.0)
            self._publish_server(event.node, "ready")
            await asyncio.sleep(event.duration_s / len(ODD_ENTRY_CHANGES) / 2.0)

    async def _upload(self, event: plan.Event) -> None:
        """Send large bodies one after the other, each on a new connection."""
        address = (self._nodes[event.node].host, nodes.CALLER_PORT)
        body = bytes(UPLOAD_BYTES)
        for index in range(UPLOAD_COUNT):
            lines = [
                "POST /claim/upload HTTP/1.1",
                "host: soak.example",
                f"{platform_names.HEADER_NAMES.call_id}: upload-{event.node}-{index}",
                f"content-length: {len(body)}",
            ]
            # The node may be down, or refuse the upload while it is sent.
            with contextlib.suppress(OSError):
                stream = await channel.connect(address, START_TIMEOUT_S)
                try:
                    await stream.write_parts(http.encode_head(lines), body)
                    await stream.receive()
                finally:
                    stream.abort()

    async def _publish_versions(self, event: plan.Event) -> None:
        """Publish versions of a large configuration in quick succession."""
        for version in range(VERSION_COUNT):
            added = [
                (f"/large{version}-{index}/", True, SERVICES[0])
                for index in range(ADDED_ROUTE_COUNT)
            ]
            self._publish_routes(added)
            await asyncio.sleep(event.duration_s / VERSION_COUNT)
        self._publish_routes()

    def _publish_routes(
        self, added: list[tuple[str, bool, str]] | None = None
    ) -> float:
        document = store.configuration_document(
            self._configuration_version, self._routes + (added or []), TIMEOUT_S
        )
        self._configuration_version += 3
        return self._store.put(platform_names.CONFIGURATION_KEY, document)

    def _publish_server(self, number: int, state: str) -> float:
        entry = self._server_entry(number, state)
        return self._store.put(self._server_key(number), entry)

    def _server_entry(self, number: int, state: str) -> dict[str, typing.Any]:
        node = self._nodes[number]
        proxy_host = self._links_by_host[node.host].proxy_host
        address = f"{proxy_host}:{nodes.ENDPOINT_PORT}"
        born = int(time.time() * 1000)
        return store.server_entry(node.service, address, node.zone, state, born)

    def _server_key(self, number: int) -> str:
        return platform_names.SERVER_KEY_PREFIX + self._endpoints[number].instance

    def _record_withdrawal(self, number: int, at: float) -> None:
        instance = self._endpoints[number].instance
        self.history.withdrawals.append(history.Withdrawal(instance, at))


async def _wait_until_ready(node: nodes.Node) -> None:
    request = f"GET {platform_names.PATHS.ready} HTTP/1.1\r\nhost: x\r\n\r\n"
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(node.host, nodes.READY_PORT)
            writer.write(request.encode())
            line = await reader.readline()
            writer.close()
            if b" 200 " in line:
                return
        await asyncio.sleep(0.05)
