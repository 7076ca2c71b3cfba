"""Checks of the objects of a directory as one consistent set."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import result

from snipelink import addresses, jsonc, model
from snipelink.objects import documents, loader, templates

_ADDRESS_FIELDS = ("address", "call_address", "control_address")


def check(objects: loader.Objects) -> list[jsonc.Problem]:
    """Return every error and warning of the objects, sorted by file and position.

    One mistake is reported once: a field that the schema refuses is left out of the
    other checks, and an object is not reported as missing if it may be declared in an
    unreadable file or by an invalid field.
    """
    problems = list(objects.problems)
    for find in (
        _find_duplicate_names,
        _find_operation_problems,
        _find_address_problems,
        _find_failure_domain_problems,
        _find_unresolved_references,
        _find_services_without_endpoint,
        _find_empty_endpoint_sets,
        _find_rules_that_never_match,
    ):
        problems += find(objects)
    if not has_errors(problems):
        problems += _find_large_documents(objects)
    return sorted(problems)


def has_errors(problems: list[jsonc.Problem]) -> bool:
    """Whether any of the problems is an error and not just a warning."""
    return any(not problem.warning for problem in problems)


def _find_duplicate_names(objects: loader.Objects) -> Iterator[jsonc.Problem]:
    for items in objects.items_by_kind.values():
        first_by_name: dict[str, loader.Item] = {}
        for item in items:
            first = first_by_name.setdefault(item.name, item)
            if item.name and first is not item:
                yield item.problem(
                    ("name",), f"expected a name used once; also at {first.location}"
                )


def _find_operation_problems(objects: loader.Objects) -> Iterator[jsonc.Problem]:
    for item, operations in objects.services:
        parsed: list[tuple[int, model.Operation, templates.Template]] = []
        names: set[str] = set()
        for index, operation in operations.items():
            path = ("operations", index)
            if operation.name in names:
                yield item.problem(
                    (*path, "name"),
                    f"expected a name used once; found {operation.name!r} again",
                )
            names.add(operation.name)
            template = templates.parse(operation.path)
            if isinstance(template, result.Err):
                yield item.problem((*path, "path"), template.err_value)
            else:
                parsed.append((index, operation, template.ok_value))
        for (_, one, first), (index, two, second) in itertools.combinations(parsed, 2):
            if one.method == two.method and templates.are_ambiguous(first, second):
                yield item.problem(
                    ("operations", index, "path"),
                    f"expected requests that no other operation matches; {two.method} "
                    f"{two.path} overlaps {one.path} of operation {one.name!r}, and "
                    "neither is more specific",
                )


def _find_address_problems(objects: loader.Objects) -> Iterator[jsonc.Problem]:
    first_by_address: dict[tuple[str, int], tuple[loader.Item, str]] = {}
    for item, endpoint in objects.endpoints:
        for field in _ADDRESS_FIELDS:
            text = getattr(endpoint, field)
            if not text:
                continue
            parsed = addresses.parse(text)
            if isinstance(parsed, result.Err):
                yield item.problem((field,), f"{parsed.err_value}; found {text!r}")
                continue
            if parsed.ok_value[1] == 0:
                yield item.problem((field,), "expected a port from 1 to 65535; found 0")
                continue
            first, other_field = first_by_address.setdefault(
                parsed.ok_value, (item, field)
            )
            if (first, other_field) != (item, field):
                yield item.problem(
                    (field,),
                    f"expected an address used once; {text} is also {other_field} of "
                    f"endpoint {first.name!r} at {first.location}",
                )
        if endpoint.control_address and not endpoint.call_address:
            yield item.problem(
                ("control_address",),
                "expected together with call_address: both belong to the node",
            )


def _find_failure_domain_problems(
    objects: loader.Objects,
) -> Iterator[jsonc.Problem]:
    first_by_domain: dict[str, tuple[loader.Item, str]] = {}
    for item, endpoint in objects.endpoints:
        if not endpoint.failure_domain or not endpoint.region:
            continue
        first, region = first_by_domain.setdefault(
            endpoint.failure_domain, (item, endpoint.region)
        )
        if region != endpoint.region:
            yield item.problem(
                ("region",),
                f"expected one region for failure domain {endpoint.failure_domain!r}; "
                f"it is in {region!r} at {first.location}",
            )


def _find_unresolved_references(objects: loader.Objects) -> Iterator[jsonc.Problem]:
    if "service" in objects.incomplete_kinds:
        return
    names = {item.name for item in objects.items_by_kind["service"]}
    for item in (*objects.items_by_kind["endpoint"], *objects.items_by_kind["rule"]):
        service = item.value.get("service")
        if isinstance(service, str) and service not in names:
            yield item.problem(
                ("service",), f"expected the name of a service; found {service!r}"
            )


def _find_services_without_endpoint(
    objects: loader.Objects,
) -> Iterator[jsonc.Problem]:
    if "endpoint" in objects.incomplete_kinds:
        return
    active = {e.service for _, e in objects.endpoints if not e.leaving}
    leaving = {e.service for _, e in objects.endpoints if e.leaving}
    with_rules = {
        item.valid_fields().get("service") for item in objects.items_by_kind["rule"]
    }
    for item in objects.items_by_kind["service"]:
        if item.name in active or not item.name:
            continue
        is_retiring = (
            item.name in leaving
            and item.name not in with_rules
            and "rule" not in objects.incomplete_kinds
        )
        yield item.problem(
            ("name",),
            "no rule and no active endpoint; it can be removed now"
            if is_retiring
            else "expected at least one active endpoint",
            warning=is_retiring,
        )


def _find_empty_endpoint_sets(objects: loader.Objects) -> Iterator[jsonc.Problem]:
    if "endpoint" in objects.incomplete_kinds:
        return
    members = {
        (endpoint.service, name)
        for _, endpoint in objects.endpoints
        if not endpoint.leaving
        for name in endpoint.endpoint_sets
    }
    unchecked_services = {
        endpoint.service for item, endpoint in objects.endpoints if not item.is_valid
    }
    for item in objects.items_by_kind["rule"]:
        fields = item.valid_fields()
        service, name = fields.get("service"), fields.get("endpoint_set")
        if (
            name
            and (service, name) not in members
            and service not in unchecked_services
        ):
            yield item.problem(
                ("endpoint_set",),
                f"expected an endpoint set with an active endpoint of service "
                f"{service!r}; found {name!r}",
            )


def _find_rules_that_never_match(objects: loader.Objects) -> Iterator[jsonc.Problem]:
    templates_by_service: dict[str, list[templates.Template]] = {}
    unchecked_services = {
        item.name for item, _ in objects.services if not item.is_valid
    }
    for service, operations in objects.services:
        found = templates_by_service.setdefault(service.name, [])
        for operation in operations.values():
            parsed = templates.parse(operation.path)
            if isinstance(parsed, result.Err):
                unchecked_services.add(service.name)
            else:
                found.append(parsed.ok_value)
    earlier_rules: list[tuple[loader.Item, model.Rule]] = []
    for item, rule in objects.rules:
        prefix = templates.parse_prefix(rule.path_prefix)
        for other_item, other in earlier_rules:
            if (
                other.caller in ("", rule.caller)
                and other.host in ("", rule.host)
                and templates.parse_prefix(other.path_prefix).contains(prefix)
            ):
                yield item.problem(
                    (),
                    f"can never match: rule {other.name!r} at {other_item.location} "
                    "matches all of its calls first",
                )
                break
        earlier_rules.append((item, rule))
        if (
            rule.service in templates_by_service
            and rule.service not in unchecked_services
            and not any(t.overlaps(prefix) for t in templates_by_service[rule.service])
        ):
            yield item.problem(
                ("path_prefix",),
                f"can never match: service {rule.service!r} has no operation below "
                f"{rule.path_prefix}",
            )


def _find_large_documents(objects: loader.Objects) -> Iterator[jsonc.Problem]:
    object_set = loader.to_set(objects)
    items_by_service = {item.name: item for item, _ in objects.services}
    set_item = objects.set_item
    assert set_item is not None
    for key, content in documents.render(object_set).items():
        if len(content) > documents.MAX_DOCUMENT_BYTES:
            name = key.split("@")[0]
            item = items_by_service.get(name.removeprefix("service/"), set_item)
            yield (item if name.startswith("service/") else set_item).problem(
                (),
                f"expected a document of at most {documents.MAX_DOCUMENT_BYTES} bytes; "
                f"{name} has {len(content)}",
            )
