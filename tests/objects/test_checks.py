from __future__ import annotations

import json
import pathlib
import tempfile
from typing import Any

import hypothesis
import hypothesis.strategies as st
import pytest

from snipelink import jsonc
from snipelink.objects import changes, checks, documents, loader
from tests.objects import files


def _services(f: files.Files) -> list[dict]:
    return f["services.json"]["services"]


def _operations(f: files.Files) -> list[dict]:
    return _services(f)[0]["operations"]


def _rota(f: files.Files) -> list[dict]:
    return f["endpoints/rota.json"]["endpoints"]


def _archive(f: files.Files) -> list[dict]:
    return f["endpoints/archive.json"]["endpoints"]


def _rules(f: files.Files) -> list[dict]:
    return f["rules.json"]["rules"]


def _operation(path: str, method: str = "GET") -> dict:
    return {"name": "added", "method": method, "path": path, "idempotent": True}


OPERATION = '{"name": "added", "method": "GET", "path": "/new", "idempotent": true}'
# Each line describes one error as: file | path of the value to set, where "+" appends |
# value | object in the report | field in the report. All errors can be planted together
# and are still reported one by one.
PLANTS = """
set.json | revision | 0 | | revision
set.json | budgets.x | 1 | | budgets.x
services.json | services.0.operations.0.weight | 101 | service rota | operations[0].weight
services.json | services.0.operations.1.deadline_ms | 0 | service rota | operations[1].deadline_ms
services.json | services.0.operations.0.path | "/shifts/{" | service rota | operations[0].path
services.json | services.0.operations.2.name | "find" | service rota | operations[2].name
services.json | services.+ | {"name": "new", "operations": [OPERATION]} | service new | name
twice.json | services | [{"name": "archive", "operations": [OPERATION]}] | service archive | name
endpoints/rota.json | endpoints.0.address | "localhost:80" | endpoint rota-1 | address
endpoints/rota.json | endpoints.1.call_address | "rota-2:9201" | endpoint rota-2 | call_address
endpoints/rota.json | endpoints.1.region | "south" | endpoint rota-2 | region
endpoints/rota.json | endpoints.2.slots | "10" | endpoint rota-3 | slots
endpoints/rota.json | endpoints.2.unknown | 1 | endpoint rota-3 | unknown
rules.json | rules.1.name | "blue" | rule blue | name
endpoints/archive.json | endpoints.0.call_address | "127.0.0.1:9400" | endpoint archive-1 | call_address
rules.json | rules.+ | {"name": "r", "service": "nosuch", "host": "h"} | rule r | service
rules.json | rules.+ | {"name": "s", "service": "archive", "endpoint_set": "blue", "caller": "c"} | rule s | endpoint_set
rules.json | rules.+ | {"name": "t", "service": "rota", "path_prefix": "/shifts/x"} | rule t |
rules.json | rules.+ | {"name": "u", "service": "archive", "path_prefix": "/no"} | rule u | path_prefix
rules.json | rules.+ | {"name": "v", "service": "rota", "host": "A:80"} | rule v | host
""".strip().splitlines()  # noqa: E501


def _plant(content: files.Files, line: str) -> tuple[str, ...]:
    file, path, value, *concerned = (part.strip() for part in line.split("|"))
    *parents, last = path.split(".")
    container: Any = content.setdefault(file, {})
    for part in parents:
        container = container[int(part) if part.isdigit() else part]
    planted = json.loads(value.replace("OPERATION", OPERATION))
    if last == "+":
        container.append(planted)
    else:
        container[last] = planted
    return file, *concerned


def _check(content: files.Files) -> list[jsonc.Problem]:
    with tempfile.TemporaryDirectory() as directory:
        path = files.write(pathlib.Path(directory), content)
        return [
            jsonc.Problem(
                problem.file.removeprefix(f"{directory}/"),
                *(problem.line, problem.column, problem.object, problem.field),
                *(problem.expected, problem.warning),
            )
            for problem in checks.check(loader.load(path))
        ]


def test_valid_directory_is_loaded_as_the_declared_set(tmp_path: pathlib.Path) -> None:
    """Guards against refusing a valid set, or loading it with other values."""
    objects = loader.load(files.write(tmp_path, files.copy_files()))
    assert checks.check(objects) == []
    object_set = loader.to_set(objects)
    assert object_set.revision == 7
    assert [rule.name for rule in object_set.rules] == ["blue", "rota", "archive"]
    rota, archive = (object_set.services_by_name[n] for n in ("rota", "archive"))
    assert rota.endpoints_by_name["rota-3"].leaving
    assert rota.endpoints_by_name["rota-1"].endpoint_sets == {"blue"}
    assert [o.name for o in rota.operations] == ["today", "find", "claim"]
    assert rota.operations[2].weight == 2
    assert (rota.budgets.retry_ratio, archive.budgets.retry_ratio) == (0.1, 0.2)
    rendered = documents.render(object_set)
    assert documents.decode(rendered["manifest"], rendered).is_ok()


@hypothesis.given(st.sets(st.sampled_from(PLANTS), min_size=1))
def test_every_planted_error_is_reported_in_one_run(chosen: set[str]) -> None:
    """Guards against an error that is hidden by another one."""
    content = files.copy_files()
    expected = [_plant(content, line) for line in PLANTS if line in chosen]
    problems = _check(content)
    found = [(problem.file, problem.object, problem.field) for problem in problems]
    assert sorted(found) == sorted(expected)
    assert all(problem.line > 1 for problem in problems)


@pytest.mark.parametrize("line", PLANTS)
def test_planted_error_is_reported(line: str) -> None:
    """Guards against a check that finds an error only beside other errors."""
    content = files.copy_files()
    expected = _plant(content, line)
    (problem,) = _check(content)
    assert (problem.file, problem.object, problem.field) == expected


@pytest.mark.parametrize(
    ("path", "method", "ambiguous"),
    [
        ("/shifts/{number}", "GET", True),
        ("/{kind}/today", "GET", True),
        ("/shifts/*", "GET", False),
        ("/shifts/{number}", "DELETE", False),
    ],
)
def test_ambiguous_operations_are_refused(
    path: str, method: str, ambiguous: bool
) -> None:
    """Guards against a request whose operation, and so its idempotency, is unclear."""
    content = files.copy_files()
    _operations(content).append(_operation(path, method))
    problems = _check(content)
    assert any(p.field == "operations[3].path" for p in problems) == ambiguous
    assert bool(problems) == ambiguous


@pytest.mark.parametrize("broken", sorted(files.FILES))
def test_unreadable_file_causes_one_error(broken: str) -> None:
    """Guards against an error for every reference into a file that is unreadable."""
    content = files.copy_files()
    content[broken] = {"unknown": []}
    with tempfile.TemporaryDirectory() as directory:
        path = files.write(pathlib.Path(directory), content)
        (path / broken).write_text("{")
        (problem,) = checks.check(loader.load(path))
    assert problem.file.endswith(broken)
    assert "not JSON" in problem.expected


def test_missing_set_file_is_reported() -> None:
    """Guards against accepting a set without a revision."""
    content = files.copy_files()
    del content["set.json"]
    (problem,) = _check(content)
    assert problem.file == "set.json"


def test_service_without_rules_may_have_only_leaving_endpoints() -> None:
    """Guards against checks that refuse a step of the removal of a service."""
    content = files.copy_files()
    _archive(content)[0]["state"] = "leaving"
    (problem,) = _check(content)
    assert not problem.warning
    del _rules(content)[2]
    (problem,) = _check(content)
    assert problem.warning


def test_document_above_the_platform_limit_is_refused() -> None:
    """Guards against a document that is too large for the platform."""
    content = files.copy_files()
    _archive(content).extend(
        _archive(content)[0]
        | {"name": f"archive-{n}", "address": f"10.1.{n // 250}.{n % 250}:80"}
        | {"call_address": None, "endpoint_sets": [f"{i}-{'x' * 50}" for i in range(5)]}
        for n in range(2, 3000)
    )
    (problem,) = _check(content)
    assert (problem.object, "1000000" in problem.expected) == ("service archive", True)


ANYTHING = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    # Text is stored as UTF-8, which cannot encode lone surrogates.
    | st.text(st.characters(exclude_categories=["Cs"]), max_size=3),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.text("ab/{}", max_size=2), inner)
    ),
    max_leaves=5,
)


def _find_places(value: object) -> list[tuple[Any, Any]]:
    """Return a pair of container and key for each value inside a value."""
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    else:
        return []
    return [(value, key) for key, _ in items] + [
        place for _, item in items for place in _find_places(item)
    ]


@hypothesis.given(st.data())
@hypothesis.settings(max_examples=300)
def test_any_value_anywhere_is_reported_or_published(data: st.DataObject) -> None:
    """Guards against a traceback, and against a set that nodes refuse later."""
    content = files.copy_files()
    for _ in range(data.draw(st.integers(1, 3))):
        container, key = data.draw(st.sampled_from(_find_places(content)))
        container[key] = data.draw(ANYTHING)
    with tempfile.TemporaryDirectory() as directory:
        objects = loader.load(files.write(pathlib.Path(directory), content))
        changes.check_change(objects, objects)
        if checks.has_errors(checks.check(objects)):
            return
    rendered = documents.render(loader.to_set(objects))
    assert documents.decode(rendered["manifest"], rendered).is_ok()
