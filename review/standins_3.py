"""Stand-ins for the store, servers, requesters and platform of a small deployment.

They follow the platform's pages and use only the standard library. Each machine has
loopback addresses of its own; the nodes are separate processes, started with the
command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST_NAME = "shop.example"
LARGE_ANSWER_PREFIX = "/pack/"
GRACE_S = 6.0
DRAIN_S = 2.0
MEMORY_MB = 300
RESTART_DELAY_S = 0.3
START_TIMEOUT_S = 20.0
# Time for which nodes exchange their first load reports.
SETTLE_S = 1.5
MEMORY_CHECK_INTERVAL_S = 0.05
# One in this many answers has a wrong load report, while a server sends such.
WRONG_REPORT_INTERVAL = 50
ROUTE_COLUMNS = (
    "name",
    "host",
    "prefix",
    "route_type",
    "timeout_s",
    "target_latency_s",
    "priority",
    "service",
    "max_attempts",
)
SETTINGS = """
[self]
node_name = "node-{number}"
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "{host}"
zone = "zone-{number}"
region = "region"
app_addr = "{host}:{server_port}"
service = "{service}"
[self.limits]
memory_mb = {memory_mb}
[network]
port_range = [{peer_port}, {last_peer_port}]
seeds = []
[network.listen]
inbound = "{host}:{inbound_port}"
outbound = "{host}:{outbound_port}"
ready = "{host}:{ready_port}"
[platform.platform]
address = "{store_host}:{store_port}"
[terms.bounds]
drain_s = {drain_s}
grace_s = {grace_s}
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
probes_per_s = 60
"""


def run_case(main: typing.Callable[[], typing.Awaitable[int]]) -> int:
    """Run a case and return its exit status, which is 2 if it could not run.

    A SIGTERM ends the case and the processes that it started.
    """
    signal.signal(signal.SIGTERM, _exit)
    try:
        return asyncio.run(_await(main))
    except (OSError, TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        return 2


async def _await(main: typing.Callable[[], typing.Awaitable[int]]) -> int:
    return await main()


def _exit(number: int, frame: object) -> typing.NoReturn:
    raise SystemExit(2)


def has_trouble() -> bool:
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclasses.dataclass(frozen=True)
class Route:
    """Route of the operator's configuration."""

    prefix: str
    route_type: str
    service: str
    timeout_s: float
    target_latency_s: float
    max_attempts: int = 2


@dataclasses.dataclass
class Request:
    """One attempt of a requester, and what it got."""

    request_id: str
    machine: int
    path: str
    sent_at: float
    kept: bool
    status: int | None = None
    body: bytes = b""
    outcome: str = "pending"
    ended_at: float = 0.0
    closes: bool = False


@dataclasses.dataclass
class Run:
    """One request that a server began to run."""

    request_id: str
    server: str
    began_at: float
    ended_at: float = 0.0
    outcome: str = "at work"


Headers = dict[str, str]
# The streams of asyncio print the traceback of a task that is cancelled at the end.
CONNECTION_ENDS = (asyncio.IncompleteReadError, OSError, asyncio.CancelledError)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Read the head of a message and return its first line and its headers."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Read the body of a message that states its length."""
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's metadata store: range reads and watches."""

    def __init__(self) -> None:
        self._items: dict[str, tuple[bytes, int]] = {}
        self._events: list[dict[str, typing.Any]] = []
        self._revision = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: dict[str, typing.Any] | None) -> float:
        """Write an item, or remove it if `value` is None; return the time."""
        self._revision += 1
        if value is None:
            self._items.pop(key, None)
            event = {"key": key, "revision": self._revision, "deleted": True}
        else:
            self._items[key] = (json.dumps(value).encode(), self._revision)
            event = self._to_item(key)
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()
        return time.monotonic()

    def _to_item(self, key: str) -> dict[str, typing.Any]:
        value, revision = self._items[key]
        text = base64.b64encode(value).decode()
        fixed = {"created": revision, "lease": 0}
        return {"key": key, "value": text, "revision": revision, **fixed}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                line, _ = await read_head(reader)
                path, _, text = line.split(" ")[1].partition("?")
                parsed = urllib.parse.parse_qs(text, keep_blank_values=True)
                query = {name: values[0] for name, values in parsed.items()}
                answer = await self._answer(path, query)
                body = json.dumps(answer).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except CONNECTION_ENDS:
            # The node closed the connection, or the case is over.
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: dict[str, str]) -> dict[str, typing.Any]:
        if path.endswith("kv-range"):
            items = [self._to_item(key) for key in sorted(self._items)]
            return {"items": items, "as_of": self._revision, "has_more": False}
        after = int(query["after"])
        if after >= self._revision:
            try:
                wait_s = int(query["wait_ms"]) / 1000.0
                await asyncio.wait_for(self._changed.wait(), wait_s)
            except TimeoutError:
                # The answer contains no events.
                pass
        events = [event for event in self._events if event["revision"] > after]
        return {"events": events, "as_of": self._revision}


class Server:
    """Application server of one machine.

    Parameters
    ----------
    work_s : float
        Duration of a request.
    large_answer_bytes : int
        Length of the body of an answer to a request for `LARGE_ANSWER_PREFIX`.
    read_pause_s : float
        Time at the start of a request in which the server works without reading the
        body.
    """

    def __init__(
        self,
        deployment: Deployment,
        host: str,
        service: str,
        work_s: float,
        large_answer_bytes: int = 0,
        read_pause_s: float = 0.0,
    ) -> None:
        self._deployment = deployment
        self._host = host
        self._running = 0
        self._server: asyncio.Server | None = None
        self._born_ms = int(time.time() * 1000)
        self.service = service
        self.work_s = work_s
        self.large_answer_bytes = large_answer_bytes
        self.read_pause_s = read_pause_s
        # Size of the receive buffers of its connections; 0 for the system's default.
        self.window_bytes = 0
        self._answer_count = self._write_count = 0
        # Slots that some load reports state in place of the right number.
        self.wrong_slots = 0
        self.slots = 12
        self.server_id = f"i-{host.replace('.', '-')}"

    async def start(self) -> None:
        """Listen, and publish the server's entry."""
        port = self._deployment.server_port
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.window_bytes:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window_bytes)
        listener.bind((self._host, port))
        self._server = await asyncio.start_server(
            self._serve, sock=listener, backlog=256
        )
        self.write_entry()

    def write_entry(self, state: str = "ready", **others: object) -> float:
        """Write the server's entry; return the time of the store's answer.

        Parameters
        ----------
        others : dict
            Fields that differ from the server's own, as another writer may set them.
        """
        self._write_count += 1
        port = self._deployment.server_port
        entry = {
            "service": self.service,
            "address": f"{self._deployment.published_host(self._host)}:{port}",
            "zone": f"zone-{self._deployment.hosts.index(self._host)}",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_s": 0.0,
            "seq": self._write_count,
            "born": self._born_ms,
        }
        key = f"servers/{self.server_id}"
        return self._deployment.store.put(key, entry | others)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def answer_body(self, request_id: str, path: str) -> bytes:
        """Return the only right body of the answer to a request."""
        text = f"{request_id} by {self.server_id};".encode()
        is_large = path.startswith(LARGE_ANSWER_PREFIX)
        return text.ljust(self.large_answer_bytes if is_large else 400, b".")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                line, headers = await read_head(reader)
                path = line.split(" ")[1]
                if path == "/healthz":
                    writer.write(self._encode(200, "", b""))
                    continue
                await self._answer(reader, writer, path, headers)
        except CONNECTION_ENDS:
            # The node closed the connection, or the case is over.
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        path: str,
        headers: Headers,
    ) -> None:
        request_id = headers["x-snipelink-request-id"]
        run = Run(request_id, self.server_id, time.monotonic())
        self._deployment.runs.append(run)
        self._running += 1
        try:
            await asyncio.sleep(self.read_pause_s)
            await read_body(reader, headers)
            left_s = run.began_at + self.work_s - time.monotonic()
            await asyncio.sleep(max(0.0, left_s))
            run.outcome = "dropped, its connection was closed"
            if not writer.is_closing() and not reader.at_eof():
                body = self.answer_body(request_id, path)
                writer.write(self._encode(200, request_id, body))
                await writer.drain()
                run.outcome = "answered 200"
        except (asyncio.IncompleteReadError, OSError):
            run.outcome = "dropped, its connection was closed while the body was read"
            raise
        finally:
            run.ended_at = time.monotonic()
            self._running -= 1

    def _stated_slots(self) -> int:
        self._answer_count += 1
        is_wrong = self.wrong_slots and self._answer_count % WRONG_REPORT_INTERVAL == 0
        return self.wrong_slots if is_wrong else self.slots

    def _encode(self, status: int, request_id: str, body: bytes) -> bytes:
        lines = [f"HTTP/1.1 {status} OK"]
        if request_id:
            lines.append(f"X-Snipelink-Request-Id: {request_id}")
            lines.append(f"X-Snipelink-Server-Stamp: {self.server_id}.{request_id}")
        lines += [
            f"X-Snipelink-Instance-Id: {self.server_id}",
            f"X-Snipelink-Server-Load: {self._running},0,{self._stated_slots()},100",
            f"Content-Length: {len(body)}",
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Link(asyncio.DatagramProtocol):
    """Link of one machine to the others, with a bandwidth in each direction.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth of each direction, shared by all connections.
    """

    PIECE_BYTES = 8192

    def __init__(
        self, deployment: Deployment, host: str, proxy_host: str, bytes_per_s: float
    ) -> None:
        self._deployment = deployment
        self._host = host
        self._bytes_per_s = bytes_per_s
        self._free_at = {"in": 0.0, "out": 0.0}
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self.proxy_host = proxy_host

    async def start(self) -> None:
        """Forward connections and datagrams to the machine."""
        port = self._deployment.peer_port
        self._server = await asyncio.start_server(
            self._serve, self.proxy_host, port, backlog=256
        )
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.proxy_host, port)
        )

    def close(self) -> None:
        """Stop forwarding."""
        if self._server is not None:
            self._server.close()
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram, with the sender's link as its source."""
        sender = self._deployment.links_by_host.get(addr[0])
        if sender is not None and sender._transport is not None:
            target = (self._host, self._deployment.peer_port)
            sender._transport.sendto(data, target)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            machine_reader, machine_writer = await asyncio.open_connection(
                self._host, self._deployment.peer_port
            )
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self._copy(reader, machine_writer, "in"),
                self._copy(machine_reader, writer, "out"),
            )
        except CONNECTION_ENDS:
            machine_writer.transport.abort()
            writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        try:
            while data := await reader.read(self.PIECE_BYTES):
                now = time.monotonic()
                begins_at = max(now, self._free_at[direction])
                ends_at = begins_at + len(data) / self._bytes_per_s
                self._free_at[direction] = ends_at
                await asyncio.sleep(ends_at - now)
                writer.write(data)
                await writer.drain()
            writer.close()
        except CONNECTION_ENDS:
            writer.transport.abort()


class Node:
    """Process of the deploy file's role on one machine."""

    def __init__(self, deployment: Deployment, number: int, service: str) -> None:
        self._deployment = deployment
        self._settings_file = deployment.directory / f"node-{number}.toml"
        self._log = (deployment.directory / f"node-{number}.log").open("ab")
        self._process: subprocess.Popen[bytes] | None = None
        self.number = number
        self.service = service
        self.host = deployment.hosts[number]
        self.peak_memory_mb = 0.0
        # Monotonic times at which the process was ended for its memory.
        self.memory_ends: list[float] = []

    def start(self) -> None:
        """Write the settings file and start the process."""
        deployment = self._deployment
        self._settings_file.write_text(
            SETTINGS.format(
                number=self.number,
                host=self.host,
                service=self.service,
                server_port=deployment.server_port,
                memory_mb=MEMORY_MB,
                peer_port=deployment.peer_port,
                last_peer_port=deployment.peer_port + 15,
                inbound_port=deployment.peer_port + 20,
                outbound_port=deployment.outbound_port,
                ready_port=deployment.ready_port,
                store_host=deployment.store_host,
                store_port=deployment.store_port,
                drain_s=DRAIN_S,
                grace_s=GRACE_S,
            )
        )
        deploy_file = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        self._process = subprocess.Popen(
            deploy_file["roles"]["node"]["run"].split(),
            cwd=ROOT,
            env=kept
            | {
                "SNIPELINK_NODE_FILE": str(self._settings_file),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdout=self._log,
            stderr=self._log,
        )

    async def wait_until_ready(self) -> None:
        """Wait until the node says that it is ready; raise ``TimeoutError``."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    async def answers_ready(self) -> bool:
        """Ask the node once whether it is ready; false without an answer in 1 s."""
        try:
            async with asyncio.timeout(1.0):
                return await self._is_ready()
        except TimeoutError:
            return False

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self._deployment.ready_port
            )
            writer.write(b"GET /snipelink/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _ = await read_head(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return " 200 " in line

    def terminate(self) -> None:
        """Send SIGTERM."""
        assert self._process is not None
        self._process.send_signal(signal.SIGTERM)

    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self._process is None or self._process.poll() is not None

    def kill(self) -> None:
        """End the process at once."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def memory_mb(self) -> float:
        """Return the private memory of the process in MB; 0 if it has ended."""
        assert self._process is not None
        try:
            status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"^RssAnon:\s+(\d+) kB", status, re.MULTILINE)
        return int(found[1]) / 1024.0 if found else 0.0

    async def enforce_memory_limit(self) -> None:
        """End the process when it exceeds its memory, and start it again.

        Runs until cancelled, as the platform does.
        """
        while True:
            used_mb = self.memory_mb()
            self.peak_memory_mb = max(self.peak_memory_mb, used_mb)
            if used_mb > MEMORY_MB:
                self.kill()
                self.memory_ends.append(time.monotonic())
                await asyncio.sleep(RESTART_DELAY_S)
                self.start()
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)


class Connection:
    """Connection of a requester to the node of its machine."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.answered_count = 0

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Deployment:
    """Machines with their nodes and servers, the store, and all that was seen.

    Parameters
    ----------
    services : list of str
        Service of each machine's server.
    routes : list of Route
        First configuration.
    link_bytes_per_s : float or None
        Bandwidth of the machines' links; None for links without a bound.
    """

    def __init__(
        self,
        services: list[str],
        routes: list[Route],
        link_bytes_per_s: float | None = None,
    ) -> None:
        high, low = divmod(os.getpid(), 250)
        network = f"127.{high % 200 + 20}.{low + 1}"
        first_port = 21000 + os.getpid() % 5000
        self.peer_port = first_port
        self.server_port = first_port + 30
        self.outbound_port = first_port + 31
        self.ready_port = first_port + 32
        self.store_port = first_port + 33
        self.store_host = f"{network}.250"
        self.hosts = [f"{network}.{number + 1}" for number in range(len(services))]
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="snipelink-review-"))
        self.store = Store()
        self.servers: list[Server] = []
        self.links_by_host: dict[str, Link] = {}
        self.requests: list[Request] = []
        self.runs: list[Run] = []
        self.started_at = time.monotonic()
        self._routes = routes
        self._version = 0
        self._request_numbers = itertools.count(1)
        self._tasks: list[asyncio.Task[None]] = []
        self.nodes = [
            Node(self, number, service) for number, service in enumerate(services)
        ]
        if link_bytes_per_s is not None:
            for number, host in enumerate(self.hosts):
                proxy_host = f"{network}.{number + 100}"
                link = Link(self, host, proxy_host, link_bytes_per_s)
                self.links_by_host[host] = self.links_by_host[proxy_host] = link

    def published_host(self, host: str) -> str:
        """Return the address under which other machines reach a machine."""
        link = self.links_by_host.get(host)
        return host if link is None else link.proxy_host

    def publish_routes(self, routes: list[Route]) -> float:
        """Publish a configuration; return the time of the store's answer."""
        self._version += 1
        rows = [
            [
                f"route-{number}",
                HOST_NAME,
                route.prefix,
                route.route_type,
                route.timeout_s,
                route.target_latency_s,
                1,
                route.service,
                route.max_attempts,
            ]
            for number, route in enumerate(routes)
        ]
        services = sorted({node.service for node in self.nodes})
        document = {
            "version": f"r{self._version}",
            "routes": {"columns": list(ROUTE_COLUMNS), "rows": rows},
            "services": {
                "columns": ["name", "health_path"],
                "rows": [[service, "/healthz"] for service in services],
            },
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
        }
        return self.store.put("op/config", document)

    async def start(self) -> None:
        """Start everything and wait until all nodes are ready."""
        await self.store.start(self.store_host, self.store_port)
        self.publish_routes(self._routes)
        for link in set(self.links_by_host.values()):
            await link.start()
        for server in self.servers:
            await server.start()
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await node.wait_until_ready()
        await asyncio.sleep(SETTLE_S)
        self.started_at = time.monotonic()

    def enforce_memory_limits(self) -> None:
        """Start to end processes that exceed their memory, as the platform does."""
        for node in self.nodes:
            task = asyncio.ensure_future(node.enforce_memory_limit())
            self._tasks.append(task)

    def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.kill()
        for server in self.servers:
            server.close()
        for link in set(self.links_by_host.values()):
            link.close()
        self.store.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    async def connect(self, machine: int) -> Connection:
        """Open a connection to the node of a machine; raises ``OSError``."""
        async with asyncio.timeout(1.0):
            pair = await asyncio.open_connection(
                self.hosts[machine], self.outbound_port
            )
        return Connection(*pair)

    async def request(
        self,
        machine: int,
        connection: Connection,
        path: str,
        limit_s: float,
        body: bytes | None = None,
        leaves_after_s: float | None = None,
    ) -> Request:
        """Send a request on a connection and return what came of it.

        Parameters
        ----------
        limit_s : float
            Time limit of the requester.
        body : bytes or None
            Body of a POST request; None for a GET request.
        leaves_after_s : float or None
            Time after which the requester closes its connection; None if it stays.
        """
        name = f"q{next(self._request_numbers):05d}"
        kept = connection.answered_count > 0
        record = Request(name, machine, path, time.monotonic(), kept)
        self.requests.append(record)
        lines = [
            f"{'GET' if body is None else 'POST'} {path} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"X-Snipelink-Request-Id: {name}",
            f"X-Snipelink-Deadline-Ms: {int(limit_s * 1000)}",
        ]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        try:
            async with asyncio.timeout(
                limit_s + 1.0 if leaves_after_s is None else leaves_after_s
            ):
                connection.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                connection.writer.write(body or b"")
                await connection.writer.drain()
                line, headers = await read_head(connection.reader)
                record.body = await read_body(connection.reader, headers)
            record.status = int(line.split(" ")[1])
            record.outcome = f"answered {record.status}"
            record.closes = headers.get("connection", "").lower() == "close"
            connection.answered_count += 1
        except TimeoutError:
            record.outcome = "left" if leaves_after_s is not None else "not answered"
        except (OSError, asyncio.IncompleteReadError):
            record.outcome = "closed without an answer"
        record.ended_at = time.monotonic()
        return record

    def write_record(self, path: pathlib.Path, findings: list[str]) -> None:
        """Write what was sent, answered and run."""
        lines = [*findings, "", "requests:"]
        for each in self.requests:
            sent_s = each.sent_at - self.started_at
            took_s = each.ended_at - each.sent_at if each.ended_at else 0.0
            lines.append(
                f"{sent_s:8.3f} {each.request_id} machine {each.machine} {each.path}"
                f" kept={each.kept} {each.outcome} after {took_s:.3f} s"
            )
        lines += ["", "runs:"]
        for run in self.runs:
            began_s = run.began_at - self.started_at
            took_s = run.ended_at - run.began_at if run.ended_at else 0.0
            lines.append(
                f"{began_s:8.3f} {run.request_id} at {run.server} {run.outcome}"
                f" after {took_s:.3f} s"
            )
        path.write_text("\n".join(lines) + "\n")
