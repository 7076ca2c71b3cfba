from __future__ import annotations

import pytest

from snipelink.decide import silence

ONE, OTHER = ("10.1.0.1", 7380), ("10.1.0.2", 7380)
SINCE, NOW = 100.0, 100.8


def test_connections_are_trusted_while_none_is_silent() -> None:
    assert silence.Doubt().is_trusted(ONE, -1.0)


def test_connection_heard_since_the_silence_began_is_trusted() -> None:
    doubt = silence.Doubt()
    doubt.on_silence(ONE, SINCE, NOW, everywhere=False)
    assert not doubt.is_trusted(ONE, SINCE - 1.0)
    # Its last byte may have been under way when the silence began.
    assert not doubt.is_trusted(ONE, SINCE + silence.MARGIN_S / 2)
    assert doubt.is_trusted(ONE, SINCE + 2 * silence.MARGIN_S)


def test_silence_of_one_peer_casts_no_doubt_on_others() -> None:
    doubt = silence.Doubt()
    for now in (NOW, NOW + 0.1):
        doubt.on_silence(ONE, SINCE, now, everywhere=False)
    assert doubt.is_trusted(OTHER, SINCE - 1.0)


def test_silence_beside_a_working_path_casts_doubt_on_all() -> None:
    doubt = silence.Doubt()
    doubt.on_silence(ONE, SINCE, NOW, everywhere=True)
    assert not doubt.is_trusted(OTHER, SINCE - 1.0)
    assert doubt.is_trusted(OTHER, SINCE + 2 * silence.MARGIN_S)


@pytest.mark.parametrize(
    ("gap_s", "doubted"),
    [(silence.SPREAD_S / 2, True), (silence.SPREAD_S * 2, False)],
)
def test_silence_of_two_peers_at_a_time_casts_doubt_on_all(
    gap_s: float, doubted: bool
) -> None:
    doubt = silence.Doubt()
    doubt.on_silence(ONE, SINCE, NOW, everywhere=False)
    doubt.on_silence(OTHER, SINCE, NOW + gap_s, everywhere=False)
    third = ("10.1.0.3", 7380)
    assert doubt.is_trusted(third, SINCE - 1.0) is not doubted


def test_later_doubt_with_an_earlier_time_trusts_nothing_again() -> None:
    doubt = silence.Doubt()
    doubt.on_silence(ONE, SINCE, NOW, everywhere=True)
    doubt.on_silence(ONE, SINCE - 5.0, NOW, everywhere=True)
    assert not doubt.is_trusted(ONE, SINCE - 1.0)


def test_slow_answer_casts_doubt_on_its_own_address_alone() -> None:
    doubt = silence.Doubt()
    doubt.suspect(ONE, SINCE)
    doubt.suspect(OTHER, SINCE - 50.0)
    assert not doubt.is_trusted(ONE, SINCE - 1.0)
    assert doubt.is_trusted(OTHER, SINCE - 1.0)
