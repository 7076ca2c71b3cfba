"""Queue in which operations share the endpoint by their value."""

from __future__ import annotations

import collections
import dataclasses
import threading

from snipelink import errors, model

SHARES_BY_PRIORITY = {"high": 16, "normal": 4, "low": 1}
MIN_COST_S = 0.001
MAX_FLOWS = 256


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """One call in the queue.

    Attributes
    ----------
    wake : threading.Event or None
        Set once ``admitted`` or ``failure`` is decided.
    """

    call: model.Call
    since: float
    wake: threading.Event | None = None
    admitted: bool = False
    failure: errors.Failure | None = None


def share_of(operation: model.Operation) -> int:
    """Return the share of an operation: that of its class times its weight."""
    return SHARES_BY_PRIORITY.get(operation.priority, 4) * operation.weight


class _Flow:
    __slots__ = ("share", "start", "waiters")

    def __init__(self) -> None:
        self.share = 1
        self.start = 0.0
        self.waiters: collections.deque[Waiter] = collections.deque()


class WeightedQueue:
    """Start-time fair queue with one flow per operation.

    Operations with waiting calls receive the endpoint's time in proportion to their
    shares. The first call of a flow is never shed for another flow, so a low class is
    served slowly but does not starve.
    """

    def __init__(self) -> None:
        self._flows_by_operation: dict[str, _Flow] = {}
        self._active_by_operation: dict[str, _Flow] = {}
        self._virtual_time = 0.0
        self._length = 0
        self._share_sum = 0

    def __len__(self) -> int:
        return self._length

    def position(self, operation: model.Operation) -> float:
        """Return about how many calls start before a new one of the operation."""
        flow = self._active_by_operation.get(operation.name)
        own = len(flow.waiters) if flow else 0
        share = share_of(operation)
        total = self._share_sum + (0 if flow else share)
        return min(float(self._length), (own + 1) * total / share - 1)

    def push(self, waiter: Waiter) -> None:
        """Append a call to its operation's flow."""
        operation = waiter.call.operation
        flow = self._flows_by_operation.get(operation.name)
        if flow is None:
            if len(self._flows_by_operation) >= MAX_FLOWS:
                self._flows_by_operation = dict(self._active_by_operation)
            flow = self._flows_by_operation[operation.name] = _Flow()
        if not flow.waiters:
            flow.share = share_of(operation)
            flow.start = max(flow.start, self._virtual_time)
            self._active_by_operation[operation.name] = flow
            self._share_sum += flow.share
        flow.waiters.append(waiter)
        self._length += 1

    def peek(self) -> Waiter | None:
        """Return the call that ``pop`` serves next."""
        flow = self._next_flow()
        return flow.waiters[0] if flow else None

    def pop(self, cost_s: float) -> Waiter | None:
        """Remove the next call and charge its flow with the time it will take."""
        flow = self._next_flow()
        if flow is None:
            return None
        waiter = flow.waiters.popleft()
        self._virtual_time = flow.start
        flow.start += max(cost_s, MIN_COST_S) / flow.share
        self._after_removal(waiter, flow)
        return waiter

    def remove(self, waiter: Waiter) -> bool:
        """Remove one call; return whether it was still queued."""
        flow = self._active_by_operation.get(waiter.call.operation.name)
        if flow is None or waiter not in flow.waiters:
            return False
        flow.waiters.remove(waiter)
        self._after_removal(waiter, flow)
        return True

    def displace_for(self, operation: model.Operation) -> Waiter | None:
        """Remove the newest call of the flow furthest above its part of the queue.

        Returns None when that flow is the operation's own one or no flow holds more
        than its first call; the new call is then the one to refuse.
        """
        own = self._active_by_operation.get(operation.name)
        own_length = len(own.waiters) + 1 if own else 1
        highest = own_length / share_of(operation) if own else 0.0
        victim = None
        for flow in self._active_by_operation.values():
            excess = len(flow.waiters) / flow.share
            if flow is not own and len(flow.waiters) > 1 and excess > highest:
                victim, highest = flow, excess
        if victim is None:
            return None
        waiter = victim.waiters.pop()
        self._after_removal(waiter, victim)
        return waiter

    def _next_flow(self) -> _Flow | None:
        return min(
            self._active_by_operation.values(),
            key=lambda flow: flow.start,
            default=None,
        )

    def _after_removal(self, waiter: Waiter, flow: _Flow) -> None:
        self._length -= 1
        if not flow.waiters:
            del self._active_by_operation[waiter.call.operation.name]
            self._share_sum -= flow.share
