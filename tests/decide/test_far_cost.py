from __future__ import annotations

import random

import pytest

from snipelink.decide import far_cost, placement

WORK_S = 0.16


def _choose(near_slowness: float, far: far_cost.FarCost) -> str:
    near = placement.Candidate("near", True, 0, 0, 3, near_slowness)
    other = placement.Candidate("far", False, 0, 0, 3, 1.0)
    rng = random.Random(1)
    chosen = placement.choose([near, other], WORK_S, WORK_S, rng, far=far)
    assert chosen is not None
    return chosen.instance


def test_share_of_the_duration_keeps_calls_near() -> None:
    assert _choose(1.4, far_cost.FarCost(0.15)) == "far"
    assert _choose(1.4, far_cost.FarCost(1.0)) == "near"


def test_price_keeps_calls_that_carry_many_bytes_near() -> None:
    small, large = (far_cost.far_cost(0.15, size, 0.5) for size in (1e3, 1e6))
    assert _choose(2.0, small) == "far"
    assert _choose(2.0, large) == "near"


def test_bytes_cost_nothing_without_a_price() -> None:
    assert far_cost.far_cost(0.15, 1e9, 0.0) == far_cost.DEFAULT_FAR_COST


def test_bytes_of_an_operation_are_learnt_from_answered_calls() -> None:
    sizes = far_cost.AnswerSizes()
    assert sizes.mean_bytes("rota", "view") == 0
    sizes.record("rota", "view", 1000)
    sizes.record("rota", "view", 3000)
    sizes.record("rota", "download", 90000)
    assert sizes.mean_bytes("rota", "view") == pytest.approx(2000)
    sizes.retain({("rota", "download")})
    assert sizes.mean_bytes("rota", "view") == 0
    assert sizes.mean_bytes("rota", "download") == 90000
