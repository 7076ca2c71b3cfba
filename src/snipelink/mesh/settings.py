"""Settings of a mesh node, as its program hands them over."""

from __future__ import annotations

import dataclasses

# Fields that are read anew for each call.
RELOADABLE_FIELDS = frozenset(
    {"service", "failure_domain", "endpoint_address", "bounds"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that operators hold the mesh to.

    Attributes
    ----------
    grace_s : float
        Seconds between SIGTERM and SIGKILL.
    drain_s : float
        Seconds for which a leaving endpoint still serves.
    retry_ratio : float
        Further attempts allowed per call, over all nodes.
    retry_window_s : float
        Seconds over which further attempts are counted.
    retry_allowance : float
        Further attempts allowed per window beyond the ratio, over all nodes.
    probes_per_s : float
        Most probes of an endpoint per second.
    cold_over, cold_slack : float
        Most requests that a cold endpoint gets in one second, as a multiple of those
        that its service tolerates, and beyond that; both 0 if there is no bound.
    """

    grace_s: float
    drain_s: float
    retry_ratio: float
    retry_window_s: float
    retry_allowance: float
    probes_per_s: float
    cold_over: float = 0.0
    cold_slack: float = 0.0


@dataclasses.dataclass(slots=True)
class Settings:
    """Identity and addresses of a node; parts of it may change while it runs.

    Attributes
    ----------
    host : str
        IP address of the machine.
    service : str
        Service of the endpoint on this machine.
    endpoint_address : tuple of (str, int)
        Where the endpoint listens.
    caller_listen, peer_listen, ready_listen, metrics_listen : tuple of (str, int)
        Where callers, other nodes, the platform and operators connect.
    peer_port, load_port : int
        Ports of call connections and of load datagrams, equal on all machines.
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

    def update_from(self, new: Settings) -> tuple[list[str], list[str]]:
        """Take over what may change while the node runs.

        Returns
        -------
        changed, ignored : list of str
            Names of fields that were taken over, and of those that need a restart.
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
    """Names of the headers that carry a mesh's own fields, in lower case.

    Attributes
    ----------
    call_id : str
        Identity that the caller gave to the request; echoed by answers.
    remaining_ms : str
        Milliseconds for which the sender waits.
    instance : str
        Identity of the process that answers a probe.
    expected_instance : str
        Identity of the only process that may run the request.
    caller_service : str
        Service on whose machine the request began.
    stamp : str
        Proof that an endpoint made the answer.
    load : str
        Running, waiting, slots and percentage of the ordinary time.
    not_run : str
        Present if the endpoint did not run the request.
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
