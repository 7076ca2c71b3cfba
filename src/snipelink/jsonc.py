"""JSON with comments, read with the positions of its values."""

from __future__ import annotations

import bisect
import dataclasses
import functools
import json
import pathlib
import re
from typing import Any

import result

ValuePath = tuple[str | int, ...]

_COMMENT_OR_STRING = re.compile(
    r'"(?:[^"\\]|\\.)*"|(?P<comment>//[^\n]*|/\*.*?\*/)', re.DOTALL
)
_NOT_LINE_END = re.compile(r"[^\r\n]")
_TOKEN = re.compile(
    r'(?P<string>"(?:[^"\\]|\\.)*")(?P<colon>\s*:)?|[{}\[\]]', re.DOTALL
)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Problem:
    """One error in a file, or a warning.

    Attributes
    ----------
    file : str
        File as the operator named it.
    line, column : int
        Position, counted from 1; 0 when the problem concerns the whole file.
    object : str
        Object concerned, such as ``endpoint web-1``; empty outside of objects.
    field : str
        Field within the object, such as ``operations[0].weight``.
    expected : str
        What is expected, and what was found.
    warning : bool
        Whether the file is usable nevertheless.
    """

    file: str
    line: int
    column: int
    object: str
    field: str
    expected: str
    warning: bool = False

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}:{self.column}" if self.line else self.file
        parts = [place, "warning" if self.warning else "error"]
        parts += [part for part in (self.object, self.field) if part]
        return ": ".join([*parts, self.expected])


@dataclasses.dataclass(frozen=True)
class ParsedFile:
    """A file that was read.

    Attributes
    ----------
    file : str
        File as the operator named it.
    text : str
        Its text with spaces in place of comments.
    value : object
        The parsed value.
    """

    file: str
    text: str
    value: Any

    def position(self, path: ValuePath) -> tuple[int, int]:
        """Return line and column of a value, or of the nearest one around it."""
        for length in range(len(path), -1, -1):
            # The library does not escape "/" and "~" in keys.
            entry = self._entries.get("".join(f"/{part}" for part in path[:length]))
            if entry is not None:
                start = entry.key_start or entry.value_start
                return start.line + 1, start.column + 1
        return 1, 1

    def problem(self, path: ValuePath, expected: str, object_name: str = "") -> Problem:
        """Return a problem of the value at ``path``."""
        line, column = self.position(path)
        return Problem(
            self.file, line, column, object_name, format_path(path), expected
        )

    @functools.cached_property
    def _entries(self) -> dict[str, Any]:
        # Imported here: it is needed only to locate errors.
        import json_source_map

        try:
            return dict(json_source_map.calculate(self.text))
        except RecursionError:
            return {}


def format_path(path: ValuePath) -> str:
    """Return a path in the form ``operations[0].weight``."""
    text = "".join(
        f"[{part}]" if isinstance(part, int) else f".{part}" for part in path
    )
    return text.removeprefix(".")


def blank_comments(text: str) -> str:
    """Replace each comment outside of strings by spaces of the same length."""
    return _COMMENT_OR_STRING.sub(
        lambda match: (
            _NOT_LINE_END.sub(" ", match[0]) if match["comment"] else match[0]
        ),
        text,
    )


def read(
    path: pathlib.Path, file: str = ""
) -> result.Result[ParsedFile, list[Problem]]:
    """Read a file; ``file`` is its name in problems, by default the path."""
    file = file or str(path)
    try:
        text = path.read_bytes().decode()
    except OSError as error:
        return _refuse(file, f"cannot be read: {error.strerror}")
    except UnicodeDecodeError as error:
        return _refuse(file, f"expected UTF-8: byte {error.start} is invalid")
    return parse(text, file)


def parse(text: str, file: str) -> result.Result[ParsedFile, list[Problem]]:
    """Parse JSON with comments; a repeated key or NaN is an error."""
    text = blank_comments(text)
    repeated: list[str] = []
    try:
        value = json.loads(
            text,
            object_pairs_hook=lambda pairs: _to_dict(pairs, repeated),
            parse_constant=_refuse_constant,
        )
    except json.JSONDecodeError as error:
        expected = f"not JSON: {error.msg}"
        return result.Err([Problem(file, error.lineno, error.colno, "", "", expected)])
    except (RecursionError, ValueError) as error:
        return _refuse(file, f"not JSON: {error}")
    if repeated:
        return result.Err(_find_repeated_keys(text, file))
    return result.Ok(ParsedFile(file, text, value))


def _refuse(file: str, expected: str) -> result.Err[list[Problem]]:
    return result.Err([Problem(file, 0, 0, "", "", expected)])


def _to_dict(pairs: list[tuple[str, Any]], repeated: list[str]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        repeated.append("")
    return value


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _find_repeated_keys(text: str, file: str) -> list[Problem]:
    line_starts = [0] + [match.end() for match in re.finditer("\n", text)]
    keys_of_open: list[set[str]] = []
    problems = []
    for match in _TOKEN.finditer(text):
        if match["string"] is None:
            if match[0] in "{[":
                keys_of_open.append(set())
            else:
                keys_of_open.pop()
        elif match["colon"] is not None:
            key = json.loads(match["string"])
            if key in keys_of_open[-1]:
                line = bisect.bisect_right(line_starts, match.start())
                column = match.start() - line_starts[line - 1] + 1
                problems.append(
                    Problem(file, line, column, "", key, "expected each key once")
                )
            keys_of_open[-1].add(key)
    return problems
