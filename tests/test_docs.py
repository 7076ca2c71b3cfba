from __future__ import annotations

import pathlib
import re

from snipelink.objects import checks, documents, loader

PAGE = (
    pathlib.Path(__file__).parent.parent / "docs" / "operators" / "snipelink-check.md"
)


def test_example_of_the_operators_page_is_valid(tmp_path: pathlib.Path) -> None:
    """Guards against a documented layout that the check refuses."""
    files = re.findall(
        r"^`([a-z]+\.json)`:\n\n```json\n(.*?)```", PAGE.read_text(), re.M | re.S
    )
    assert [name for name, _ in files] == ["set.json", "rota.json", "rules.json"]
    for name, text in files:
        (tmp_path / name).write_text(text)
    objects = loader.load(tmp_path)
    assert checks.check(objects) == []
    rendered = documents.render(loader.to_set(objects))
    assert documents.decode(rendered["manifest"], rendered).unwrap().revision == 7
