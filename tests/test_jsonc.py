from __future__ import annotations

import json
import pathlib

import hypothesis
import hypothesis.strategies as st
import pytest

from snipelink import jsonc

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(alphabet='a"\\/* é\n'),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(alphabet='k"/'), inner),
    max_leaves=8,
)
COMMENTS = st.sampled_from(["", " ", '// a " b\n', '/* { \n" */', "/**/", "\r\n"])


@hypothesis.given(VALUES, st.data())
def test_comments_change_neither_value_nor_positions(
    value: object, data: st.DataObject
) -> None:
    """Guards against a comment mark in a string, and against shifted positions."""
    parts, starts = [], []
    for token in json.JSONEncoder(ensure_ascii=False).iterencode(value):
        parts.append(data.draw(COMMENTS))
        starts.append((sum(map(len, parts)), token))
        parts.append(token)
    text = "".join(parts)
    blanked = jsonc.blank_comments(text)
    assert json.loads(blanked) == value
    assert len(blanked) == len(text)
    assert blanked.count("\n") == text.count("\n")
    assert all(blanked.startswith(token, start) for start, token in starts)


def test_position_counts_lines_and_columns_from_one() -> None:
    """Guards against messages with the wrong position."""
    text = '{ // first\n  "a": [10,\n   /* x */ {"b": 1}]\n}'
    source = jsonc.parse(text, "f").unwrap()
    assert source.position(()) == (1, 1)
    assert source.position(("a",)) == (2, 3)
    assert source.position(("a", 0)) == (2, 9)
    assert source.position(("a", 1, "b")) == (3, 13)
    assert source.position(("a", 1, "missing")) == (3, 12)


@pytest.mark.parametrize(
    ("text", "line", "column"),
    [
        ("", 1, 1),
        ('{"a": 1,}', 1, 9),
        ('{"a": 1} x', 1, 10),
        ('{\n"a": "b', 2, 6),
        ('{"a": 1 /* open', 1, 9),
        ('{"a": NaN}', 0, 0),
        ("[" * 100_000, 0, 0),
    ],
)
def test_invalid_text_is_reported(text: str, line: int, column: int) -> None:
    """Guards against an exception instead of a reported problem."""
    (problem,) = jsonc.parse(text, "f").unwrap_err()
    assert (problem.file, problem.line, problem.column) == ("f", line, column)


def test_every_repeated_key_is_located() -> None:
    """Guards against a duplicate key that silently replaces an earlier value."""
    text = '{"a": {"a": 1,\n "a": [2]}, "b": [{"a": "a"}],\n "\\u0061": 3}'
    problems = jsonc.parse(text, "f").unwrap_err()
    assert [(problem.line, problem.column) for problem in problems] == [(2, 2), (3, 2)]


def test_unreadable_files_are_reported(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback for a missing file or a wrong encoding."""
    (tmp_path / "latin").write_bytes(b'{"a": "\xe9"}')
    assert "UTF-8" in str(jsonc.read(tmp_path / "latin").unwrap_err()[0])
    assert "cannot be read" in str(jsonc.read(tmp_path / "no").unwrap_err()[0])
