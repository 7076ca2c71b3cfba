"""Which documents of a set a node uses."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from snipelink import model


def services_used(
    rules: Iterable[model.Rule], service_names: Collection[str], own_service: str
) -> frozenset[str]:
    """Return the services whose documents a node needs.

    These are its own service and those that the rules name. A rule for a caller that
    is itself another service is left out: such calls enter through that service's
    nodes. Callers that are no services may enter through any node.
    """
    used = {
        rule.service
        for rule in rules
        if rule.caller == own_service or rule.caller not in service_names
    }
    if own_service:
        used.add(own_service)
    return frozenset(used & set(service_names))
