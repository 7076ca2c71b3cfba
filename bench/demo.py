"""Runs both reference deployments on loopback and checks the invariants.

Usage:
  demo [--seconds=S] [--rate=N] [--seed=N]

Options:
  --seconds=S  Duration of the load on each deployment [default: 10].
  --rate=N     Calls per second on each deployment [default: 200].
  --seed=N     Seed of arrivals, operations and service times [default: 1].

The endpoints and the platform are fakes. During the load, one endpoint is retired: an
object set is published in which it is leaving, and 4 s later its node and the endpoint
are stopped.
"""

from __future__ import annotations

import dataclasses
import random
import sys
import time
from collections.abc import Sequence

import docopt

from bench import deployment, deployment_plans, history, load_generator

ENDPOINT_OPTIONS = ("--service-ms=15", "--noise")
# Share of the load's duration after which the endpoint is retired.
RETIRE_AT_RATIO = 0.2
STOP_AFTER_S = 4.0
# Time for calls in flight to end before the logs are read.
SETTLE_S = 1.0
REPEAT_RATIO = 0.2
COLUMNS = ("deployment", "calls", "answered", "refused", "unknown", "p50", "p99")


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one deployment."""

    name: str
    records: Sequence[load_generator.CallRecord]
    violations: Sequence[history.Violation]
    problems: Sequence[str]

    def row(self) -> list[str]:
        """Return the cells of the deployment's row in the table."""
        answered = [r for r in self.records if r.outcome == "answered"]
        refused = [r for r in self.records if r.ran == "not-run"]
        latencies = [r.latency_s * 1000 for r in answered]
        return [
            self.name,
            str(len(self.records)),
            str(len(answered)),
            str(len(refused)),
            str(len(self.records) - len(answered) - len(refused)),
            f"{load_generator.quantile(latencies, 0.5):.1f} ms",
            f"{load_generator.quantile(latencies, 0.99):.1f} ms",
        ]


def run(plan: deployment_plans.Plan, seed: int, rate: float, seconds: float) -> Outcome:
    """Run one deployment, retire an endpoint and check the history."""
    retired = plan.server_names(plan.services[0].name)[-1]
    options = (*ENDPOINT_OPTIONS, f"--seed={seed}")
    with deployment_plans.create_deployment(plan, options) as running:
        departures: list[history.Departure] = []
        stops: list[history.PlannedStop] = []
        problems: list[str] = []

        def retire() -> None:
            announced = running.set_leaving(retired, True)
            departures.append(history.Departure(retired, announced))

        def stop() -> None:
            stops.append(history.PlannedStop(retired, time.monotonic()))
            problems.extend(running.stop_server(retired))

        deployment_plans.wait_for_key_ownership()
        addresses = deployment_plans.addresses_by_entry(running)
        entries = [name for name in addresses if name != retired]
        times = load_generator.poisson_arrivals(
            random.Random(f"demo/{seed}"), rate, seconds
        )
        calls = load_generator.plan_calls(
            seed, times, plan.kinds, entries, REPEAT_RATIO
        )
        retire_at = RETIRE_AT_RATIO * seconds
        actions = ((retire_at, retire), (retire_at + STOP_AFTER_S, stop))
        records = load_generator.Runner(addresses, plan.hosts_by_service).run(
            calls, actions
        )
        time.sleep(SETTLE_S)
        executions, probes = history.read_logs(running.log_directory)
    observed = history.History(records, executions, probes, departures, stops)
    if not any(r.outcome == "answered" for r in records):
        problems.append("no call was answered")
    return Outcome(plan.name, records, history.check(observed), problems)


def print_table(rows: Sequence[Sequence[str]]) -> None:
    """Print rows with right-aligned columns."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = zip(row, widths, strict=True)
        print("  ".join(cell.rjust(width) for cell, width in cells))


def main(arguments: list[str] | None = None) -> int:
    """Run the demonstration; return 0 if no check failed and 1 otherwise."""
    options = docopt.docopt(__doc__, arguments)
    deployment.exit_on_sigterm()
    seed, rate = int(options["--seed"]), float(options["--rate"])
    outcomes = [
        run(plan, seed, rate, float(options["--seconds"]))
        for plan in deployment_plans.PLANS
    ]
    rows = [[*COLUMNS, "violations"]]
    rows += [[*item.row(), str(len(item.violations))] for item in outcomes]
    print_table(rows)
    passed = True
    print("checked on every call:")
    for rule in history.Rule:
        found = [v for item in outcomes for v in item.violations if v.rule is rule]
        passed = passed and not found
        print(f"  {'VIOLATED' if found else 'held':8}  not: {rule.value}")
        for violation in found[:3]:
            print(f"            {violation.subject}: {violation.detail}")
    for item in outcomes:
        for problem in item.problems:
            print(f"{item.name}: {problem}")
            passed = False
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
