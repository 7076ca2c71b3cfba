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


def play(seed: int, count: int, seconds: float, logs: str | None) -> tuple[bool, str]:
    """Play one seed; return whether all promises held, and a line on it."""
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        folder = pathlib.Path(name)
        seen = asyncio.run(run.Run(seed, count, seconds, folder).play())
        violations = checks.check(seen)
        if violations and logs:
            target = pathlib.Path(logs) / f"seed-{seed}"
            shutil.copytree(folder, target, dirs_exist_ok=True)
    kinds = ", ".join(
        f"{event.kind} {event.node} at {event.at:.1f} for {event.for_s:.1f}"
        for event in plan.draw(seed, count, seconds)
    )
    served = sum(sent.status == 200 for sent in seen.sent)
    line = f"seed {seed}: {served} of {len(seen.sent)} calls served; {kinds}"
    for each in violations[:10]:
        line += f"\n  BROKEN: {each.promise}: {each.detail}"
    if len(violations) > 10:
        line += f"\n  and {len(violations) - 10} more"
    return not violations, line


def main() -> int:
    """Play the seeds; return 0 only if no promise was broken."""
    arguments = docopt.docopt(__doc__)
    first, seeds = int(arguments["--first"]), int(arguments["--seeds"])
    played = [*range(first, first + seeds)]
    if arguments["--kept"]:
        played += [seed for seed in plan.KEPT_SEEDS if seed not in played]
    count, seconds = int(arguments["--nodes"]), float(arguments["--seconds"])
    with concurrent.futures.ProcessPoolExecutor(int(arguments["--jobs"])) as pool:
        plays = [
            pool.submit(play, seed, count, seconds, arguments["--logs"])
            for seed in played
        ]
        broken = 0
        for seed, each in zip(played, plays, strict=True):
            try:
                held, line = each.result()
            except Exception as error:
                # A fault of the soak itself; the other seeds are still worth playing.
                held, line = False, f"seed {seed}: not played: {error!r}"
            broken += not held
            print(line, flush=True)
    print(f"{len(played)} runs, {broken} with a promise broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
