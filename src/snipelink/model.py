"""Data classes shared by the packages."""

from __future__ import annotations

import dataclasses

Headers = list[tuple[str, str]]
# A large body stays in the buffer that it was received into.
Body = bytes | bytearray | memoryview


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Type of request that a service accepts, with its limits.

    Times are in milliseconds, sizes in bytes.
    """

    name: str
    method: str
    path: str
    idempotent: bool
    priority: str = "normal"
    weight: int = 1
    deadline_ms: int = 2000
    max_request_bytes: int = 1 << 20
    max_answer_bytes: int = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One server that runs a service.

    ``call_address`` is empty if no load balancer node runs beside the endpoint.
    ``slots`` is the number of calls that the endpoint executes concurrently.
    """

    name: str
    service: str
    failure_domain: str
    region: str
    address: str
    call_address: str = ""
    control_address: str = ""
    endpoint_sets: frozenset[str] = frozenset()
    leaving: bool = False
    slots: int = 10
    connections: int = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Budgets:
    """Limits of the extra load that a service accepts.

    Retry and hedge ratios are relative to the number of first attempts;
    ``probe_cpu_ratio`` is the share of an endpoint's time that probes may take.
    """

    retry_ratio: float = 0.1
    hedge_ratio: float = 0.02
    probes_per_s: float = 1.0
    probe_cpu_ratio: float = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service with its operations and endpoints."""

    name: str
    operations: tuple[Operation, ...]
    endpoints_by_name: dict[str, Endpoint]
    budgets: Budgets = Budgets()


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Routing rule that sends matching requests to a service or endpoint set.

    An empty ``caller`` or ``host`` matches every request. With an empty
    ``endpoint_set``, all endpoints of the service are eligible.
    """

    name: str
    service: str
    caller: str = ""
    host: str = ""
    path_prefix: str = "/"
    endpoint_set: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectSet:
    """One published revision of the configuration: rules, services and endpoints.

    ``published_at`` is in Unix seconds.
    """

    revision: int
    digest: str
    rules: tuple[Rule, ...]
    services_by_name: dict[str, Service]
    published_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Call:
    """One call that a node processes.

    ``deadline`` is in seconds of the monotonic clock of this process. ``depth`` counts
    the nested calls from the first caller to this one.
    """

    call_id: str
    service: str
    operation: Operation
    method: str
    target: str
    headers: Headers
    body: Body
    deadline: float
    endpoint_set: str = ""
    caller: str = ""
    traceparent: str = ""
    idempotency_key: str = ""
    depth: int = 0
    attempt: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an endpoint as its node reports it.

    ``slowness`` is the endpoint's recent time per call divided by its usual time.
    """

    running: int
    queued: int
    limit: int
    leaving: bool = False
    slowness: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Complete response of an endpoint to a call."""

    status: int
    headers: Headers
    body: Body
    endpoint: str = ""
    load: LoadReport | None = None
