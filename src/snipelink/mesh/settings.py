"""Settings of a mesh node, as passed in by the program that runs it."""

from __future__ import annotations

import dataclasses

from snipelink.mesh import buffers

# Fields that may change while the node runs, because they are read for each call.
RELOADABLE_FIELDS = frozenset(
    {"service", "failure_domain", "endpoint_address", "bounds"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that operators set for the mesh.

    Attributes
    ----------
    grace_s : float
        Seconds between SIGTERM and SIGKILL.
    drain_s : float
        Seconds for which an endpoint still serves after it announced its shutdown.
    retry_ratio : float
        Retries and hedges per call that all nodes together may make.
    retry_window_s : float
        Length in seconds of the window in which retries and hedges are counted.
    retry_allowance : float
        Retries and hedges per window that all nodes together may make beyond the
        ratio.
    probes_per_s : float
        Maximum number of probes of an endpoint per second.
    cold_over, cold_slack : float
        Factor and constant of the limit for a cold endpoint: in any second it gets at
        most `cold_over` times the rate that its service tolerates, plus `cold_slack`
        requests. Both are 0 if there is no limit.
    """

    grace_s: float
    drain_s: float
    retry_ratio: float
    retry_window_s: float
    retry_allowance: float
    probes_per_s: float
    cold_over: float = 0.0
    cold_slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Balancing:
    """How calls are balanced across failure domains and refused under overload.

    Attributes
    ----------
    few_slots : int
        Endpoints that publish at most this many slots count as endpoints with few
        slots; 0 if none do. One call more changes the load of such an endpoint by a
        third or more, so a report of it is outdated when it arrives from another
        failure domain, and a call that it refuses seldom finds room by trying the
        next one. The mechanisms for services of such endpoints are described in
        ``docs/design``.
    few_slots_far_ratio : float
        Cost of a call to another failure domain as a share of the call's duration, for
        services whose endpoints have few slots.
    far_s_per_mb : float
        Cost of a megabyte that a call carries to and from another failure domain, in
        seconds of the call's duration.
    admission_slots : int
        Calls are admitted by service, and waiting calls have floors by priority, if
        the endpoints of a service publish at most this many slots; 0 if never.
    """

    few_slots: int = 3
    few_slots_far_ratio: float = 0.5
    far_s_per_mb: float = 0.0
    admission_slots: int = 0


@dataclasses.dataclass(slots=True)
class Settings:
    """Identity, addresses and limits of a node; some may change while it runs.

    Attributes
    ----------
    host : str
        IP address of the machine.
    service : str
        Service of the endpoint on this machine.
    endpoint_address : tuple of (str, int)
        Address on which the endpoint listens.
    caller_listen, peer_listen, ready_listen, metrics_listen : tuple of (str, int)
        Addresses on which the node listens for callers, for other nodes, for the
        platform's readiness probes and for operators' metrics scrapers.
    peer_port, load_port : int
        TCP port for calls between nodes and UDP port for load reports. All machines
        use the same ports.
    memory_bytes : int
        Memory that the process may use.
    """

    node: str
    host: str
    failure_domain: str
    service: str
    endpoint_address: tuple[str, int]
    caller_listen: tuple[str, int]
    peer_listen: tuple[str, int]
    ready_listen: tuple[str, int]
    metrics_listen: tuple[str, int]
    peer_port: int
    load_port: int
    bounds: Bounds
    memory_bytes: int = buffers.DEFAULT_MEMORY_BYTES
    balancing: Balancing = Balancing()

    def update_from(self, new: Settings) -> tuple[list[str], list[str]]:
        """Apply the changed fields that may change while the node runs.

        Returns
        -------
        changed, ignored : list of str
            Names of the fields that were updated, and of the changed fields that take
            effect only after a restart.
        """
        changed, ignored = [], []
        for field in dataclasses.fields(self):
            value = getattr(new, field.name)
            if value == getattr(self, field.name):
                continue
            if field.name in RELOADABLE_FIELDS:
                setattr(self, field.name, value)
                changed.append(field.name)
            else:
                ignored.append(field.name)
        return changed, ignored


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names, in lower case, of the HTTP headers that the mesh adds or reads.

    Attributes
    ----------
    call_id : str
        Identity that the caller gave to the request; echoed in its answer.
    remaining_ms : str
        Milliseconds for which the sender still waits.
    instance : str
        Identity of the endpoint process, in its answers to probes.
    expected_instance : str
        Identity of the only endpoint process that may run the request.
    caller_service : str
        Service on whose machine the caller runs.
    stamp : str
        Proof that an endpoint produced the answer.
    load : str
        Load of the endpoint: running calls, waiting calls, slots, and the time of work
        as a percentage of the ordinary time.
    not_run : str
        Present in an answer if the endpoint did not run the request.
    cold_ms : str
        Milliseconds for which the endpoint stays cold, in its answers to probes.
    """

    call_id: str = "snipelink-call-id"
    remaining_ms: str = "snipelink-deadline-ms"
    instance: str = "snipelink-instance"
    expected_instance: str = "snipelink-expected-instance"
    caller_service: str = "snipelink-caller-service"
    stamp: str = "snipelink-stamp"
    load: str = "snipelink-load"
    not_run: str = "snipelink-not-run"
    cold_ms: str = "snipelink-cold-ms"
