from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import hypothesis
import hypothesis.strategies as st
import pytest

from snipelink import schemas, settings

VALID = {
    "node": "rota-1",
    "failure_domain": "a",
    "region": "r",
    "caller_listen": "127.0.0.1:8000",
    "call_listen": "127.0.0.1:8001",
    "endpoint": "127.0.0.1:9000",
    "platform_urls": ["http://127.0.0.1:7000"],
}
SCHEMA = schemas.load("settings")


def _write(path: pathlib.Path, changes: dict[str, object]) -> pathlib.Path:
    lines = [
        f"  {json.dumps(k)}: {json.dumps(v)}" for k, v in (VALID | changes).items()
    ]
    path.write_text("{ // settings\n" + ",\n".join(lines) + "\n}")
    return path


def test_valid_file_is_loaded_without_the_schema_library(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against loading the schema library, several MB, in every node."""
    path = _write(tmp_path / "s", {"grace_s": 5})
    code = (
        "import sys; from snipelink import settings;"
        "loaded = settings.load(sys.argv[1]).unwrap(); assert loaded.grace_s == 5;"
        "assert not {'jsonschema', 'json_source_map'} & set(sys.modules)"
    )
    subprocess.run([sys.executable, "-c", code, str(path)], check=True)


def _wrong_values(field: dict[str, object]) -> list[object]:
    if "anyOf" in field:
        # Errors inside a nested object are reported at its fields, so only values that
        # are no objects are used here.
        return [1, "x", []]
    wrong: list[object] = [{}, 1 if field["type"] == "string" else "x"]
    if "minimum" in field:
        wrong += [field["minimum"] - 1, field["maximum"] + 1, True]  # type: ignore[operator]
    if "enum" in field:
        wrong.append("other")
    return wrong


WRONG = [
    (name, value)
    for name, field in SCHEMA["properties"].items()
    for value in _wrong_values(field)
] + [
    ("unknown_field", 1),
    ("node", ""),
    ("endpoint", "localhost:80"),
    ("endpoint", "127.0.0.1:0"),
    ("admin_listen", "127.0.0.1:99999"),
    ("control_seeds", ["127.0.0.1:0"]),
    ("control_seeds", ["node-1:80"]),
    ("platform_urls", []),
    ("platform_urls", ["127.0.0.1:7000"]),
]


@pytest.mark.parametrize(("name", "value"), WRONG)
def test_invalid_field_is_reported_at_its_line(
    tmp_path: pathlib.Path, name: str, value: object
) -> None:
    """Guards against a field that is ignored, or accepted outside of its range."""
    path = _write(tmp_path / "s", {name: value})
    (problem,) = settings.load(path).unwrap_err()
    assert problem.field.split("[")[0] == name
    assert problem.line == 2 + list(VALID | {name: value}).index(name)
    assert problem.file == str(path)


@hypothesis.given(
    st.lists(st.sampled_from(WRONG), unique_by=lambda x: x[0], max_size=9)
)
@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
def test_every_error_is_reported_in_one_run(
    tmp_path: pathlib.Path, changes: list[tuple[str, object]]
) -> None:
    """Guards against errors that show up one after the other, a run each."""
    loaded = settings.load(_write(tmp_path / "s", dict(changes)))
    found = {problem.field.split("[")[0] for problem in loaded.err() or []}
    assert found == {name for name, _ in changes}


def test_errors_inside_an_optional_object_are_reported_by_field(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a message that names an object but not the invalid field in it."""
    section = {"callers": {"certificate": ""}, "calls": 1, "more": 2}
    problems = settings.load(_write(tmp_path / "s", {"tls": section})).unwrap_err()
    assert {problem.field for problem in problems} == {
        "tls.callers.certificate",
        "tls.callers.key",
        "tls.calls",
        "tls.endpoints",
        "tls.more",
    }


def test_every_missing_field_is_reported(tmp_path: pathlib.Path) -> None:
    """Guards against a default for a required field."""
    (tmp_path / "s").write_text("{}")
    problems = settings.load(tmp_path / "s").unwrap_err()
    assert {problem.field for problem in problems} == set(SCHEMA["required"])


@pytest.mark.parametrize("text", ["[]", "1", "null", "", "{"])
def test_file_without_a_json_object_is_refused(
    tmp_path: pathlib.Path, text: str
) -> None:
    """Guards against an exception at startup instead of an error message."""
    (tmp_path / "s").write_text(text)
    assert settings.load(tmp_path / "s").is_err()
