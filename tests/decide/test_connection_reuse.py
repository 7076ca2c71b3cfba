from __future__ import annotations

import pytest

from snipelink.decide import connection_reuse

ONE, OTHER = ("10.1.0.1", 7380), ("10.1.0.2", 7380)
SINCE, NOW = 100.0, 100.8


def test_connections_are_trusted_while_none_is_silent() -> None:
    assert connection_reuse.ReusePolicy().may_reuse(ONE, -1.0)


def test_connection_heard_since_the_silence_began_is_trusted() -> None:
    doubt = connection_reuse.ReusePolicy()
    doubt.on_silence(ONE, SINCE, NOW, path_works=False)
    assert not doubt.may_reuse(ONE, SINCE - 1.0)
    # Its last byte may have been under way when the silence began.
    assert not doubt.may_reuse(ONE, SINCE + connection_reuse.MARGIN_S / 2)
    assert doubt.may_reuse(ONE, SINCE + 2 * connection_reuse.MARGIN_S)


def test_silence_of_one_peer_casts_no_doubt_on_others() -> None:
    doubt = connection_reuse.ReusePolicy()
    for now in (NOW, NOW + 0.1):
        doubt.on_silence(ONE, SINCE, now, path_works=False)
    assert doubt.may_reuse(OTHER, SINCE - 1.0)


def test_silence_beside_a_working_path_casts_doubt_on_all() -> None:
    doubt = connection_reuse.ReusePolicy()
    doubt.on_silence(ONE, SINCE, NOW, path_works=True)
    assert not doubt.may_reuse(OTHER, SINCE - 1.0)
    assert doubt.may_reuse(OTHER, SINCE + 2 * connection_reuse.MARGIN_S)


@pytest.mark.parametrize(
    ("gap_s", "doubted"),
    [(connection_reuse.SPREAD_S / 2, True), (connection_reuse.SPREAD_S * 2, False)],
)
def test_silence_of_two_peers_at_a_time_casts_doubt_on_all(
    gap_s: float, doubted: bool
) -> None:
    doubt = connection_reuse.ReusePolicy()
    doubt.on_silence(ONE, SINCE, NOW, path_works=False)
    doubt.on_silence(OTHER, SINCE, NOW + gap_s, path_works=False)
    third = ("10.1.0.3", 7380)
    assert doubt.may_reuse(third, SINCE - 1.0) is not doubted


def test_later_doubt_with_an_earlier_time_trusts_nothing_again() -> None:
    doubt = connection_reuse.ReusePolicy()
    doubt.on_silence(ONE, SINCE, NOW, path_works=True)
    doubt.on_silence(ONE, SINCE - 5.0, NOW, path_works=True)
    assert not doubt.may_reuse(ONE, SINCE - 1.0)


def test_slow_answer_casts_doubt_on_its_own_address_alone() -> None:
    doubt = connection_reuse.ReusePolicy()
    doubt.on_possible_silence(ONE, SINCE)
    doubt.on_possible_silence(OTHER, SINCE - 50.0)
    assert not doubt.may_reuse(ONE, SINCE - 1.0)
    assert doubt.may_reuse(OTHER, SINCE - 1.0)
