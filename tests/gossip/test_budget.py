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
        assert most <= budget.MAX_BYTES_PER_S * window_s


def test_messages_are_bounded() -> None:
    """Guards against many small messages that cost more processor time than bytes."""
    limit = budget.Budget(0.0)
    sent = sum(limit.try_spend(1, now / 1000) for now in range(10_000))
    assert sent <= budget.BURST_MESSAGES + 10 * budget.MESSAGES_PER_S


def test_clock_that_stands_still_gives_nothing() -> None:
    """Guards against a budget that is refilled by a clock going back."""
    limit = budget.Budget(100.0)
    assert limit.try_spend(budget.BURST_BYTES, 100.0)
    assert not limit.try_spend(1, 50.0)
    assert not limit.try_spend(1, 100.0)


def test_urgent_messages_find_a_reserve() -> None:
    """Guards against news that are held back by less urgent messages."""
    limit = budget.Budget(0.0)
    while limit.try_spend(1_000, 0.0, reserve_ratio=0.3):
        pass
    assert limit.available_ratio(0.0) > 0.25
    assert limit.try_spend(1_000, 0.0)
