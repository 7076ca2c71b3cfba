"""Checks of a change from a published set of objects to the next one."""

from __future__ import annotations

from collections.abc import Iterator

from snipelink import jsonc, model
from snipelink.objects import loader, templates


def check_change(old: loader.Objects, new: loader.Objects) -> list[jsonc.Problem]:
    """Return every error and warning of replacing ``old`` by ``new``, sorted."""
    problems = [
        *_find_revision_problems(old, new),
        *_find_removed_endpoints(old, new),
        *_find_reused_names(old, new),
        *_find_services_that_lose_endpoints(old, new),
        *_find_changed_operations(old, new),
    ]
    return sorted(problems)


def _find_revision_problems(
    old: loader.Objects, new: loader.Objects
) -> Iterator[jsonc.Problem]:
    if new.set_item is None or not new.revision or new.revision > old.revision:
        return
    if new.revision == old.revision and _content(old) == _content(new):
        return
    yield new.set_item.problem(
        ("revision",),
        f"expected a revision above {old.revision}; found {new.revision}",
    )


def _content(objects: loader.Objects) -> object:
    item = objects.set_item
    return (
        {k: [i.value for i in items] for k, items in objects.items_by_kind.items()},
        item.value if item is not None else None,
    )


def _find_removed_endpoints(
    old: loader.Objects, new: loader.Objects
) -> Iterator[jsonc.Problem]:
    if "endpoint" in new.incomplete_kinds:
        return
    names = {item.name for item in new.items_by_kind["endpoint"]}
    for item, endpoint in old.endpoints:
        if endpoint.name not in names and not endpoint.leaving:
            yield item.problem(
                ("state",),
                'removed; expected "leaving" in the set before, so that the calls on '
                "it can end",
            )


def _find_reused_names(
    old: loader.Objects, new: loader.Objects
) -> Iterator[jsonc.Problem]:
    old_by_name = {endpoint.name: (item, endpoint) for item, endpoint in old.endpoints}
    for item, endpoint in new.endpoints:
        if endpoint.name not in old_by_name:
            continue
        old_item, before = old_by_name[endpoint.name]
        if endpoint.service and before.service != endpoint.service:
            yield item.problem(
                ("service",),
                f"expected a new name for a new endpoint; {endpoint.name!r} ran "
                f"service {before.service!r} at {old_item.location}",
            )


def _find_services_that_lose_endpoints(
    old: loader.Objects, new: loader.Objects
) -> Iterator[jsonc.Problem]:
    if "endpoint" in new.incomplete_kinds:
        return
    active = {e.service for _, e in new.endpoints if not e.leaving}
    rules_by_service = {rule.service: item for item, rule in (*old.rules, *new.rules)}
    new_by_name = {item.name: item for item in new.items_by_kind["service"]}
    lost = {
        endpoint.service
        for _, endpoint in old.endpoints
        if not endpoint.leaving and endpoint.service not in active
    }
    for item in old.items_by_kind["service"]:
        if item.name in lost and item.name in rules_by_service:
            yield new_by_name.get(item.name, item).problem(
                ("name",),
                "loses its last active endpoint; expected its rules to be removed in "
                "an earlier set, found a rule at "
                f"{rules_by_service[item.name].location}",
            )


def _find_changed_operations(
    old: loader.Objects, new: loader.Objects
) -> Iterator[jsonc.Problem]:
    old_by_service = {item.name: operations for item, operations in old.services}
    for item, operations in new.services:
        before = tuple(old_by_service.get(item.name, {}).values())
        for index, operation in operations.items():
            predecessor = _find_predecessor(operation, before)
            if (
                predecessor is not None
                and predecessor.idempotent != operation.idempotent
            ):
                kind = "idempotent" if operation.idempotent else "non-idempotent"
                yield item.problem(
                    ("operations", index, "idempotent"),
                    f"operation {operation.name!r} becomes {kind}; until a node has "
                    "received this set, it treats the calls of the operation as before",
                    warning=True,
                )


def _find_predecessor(
    operation: model.Operation, candidates: tuple[model.Operation, ...]
) -> model.Operation | None:
    """Return the operation of the previous set that an operation replaces.

    It has the same name or, if the operation was renamed, matches the same requests.
    """
    for candidate in candidates:
        if candidate.name == operation.name:
            return candidate
    template = templates.parse(operation.path)
    for candidate in candidates:
        if candidate.method == operation.method and (
            templates.parse(candidate.path) == template
        ):
            return candidate
    return None
