"""What happened in a run, as callers, endpoints and the operator saw it."""

from __future__ import annotations

import dataclasses
import enum


class Ending(enum.Enum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    CLOSED = "closed"
    NOT_CONNECTED = "not connected"
    TIMED_OUT = "timed out"
    LEFT = "left by its caller"


@dataclasses.dataclass(slots=True)
class Sent:
    """A call of a caller; times in seconds of the soak's monotonic clock.

    Attributes
    ----------
    node : int
        Number of the node that it was sent to.
    status : int
        Status of the answer; 0 without one.
    is_intact : bool
        Whether a success bears the endpoint's stamp and body for this very call.
    """

    call_id: str
    node: int
    path: str
    idempotent: bool
    sent_at: float
    ended_at: float = 0.0
    ending: Ending = Ending.NOT_CONNECTED
    status: int = 0
    is_intact: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """A call that an endpoint began to run."""

    call_id: str
    instance: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawn:
    """An endpoint that was published as leaving, or no longer published."""

    instance: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePublished:
    """A route that all nodes must know some time after this."""

    path: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbed:
    """A span in which a fault acted on a node, on all, or on the store.

    Attributes
    ----------
    node : int or None
        None for all of them.
    planned : bool
        Whether it was a stop or a reload that nodes must bear unnoticed.
    """

    node: int | None
    kind: str
    first_at: float
    last_at: float
    planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Exited:
    """A node's process that ended.

    Attributes
    ----------
    signal : str
        What it had been sent; empty if it ended by itself.
    took_s : float
        Seconds from the signal to the end.
    """

    node: int
    at: float
    signal: str
    code: int
    took_s: float


@dataclasses.dataclass(slots=True)
class History:
    """All of it; `ends_at` is the time after which nothing was sent."""

    drain_s: float
    apply_s: float
    grace_s: float
    timeout_s: float
    sent: list[Sent] = dataclasses.field(default_factory=list)
    ran: list[Ran] = dataclasses.field(default_factory=list)
    withdrawn: list[Withdrawn] = dataclasses.field(default_factory=list)
    routes: list[RoutePublished] = dataclasses.field(default_factory=list)
    disturbed: list[Disturbed] = dataclasses.field(default_factory=list)
    exited: list[Exited] = dataclasses.field(default_factory=list)
    calm_from: float = 0.0
    ends_at: float = 0.0
