from __future__ import annotations

import pytest

from snipelink.decide import connection_reuse

ONE, OTHER = ("10.1.0.1", 7380), ("10.1.0.2", 7380)
SINCE, NOW = 100.0, 100.8


def test_connections_are_reused_while_none_is_silent() -> None:
    assert connection_reuse.ReusePolicy().may_reuse(ONE, -1.0)


def test_connection_that_received_data_since_the_silence_began_is_reused() -> None:
    policy = connection_reuse.ReusePolicy()
    policy.on_silence(ONE, SINCE, NOW, path_works=False)
    assert not policy.may_reuse(ONE, SINCE - 1.0)
    # The last byte may have been in flight when the silence began.
    assert not policy.may_reuse(ONE, SINCE + connection_reuse.IN_FLIGHT_MARGIN_S / 2)
    assert policy.may_reuse(ONE, SINCE + 2 * connection_reuse.IN_FLIGHT_MARGIN_S)


def test_silence_of_one_peer_does_not_affect_others() -> None:
    policy = connection_reuse.ReusePolicy()
    for now in (NOW, NOW + 0.1):
        policy.on_silence(ONE, SINCE, now, path_works=False)
    assert policy.may_reuse(OTHER, SINCE - 1.0)


def test_silence_on_a_working_path_affects_all_connections() -> None:
    policy = connection_reuse.ReusePolicy()
    policy.on_silence(ONE, SINCE, NOW, path_works=True)
    assert not policy.may_reuse(OTHER, SINCE - 1.0)
    assert policy.may_reuse(OTHER, SINCE + 2 * connection_reuse.IN_FLIGHT_MARGIN_S)


@pytest.mark.parametrize(
    ("gap_s", "affects_all"),
    [
        (connection_reuse.CORRELATION_WINDOW_S / 2, True),
        (connection_reuse.CORRELATION_WINDOW_S * 2, False),
    ],
)
def test_simultaneous_silence_of_two_peers_affects_all_connections(
    gap_s: float, affects_all: bool
) -> None:
    policy = connection_reuse.ReusePolicy()
    policy.on_silence(ONE, SINCE, NOW, path_works=False)
    policy.on_silence(OTHER, SINCE, NOW + gap_s, path_works=False)
    third = ("10.1.0.3", 7380)
    assert policy.may_reuse(third, SINCE - 1.0) is not affects_all


def test_later_silence_with_an_earlier_start_permits_no_further_reuse() -> None:
    policy = connection_reuse.ReusePolicy()
    policy.on_silence(ONE, SINCE, NOW, path_works=True)
    policy.on_silence(ONE, SINCE - 5.0, NOW, path_works=True)
    assert not policy.may_reuse(ONE, SINCE - 1.0)


def test_possible_silence_affects_only_its_own_address() -> None:
    policy = connection_reuse.ReusePolicy()
    policy.on_possible_silence(ONE, SINCE)
    policy.on_possible_silence(OTHER, SINCE - 50.0)
    assert not policy.may_reuse(ONE, SINCE - 1.0)
    assert policy.may_reuse(OTHER, SINCE - 1.0)
