"""What happened in a run, as callers, endpoints and the operator saw it."""

from __future__ import annotations

import dataclasses
import enum


class Outcome(enum.Enum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    CLOSED = "closed"
    NOT_CONNECTED = "not connected"
    TIMED_OUT = "timed out"
    ABANDONED = "left by its caller"


@dataclasses.dataclass(slots=True)
class CallRecord:
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
    outcome: Outcome = Outcome.NOT_CONNECTED
    status: int = 0
    is_intact: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """A call that an endpoint began to run."""

    call_id: str
    instance: str
    started_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """An endpoint that was published as leaving, or no longer published."""

    instance: str
    withdrawn_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePublication:
    """A route that all nodes must know some time after this."""

    path: str
    published_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class FaultInterval:
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
    started_at: float
    ended_at: float
    planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessExit:
    """A node's process that ended.

    Attributes
    ----------
    signal : str
        What it had been sent; empty if it ended by itself.
    took_s : float
        Seconds from the signal to the end.
    """

    node: int
    exited_at: float
    signal: str
    exit_code: int
    shutdown_s: float


@dataclasses.dataclass(slots=True)
class History:
    """All of it; `ends_at` is the time after which nothing was sent."""

    drain_s: float
    route_apply_s: float
    grace_s: float
    timeout_s: float
    calls: list[CallRecord] = dataclasses.field(default_factory=list)
    executions: list[Execution] = dataclasses.field(default_factory=list)
    withdrawals: list[Withdrawal] = dataclasses.field(default_factory=list)
    route_publications: list[RoutePublication] = dataclasses.field(default_factory=list)
    fault_intervals: list[FaultInterval] = dataclasses.field(default_factory=list)
    process_exits: list[ProcessExit] = dataclasses.field(default_factory=list)
    recovery_deadline: float = 0.0
    ends_at: float = 0.0
