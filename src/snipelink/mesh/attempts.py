"""Runs a call on an endpoint, and on a second one if the first turns slow."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import logging
import random
from collections.abc import Callable, Mapping

from snipelink import clock
from snipelink.decide import hedging, placement, work_estimation
from snipelink.mesh import (
    admission,
    calls,
    catalog,
    load_reports,
    peers,
    retry_budgets,
    settings,
)
from snipelink.observe import metrics
from snipelink.retry import budget

logger = logging.getLogger(__name__)

# Time between two looks at a call that runs, seconds; a fraction of the time for
# which an endpoint is slow.
LOOK_S = 0.05


class RetryReason(enum.Enum):
    """Why a call should be sent to a further endpoint."""

    SLOW = "slow"
    FAILED = "failed"


@dataclasses.dataclass(slots=True)
class _Attempt:
    """One attempt that runs; `refused` if the budget refused a second beside it."""

    task: asyncio.Task[calls.Outcome]
    instance: str
    started: float
    started_work_s: float
    refused: bool = False


class AttemptRunner:
    """Chooses endpoints for calls and runs them there.

    Parameters
    ----------
    own : Settings
        Identity of this node, and the bounds of its retries.
    known : Catalog
        Published endpoints.
    table : LoadTable
        Load of the endpoints that this node follows.
    runner : Runner
        Runs calls on the own endpoint.
    client : PeerClient
        Runs calls on other endpoints.
    recorded : Metrics
        Receives the attempts.
    rng : random.Random
        Breaks ties.

    Attributes
    ----------
    estimates : WorkEstimates
        Work of the calls of each operation.
    """

    def __init__(
        self,
        own: settings.Settings,
        known: catalog.Catalog,
        table: load_reports.LoadTable,
        runner: admission.EndpointRunner,
        client: peers.PeerClient,
        recorded: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._catalog = known
        self._loads = table
        self._runner = runner
        self._client = client
        self._metrics = recorded
        self._rng = rng
        self._retry_budgets = retry_budgets.RetryBudgets(own)
        self._further = recorded.counter(
            "snipelink_mesh_further_attempts_total",
            "Further attempts that calls were in need of, and the budget's verdict.",
            ("service", "reason", "verdict"),
        )
        recorded.gauge(
            "snipelink_mesh_retry_allowance",
            "Further attempts that this node may make in a window without deposits.",
            lambda: self._by_service(lambda state: state.allowance),
            ("service",),
        )
        recorded.gauge(
            "snipelink_mesh_retry_allowance_spent",
            "Further attempts of the last window that the allowance paid.",
            lambda: self._by_service(lambda state: state.spent_of_allowance),
            ("service",),
        )
        recorded.gauge(
            "snipelink_mesh_retries_granted",
            "Further attempts of the last window.",
            lambda: self._by_service(lambda state: state.granted),
            ("service",),
        )
        self.estimates = work_estimation.WorkEstimates()

    def on_catalog_change(self, now: float) -> None:
        """Share the retry budget among the machines that are now published."""
        # A machine whose endpoint was just replaced may be listed twice.
        hosts = {each.host for each in self._catalog.instances_by_id.values()}
        self._retry_budgets.on_published(len(hosts), now)

    def try_spend_budget(
        self,
        call: calls.Call,
        reason: RetryReason,
        now: float,
        *,
        is_recheck: bool = False,
    ) -> bool:
        """Take one further attempt from the budget; false if there is none.

        With `is_recheck`, a refusal is neither counted nor logged: a running call asks
        many times a second, and its first refusal tells all.
        """
        granted = self._retry_budgets.try_spend(call.service, now)
        if granted:
            self._further.increment(call.service, reason.value, "granted")
        elif not is_recheck:
            self._further.increment(call.service, reason.value, "refused")
            state = self._retry_budgets.state(call.service, now)
            log_decision(
                call,
                "no budget for a further attempt",
                now,
                reason=reason.value,
                allowance=round(state.allowance, 3),
                earned=round(state.earned, 3),
                spent_of_allowance=state.spent_of_allowance,
                granted=state.granted,
            )
        return granted

    def choose(
        self, call: calls.Call, tried: set[str], now: float
    ) -> placement.Candidate | None:
        """Return the endpoint on which a call should run, of those not tried."""
        candidates = []
        reported = self._loads.loads_by_instance
        for instance in self._catalog.usable_instances(call.service, now):
            if instance.id in tried or instance.id not in reported:
                continue
            near = instance.failure_domain == self._own.failure_domain
            candidate = self._loads.candidate(instance, near=near, now=now)
            if candidate is not None:
                candidates.append(candidate)
        mean_s = self.estimates.mean_work_s(call.service)
        return placement.choose(
            candidates, call.work_s, mean_s, self._rng, may_hedge=call.idempotent
        )

    async def run(
        self,
        call: calls.Call,
        chosen: placement.Candidate,
        tried: set[str],
        arrivals: int,
    ) -> tuple[calls.Outcome, int]:
        """Run a call on an endpoint, and on a second one if the first turns slow.

        Returns the better outcome and the number of endpoints that were reached.
        """
        running = [self._start(call, chosen)]
        best: calls.Outcome | None = None
        sent = 0
        try:
            while True:
                done, _ = await asyncio.wait(
                    [attempt.task for attempt in running],
                    timeout=LOOK_S if call.idempotent else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                now = clock.now()
                for attempt in [a for a in running if a.task in done]:
                    running.remove(attempt)
                    outcome = attempt.task.result()
                    sent += outcome.reached
                    self._record(call, attempt, outcome, now)
                    best = merge_outcomes(best, outcome)
                    if best.is_success or not running:
                        return best, sent + len(running)
                if len(running) == 1 and arrivals + sent + 2 <= call.max_attempts:
                    extra = self._second(call, running[0], tried, now)
                    if extra is not None:
                        running.append(extra)
        finally:
            for attempt in running:
                attempt.task.cancel()

    def _second(
        self, call: calls.Call, first: _Attempt, tried: set[str], now: float
    ) -> _Attempt | None:
        """Start a second attempt if it is likely to end sooner, and in budget."""
        fact = self._loads.loads_by_instance.get(first.instance)
        if fact is None:
            return None
        if now - fact.received_at > placement.SILENT_NODE_S:
            left_s = call.deadline - now
        else:
            done_s = fact.progress.done_until_s(now) - first.started_work_s
            left_work_s = hedging.remaining_work_s(call.work_s, done_s)
            left_s = fact.progress.duration_s(left_work_s, now)
        if now + left_s <= call.target_at:
            return None
        other = self.choose(call, tried, now)
        if other is None:
            return None
        mean_s = self.estimates.mean_work_s(call.service)
        elsewhere_s = placement.expected_time_s(other, call.work_s, mean_s)
        if not hedging.is_worthwhile(
            left_s, elsewhere_s, call.target_at, call.deadline, now
        ):
            return None
        if not self.try_spend_budget(
            call, RetryReason.SLOW, now, is_recheck=first.refused
        ):
            first.refused = True
            return None
        tried.add(other.instance)
        log_decision(
            call,
            "call is sent to a second endpoint",
            now,
            instance=first.instance,
            second=other.instance,
            left_s=round(left_s, 3),
            elsewhere_s=round(elsewhere_s, 3),
        )
        return self._start(call, other)

    def _start(self, call: calls.Call, chosen: placement.Candidate) -> _Attempt:
        now = clock.now()
        fact = self._loads.loads_by_instance[chosen.instance]
        if fact.host == self._own.host:
            running = self._runner.run(call, chosen.instance)
        else:
            self._loads.on_call_sent(chosen.instance, now)
            running = self._client.call(fact.host, chosen.instance, call)
        task = asyncio.ensure_future(running)
        done_s = fact.progress.done_until_s(now)
        return _Attempt(task, chosen.instance, now, done_s)

    def _by_service(
        self, read: Callable[[budget.BudgetState], float]
    ) -> Mapping[tuple[str, ...], float]:
        states = self._retry_budgets.states(clock.now())
        return {(service,): read(state) for service, state in states}

    def _record(
        self, call: calls.Call, attempt: _Attempt, outcome: calls.Outcome, now: float
    ) -> None:
        kind = outcome.failure.kind if outcome.failure else None
        self._metrics.record_attempt(attempt.instance, now - attempt.started, kind)
        if outcome.is_success:
            self._retry_budgets.on_answer(call.service, now)
        if outcome.work_s > 0.0:
            self.estimates.record(call.service, call.operation, outcome.work_s)


def log_decision(call: calls.Call, message: str, now: float, **fields: object) -> None:
    """Log a decision about a call, with the time it has left."""
    known = {
        "id": call.call_id,
        "service": call.service,
        "left_to_target_s": round(call.target_at - now, 3),
    }
    logger.info(message, extra={"fields": known | fields})


def merge_outcomes(
    earlier: calls.Outcome | None, later: calls.Outcome
) -> calls.Outcome:
    """Return the outcome that the caller is told of two attempts.

    A refusal of the later one does not undo that the earlier one may have run.
    """
    if earlier is None or later.failure is None:
        return later
    if earlier.failure is None or not earlier.failure.not_run:
        return earlier
    return later
