"""Which endpoints a node follows: those whose load it is told.

Load pattern: every node reports its endpoint's load many times a second. If each told
all others, datagrams would grow with the square of the fleet, and bytes between failure
domains are paid for. A node follows the endpoints of its own failure domain up to a
count, and a few of other domains, which take the work when its own domain has no room.
Each node follows others of them, so that together they reach every endpoint.
"""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Callable, Iterable

from snipelink.balance import rendezvous

# Endpoints of each service that a node follows in its own failure domain; the least
# loaded of so many is nearly as free as the least loaded of all.
NEAR_COUNT = 16
# The same in other failure domains, if its own has that many. Their reports are paid
# for by the byte; nodes of a domain follow different ones, so together they reach many.
FAR_COUNT = 2
# Any constant; it makes all nodes order hosts alike.
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
        """Where its machine is."""

    @property
    def leaving(self) -> bool:
        """Whether it is about to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Ranked:
    """Hosts of one service's endpoints, those to follow first."""

    near: tuple[str, ...]
    far: tuple[str, ...]


class EndpointSubset:
    """Chooses the machines that one node follows.

    Parameters
    ----------
    host : str
        Address of the node's machine, which is left out.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._ranked: tuple[_Ranked, ...] = ()

    def set_endpoints(self, endpoints: Iterable[Endpoint], failure_domain: str) -> None:
        """Take over the published endpoints, and the node's own failure domain."""
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
                (near if is_near else far).add(endpoint.host)
        share = self._share(own_domain)
        self._ranked = tuple(
            _Ranked(self._rotated(near, share), self._rotated(far, share))
            for near, far in hosts_by_service.values()
        )

    def _share(self, own_domain: set[str]) -> float:
        """Return where this node stands among those of its domain, from 0 to 1."""
        ordered = rendezvous.rank(ORDER_KEY, own_domain | {self._host})
        return ordered.index(self._host) / len(ordered)

    def _rotated(self, hosts: set[str], share: float) -> tuple[str, ...]:
        """Return hosts in the order of all nodes, from this node's place in it on.

        Nodes of one domain begin at even distances, so all hosts get as many followers.
        """
        ordered = rendezvous.rank(ORDER_KEY, hosts)
        start = int(share * len(ordered))
        rotated = ordered[start:] + ordered[:start]
        return tuple(host for host in rotated if host != self._host)

    def followed_hosts(self, is_silent: Callable[[str], bool]) -> dict[str, bool]:
        """Return the hosts to follow, and whether each is near.

        A silent one stays among them, as it may be back, and another one is added.
        """
        near_by_host: dict[str, bool] = {}
        for ranked in self._ranked:
            near = _first_heard(ranked.near, NEAR_COUNT, is_silent)
            far_count = max(FAR_COUNT, NEAR_COUNT - len(ranked.near))
            far = _first_heard(ranked.far, far_count, is_silent)
            near_by_host |= dict.fromkeys(near, True) | dict.fromkeys(far, False)
        return near_by_host


def _first_heard(
    hosts: tuple[str, ...], count: int, is_silent: Callable[[str], bool]
) -> list[str]:
    chosen = []
    for host in hosts:
        if count <= 0:
            break
        chosen.append(host)
        count -= not is_silent(host)
    return chosen
