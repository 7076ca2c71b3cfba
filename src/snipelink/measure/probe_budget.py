"""Budget for the cost of measuring endpoints."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Iterable

PERMIT_S = 0.1


class TokenBucket:
    """Token bucket that starts empty; not thread-safe.

    In any window of ``t`` seconds at most ``cap + rate * t`` is spent, also across a
    restart, because a new account holds nothing. A pause earns at most ``cap``.

    Parameters
    ----------
    rate : float
        Cost earned per second.
    cap : float
        Most that accumulates; a single cost above it is never allowed.
    now : float
        Current monotonic time, seconds.
    """

    def __init__(self, rate: float, cap: float, now: float) -> None:
        self._rate = rate
        self._cap = cap
        self._balance = 0.0
        self._at = now

    def try_spend(self, cost: float, now: float) -> bool:
        """Spend a cost if the balance covers it."""
        if not self.covers(cost, now):
            return False
        self._balance -= cost
        return True

    def covers(self, cost: float, now: float) -> bool:
        """Return whether the balance covers a cost."""
        self._earn(now)
        return 0.0 <= cost <= self._balance

    def charge(self, cost: float, now: float) -> None:
        """Charge a cost that was incurred; the balance may become negative."""
        self._earn(now)
        self._balance -= max(0.0, cost)

    def set_rate(self, rate: float, cap: float, now: float) -> None:
        """Change the budget; what was earned above the new cap is lost."""
        self._earn(now)
        self._rate, self._cap = rate, cap
        self._balance = min(self._balance, cap)

    def _earn(self, now: float) -> None:
        elapsed = now - self._at
        if elapsed > 0.0:
            self._balance = min(self._cap, self._balance + elapsed * self._rate)
            self._at = now


@dataclasses.dataclass(frozen=True, slots=True)
class ProbePermit:
    """Right to start one measurement, already charged."""

    endpoint: str
    cost: float
    expires_at: float

    def may_start(self, now: float) -> bool:
        """Return whether the measurement may still start.

        A permit issued before a pause of the process must not be used after it;
        measurements held up by the pause would otherwise start all at once.
        """
        return now <= self.expires_at


class ProbeBudget:
    """Accounts of one node: one for the node and one for each endpoint.

    A measurement is charged to both, so neither the node nor any endpoint exceeds its
    budget. An endpoint's budget counts all nodes; ``endpoint_rate`` is this node's
    part of it.
    """

    def __init__(
        self,
        node_rate: float,
        node_cap: float,
        endpoint_rate: float,
        endpoint_cap: float,
        now: float,
    ) -> None:
        self._lock = threading.Lock()
        self._node = TokenBucket(node_rate, node_cap, now)
        self._endpoint_rate = endpoint_rate
        self._endpoint_cap = endpoint_cap
        self._accounts_by_endpoint: dict[str, TokenBucket] = {}

    def try_spend(self, endpoint: str, cost: float, now: float) -> ProbePermit | None:
        """Charge a measurement to the endpoint and the node, or to neither."""
        with self._lock:
            account = self._account_of(endpoint, now)
            if not (account.covers(cost, now) and self._node.covers(cost, now)):
                return None
            account.charge(cost, now)
            self._node.charge(cost, now)
            return ProbePermit(endpoint, cost, now + PERMIT_S)

    def settle(self, permit: ProbePermit, actual_cost: float, now: float) -> None:
        """Charge what a measurement cost above its estimate."""
        with self._lock:
            extra = actual_cost - permit.cost
            self._account_of(permit.endpoint, now).charge(extra, now)
            self._node.charge(extra, now)

    def set_endpoint_rate(self, rate: float, cap: float, now: float) -> None:
        """Change this node's part of each endpoint's budget."""
        with self._lock:
            self._endpoint_rate, self._endpoint_cap = rate, cap
            for account in self._accounts_by_endpoint.values():
                account.set_rate(rate, cap, now)

    def retain(self, names: Iterable[str]) -> None:
        """Forget all endpoints but the named ones; they start empty if they return."""
        kept = frozenset(names)
        with self._lock:
            for name in [n for n in self._accounts_by_endpoint if n not in kept]:
                del self._accounts_by_endpoint[name]

    def _account_of(self, endpoint: str, now: float) -> TokenBucket:
        account = self._accounts_by_endpoint.get(endpoint)
        if account is None:
            account = TokenBucket(self._endpoint_rate, self._endpoint_cap, now)
            self._accounts_by_endpoint[endpoint] = account
        return account
