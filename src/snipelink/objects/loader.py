"""Reading an object directory.

``set.json`` holds the revision and the default budgets; every other ``*.json`` file
below the directory holds lists of services, endpoints and rules. Rules are in force
in the order of their files' names, then of their position in the file.
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
    """One declared object with its place.

    Attributes
    ----------
    kind, name : str
        Kind and name of the object; the name is empty if it could not be read.
    source : jsonc.ParsedFile
        File of the object.
    path : jsonc.ValuePath
        Path of the object in the file.
    value : dict
        Its fields as they were read.
    wrong_paths : frozenset of jsonc.ValuePath
        Fields that the schema refuses, as paths from the object.
    """

    kind: str
    name: str
    source: jsonc.ParsedFile
    path: jsonc.ValuePath
    value: dict[str, Any]
    wrong_paths: frozenset[jsonc.ValuePath] = frozenset()

    @property
    def valid(self) -> bool:
        """Whether the schema accepts the object."""
        return not self.wrong_paths

    def right_fields(self, path: jsonc.ValuePath = ()) -> dict[str, Any]:
        """Return the fields that the schema accepts and that are not null.

        ``path`` leads to an object within this one.
        """
        value: Any = self.value
        for part in path:
            value = value[part]
        if path in self.wrong_paths or not isinstance(value, dict):
            return {}
        length = len(path) + 1
        wrong = {found[:length] for found in self.wrong_paths if len(found) >= length}
        return {
            key: field
            for key, field in value.items()
            if field is not None and (*path, key) not in wrong
        }

    @property
    def place(self) -> str:
        """Return file and line."""
        return f"{self.source.file}:{self.source.position(self.path)[0]}"

    def problem(
        self, field: jsonc.ValuePath, expected: str, warning: bool = False
    ) -> jsonc.Problem:
        """Return a problem of a field of this object."""
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
    """The objects of a directory as far as they could be read.

    Attributes
    ----------
    set_item : Item or None
        Content of ``set.json``.
    items_by_kind : dict
        Services, endpoints and rules in order.
    problems : tuple of Problem
        Errors of single files and objects.
    incomplete_kinds : frozenset of str
        Kinds of which some object's name could not be read.
    """

    set_item: Item | None
    items_by_kind: dict[str, tuple[Item, ...]]
    problems: tuple[jsonc.Problem, ...]
    incomplete_kinds: frozenset[str]

    @property
    def revision(self) -> int:
        """Return the revision; 0 when it could not be read."""
        item = self.set_item
        return int(item.value["revision"]) if item is not None and item.valid else 0

    @functools.cached_property
    def rules(self) -> list[tuple[Item, model.Rule]]:
        """Valid rules in order of evaluation."""
        return [
            (item, model.Rule(**item.right_fields()))
            for item in self.items_by_kind["rule"]
            if item.valid
        ]

    @functools.cached_property
    def endpoints(self) -> list[tuple[Item, model.Endpoint]]:
        """Endpoints, with the default or an empty string for a wrong field."""
        return [(item, _to_endpoint(item)) for item in self.items_by_kind["endpoint"]]

    @functools.cached_property
    def services(self) -> list[tuple[Item, dict[int, model.Operation]]]:
        """Services with their operations by position.

        Operations have the default for a wrong field that has one, and are left out
        for another wrong field.
        """
        return [(item, _to_operations(item)) for item in self.items_by_kind["service"]]


def load(directory: pathlib.Path) -> Objects:
    """Read a directory; errors are in ``problems`` of the returned objects."""
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
    """Return the set of objects that passed every check."""
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
            _order(operations),
            endpoints_by_service.get(item.name, {}),
            model.Budgets(**{field: float(value) for field, value in budgets.items()}),
        )
    rules = tuple(rule for _, rule in objects.rules)
    return model.ObjectSet(objects.revision, "", rules, services_by_name)


def _order(operations: dict[int, model.Operation]) -> tuple[model.Operation, ...]:
    """Put the more specific operations first; nodes take the first that matches."""
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
    wrong = frozenset(path for path, _ in errors)
    return Item("set", "", source, (), source.value, wrong)


def _read_objects_file(
    source: jsonc.ParsedFile,
    items_by_kind: dict[str, list[Item]],
    incomplete: set[str],
    problems: list[jsonc.Problem],
) -> None:
    errors = _find_errors(source, "ObjectsFile")
    wrong_by_path: dict[jsonc.ValuePath, set[jsonc.ValuePath]] = {}
    for path, _ in errors:
        wrong_by_path.setdefault(path[:2], set()).add(path[2:])
    items_by_path: dict[jsonc.ValuePath, Item] = {}
    for list_name, kind in KINDS_BY_LIST.items():
        if wrong_by_path.keys() & {(), (list_name,)}:
            incomplete.add(kind)
            continue
        for index, value in enumerate(source.value.get(list_name, [])):
            item = _to_item(kind, source, (list_name, index), value, wrong_by_path)
            if not item.name or (
                kind == "endpoint" and ("service",) in item.wrong_paths
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
    wrong_by_path: dict[jsonc.ValuePath, set[jsonc.ValuePath]],
) -> Item:
    fields = value if isinstance(value, dict) else {}
    name = fields.get("name")
    wrong = frozenset(wrong_by_path.get(path, ()))
    return Item(
        kind, name if isinstance(name, str) else "", source, path, fields, wrong
    )


def _to_endpoint(item: Item) -> model.Endpoint:
    required = dict.fromkeys(("service", "failure_domain", "region", "address"), "")
    fields = required | item.right_fields() | {"name": item.name}
    fields["endpoint_sets"] = frozenset(fields.get("endpoint_sets", ()))
    fields["leaving"] = fields.pop("state", "active") == "leaving"
    return model.Endpoint(**fields)


def _to_operations(item: Item) -> dict[int, model.Operation]:
    operations = item.value.get("operations")
    operations_by_index = {}
    for index in range(len(operations) if isinstance(operations, list) else 0):
        fields = item.right_fields(("operations", index))
        if {"name", "method", "path", "idempotent"} <= fields.keys():
            operations_by_index[index] = model.Operation(**fields)
    return operations_by_index
