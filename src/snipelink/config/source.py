"""Sources from which a node receives sets and revisions."""

from __future__ import annotations

import dataclasses
import enum


class SourceKind(enum.Enum):
    """Kind of source."""

    PLATFORM = "platform"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Replica of the platform or peer node that supplied a set or a revision.

    Attributes
    ----------
    name : str
        Base URL of the replica, or name of the peer node.
    failure_domain : str
        Failure domain of the peer; empty for the platform or if unknown.
    """

    kind: SourceKind
    name: str
    failure_domain: str = ""

    def __str__(self) -> str:
        return f"{self.kind.value} {self.name}"


def platform(url: str) -> Source:
    """Return the source for a replica of the platform."""
    return Source(SourceKind.PLATFORM, url)


def peer(name: str, failure_domain: str = "") -> Source:
    """Return the source for a peer node."""
    return Source(SourceKind.PEER, name, failure_domain)
