"""Fake endpoint: an HTTP server with a fixed number of concurrent requests.

Usage:
  endpoint --listen=ADDRESS --name=NAME [options]

Options:
  --listen=ADDRESS   IP:port to listen on.
  --name=NAME        Name of the endpoint.
  --slots=N          Limit of requests that run concurrently [default: 10].
  --connections=N    Limit of concurrent connections [default: 200].
  --service-ms=MS    Mean service time, milliseconds [default: 0].
  --times=LIST       Mean service times in milliseconds by operation, for example
                     "get=5,add=20" [default: ].
  --noise            Change the speed of the endpoint every 5 to 500 ms.
  --report-lag-ms=MS  Minimum age at which a load report is renewed [default: 20].
  --seed=N           Seed of all random choices [default: 0].
  --log=PATH         File to which starts and ends of requests, and probes, are logged.

Requests may have the headers ``Bench-Token`` (unique for each call),
``Bench-Operation``, ``Bench-Answer-Bytes`` and ``Bench-Mark: crash``. Tests use the
paths under ``/control/``: ``switches`` (POST with the fields of
``endpoint_behaviour.Switches``) and ``state`` (GET).
"""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import json
import os
import random
import signal
import time

import docopt
import httptools

from bench import endpoint_behaviour

DRAIN_TIMEOUT_S = 10.0
RETRY_AFTER_S = 1


@dataclasses.dataclass(slots=True)
class Request:
    """One request as the endpoint received it."""

    method: str
    target: str
    headers_by_name: dict[str, str]
    body: bytes

    def header(self, name: str) -> str:
        return self.headers_by_name.get(name, "")


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One answer.

    If it is `truncated`, only the first half of the body is sent, and the connection is
    closed.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    truncated: bool = False

    def encode(self) -> bytes:
        lines = [f"HTTP/1.1 {self.status} {'OK' if self.status == 200 else 'Error'}"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        lines.append(f"content-length: {len(self.body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        return head + (
            self.body[: len(self.body) // 2] if self.truncated else self.body
        )


def filler(token: str, size: int) -> str:
    """Return `size` characters that are derived from the token of the call."""
    return (token * (size // max(1, len(token)) + 1))[:size] if token else ""


def answer_body(endpoint: str, request: Request) -> bytes:
    """Return a body from which the caller can verify that the answer is its own.

    It repeats the target, the size and the digest of the request, so that a mixed-up or
    incomplete answer can be detected.
    """
    token = request.header("bench-token")
    fields = {
        "endpoint": endpoint,
        "target": request.target,
        "size": len(request.body),
        "digest": hashlib.sha256(request.body).hexdigest(),
        "token": token,
        "filler": filler(token, int(request.header("bench-answer-bytes") or 0)),
    }
    return json.dumps(fields).encode()


class EventLog:
    """Appends events to a file without buffering, so that a crash loses none."""

    def __init__(self, path: str, endpoint: str) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o600) if path else -1
        self._endpoint = endpoint

    def write(self, event: str, request: Request) -> None:
        if self._file < 0:
            return
        fields = {
            "event": event,
            "endpoint": self._endpoint,
            "time": time.monotonic(),
            "token": request.header("bench-token"),
            "operation": request.header("bench-operation"),
            "call_id": request.header("snipelink-call-id"),
            "key": request.header("idempotency-key"),
        }
        os.write(self._file, json.dumps(fields).encode() + b"\n")


class Endpoint:
    """State of the fake endpoint; only the event loop's thread accesses it."""

    def __init__(self, options: dict[str, str]) -> None:
        now = time.monotonic()
        seed = f"{options['--name']}/{options['--seed']}"
        noise = endpoint_behaviour.Noise(
            random.Random(f"noise/{seed}"), bool(options["--noise"]), now
        )
        means = {"": float(options["--service-ms"]) / 1000}
        for item in filter(None, options["--times"].split(",")):
            operation, milliseconds = item.split("=")
            means[operation] = float(milliseconds) / 1000
        slots = int(options["--slots"])
        self.name = options["--name"]
        self.log = EventLog(options["--log"] or "", self.name)
        self.switches = endpoint_behaviour.Switches()
        self.service_times = endpoint_behaviour.ServiceTimes(
            random.Random(seed), means, noise
        )
        self.load_reports = endpoint_behaviour.DelayedLoadReports(
            slots, float(options["--report-lag-ms"]) / 1000
        )
        self.truncation_rng = random.Random(f"cut/{seed}")
        self.slots = asyncio.Semaphore(slots)
        self.max_connections = int(options["--connections"])
        self.connections = 0
        self.peak_connections = 0
        self.running = self.queued = self.started = self.probes = 0
        self.started_at = now
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()

    async def handle(self, request: Request) -> Answer:
        if request.target.startswith("/control/"):
            return self._handle_control(request)
        await self.unfrozen.wait()
        if request.header("snipelink-probe"):
            self.probes += 1
            self.log.write("probe", request)
            return self._reply(200, request)
        if self.switches.fail:
            # A caller can't tell how far a failed request got, so it is logged as
            # executed.
            self.log.write("start", request)
            self.log.write("done", request)
            return self._reply(500, request)
        if self.switches.shed:
            return self._reply(503, request, (("retry-after", str(RETRY_AFTER_S)),))
        return await self._execute(request)

    async def _execute(self, request: Request) -> Answer:
        self.queued += 1
        try:
            await self.slots.acquire()
        finally:
            self.queued -= 1
        self.running += 1
        self.started += 1
        self.log.write("start", request)
        outcome = "cancelled"
        try:
            if self.switches.crash_marked and request.header("bench-mark") == "crash":
                os._exit(70)
            now = time.monotonic()
            operation = request.header("bench-operation")
            age_s = now - self.started_at
            seconds = self.service_times.sample_s(operation, self.switches, age_s, now)
            if seconds > 0:
                await asyncio.sleep(seconds)
            await self.unfrozen.wait()
            outcome = "done"
        finally:
            self.log.write(outcome, request)
            self.running -= 1
            self.slots.release()
        return self._reply(
            200, request, truncated=self.truncation_rng.random() < self.switches.cut
        )

    def _reply(
        self,
        status: int,
        request: Request,
        headers: tuple[tuple[str, str], ...] = (),
        truncated: bool = False,
    ) -> Answer:
        now = time.monotonic()
        hide_load = self.switches.lie
        load = self.load_reports.header_value(self.running, self.queued, hide_load, now)
        headers += (("content-type", "application/json"), ("snipelink-load", load))
        if self.switches.draining:
            headers += (("snipelink-state", "draining"),)
        return Answer(status, answer_body(self.name, request), headers, truncated)

    def _handle_control(self, request: Request) -> Answer:
        if request.target == "/control/switches":
            self._set_switches(json.loads(request.body))
        fields = {
            "running": self.running,
            "queued": self.queued,
            "started": self.started,
            "probes": self.probes,
            "connections": self.connections,
            "most_connections": self.peak_connections,
        }
        return Answer(200, json.dumps(fields).encode())

    def _set_switches(self, fields: dict[str, float]) -> None:
        self.switches = dataclasses.replace(self.switches, **fields)
        if fields.get("freeze_s"):
            self.unfrozen.clear()
            loop = asyncio.get_running_loop()
            loop.call_later(fields["freeze_s"], self.unfrozen.set)


class Connection(asyncio.Protocol):
    """Server side of one connection; cancels its requests when it is closed."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers_by_name: dict[str, str] = {}
        self.chunks: list[bytes] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_admitted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        if self.is_admitted:
            self.endpoint.connections -= 1
        for task in self.tasks:
            task.cancel()

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.target, self.headers_by_name, self.chunks = b"", {}, []

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers_by_name[name.decode().lower()] = value.decode()

    def on_body(self, data: bytes) -> None:
        self.chunks.append(data)

    def on_message_complete(self) -> None:
        target = self.target.decode()
        if not target.startswith("/control/") and not self._admit_connection():
            self.transport.abort()
            return
        method = self.parser.get_method().decode()
        body = b"".join(self.chunks)
        request = Request(method, target, self.headers_by_name, body)
        task = asyncio.ensure_future(self._answer(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _admit_connection(self) -> bool:
        endpoint = self.endpoint
        if self.is_admitted:
            return True
        if endpoint.connections >= endpoint.max_connections:
            return False
        self.is_admitted = True
        endpoint.connections += 1
        endpoint.peak_connections = max(endpoint.peak_connections, endpoint.connections)
        return True

    async def _answer(self, request: Request) -> None:
        answer = await self.endpoint.handle(request)
        self.transport.write(answer.encode())
        if answer.truncated:
            self.transport.close()


async def serve(options: dict[str, str]) -> None:
    endpoint = Endpoint(options)
    host, port = options["--listen"].rsplit(":", 1)
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    server = await loop.create_server(lambda: Connection(endpoint), host, int(port))
    await stop.wait()
    server.close()
    deadline = time.monotonic() + DRAIN_TIMEOUT_S
    while endpoint.running + endpoint.queued and time.monotonic() < deadline:
        await asyncio.sleep(0.02)


if __name__ == "__main__":
    asyncio.run(serve(docopt.docopt(__doc__)))
