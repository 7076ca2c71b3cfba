"""Measures the memory of real nodes under loads that fill their buffers.

Usage:
  memory [options]
  memory --help

Options:
  --nodes=N     Nodes per load [default: 4].
  --repeats=N   Plays of each load [default: 1].
  --tree=DIR    Source tree of the nodes' program [default: .].

Plays each load of the soak alone and prints a line for it: the most anonymous memory
of any node in MB, the most that any node still holds about 6 s after the load, the
processes that exceeded the limit of the soak and were killed, and the violated
invariants. The first load is none.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import tempfile

import docopt

from bench.soak import checks, nodes, plan, run

IDLE = "idle"
WINDOW_S = 4.0


def measure(kind: str, seed: int, node_count: int, tree: pathlib.Path) -> str:
    """Play one load and return the line that describes it."""
    events = []
    if kind != IDLE:
        events.append(plan.Event(0.5, kind, 0, plan.HOSTILE_DURATION_S))
    with tempfile.TemporaryDirectory(prefix="memory-") as name:
        directory = pathlib.Path(name)
        play = run.Run(seed, node_count, WINDOW_S, directory, events, tree)
        recorded = asyncio.run(play.execute())
    peak_mb = max(recorded.peak_memory_mb_by_node.values())
    last_mb = max(recorded.last_memory_mb_by_node.values())
    killed = sum(not each.signal for each in recorded.process_exits)
    violated = sorted({each.invariant for each in checks.check(recorded)})
    return (
        f"{kind:15} {peak_mb:6.1f} MB  {last_mb:6.1f} MB at the end  {killed} killed  "
        f"{'; '.join(violated) or 'held'}"
    )


def main() -> int:
    """Measure all loads."""
    arguments = docopt.docopt(__doc__)
    tree = pathlib.Path(arguments["--tree"]).resolve()
    print(f"limit {nodes.MEMORY_LIMIT_MB} MB")
    for kind in (IDLE, *plan.HOSTILE_KINDS):
        for seed in range(1, 1 + int(arguments["--repeats"])):
            print(measure(kind, seed, int(arguments["--nodes"]), tree), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
