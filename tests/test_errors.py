from __future__ import annotations

import pathlib
import re

import pytest

from snipelink import errors

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def test_every_kind_has_traits() -> None:
    """Guards against an error kind without a response for the caller."""
    assert set(errors.TRAITS_BY_KIND) == set(errors.Kind)


@pytest.mark.parametrize("page", ["design.md", "operators/errors.md"])
def test_traits_equal_the_documented_table(page: str) -> None:
    """Guards against documentation with a different status or retryability."""
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
