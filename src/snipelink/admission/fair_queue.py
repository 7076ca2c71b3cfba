"""Weighted fair queue of calls that wait for a slot of the endpoint."""

from __future__ import annotations

import collections
import dataclasses
import threading

from snipelink import errors, model

# Relative service shares of the priority classes.
SHARES_BY_PRIORITY = {"high": 16, "normal": 4, "low": 1}
MIN_COST_S = 0.001
MAX_FLOW_COUNT = 256


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """One call in the queue.

    Attributes
    ----------
    decided : threading.Event or None
        Set as soon as ``admitted`` or ``failure`` is set.
    """

    call: model.Call
    queued_at: float
    decided: threading.Event | None = None
    admitted: bool = False
    failure: errors.Failure | None = None


def share_of(operation: model.Operation) -> int:
    """Return the share of its priority class multiplied by the operation's weight."""
    return SHARES_BY_PRIORITY.get(operation.priority, 4) * operation.weight


class _Flow:
    __slots__ = ("share", "start", "waiters")

    def __init__(self) -> None:
        self.share = 1
        self.start = 0.0
        self.waiters: collections.deque[Waiter] = collections.deque()


class WeightedFairQueue:
    """Start-time fair queue with one flow per operation.

    Operations with waiting calls receive the endpoint's time in proportion to their
    shares. When the queue is full, the flow with the most calls per share loses its
    newest call. The only call of a flow is never shed in favour of another flow, so an
    operation of low priority is slow but does not starve.
    """

    def __init__(self) -> None:
        self._flows_by_operation: dict[str, _Flow] = {}
        self._active_by_operation: dict[str, _Flow] = {}
        self._virtual_time = 0.0
        self._length = 0
        self._share_sum = 0

    def __len__(self) -> int:
        return self._length

    def expected_position(self, operation: model.Operation) -> float:
        """Return the expected number of calls that start before a new one."""
        flow = self._active_by_operation.get(operation.name)
        own_length = len(flow.waiters) if flow else 0
        share = share_of(operation)
        total = self._share_sum + (0 if flow else share)
        return min(float(self._length), (own_length + 1) * total / share - 1)

    def push(self, waiter: Waiter) -> None:
        """Append a call to the flow of its operation."""
        operation = waiter.call.operation
        flow = self._flows_by_operation.get(operation.name)
        if flow is None:
            if len(self._flows_by_operation) >= MAX_FLOW_COUNT:
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
        """Return the call that the next ``pop`` removes."""
        flow = self._next_flow()
        return flow.waiters[0] if flow else None

    def pop(self, cost_s: float) -> Waiter | None:
        """Remove the next call and charge its expected service time to its flow."""
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

    def shed_for(self, operation: model.Operation) -> Waiter | None:
        """Shed the newest call of the flow that holds the most calls per share.

        Returns None when that flow is the operation's own, or when no other flow holds
        more than one call. The caller then refuses the new call.
        """
        own_flow = self._active_by_operation.get(operation.name)
        own_length = len(own_flow.waiters) + 1 if own_flow else 1
        highest_calls_per_share = own_length / share_of(operation) if own_flow else 0.0
        fullest = None
        for flow in self._active_by_operation.values():
            calls_per_share = len(flow.waiters) / flow.share
            if (
                flow is not own_flow
                and len(flow.waiters) > 1
                and calls_per_share > highest_calls_per_share
            ):
                fullest, highest_calls_per_share = flow, calls_per_share
        if fullest is None:
            return None
        waiter = fullest.waiters.pop()
        self._after_removal(waiter, fullest)
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
