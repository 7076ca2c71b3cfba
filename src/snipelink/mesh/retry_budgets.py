"""Retry budgets of one node: its share of the budgets of the whole fleet.

A further attempt is a retry after a failure or a hedge beside a slow attempt. The
settings bound the further attempts at each service in a time window, for all nodes
together: a share of the requests (`retry_ratio`) plus a fixed number
(`retry_allowance`). Nodes do not report to each other what they spend, so each node
spends at most its own share of the bound.
"""

from __future__ import annotations

from collections.abc import Iterator

from snipelink.decide import allowance
from snipelink.mesh import settings
from snipelink.retry import budget

# Shares of the fleet's allowance for the further attempts at one service in a window:
# attempts without deposits, attempts from reserves, and attempts that answers earn.
# Their sum is 1: answers to calls that endpoints make also earn attempts, but such
# calls do not count as requests in the bound, so only the allowance is certain to cover
# the attempts at a service. The first two shares together are only half of the
# allowance, because a process that is killed and restarted can spend them twice in one
# window.
ALLOWANCE_SHARE = 0.3
RESERVE_SHARE = 0.2
EARNED_SHARE = 0.5
# Share of the configured ratio that answers earn. Calls made by a retried run count as
# further attempts at the service that they go to. With a larger share, the attempts
# there exceed the bound where endpoints make seven or more calls for each request.
RATIO_SHARE = 0.1


class RetryBudgets:
    """Budgets of one node for further attempts, one budget for each called service.

    Parameters
    ----------
    node_settings : Settings
        Bounds of the further attempts of all nodes together.
    """

    def __init__(self, node_settings: settings.Settings) -> None:
        self._settings = node_settings
        self._fleet_share = allowance.NodeShare()
        self._budgets_by_service: dict[str, budget.Budget] = {}

    def on_published(self, machines: int, now: float) -> None:
        """Divide the allowance by the number of machines that are now published."""
        self._fleet_share.on_published(machines, now)

    def try_spend(self, service: str, now: float) -> bool:
        """Charge one further attempt to the budget; return whether it is allowed."""
        return self._budget(service, now).try_spend(now)

    def on_answer(self, service: str, now: float) -> None:
        """Record an answered call, which earns a fraction of a further attempt."""
        self._budget(service, now).deposit(now)

    def state(self, service: str, now: float) -> budget.BudgetState:
        """Return the state of the budget of one service."""
        return self._budget(service, now).state(now)

    def states(self, now: float) -> Iterator[tuple[str, budget.BudgetState]]:
        """Yield each service that was called, with the state of its budget."""
        for service in list(self._budgets_by_service):
            yield service, self.state(service, now)

    def _budget(self, service: str, now: float) -> budget.Budget:
        bounds = self._settings.bounds
        service_budget = self._budgets_by_service.get(service)
        if service_budget is None:
            ratio = bounds.retry_ratio * RATIO_SHARE
            service_budget = budget.Budget(
                ratio, 0.0, bounds.retry_window_s, reserve=0.0, strict_window=True
            )
            self._budgets_by_service[service] = service_budget
        allowance_per_machine = (
            bounds.retry_allowance / self._fleet_share.machine_count(now)
        )
        service_budget.set_max_earned(allowance_per_machine * EARNED_SHARE)
        node_share = self._fleet_share.share_of(
            bounds.retry_allowance, bounds.retry_window_s, now
        )
        service_budget.set_allowance(node_share * ALLOWANCE_SHARE)
        service_budget.grant_reserve(node_share * RESERVE_SHARE)
        return service_budget
