"""Runs a node that lacks one mechanism, to show that the scenarios notice it.

Usage:
  mutants MECHANISM SETTINGS
"""

from __future__ import annotations

import os
import sys
import typing

import docopt
from result import Ok, Result

from snipelink import errors
from snipelink.balance import tracker
from snipelink.cli import node as program
from snipelink.execute import (
    control_plane,
    endpoint_client,
    endpoint_config,
    executor,
    keyed_calls,
    node,
)
from snipelink.retry import crash_suspects, policy
from snipelink.session import http


def _retry_everything() -> None:
    """Repeat calls that may have run, whatever the operation."""

    def decide(
        call: typing.Any, failure: errors.Failure, attempts: int, *_: object
    ) -> policy.Decision:
        action = policy.Action.RETRY if attempts < 3 else policy.Action.GIVE_UP
        return policy.Decision(action, failure, "")

    policy.decide = decide


def _claim_not_run() -> None:
    """Tell callers that a call did not run when its connection was lost."""
    traits = errors.KindTraits(
        503, errors.ExecutionStatus.NOT_RUN, errors.Retryability.NO
    )
    errors.TRAITS_BY_KIND[errors.Kind.CONNECTION_LOST] = traits


def _stop_at_once() -> None:
    """End the process on SIGTERM without waiting for calls in flight."""
    node.Node.stop = lambda self, cut: os._exit(0)


def _ignore_leaving() -> None:
    """Choose endpoints that are leaving, and let them take new work."""
    endpoint_config.OwnEndpointConfig.is_leaving = lambda self, now: False
    tracker.Tracker.is_leaving = lambda self, endpoint, now: False
    control_plane.ControlPlane.is_leaving = lambda self, endpoint, now: False


def _pass_on_cut_answers() -> None:
    """Treat an answer that ended early as complete."""
    client = endpoint_client.EndpointClient
    original = client._connection_lost_outcome

    def ended(
        self: typing.Any, reader: typing.Any, detail: str
    ) -> Result[http.Response, errors.Failure]:
        if not reader.head_complete:
            return original(self, reader, detail)
        reader.reusable = False
        return Ok(http.Response(reader.status, reader.headers, reader.body))

    client._connection_lost_outcome = ended


def _swap_answers() -> None:
    """Answer every call with the answer to the call before it."""
    original = executor.Executor.execute
    kept: list[typing.Any] = []

    def execute(self: executor.Executor, *arguments: typing.Any) -> typing.Any:
        outcome = original(self, *arguments)
        if not isinstance(outcome, Ok):
            return outcome
        kept.append(outcome)
        return kept.pop(0) if len(kept) > 1 else outcome

    executor.Executor.execute = execute


def _forget_suspects() -> None:
    """Never contain a call that crashes endpoints."""
    crash_suspects.CrashSuspectTable.refusal_of_call = lambda self, call, now: None


def _ignore_keys() -> None:
    """Run calls with an idempotency key like all others."""
    keyed_calls.requires_key_owner = lambda call: False


MECHANISMS = {
    "idempotency-keys": _ignore_keys,
    "retry-decision": _retry_everything,
    "not-run": _claim_not_run,
    "graceful-stop": _stop_at_once,
    "leaving": _ignore_leaving,
    "complete-answers": _pass_on_cut_answers,
    "own-answer": _swap_answers,
    "crash-suspects": _forget_suspects,
}


def main() -> int:
    """Remove the mechanism and run the node."""
    options = docopt.docopt(__doc__)
    MECHANISMS[options["MECHANISM"]]()
    return program.main([options["SETTINGS"]])


if __name__ == "__main__":
    sys.exit(main())
