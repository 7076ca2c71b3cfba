"""Retry budgets of one node, a part of what all nodes together may use."""

from __future__ import annotations

from collections.abc import Iterator

from snipelink.decide import allowance
from snipelink.mesh import settings
from snipelink.retry import budget

# Shares of the allowance that all nodes may spend on the repeats of one service in a
# window: without deposits, as reserves, and as what answers earn. Their sum is 1:
# answers to calls of endpoints earn repeats although these calls are no requests of the
# rule, so only the allowance is sure to cover the repeats of a service. The first two
# are half of it, as kills can double what is used in a window.
ALLOWANCE_SHARE = 0.3
RESERVE_SHARE = 0.2
EARNED_SHARE = 0.5
# Share of the ratio that is used. Calls that a repeated run makes count as repeats at
# the service they go to. With 0.15 the sum there went beyond the bound on sites with
# seven or more calls of endpoints for each request (clpw-mesh).
RATIO_SHARE = 0.1


class RetryBudgets:
    """Budget of further attempts for each service, at one node.

    Each node has its part of the allowance; none knows what the others spend.

    Parameters
    ----------
    own : Settings
        Bounds of the retries of all nodes.
    """

    def __init__(self, own: settings.Settings) -> None:
        self._own = own
        self._part = allowance.NodeShare()
        self._budgets_by_service: dict[str, budget.Budget] = {}

    def on_published(self, machines: int, now: float) -> None:
        """Share the allowance among the machines that are now published."""
        self._part.on_published(machines, now)

    def try_spend(self, service: str, now: float) -> bool:
        """Take one further attempt; return whether the budget allows it."""
        return self._budget(service, now).try_spend(now)

    def on_answer(self, service: str, now: float) -> None:
        """Record a call that was answered, whichever attempt was."""
        self._budget(service, now).deposit(now)

    def state(self, service: str, now: float) -> budget.BudgetState:
        """Return the figures of one service."""
        return self._budget(service, now).state(now)

    def states(self, now: float) -> Iterator[tuple[str, budget.BudgetState]]:
        """Yield the figures of each service that had calls."""
        for service in list(self._budgets_by_service):
            yield service, self.state(service, now)

    def _budget(self, service: str, now: float) -> budget.Budget:
        bounds = self._own.bounds
        known = self._budgets_by_service.get(service)
        if known is None:
            ratio = bounds.retry_ratio * RATIO_SHARE
            known = budget.Budget(
                ratio, 0.0, bounds.retry_window_s, reserve=0.0, strict_window=True
            )
            self._budgets_by_service[service] = known
        whole = bounds.retry_allowance / self._part.machine_count(now)
        known.set_max_earned(whole * EARNED_SHARE)
        part = self._part.share_of(bounds.retry_allowance, bounds.retry_window_s, now)
        known.set_allowance(part * ALLOWANCE_SHARE)
        known.grant_reserve(part * RESERVE_SHARE)
        return known
