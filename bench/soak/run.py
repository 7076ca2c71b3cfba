"""One run: a small deployment, its callers, and the faults of a seed."""

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

DRAIN_S, APPLY_S, GRACE_S, TIMEOUT_S = 2.0, 2.0, 3.0, 1.0
SERVICES = ("front", "back")
ZONES = ("a", "b")
CALLERS_PER_NODE = 3
START_TIMEOUT_S = 15.0
# Time in which the last fault's effects end, before calls must succeed, and how long
# they are then watched, seconds.
SETTLE_S = 4.0
WATCHED_S = 1.5
# Time for which a server goes on after it has been withdrawn and its drain time.
LINGER_S = 1.0


class Run:
    """One run.

    Parameters
    ----------
    folder : Path
        Receives settings and logs of the nodes.
    """

    def __init__(
        self, seed: int, count: int, seconds: float, folder: pathlib.Path
    ) -> None:
        self._rng = random.Random(f"run/{seed}")
        self._events = plan.draw(seed, count, seconds)
        self._seconds = seconds
        self.seen = history.History(DRAIN_S, APPLY_S, GRACE_S, TIMEOUT_S)
        self._store = store.Store()
        self._links_by_host: dict[str, links.Link] = {}
        self._paths = [("/view/", True), ("/claim/", False), ("/list/", True)]
        self._routes = [
            ("/view/", True, SERVICES[0]),
            ("/claim/", False, SERVICES[0]),
            ("/list/", True, SERVICES[1]),
        ]
        self._version = 1
        self._nodes = []
        self._endpoints = []
        for number in range(count):
            host, proxy_host = loopback.next_host(), loopback.next_host()
            service = SERVICES[number % len(SERVICES)]
            zone = ZONES[number // len(SERVICES) % len(ZONES)]
            self._nodes.append(
                nodes.Node(number, host, zone, service, folder, self.seen)
            )
            address = (host, nodes.ENDPOINT_PORT)
            self._endpoints.append(endpoints.Endpoint(address, self.seen))
            links.Link(host, proxy_host, nodes.PEER_PORT, self._links_by_host)

    async def play(self) -> history.History:
        """Play the run and return what was seen."""
        tasks: list[asyncio.Task[None]] = []
        try:
            await self._start(tasks)
            await self._play(tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._store.close()
            for endpoint in self._endpoints:
                endpoint.stop()
            for link in self._links_by_host.values():
                link.close()
        return self.seen

    async def _start(self, tasks: list[asyncio.Task[None]]) -> None:
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
        # The nodes hear of each other's load.
        await asyncio.sleep(1.0)

    async def _play(self, tasks: list[asyncio.Task[None]]) -> None:
        started = time.monotonic()
        faults_end = started + self._seconds + plan.MAX_LENGTH_S
        self.seen.calm_from = faults_end + SETTLE_S
        self.seen.ends_at = self.seen.calm_from + WATCHED_S
        calling = [
            asyncio.ensure_future(self._caller(number, index))
            for number in range(len(self._nodes))
            for index in range(CALLERS_PER_NODE)
        ]
        tasks += calling
        acting = []
        for event in self._events:
            await asyncio.sleep(max(0.0, started + event.at - time.monotonic()))
            acting.append(asyncio.ensure_future(self._act(event)))
        tasks += acting
        await asyncio.gather(*acting, *calling)

    async def _caller(self, number: int, index: int) -> None:
        rng = random.Random(self._rng.random())
        name = f"c{number}.{index}"
        caller = callers.Caller(
            name, number, self._nodes[number], self._paths, self.seen, rng
        )
        await caller.run(self.seen.ends_at)

    async def _act(self, event: plan.Event) -> None:
        first_at = time.monotonic()
        planned = event.kind in plan.PLANNED
        everywhere = event.kind in plan.STORE_KINDS or planned
        node = None if everywhere else event.node
        fault = history.Disturbed(node, event.kind, first_at, first_at, planned)
        index = len(self.seen.disturbed)
        # A fault whose action fails lasts to the end.
        lasting = dataclasses.replace(fault, last_at=self.seen.ends_at)
        self.seen.disturbed.append(lasting)
        await self._actions()[event.kind](event)
        ended = dataclasses.replace(fault, last_at=time.monotonic())
        self.seen.disturbed[index] = ended

    def _actions(
        self,
    ) -> dict[str, typing.Callable[[plan.Event], typing.Awaitable[None]]]:
        actions = {
            "kill": self._kill,
            "freeze": self._freeze,
            "stop": self._stop,
            "reload": self._reload,
            "store-forgets": self._forget,
            "drain": self._drain,
            "vanish": self._vanish,
            "publish": self._publish,
            plan.SILENCE_KIND: self._silence_open,
        }
        actions |= dict.fromkeys(plan.LINK_KINDS, self._disturb_link)
        actions |= dict.fromkeys(plan.STORE_KINDS[:3], self._disturb_store)
        for kind in ("slow", "refuse", "break-off", "mute"):
            actions[kind] = self._disturb_endpoint
        return actions

    async def _kill(self, event: plan.Event) -> None:
        self._nodes[event.node].send("KILL")
        await self._until_ready(event)

    async def _freeze(self, event: plan.Event) -> None:
        node = self._nodes[event.node]
        node.send("STOP")
        await asyncio.sleep(event.for_s)
        node.send("CONT")

    async def _stop(self, event: plan.Event) -> None:
        self._nodes[event.node].send("TERM")
        await asyncio.sleep(GRACE_S)
        await self._until_ready(event)

    async def _reload(self, event: plan.Event) -> None:
        node = self._nodes[event.node]
        node.touch_settings()
        node.send("HUP")

    async def _until_ready(self, event: plan.Event) -> None:
        node = self._nodes[event.node]
        while node.is_stopping or not node.is_alive():
            await asyncio.sleep(nodes.LOOK_S)
        async with asyncio.timeout(START_TIMEOUT_S):
            await _wait_until_ready(node)

    async def _disturb_link(self, event: plan.Event) -> None:
        link = self._links_by_host[self._nodes[event.node].host]
        link.active_fault = event.kind
        if event.kind == "reset":
            link.reset_connections()
        await asyncio.sleep(event.for_s)
        link.active_fault = ""

    async def _silence_open(self, event: plan.Event) -> None:
        self._links_by_host[self._nodes[event.node].host].silence_open_connections()

    async def _disturb_store(self, event: plan.Event) -> None:
        self._store.active_fault = event.kind
        await asyncio.sleep(event.for_s)
        self._store.active_fault = ""

    async def _forget(self, event: plan.Event) -> None:
        self._store.forget()

    async def _disturb_endpoint(self, event: plan.Event) -> None:
        endpoint = self._endpoints[event.node]
        endpoint.active_fault = event.kind
        await asyncio.sleep(event.for_s)
        endpoint.active_fault = ""

    async def _drain(self, event: plan.Event) -> None:
        self._note_withdrawn(event.node, self._publish_server(event.node, "draining"))
        await asyncio.sleep(DRAIN_S)
        key = self._server_key(event.node)
        await asyncio.sleep(LINGER_S)
        self._store.put(key, None)
        await self._replace(event.node)

    async def _vanish(self, event: plan.Event) -> None:
        at = self._store.put(self._server_key(event.node), None)
        self._note_withdrawn(event.node, at)
        await asyncio.sleep(DRAIN_S + LINGER_S)
        await self._replace(event.node)

    async def _replace(self, number: int) -> None:
        self._endpoints[number].stop()
        await asyncio.sleep(nodes.RESTART_S)
        await self._endpoints[number].start()
        self._publish_server(number, "ready")

    async def _publish(self, event: plan.Event) -> None:
        prefix = f"/new{self._version}/"
        self._routes.append((prefix, True, SERVICES[0]))
        at = self._publish_routes()
        self.seen.routes.append(history.RoutePublished(prefix, at))
        self._paths.append((prefix, True))

    def _publish_routes(self) -> float:
        document = store.configuration(self._version, self._routes, TIMEOUT_S)
        self._version += 3
        return self._store.put(platform_names.CONFIGURATION_KEY, document)

    def _publish_server(self, number: int, state: str) -> float:
        node = self._nodes[number]
        proxy_host = self._links_by_host[node.host].proxy_host
        address = f"{proxy_host}:{nodes.ENDPOINT_PORT}"
        born = int(time.time() * 1000)
        value = store.server(node.service, address, node.zone, state, born)
        return self._store.put(self._server_key(number), value)

    def _server_key(self, number: int) -> str:
        return platform_names.SERVER_KEY_PREFIX + self._endpoints[number].instance

    def _note_withdrawn(self, number: int, at: float) -> None:
        instance = self._endpoints[number].instance
        self.seen.withdrawn.append(history.Withdrawn(instance, at))


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
