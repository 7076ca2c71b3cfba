"""Sizes and call mixes of the two reference deployments."""

from __future__ import annotations

import dataclasses
import time

from bench import deployment, load_generator
from snipelink import model

# A node answers a call with an unknown outcome if its idempotency key was issued before
# the node became the owner of the key. Keys issued after this delay have an owner.
KEY_OWNERSHIP_DELAY_S = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Service of a deployment with its number of servers and its call mix."""

    name: str
    server_count: int
    kinds: tuple[load_generator.CallKind, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Size and call mix of one deployment.

    ``connections`` and ``slots`` are the limits of each endpoint.
    """

    name: str
    connections: int
    services: tuple[Service, ...]
    failure_domains: int = 3
    slots: int = 10

    @property
    def kinds(self) -> tuple[load_generator.CallKind, ...]:
        """Return the kinds of call of all services."""
        return tuple(kind for service in self.services for kind in service.kinds)

    @property
    def hosts_by_service(self) -> dict[str, str]:
        """Return the Host header that the routing rules map to each service."""
        return {service.name: f"{service.name}.test" for service in self.services}

    def server_names(self, service: str) -> list[str]:
        """Return the names of the servers of a service."""
        found = next(item for item in self.services if item.name == service)
        return [f"{service}-{index + 1}" for index in range(found.server_count)]


AR_CENTRAL = Plan(
    "ar-central",
    200,
    (
        Service(
            "rota",
            4,
            (
                load_generator.CallKind(
                    "rota", "lookup", "GET", "/shifts/{id}", True, 3.0
                ),
                load_generator.CallKind("rota", "claim", "POST", "/claims", False, 1.0),
                load_generator.CallKind(
                    "rota", "book", "POST", "/bookings", False, 1.0, keyed=True
                ),
            ),
        ),
        Service(
            "archive",
            5,
            (
                load_generator.CallKind(
                    "archive", "read", "GET", "/records/{id}", True, 6.25
                ),
            ),
        ),
    ),
)
GA_CENTRAL = Plan(
    "ga-central",
    250,
    (
        Service(
            "ordering",
            4,
            (
                load_generator.CallKind(
                    "ordering", "menu", "GET", "/menu/{id}", True, 2.0
                ),
                load_generator.CallKind(
                    "ordering", "order", "POST", "/orders", False, 2.0, 2, keyed=True
                ),
            ),
        ),
        Service(
            "kitchen",
            6,
            (
                load_generator.CallKind(
                    "kitchen", "queue", "GET", "/queue/{id}", True, 5.0
                ),
                load_generator.CallKind(
                    "kitchen", "cook", "POST", "/meals", False, 1.0
                ),
            ),
        ),
    ),
)
PLANS = (AR_CENTRAL, GA_CENTRAL)


def operations(
    service: Service, deadline_ms: int = 2000
) -> tuple[model.Operation, ...]:
    """Return the operations that the published object set declares for a service."""
    return tuple(
        model.Operation(
            kind.operation,
            kind.method,
            kind.path,
            kind.idempotent,
            priority="high" if kind.weight > 1 else "normal",
            weight=kind.weight,
            deadline_ms=deadline_ms,
        )
        for kind in service.kinds
    )


def create_deployment(
    plan: Plan,
    endpoint_options: tuple[str, ...] = (),
    deadline_ms: int = 2000,
    use_relays: bool = False,
) -> deployment.Deployment:
    """Return a deployment of the planned size whose processes aren't started yet."""
    rules = tuple(
        model.Rule(service.name, service.name, host=plan.hosts_by_service[service.name])
        for service in plan.services
    )
    domains_by_server = {}
    for service in plan.services:
        for index, name in enumerate(plan.server_names(service.name)):
            domain = f"{plan.name}-{index % plan.failure_domains + 1}"
            domains_by_server[name] = (service.name, domain)
    return deployment.Deployment(
        rules,
        {service.name: operations(service, deadline_ms) for service in plan.services},
        domains_by_server,
        slots=plan.slots,
        endpoint_options=endpoint_options,
        connections=plan.connections,
        use_relays=use_relays,
    )


def addresses_by_entry(running: deployment.Deployment) -> dict[str, str]:
    """Return the address at which each node accepts calls from callers."""
    return {
        name: server.caller_address for name, server in running.servers_by_name.items()
    }


def wait_for_key_ownership() -> None:
    """Wait until the owner of an idempotency key accepts keys that are issued now."""
    time.sleep(KEY_OWNERSHIP_DELAY_S)
