from __future__ import annotations

import pathlib
import tempfile
from collections.abc import Callable

import hypothesis
import hypothesis.strategies as st
import pytest

from snipelink import jsonc
from snipelink.objects import checks, documents, reading
from tests.objects import files

Plant = Callable[[files.Files], object]


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


# Each plants one error; none hides another.
PLANTS: list[tuple[Plant, str, str, str]] = [
    (lambda f: f["set.json"].update(revision=0), "set.json", "", "revision"),
    (lambda f: f["set.json"]["budgets"].update(x=1), "set.json", "", "budgets.x"),
    (
        lambda f: _operations(f)[0].update(weight=101),
        "services.json",
        "service rota",
        "operations[0].weight",
    ),
    (
        lambda f: _operations(f)[1].update(deadline_ms=0),
        "services.json",
        "service rota",
        "operations[1].deadline_ms",
    ),
    (
        lambda f: _operations(f)[0].update(path="/shifts/{"),
        "services.json",
        "service rota",
        "operations[0].path",
    ),
    (
        lambda f: _services(f)[1]["operations"].append(
            _operation("/other") | {"name": "read"}
        ),
        "services.json",
        "service archive",
        "operations[1].name",
    ),
    (
        lambda f: f.update({"twice.json": {"services": [_services(files.FILES)[1]]}}),
        "twice.json",
        "service archive",
        "name",
    ),
    (
        lambda f: _services(f).append(
            {"name": "new", "operations": [_operation("/new")]}
        ),
        "services.json",
        "service new",
        "name",
    ),
    (
        lambda f: _rota(f)[0].update(address="localhost:80"),
        "endpoints/rota.json",
        "endpoint rota-1",
        "address",
    ),
    (
        lambda f: _rota(f)[1].update(call_address="rota-2:9201"),
        "endpoints/rota.json",
        "endpoint rota-2",
        "call_address",
    ),
    (
        lambda f: _rota(f)[2].update(slots="10"),
        "endpoints/rota.json",
        "endpoint rota-3",
        "slots",
    ),
    (
        lambda f: _rota(f)[2].update(unknown=1),
        "endpoints/rota.json",
        "endpoint rota-3",
        "unknown",
    ),
    (
        lambda f: _archive(f)[0].update(call_address="127.0.0.1:9400"),
        "endpoints/archive.json",
        "endpoint archive-1",
        "call_address",
    ),
    (
        lambda f: _rota(f)[1].update(failure_domain="domain-1", region="south"),
        "endpoints/rota.json",
        "endpoint rota-2",
        "region",
    ),
    (
        lambda f: _rules(f).append({"name": "r", "service": "nosuch", "host": "h"}),
        "rules.json",
        "rule r",
        "service",
    ),
    (
        lambda f: _rules(f).append(
            {"name": "s", "service": "archive", "endpoint_set": "blue", "caller": "c"}
        ),
        "rules.json",
        "rule s",
        "endpoint_set",
    ),
    (
        lambda f: _rules(f).append(
            {"name": "t", "service": "archive", "path_prefix": "/archive/x"}
        ),
        "rules.json",
        "rule t",
        "",
    ),
    (
        lambda f: _rules(f).append(
            {"name": "u", "service": "archive", "path_prefix": "/elsewhere"}
        ),
        "rules.json",
        "rule u",
        "path_prefix",
    ),
    (
        lambda f: _rules(f).append({"name": "v", "service": "rota", "host": "A:80"}),
        "rules.json",
        "rule v",
        "host",
    ),
]


def _check(content: files.Files) -> list[jsonc.Problem]:
    with tempfile.TemporaryDirectory() as directory:
        path = files.write(pathlib.Path(directory), content)
        return [
            jsonc.Problem(
                problem.file.removeprefix(f"{directory}/"),
                *(problem.line, problem.column, problem.object, problem.field),
                *(problem.expected, problem.warning),
            )
            for problem in checks.check(reading.read(path))
        ]


def test_valid_directory_gives_the_declared_set(tmp_path: pathlib.Path) -> None:
    """Guards against a valid set that is refused or read differently."""
    objects = reading.read(files.write(tmp_path, files.copy_files()))
    assert checks.check(objects) == []
    object_set = reading.to_set(objects)
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


@hypothesis.given(st.sets(st.sampled_from(range(len(PLANTS))), min_size=1))
def test_every_planted_error_is_reported_in_one_run(chosen: set[int]) -> None:
    """Guards against an error that is hidden by another one."""
    content = files.copy_files()
    expected = []
    for index in sorted(chosen):
        plant, *place = PLANTS[index]
        plant(content)
        expected.append(tuple(place))
    problems = _check(content)
    found = [(problem.file, problem.object, problem.field) for problem in problems]
    assert sorted(found) == sorted(expected)
    assert all(problem.line > 1 for problem in problems)


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
    """Guards against a claim that is taken for an idempotent lookup."""
    content = files.copy_files()
    _operations(content).append(_operation(path, method))
    problems = _check(content)
    assert any(p.field == "operations[3].path" for p in problems) == ambiguous
    assert bool(problems) == ambiguous


@pytest.mark.parametrize("broken", sorted(files.FILES))
def test_broken_file_causes_no_further_errors(broken: str) -> None:
    """Guards against a flood of references that do not resolve."""
    content = files.copy_files()
    content[broken] = {"unknown": []}
    with tempfile.TemporaryDirectory() as directory:
        path = files.write(pathlib.Path(directory), content)
        (path / broken).write_text("{")
        (problem,) = checks.check(reading.read(path))
    assert problem.file.endswith(broken)
    assert "not JSON" in problem.expected


def test_missing_set_file_is_reported() -> None:
    """Guards against a set without a revision."""
    content = files.copy_files()
    del content["set.json"]
    (problem,) = _check(content)
    assert problem.file == "set.json"


def test_service_that_is_being_retired_may_have_only_leaving_endpoints() -> None:
    """Guards against a service that can never be removed step by step."""
    content = files.copy_files()
    _archive(content)[0]["state"] = "leaving"
    (problem,) = _check(content)
    assert not problem.warning
    del _rules(content)[2]
    (problem,) = _check(content)
    assert problem.warning


def test_document_above_the_platform_limit_is_refused() -> None:
    """Guards against a document that the platform cannot hold."""
    content = files.copy_files()
    _archive(content).extend(
        _archive(content)[0]
        | {"name": f"archive-{n}", "address": f"10.1.{n // 250}.{n % 250}:80"}
        | {"call_address": None, "endpoint_sets": [f"{i}-{'x' * 50}" for i in range(5)]}
        for n in range(2, 3000)
    )
    (problem,) = _check(content)
    assert (problem.object, "1000000" in problem.expected) == ("service archive", True)
