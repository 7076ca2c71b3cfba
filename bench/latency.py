"""Measures the latency that one node or two nodes add to a direct call.

Usage:
  latency [--rates=RATES] [--seconds=S] [--rounds=N] [--connections=N] [--seed=N]
          [--json=FILE]

Options:
  --rates=RATES      Calls per second, comma separated [default: 100,240,500].
  --seconds=S        Duration of one measurement, seconds [default: 4].
  --rounds=N         Rounds; each measures all paths in turn [default: 3].
  --connections=N    Client connections [default: 8].
  --seed=N           Seed of the arrival times [default: 1].
  --json=FILE        Also write the results to FILE.

The load is open-loop: the latency of a call starts when the call is due.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import gc
import json
import os
import pathlib
import random
import time

import docopt
import httptools

from bench import deployment
from snipelink import model

PATHS = ("direct", "one node", "two nodes")
QUANTILES = (0.5, 0.99, 0.999)
SPIN_S = 0.002
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
OPERATIONS = (model.Operation("get", "GET", "/items/{id}", True),)
RULES = (
    model.Rule("near", "near", host="near.test"),
    model.Rule("far", "far", host="far.test"),
)


@dataclasses.dataclass(slots=True)
class Target:
    """Address and Host header of the calls of one path."""

    address: str
    host: str


@dataclasses.dataclass(slots=True)
class Sample:
    """Measurements of one path at one call rate."""

    latencies_s: list[float] = dataclasses.field(default_factory=list)
    failures: int = 0
    calls: int = 0
    cpu_s: float = 0.0


class _Client(asyncio.Protocol):
    """Client side of a keep-alive connection that carries one call at a time."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.done: asyncio.Future[int] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        if self.done is not None and not self.done.done():
            self.done.set_result(self.parser.get_status_code())

    def connection_lost(self, exc: Exception | None) -> None:
        if self.done is not None and not self.done.done():
            self.done.set_result(0)

    async def call(self, request: bytes) -> int:
        self.done = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return await self.done


class _Load:
    """Open-loop load generator over a fixed number of connections."""

    def __init__(self, target: Target, sample: Sample) -> None:
        self._sample = sample
        host = target.host.encode()
        self._request = b"GET /items/1 HTTP/1.1\r\nHost: " + host + b"\r\n\r\n"
        self._target = target
        self._idle: collections.deque[_Client] = collections.deque()
        self._due: collections.deque[float] = collections.deque()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, rate: float, seconds: float, count: int, seed: str) -> None:
        loop = asyncio.get_running_loop()
        host, port = self._target.address.rsplit(":", 1)
        for _ in range(count):
            _, client = await loop.create_connection(_Client, host, int(port))
            await client.call(self._request)
            self._idle.append(client)
        rng = random.Random(seed)
        clients = list(self._idle)
        due = time.perf_counter()
        end = due + seconds
        while due < end:
            due += rng.expovariate(rate)
            await _sleep_until(due)
            self._due.append(due)
            self._start()
        while self._tasks:
            await asyncio.gather(*self._tasks)
        for client in clients:
            client.transport.close()

    def _start(self) -> None:
        while self._idle and self._due:
            task = asyncio.ensure_future(
                self._call(self._idle.popleft(), self._due.popleft())
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _call(self, client: _Client, due: float) -> None:
        status = await client.call(self._request)
        self._sample.latencies_s.append(time.perf_counter() - due)
        self._sample.failures += status != 200
        self._sample.calls += 1
        self._idle.append(client)
        self._start()


async def _sleep_until(due: float) -> None:
    """Sleep until `due`, with a busy wait at the end.

    Timers of the event loop have a resolution of only one millisecond.
    """
    await asyncio.sleep(max(0.0, due - time.perf_counter() - SPIN_S))
    while time.perf_counter() < due:
        await asyncio.sleep(0)


def cpu_seconds(pids: list[int]) -> float:
    """Return the sum of user and system CPU time of processes, in seconds."""
    total = 0
    for pid in pids:
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        total += int(fields[11]) + int(fields[12])
    return total / TICKS_PER_S


def memory_mb(pid: int) -> tuple[float, float]:
    """Return the resident and the private memory of a process, in MB."""
    sizes: dict[str, int] = collections.defaultdict(int)
    for line in pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]:
        name, value, *_ = line.split()
        sizes[name] += int(value)
    private = sizes["Private_Clean:"] + sizes["Private_Dirty:"]
    return sizes["Rss:"] / 1000, private / 1000


def quantile(values: list[float], q: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


def measure(
    options: dict[str, str], running: deployment.Deployment
) -> dict[tuple[int, str], Sample]:
    """Measure the paths in turn, in several rounds at each call rate."""
    local_server = running.servers_by_name["near-1"]
    targets_by_path = {
        "direct": Target(local_server.endpoint.address, "near.test"),
        "one node": Target(local_server.caller_address, "near.test"),
        "two nodes": Target(local_server.caller_address, "far.test"),
    }
    servers = running.servers_by_name.values()
    pids = [s.node_process.pid for s in servers if s.node_process]
    samples: dict[tuple[int, str], Sample] = collections.defaultdict(Sample)
    for rate in [int(text) for text in options["--rates"].split(",")]:
        for turn in range(int(options["--rounds"])):
            for path in PATHS:
                sample = samples[rate, path]
                before = cpu_seconds(pids)
                generator = _Load(targets_by_path[path], sample)
                seed = f"{options['--seed']}-{rate}-{turn}"
                count = int(options["--connections"])
                gc.collect()
                asyncio.run(
                    generator.run(rate, float(options["--seconds"]), count, seed)
                )
                sample.cpu_s += cpu_seconds(pids) - before
    return samples


def report(samples: dict[tuple[int, str], Sample]) -> list[dict[str, object]]:
    """Print the table and return its rows."""
    rows: list[dict[str, object]] = []
    print("calls/s  path       calls  failed   p50 ms   p99 ms  p99.9 ms", end="")
    print("  added p50  added p99  added p99.9  node CPU ms/call")
    for (rate, path), sample in samples.items():
        direct = samples[rate, "direct"].latencies_s
        values = [1000 * quantile(sample.latencies_s, q) for q in QUANTILES]
        base = [1000 * quantile(direct, q) for q in QUANTILES]
        added = [a - b for a, b in zip(values, base, strict=True)]
        cpu_ms = 1000 * sample.cpu_s / sample.calls
        print(
            f"{rate:7d}  {path:9s} {sample.calls:6d} {sample.failures:7d} "
            f"{values[0]:8.2f} {values[1]:8.2f} {values[2]:9.2f} "
            f"{added[0]:10.2f} {added[1]:10.2f} {added[2]:12.2f} {cpu_ms:17.2f}"
        )
        rows.append(
            {
                "rate": rate,
                "path": path,
                "calls": sample.calls,
                "failures": sample.failures,
                "quantiles_ms": values,
                "added_ms": added,
                "cpu_ms_per_call": cpu_ms,
            }
        )
    return rows


def main() -> None:
    options = docopt.docopt(__doc__)
    operations = {"near": OPERATIONS, "far": OPERATIONS}
    servers = {"near-1": ("near", "here-1"), "far-1": ("far", "here-2")}
    with deployment.Deployment(RULES, operations, servers) as running:
        node = running.servers_by_name["near-1"].node_process
        assert node is not None
        idle_memory = memory_mb(node.pid)
        samples = measure(options, running)
        loaded_memory = memory_mb(node.pid)
    rows = report(samples)
    print(
        f"idle node memory: {idle_memory[0]:.1f} MB resident, "
        f"{idle_memory[1]:.1f} MB private"
    )
    print(
        f"node memory after load: {loaded_memory[0]:.1f} MB resident, "
        f"{loaded_memory[1]:.1f} MB private"
    )
    if options["--json"]:
        pathlib.Path(options["--json"]).write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
