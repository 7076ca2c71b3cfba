"""Reads JSON with comments and locates its values by line and column."""

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
    """One error or warning about a file.

    Attributes
    ----------
    file : str
        File name as the operator gave it.
    line, column : int
        Position, counted from 1; 0 when the problem applies to the whole file.
    object : str
        Object with the problem, such as ``endpoint web-1``; empty outside of objects.
    field : str
        Path of the field in the object, such as ``operations[0].weight``.
    expected : str
        Message that states what is expected and what was found.
    warning : bool
        Whether the file can be used despite the problem.
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
    """A parsed file.

    Attributes
    ----------
    file : str
        File name as the operator gave it.
    text : str
        Text of the file, with comments replaced by spaces.
    value : object
        Value that the file contains.
    """

    file: str
    text: str
    value: Any

    def position(self, path: ValuePath) -> tuple[int, int]:
        """Return line and column of a value, or of its closest existing ancestor."""
        for length in range(len(path), -1, -1):
            # json_source_map does not escape "/" and "~" in JSON pointers.
            entry = self._entries.get("".join(f"/{part}" for part in path[:length]))
            if entry is not None:
                start = entry.key_start or entry.value_start
                return start.line + 1, start.column + 1
        return 1, 1

    def problem(self, path: ValuePath, expected: str, object_name: str = "") -> Problem:
        """Return a problem that points at the value at ``path``."""
        line, column = self.position(path)
        return Problem(
            self.file, line, column, object_name, format_path(path), expected
        )

    @functools.cached_property
    def _entries(self) -> dict[str, Any]:
        # Imported on first use, because only error locations need this module.
        import json_source_map

        try:
            return dict(json_source_map.calculate(self.text))
        except RecursionError:
            return {}


def format_path(path: ValuePath) -> str:
    """Format a path such as ``operations[0].weight``."""
    text = "".join(
        f"[{part}]" if isinstance(part, int) else f".{part}" for part in path
    )
    return text.removeprefix(".")


def blank_comments(text: str) -> str:
    """Replace comments outside of strings by spaces, which keeps all positions."""
    return _COMMENT_OR_STRING.sub(
        lambda match: (
            _NOT_LINE_END.sub(" ", match[0]) if match["comment"] else match[0]
        ),
        text,
    )


def read(
    path: pathlib.Path, file: str = ""
) -> result.Result[ParsedFile, list[Problem]]:
    """Read and parse a file; problems name it ``file``, by default its path."""
    file = file or str(path)
    try:
        text = path.read_bytes().decode()
    except OSError as error:
        return _whole_file_error(file, f"cannot be read: {error.strerror}")
    except UnicodeDecodeError as error:
        return _whole_file_error(file, f"expected UTF-8: byte {error.start} is invalid")
    return parse(text, file)


def parse(text: str, file: str) -> result.Result[ParsedFile, list[Problem]]:
    """Parse JSON with comments; duplicate keys and NaN are errors."""
    text = blank_comments(text)
    repeated: list[str] = []
    try:
        value = json.loads(
            text,
            object_pairs_hook=lambda pairs: _to_dict(pairs, repeated),
            parse_constant=_reject_constant,
        )
    except json.JSONDecodeError as error:
        expected = f"not JSON: {error.msg}"
        return result.Err([Problem(file, error.lineno, error.colno, "", "", expected)])
    except (RecursionError, ValueError) as error:
        return _whole_file_error(file, f"not JSON: {error}")
    if repeated:
        return result.Err(_find_repeated_keys(text, file))
    return result.Ok(ParsedFile(file, text, value))


def _whole_file_error(file: str, expected: str) -> result.Err[list[Problem]]:
    return result.Err([Problem(file, 0, 0, "", "", expected)])


def _to_dict(pairs: list[tuple[str, Any]], repeated: list[str]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        repeated.append("")
    return value


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _find_repeated_keys(text: str, file: str) -> list[Problem]:
    line_starts = [0] + [match.end() for match in re.finditer("\n", text)]
    keys_of_open_containers: list[set[str]] = []
    problems = []
    for match in _TOKEN.finditer(text):
        if match["string"] is None:
            if match[0] in "{[":
                keys_of_open_containers.append(set())
            else:
                keys_of_open_containers.pop()
        elif match["colon"] is not None:
            key = json.loads(match["string"])
            if key in keys_of_open_containers[-1]:
                line = bisect.bisect_right(line_starts, match.start())
                column = match.start() - line_starts[line - 1] + 1
                problems.append(
                    Problem(file, line, column, "", key, "expected each key once")
                )
            keys_of_open_containers[-1].add(key)
    return problems
