"""Runs the gossip agent of one node without its call path, for measurements.

Usage:
  control_node.py SETTINGS

Each line on standard input marks a point of time. When the input is closed, the process
prints a report in JSON about the time between the first two marks.
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

STORE_WAIT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """Bytes and messages that the node has sent up to one point of time."""

    at: float
    spent_bytes: int
    spent_messages: int


def _read_marks(
    gossip_agent: agent.Agent, marks: list[Mark], input_closed: threading.Event
) -> None:
    for _ in sys.stdin:
        byte_budget = gossip_agent.budget
        marks.append(
            Mark(time.monotonic(), byte_budget.spent_bytes, byte_budget.spent_messages)
        )
    input_closed.set()


def main(argv: list[str] | None = None) -> None:
    arguments = docopt.docopt(__doc__, argv)
    usage_after_imports = fleet.usage(os.getpid())
    with open(arguments["SETTINGS"], "rb") as file:
        settings = msgspec.json.decode(file.read(), type=generated.Settings)
    rng = random.Random(settings.node)
    hooks = exchange.Hooks(load=lambda: model.LoadReport(3, 0, 10))
    config_store = store.Store(settings.service)
    gossip_agent = agent.Agent(
        settings, config_store, agent.new_member_table(settings, rng), hooks, rng
    )
    marks: list[Mark] = []
    input_closed = threading.Event()
    threading.Thread(
        target=_read_marks, args=(gossip_agent, marks, input_closed), daemon=True
    ).start()
    started_at = time.monotonic()
    gossip_agent.start()
    in_force_at_by_revision: dict[int, float] = {}
    while not input_closed.is_set():
        config_store.wait_for(config_store.revision() + 1, STORE_WAIT_S)
        accepted_set = config_store.in_force()
        if accepted_set is not None:
            in_force_at_by_revision[accepted_set.revision] = accepted_set.accepted_at
    elapsed = marks[1].at - marks[0].at
    report = fleet.Report(
        settings.node,
        started_at,
        (marks[1].spent_bytes - marks[0].spent_bytes) / elapsed,
        (marks[1].spent_messages - marks[0].spent_messages) / elapsed,
        {str(r): at for r, at in in_force_at_by_revision.items()},
        usage_after_imports,
        len(gossip_agent.table),
        gossip_agent.exchange.is_watching,
        gossip_agent.counts(),
    )
    print(json.dumps(dataclasses.asdict(report)), flush=True)
    os._exit(0)  # don't wait for the pending watch, which would delay the measurement


if __name__ == "__main__":
    main()
