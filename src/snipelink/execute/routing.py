"""Matches requests to services and operations by the routing rules."""

from __future__ import annotations

import dataclasses

from result import Err, Ok, Result

from snipelink import errors, model


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Service, operation and endpoint set that a request is routed to."""

    service: model.Service
    operation: model.Operation
    endpoint_set: str
    rule: str


def route(
    objects: model.ObjectSet, host: str, path: str, method: str, caller: str
) -> Result[Route, errors.Failure]:
    """Return the route of a request.

    Parameters
    ----------
    host : str
        Host header without port, lower case.
    path : str
        Path of the request target without query.
    """
    rule = find_rule(objects, host, path, caller)
    if rule is None:
        return Err(errors.Failure(errors.Kind.NO_RULE, "no rule matches the request"))
    service = objects.services_by_name.get(rule.service)
    if service is None:
        detail = f"service {rule.service} is not known"
        return Err(errors.Failure(errors.Kind.NO_RULE, detail))
    operation = find_operation(service, path, method)
    if operation is None:
        detail = f"service {service.name} has no operation for the request"
        return Err(errors.Failure(errors.Kind.UNKNOWN_OPERATION, detail))
    return Ok(Route(service, operation, rule.endpoint_set, rule.name))


def find_rule(
    objects: model.ObjectSet, host: str, path: str, caller: str
) -> model.Rule | None:
    """Return the first rule that matches a request."""
    for rule in objects.rules:
        if rule.caller and rule.caller != caller:
            continue
        if rule.host and rule.host != host:
            continue
        if _has_prefix(path, rule.path_prefix):
            return rule
    return None


def find_operation(
    service: model.Service, path: str, method: str
) -> model.Operation | None:
    """Return the first operation of `service` that matches a request."""
    for operation in service.operations:
        if operation.method == method and _path_matches(operation.path, path):
            return operation
    return None


def select_candidates(
    service: model.Service, endpoint_set: str
) -> tuple[model.Endpoint, ...]:
    """Return the endpoints in `endpoint_set`; all endpoints if it is empty."""
    endpoints = service.endpoints_by_name.values()
    if not endpoint_set:
        return tuple(endpoints)
    return tuple(e for e in endpoints if endpoint_set in e.endpoint_sets)


def _has_prefix(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"


def _path_matches(template: str, path: str) -> bool:
    if "{" not in template and "*" not in template:
        return template == path
    template_segments = template.split("/")
    path_segments = path.split("/")
    if template_segments[-1] == "*":
        template_segments = template_segments[:-1]
        path_segments = path_segments[: len(template_segments)]
    if len(template_segments) != len(path_segments):
        return False
    for template_segment, segment in zip(template_segments, path_segments, strict=True):
        if template_segment.startswith("{"):
            if not segment:
                return False
        elif template_segment != segment:
            return False
    return True
