from __future__ import annotations

import contextlib
import io
import pathlib
import tempfile
from typing import Any

import behave

from snipelink.cli import check
from snipelink.objects import documents
from tests.objects import files


def _find(items: list[dict[str, Any]], name: str) -> dict[str, Any]:
    return next(item for item in items if item["name"] == name)


def _run(context: Any, *arguments: str) -> None:
    stdout, stderr = io.StringIO(), io.StringIO()
    files.write(context.directory / "objects", context.files)
    with contextlib.redirect_stdout(stdout), contextlib.redirect_stderr(stderr):
        context.code = check.main(list(arguments))
    context.report = stdout.getvalue().splitlines()


def _read_tree(directory: pathlib.Path) -> dict[str, bytes]:
    return {
        path.relative_to(directory).as_posix(): path.read_bytes()
        for path in directory.rglob("*")
        if path.is_file()
    }


@behave.given("a valid directory of objects at revision 7")
def step_valid(context: Any) -> None:
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    context.directory = pathlib.Path(temporary.name)
    context.files = files.copy_files()


@behave.given('the weight of operation "{name}" is {weight:d}')
def step_weight(context: Any, name: str, weight: int) -> None:
    service = context.files["services.json"]["services"][0]
    _find(service["operations"], name)["weight"] = weight


@behave.given('rule "{name}" names service "{service}"')
def step_rule(context: Any, name: str, service: str) -> None:
    _find(context.files["rules.json"]["rules"], name)["service"] = service


@behave.given("the previous directory")
def step_previous(context: Any) -> None:
    files.write(context.directory / "before", context.files)


@behave.given('revision {revision:d} without endpoint "{name}"')
def step_without(context: Any, revision: int, name: str) -> None:
    context.files["set.json"]["revision"] = revision
    endpoints = context.files["endpoints/rota.json"]["endpoints"]
    endpoints.remove(_find(endpoints, name))


@behave.given('revision {revision:d} in which operation "{name}" is not idempotent')
def step_not_idempotent(context: Any, revision: int, name: str) -> None:
    context.files["set.json"]["revision"] = revision
    service = context.files["services.json"]["services"][0]
    _find(service["operations"], name)["idempotent"] = False


def _write_at(context: Any, name: str, published_at: str) -> None:
    directory = context.directory
    options = ["--out", str(directory / name), "--published-at", published_at]
    _run(context, str(directory / "objects"), *options)


@behave.when("it is checked with --out")
def step_out(context: Any) -> None:
    directory = context.directory
    _run(context, str(directory / "objects"), "--out", str(directory / "out"))


@behave.when("it is checked with --out at {published_at}")
def step_out_at(context: Any, published_at: str) -> None:
    _write_at(context, "out", published_at)


@behave.when("it is checked with --out to another directory at {published_at}")
def step_out_again(context: Any, published_at: str) -> None:
    _write_at(context, "other", published_at)


@behave.when("it is checked against the previous directory")
def step_against(context: Any) -> None:
    directory = context.directory
    _run(context, str(directory / "objects"), "--against", str(directory / "before"))


@behave.when('it is checked with the arguments "{arguments}"')
def step_arguments(context: Any, arguments: str) -> None:
    _run(context, *arguments.split())


@behave.when('it is checked with the arguments ""')
def step_no_arguments(context: Any) -> None:
    _run(context)


@behave.then("the exit code is {code:d}")
def step_code(context: Any, code: int) -> None:
    assert context.code == code, (context.code, context.report)


@behave.then('line {number:d} of the report contains "{text}"')
def step_line(context: Any, number: int, text: str) -> None:
    assert text in context.report[number - 1], context.report


@behave.then("the documents decode to revision {revision:d}")
def step_decode(context: Any, revision: int) -> None:
    written = _read_tree(context.directory / "out")
    decoded = documents.decode(written["manifest"], written).unwrap()
    assert decoded.revision == revision


@behave.then("both directories hold the same files")
def step_same(context: Any) -> None:
    written = _read_tree(context.directory / "out")
    assert written == _read_tree(context.directory / "other")
    assert "manifest" in written


@behave.then("nothing is written")
def step_nothing(context: Any) -> None:
    assert not (context.directory / "out").exists()
