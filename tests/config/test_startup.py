from __future__ import annotations

import dataclasses

import pytest

from snipelink.config import startup

NOTHING = startup.Evidence(0, 0, 0.0, {}, 0, 0, ("a", "b", "c"))
READY, NO_SET = startup.Readiness.READY, startup.Readiness.NO_SET
BEHIND, TOO_FEW_SOURCES = startup.Readiness.BEHIND, startup.Readiness.TOO_FEW_SOURCES


def _peers(*answers: str) -> dict[str, startup.ServingPeer]:
    """Return answers from texts such as ``a5``: domain and revision."""
    return {
        f"n{i}": startup.ServingPeer(text[0], int(text[1:]))
        for i, text in enumerate(answers)
    }


def _judge(now: float = 100.0, **fields: object) -> startup.Readiness:
    return startup.assess_readiness(dataclasses.replace(NOTHING, **fields), 0.0, now)  # type: ignore[arg-type]


def test_node_without_sources_stays_not_ready() -> None:
    """Guards against serving an outdated or empty set when nothing can be reached."""
    assert _judge() is NO_SET
    assert _judge(in_force=5, highest_known=5, now=1e6) is TOO_FEW_SOURCES


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
def test_peers_alone(answers: tuple[str, ...], expected: startup.Readiness) -> None:
    """Guards against trust in one failure domain or in peers that start themselves."""
    wait = _judge(in_force=5, highest_known=5, serving_peers_by_name=_peers(*answers))
    assert wait is expected


def test_platform_with_a_peer() -> None:
    """Guards against a node that waits although platform and a peer agree."""
    evidence = {"in_force": 5, "highest_known": 5, "platform_reads": 1}
    evidence["platform_revision"] = 5
    assert _judge(now=0.1, serving_peers_by_name=_peers("b5"), **evidence) is READY
    assert (
        _judge(now=0.1, serving_peers_by_name=_peers("b0"), **evidence)
        is TOO_FEW_SOURCES
    )


def test_platform_alone_needs_two_reads_and_a_wait() -> None:
    """Guards against serving at once from one replica that may be stale."""
    evidence = {"in_force": 5, "platform_revision": 5, "highest_known": 5}
    assert _judge(now=1.0, platform_reads=2, **evidence) is TOO_FEW_SOURCES
    assert _judge(now=9.0, platform_reads=1, **evidence) is TOO_FEW_SOURCES
    assert _judge(now=9.0, platform_reads=2, **evidence) is READY


def test_stale_platform_does_not_hide_a_newer_set() -> None:
    """Guards against serving the platform's old set when a peer has a newer one."""
    wait = _judge(
        in_force=5,
        highest_known=6,
        highest_known_at=99.0,
        platform_reads=4,
        platform_revision=5,
        serving_peers_by_name=_peers("b6"),
    )
    assert wait is BEHIND


def test_unsupported_claim_holds_back_for_a_limited_time() -> None:
    """Guards against one wrong peer that keeps every started node from serving."""
    evidence = {"in_force": 5, "highest_known": 900, "platform_revision": 5}
    answers = _peers("a5", "b5")
    assert _judge(
        now=5.0, platform_reads=1, serving_peers_by_name=answers, **evidence
    ) is (BEHIND)
    assert _judge(platform_reads=1, serving_peers_by_name=answers, **evidence) is READY
    assert _judge(platform_reads=0, serving_peers_by_name=answers, **evidence) is BEHIND
