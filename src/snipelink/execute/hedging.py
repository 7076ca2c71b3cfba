"""Sends a slow idempotent call a second time, to another endpoint's node."""

from __future__ import annotations

import dataclasses
import time
import typing

from result import Err, Ok, Result

from snipelink import errors, model
from snipelink.balance import endpoint_stats
from snipelink.execute import forwarding, service_state

Outcome = Result[model.Answer, errors.Failure]


class RecordOutcome(typing.Protocol):
    """Records the outcome of one attempt."""

    def __call__(
        self,
        state: service_state.ServiceState,
        attempt: endpoint_stats.Attempt,
        outcome: Outcome,
        now: float,
    ) -> None:
        """Record the outcome, at a monotonic time."""


class ChooseEndpoint(typing.Protocol):
    """Chooses an endpoint for the second attempt."""

    def __call__(self, now: float, /) -> model.Endpoint | None:
        """Return an endpoint with a node, or None."""


@dataclasses.dataclass(slots=True)
class _Attempt:
    """An attempt that waits for its reply."""

    pending: forwarding.PendingCall
    fact: endpoint_stats.Attempt


class HedgedForwarder:
    """Forwards a call, and once more when its reply is late.

    Both replies are awaited in the thread of the call. The attempt that is not needed
    is cancelled by closing its connection.
    """

    def __init__(self, forwarder: forwarding.Forwarder, record: RecordOutcome) -> None:
        self._forwarder = forwarder
        self._record = record

    def run(
        self,
        state: service_state.ServiceState,
        call: model.Call,
        endpoint: model.Endpoint,
        delay_s: float,
        choose: ChooseEndpoint,
    ) -> Outcome:
        """Run an idempotent call on the node beside `endpoint`, or on another one.

        Parameters
        ----------
        delay_s : float
            Time after which a reply is late, seconds.
        choose : Choose
            Chooses the endpoint of the second attempt.
        """
        begun = self._begin(state, call, endpoint)
        if isinstance(begun, Err):
            return begun
        first = begun.ok_value
        if self._forwarder.wait_for_any([first.pending], delay_s) is None:
            second = self._begin_second(state, call, choose)
            if second is not None:
                return self._race(state, call, first, second)
        return self._finish(state, first)

    def _begin(
        self,
        state: service_state.ServiceState,
        call: model.Call,
        endpoint: model.Endpoint,
    ) -> Result[_Attempt, errors.Failure]:
        now = time.monotonic()
        fact = state.tracker.on_start(endpoint, call.operation.name, now)
        begun = self._forwarder.start_call(call, endpoint)
        if isinstance(begun, Err):
            self._record(state, fact, begun, time.monotonic())
            return begun
        return Ok(_Attempt(begun.ok_value, fact))

    def _begin_second(
        self,
        state: service_state.ServiceState,
        call: model.Call,
        choose: ChooseEndpoint,
    ) -> _Attempt | None:
        now = time.monotonic()
        endpoint = choose(now)
        if endpoint is None or not state.hedge_policy.try_start(now):
            return None
        again = dataclasses.replace(call, attempt=call.attempt + 1)
        begun = self._begin(state, again, endpoint)
        return begun.ok_value if isinstance(begun, Ok) else None

    def _race(
        self,
        state: service_state.ServiceState,
        call: model.Call,
        first: _Attempt,
        second: _Attempt,
    ) -> Outcome:
        remaining = call.deadline - time.monotonic()
        ready = self._forwarder.wait_for_any([first.pending, second.pending], remaining)
        winner, other = (second, first) if ready is second.pending else (first, second)
        outcome = self._finish(state, winner)
        if isinstance(outcome, Ok):
            self._cancel(state, other)
            return outcome
        return self._finish(state, other)

    def _finish(self, state: service_state.ServiceState, attempt: _Attempt) -> Outcome:
        outcome = self._forwarder.receive_reply(attempt.pending)
        self._record(state, attempt.fact, outcome, time.monotonic())
        return outcome

    def _cancel(self, state: service_state.ServiceState, attempt: _Attempt) -> None:
        self._forwarder.cancel(attempt.pending)
        now = time.monotonic()
        failure = errors.Failure(errors.Kind.CANCELLED, "another attempt was faster")
        state.tracker.on_failure(attempt.fact, failure, now)
        fact = attempt.fact
        state.hedge_policy.record(fact.operation, fact.endpoint, now - fact.started_at)
