from __future__ import annotations

import pathlib
import re

import pytest

from snipelink import errors

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def test_every_kind_has_an_entry() -> None:
    """Guards against a kind without an answer for the caller."""
    assert set(errors.TRAITS_BY_KIND) == set(errors.Kind)


@pytest.mark.parametrize("page", ["design.md", "operators/errors.md"])
def test_table_equals_the_documented_one(page: str) -> None:
    """Guards against documentation that promises another status or outcome."""
    rows = re.findall(
        r"^\| `?([a-z-]+)`? \| (\d{3}) \| ([a-z-]+) \| (\w+) \|",
        (DOCS / page).read_text(),
        re.MULTILINE,
    )
    documented = {name: (int(status), ran, rep) for name, status, ran, rep in rows}
    actual = {
        kind.value: (
            traits.status,
            traits.execution_status.value,
            traits.retryability.value,
        )
        for kind, traits in errors.TRAITS_BY_KIND.items()
    }
    assert actual == documented
