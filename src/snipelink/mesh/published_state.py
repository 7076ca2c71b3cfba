"""What a mesh node knows of published routes and endpoints."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """Share of a route's calls that goes to one service."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Sends the calls of a host and path prefix to services.

    Attributes
    ----------
    prefix : str
        Path prefix; begins and ends with a slash.
    idempotent : bool
        Whether a call may run more than once.
    timeout_s : float
        Longest time that a caller is kept waiting.
    target_s : float
        Latency objective.
    priority : int
        Rank; 0 is the highest.
    max_attempts : int
        Most endpoints that one call may be sent to.
    problem : str
        Why calls of this route cannot be served; empty if they can.
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
    """Limits of callers' connections and requests."""

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
        What in it could not be read.
    cold_per_s_by_service : dict of str to float
        Requests a second that a cold endpoint tolerates, where operators name them.
    """

    version: int
    routes: tuple[Route, ...]
    health_paths_by_service: dict[str, str]
    limits: CallerLimits
    problems: tuple[str, ...] = ()
    cold_per_s_by_service: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """A published endpoint process.

    Attributes
    ----------
    id : str
        Identity of the process.
    host : str
        IP address of its machine.
    born_ms : int
        Unix milliseconds of its start.
    """

    id: str
    service: str
    host: str
    failure_domain: str
    leaving: bool
    born_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedState:
    """All that is published, as of one revision.

    Attributes
    ----------
    evacuated : tuple of str
        Failure domains to whose endpoints nothing more may be sent.
    """

    revision: int
    configuration: Configuration | None
    instances: tuple[Instance, ...]
    evacuated: tuple[str, ...] = ()


class RouteTable:
    """Finds the route of a request in a configuration."""

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
        """Return the route with the longest prefix of `path`, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
