"""Draws the faults of a run from its seed."""

from __future__ import annotations

import dataclasses
import random

# Kinds of faults, and whether nodes must bear them unnoticed.
PLANNED_KINDS = frozenset({"stop", "reload", "drain", "vanish", "publish"})
NODE_KINDS = ("kill", "freeze", "stop", "reload")
LINK_KINDS = ("delay", "reset", "silence-in", "silence-out")
STORE_KINDS = ("store-refuses", "store-silent", "store-slow", "store-forgets")
ENDPOINT_KINDS = (
    "slow",
    "refuse",
    "break-off",
    "mute",
    "drain",
    "vanish",
)
DRAWN_KINDS = (*NODE_KINDS, *LINK_KINDS, *STORE_KINDS, *ENDPOINT_KINDS, "publish")
# Open connections of a link go silent for good, while new ones work.
SILENCE_OPEN_KIND = "silence-open"
KINDS = (*DRAWN_KINDS, SILENCE_OPEN_KIND)
# Events of a run, and their lengths in seconds.
MIN_EVENT_COUNT, MAX_EVENT_COUNT = 4, 10
MIN_DURATION_S, MAX_DURATION_S = 0.2, 2.5
# Share of events that begin together with the one before.
SIMULTANEOUS_RATIO = 0.35
# Share of runs with planned work alone, in which nothing at all may be noticed.
PLANNED_ONLY_RATIO = 0.3
# Share of other runs with one silence of open connections. It is drawn apart, so that
# the other events of a seed stay as they were.
SILENCE_OPEN_RATIO = 0.5
# Seeds whose runs failed once, with four nodes and eight seconds, and the cause.
REGRESSION_SEEDS = {
    30: "the soak replaced one endpoint twice at a time",
    8: "the check of recovery counted calls whose callers had left",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One fault or piece of planned work; times in seconds from the first call.

    Attributes
    ----------
    node : int
        Number of the node, or of the machine whose endpoint or link it acts on.
    """

    start_s: float
    kind: str
    node: int
    duration_s: float


def draw(seed: int, node_count: int, fault_window_s: float) -> list[Event]:
    """Return the events of a run, in order; the same for the same arguments."""
    rng = random.Random(f"soak/{seed}/{node_count}/{fault_window_s}")
    kinds = DRAWN_KINDS
    if rng.random() < PLANNED_ONLY_RATIO:
        kinds = tuple(sorted(PLANNED_KINDS))
    events: list[Event] = []
    start_s = 0.5
    for _ in range(rng.randint(MIN_EVENT_COUNT, MAX_EVENT_COUNT)):
        if not events or rng.random() >= SIMULTANEOUS_RATIO:
            start_s = rng.uniform(0.5, fault_window_s - MAX_DURATION_S)
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        event = Event(start_s, rng.choice(kinds), rng.randrange(node_count), duration_s)
        if not any(_conflict(other, event) for other in events):
            events.append(event)
    silence_rng = random.Random(f"soak/silence/{seed}/{node_count}/{fault_window_s}")
    if kinds is DRAWN_KINDS and silence_rng.random() < SILENCE_OPEN_RATIO:
        start_s = silence_rng.uniform(0.5, fault_window_s - MAX_DURATION_S)
        events.append(
            Event(start_s, SILENCE_OPEN_KIND, silence_rng.randrange(node_count), 0.0)
        )
    return sorted(events, key=lambda event: event.start_s)


def _conflict(one: Event, other: Event) -> bool:
    """Whether two events act on the same part of a machine in the same way."""
    replaced = {one.kind, other.kind} <= {"drain", "vanish"}
    return one.node == other.node and (one.kind == other.kind or replaced)
