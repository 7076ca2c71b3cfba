"""History of a run, as recorded by callers, endpoints and the operator.

All times are seconds of the monotonic clock of the soak's process.
"""

from __future__ import annotations

import dataclasses
import enum


class Outcome(enum.Enum):
    """Outcome of a call from the point of view of its caller."""

    ANSWERED = "answered"
    CLOSED = "closed"
    NOT_CONNECTED = "not connected"
    TIMED_OUT = "timed out"
    ABANDONED = "left by its caller"


@dataclasses.dataclass(slots=True)
class CallRecord:
    """Call that a caller made.

    Attributes
    ----------
    node : int
        Number of the node that received the call.
    path : str
        Path prefix of the call's route.
    status : int
        Status of the answer; 0 if there was none.
    is_intact : bool
        Whether the answer has the stamp and the body that belong to this call.
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
    """Start of a call on an endpoint of a service."""

    call_id: str
    instance: str
    started_at: float
    service: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """Time at which an endpoint was published as draining, or its entry removed."""

    instance: str
    withdrawn_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePublication:
    """Time at which a route was published, which all nodes must apply soon after."""

    path: str
    published_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class FaultInterval:
    """Interval in which a fault or planned work was active.

    Attributes
    ----------
    node : int or None
        Number of the affected node; None for all nodes.
    planned : bool
        Whether it was planned work, during which all invariants must hold.
    """

    node: int | None
    kind: str
    started_at: float
    ended_at: float
    planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessExit:
    """Exit of a node's process.

    Attributes
    ----------
    signal : str
        Signal that the process had been sent; empty if it exited without one.
    shutdown_s : float
        Seconds from the signal to the exit.
    """

    node: int
    exited_at: float
    signal: str
    exit_code: int
    shutdown_s: float


@dataclasses.dataclass(slots=True)
class History:
    """All records of a run, and the time limits that the checks apply.

    Attributes
    ----------
    drain_s : float
        Seconds for which a withdrawn endpoint may still receive calls.
    route_apply_s : float
        Seconds within which nodes must apply a published route.
    grace_s : float
        Seconds within which a node must exit after SIGTERM.
    timeout_s : float
        Timeout of a call in seconds.
    service_by_path : dict of str to str
        Service of each route, by its path prefix.
    peak_memory_mb_by_node : dict of int to float
        Most anonymous memory of each node's process, MB.
    last_memory_mb_by_node : dict of int to float
        Anonymous memory of each node's process when it was last measured, MB.
    recovery_deadline : float
        Time from which calls must succeed, because the faults and their effects are
        over.
    ends_at : float
        Time at which callers stop.
    """

    drain_s: float
    route_apply_s: float
    grace_s: float
    timeout_s: float
    service_by_path: dict[str, str] = dataclasses.field(default_factory=dict)
    calls: list[CallRecord] = dataclasses.field(default_factory=list)
    executions: list[Execution] = dataclasses.field(default_factory=list)
    withdrawals: list[Withdrawal] = dataclasses.field(default_factory=list)
    route_publications: list[RoutePublication] = dataclasses.field(default_factory=list)
    fault_intervals: list[FaultInterval] = dataclasses.field(default_factory=list)
    process_exits: list[ProcessExit] = dataclasses.field(default_factory=list)
    peak_memory_mb_by_node: dict[int, float] = dataclasses.field(default_factory=dict)
    last_memory_mb_by_node: dict[int, float] = dataclasses.field(default_factory=dict)
    recovery_deadline: float = 0.0
    ends_at: float = 0.0
