"""Loads the package's JSON schemas and validates values against them."""

from __future__ import annotations

import importlib.resources
import json
from collections.abc import Iterator
from typing import Any

from snipelink import jsonc

_DESCRIPTIONS_BY_TYPE = {
    "array": "a list",
    "boolean": "true or false",
    "integer": "an integer",
    "null": "null",
    "number": "a number",
    "object": "an object",
    "string": "a string",
}
_MAX_FOUND_CHARACTERS = 60


def load(name: str) -> dict[str, Any]:
    """Return the schema ``schema/<name>.schema.json``."""
    resource = importlib.resources.files("snipelink.generated")
    schema = json.loads(resource.joinpath(f"{name}.schema.json").read_text("utf-8"))
    assert isinstance(schema, dict)
    return schema


def describe(schema: dict[str, Any]) -> str:
    """Describe the values that a schema accepts: ``an integer from 1 to 100``."""
    if "enum" in schema:
        return "one of " + ", ".join(json.dumps(value) for value in schema["enum"])
    types = schema.get("type", "string" if "pattern" in schema else "object")
    text = " or ".join(
        _DESCRIPTIONS_BY_TYPE[name]
        for name in ([types] if isinstance(types, str) else types)
    )
    text += _describe_range(schema, "minimum", "maximum", "")
    text += _describe_range(schema, "minLength", "maxLength", " characters")
    text += _describe_range(schema, "minItems", "maxItems", " items")
    if "pattern" in schema:
        text += f" that matches {schema['pattern']}"
    return text


def find_errors(
    value: object,
    schema: dict[str, Any],
    schemas_by_uri: dict[str, dict[str, Any]] | None = None,
) -> list[tuple[jsonc.ValuePath, str]]:
    """Return the path and the message of each schema violation in a value.

    ``schemas_by_uri`` contains the other schemas that ``schema`` refers to.
    """
    # Imported on first use, because jsonschema takes several MB of memory in a node.
    import jsonschema
    import referencing.jsonschema

    registry: Any = referencing.Registry().with_resources(
        (uri, referencing.jsonschema.DRAFT202012.create_resource(content))
        for uri, content in (schemas_by_uri or {}).items()
    )
    validator = jsonschema.Draft202012Validator(schema, registry=registry)
    errors = validator.iter_errors(value)
    # jsonschema reports one error per missing field, and `_describe_error` yields all
    # missing fields for each of these errors, so duplicates are removed.
    return list(
        dict.fromkeys(found for error in errors for found in _describe_error(error))
    )


def find_problems(
    source: jsonc.ParsedFile, schema: dict[str, Any]
) -> list[jsonc.Problem]:
    """Return a problem for each schema violation in a file."""
    errors = find_errors(source.value, schema)
    return [source.problem(path, expected) for path, expected in errors]


def _describe_error(error: Any) -> Iterator[tuple[jsonc.ValuePath, str]]:
    path = tuple(error.absolute_path)
    known_properties = error.schema.get("properties", {})
    if error.validator == "additionalProperties":
        for name in error.instance.keys() - known_properties.keys():
            yield (
                (*path, name),
                "unknown field; expected " + ", ".join(sorted(known_properties)),
            )
    elif error.validator == "required":
        for name in error.validator_value:
            if name not in error.instance:
                yield (
                    (*path, name),
                    "missing; expected "
                    + _describe_property(known_properties.get(name, {})),
                )
    elif error.validator == "anyOf" and isinstance(error.instance, dict):
        # The other alternative is null; its type error would not help the reader.
        for alternative in error.context:
            if alternative.path or alternative.validator != "type":
                yield from _describe_error(alternative)
    else:
        yield (
            path,
            f"expected {describe(error.schema)}; found {_format_value(error.instance)}",
        )


def _describe_property(schema: dict[str, Any]) -> str:
    return describe(schema) if {"type", "enum"} & schema.keys() else "a value"


def _format_value(value: object) -> str:
    text = json.dumps(value, ensure_ascii=False)
    if len(text) > _MAX_FOUND_CHARACTERS:
        text = text[: _MAX_FOUND_CHARACTERS - 3] + "..."
    return text


def _describe_range(
    schema: dict[str, Any], minimum: str, maximum: str, unit: str
) -> str:
    low, high = schema.get(minimum), schema.get(maximum)
    if low is not None and high is not None:
        return f" from {low} to {high}{unit}"
    if low is not None:
        return f" of at least {low}{unit if low != 1 else unit.removesuffix('s')}"
    if high is not None:
        return f" of at most {high}{unit}"
    return ""
