"""Control part of one node as a process, for measurements.

Usage:
  control_node.py SETTINGS

Each line on its standard input marks a point of time; the report covers the time
between the first two marks. It is printed as JSON when the input is closed.
"""

from __future__ import annotations

import dataclasses
import json
import os
import random
import sys
import threading
import time

import docopt
import msgspec

from bench import fleet
from snipelink import model
from snipelink.config import store
from snipelink.generated import settings as generated
from snipelink.gossip import agent, exchange

WAIT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """Account of the node at one point of time."""

    at: float
    spent_bytes: int
    spent_messages: int


def _read_marks(
    running: agent.Agent, marks: list[Mark], ended: threading.Event
) -> None:
    for _ in sys.stdin:
        spent = running.budget
        marks.append(Mark(time.monotonic(), spent.spent_bytes, spent.spent_messages))
    ended.set()


def main(argv: list[str] | None = None) -> None:
    arguments = docopt.docopt(__doc__, argv)
    imports = fleet.usage(os.getpid())
    with open(arguments["SETTINGS"], "rb") as file:
        settings = msgspec.json.decode(file.read(), type=generated.Settings)
    rng = random.Random(settings.node)
    hooks = exchange.Hooks(load=lambda: model.LoadReport(3, 0, 10))
    target = store.Store(settings.service)
    running = agent.Agent(
        settings, target, agent.new_member_table(settings, rng), hooks, rng
    )
    marks: list[Mark] = []
    ended = threading.Event()
    threading.Thread(
        target=_read_marks, args=(running, marks, ended), daemon=True
    ).start()
    started_at = time.monotonic()
    running.start()
    in_force_at_by_revision: dict[int, float] = {}
    while not ended.is_set():
        target.wait_for(target.revision() + 1, WAIT_S)
        accepted = target.in_force()
        if accepted is not None:
            in_force_at_by_revision[accepted.revision] = accepted.accepted_at
    elapsed = marks[1].at - marks[0].at
    report = fleet.Report(
        settings.node,
        started_at,
        (marks[1].spent_bytes - marks[0].spent_bytes) / elapsed,
        (marks[1].spent_messages - marks[0].spent_messages) / elapsed,
        {str(r): at for r, at in in_force_at_by_revision.items()},
        imports,
        len(running.table),
        running.exchange.is_watching,
        running.counts(),
    )
    print(json.dumps(dataclasses.asdict(report)), flush=True)
    os._exit(0)  # waiting for the last watch would only delay the measurement


if __name__ == "__main__":
    main()
