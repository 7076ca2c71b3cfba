"""When a started node may serve.

A started node has forgotten everything. It serves only when what it has in force is the
highest revision that several independent sources know. With no source it stays
not-ready.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Collection, Mapping

DOMAINS_WITH_PLATFORM = 1
DOMAINS_WITHOUT_PLATFORM = 2
PEERS_WITHOUT_PLATFORM = 2
PLATFORM_READS_ALONE = 2
PEER_WAIT_S = 3.0
CLAIM_WAIT_S = 20.0


class Readiness(enum.Enum):
    """What a started node still waits for."""

    READY = "ready"
    NO_SET = "no set"
    BEHIND = "newer revision known"
    TOO_FEW_SOURCES = "too few sources"


@dataclasses.dataclass(frozen=True, slots=True)
class ServingPeer:
    """Revision that a serving peer has in force."""

    failure_domain: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What a started node has learned.

    Attributes
    ----------
    in_force : int
        Revision in force at this node, 0 for none.
    highest_known : int
        Highest revision heard of.
    highest_known_at : float
        When it was first heard of.
    serving_peers_by_name : mapping of str to ServingPeer
        Answers of peers that serve themselves; starting peers don't count.
    platform_reads : int
        Reads that the platform answered since the start.
    platform_revision : int
        Highest revision that the platform gave.
    known_domains : collection of str
        Failure domains with live members, as far as known.
    """

    in_force: int
    highest_known: int
    highest_known_at: float
    serving_peers_by_name: Mapping[str, ServingPeer]
    platform_reads: int
    platform_revision: int
    known_domains: Collection[str]


def assess_readiness(evidence: Evidence, started_at: float, now: float) -> Readiness:
    """Return whether a started node may serve, or what it waits for.

    A revision that nobody has supplied for ``CLAIM_WAIT_S`` no longer holds a node
    back, provided that the platform answered: one wrong peer must not block every
    start.
    """
    if evidence.in_force == 0:
        return Readiness.NO_SET
    serving = [a for a in evidence.serving_peers_by_name.values() if a.revision > 0]
    highest = max(
        evidence.highest_known,
        evidence.platform_revision,
        *(answer.revision for answer in serving),
    )
    unsupported = (
        evidence.platform_reads > 0 and now - evidence.highest_known_at > CLAIM_WAIT_S
    )
    if evidence.in_force < highest and not unsupported:
        return Readiness.BEHIND
    if not _enough(evidence, serving, now - started_at):
        return Readiness.TOO_FEW_SOURCES
    return Readiness.READY


def _enough(evidence: Evidence, serving: list[ServingPeer], waited_s: float) -> bool:
    domains = {answer.failure_domain for answer in serving}
    reachable = max(1, len(set(evidence.known_domains)))
    if evidence.platform_reads > 0 and len(domains) >= DOMAINS_WITH_PLATFORM:
        return True
    if evidence.platform_reads >= PLATFORM_READS_ALONE and waited_s >= PEER_WAIT_S:
        return True
    return len(serving) >= PEERS_WITHOUT_PLATFORM and len(domains) >= min(
        DOMAINS_WITHOUT_PLATFORM, reachable
    )
