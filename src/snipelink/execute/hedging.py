"""Hedges slow idempotent calls: sends them to a second endpoint as well."""

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
    """Callback that records the outcome of one attempt."""

    def __call__(
        self,
        state: service_state.ServiceState,
        attempt: endpoint_stats.Attempt,
        outcome: Outcome,
        now: float,
    ) -> None:
        """Record the outcome at the monotonic time `now`."""


class ChooseEndpoint(typing.Protocol):
    """Callback that chooses the endpoint of the hedge."""

    def __call__(self, now: float, /) -> model.Endpoint | None:
        """Return an endpoint that has a node beside it, or None."""


@dataclasses.dataclass(slots=True)
class _PendingAttempt:
    """An attempt whose reply has not arrived, with its entry in the tracker."""

    pending: forwarding.PendingCall
    tracked_attempt: endpoint_stats.Attempt


class HedgedForwarder:
    """Forwards a call and sends a hedge if the reply is late.

    The calling thread waits for both replies. It returns the first answer and cancels
    the other attempt by closing its connection.
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
        """Forward an idempotent call to `endpoint`'s node, with a hedge if it is slow.

        Parameters
        ----------
        delay_s : float
            Seconds without a reply after which the hedge is sent.
        choose : ChooseEndpoint
            Chooses the endpoint of the hedge.
        """
        started = self._start(state, call, endpoint)
        if isinstance(started, Err):
            return started
        first = started.ok_value
        if self._forwarder.wait_for_any([first.pending], delay_s) is None:
            hedge = self._start_hedge(state, call, choose)
            if hedge is not None:
                return self._race(state, call, first, hedge)
        return self._receive(state, first)

    def _start(
        self,
        state: service_state.ServiceState,
        call: model.Call,
        endpoint: model.Endpoint,
    ) -> Result[_PendingAttempt, errors.Failure]:
        now = time.monotonic()
        tracked_attempt = state.tracker.on_start(endpoint, call.operation.name, now)
        started = self._forwarder.start_call(call, endpoint)
        if isinstance(started, Err):
            self._record(state, tracked_attempt, started, time.monotonic())
            return started
        return Ok(_PendingAttempt(started.ok_value, tracked_attempt))

    def _start_hedge(
        self,
        state: service_state.ServiceState,
        call: model.Call,
        choose: ChooseEndpoint,
    ) -> _PendingAttempt | None:
        now = time.monotonic()
        endpoint = choose(now)
        if endpoint is None or not state.hedge_policy.try_start(now):
            return None
        hedge_call = dataclasses.replace(call, attempt=call.attempt + 1)
        started = self._start(state, hedge_call, endpoint)
        return started.ok_value if isinstance(started, Ok) else None

    def _race(
        self,
        state: service_state.ServiceState,
        call: model.Call,
        first: _PendingAttempt,
        hedge: _PendingAttempt,
    ) -> Outcome:
        remaining = call.deadline - time.monotonic()
        ready = self._forwarder.wait_for_any([first.pending, hedge.pending], remaining)
        winner, loser = (hedge, first) if ready is hedge.pending else (first, hedge)
        outcome = self._receive(state, winner)
        if isinstance(outcome, Ok):
            self._cancel(state, loser)
            return outcome
        return self._receive(state, loser)

    def _receive(
        self, state: service_state.ServiceState, attempt: _PendingAttempt
    ) -> Outcome:
        outcome = self._forwarder.receive_reply(attempt.pending)
        self._record(state, attempt.tracked_attempt, outcome, time.monotonic())
        return outcome

    def _cancel(
        self, state: service_state.ServiceState, attempt: _PendingAttempt
    ) -> None:
        self._forwarder.cancel(attempt.pending)
        now = time.monotonic()
        failure = errors.Failure(errors.Kind.CANCELLED, "another attempt was faster")
        state.tracker.on_failure(attempt.tracked_attempt, failure, now)
        tracked_attempt = attempt.tracked_attempt
        state.hedge_policy.record(
            tracked_attempt.operation,
            tracked_attempt.endpoint,
            now - tracked_attempt.started_at,
        )
