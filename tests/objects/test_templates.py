from __future__ import annotations

import itertools

import hypothesis
import hypothesis.strategies as st
import pytest

from snipelink.objects import templates

SEGMENTS = ("a", "b", "c")
PATHS = [
    parts for length in range(5) for parts in itertools.product(SEGMENTS, repeat=length)
]
TEMPLATES = st.builds(
    templates.Template,
    st.lists(st.sampled_from(["a", "b", "{}"]), max_size=3).map(tuple),
    st.booleans(),
)


def _matches(template: templates.Template) -> set[tuple[str, ...]]:
    length = len(template.segments)
    return {
        path
        for path in PATHS
        if (len(path) >= length if template.open_end else len(path) == length)
        and all(
            one in ("{}", two)
            for one, two in zip(template.segments, path, strict=False)
        )
    }


@hypothesis.given(TEMPLATES, TEMPLATES)
@hypothesis.settings(max_examples=300)
def test_overlap_and_containment_agree_with_enumerated_paths(
    one: templates.Template, two: templates.Template
) -> None:
    """Guards against a request whose operation depends on the order of a file."""
    assert one.overlaps(two) == bool(_matches(one) & _matches(two))
    assert one.contains(two) == (_matches(one) >= _matches(two))


@hypothesis.given(TEMPLATES, TEMPLATES)
@hypothesis.settings(max_examples=300)
def test_more_specific_template_comes_first(
    one: templates.Template, two: templates.Template
) -> None:
    """Guards against a general operation that takes a specific one's requests."""
    if two.contains(one) and not one.contains(two):
        assert one.order < two.order


@pytest.mark.parametrize(
    ("one", "two", "expected"),
    [
        ("/a/{x}", "/a/{y}", True),
        ("/a/{x}", "/a/b", False),
        ("/{x}/b", "/a/{y}", True),
        ("/{x}/b", "/a/*", True),
        ("/a/*", "/a/b", False),
        ("/", "/*", False),
        ("/a", "/b", False),
    ],
)
def test_ambiguity(one: str, two: str, expected: bool) -> None:
    """Guards against refusing a specific operation that a general one contains."""
    first, second = templates.parse(one).unwrap(), templates.parse(two).unwrap()
    assert templates.are_ambiguous(first, second) is expected


@pytest.mark.parametrize(
    "path", ["/a/", "//", "/a/../b", "/*/a", "/a{x}", "/{x}/{x}", "/{}", "/a?b", "/a b"]
)
def test_malformed_template_is_refused(path: str) -> None:
    """Guards against accepting a template that cannot match the intended requests."""
    assert templates.parse(path).is_err()
