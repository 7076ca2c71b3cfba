"""Token buckets that bound the cost of probes of endpoints."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Iterable

PERMIT_LIFETIME_S = 0.1


class TokenBucket:
    """Token bucket that starts empty; not thread-safe.

    In any window of ``t`` seconds at most ``cap + rate * t`` is spent. The bound holds
    across a restart because a new bucket is empty, and after a pause because a bucket
    never holds more than ``cap``.

    Parameters
    ----------
    rate : float
        Refill rate, in units of cost per second.
    cap : float
        Capacity of the bucket. A single cost above it is never allowed.
    now : float
        Current monotonic time, seconds.
    """

    def __init__(self, rate: float, cap: float, now: float) -> None:
        self._rate = rate
        self._cap = cap
        self._level = 0.0
        self._refilled_at = now

    def try_spend(self, cost: float, now: float) -> bool:
        """Spend a cost if the bucket holds enough; return whether it did."""
        if not self.can_spend(cost, now):
            return False
        self._level -= cost
        return True

    def can_spend(self, cost: float, now: float) -> bool:
        """Return whether the bucket holds enough for a cost."""
        self._refill(now)
        return 0.0 <= cost <= self._level

    def charge(self, cost: float, now: float) -> None:
        """Charge a cost that was already incurred; the level may become negative."""
        self._refill(now)
        self._level -= max(0.0, cost)

    def set_rate(self, rate: float, cap: float, now: float) -> None:
        """Change the refill rate and the capacity; the level is cut to the new cap."""
        self._refill(now)
        self._rate, self._cap = rate, cap
        self._level = min(self._level, cap)

    def _refill(self, now: float) -> None:
        elapsed_s = now - self._refilled_at
        if elapsed_s > 0.0:
            self._level = min(self._cap, self._level + elapsed_s * self._rate)
            self._refilled_at = now


@dataclasses.dataclass(frozen=True, slots=True)
class ProbePermit:
    """One probe that the budget allows; its estimated cost is already charged."""

    endpoint: str
    cost: float
    expires_at: float

    def may_start(self, now: float) -> bool:
        """Return whether the probe may still start.

        A permit expires after `PERMIT_LIFETIME_S`, so that probes that were delayed by
        a pause of the process do not all start at once when the process resumes.
        """
        return now <= self.expires_at


class ProbeBudget:
    """Budget of one node's probes: a token bucket for the node and each endpoint.

    A probe is charged to both buckets, so neither the node nor any endpoint exceeds its
    budget. The budget of an endpoint is divided among all nodes; ``endpoint_rate`` is
    the part of this node.
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
        self._node_bucket = TokenBucket(node_rate, node_cap, now)
        self._endpoint_rate = endpoint_rate
        self._endpoint_cap = endpoint_cap
        self._buckets_by_endpoint: dict[str, TokenBucket] = {}

    def try_spend(self, endpoint: str, cost: float, now: float) -> ProbePermit | None:
        """Charge a probe to the endpoint and to the node, or to neither."""
        with self._lock:
            bucket = self._bucket_of(endpoint, now)
            if not (
                bucket.can_spend(cost, now) and self._node_bucket.can_spend(cost, now)
            ):
                return None
            bucket.charge(cost, now)
            self._node_bucket.charge(cost, now)
            return ProbePermit(endpoint, cost, now + PERMIT_LIFETIME_S)

    def settle(self, permit: ProbePermit, actual_cost: float, now: float) -> None:
        """Charge the cost of a finished probe that exceeds its estimate."""
        with self._lock:
            excess_cost = actual_cost - permit.cost
            self._bucket_of(permit.endpoint, now).charge(excess_cost, now)
            self._node_bucket.charge(excess_cost, now)

    def set_endpoint_rate(self, rate: float, cap: float, now: float) -> None:
        """Change the part of each endpoint's budget that this node may use."""
        with self._lock:
            self._endpoint_rate, self._endpoint_cap = rate, cap
            for bucket in self._buckets_by_endpoint.values():
                bucket.set_rate(rate, cap, now)

    def retain(self, names: Iterable[str]) -> None:
        """Remove all endpoints but the named ones.

        The bucket of an endpoint that is added again starts empty.
        """
        kept = frozenset(names)
        with self._lock:
            for name in [n for n in self._buckets_by_endpoint if n not in kept]:
                del self._buckets_by_endpoint[name]

    def _bucket_of(self, endpoint: str, now: float) -> TokenBucket:
        bucket = self._buckets_by_endpoint.get(endpoint)
        if bucket is None:
            bucket = TokenBucket(self._endpoint_rate, self._endpoint_cap, now)
            self._buckets_by_endpoint[endpoint] = bucket
        return bucket
