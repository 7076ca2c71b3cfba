"""Plays randomized faults against real nodes and checks what callers see.

Usage:
  soak [options]
  soak --help

Options:
  --first=N    First seed; each further run takes the next one [default: 1].
  --seeds=N    Number of runs [default: 5].
  --kept       Also play the seeds that failed once.
  --jobs=N     Runs at a time [default: 1].
  --nodes=N    Nodes of a run [default: 4].
  --seconds=S  Time in which faults begin [default: 8].
  --logs=DIR   Keep the logs of runs with violations there.

Prints one line a run. Exits with 1 if a promise was broken.
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
    seed: int, node_count: int, fault_window_s: float, logs: str | None
) -> tuple[bool, str]:
    """Play one seed; return whether all promises held, and a line on it."""
    with tempfile.TemporaryDirectory(prefix="soak-") as directory_name:
        folder = pathlib.Path(directory_name)
        recorded = asyncio.run(
            run.Run(seed, node_count, fault_window_s, folder).execute()
        )
        violations = checks.check(recorded)
        if violations and logs:
            target = pathlib.Path(logs) / f"seed-{seed}"
            shutil.copytree(folder, target, dirs_exist_ok=True)
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
    """Play the seeds; return 0 only if no promise was broken."""
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
                # A fault of the soak itself; the other seeds are still worth playing.
                passed, line = False, f"seed {seed}: not played: {error!r}"
            failed_count += not passed
            print(line, flush=True)
    print(f"{len(seeds_to_run)} runs, {failed_count} with a promise broken")
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main())
