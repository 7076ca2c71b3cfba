from __future__ import annotations

import statistics

import pytest

from bench import replay
from snipelink.decide import queue_policy, service_floor, slots, slowness_period
from tests.decide import service_replay

NOW = 10.0
URGENT, LESS_URGENT = 1, 2
SEEDS = (1, 2, 3)
# The urgent calls are late on cold endpoints even without a wait.
COLD_KINDS = (
    replay.Kind("order", 0.6, 0.35, 0.6, 4.6, URGENT, 1.0),
    replay.Kind("peek", 0.4, 0.15, 0.6, 5.8, LESS_URGENT, 1.0),
)


def _floor(*, is_enabled: bool = True) -> service_floor.ServiceFloor:
    floor = service_floor.ServiceFloor()
    floor.is_enabled = is_enabled
    return floor


def _rank(
    floor: service_floor.ServiceFloor, priority: int, *, is_late: bool
) -> tuple[bool, int, bool, float]:
    is_first = floor.starts_first(priority, is_late=is_late)
    return (not is_first, priority, is_late, NOW)


def test_timely_call_within_its_floor_starts_before_a_late_urgent_one() -> None:
    floor = _floor()
    floor.on_offer(URGENT, 1.0, NOW)
    floor.on_start(URGENT, 1.0, NOW)
    floor.on_offer(LESS_URGENT, 1.0, NOW)
    late_urgent = _rank(floor, URGENT, is_late=True)
    assert _rank(floor, LESS_URGENT, is_late=False) < late_urgent
    assert _rank(floor, LESS_URGENT, is_late=True) > late_urgent
    assert _rank(floor, URGENT, is_late=False) < _rank(
        floor, LESS_URGENT, is_late=False
    )


def test_late_urgent_call_starts_first_once_the_floor_is_reached() -> None:
    floor = _floor()
    for priority in (URGENT, LESS_URGENT):
        floor.on_offer(priority, 1.0, NOW)
        floor.on_start(priority, 1.0, NOW)
    late_urgent = _rank(floor, URGENT, is_late=True)
    assert late_urgent < _rank(floor, LESS_URGENT, is_late=False)


def test_floor_holds_only_while_urgent_calls_are_served_as_large_a_share() -> None:
    floor = _floor()
    floor.on_offer(URGENT, 10.0, NOW)
    floor.on_start(URGENT, 4.0, NOW)
    floor.on_offer(LESS_URGENT, 1.0, NOW)
    assert floor.holds(LESS_URGENT)
    floor.on_start(LESS_URGENT, 0.5, NOW)
    assert not floor.holds(LESS_URGENT)
    floor.on_start(URGENT, 2.0, NOW)
    assert floor.holds(LESS_URGENT)


def test_order_is_by_priority_alone_without_floors() -> None:
    floor = _floor(is_enabled=False)
    floor.on_offer(URGENT, 1.0, NOW)
    floor.on_start(URGENT, 1.0, NOW)
    floor.on_offer(LESS_URGENT, 1.0, NOW)
    late_urgent = _rank(floor, URGENT, is_late=True)
    assert late_urgent < _rank(floor, LESS_URGENT, is_late=False)


def test_started_work_is_forgotten() -> None:
    floor = _floor()
    floor.on_offer(URGENT, 1.0, NOW)
    floor.on_start(URGENT, 1.0, NOW)
    floor.on_start(LESS_URGENT, 1.0, NOW)
    assert not floor.holds(LESS_URGENT)
    later = NOW + 10 * service_floor.TIME_CONSTANT_S
    floor.on_offer(URGENT, 1.0, later)
    floor.on_start(URGENT, 1.0, later)
    assert floor.holds(LESS_URGENT)


def test_most_urgent_kind_has_no_floor() -> None:
    """Guards against rare urgent calls that count no call of their own kind ahead."""
    floor = _floor()
    floor.on_offer(URGENT, 1.0, NOW)
    floor.on_offer(LESS_URGENT, 9.0, NOW)
    floor.on_start(LESS_URGENT, 9.0, NOW)
    assert not floor.holds(URGENT)
    assert floor.share_ahead(URGENT) > 0.0


def test_calls_of_equal_or_higher_priority_are_ahead() -> None:
    floor = _floor(is_enabled=False)
    floor.on_offer(URGENT, 30.0, NOW)
    floor.on_offer(LESS_URGENT, 70.0, NOW)
    assert floor.share_ahead(URGENT) == pytest.approx(0.3, abs=0.01)
    assert floor.share_ahead(LESS_URGENT) == pytest.approx(1.0, abs=0.01)


def test_calls_within_their_floor_have_nothing_ahead() -> None:
    floor = _floor()
    floor.on_offer(URGENT, 30.0, NOW)
    floor.on_start(URGENT, 30.0, NOW)
    floor.on_offer(LESS_URGENT, 70.0, NOW)
    assert floor.share_ahead(LESS_URGENT) == 0.0


def _demand(priority: int, target: float) -> queue_policy.Demand:
    return queue_policy.Demand(0.2, target, NOW + 9.0, priority, NOW)


def _wait_s_behind_late_urgent_calls(*, with_floors: bool) -> float:
    full = slots.Slots(NOW, slowness_period.PeriodEstimator())
    full.floor.is_enabled = with_floors
    late = _demand(URGENT, NOW + 0.1)
    for key in range(10):
        full.offer(key, late, NOW)
    assert full.waiting_count == 6
    return full.offer(10, _demand(LESS_URGENT, NOW + 1.0), NOW).wait_s


def test_expected_wait_excludes_late_urgent_calls_within_the_floor() -> None:
    with_floors_s = _wait_s_behind_late_urgent_calls(with_floors=True)
    assert with_floors_s < 0.5 * _wait_s_behind_late_urgent_calls(with_floors=False)


def _goodput_by_kind(
    monkeypatch: pytest.MonkeyPatch, *, with_floors: bool
) -> dict[str, float]:
    """Return the goodput by kind on cold endpoints at a load above their capacity."""
    values: dict[str, list[float]] = {}
    for seed in SEEDS:
        _, calls = service_replay.run(
            monkeypatch,
            with_floors=with_floors,
            load=0.8,
            burst=1.0,
            cold_s=service_replay.SECONDS,
            kinds=COLD_KINDS,
            seed=seed,
        )
        for kind in COLD_KINDS:
            values.setdefault(kind.name, []).append(
                service_replay.goodput(calls, 3.0, 9.0, kind.name)
            )
    return {name: statistics.mean(each) for name, each in values.items()}


def test_late_urgent_calls_do_not_starve_timely_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against endpoints that only run urgent calls that are late."""
    with_floors = _goodput_by_kind(monkeypatch, with_floors=True)
    without_floors = _goodput_by_kind(monkeypatch, with_floors=False)
    assert with_floors["peek"] > 1.2 * without_floors["peek"]
    assert with_floors["order"] > 0.8 * without_floors["order"]


def test_less_urgent_kind_is_served_no_larger_share(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against floors that turn the order of the priorities round."""
    for seed in SEEDS:
        _, calls = service_replay.run(monkeypatch, load=0.7, burst=2.0 / 0.7, seed=seed)
        served = {
            kind.name: statistics.mean(
                call.value > 0.0 for call in calls if call.kind is kind
            )
            for kind in service_replay.KINDS
        }
        assert served["peek"] <= served["order"]


def _lowest_goodput_after_burst(
    monkeypatch: pytest.MonkeyPatch, *, by_service: bool
) -> float:
    """Return the lowest mean goodput of half a second, from 1 s after a burst on."""
    starts = (7.0, 7.5, 8.0, 8.5)
    goodputs_by_start: dict[float, list[float]] = {start: [] for start in starts}
    for seed in SEEDS:
        _, calls = service_replay.run(
            monkeypatch, by_service=by_service, load=0.7, burst=2.0 / 0.7, seed=seed
        )
        for start, goodputs in goodputs_by_start.items():
            goodputs.append(service_replay.goodput(calls, start, start + 0.5))
    return min(statistics.mean(each) for each in goodputs_by_start.values())


def test_goodput_does_not_oscillate_after_a_burst(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against nodes that refuse and admit all calls in turns."""
    assert _lowest_goodput_after_burst(monkeypatch, by_service=True) >= 0.75
    assert _lowest_goodput_after_burst(monkeypatch, by_service=False) < 0.7
