"""Selection of the services whose documents a node needs."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from snipelink import model


def needed_services(
    rules: Iterable[model.Rule], service_names: Collection[str], own_service: str
) -> frozenset[str]:
    """Return the services whose documents a node needs.

    A node needs its own service and the services that the rules route calls to. Rules
    whose caller is another service are ignored, because calls of that service enter
    the system through its own nodes. Callers that are not services may use any node.
    """
    used = {
        rule.service
        for rule in rules
        if rule.caller == own_service or rule.caller not in service_names
    }
    if own_service:
        used.add(own_service)
    return frozenset(used & set(service_names))
