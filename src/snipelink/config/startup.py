"""Readiness check of a node after its start.

A node keeps no state across restarts, so after its start it cannot tell whether the set
that it received first is stale. It serves calls only once its revision in force is the
highest one that several independent sources know. Without any source it stays
not-ready.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Collection, Mapping

# Failure domains whose serving peers must have answered in addition to the platform.
MIN_DOMAINS_WITH_PLATFORM = 1
# Failure domains and serving peers that must have answered without the platform.
MIN_DOMAINS_WITHOUT_PLATFORM = 2
MIN_PEERS_WITHOUT_PLATFORM = 2
# Without serving peers, the platform must have answered this many reads, because one
# replica may be stale, and peers must have had ``PEER_WAIT_S`` to answer.
MIN_PLATFORM_READS_WITHOUT_PEERS = 2
PEER_WAIT_S = 3.0
# Time to wait for a newer revision that was claimed but that no source supplies.
MAX_CLAIM_WAIT_S = 20.0


class Readiness(enum.Enum):
    """What a node still waits for after its start."""

    READY = "ready"
    NO_SET = "no set"
    BEHIND = "newer revision known"
    TOO_FEW_SOURCES = "too few sources"


@dataclasses.dataclass(frozen=True, slots=True)
class ServingPeer:
    """Peer that serves calls, with its revision in force."""

    failure_domain: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What a node has learned from its sources since its start.

    Attributes
    ----------
    in_force : int
        Revision in force at this node; 0 if there is none.
    highest_known : int
        Highest revision that any source has claimed.
    highest_known_at : float
        Time at which that claim was recorded, monotonic seconds.
    serving_peers_by_name : mapping of str to ServingPeer
        Peers that serve calls. Peers that are still starting don't count as sources.
    platform_reads : int
        Number of reads that the platform has answered since the start.
    platform_revision : int
        Highest revision in those answers.
    known_domains : collection of str
        Failure domains in which usable members are known.
    """

    in_force: int
    highest_known: int
    highest_known_at: float
    serving_peers_by_name: Mapping[str, ServingPeer]
    platform_reads: int
    platform_revision: int
    known_domains: Collection[str]


def assess_readiness(evidence: Evidence, started_at: float, now: float) -> Readiness:
    """Return `Readiness.READY` if the node may serve, else what it waits for.

    A claimed revision that no source has supplied within ``MAX_CLAIM_WAIT_S`` is
    ignored if the platform has answered. Otherwise one faulty peer could keep every
    starting node from serving.
    """
    if evidence.in_force == 0:
        return Readiness.NO_SET
    serving = [p for p in evidence.serving_peers_by_name.values() if p.revision > 0]
    highest = max(
        evidence.highest_known,
        evidence.platform_revision,
        *(peer.revision for peer in serving),
    )
    is_claim_expired = (
        evidence.platform_reads > 0
        and now - evidence.highest_known_at > MAX_CLAIM_WAIT_S
    )
    if evidence.in_force < highest and not is_claim_expired:
        return Readiness.BEHIND
    if not _has_enough_sources(evidence, serving, now - started_at):
        return Readiness.TOO_FEW_SOURCES
    return Readiness.READY


def _has_enough_sources(
    evidence: Evidence, serving: list[ServingPeer], waited_s: float
) -> bool:
    domains = {peer.failure_domain for peer in serving}
    known_domain_count = max(1, len(set(evidence.known_domains)))
    if evidence.platform_reads > 0 and len(domains) >= MIN_DOMAINS_WITH_PLATFORM:
        return True
    if (
        evidence.platform_reads >= MIN_PLATFORM_READS_WITHOUT_PEERS
        and waited_s >= PEER_WAIT_S
    ):
        return True
    return len(serving) >= MIN_PEERS_WITHOUT_PLATFORM and len(domains) >= min(
        MIN_DOMAINS_WITHOUT_PLATFORM, known_domain_count
    )
