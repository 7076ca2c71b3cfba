"""Settings of a process, read from JSON with comments."""

from __future__ import annotations

import pathlib

import msgspec
import result

from snipelink import addresses, jsonc, schemas
from snipelink.generated import settings as generated

Settings = generated.Settings

_ADDRESS_FIELDS = (
    "caller_listen",
    "call_listen",
    "control_listen",
    "admin_listen",
    "endpoint",
)


def load(
    path: str | pathlib.Path,
) -> result.Result[Settings, list[jsonc.Problem]]:
    """Read settings, or return every error of the file."""
    read = jsonc.read(pathlib.Path(path))
    if isinstance(read, result.Err):
        return read
    source = read.ok_value
    problems = _find_address_problems(source)
    try:
        settings = msgspec.convert(source.value, Settings)
    except msgspec.ValidationError as error:
        problems += schemas.find_problems(source, schemas.load("settings"))
        if not problems:
            problems = [source.problem((), str(error))]
        return result.Err(sorted(problems))
    return result.Err(sorted(problems)) if problems else result.Ok(settings)


def _find_address_problems(source: jsonc.Source) -> list[jsonc.Problem]:
    if not isinstance(source.value, dict):
        return []
    problems = []
    for field in _ADDRESS_FIELDS:
        text = source.value.get(field)
        if isinstance(text, str):
            parsed = addresses.parse(text)
            if isinstance(parsed, result.Err):
                problems.append(
                    source.problem((field,), f"{parsed.err_value}; found {text!r}")
                )
    problems += _find_url_problems(source)
    return problems


def _find_url_problems(source: jsonc.Source) -> list[jsonc.Problem]:
    urls = source.value.get("platform_urls")
    if not isinstance(urls, list):
        return []
    return [
        source.problem(
            ("platform_urls", index), f"expected an http or https URL; found {url!r}"
        )
        for index, url in enumerate(urls)
        if isinstance(url, str) and not url.startswith(("http://", "https://"))
    ]
