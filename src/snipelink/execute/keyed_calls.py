"""Runs calls with an idempotency key through the owner of the key."""

from __future__ import annotations

import threading
import time
import typing

from result import Err, Ok, Result

from snipelink import errors, model
from snipelink.execute import forwarding, quorum, service_state
from snipelink.observe import traces
from snipelink.retry import crash_suspects, idempotency_keys

LEASE_RENEW_INTERVAL_S = 0.2
# The lease is renewed in the background while keyed calls arrive.
KEYED_ACTIVITY_WINDOW_S = 30.0
Cancelled = typing.Callable[[], bool]
Outcome = Result[model.Answer, errors.Failure]


class RunCall(typing.Protocol):
    """Runs the attempts of a call."""

    def __call__(
        self,
        state: service_state.ServiceState,
        call: model.Call,
        span: traces.Span,
        now: float,
        cancelled: Cancelled,
    ) -> Outcome:
        """Return the outcome of the last attempt."""


def requires_key_owner(call: model.Call) -> bool:
    """Whether the call must go through the owner of its key."""
    return bool(call.idempotency_key) and not call.operation.idempotent


class KeyedCalls:
    """Sends keyed calls to their owners, and runs those that this node owns.

    Parameters
    ----------
    node : str
        Name of this node.
    forwarder : Forwarder
        Connections to the owners.
    owner_quorum : Quorum
        Confirms that this node's knowledge of the owners is current.
    run : Run
        Runs the attempts of a call.
    """

    def __init__(
        self,
        node: str,
        forwarder: forwarding.Forwarder,
        owner_quorum: quorum.Quorum,
        run: RunCall,
    ) -> None:
        self._node = node
        self._forwarder = forwarder
        self._quorum = owner_quorum
        self._run = run
        self._confirm_lock = threading.Lock()

    def execute(
        self,
        state: service_state.ServiceState,
        call: model.Call,
        span: traces.Span,
        now: float,
        cancelled: Cancelled,
    ) -> Outcome:
        """Run a keyed call of one of this node's callers."""
        routed = state.keys.route(call.idempotency_key)
        if isinstance(routed, Err):
            return routed
        owner = routed.ok_value
        if owner == self._node:
            return self.run_as_owner(state, call, span, now, cancelled)
        endpoint = state.endpoint(owner)
        if endpoint is None or not endpoint.call_address:
            detail = f"{owner}, the owner of the key, is gone"
            return Err(errors.Failure(errors.Kind.KEY_UNKNOWN, detail))
        span.add(traces.Step.FORWARDED, now, owner, "owner of the key")
        outcome = self._forwarder.forward(call, endpoint, to_owner=True)
        if isinstance(outcome, Ok) or outcome.err_value.retried:
            return outcome
        return Err(idempotency_keys.owner_unreached_failure(outcome.err_value))

    def run_as_owner(
        self,
        state: service_state.ServiceState,
        call: model.Call,
        span: traces.Span,
        now: float,
        cancelled: Cancelled,
    ) -> Outcome:
        """Run a keyed call unless its key was used before."""
        begun = self._begin(state, call, now)
        if isinstance(begun, Err):
            return begun
        claim = begun.ok_value
        if claim.answer is not None:
            return Ok(claim.answer)
        outcome: Outcome = Err(errors.Failure(errors.Kind.INTERNAL))
        try:
            outcome = self._run(state, call, span, time.monotonic(), cancelled)
            return outcome
        finally:
            if isinstance(outcome, Ok):
                state.keys.finish(claim, outcome.ok_value)
            else:
                state.keys.abandon(claim, outcome.err_value)

    def _begin(
        self, state: service_state.ServiceState, call: model.Call, now: float
    ) -> Result[idempotency_keys.Claim, errors.Failure]:
        state.last_keyed_call_at = now
        fingerprint = crash_suspects.fingerprint(call)
        if not state.keys.has_lease(now):
            self.refresh_ownership(state)
        return state.keys.begin(
            call.idempotency_key, fingerprint, time.monotonic(), time.time()
        )

    def refresh_ownership(self, state: service_state.ServiceState) -> None:
        """Adopt a newer revision and renew the lease, as far as a majority agrees."""
        with self._confirm_lock:
            now, wall = time.monotonic(), time.time()
            # A newer set may be accepted while the owners are asked.
            known = state.key_owners
            revision, owners = known.revision, known.endpoints
            if revision > state.keys.revision:
                # An owner by an earlier revision holds its lease until a majority of
                # the owners it knows has left that revision.
                earlier = state.adopted_owners
                if not self._quorum.majority_has_reached(earlier, revision):
                    return
                state.keys.apply_revision(
                    revision, known.names, time.time(), known.handover_at
                )
                state.adopted_owners = owners
            if not state.keys.is_lease_renewal_due(now):
                return
            if self._quorum.majority_has_exactly(owners, revision):
                state.keys.renew_lease(revision, now, wall)


class LeaseRenewer:
    """Renews the lease of the own service while keyed calls arrive."""

    def __init__(
        self,
        keyed: KeyedCalls,
        own: typing.Callable[[], service_state.ServiceState | None],
    ) -> None:
        self._keyed = keyed
        self._own = own

    def start(self) -> None:
        """Renew in a thread of its own."""
        threading.Thread(target=self._work, name="key-lease", daemon=True).start()

    def _work(self) -> None:
        while True:
            time.sleep(LEASE_RENEW_INTERVAL_S)
            state = self._own()
            if state is None:
                continue
            active = (
                time.monotonic() - state.last_keyed_call_at < KEYED_ACTIVITY_WINDOW_S
            )
            if active or state.key_owners.revision > state.keys.revision:
                self._keyed.refresh_ownership(state)
