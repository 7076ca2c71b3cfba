"""Routes calls with an idempotency key through the node that owns the key."""

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
# The lease is renewed in the background for this long after the last keyed call.
KEYED_ACTIVITY_WINDOW_S = 30.0
Cancelled = typing.Callable[[], bool]
Outcome = Result[model.Answer, errors.Failure]


class RunCall(typing.Protocol):
    """Callback that executes the attempts of a call."""

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
    """Whether a call has a key and is not idempotent; the key's owner must run it."""
    return bool(call.idempotency_key) and not call.operation.idempotent


class KeyedCalls:
    """Sends keyed calls to the owners of their keys, or runs them as the owner.

    Parameters
    ----------
    node : str
        Name of this node.
    forwarder : Forwarder
        Forwards calls to the owners.
    owner_quorum : Quorum
        Confirms that this node's revision of the key owners is current.
    run : RunCall
        Executes the attempts of a call.
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
        """Execute a keyed call that this node received from a caller."""
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
        """Execute a keyed call unless a call with its key has already started.

        If the earlier call has finished, its stored answer is returned.
        """
        claimed = self._claim_key(state, call, now)
        if isinstance(claimed, Err):
            return claimed
        claim = claimed.ok_value
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

    def _claim_key(
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
        """Adopt a newer revision of the key owners and renew the lease.

        Each step needs the confirmation of a majority of the owners.
        """
        with self._confirm_lock:
            now, wall_time = time.monotonic(), time.time()
            # Read once, because a newer set may be accepted while the owners are
            # queried.
            published = state.key_owners
            revision, owners = published.revision, published.endpoints
            if revision > state.keys.revision:
                # An owner under the earlier revision can renew its lease until a
                # majority of that revision's owners has moved to a newer one. Adopting
                # before that could give a key two owners.
                adopted = state.adopted_owners
                if not self._quorum.majority_has_reached(adopted, revision):
                    return
                state.keys.apply_revision(
                    revision, published.names, time.time(), published.handover_at
                )
                state.adopted_owners = owners
            if not state.keys.is_lease_renewal_due(now):
                return
            if self._quorum.confirms_latest(owners, revision):
                state.keys.renew_lease(revision, now, wall_time)


class LeaseRenewer:
    """Thread that renews the key lease of the own service while keyed calls arrive."""

    def __init__(
        self,
        calls: KeyedCalls,
        own_state: typing.Callable[[], service_state.ServiceState | None],
    ) -> None:
        self._calls = calls
        self._own_state = own_state

    def start(self) -> None:
        """Start the renewal thread."""
        threading.Thread(
            target=self._run_renewals, name="key-lease", daemon=True
        ).start()

    def _run_renewals(self) -> None:
        while True:
            time.sleep(LEASE_RENEW_INTERVAL_S)
            state = self._own_state()
            if state is None:
                continue
            active = (
                time.monotonic() - state.last_keyed_call_at < KEYED_ACTIVITY_WINDOW_S
            )
            if active or state.key_owners.revision > state.keys.revision:
                self._calls.refresh_ownership(state)
