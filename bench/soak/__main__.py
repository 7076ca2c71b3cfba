"""Injects random faults into deployments of real nodes and checks invariants.

Usage:
  soak [options]
  soak --help

Options:
  --first=N    Seed of the first run; each further run adds 1 [default: 1].
  --seeds=N    Number of runs [default: 5].
  --kept       Also run the seeds kept as regression tests.
  --jobs=N     Number of runs at a time [default: 1].
  --nodes=N    Nodes per run [default: 4].
  --seconds=S  Length of the period in which faults begin [default: 8].
  --logs=DIR   Directory for the logs of runs that violate an invariant.

Prints one line per run, and the violations. Exits with 1 if there were any.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import pathlib
import shutil
import sys
import tempfile

import docopt

from bench.soak import checks, plan, run


def run_seed(
    seed: int, node_count: int, fault_window_s: float, log_directory: str | None
) -> tuple[bool, str]:
    """Run one seed; return whether all invariants held, and a report of the run."""
    with tempfile.TemporaryDirectory(prefix="soak-") as directory_name:
        directory = pathlib.Path(directory_name)
        recorded = asyncio.run(
            run.Run(seed, node_count, fault_window_s, directory).execute()
        )
        violations = checks.check(recorded)
        if violations and log_directory:
            target = pathlib.Path(log_directory) / f"seed-{seed}"
            shutil.copytree(directory, target, dirs_exist_ok=True)
    events = ", ".join(
        f"{event.kind} {event.node} at {event.start_s:.1f} for {event.duration_s:.1f}"
        for event in plan.draw(seed, node_count, fault_window_s)
    )
    served = sum(call.status == 200 for call in recorded.calls)
    line = f"seed {seed}: {served} of {len(recorded.calls)} calls served; {events}"
    for violation in violations[:10]:
        line += f"\n  BROKEN: {violation.invariant}: {violation.detail}"
    if len(violations) > 10:
        line += f"\n  and {len(violations) - 10} more"
    return not violations, line


def main() -> int:
    """Run the seeds; return 0 if no run violated an invariant, otherwise 1."""
    arguments = docopt.docopt(__doc__)
    first, seed_count = int(arguments["--first"]), int(arguments["--seeds"])
    seeds_to_run = [*range(first, first + seed_count)]
    if arguments["--kept"]:
        seeds_to_run += [
            seed for seed in plan.REGRESSION_SEEDS if seed not in seeds_to_run
        ]
    node_count, fault_window_s = (
        int(arguments["--nodes"]),
        float(arguments["--seconds"]),
    )
    with concurrent.futures.ProcessPoolExecutor(int(arguments["--jobs"])) as pool:
        pending_runs = [
            pool.submit(run_seed, seed, node_count, fault_window_s, arguments["--logs"])
            for seed in seeds_to_run
        ]
        failed_count = 0
        for seed, pending in zip(seeds_to_run, pending_runs, strict=True):
            try:
                passed, line = pending.result()
            except Exception as error:
                # An error in the soak itself; the other seeds still run.
                passed, line = False, f"seed {seed}: not completed: {error!r}"
            failed_count += not passed
            print(line, flush=True)
    print(f"{len(seeds_to_run)} runs, {failed_count} with an invariant violated")
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main())
