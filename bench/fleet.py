"""Measures the resource use of the gossip agents of many nodes, without calls.

Usage:
  fleet.py [options] [--steps=LIST]

Options:
  --steps=LIST      Runs as nodes:services:endpoints:changes, comma-separated
                    [default: 8:4:16:12,16:4:16:12,32:4:16:12].
  --seconds=S       Duration of the measurement in a run [default: 20].
  --settle=S        Time between start and measurement, seconds [default: 12].
  --output=FILE     Append the results to FILE as JSON lines.
  --members=N       Additional members without a process [default: 0].
  --used=N          Services that each node calls; 0 for all [default: 0].

``endpoints`` is the number of all endpoints in the published object set, and
``changes`` is the number of sets published per minute. Each node is a process with the
gossip thread and the platform reader. CPU time and memory are read from /proc, bytes
and messages from counters of the nodes, and reads from the fake platform.
"""

from __future__ import annotations

import dataclasses
import json
import os
import pathlib
import random
import statistics
import subprocess
import sys
import tempfile
import time

import docopt
import zmq.auth

from bench import deployment
from bench import platform as fake_platform
from snipelink import model
from snipelink.objects import documents

FAILURE_DOMAINS = 11
REGIONS = 4
MAX_NODES = 128
MAX_MEMORY_BYTES = 8 * 2**30
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
FORCE_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Size of one run."""

    nodes: int
    services: int
    endpoints: int
    changes_per_minute: float


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """CPU time and memory of one process."""

    cpu_s: float
    private_bytes: int
    resident_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Report that one node prints at the end of a run."""

    name: str
    started_at: float
    bytes_per_s: float
    messages_per_s: float
    in_force_at_by_revision: dict[str, float]
    imports: Usage
    members: int
    watching: bool
    counts: dict[str, int]


@dataclasses.dataclass(slots=True)
class Figures:
    """Results of one run."""

    step: Step
    members: int = 0
    cpu_percent: float = 0.0
    cpu_percent_watching: float = 0.0
    private_mb: float = 0.0
    resident_mb: float = 0.0
    private_above_imports_mb: float = 0.0
    bytes_per_s: float = 0.0
    bytes_per_s_most: float = 0.0
    messages_per_s: float = 0.0
    platform_reads_per_s: float = 0.0
    platform_reads_most: int = 0
    start_s: float = 0.0
    in_force_s_median: float = 0.0
    in_force_s_p99: float = 0.0
    in_force_s_most: float = 0.0
    slowest_node: str = ""
    missed: int = 0


def usage(pid: int) -> Usage:
    """Return the CPU time and memory of a process."""
    root = pathlib.Path(f"/proc/{pid}")
    fields = (root / "stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    private = resident = 0
    for line in (root / "smaps_rollup").read_text().splitlines():
        if line.startswith(("Private_Clean", "Private_Dirty")):
            private += int(line.split()[1]) * 1024
        elif line.startswith("Rss"):
            resident = int(line.split()[1]) * 1024
    return Usage(cpu_s, private, resident)


class Fleet:
    """Context manager that runs the platform and the nodes of one run."""

    def __init__(self, step: Step, extra_members: int, services_per_node: int) -> None:
        self.step = step
        self._services_per_node = services_per_node
        self.platform = fake_platform.Platform()
        self.revision = 0
        self.published_at_by_revision: dict[int, float] = {}
        self._extra_members = extra_members
        self._directory = tempfile.TemporaryDirectory()
        self._ports = deployment.free_ports(step.nodes)
        self._rng = random.Random(1)
        self.processes_by_name: dict[str, subprocess.Popen[str]] = {}

    def __enter__(self) -> Fleet:
        self.platform.start()
        self.publish()
        self._list_instances()
        root = pathlib.Path(self._directory.name)
        key = zmq.auth.create_certificates(root, "key")[1]
        for index in range(self.step.nodes):
            self._start(index, key)
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes_by_name.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.platform.stop()
        self._directory.cleanup()

    def publish(self) -> None:
        """Publish the next object set, in which one service has changed."""
        self.revision += 1
        rendered = documents.render(self._object_set(), int(time.time() * 1000))
        self.published_at_by_revision[self.revision] = time.monotonic()
        self.platform.publish(rendered)

    def mark(self) -> None:
        """Mark the start or the end of the measurement in all nodes."""
        for process in self.processes_by_name.values():
            assert process.stdin is not None
            process.stdin.write("mark\n")
            process.stdin.flush()

    def collect(self) -> list[Report]:
        """Stop all nodes and return their reports."""
        reports = []
        for process in self.processes_by_name.values():
            assert process.stdin is not None
            process.stdin.close()
        for process in self.processes_by_name.values():
            assert process.stdout is not None
            fields = json.loads(process.stdout.read().splitlines()[-1])
            fields["imports"] = Usage(**fields["imports"])
            reports.append(Report(**fields))
            process.wait(STOP_TIMEOUT_S)
        return reports

    def _start(self, index: int, key: str) -> None:
        name = f"node-{index}"
        values = {
            "node": name,
            "service": f"service-{index % self.step.services:03d}",
            "failure_domain": _domain(index),
            "region": f"region-{index % FAILURE_DOMAINS % REGIONS}",
            "caller_listen": "127.0.0.1:1",
            "call_listen": "127.0.0.1:1",
            "endpoint": "127.0.0.1:1",
            "control_listen": f"127.0.0.1:{self._ports[index]}",
            "control_key_files": [key],
            "control_seeds": [
                f"127.0.0.1:{port}"
                for port in self._rng.sample(self._ports, min(6, len(self._ports)))
            ],
            "platform_urls": [self.platform.url],
            "log_level": "error",
        }
        path = pathlib.Path(self._directory.name) / f"{name}.json"
        path.write_text(json.dumps(values))
        self.processes_by_name[name] = subprocess.Popen(
            [sys.executable, "-m", "bench.control_node", str(path)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def _list_instances(self) -> None:
        instances = [
            fake_platform.Instance(
                f"node-{i}",
                failure_domain=_domain(i),
                control_address=f"127.0.0.1:{port}",
            )
            for i, port in enumerate(self._ports)
        ]
        # Members without a control address enlarge the instance list and the member
        # tables but cause no network traffic.
        instances += [
            fake_platform.Instance(f"absent-{i:04d}", failure_domain="absent")
            for i in range(self._extra_members)
        ]
        self.platform.set_instances(instances)

    def _object_set(self) -> model.ObjectSet:
        """Return the object set of this revision; node i runs service i modulo N."""
        services = {}
        for number in range(self.step.services):
            name = f"service-{number:03d}"
            indexes = range(number, self.step.endpoints, self.step.services)
            changed = number == self.revision % self.step.services
            endpoints = {
                f"node-{i}": self._endpoint(i, name, 1 + (self.revision * changed))
                for i in indexes
            }
            operations = tuple(
                model.Operation(f"op-{k}", "GET", f"/op-{k}/*", True) for k in range(6)
            )
            services[name] = model.Service(name, operations, endpoints)
        return model.ObjectSet(self.revision, "", self._rules(), services)

    def _rules(self) -> tuple[model.Rule, ...]:
        """Return routing rules by which each node calls the chosen services."""
        names = [f"service-{number:03d}" for number in range(self.step.services)]
        if not self._services_per_node:
            return tuple(model.Rule(f"to-{n}", n, path_prefix=f"/{n}") for n in names)
        callers = names[: self.step.nodes]
        calls = [
            (caller, names[(index + offset) % len(names)])
            for index, caller in enumerate(callers)
            for offset in range(self._services_per_node)
        ]
        calls += [(name, name) for name in names[self.step.nodes :]]
        return tuple(
            model.Rule(f"{caller}-{name}", name, caller, path_prefix=f"/{name}")
            for caller, name in calls
        )

    def _endpoint(self, index: int, service: str, slots: int) -> model.Endpoint:
        control = f"127.0.0.1:{self._ports[index]}" if index < len(self._ports) else ""
        return model.Endpoint(
            f"node-{index}",
            service,
            _domain(index),
            f"region-{index % FAILURE_DOMAINS % REGIONS}",
            "127.0.0.1:1",
            "127.0.0.1:1",
            control,
            slots=slots,
        )


def _domain(index: int) -> str:
    return f"domain-{index % FAILURE_DOMAINS:02d}"


def run(
    step: Step,
    seconds: float,
    settle_s: float,
    extra_members: int,
    services_per_node: int,
) -> Figures:
    """Measure a fleet of one size and return the results."""
    if step.nodes > MAX_NODES:
        raise ValueError(f"a run can have at most {MAX_NODES} nodes")
    with Fleet(step, extra_members, services_per_node) as fleet:
        time.sleep(settle_s)
        usages = _usage_by_node(fleet)
        if sum(u.resident_bytes for u in usages.values()) > MAX_MEMORY_BYTES:
            raise MemoryError(
                "the nodes use more memory than the limit of this program"
            )
        fleet.mark()
        first = fleet.revision
        started = time.monotonic()
        interval_s = 60.0 / step.changes_per_minute if step.changes_per_minute else 1e9
        next_at = started + min(2.0, interval_s)
        while time.monotonic() < started + seconds:
            if time.monotonic() >= next_at:
                fleet.publish()
                next_at += interval_s
            time.sleep(0.02)
        elapsed = time.monotonic() - started
        fleet.mark()
        after = _usage_by_node(fleet)
        reads = fleet.platform.reads_by_second()
        time.sleep(3.0)  # time for all nodes to apply the last set
        reports = fleet.collect()
        return _summarise(fleet, reports, usages, after, elapsed, reads, first, started)


def _usage_by_node(fleet: Fleet) -> dict[str, Usage]:
    return {name: usage(p.pid) for name, p in fleet.processes_by_name.items()}


def _summarise(
    fleet: Fleet,
    reports: list[Report],
    before: dict[str, Usage],
    after: dict[str, Usage],
    elapsed: float,
    reads: dict[int, int],
    first: int,
    started: float,
) -> Figures:
    figures = Figures(fleet.step)
    cpu = {n: 100 * (after[n].cpu_s - before[n].cpu_s) / elapsed for n in after}
    watching = [cpu[r.name] for r in reports if r.watching]
    figures.members = round(statistics.mean(r.members for r in reports))
    figures.cpu_percent = statistics.mean(cpu.values())
    figures.cpu_percent_watching = statistics.mean(watching) if watching else 0.0
    figures.private_mb = _mean_mb(u.private_bytes for u in after.values())
    figures.resident_mb = _mean_mb(u.resident_bytes for u in after.values())
    memory_above_imports = (
        after[r.name].private_bytes - r.imports.private_bytes for r in reports
    )
    figures.private_above_imports_mb = _mean_mb(memory_above_imports)
    figures.bytes_per_s = statistics.mean(r.bytes_per_s for r in reports)
    figures.bytes_per_s_most = max(r.bytes_per_s for r in reports)
    figures.messages_per_s = statistics.mean(r.messages_per_s for r in reports)
    measured = [
        n for second, n in reads.items() if started <= second < started + elapsed
    ]
    figures.platform_reads_per_s = sum(measured) / elapsed
    figures.platform_reads_most = max(reads.values())
    _summarise_delays(fleet, reports, figures, first)
    return figures


def _summarise_delays(
    fleet: Fleet, reports: list[Report], figures: Figures, first: int
) -> None:
    """Summarise the delays from publishing a set until the nodes apply it."""
    delays: list[tuple[float, str]] = []
    for report in reports:
        in_force = {int(k): v for k, v in report.in_force_at_by_revision.items()}
        start_at = min(in_force.values(), default=float("nan"))
        figures.start_s = max(figures.start_s, start_at - report.started_at)
        for revision, published_at in fleet.published_at_by_revision.items():
            if revision <= first:
                continue
            reached = [at for r, at in in_force.items() if r >= revision]
            if reached:
                delays.append((min(reached) - published_at, report.name))
            else:
                figures.missed += 1
    if delays:
        delays.sort()
        figures.in_force_s_median = delays[len(delays) // 2][0]
        figures.in_force_s_p99 = delays[int(len(delays) * 0.99)][0]
        figures.in_force_s_most, figures.slowest_node = delays[-1]


def _mean_mb(sizes: object) -> float:
    return statistics.mean(sizes) / 1e6  # type: ignore[call-overload,no-any-return]


COLUMNS = (
    "members",
    "cpu_percent",
    "cpu_percent_watching",
    "private_mb",
    "resident_mb",
    "private_above_imports_mb",
    "bytes_per_s",
    "bytes_per_s_most",
    "messages_per_s",
    "platform_reads_per_s",
    "platform_reads_most",
    "start_s",
    "in_force_s_median",
    "in_force_s_p99",
    "in_force_s_most",
    "missed",
)


def print_table(results: list[Figures]) -> None:
    """Print the results with one column per run."""
    heads = [
        f"{f.step.nodes}:{f.step.services}:{f.step.endpoints}:"
        f"{f.step.changes_per_minute:g}"
        for f in results
    ]
    print(f"{'nodes:services:endpoints:changes':32}", *(f"{h:>16}" for h in heads))
    for column in COLUMNS:
        cells = [f"{getattr(f, column):16.3f}" for f in results]
        print(f"{column:32}", *cells)
    print(f"{'slowest_node':32}", *(f"{f.slowest_node:>16}" for f in results))


def print_slopes(results: list[Figures]) -> None:
    """Print least-squares slopes over runs that differ in only one dimension."""
    for dimension in (
        "nodes",
        "services",
        "endpoints",
        "changes_per_minute",
        "members",
    ):
        groups: dict[tuple[object, ...], list[Figures]] = {}
        for figures in results:
            groups.setdefault(_other_dimensions(figures, dimension), []).append(figures)
        for group in groups.values():
            xs = [_value(f, dimension) for f in group]
            if len(set(xs)) < 2:
                continue
            print(f"per {dimension} ({min(xs):g} to {max(xs):g}, {len(group)} runs):")
            for column in COLUMNS[1:9]:
                ys = [getattr(f, column) for f in group]
                slope, intercept = statistics.linear_regression(xs, ys)
                print(f"  {column:30} {slope:+.6f} from {intercept:.3f}")


def _value(figures: Figures, dimension: str) -> float:
    holder = figures if dimension == "members" else figures.step
    return float(getattr(holder, dimension))


def _other_dimensions(figures: Figures, dimension: str) -> tuple[object, ...]:
    step = dataclasses.asdict(figures.step)
    if dimension != "members":
        step.pop(dimension)
    absent = figures.members - figures.step.nodes
    return (*step.values(), "" if dimension == "members" else absent > 0)


def main(argv: list[str] | None = None) -> None:
    arguments = docopt.docopt(__doc__, argv)
    results = []
    for text in arguments["--steps"].split(","):
        nodes, services, endpoints, changes = text.split(":")
        step = Step(int(nodes), int(services), int(endpoints), float(changes))
        figures = run(
            step,
            float(arguments["--seconds"]),
            float(arguments["--settle"]),
            int(arguments["--members"]),
            int(arguments["--used"]),
        )
        results.append(figures)
        if arguments["--output"]:
            with pathlib.Path(arguments["--output"]).open("a") as output:
                output.write(json.dumps(dataclasses.asdict(figures)) + "\n")
        print_table([figures])
    print()
    print_table(results)
    print_slopes(results)


if __name__ == "__main__":
    main()
