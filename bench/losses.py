"""Shows where the calls of a played day lost their value.

Usage:
  losses LOG [--window S] [--least N]
  losses --help

Options:
  --window S  Length of a window in seconds [default: 2].
  --least N   Leave out operations with fewer arrivals in a window [default: 10].

LOG is the output of a play with the logs of all nodes. For each window of arrivals and
each operation, a row has the arrivals; those answered in time; the late answers by
cause (`back`: the caller came back too late to be answered in time; `crowded`: its work
took a third longer than expected; `slow`: it waited or its endpoint was slow); the
refusals of callers that could have been answered in time (`new`) and of those that came
back (`back`); and the other failures. Behind it stands the state of the endpoints as
they refused calls of the window: the mean of the running calls, of the limit, of the
waiting calls and of the slowness.
"""

from __future__ import annotations

import collections
import dataclasses
import pathlib
import statistics
import sys
from collections.abc import Iterable
from typing import Any

import docopt

from bench import adapter

# Work relative to the expected work from which an answer counts as late by crowding.
CROWDED_WORK_RATIO = 4 / 3
REFUSAL_KINDS = ("overloaded", "no-endpoint")


@dataclasses.dataclass
class Losses:
    """Arrivals of one operation in one window by how they ended."""

    count_by_end: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def row(self) -> str:
        """Return the cells of the table."""
        count = self.count_by_end
        return (
            f"{count.total():8}{count['in time']:8}"
            f"{count['late back']:10}{count['late crowded']:9}{count['late slow']:6}"
            f"{count['refused new']:12}{count['refused back']:6}{count['failed']:8}"
        )


def end_of(entry: dict[str, Any]) -> str:
    """Return how a call ended, from the line that its node logged."""
    came_back = entry["to_target_s"] < entry["expected_work_s"]
    if entry.get("failure") in REFUSAL_KINDS:
        return "refused back" if came_back else "refused new"
    if entry.get("status") != 200:
        return "failed"
    if entry["took_s"] <= entry["to_target_s"]:
        return "in time"
    if came_back:
        return "late back"
    crowded = entry["work_s"] > CROWDED_WORK_RATIO * entry["expected_work_s"]
    return "late crowded" if crowded else "late slow"


def table(
    entries: Iterable[tuple[float, dict[str, Any]]], window_s: float, least: int
) -> str:
    """Return the table of the losses.

    Parameters
    ----------
    entries : iterable of (float, dict)
        Times and fields of logged lines.
    least : int
        Arrivals from which an operation has a row in a window.
    """
    losses_by_key: dict[tuple[int, str], Losses] = {}
    refusals_by_window: dict[int, list[dict[str, Any]]] = collections.defaultdict(list)
    for at, entry in entries:
        if entry.get("message") == "call is refused":
            refusals_by_window[int(at // window_s)].append(entry)
        elif entry.get("message") == "call is answered" and "to_target_s" in entry:
            window = int((at - entry["took_s"]) // window_s)
            losses = losses_by_key.setdefault((window, entry["route"]), Losses())
            losses.count_by_end[end_of(entry)] += 1
    lines = [
        f"{'from':>6} {'operation':14}{'arrived':>8}{'in time':>8}"
        f"{'late back':>10}{'crowded':>9}{'slow':>6}"
        f"{'refused new':>12}{'back':>6}{'failed':>8}  running limit waiting slowness"
    ]
    for (window, operation), losses in sorted(losses_by_key.items()):
        if window >= 0 and losses.count_by_end.total() >= least:
            state = _endpoint_state(refusals_by_window[window])
            begin_s = window * window_s
            lines.append(f"{begin_s:6g} {operation[:14]:14}{losses.row()}  {state}")
    return "\n".join(lines)


def _endpoint_state(refusals: list[dict[str, Any]]) -> str:
    if not refusals:
        return ""
    means = [
        statistics.fmean(each[name] for each in refusals)
        for name in ("running", "limit", "waiting", "slowness")
    ]
    return f"{means[0]:7.1f}{means[1]:6.1f}{means[2]:8.1f}{means[3]:9.1f}"


def main() -> int:
    """Run the program; return its exit status."""
    arguments = docopt.docopt(__doc__ or "")
    entries = adapter.platform_bench.read_log(pathlib.Path(arguments["LOG"]))
    print(table(entries, float(arguments["--window"]), int(arguments["--least"])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
