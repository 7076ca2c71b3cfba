"""Draws the faults and the planned work of a run from its seed."""

from __future__ import annotations

import dataclasses
import random

# Planned work, during which all invariants must hold: shutdown (``stop``) or ``reload``
# of a node, replacement of an endpoint whose entry is published as draining (``drain``)
# or removed at once (``vanish``), and publication of a new route (``publish``).
PLANNED_KINDS = frozenset(
    {
        "stop",
        "reload",
        "drain",
        "vanish",
        "publish",
        "odd-entries",
        "uploads",
        "versions",
        "departures",
    }
)
# Answers without end to calls and to health checks, refusals that are written once more
# before the next answer, and answers that end within their heads.
HOSTILE_ENDPOINT_KINDS = ("endless", "endless-health", "repeat-refusals", "cut-heads")
# Also entries in the place of an endpoint's own, large uploads, and versions of a
# growing configuration.
HOSTILE_KINDS = (*HOSTILE_ENDPOINT_KINDS, "odd-entries", "uploads", "versions")
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
# The open connections of a link transfer no more data and stay open; new ones work.
SILENCE_OPEN_KIND = "silence-open"
# The store is away for a moment and returns from an older copy.
RESTORE_KIND = "store-restores"
# All endpoints of a service leave while one node of the other service is cut off from
# the store: planned work, since the store and all other nodes are undisturbed.
DEPARTURES_KIND = "departures"
KINDS = (
    *DRAWN_KINDS,
    SILENCE_OPEN_KIND,
    RESTORE_KIND,
    *HOSTILE_KINDS,
    DEPARTURES_KIND,
)
# Number of events that are drawn for a run, and their duration.
MIN_EVENT_COUNT, MAX_EVENT_COUNT = 4, 10
MIN_DURATION_S, MAX_DURATION_S = 0.2, 2.5
HOSTILE_DURATION_S = 2.0 * MAX_DURATION_S
# Share of events that start at the same time as the event drawn before.
SIMULTANEOUS_RATIO = 0.35
# Share of runs that have only planned work, so that all invariants are checked.
PLANNED_ONLY_RATIO = 0.3
# Share of the other runs with one event of ``SILENCE_OPEN_KIND``. It is drawn from a
# separate generator, so that it does not change the other events of a seed.
SILENCE_OPEN_RATIO = 0.5
# Share of these runs with one event of ``RESTORE_KIND``, drawn in the same way.
RESTORE_RATIO = 0.3
# Share of all runs with one event of ``HOSTILE_KINDS``, drawn in the same way.
HOSTILE_RATIO = 0.5
# Share of all runs with one event of ``DEPARTURES_KIND`` if it conflicts with no other.
DEPARTURES_RATIO = 0.5
DEPARTURES_DURATION_S = 2.0 * MAX_DURATION_S
# Seeds that once failed with 4 nodes and 8 seconds, with the cause of the failure.
REGRESSION_SEEDS = {
    30: "the soak replaced one endpoint twice at a time",
    8: "the check of recovery counted calls whose callers had left",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Fault or planned work.

    Attributes
    ----------
    start_s : float
        Start in seconds after the start of the callers.
    node : int
        Number of the affected node, or of the machine whose endpoint or link is
        affected.
    """

    start_s: float
    kind: str
    node: int
    duration_s: float


def draw(seed: int, node_count: int, fault_window_s: float) -> list[Event]:
    """Return the events of a run in order of start.

    The result depends only on the arguments.
    """
    rng = random.Random(f"soak/{seed}/{node_count}/{fault_window_s}")
    kinds = DRAWN_KINDS
    if rng.random() < PLANNED_ONLY_RATIO:
        drawn_apart = {*HOSTILE_KINDS, DEPARTURES_KIND}
        kinds = tuple(sorted(PLANNED_KINDS.difference(drawn_apart)))
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
    restore_rng = random.Random(f"soak/restore/{seed}/{node_count}/{fault_window_s}")
    if kinds is DRAWN_KINDS and restore_rng.random() < RESTORE_RATIO:
        start_s = restore_rng.uniform(0.5, fault_window_s - MAX_DURATION_S)
        duration_s = restore_rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        events.append(Event(start_s, RESTORE_KIND, 0, duration_s))
    hostile_rng = random.Random(f"soak/hostile/{seed}/{node_count}/{fault_window_s}")
    if hostile_rng.random() < HOSTILE_RATIO:
        hostile_kinds = HOSTILE_KINDS
        if kinds is not DRAWN_KINDS:
            hostile_kinds = tuple(k for k in HOSTILE_KINDS if k in PLANNED_KINDS)
        event = Event(
            hostile_rng.uniform(0.5, fault_window_s - MAX_DURATION_S),
            hostile_rng.choice(hostile_kinds),
            hostile_rng.randrange(node_count),
            HOSTILE_DURATION_S,
        )
        if not any(_conflict(other, event) for other in events):
            events.append(event)
    departures_rng = random.Random(f"soak/departures/{seed}/{node_count}")
    if departures_rng.random() < DEPARTURES_RATIO:
        event = Event(
            departures_rng.uniform(0.5, fault_window_s - MAX_DURATION_S),
            DEPARTURES_KIND,
            departures_rng.randrange(node_count),
            DEPARTURES_DURATION_S,
        )
        if not any(_replaces_departing(other, event) for other in events):
            events.append(event)
    return sorted(events, key=lambda event: event.start_s)


def _replaces_departing(other: Event, departures: Event) -> bool:
    """Whether an event replaces an endpoint of the service that leaves.

    The services of the nodes alternate.
    """
    is_departing = (other.node - departures.node) % 2 == 1
    return is_departing and other.kind in {"drain", "vanish", "odd-entries"}


def _conflict(one: Event, other: Event) -> bool:
    """Whether two events on one node have the same kind or change the same thing."""
    both = {one.kind, other.kind}
    is_same = (
        len(both) == 1
        or both <= {"drain", "vanish", "odd-entries"}
        or (
            both <= {"slow", "refuse", "break-off", "mute", *HOSTILE_ENDPOINT_KINDS}
            and bool(both.intersection(HOSTILE_KINDS))
        )
    )
    return one.node == other.node and is_same
