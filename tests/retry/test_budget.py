from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from snipelink.retry import budget

STEPS = st.lists(
    st.tuples(
        st.sampled_from([0.0, 0.001, 0.05, 0.4, 1.0, 12.0, 1000.0]),
        st.integers(0, 30),
        st.integers(0, 8),
    ),
    max_size=60,
)


@hypothesis.given(STEPS, st.sampled_from([0.02, 0.1, 0.5]))
@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
def test_attempts_stay_within_the_ratio_of_two_windows(
    steps: list[tuple[float, int, int]], ratio: float
) -> None:
    """Guards against a burst of retries at any load and after any pause."""
    retry_budget = budget.Budget(ratio)
    now = 0.0
    deposits: list[float] = []
    spends: list[float] = []
    for delay, deposit_count, spend_count in steps:
        now += delay
        for _ in range(deposit_count):
            retry_budget.deposit(now)
            deposits.append(now)
        spends += [now for _ in range(spend_count) if retry_budget.try_spend(now)]
    for first, start in enumerate(spends):
        for last in range(first, len(spends)):
            earned = sum(start - budget.WINDOW_S <= t <= spends[last] for t in deposits)
            assert last - first + 1 <= ratio * earned + 1 + 1e-6


@hypothesis.given(STEPS, st.sampled_from([0.02, 0.1, 0.5]))
@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
def test_strict_window_bounds_attempts_by_its_own_deposits(
    steps: list[tuple[float, int, int]], ratio: float
) -> None:
    """Guards against attempts that spend the deposits of the previous window."""
    retry_budget = budget.Budget(ratio, strict_window=True)
    now = 0.0
    deposits: list[float] = []
    spends: list[float] = []
    for delay, deposit_count, spend_count in steps:
        now += delay
        for _ in range(deposit_count):
            retry_budget.deposit(now)
            deposits.append(now)
        spends += [now for _ in range(spend_count) if retry_budget.try_spend(now)]
    for end in spends:
        start = end - budget.WINDOW_S
        spent = sum(start < t <= end for t in spends)
        earned = sum(start < t <= end for t in deposits)
        assert spent <= ratio * earned + 1 + 1e-6


def test_strict_window_does_not_spend_tokens_of_the_previous_window() -> None:
    """Guards against twice the ratio in a window of failures after one without."""
    retry_budget = budget.Budget(0.1, strict_window=True)
    for step in range(100):
        retry_budget.deposit(step * 0.1)
    spent = 0
    for step in range(100, 200):
        retry_budget.deposit(step * 0.1)
        spent += retry_budget.try_spend(step * 0.1)
    assert spent <= 0.1 * 100 + 1


def test_strict_window_grants_the_same_share_in_the_long_run() -> None:
    """Guards against a strict window that grants less than the ratio over time."""
    granted = {}
    for strict_window in (False, True):
        retry_budget = budget.Budget(0.03, strict_window=strict_window)
        granted[strict_window] = 0
        for step in range(20_000):
            now = step * 0.02
            retry_budget.deposit(now)
            granted[strict_window] += retry_budget.try_spend(now)
    assert granted[True] >= 0.99 * granted[False] >= 0.99 * 0.03 * 20_000 - 1


def test_budget_without_answers_is_used_up() -> None:
    """Guards against retries that continue while no call is answered."""
    retry_budget = budget.Budget(0.1)
    for _ in range(100):
        retry_budget.deposit(0.0)
    assert sum(retry_budget.try_spend(1.0) for _ in range(100)) == 11
    assert not retry_budget.try_spend(60.0)


def test_zero_ratio_allows_nothing() -> None:
    """Guards against retries of a service whose budget forbids them."""
    assert not budget.Budget(0.0).try_spend(0.0)


def test_allowance_can_be_spent_in_any_window_without_deposits() -> None:
    retry_budget = budget.Budget(0.0, allowance=2.0)
    assert [retry_budget.try_spend(0.0) for _ in range(3)] == [True, True, False]
    assert not retry_budget.try_spend(9.9)
    assert retry_budget.try_spend(10.0)


def test_lower_allowance_takes_effect_at_once() -> None:
    retry_budget = budget.Budget(0.0, allowance=5.0)
    retry_budget.set_allowance(0.0)
    assert not retry_budget.try_spend(0.0)


def test_window_length_is_configurable() -> None:
    retry_budget = budget.Budget(0.0, allowance=1.0, window_s=2.0)
    assert retry_budget.try_spend(0.0)
    assert not retry_budget.try_spend(1.9)
    assert retry_budget.try_spend(2.0)


def test_state_counts_the_attempts_of_the_last_window() -> None:
    retry_budget = budget.Budget(0.1, allowance=2.0)
    assert [retry_budget.try_spend(1.0) for _ in range(4)] == [True, True, True, False]
    state = retry_budget.state(10.9)
    assert (state.granted, state.spent_of_allowance, state.earned) == (3, 2, 0.0)
    assert (
        retry_budget.state(11.0).granted
        == retry_budget.state(11.0).spent_of_allowance
        == 0
    )


def test_strict_reserve_holds_no_more_than_its_grant() -> None:
    """Guards against reserves of many nodes that together exceed the grant."""
    retry_budget = budget.Budget(0.1, reserve=0.0, strict_window=True)
    retry_budget.grant_reserve(0.25)
    for _ in range(7):
        retry_budget.deposit(0.0)
    # The expired deposits have refilled the reserve up to the grant.
    assert retry_budget.state(20.0).earned == 0.25
    for _ in range(7):
        retry_budget.deposit(20.0)
    assert not retry_budget.try_spend(20.0)
    retry_budget.deposit(20.0)
    assert retry_budget.try_spend(20.0)


def test_reserve_falls_with_its_grant_and_is_granted_once() -> None:
    """Guards against reserves that stay too large when the fleet has grown."""
    retry_budget = budget.Budget(0.1, reserve=0.0, strict_window=True)
    retry_budget.grant_reserve(1.0)
    retry_budget.grant_reserve(0.25)
    assert retry_budget.state(0.0).earned == 0.25
    retry_budget.grant_reserve(1.0)
    assert retry_budget.state(0.0).earned == 0.25


def test_max_earned_bounds_the_attempts_of_a_window() -> None:
    """Guards against retries that grow with deposits beyond the maximum."""
    retry_budget = budget.Budget(0.1, reserve=0.0, strict_window=True)
    retry_budget.set_max_earned(2.5)
    for now in (0.0, 20.0):
        for _ in range(100):
            retry_budget.deposit(now)
        assert sum(retry_budget.try_spend(now) for _ in range(10)) == 2
