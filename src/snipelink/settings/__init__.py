"""Settings of a node process, loaded from a file of JSON with comments."""

from __future__ import annotations

import pathlib

import msgspec
import result

from snipelink import addresses, jsonc, schemas
from snipelink.generated import settings as generated

Settings = generated.Settings

_LISTEN_FIELDS = ("caller_listen", "call_listen", "control_listen", "admin_listen")
_CONNECT_FIELDS = ("endpoint", "control_seeds")
_URL_SCHEMES = ("http://", "https://")


def load(
    path: str | pathlib.Path,
) -> result.Result[Settings, list[jsonc.Problem]]:
    """Load the settings, or return every error of the file in one list."""
    read = jsonc.read(pathlib.Path(path))
    if isinstance(read, result.Err):
        return read
    source = read.ok_value
    problems_by_field = {p.field: p for p in _find_address_problems(source)}
    try:
        settings = msgspec.convert(source.value, Settings)
    except msgspec.ValidationError as error:
        found = schemas.find_problems(source, schemas.load("settings"))
        problems_by_field |= {problem.field: problem for problem in found}
        if not problems_by_field:
            return result.Err([source.problem((), str(error))])
        return result.Err(sorted(problems_by_field.values()))
    if problems_by_field:
        return result.Err(sorted(problems_by_field.values()))
    return result.Ok(settings)


def _find_address_problems(source: jsonc.ParsedFile) -> list[jsonc.Problem]:
    problems = []
    for field in (*_LISTEN_FIELDS, *_CONNECT_FIELDS):
        for path, text in _strings_at(source, field):
            parsed = addresses.parse(text)
            if isinstance(parsed, result.Err):
                problems.append(
                    source.problem(path, f"{parsed.err_value}; found {text!r}")
                )
            elif field in _CONNECT_FIELDS and parsed.ok_value[1] == 0:
                problems.append(
                    source.problem(path, "expected a port from 1 to 65535; found 0")
                )
    for path, text in _strings_at(source, "platform_urls"):
        if not text.startswith(_URL_SCHEMES):
            problems.append(
                source.problem(path, f"expected an http or https URL; found {text!r}")
            )
    return problems


def _strings_at(
    source: jsonc.ParsedFile, field: str
) -> list[tuple[jsonc.ValuePath, str]]:
    """Return the strings of a field that holds one string or a list, with paths."""
    value = source.value.get(field) if isinstance(source.value, dict) else None
    if isinstance(value, str):
        return [((field,), value)]
    items = value if isinstance(value, list) else []
    return [((field, i), text) for i, text in enumerate(items) if isinstance(text, str)]
