"""Compares the balancing policies side by side on both deployments.

Usage:
  compare [--seeds=N] [--seconds=S] [--case=NAME]... [--policy=NAME]...
          [--deployment=NAME]... [--service-ms=MS] [--slots=N]

Options:
  --seeds=N          Seeds for each figure [default: 5].
  --seconds=S        Length of the load in each run [default: 6].
  --case=NAME        Only this case: shifting, slow, fail-fast, paused, overload.
  --policy=NAME      Only this policy.
  --deployment=NAME  Only this deployment.
  --service-ms=MS    Mean time of a request [default: 100].
  --slots=N          Requests that a server runs at once [default: 10]. With fewer
                     slots, shorter requests cause the same number of calls.

The policies take turns within each seed, so that they meet the same arrivals, the same
service times and the same state of the machine. Figures are medians over the seeds,
with the lowest and the highest in brackets. ``oracle`` reads the true queues: all
calls enter through one process that counts what it sent to each endpoint.
"""

from __future__ import annotations

import dataclasses
import random
import statistics
import sys
import time
from collections.abc import Callable, Sequence

import docopt

from bench import demo, deployment, deployment_plans, history, load_generator, oracle

POLICIES = ("adaptive", "least-outstanding", "round-robin", "random", oracle.NAME)
CAPACITY_SHARE = 0.7
OVERLOAD_SHARE = 1.5
FAULT_AT_S = 2.0
REACTION_S = 0.5
DEADLINE_MS = 2000
COLUMNS = (
    "deployment",
    "case",
    "policy",
    "p50 ms",
    "p99 ms",
    "goodput/s",
    "orders %",
    "refused %",
    "unknown %",
    "retries %",
    "probes/s",
    "violations",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Load as a share of capacity, and the fault of one server."""

    name: str
    share: float
    noise: bool = True
    begin: Callable[[deployment.Deployment, str], object] | None = None
    end: Callable[[deployment.Deployment, str], object] | None = None


CASES = (
    Case("shifting", CAPACITY_SHARE),
    Case("quiet", CAPACITY_SHARE, noise=False),
    Case(
        "slow",
        CAPACITY_SHARE,
        False,
        lambda running, name: running.set_switches(name, slow=10.0),
    ),
    Case(
        "fail-fast",
        CAPACITY_SHARE,
        False,
        lambda running, name: running.set_switches(name, fail=True),
    ),
    Case(
        "paused",
        CAPACITY_SHARE,
        False,
        lambda running, name: running.set_switches(name, freeze_s=3.0),
    ),
    Case("full", 1.0),
    Case("overload", OVERLOAD_SHARE),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """What one run showed."""

    p50_ms: float
    p99_ms: float
    goodput: float
    orders_ratio: float
    refused_ratio: float
    unknown_ratio: float
    retry_ratio: float
    probes_per_s: float
    violations: int


def measure(
    plan: deployment_plans.Plan,
    case: Case,
    policy: str,
    seed: int,
    seconds: float,
    service_ms: float,
) -> Figures:
    """Run one case under one policy."""
    options = [f"--service-ms={service_ms}", f"--seed={seed}"]
    options += ["--noise"] if case.noise else []
    running = deployment_plans.create_deployment(plan, tuple(options), DEADLINE_MS)
    for name in running.servers_by_name:
        if policy != oracle.NAME:
            running.settings_by_server[name] = {"balance_policy": policy}
    faulty = plan.server_names(plan.services[0].name)[0]
    with running:
        deployment_plans.wait_for_key_ownership()
        addresses = deployment_plans.addresses_by_entry(running)
        calls = _calls(plan, case, seed, seconds, service_ms, list(addresses))
        actions = []
        if case.begin is not None:
            actions.append((FAULT_AT_S, lambda: case.begin(running, faulty)))
        hosts = plan.hosts_by_service
        if policy == oracle.NAME:
            runner: load_generator.Runner = oracle.Runner(running, hosts, seed)
        else:
            runner = load_generator.Runner(addresses, hosts)
        records = runner.run(calls, actions)
        time.sleep(demo.SETTLE_S)
        executions, probes = history.read_logs(running.log_directory)
    observed = history.History(records, executions, probes)
    violations = history.check(observed) if policy != oracle.NAME else []
    return summarise(records, executions, probes, case, seconds, len(violations))


def summarise(
    records: Sequence[load_generator.CallRecord],
    executions: Sequence[history.Execution],
    probes: Sequence[history.Probe],
    case: Case,
    seconds: float,
    violations: int,
) -> Figures:
    """Return the figures of one run; with a fault, of the time after 500 ms of it."""
    start = min(record.intended_at for record in records)
    after = FAULT_AT_S + REACTION_S if case.begin is not None else 0.0
    late = [r for r in records if r.intended_at >= start + after]
    answered = [r for r in late if r.outcome == "answered" and r.status == 200]
    # A call that is never answered counts with the time until its caller knew.
    latencies = [r.latency_s * 1000 for r in late if r.ran != "not-run"]
    orders = [r for r in late if r.weight > 1]
    answered_orders = sum(r.weight > 1 for r in answered)
    started = {execution.token for execution in executions}
    return Figures(
        load_generator.quantile(latencies, 0.5),
        load_generator.quantile(latencies, 0.99),
        sum(r.weight for r in answered) / (seconds - after),
        answered_orders / len(orders) if orders else 1.0,
        sum(r.ran == "not-run" for r in late) / len(late),
        sum(r.outcome != "answered" and r.ran != "not-run" for r in late) / len(late),
        len(executions) / max(1, len(started)) - 1.0,
        len(probes) / seconds,
        violations,
    )


def _calls(
    plan: deployment_plans.Plan,
    case: Case,
    seed: int,
    seconds: float,
    service_ms: float,
    entries: Sequence[str],
) -> list[load_generator.PlannedCall]:
    """Load each service at the same share of its capacity."""
    calls: list[load_generator.PlannedCall] = []
    for index, service in enumerate(plan.services):
        capacity = service.server_count * plan.slots * 1000 / service_ms
        rng = random.Random(f"compare/{seed}/{service.name}")
        times = load_generator.poisson_arrivals(rng, capacity * case.share, seconds)
        calls += load_generator.plan_calls(
            100 * seed + index, times, service.kinds, entries
        )
    return sorted(calls, key=lambda call: call.offset_s)


def row(figures: Sequence[Figures]) -> list[str]:
    """Return cells with the median and the spread over seeds."""
    cells = []
    for name, scale, digits in (
        ("p50_ms", 1, 0),
        ("p99_ms", 1, 0),
        ("goodput", 1, 0),
        ("orders_ratio", 100, 1),
        ("refused_ratio", 100, 2),
        ("unknown_ratio", 100, 2),
        ("retry_ratio", 100, 1),
        ("probes_per_s", 1, 1),
        ("violations", 1, 0),
    ):
        values = [getattr(item, name) * scale for item in figures]
        middle = f"{statistics.median(values):.{digits}f}"
        spread = f"{min(values):.{digits}f}-{max(values):.{digits}f}"
        cells.append(f"{middle} ({spread})")
    return cells


def ratios(
    figures_by_policy: dict[str, list[Figures]], policy: str = "adaptive"
) -> list[str]:
    """Return the p99 of `policy` relative to the others, paired by seed."""
    found = []
    own = figures_by_policy.get(policy, [])
    for other, figures in figures_by_policy.items():
        if other == policy or not own:
            continue
        pairs = zip(own, figures, strict=True)
        values = [mine.p99_ms / max(1e-9, theirs.p99_ms) for mine, theirs in pairs]
        middle = statistics.median(values)
        found.append(
            f"p99 / {other}: {middle:.2f} ({min(values):.2f}-{max(values):.2f})"
        )
    return found


def main(arguments: list[str] | None = None) -> int:
    """Run the comparison and print its table."""
    options = docopt.docopt(__doc__, arguments)
    deployment.exit_on_sigterm()
    seconds, service_ms = float(options["--seconds"]), float(options["--service-ms"])
    names = options["--policy"] or POLICIES
    wanted = options["--case"] or [case.name for case in CASES]
    plans = [
        dataclasses.replace(plan, slots=int(options["--slots"]))
        for plan in deployment_plans.PLANS
        if plan.name
        in (options["--deployment"] or [p.name for p in deployment_plans.PLANS])
    ]
    rows: list[Sequence[str]] = [COLUMNS]
    notes = []
    for plan in plans:
        for case in CASES:
            if case.name not in wanted:
                continue
            figures_by_policy: dict[str, list[Figures]] = {name: [] for name in names}
            for seed in range(1, int(options["--seeds"]) + 1):
                for name in names:
                    figures = measure(plan, case, name, seed, seconds, service_ms)
                    figures_by_policy[name].append(figures)
                    print(plan.name, case.name, name, seed, figures, flush=True)
            for name in names:
                cells = row(figures_by_policy[name])
                rows.append([plan.name, case.name, name, *cells])
            notes += [
                f"{plan.name} {case.name}: {note}" for note in ratios(figures_by_policy)
            ]
    demo.print_table(rows)
    print("\n".join(notes))
    return 0


if __name__ == "__main__":
    sys.exit(main())
