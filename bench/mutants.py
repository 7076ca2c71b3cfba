"""Runs a node without one mechanism, to test that the scenarios detect its absence.

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
    """Retry calls that may have run, also of non-idempotent operations."""

    def decide(
        call: typing.Any, failure: errors.Failure, attempts: int, *_: object
    ) -> policy.Decision:
        action = policy.Action.RETRY if attempts < 3 else policy.Action.GIVE_UP
        return policy.Decision(action, failure, "")

    policy.decide = decide


def _claim_not_run() -> None:
    """Report calls whose connection was lost as not run."""
    traits = errors.KindTraits(
        503, errors.ExecutionStatus.NOT_RUN, errors.Retryability.NO
    )
    errors.TRAITS_BY_KIND[errors.Kind.CONNECTION_LOST] = traits


def _stop_without_draining() -> None:
    """Exit on SIGTERM without draining the calls in flight."""
    node.Node.stop = lambda self, cut: os._exit(0)


def _ignore_leaving() -> None:
    """Send new calls to endpoints that are leaving, and admit them there."""
    endpoint_config.OwnEndpointConfig.is_leaving = lambda self, now: False
    tracker.Tracker.is_leaving = lambda self, endpoint, now: False
    control_plane.ControlPlane.is_leaving = lambda self, endpoint, now: False


def _accept_truncated_answers() -> None:
    """Treat a truncated answer as complete."""
    client = endpoint_client.EndpointClient
    original = client._connection_lost_outcome

    def truncated_outcome(
        self: typing.Any, reader: typing.Any, detail: str
    ) -> Result[http.Response, errors.Failure]:
        if not reader.head_complete:
            return original(self, reader, detail)
        reader.reusable = False
        return Ok(http.Response(reader.status, reader.headers, reader.body))

    client._connection_lost_outcome = truncated_outcome


def _mix_up_answers() -> None:
    """Answer every call with the answer to the previous call."""
    original = executor.Executor.execute
    outcomes: list[typing.Any] = []

    def execute(self: executor.Executor, *arguments: typing.Any) -> typing.Any:
        outcome = original(self, *arguments)
        if not isinstance(outcome, Ok):
            return outcome
        outcomes.append(outcome)
        return outcomes.pop(0) if len(outcomes) > 1 else outcome

    executor.Executor.execute = execute


def _admit_poison_requests() -> None:
    """Never refuse poison requests."""
    crash_suspects.CrashSuspectTable.refusal_of_call = lambda self, call, now: None


def _ignore_keys() -> None:
    """Run calls with an idempotency key without deduplication."""
    keyed_calls.requires_key_owner = lambda call: False


MECHANISMS = {
    "idempotency-keys": _ignore_keys,
    "retry-decision": _retry_everything,
    "not-run": _claim_not_run,
    "graceful-stop": _stop_without_draining,
    "leaving": _ignore_leaving,
    "complete-answers": _accept_truncated_answers,
    "own-answer": _mix_up_answers,
    "crash-suspects": _admit_poison_requests,
}


def main() -> int:
    """Remove the mechanism by monkey patching and run the node."""
    options = docopt.docopt(__doc__)
    MECHANISMS[options["MECHANISM"]]()
    return program.main([options["SETTINGS"]])


if __name__ == "__main__":
    sys.exit(main())
