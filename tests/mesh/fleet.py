"""Starts nodes on loopback addresses, with fake endpoints and a fake store."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import typing
from collections.abc import AsyncIterator, Awaitable, Callable
from unittest import mock

import msgspec

from bench import loopback
from bench.soak import links
from snipelink import clock
from snipelink.decide import allowance
from snipelink.generated import mesh
from snipelink.mesh import (
    catalog,
    channel,
    frames,
    node,
    published_state,
    settings,
    watcher,
)
from snipelink.session import frames as framing
from snipelink.session import http, memory, request_reader, response_reader

NAMES = settings.HeaderNames()
PATHS = node.StatusPaths(ready="/ready", metrics="/metrics")
BOUNDS = settings.Bounds(
    grace_s=3.0,
    drain_s=2.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_allowance=40.0,
    probes_per_s=60.0,
    cold_over=1.5,
    cold_slack=3.0,
)
PEER_PORT = 21380
ENDPOINT_PORT = 21381
CALLER_PORT = 21382
READY_PORT = 21383
METRICS_PORT = 21384
SERVICES = ("rota", "archive")


class ReceivedRequest(typing.NamedTuple):
    """A request that reached an endpoint, and the monotonic time of its arrival."""

    instance: str
    request: http.Request
    at: float


Script = Callable[["FakeEndpoint", http.Request, channel.Channel], Awaitable[None]]


async def answer_ok(
    endpoint: FakeEndpoint, request: http.Request, stream: channel.Channel
) -> None:
    """Answer with status 200 after the endpoint's run time."""
    await asyncio.sleep(endpoint.work_s)
    stream.write(endpoint.response(request))


@dataclasses.dataclass(eq=False)
class FakeEndpoint:
    """Endpoint that answers polls at once and runs a script for other requests.

    Attributes
    ----------
    script : callable
        Answers a request that is not a poll.
    work_s : float
        Run time of `answer_ok`, seconds.
    slots, slowness, running : int
        Values of the load reports; `running` is the number of running scripts.
    received : list of ReceivedRequest
        Requests that arrived, without polls.
    cancelled_count : int
        Requests whose connection closed before the script had ended.
    sends_late_poll_answer : bool
        Whether the endpoint sends an unrequested poll answer with status 503 before it
        handles a request on a connection that has carried a poll.
    cold_ms : int
        Remaining time of a cold start in poll answers, milliseconds; 0 for none.
    """

    host: str
    instance: str
    service: str
    script: Script = answer_ok
    work_s: float = 0.01
    slots: int = 4
    slowness: int = 100
    running: int = 0
    received: list[ReceivedRequest] = dataclasses.field(default_factory=list)
    cancelled_count: int = 0
    sends_late_poll_answer: bool = False
    cold_ms: int = 0
    listener: channel.Listener | None = None
    streams: set[channel.Channel] = dataclasses.field(default_factory=set)
    restart_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        address = (self.host, ENDPOINT_PORT)
        self.listener = await channel.listen(address, self._serve, 100)

    def stop(self) -> None:
        assert self.listener is not None
        if self.restart_task is not None:
            self.restart_task.cancel()
        self.listener.stop_accepting()
        for task in self.listener.tasks:
            task.cancel()

    def reset_connections(self) -> None:
        """Reset all connections; the endpoint keeps running."""
        for stream in self.streams:
            stream.abort()

    def crash(self, restart_after_s: float, instance: str) -> None:
        """Stop at once and start again as `instance` after some seconds."""
        assert self.listener is not None
        self.listener.stop_accepting()
        self.reset_connections()
        self.restart_task = asyncio.ensure_future(
            self._return(restart_after_s, instance)
        )

    async def _return(self, after_s: float, instance: str) -> None:
        await asyncio.sleep(after_s)
        self.instance = instance
        await self.start()

    def response(
        self,
        request: http.Request,
        status: int = 200,
        body: bytes = b"body",
        **changes: str,
    ) -> bytes:
        """Return the bytes of a stamped answer; `changes` sets headers by name."""
        fields = {
            NAMES.call_id: request.header(NAMES.call_id),
            NAMES.stamp: f"stamp-{self.instance}",
            NAMES.load: self.load(),
        }
        fields |= {name.replace("_", "-"): value for name, value in changes.items()}
        headers = [(name, value) for name, value in fields.items() if value]
        return http.encode_response(http.Response(status, headers, body), "GET", True)

    def load(self) -> str:
        return f"{self.running},0,{self.slots},{self.slowness}"

    async def _serve(self, stream: channel.Channel) -> None:
        self.streams.add(stream)
        try:
            await self._answer(stream)
        except ConnectionError:
            # The node or `reset_connections` closed the connection.
            pass
        finally:
            self.streams.discard(stream)

    async def _answer(self, stream: channel.Channel) -> None:
        reader = request_reader.RequestReader(
            published_state.CallerLimits(), memory.PoolCharge(memory.Pool(1 << 28))
        )
        try:
            await self._answer_requests(stream, reader)
        finally:
            reader.close()

    async def _answer_requests(
        self, stream: channel.Channel, reader: request_reader.RequestReader
    ) -> None:
        has_carried_poll = False
        while True:
            request = reader.next_request()
            if request is None:
                data = await stream.receive()
                if not data:
                    return
                reader.feed(data)
                continue
            if request.path == "/health":
                fields = [(NAMES.instance, self.instance), (NAMES.load, self.load())]
                if self.cold_ms:
                    fields.append((NAMES.cold_ms, str(self.cold_ms)))
                response = http.Response(200, fields, b"")
                stream.write(http.encode_response(response, "GET", True))
                has_carried_poll = True
                continue
            if has_carried_poll and self.sends_late_poll_answer:
                stream.write(http.encode_response(http.Response(503, []), "GET", True))
            self.received.append(ReceivedRequest(self.instance, request, clock.now()))
            self.running += 1
            try:
                work = self.script(self, request, stream)
                done = await channel.run_while_open(
                    stream, _await_and_return_true(work)
                )
                self.cancelled_count += done is None
            finally:
                self.running -= 1
            if done is None or stream.is_closed:
                return


async def _await_and_return_true(work: Awaitable[None]) -> bool:
    await work
    return True


class FakeStore:
    """Source of published state whose content and availability the test sets."""

    def __init__(self) -> None:
        self.state = published_state.PublishedState(1, None, ())
        self.is_unavailable = False
        self.has_history = True
        self._changed = asyncio.Event()

    def publish(
        self,
        configuration: published_state.Configuration | None = None,
        instances: tuple[published_state.Instance, ...] | None = None,
        evacuated: tuple[str, ...] = (),
    ) -> None:
        self.state = published_state.PublishedState(
            self.state.revision + 1,
            configuration or self.state.configuration,
            self.state.instances if instances is None else instances,
            evacuated,
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def read(self, *, fresh: bool) -> published_state.PublishedState:
        if self.is_unavailable:
            raise watcher.StoreError("away")
        return self.state

    async def watch(self, after: int, wait_s: float) -> catalog.Changes:
        if self.is_unavailable:
            raise watcher.StoreError("away")
        if self.state.revision <= after:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                return catalog.Changes(after)
        if self.is_unavailable:
            raise watcher.StoreError("cut")
        # Without a history, the node reads the whole published state again.
        raise watcher.HistoryLost


@dataclasses.dataclass
class Member:
    """One node with its endpoint and a store of its own."""

    host: str
    endpoint: FakeEndpoint
    node: node.Node
    store: FakeStore
    stop: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    task: asyncio.Task[int] | None = None
    node_link: links.Link | None = None
    endpoint_link: links.Link | None = None

    def add_links(self, links_by_host: dict[str, links.Link]) -> None:
        """Put one proxy before this node and another one before its endpoint."""
        proxy_host = loopback.next_host()
        self.node_link = links.Link(self.host, proxy_host, PEER_PORT, links_by_host)
        self.endpoint.host = loopback.next_host()
        self.endpoint_link = links.Link(
            self.endpoint.host, self.host, ENDPOINT_PORT, {}
        )

    async def start(self) -> None:
        await self.endpoint.start()
        for link in (self.node_link, self.endpoint_link):
            if link is not None:
                await link.start()
        self.task = asyncio.ensure_future(self.node.run(self.stop))

    async def end(self) -> None:
        """Stop at once without a graceful shutdown, like a killed process."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait((self.task,))
        self.node.close()
        self.endpoint.stop()
        for link in (self.node_link, self.endpoint_link):
            if link is not None:
                link.close()


def route(
    service: str, prefix: str = "/view/", **changes: typing.Any
) -> published_state.Route:
    values: dict[str, typing.Any] = {
        "name": f"r{prefix}",
        "host": "example",
        "prefix": prefix,
        "idempotent": True,
        "timeout_s": 1.0,
        "target_s": 0.5,
        "priority": 2,
        "max_attempts": 2,
        "parts": (published_state.WeightedService(service, 1.0),),
    }
    return published_state.Route(**(values | changes))


def configuration(
    *routes: published_state.Route,
    version: int = 1,
    cold_per_s: float = 0.0,
    **limits: typing.Any,
) -> published_state.Configuration:
    paths = dict.fromkeys(SERVICES, "/health")
    return published_state.Configuration(
        version,
        routes,
        paths,
        published_state.CallerLimits(**limits),
        cold_per_s_by_service=dict.fromkeys(SERVICES, cold_per_s),
    )


def make_settings(
    host: str = "127.0.0.1", service: str = SERVICES[0], zone: str = "a"
) -> settings.Settings:
    return settings.Settings(
        node=f"node-{host}",
        host=host,
        failure_domain=zone,
        service=service,
        endpoint_address=(host, ENDPOINT_PORT),
        caller_listen=(host, CALLER_PORT),
        peer_listen=(host, PEER_PORT),
        ready_listen=(host, READY_PORT),
        metrics_listen=(host, METRICS_PORT),
        peer_port=PEER_PORT,
        load_port=PEER_PORT,
        bounds=BOUNDS,
    )


def make_member(service: str, store: FakeStore, zone: str = "a") -> Member:
    host = loopback.next_host()
    endpoint = FakeEndpoint(host, f"i-{host}", service)
    own = make_settings(host, service, zone)
    return Member(host, endpoint, node.Node(own, NAMES, PATHS, store), store)


def published_instance(
    member: Member, **changes: typing.Any
) -> published_state.Instance:
    values: dict[str, typing.Any] = {
        "id": member.endpoint.instance,
        "service": member.endpoint.service,
        "host": member.node_link.proxy_host if member.node_link else member.host,
        "failure_domain": "a",
        "leaving": False,
    }
    return published_state.Instance(**(values | changes))


def publish(
    members: list[Member],
    new: published_state.Configuration | None = None,
    instances: tuple[published_state.Instance, ...] | None = None,
) -> None:
    """Publish to the stores of all members."""
    for member in members:
        member.store.publish(new, instances)


def all_up_to_date(members: list[Member]) -> bool:
    """Whether all members have the state that was published last."""
    return all(m.node.revision >= m.store.state.revision for m in members)


@contextlib.asynccontextmanager
async def running(
    *services: str,
    routes: tuple[published_state.Route, ...] | None = None,
    cold_per_s: float = 0.0,
    behind_proxies: bool = False,
) -> AsyncIterator[list[Member]]:
    """Start one node for each service name, and wait for all load reports.

    The nodes have earned their whole share of the retry allowance, which a node usually
    has only after running for a while.

    Parameters
    ----------
    behind_proxies : bool
        Whether nodes reach each other and their endpoints through proxies.
    """
    members = [make_member(service, FakeStore()) for service in services]
    links_by_host: dict[str, links.Link] = {}
    for member in members if behind_proxies else []:
        member.add_links(links_by_host)
    routes = routes or (route(services[0]),)
    published_configuration = configuration(*routes, cold_per_s=cold_per_s)
    publish(
        members, published_configuration, tuple(published_instance(m) for m in members)
    )
    for member in members:
        await member.start()
    try:
        await wait_until(
            lambda: all(_has_all_load_reports(m, members) for m in members)
        )
        with mock.patch.object(allowance.NodeShare, "earned_ratio", return_value=1.0):
            yield members
    finally:
        for member in members:
            await member.end()


def _has_all_load_reports(member: Member, members: list[Member]) -> bool:
    accepting = member.node.accepting_by_instance()
    return all(
        other.endpoint.instance in accepting and accepting[other.endpoint.instance]
        for other in members
    )


def call_frame(member: Member, call_id: str, *, remaining_ms: int) -> bytes:
    """Return the frame with which another node would send a call to a member."""
    call = mesh.Call(
        call_id,
        member.endpoint.instance,
        member.endpoint.service,
        "GET",
        "/view/1",
        [["host", "example"]],
        b"",
        remaining_ms,
        remaining_ms,
        10,
        2,
        True,
        "archive",
    )
    payload = msgspec.msgpack.encode(call)
    return (
        framing.LENGTH_PREFIX.pack(len(payload) + 1) + frames.Kind.CALL.value + payload
    )


async def wait_until(condition: Callable[[], bool], timeout_s: float = 5.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


class Client:
    """A caller with one connection to a node."""

    def __init__(self, stream: channel.Channel) -> None:
        self.stream = stream
        self._reader = response_reader.ResponseReader("GET", 1 << 24)

    @classmethod
    async def open(cls, member: Member) -> Client:
        return cls(await channel.connect((member.host, CALLER_PORT), 1.0))

    def send(
        self,
        call_id: str,
        path: str = "/view/1",
        method: str = "GET",
        body: bytes = b"",
        **fields: str,
    ) -> None:
        headers = {"host": "example", NAMES.call_id: call_id}
        headers |= {NAMES.remaining_ms: "2000"}
        headers |= {name.replace("_", "-"): value for name, value in fields.items()}
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"content-length: {len(body)}")
        self.stream.write(http.encode_head(lines) + body)

    async def receive(self, timeout_s: float = 5.0) -> http.Response | None:
        """Return the next answer; None if the node closed the connection instead."""
        async with asyncio.timeout(timeout_s):
            while (response := self._reader.next_response()) is None:
                data = await self.stream.receive()
                if not data:
                    return None
                self._reader.feed(data)
        return response

    async def call(self, call_id: str, **fields: typing.Any) -> http.Response:
        self.send(call_id, **fields)
        response = await self.receive()
        assert response is not None
        return response
