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
def test_attempts_stay_within_the_ratio_in_any_window(
    steps: list[tuple[float, int, int]], ratio: float
) -> None:
    """Guards against a burst of retries, at any load and after any pause."""
    subject = budget.Budget(ratio)
    now = 0.0
    deposits: list[float] = []
    spends: list[float] = []
    for delay, deposit_count, spend_count in steps:
        now += delay
        for _ in range(deposit_count):
            subject.deposit(now)
            deposits.append(now)
        spends += [now for _ in range(spend_count) if subject.try_spend(now)]
    for first, start in enumerate(spends):
        for last in range(first, len(spends)):
            earned = sum(start - budget.WINDOW_S <= t <= spends[last] for t in deposits)
            assert last - first + 1 <= ratio * earned + 1 + 1e-6


@hypothesis.given(STEPS, st.sampled_from([0.02, 0.1, 0.5]))
@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
def test_attempts_of_a_window_are_earned_in_it(
    steps: list[tuple[float, int, int]], ratio: float
) -> None:
    """Guards against a window that also spends what the one before it has earned."""
    subject = budget.Budget(ratio, strict_window=True)
    now = 0.0
    deposits: list[float] = []
    spends: list[float] = []
    for delay, deposit_count, spend_count in steps:
        now += delay
        for _ in range(deposit_count):
            subject.deposit(now)
            deposits.append(now)
        spends += [now for _ in range(spend_count) if subject.try_spend(now)]
    for end in spends:
        start = end - budget.WINDOW_S
        spent = sum(start < t <= end for t in spends)
        earned = sum(start < t <= end for t in deposits)
        assert spent <= ratio * earned + 1 + 1e-6


def test_window_does_not_spend_what_the_one_before_it_has_earned_as_well() -> None:
    """Guards against twice the ratio in a window of failures after a calm one."""
    subject = budget.Budget(0.1, strict_window=True)
    for step in range(100):
        subject.deposit(step * 0.1)
    spent = 0
    for step in range(100, 200):
        subject.deposit(step * 0.1)
        spent += subject.try_spend(step * 0.1)
    assert spent <= 0.1 * 100 + 1


def test_attempts_that_are_needed_all_the_time_are_the_same_share() -> None:
    """Guards against a long-run budget below the ratio."""
    granted = {}
    for strict_window in (False, True):
        subject = budget.Budget(0.03, strict_window=strict_window)
        granted[strict_window] = 0
        for step in range(20_000):
            now = step * 0.02
            subject.deposit(now)
            granted[strict_window] += subject.try_spend(now)
    assert granted[True] >= 0.99 * granted[False] >= 0.99 * 0.03 * 20_000 - 1


def test_without_answers_the_budget_ends() -> None:
    """Guards against retries that go on while nothing is answered."""
    subject = budget.Budget(0.1)
    for _ in range(100):
        subject.deposit(0.0)
    assert sum(subject.try_spend(1.0) for _ in range(100)) == 11
    assert not subject.try_spend(60.0)


def test_zero_ratio_allows_nothing() -> None:
    """Guards against retries of a service whose budget forbids them."""
    assert not budget.Budget(0.0).try_spend(0.0)


def test_allowance_can_be_spent_in_any_window_without_deposits() -> None:
    tested = budget.Budget(0.0, allowance=2.0)
    assert [tested.try_spend(0.0) for _ in range(3)] == [True, True, False]
    assert not tested.try_spend(9.9)
    assert tested.try_spend(10.0)


def test_lower_allowance_holds_at_once() -> None:
    tested = budget.Budget(0.0, allowance=5.0)
    tested.set_allowance(0.0)
    assert not tested.try_spend(0.0)


def test_window_is_a_setting() -> None:
    tested = budget.Budget(0.0, allowance=1.0, window_s=2.0)
    assert tested.try_spend(0.0)
    assert not tested.try_spend(1.9)
    assert tested.try_spend(2.0)


def test_state_counts_what_was_granted_in_the_last_window() -> None:
    tested = budget.Budget(0.1, allowance=2.0)
    assert [tested.try_spend(1.0) for _ in range(4)] == [True, True, True, False]
    state = tested.state(10.9)
    assert (state.granted, state.spent_of_allowance, state.earned) == (3, 2, 0.0)
    assert tested.state(11.0).granted == tested.state(11.0).spent_of_allowance == 0


def test_reserve_of_an_own_window_holds_no_more_than_is_granted() -> None:
    """Guards against many nodes each of which banks a whole attempt."""
    subject = budget.Budget(0.1, reserve=0.0, strict_window=True)
    subject.grant_reserve(0.25)
    for _ in range(7):
        subject.deposit(0.0)
    # The deposits have expired, and filled the reserve.
    assert subject.state(20.0).earned == 0.25
    for _ in range(7):
        subject.deposit(20.0)
    assert not subject.try_spend(20.0)
    subject.deposit(20.0)
    assert subject.try_spend(20.0)


def test_reserve_falls_with_what_is_granted_and_is_granted_once() -> None:
    """Guards against a fleet that grows, with reserves of when it was small."""
    subject = budget.Budget(0.1, reserve=0.0, strict_window=True)
    subject.grant_reserve(1.0)
    subject.grant_reserve(0.25)
    assert subject.state(0.0).earned == 0.25
    subject.grant_reserve(1.0)
    assert subject.state(0.0).earned == 0.25


def test_bound_of_what_is_earned_holds_in_a_window() -> None:
    """Guards against repeats that grow with calls the rule does not count."""
    subject = budget.Budget(0.1, reserve=0.0, strict_window=True)
    subject.set_max_earned(2.5)
    for now in (0.0, 20.0):
        for _ in range(100):
            subject.deposit(now)
        assert sum(subject.try_spend(now) for _ in range(10)) == 2
