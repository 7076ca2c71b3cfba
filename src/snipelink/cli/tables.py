"""Formats JSON values as plain text tables."""

from __future__ import annotations

import textwrap
from collections.abc import Sequence
from typing import Any

_GAP = "  "
_DECIMALS = 4
# Smaller numbers are shown with significant digits, as rounding would hide them.
_MIN_ROUNDED = 0.001


def format_value(value: Any) -> str:
    """Format a value as lines of text; nested objects become indented tables."""
    if isinstance(value, list):
        return _format_list(value)
    if not isinstance(value, dict):
        return _format_cell(value)
    plain = {key: item for key, item in value.items() if not _is_nested(item)}
    sections = []
    if plain:
        sections.append(_align([[key, _format_cell(v)] for key, v in plain.items()]))
    for key, item in value.items():
        if _is_nested(item):
            sections.append(
                f"{_sanitize(key)}:\n{textwrap.indent(_format_nested(item), _GAP)}"
            )
    return "\n\n".join(sections)


def _is_nested(value: Any) -> bool:
    if isinstance(value, list):
        return any(isinstance(item, dict | list) for item in value)
    return isinstance(value, dict) and bool(value)


def _is_row(value: Any) -> bool:
    return isinstance(value, dict) and not any(map(_is_nested, value.values()))


def _format_nested(value: Any) -> str:
    if isinstance(value, list):
        return _format_list(value)
    if all(_is_row(item) for item in value.values()):
        return _format_rows([{"": key, **item} for key, item in value.items()])
    return format_value(value)


def _format_list(values: list[Any]) -> str:
    if values and all(isinstance(item, dict) for item in values):
        return _format_rows(values)
    return "\n".join(_format_cell(item) for item in values) or "none"


def _format_rows(rows: Sequence[dict[str, Any]]) -> str:
    columns = list(dict.fromkeys(column for row in rows for column in row))
    cells = [[_format_cell(row.get(column, "")) for column in columns] for row in rows]
    return _align([columns, *cells])


def _align(rows: Sequence[Sequence[str]]) -> str:
    cleaned = [[_sanitize(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cleaned, strict=True)]
    lines = (
        _GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cleaned
    )
    return "\n".join(line.rstrip() for line in lines)


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return _format_number(value)
    if isinstance(value, list):
        return ", ".join(_format_cell(item) for item in value) or "-"
    if isinstance(value, dict):
        pairs = (
            f"{_sanitize(key)}={_format_cell(item)}" for key, item in value.items()
        )
        return " ".join(pairs) or "-"
    return _sanitize(str(value))


def _format_number(value: float) -> str:
    if 0 < abs(value) < _MIN_ROUNDED:
        return f"{value:.3g}"
    return f"{round(value, _DECIMALS):.15g}"


def _sanitize(text: str) -> str:
    # Callers choose some of the names, and control characters in them would act on the
    # operator's terminal.
    return "".join(c if c.isprintable() else "?" for c in text)
