from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from snipelink.gossip import budget, codec
from tests.gossip import fleet

STEPS = st.lists(
    st.tuples(st.sampled_from([0.0, 0.01, 0.5, 7.0, 3600.0]), st.integers(1, 20_000)),
    max_size=60,
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(STEPS, st.booleans())
def test_bytes_are_bounded_in_every_window(
    steps: list[tuple[float, int]], receiving: bool
) -> None:
    """Guards against traffic beyond the budget in some window or after a pause."""
    limit = budget.Budget(0.0)
    now, spent = 0.0, []
    for pause_s, size in steps:
        now += pause_s
        if receiving and limit.may_receive(now):
            size = min(size, codec.MAX_FRAME_BYTES)
            limit.charge(size, now)
            spent.append((now, size))
        elif not receiving and limit.try_spend(size, now):
            spent.append((now, size))
    for window_s in (budget.WINDOW_S, 30.0, 3600.0):
        most = fleet.most_in_a_window(spent, window_s)
        assert most <= budget.BYTES_PER_S * window_s


def test_messages_are_bounded() -> None:
    """Guards against many small messages, which cost more CPU time than bytes."""
    traffic_budget = budget.Budget(0.0)
    sent = sum(traffic_budget.try_spend(1, now / 1000) for now in range(10_000))
    assert sent <= budget.BURST_MESSAGES + 10 * budget.MESSAGES_PER_S


def test_budget_is_not_refilled_when_the_clock_goes_back() -> None:
    """Guards against a budget that is refilled by a clock that goes back."""
    traffic_budget = budget.Budget(100.0)
    assert traffic_budget.try_spend(budget.BURST_BYTES, 100.0)
    assert not traffic_budget.try_spend(1, 50.0)
    assert not traffic_budget.try_spend(1, 100.0)


def test_urgent_messages_may_spend_the_reserve() -> None:
    """Guards against urgent messages that are held back by less urgent ones."""
    traffic_budget = budget.Budget(0.0)
    while traffic_budget.try_spend(1_000, 0.0, reserve_ratio=0.3):
        pass
    assert traffic_budget.available_ratio(0.0) > 0.25
    assert traffic_budget.try_spend(1_000, 0.0)
