"""Path templates of operations, with tests for overlap and containment.

A segment ``{name}`` matches exactly one segment. A last segment ``*`` matches the rest
of the path, which may be empty.
"""

from __future__ import annotations

import dataclasses

import result

_ANY_SEGMENT = "{}"
_ANY_SEGMENT_RANK = 1
_OPEN_END_RANK = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Template:
    """A parsed path template.

    Attributes
    ----------
    segments : tuple of str
        Segments of the path; ``{}`` matches any one segment.
    open_end : bool
        Whether any further segments match.
    """

    segments: tuple[str, ...]
    open_end: bool = False

    def overlaps(self, other: Template) -> bool:
        """Whether at least one path matches both templates."""
        if not self._covers_length_of(other) and not other._covers_length_of(self):
            return False
        pairs = zip(self.segments, other.segments, strict=False)
        return all(one == two or _ANY_SEGMENT in (one, two) for one, two in pairs)

    def contains(self, other: Template) -> bool:
        """Whether every path that matches ``other`` matches this template."""
        if not self._covers_length_of(other) or other.open_end > self.open_end:
            return False
        pairs = zip(self.segments, other.segments, strict=False)
        return all(one in (two, _ANY_SEGMENT) for one, two in pairs)

    @property
    def order(self) -> tuple[int, ...]:
        """Sort key that orders a template before all templates that contain it."""
        ranks = [
            _ANY_SEGMENT_RANK if text == _ANY_SEGMENT else 0 for text in self.segments
        ]
        return (*ranks, _OPEN_END_RANK if self.open_end else 0)

    def _covers_length_of(self, other: Template) -> bool:
        if self.open_end:
            return len(other.segments) >= len(self.segments)
        return len(other.segments) == len(self.segments)


def parse(path: str) -> result.Result[Template, str]:
    """Parse a path template."""
    if path == "/":
        return result.Ok(Template(()))
    segments = path.split("/")[1:]
    open_end = segments[-1] == "*"
    if open_end:
        segments.pop()
    names = [text for text in segments if text.startswith("{") and text.endswith("}")]
    if len(set(names)) != len(names) or "{}" in names:
        return result.Err("expected a unique name in each {name} segment")
    for segment in segments:
        if segment in ("", ".", "..") or set(segment) & set("?#* "):
            return result.Err(f"expected a path template; found segment {segment!r}")
        if segment not in names and set(segment) & set("{}"):
            return result.Err(
                f"expected {{name}} as a whole segment; found {segment!r}"
            )
    return result.Ok(
        Template(
            tuple(_ANY_SEGMENT if text in names else text for text in segments),
            open_end,
        )
    )


def parse_prefix(prefix: str) -> Template:
    """Return a template that matches every path under a prefix."""
    return Template(tuple(prefix.split("/")[1:]) if prefix != "/" else (), True)


def are_ambiguous(one: Template, two: Template) -> bool:
    """Whether a path matches both templates and neither is more specific."""
    return one.overlaps(two) and one.contains(two) == two.contains(one)
