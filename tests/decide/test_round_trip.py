from __future__ import annotations

import pytest

from snipelink.decide import round_trip

ADDRESS = ("10.0.0.1", 7000)
USUAL_S = 0.12


def _after_samples(*samples_s: float) -> round_trip.RoundTrips:
    round_trips = round_trip.RoundTrips()
    for sample_s in samples_s:
        round_trips.on_sample(ADDRESS, sample_s, 1.0)
    return round_trips


def test_timeout_is_the_usual_one_on_a_sound_link() -> None:
    round_trips = _after_samples(*[0.002] * 20)
    assert round_trips.timeout_s(ADDRESS, USUAL_S, 1.0) == USUAL_S
    assert round_trips.timeout_s(("10.0.0.2", 7000), USUAL_S, 1.0) == USUAL_S


@pytest.mark.parametrize("queue_s", [0.3, 0.5, 0.9])
def test_one_late_acknowledgement_lengthens_the_timeout(queue_s: float) -> None:
    """Guards against repeated bodies that keep a congested link congested."""
    round_trips = _after_samples(*[0.002] * 20, queue_s)
    assert round_trips.timeout_s(ADDRESS, USUAL_S, 1.0) >= queue_s


def test_timeout_returns_to_the_usual_one_with_the_round_trip() -> None:
    late = [0.9] * 5
    sound = [0.002] * 40
    assert _after_samples(*late, *sound).timeout_s(ADDRESS, USUAL_S, 1.0) == USUAL_S
    assert _after_samples(*late).timeout_s(ADDRESS, USUAL_S, 15.0) == USUAL_S


def test_timeouts_double_until_the_next_sample() -> None:
    round_trips, timeouts_s = round_trip.RoundTrips(), []
    for _ in range(4):
        round_trips.on_timeout(ADDRESS, 1.0)
        timeouts_s.append(round_trips.timeout_s(ADDRESS, 0.3, 1.0))
    assert timeouts_s == pytest.approx([0.6, 1.2, 2.0, 2.0])
    round_trips.on_sample(ADDRESS, 0.002, 1.0)
    assert round_trips.timeout_s(ADDRESS, 0.3, 1.0) == 0.3


def test_old_estimate_is_not_revived_by_a_quick_acknowledgement() -> None:
    """Guards against a silent connection that is found late after a congestion."""
    round_trips = _after_samples(*[0.9] * 5)
    round_trips.on_sample(ADDRESS, 0.002, 60.0)
    assert round_trips.timeout_s(ADDRESS, USUAL_S, 60.0) == USUAL_S
