"""Loads a directory of objects.

``set.json`` holds the revision and the default budgets. Every other ``*.json`` file in
the directory and its subdirectories holds lists of services, endpoints and rules. Rules
are evaluated in the order of the names of their files, and within a file in the order
of their positions.
"""

from __future__ import annotations

import dataclasses
import functools
import pathlib
from typing import Any

import result

from snipelink import jsonc, model, schemas
from snipelink.objects import templates

SET_FILE = "set.json"
KINDS_BY_LIST = {"services": "service", "endpoints": "endpoint", "rules": "rule"}


@dataclasses.dataclass(frozen=True)
class Item:
    """A declared object with its location.

    Attributes
    ----------
    kind, name : str
        Kind and name of the object. The name is empty if it is missing or is not a
        string.
    source : jsonc.ParsedFile
        File that declares the object.
    path : jsonc.ValuePath
        Path of the object in the file.
    value : dict
        Fields of the object before validation.
    invalid_paths : frozenset of jsonc.ValuePath
        Paths, relative to the object, of the fields that the schema refuses.
    """

    kind: str
    name: str
    source: jsonc.ParsedFile
    path: jsonc.ValuePath
    value: dict[str, Any]
    invalid_paths: frozenset[jsonc.ValuePath] = frozenset()

    @property
    def is_valid(self) -> bool:
        """Whether the schema accepts the object."""
        return not self.invalid_paths

    def valid_fields(self, path: jsonc.ValuePath = ()) -> dict[str, Any]:
        """Return the fields that the schema accepts and that are not null.

        ``path`` selects a nested object; by default the fields of this object are
        returned.
        """
        value: Any = self.value
        for part in path:
            value = value[part]
        if path in self.invalid_paths or not isinstance(value, dict):
            return {}
        length = len(path) + 1
        invalid = {
            found[:length] for found in self.invalid_paths if len(found) >= length
        }
        return {
            key: field
            for key, field in value.items()
            if field is not None and (*path, key) not in invalid
        }

    @property
    def location(self) -> str:
        """Return the file and line of the object."""
        return f"{self.source.file}:{self.source.position(self.path)[0]}"

    def problem(
        self, field: jsonc.ValuePath, expected: str, warning: bool = False
    ) -> jsonc.Problem:
        """Return a problem that is located at a field of this object."""
        line, column = self.source.position((*self.path, *field))
        return jsonc.Problem(
            self.source.file,
            line,
            column,
            f"{self.kind} {self.name}".strip(),
            jsonc.format_path(field),
            expected,
            warning,
        )


@dataclasses.dataclass(frozen=True)
class Objects:
    """The objects of a directory, including those with invalid fields.

    Attributes
    ----------
    set_item : Item or None
        Content of ``set.json``.
    items_by_kind : dict
        Services, endpoints and rules in the order of their declaration.
    problems : tuple of Problem
        Errors of single files and objects; checks of the set as a whole come later.
    incomplete_kinds : frozenset of str
        Kinds of which some objects may be unknown: a file is unreadable, an object has
        no readable name, or an endpoint has no valid service.
    """

    set_item: Item | None
    items_by_kind: dict[str, tuple[Item, ...]]
    problems: tuple[jsonc.Problem, ...]
    incomplete_kinds: frozenset[str]

    @property
    def revision(self) -> int:
        """Return the revision, or 0 if ``set.json`` is missing or invalid."""
        item = self.set_item
        return int(item.value["revision"]) if item is not None and item.is_valid else 0

    @functools.cached_property
    def rules(self) -> list[tuple[Item, model.Rule]]:
        """Valid rules in order of evaluation."""
        return [
            (item, model.Rule(**item.valid_fields()))
            for item in self.items_by_kind["rule"]
            if item.is_valid
        ]

    @functools.cached_property
    def endpoints(self) -> list[tuple[Item, model.Endpoint]]:
        """Endpoints; an invalid field has its default or an empty string."""
        return [(item, _to_endpoint(item)) for item in self.items_by_kind["endpoint"]]

    @functools.cached_property
    def services(self) -> list[tuple[Item, dict[int, model.Operation]]]:
        """Services with their operations by position.

        An invalid field of an operation has its default. Operations with an invalid
        field that has no default are left out.
        """
        return [(item, _to_operations(item)) for item in self.items_by_kind["service"]]


def load(directory: pathlib.Path) -> Objects:
    """Load a directory; errors are returned in ``problems`` of the result."""
    problems: list[jsonc.Problem] = []
    set_item: Item | None = None
    items_by_kind: dict[str, list[Item]] = {"service": [], "endpoint": [], "rule": []}
    incomplete: set[str] = set()
    for path in _find_files(directory):
        read_file = jsonc.read(path)
        if isinstance(read_file, result.Err):
            problems += read_file.err_value
            if path != directory / SET_FILE:
                incomplete.update(items_by_kind)
            continue
        source = read_file.ok_value
        if path == directory / SET_FILE:
            set_item = _read_set_file(source, problems)
        else:
            _read_objects_file(source, items_by_kind, incomplete, problems)
    if not (directory / SET_FILE).exists():
        missing = "missing; expected the revision of the set"
        problems.append(jsonc.Problem(str(directory / SET_FILE), 0, 0, "", "", missing))
    items = {kind: tuple(values) for kind, values in items_by_kind.items()}
    return Objects(set_item, items, tuple(problems), frozenset(incomplete))


def to_set(objects: Objects) -> model.ObjectSet:
    """Return the object set; the objects must have passed all checks."""
    assert objects.set_item is not None
    default_budgets = objects.set_item.value.get("budgets", {})
    endpoints_by_service: dict[str, dict[str, model.Endpoint]] = {}
    for _, endpoint in objects.endpoints:
        endpoints = endpoints_by_service.setdefault(endpoint.service, {})
        endpoints[endpoint.name] = endpoint
    services_by_name = {}
    for item, operations in objects.services:
        budgets = default_budgets | item.value.get("budgets", {})
        services_by_name[item.name] = model.Service(
            item.name,
            _sort_by_specificity(operations),
            endpoints_by_service.get(item.name, {}),
            model.Budgets(**{field: float(value) for field, value in budgets.items()}),
        )
    rules = tuple(rule for _, rule in objects.rules)
    return model.ObjectSet(objects.revision, "", rules, services_by_name)


def _sort_by_specificity(
    operations: dict[int, model.Operation],
) -> tuple[model.Operation, ...]:
    """Put the more specific operations first, as nodes use the first that matches."""
    return tuple(
        sorted(
            operations.values(), key=lambda o: templates.parse(o.path).unwrap().order
        )
    )


def _find_files(directory: pathlib.Path) -> list[pathlib.Path]:
    return [
        path
        for path in sorted(directory.rglob("*.json"))
        if not any(part.startswith(".") for part in path.relative_to(directory).parts)
    ]


def _find_errors(
    source: jsonc.ParsedFile, definition: str
) -> list[tuple[jsonc.ValuePath, str]]:
    schema = {"$ref": f"objects.schema.json#/$defs/{definition}"}
    return schemas.find_errors(source.value, schema, _load_schemas())


@functools.cache
def _load_schemas() -> dict[str, dict[str, Any]]:
    return {
        f"{name}.schema.json": schemas.load(name) for name in ("documents", "objects")
    }


def _read_set_file(source: jsonc.ParsedFile, problems: list[jsonc.Problem]) -> Item:
    errors = _find_errors(source, "SetFile")
    problems += [source.problem(path, expected) for path, expected in errors]
    invalid = frozenset(path for path, _ in errors)
    return Item("set", "", source, (), source.value, invalid)


def _read_objects_file(
    source: jsonc.ParsedFile,
    items_by_kind: dict[str, list[Item]],
    incomplete: set[str],
    problems: list[jsonc.Problem],
) -> None:
    errors = _find_errors(source, "ObjectsFile")
    invalid_by_path: dict[jsonc.ValuePath, set[jsonc.ValuePath]] = {}
    for path, _ in errors:
        invalid_by_path.setdefault(path[:2], set()).add(path[2:])
    items_by_path: dict[jsonc.ValuePath, Item] = {}
    for list_name, kind in KINDS_BY_LIST.items():
        if invalid_by_path.keys() & {(), (list_name,)}:
            incomplete.add(kind)
            continue
        for index, value in enumerate(source.value.get(list_name, [])):
            item = _to_item(kind, source, (list_name, index), value, invalid_by_path)
            if not item.name or (
                kind == "endpoint" and ("service",) in item.invalid_paths
            ):
                incomplete.add(kind)
            items_by_path[item.path] = item
            items_by_kind[kind].append(item)
    for path, expected in errors:
        found = items_by_path.get(path[:2])
        problems.append(
            found.problem(path[2:], expected)
            if found is not None
            else source.problem(path, expected)
        )


def _to_item(
    kind: str,
    source: jsonc.ParsedFile,
    path: jsonc.ValuePath,
    value: object,
    invalid_by_path: dict[jsonc.ValuePath, set[jsonc.ValuePath]],
) -> Item:
    fields = value if isinstance(value, dict) else {}
    name = fields.get("name")
    invalid = frozenset(invalid_by_path.get(path, ()))
    return Item(
        kind, name if isinstance(name, str) else "", source, path, fields, invalid
    )


def _to_endpoint(item: Item) -> model.Endpoint:
    required = dict.fromkeys(("service", "failure_domain", "region", "address"), "")
    fields = required | item.valid_fields() | {"name": item.name}
    fields["endpoint_sets"] = frozenset(fields.get("endpoint_sets", ()))
    fields["leaving"] = fields.pop("state", "active") == "leaving"
    return model.Endpoint(**fields)


def _to_operations(item: Item) -> dict[int, model.Operation]:
    operations = item.value.get("operations")
    operations_by_index = {}
    for index in range(len(operations) if isinstance(operations, list) else 0):
        fields = item.valid_fields(("operations", index))
        if {"name", "method", "path", "idempotent"} <= fields.keys():
            operations_by_index[index] = model.Operation(**fields)
    return operations_by_index
