"""Routes, endpoints and limits that the platform publishes to mesh nodes."""

from __future__ import annotations

import dataclasses

from snipelink.decide import store_position


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """Service to which a route sends a share of its calls."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rule that sends the calls of a host and path prefix to services.

    Attributes
    ----------
    prefix : str
        Path prefix; begins and ends with a slash.
    idempotent : bool
        Whether a call may run more than once.
    timeout_s : float
        Longest time that a caller waits for the answer.
    target_s : float
        Latency objective in seconds.
    priority : int
        Priority of the calls; 0 is the highest.
    max_attempts : int
        Maximum number of endpoints to which one call may be sent.
    parts : tuple of WeightedService
        Services among which the calls are split.
    problem : str
        Reason why calls of this route cannot be served; empty if they can.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    target_s: float
    priority: int
    max_attempts: int
    parts: tuple[WeightedService, ...]
    problem: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for the connections and requests of callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 1 << 26
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One published version of routes and limits.

    Attributes
    ----------
    problems : tuple of str
        Descriptions of the parts that could not be read.
    cold_per_s_by_service : dict of str to float
        Requests per second that a cold endpoint tolerates, for the services for which
        operators set a rate.
    """

    version: int
    routes: tuple[Route, ...]
    health_paths_by_service: dict[str, str]
    limits: CallerLimits
    problems: tuple[str, ...] = ()
    cold_per_s_by_service: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """Published entry of an endpoint process.

    Attributes
    ----------
    id : str
        Identity of the process.
    host : str
        IP address of its machine.
    leaving : bool
        Whether the process is about to stop.
    born_ms : int
        Start time of the process in Unix milliseconds; 0 if it is not stated.
    revision : int
        Revision of the platform's store at which the entry was written; 0 if unknown.
    slots : int
        Number of calls that the process can run concurrently; 0 if it is not stated.
    era : int
        Era of the platform's store in which the revision counts.
    """

    id: str
    service: str
    host: str
    failure_domain: str
    leaving: bool
    born_ms: int = 0
    revision: int = 0
    slots: int = 0
    era: int = 0

    @property
    def written_at(self) -> store_position.Position:
        """Position of the write of this entry."""
        return store_position.Position(self.era, self.revision)

    def at_position_of(self, other: Instance) -> Instance:
        """Return this entry as if it was written at the position of another one."""
        return dataclasses.replace(self, era=other.era, revision=other.revision)

    def has_same_content(self, other: Instance) -> bool:
        """Whether two entries differ in the positions of their writes at most."""
        return self.at_position_of(other) == other

    def is_older_than(self, other: Instance) -> bool:
        """Whether `other`, an entry of the same identity, replaces this one.

        The last write is in force, as in the store. Start times decide only between
        entries of unknown revision: another writer may state any start time, and the
        entries of the endpoint itself must replace that.
        """
        if self.revision and other.revision:
            return self.written_at < other.written_at
        return self.born_ms < other.born_ms


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedState:
    """Snapshot of the whole published state at one revision.

    Attributes
    ----------
    evacuated : tuple of str
        Failure domains whose endpoints must receive no more calls.
    era : int
        Era of the store in which the revision counts.
    """

    revision: int
    configuration: Configuration | None
    instances: tuple[Instance, ...]
    evacuated: tuple[str, ...] = ()
    era: int = 0

    @property
    def position(self) -> store_position.Position:
        """Position of the snapshot in the histories of the store."""
        return store_position.Position(self.era, self.revision)


class RouteTable:
    """Index of a configuration's routes by host and path prefix."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host, []).append(route)
        self._routes_by_host = {
            host: sorted(routes, key=lambda route: -len(route.prefix))
            for host, routes in by_host.items()
        }

    def match(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match of `path`, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
