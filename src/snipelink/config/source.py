"""Where a node learned of a set or a revision."""

from __future__ import annotations

import dataclasses
import enum


class SourceKind(enum.Enum):
    """Kind of source."""

    PLATFORM = "platform"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Source of a set; ``name`` is a base URL or the name of a node."""

    kind: SourceKind
    name: str
    failure_domain: str = ""

    def __str__(self) -> str:
        return f"{self.kind.value} {self.name}"


def platform(url: str) -> Source:
    """Return the source for a replica of the platform."""
    return Source(SourceKind.PLATFORM, url)


def peer(name: str, failure_domain: str = "") -> Source:
    """Return the source for another node."""
    return Source(SourceKind.PEER, name, failure_domain)
