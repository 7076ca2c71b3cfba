from __future__ import annotations

import dataclasses

import pytest

from snipelink.config import startup

NO_EVIDENCE = startup.Evidence(0, 0, 0.0, {}, 0, 0, ("a", "b", "c"))
READY, NO_SET = startup.Readiness.READY, startup.Readiness.NO_SET
BEHIND, TOO_FEW_SOURCES = startup.Readiness.BEHIND, startup.Readiness.TOO_FEW_SOURCES


def _peers(*answers: str) -> dict[str, startup.ServingPeer]:
    """Return serving peers from texts such as ``a5``: failure domain and revision."""
    return {
        f"n{i}": startup.ServingPeer(text[0], int(text[1:]))
        for i, text in enumerate(answers)
    }


def _assess(now: float = 100.0, **fields: object) -> startup.Readiness:
    return startup.assess_readiness(
        dataclasses.replace(NO_EVIDENCE, **fields), 0.0, now
    )  # type: ignore[arg-type]


def test_node_without_sources_stays_not_ready() -> None:
    """Guards against serving a stale or empty set while no source can be reached."""
    assert _assess() is NO_SET
    assert _assess(in_force=5, highest_known=5, now=1e6) is TOO_FEW_SOURCES


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        (("a5", "b5"), READY),
        (("a5", "a5", "a5"), TOO_FEW_SOURCES),
        (("a5",), TOO_FEW_SOURCES),
        (("a0", "b0", "c0"), TOO_FEW_SOURCES),
        (("a5", "b6"), BEHIND),
    ],
)
def test_readiness_without_the_platform(
    answers: tuple[str, ...], expected: startup.Readiness
) -> None:
    """Guards against trust in one failure domain, or in peers that are starting too."""
    wait = _assess(in_force=5, highest_known=5, serving_peers_by_name=_peers(*answers))
    assert wait is expected


def test_platform_and_one_peer_are_enough() -> None:
    """Guards against a node that waits although the platform and a peer agree."""
    evidence = {"in_force": 5, "highest_known": 5, "platform_reads": 1}
    evidence["platform_revision"] = 5
    assert _assess(now=0.1, serving_peers_by_name=_peers("b5"), **evidence) is READY
    assert (
        _assess(now=0.1, serving_peers_by_name=_peers("b0"), **evidence)
        is TOO_FEW_SOURCES
    )


def test_platform_without_peers_needs_two_reads_and_a_wait() -> None:
    """Guards against serving at once after one read, whose replica may be stale."""
    evidence = {"in_force": 5, "platform_revision": 5, "highest_known": 5}
    assert _assess(now=1.0, platform_reads=2, **evidence) is TOO_FEW_SOURCES
    assert _assess(now=9.0, platform_reads=1, **evidence) is TOO_FEW_SOURCES
    assert _assess(now=9.0, platform_reads=2, **evidence) is READY


def test_stale_platform_does_not_hide_a_newer_set() -> None:
    """Guards against serving the platform's old set when a peer has a newer one."""
    wait = _assess(
        in_force=5,
        highest_known=6,
        highest_known_at=99.0,
        platform_reads=4,
        platform_revision=5,
        serving_peers_by_name=_peers("b6"),
    )
    assert wait is BEHIND


def test_claim_that_no_source_supplies_delays_readiness_for_a_limited_time() -> None:
    """Guards against one faulty peer that keeps every starting node from serving."""
    evidence = {"in_force": 5, "highest_known": 900, "platform_revision": 5}
    answers = _peers("a5", "b5")
    assert _assess(
        now=5.0, platform_reads=1, serving_peers_by_name=answers, **evidence
    ) is (BEHIND)
    assert _assess(platform_reads=1, serving_peers_by_name=answers, **evidence) is READY
    assert (
        _assess(platform_reads=0, serving_peers_by_name=answers, **evidence) is BEHIND
    )
