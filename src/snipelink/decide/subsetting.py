"""Subsetting: which endpoints a node follows, that is, whose load reports it receives.

Every node reports the load of its endpoint many times per second. If each node reported
to all others, the number of datagrams would grow with the square of the fleet, and
traffic between failure domains is billed. A node therefore follows a limited number of
near endpoints, those in its own failure domain, and a few far ones, which receive calls
when its own domain is at capacity. Nodes follow different subsets, so that together
they reach every endpoint.
"""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Callable, Collection, Iterable

from snipelink.balance import rendezvous

# Near hosts that a node follows for each service. The least loaded endpoint of that
# many is nearly as lightly loaded as the least loaded of all.
NEAR_HOST_COUNT = 16
# Far hosts that a node follows for each service if there are enough near ones. Their
# reports are billed by the byte. Nodes of a domain follow different far hosts and thus
# reach many of them together.
FAR_HOST_COUNT = 2
# Arbitrary key; all nodes use the same one so that they order hosts identically.
ORDER_KEY = "interest"


class Endpoint(typing.Protocol):
    """A published endpoint."""

    @property
    def id(self) -> str:
        """Identity of its process."""

    @property
    def service(self) -> str:
        """Service that it serves."""

    @property
    def host(self) -> str:
        """Address of its machine."""

    @property
    def failure_domain(self) -> str:
        """Failure domain of its machine."""

    @property
    def leaving(self) -> bool:
        """Whether it is shutting down."""


@dataclasses.dataclass(frozen=True, slots=True)
class _RankedHosts:
    """Hosts of one service's endpoints in the order in which they are followed."""

    near: tuple[str, ...]
    far: tuple[str, ...]


class EndpointSubset:
    """Chooses the hosts that one node follows.

    Parameters
    ----------
    host : str
        Address of the node's own machine, which it does not follow.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._ranked: tuple[_RankedHosts, ...] = ()

    def set_endpoints(
        self,
        endpoints: Iterable[Endpoint],
        failure_domain: str,
        summarized_services: Collection[str] = (),
    ) -> None:
        """Set the published endpoints and the node's own failure domain.

        Parameters
        ----------
        summarized_services : collection of str
            Services whose far endpoints are not followed, because summaries tell their
            loads.
        """
        hosts_by_service: dict[str, tuple[set[str], set[str]]] = {}
        own_domain: set[str] = set()
        for endpoint in endpoints:
            is_near = endpoint.failure_domain == failure_domain
            if is_near:
                own_domain.add(endpoint.host)
            if not endpoint.leaving:
                near, far = hosts_by_service.setdefault(
                    endpoint.service, (set(), set())
                )
                if is_near:
                    near.add(endpoint.host)
                elif endpoint.service not in summarized_services:
                    far.add(endpoint.host)
        position = self._position_ratio(own_domain)
        self._ranked = tuple(
            _RankedHosts(self._rotated(near, position), self._rotated(far, position))
            for near, far in hosts_by_service.values()
        )

    def _position_ratio(self, own_domain: set[str]) -> float:
        """Return the position of this node in the order of its domain, from 0 to 1."""
        ordered = rendezvous.rank(ORDER_KEY, own_domain | {self._host})
        return ordered.index(self._host) / len(ordered)

    def _rotated(self, hosts: set[str], position: float) -> tuple[str, ...]:
        """Return hosts in the order common to all nodes, rotated to a start position.

        The start positions of the nodes of one domain are evenly spaced, so that each
        host gets the same number of followers.
        """
        ordered = rendezvous.rank(ORDER_KEY, hosts)
        start = int(position * len(ordered))
        rotated = ordered[start:] + ordered[:start]
        return tuple(host for host in rotated if host != self._host)

    def followed_hosts(self, is_silent: Callable[[str], bool]) -> dict[str, bool]:
        """Return the hosts to follow, and whether each is near.

        A silent host is still followed, because it may recover. One more host is
        followed for each silent one.
        """
        near_by_host: dict[str, bool] = {}
        for ranked in self._ranked:
            near = _take_responsive(ranked.near, NEAR_HOST_COUNT, is_silent)
            far_count = max(FAR_HOST_COUNT, NEAR_HOST_COUNT - len(ranked.near))
            far = _take_responsive(ranked.far, far_count, is_silent)
            near_by_host |= dict.fromkeys(near, True) | dict.fromkeys(far, False)
        return near_by_host


def _take_responsive(
    hosts: tuple[str, ...], count: int, is_silent: Callable[[str], bool]
) -> list[str]:
    chosen = []
    for host in hosts:
        if count <= 0:
            break
        chosen.append(host)
        count -= not is_silent(host)
    return chosen
