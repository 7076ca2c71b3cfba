"""Compares the balancing policies on both reference deployments.

Usage:
  compare [--seeds=N] [--seconds=S] [--case=NAME]... [--policy=NAME]...
          [--deployment=NAME]... [--service-ms=MS] [--slots=N]

Options:
  --seeds=N          Number of seeds for each result [default: 5].
  --seconds=S        Duration of the load in each run [default: 6].
  --case=NAME        Only this case: shifting, slow, fail-fast, paused, overload.
  --policy=NAME      Only this policy.
  --deployment=NAME  Only this deployment.
  --service-ms=MS    Mean service time, milliseconds [default: 100].
  --slots=N          Limit of concurrent requests of a server [default: 10]. Fewer
                     slots with a shorter service time give the same call rate.

For each seed, all policies run one after the other, so that they have the same
arrivals, the same service times and a similar load of the machine. The table shows the
median over the seeds with the range in parentheses. ``oracle`` has exact load
information: all calls pass through one process that counts the outstanding calls of
each endpoint.
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
NORMAL_LOAD_SHARE = 0.7
OVERLOAD_SHARE = 1.5
FAULT_AT_S = 2.0
FAULT_REACTION_S = 0.5
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
    """Load as a share of the capacity, and the fault that is injected into a server."""

    name: str
    share: float
    noise: bool = True
    begin: Callable[[deployment.Deployment, str], object] | None = None
    end: Callable[[deployment.Deployment, str], object] | None = None


CASES = (
    Case("shifting", NORMAL_LOAD_SHARE),
    Case("quiet", NORMAL_LOAD_SHARE, noise=False),
    Case(
        "slow",
        NORMAL_LOAD_SHARE,
        False,
        lambda running, name: running.set_switches(name, slow=10.0),
    ),
    Case(
        "fail-fast",
        NORMAL_LOAD_SHARE,
        False,
        lambda running, name: running.set_switches(name, fail=True),
    ),
    Case(
        "paused",
        NORMAL_LOAD_SHARE,
        False,
        lambda running, name: running.set_switches(name, freeze_s=3.0),
    ),
    Case("full", 1.0),
    Case("overload", OVERLOAD_SHARE),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Results:
    """Results of one run."""

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
) -> Results:
    """Run one case under one policy."""
    options = [f"--service-ms={service_ms}", f"--seed={seed}"]
    options += ["--noise"] if case.noise else []
    running = deployment_plans.create_deployment(plan, tuple(options), DEADLINE_MS)
    for name in running.servers_by_name:
        if policy != oracle.NAME:
            running.settings_by_server[name] = {"balance_policy": policy}
    faulty_server = plan.server_names(plan.services[0].name)[0]
    with running:
        deployment_plans.wait_for_key_ownership()
        addresses = deployment_plans.addresses_by_entry(running)
        calls = _plan_calls(plan, case, seed, seconds, service_ms, list(addresses))
        actions = []
        if case.begin is not None:
            actions.append((FAULT_AT_S, lambda: case.begin(running, faulty_server)))
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
) -> Results:
    """Return the results of one run.

    With a fault, only calls from 500 ms after its start are counted.
    """
    start = min(record.intended_at for record in records)
    measured_from_s = FAULT_AT_S + FAULT_REACTION_S if case.begin is not None else 0.0
    measured_records = [r for r in records if r.intended_at >= start + measured_from_s]
    answered = [
        r for r in measured_records if r.outcome == "answered" and r.status == 200
    ]
    # The latency of a call without an answer is the time until its caller gave up or
    # received an error. Calls that were refused without running are left out.
    latencies = [r.latency_s * 1000 for r in measured_records if r.ran != "not-run"]
    orders = [r for r in measured_records if r.weight > 1]
    answered_orders = sum(r.weight > 1 for r in answered)
    started = {execution.token for execution in executions}
    return Results(
        load_generator.quantile(latencies, 0.5),
        load_generator.quantile(latencies, 0.99),
        sum(r.weight for r in answered) / (seconds - measured_from_s),
        answered_orders / len(orders) if orders else 1.0,
        sum(r.ran == "not-run" for r in measured_records) / len(measured_records),
        sum(r.outcome != "answered" and r.ran != "not-run" for r in measured_records)
        / len(measured_records),
        len(executions) / max(1, len(started)) - 1.0,
        len(probes) / seconds,
        violations,
    )


def _plan_calls(
    plan: deployment_plans.Plan,
    case: Case,
    seed: int,
    seconds: float,
    service_ms: float,
    entries: Sequence[str],
) -> list[load_generator.PlannedCall]:
    """Return calls that load each service with the same share of its capacity."""
    calls: list[load_generator.PlannedCall] = []
    for index, service in enumerate(plan.services):
        capacity = service.server_count * plan.slots * 1000 / service_ms
        rng = random.Random(f"compare/{seed}/{service.name}")
        times = load_generator.poisson_arrivals(rng, capacity * case.share, seconds)
        calls += load_generator.plan_calls(
            100 * seed + index, times, service.kinds, entries
        )
    return sorted(calls, key=lambda call: call.offset_s)


def row(results: Sequence[Results]) -> list[str]:
    """Return the cells of a row: median and range over the seeds."""
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
        values = [getattr(item, name) * scale for item in results]
        median = f"{statistics.median(values):.{digits}f}"
        spread = f"{min(values):.{digits}f}-{max(values):.{digits}f}"
        cells.append(f"{median} ({spread})")
    return cells


def ratios(
    results_by_policy: dict[str, list[Results]], policy: str = "adaptive"
) -> list[str]:
    """Return the p99 latency of `policy` relative to the others, paired by seed."""
    lines = []
    own_results = results_by_policy.get(policy, [])
    for other_policy, results in results_by_policy.items():
        if other_policy == policy or not own_results:
            continue
        pairs = zip(own_results, results, strict=True)
        values = [
            own_result.p99_ms / max(1e-9, other_result.p99_ms)
            for own_result, other_result in pairs
        ]
        median = statistics.median(values)
        lines.append(
            f"p99 / {other_policy}: {median:.2f} ({min(values):.2f}-{max(values):.2f})"
        )
    return lines


def main(arguments: list[str] | None = None) -> int:
    """Run the comparison and print the table."""
    options = docopt.docopt(__doc__, arguments)
    deployment.exit_on_sigterm()
    seconds, service_ms = float(options["--seconds"]), float(options["--service-ms"])
    names = options["--policy"] or POLICIES
    chosen_cases = options["--case"] or [case.name for case in CASES]
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
            if case.name not in chosen_cases:
                continue
            results_by_policy: dict[str, list[Results]] = {name: [] for name in names}
            for seed in range(1, int(options["--seeds"]) + 1):
                for name in names:
                    results = measure(plan, case, name, seed, seconds, service_ms)
                    results_by_policy[name].append(results)
                    print(plan.name, case.name, name, seed, results, flush=True)
            for name in names:
                cells = row(results_by_policy[name])
                rows.append([plan.name, case.name, name, *cells])
            notes += [
                f"{plan.name} {case.name}: {note}" for note in ratios(results_by_policy)
            ]
    demo.print_table(rows)
    print("\n".join(notes))
    return 0


if __name__ == "__main__":
    sys.exit(main())
