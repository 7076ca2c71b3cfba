"""Runs calls on endpoints, hedges slow ones and enforces the retry budget."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import logging
import random
from collections.abc import Callable, Mapping

from snipelink import clock, errors
from snipelink.decide import (
    far_cost,
    hedging,
    placement,
    retry_after,
    retry_value,
    service_admission,
    service_floor,
    work_estimation,
)
from snipelink.mesh import (
    admission,
    calls,
    catalog,
    load_reports,
    peers,
    retry_budgets,
    returns,
    settings,
)
from snipelink.observe import metrics
from snipelink.retry import budget
from snipelink.session import http

logger = logging.getLogger(__name__)

# Interval at which a running call is checked for hedging, seconds. It is a fraction of
# the time for which endpoints usually stay slow.
HEDGE_CHECK_INTERVAL_S = 0.05


class RetryReason(enum.Enum):
    """Why a call is sent again: as a hedge of a slow attempt, or as a retry."""

    SLOW = "slow"
    FAILED = "failed"


@dataclasses.dataclass(slots=True)
class _Attempt:
    """A running attempt.

    Attributes
    ----------
    started_at : float
        Monotonic time at which the attempt started.
    start_work_s : float
        Value of the endpoint's work counter (`done_until_s`) at that time.
    is_hedge_refused : bool
        Whether the budget has refused a hedge beside this attempt.
    """

    task: asyncio.Task[calls.Outcome]
    instance: str
    started_at: float
    start_work_s: float
    is_hedge_refused: bool = False


class AttemptRunner:
    """Chooses endpoints for calls and runs attempts on them.

    Parameters
    ----------
    node_settings : Settings
        Identity of this node, and the bounds of retries and hedges.
    service_catalog : Catalog
        Published endpoints.
    load_table : LoadTable
        Latest load reports of the endpoints that this node follows.
    endpoint_runner : EndpointRunner
        Runs calls on the endpoint of this machine.
    peer_client : PeerClient
        Runs calls on the endpoints of other machines.
    metrics_registry : Metrics
        Records attempts and the use of the retry budgets.
    rng : random.Random
        Breaks ties between equally good endpoints.

    Attributes
    ----------
    estimates : WorkEstimates
        Expected run times of calls by service and operation.
    answer_sizes : AnswerSizes
        Expected bytes of answers by service and operation.
    returns : ReturnPlanner
        Tells refused callers when to retry.
    """

    def __init__(
        self,
        node_settings: settings.Settings,
        service_catalog: catalog.Catalog,
        load_table: load_reports.LoadTable,
        endpoint_runner: admission.EndpointRunner,
        peer_client: peers.PeerClient,
        metrics_registry: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = node_settings
        self._catalog = service_catalog
        self._load_table = load_table
        self._endpoint_runner = endpoint_runner
        self._peer_client = peer_client
        self._metrics = metrics_registry
        self._rng = rng
        self._retry_budgets = retry_budgets.RetryBudgets(node_settings)
        self._retry_demand = retry_value.DemandTracker()
        self._further_attempts = metrics_registry.counter(
            "snipelink_mesh_further_attempts_total",
            "Further attempts that calls were in need of, and the budget's verdict.",
            ("service", "reason", "verdict"),
        )
        self._denied_attempts = metrics_registry.counter(
            "snipelink_mesh_denied_attempts_total",
            "Further attempts denied to keep the budget for others, by cause.",
            ("service", "cause"),
        )
        metrics_registry.gauge(
            "snipelink_mesh_retry_allowance",
            "Further attempts that this node may make in a window without deposits.",
            lambda: self._by_service(lambda state: state.allowance),
            ("service",),
        )
        metrics_registry.gauge(
            "snipelink_mesh_retry_allowance_spent",
            "Further attempts of the last window that the allowance paid.",
            lambda: self._by_service(lambda state: state.spent_of_allowance),
            ("service",),
        )
        metrics_registry.gauge(
            "snipelink_mesh_retries_granted",
            "Further attempts of the last window.",
            lambda: self._by_service(lambda state: state.granted),
            ("service",),
        )
        self.estimates = work_estimation.WorkEstimates()
        self.answer_sizes = far_cost.AnswerSizes()
        self.returns = returns.ReturnPlanner(
            node_settings,
            service_catalog,
            load_table,
            self.estimates,
            metrics_registry,
            rng,
        )
        self._sent_by_service: dict[str, service_floor.ServiceFloor] = {}
        self._service_refusals = metrics_registry.counter(
            "snipelink_mesh_service_refusals_total",
            "Calls refused by this node because no endpoint of the service had room.",
            ("service",),
        )

    def on_catalog_change(self, now: float) -> None:
        """Divide the retry allowance by the number of machines now published."""
        services = {each.service for each in self._catalog.instances_by_id.values()}
        for service in [s for s in self._sent_by_service if s not in services]:
            del self._sent_by_service[service]
        # A machine may be listed twice after its endpoint was replaced.
        hosts = {each.host for each in self._catalog.instances_by_id.values()}
        self._retry_budgets.on_published(len(hosts), now)
        self.returns.on_catalog_change(len(hosts))
        services = {each.service for each in self._catalog.instances_by_id.values()}
        self._retry_demand.retain(services)

    def try_spend_budget(
        self,
        call: calls.Call,
        reason: RetryReason,
        now: float,
        *,
        is_recheck: bool = False,
    ) -> bool:
        """Charge one retry or hedge to the budget; return whether it is allowed.

        Parameters
        ----------
        is_recheck : bool
            Whether the budget has already refused this hedge. A repeated refusal is
            neither counted nor logged, because a slow call is checked many times a
            second.
        """
        denial = self._denial(call, now)
        granted = denial is None and self._retry_budgets.try_spend(call.service, now)
        if granted:
            self._further_attempts.increment(call.service, reason.value, "granted")
        elif not is_recheck:
            self._further_attempts.increment(call.service, reason.value, "refused")
            if denial is not None:
                self._denied_attempts.increment(call.service, denial.value)
            state = self._retry_budgets.state(call.service, now)
            log_decision(
                call,
                "no budget for a further attempt",
                now,
                reason=reason.value,
                denied=denial.value if denial else "",
                allowance=round(state.allowance, 3),
                earned=round(state.earned, 3),
                spent_of_allowance=state.spent_of_allowance,
                granted=state.granted,
            )
        return granted

    def _denial(self, call: calls.Call, now: float) -> retry_value.Denial | None:
        """Return why an attempt is denied to keep the budget for others, or None."""
        few_slots = self._settings.balancing.few_slots
        if not self._catalog.has_few_slots(call.service, few_slots):
            return None
        self._retry_demand.record(call.service, call.priority, now)
        state = self._retry_budgets.state(call.service, now)
        allowed = max(0.0, state.allowance - state.spent_of_allowance)
        available = state.earned + allowed
        if available < 1.0:
            # The budget itself refuses the attempt.
            return None
        left_ratio = retry_value.remaining_ratio(available, state.granted)
        return retry_value.denial(
            left_ratio,
            is_in_time=now + call.work_s <= call.target_at,
            is_most_urgent=self._retry_demand.is_most_urgent(
                call.service, call.priority, now
            ),
        )

    def choose(
        self, call: calls.Call, tried: set[str], now: float
    ) -> placement.Candidate | None:
        """Return the best endpoint for a call; None if no untried one is usable.

        Parameters
        ----------
        tried : set of str
            Instances that were already chosen for this call.
        """
        mean_s = self.estimates.mean_work_s(call.service)
        return placement.choose(
            self._candidates(call, tried, now),
            call.work_s,
            mean_s,
            self._rng,
            may_hedge=call.idempotent,
            far=self._far_cost(call),
        )

    def refuse_without_room(self, call: calls.Call, now: float) -> calls.Outcome | None:
        """Return the refusal of a new call if its service has no room; else None."""
        if not self._is_admitted_by_service(call):
            return None
        sent = self._sent_work(call.service)
        sent.on_offer(call.priority, call.work_s, now)
        room = self._find_room(
            call,
            set(),
            sent.share_ahead(call.priority),
            service_admission.SERVICE_WAIT_FACTOR,
            now,
        )
        if room.is_sufficient:
            sent.on_start(call.priority, call.work_s, now)
            return None
        self._service_refusals.increment(call.service)
        log_decision(call, "service has no room", now, start_s=round(room.start_s, 3))
        detail = f"{call.service} would start it in {room.start_s:.2f} s"
        after_s = retry_after.retry_after_s(room.start_s, self._rng)
        return calls.failed_outcome(errors.Kind.OVERLOADED, detail, after_s)

    def has_room_elsewhere(self, call: calls.Call, tried: set[str], now: float) -> bool:
        """Whether an untried endpoint may have room for a call that was refused."""
        if not self._is_admitted_by_service(call):
            return True
        share_ahead = self._sent_work(call.service).share_ahead(call.priority)
        factor = service_admission.RETRY_WAIT_FACTOR
        return self._find_room(call, tried, share_ahead, factor, now).is_sufficient

    def _find_room(
        self,
        call: calls.Call,
        tried: set[str],
        share_ahead: float,
        wait_factor: float,
        now: float,
    ) -> service_admission.Room:
        return service_admission.find_room(
            self._candidates(call, tried, now),
            call.demand(),
            self.estimates.mean_work_s(call.service),
            share_ahead,
            now,
            wait_factor=wait_factor,
        )

    def _is_admitted_by_service(self, call: calls.Call) -> bool:
        few_slots = self._settings.balancing.admission_slots
        return self._catalog.has_few_slots(call.service, few_slots)

    def _sent_work(self, service: str) -> service_floor.ServiceFloor:
        """Return the work by priority that this node sends to a service."""
        sent = self._sent_by_service.get(service)
        if sent is None:
            sent = service_floor.ServiceFloor(service_floor.SENT_TIME_CONSTANT_S)
            sent.is_enabled = True
            self._sent_by_service[service] = sent
        return sent

    def _candidates(
        self, call: calls.Call, tried: set[str], now: float
    ) -> list[placement.Candidate]:
        candidates = []
        loads_by_instance = self._load_table.loads_by_instance
        unacknowledged = self._peer_client.unacknowledged_by_instance(
            load_reports.UNREPORTED_CALL_S, now
        )
        for instance in self._catalog.usable_instances(call.service, now):
            if instance.id in tried or instance.id not in loads_by_instance:
                continue
            near = instance.failure_domain == self._settings.failure_domain
            candidate = self._load_table.candidate(
                instance, unacknowledged[instance.id], near=near, now=now
            )
            if candidate is not None:
                candidates.append(candidate)
        return candidates

    def _far_cost(self, call: calls.Call) -> far_cost.FarCost:
        balancing = self._settings.balancing
        has_few_slots = self._catalog.has_few_slots(call.service, balancing.few_slots)
        return far_cost.far_cost(
            balancing.few_slots_far_ratio if has_few_slots else far_cost.FAR_COST_RATIO,
            call.carried_bytes() + self.expected_answer_bytes(call),
            balancing.far_s_per_mb,
        )

    def expected_answer_bytes(self, call: calls.Call) -> int:
        """Return the expected bytes of the answer to a call."""
        return int(self.answer_sizes.mean_bytes(call.service, call.operation))

    async def run(
        self,
        call: calls.Call,
        chosen: placement.Candidate,
        tried: set[str],
        reached_before: int,
    ) -> tuple[calls.Outcome, int]:
        """Run a call on an endpoint, and hedge it on a second one if the first is slow.

        Parameters
        ----------
        chosen : Candidate
            Endpoint for the first attempt.
        tried : set of str
            Instances that were already chosen for this call; the instance of a hedge is
            added to the set.
        reached_before : int
            Number of endpoints that earlier attempts have reached.

        Returns
        -------
        outcome : Outcome
            First successful outcome, else the one to report to the caller.
        reached_count : int
            Number of endpoints that the attempts of this run have reached.
        """
        running = [self._start(call, chosen)]
        outcome_so_far: calls.Outcome | None = None
        reached_count = 0
        try:
            while True:
                done, _ = await asyncio.wait(
                    [attempt.task for attempt in running],
                    timeout=HEDGE_CHECK_INTERVAL_S if call.idempotent else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                now = clock.now()
                for attempt in [a for a in running if a.task in done]:
                    running.remove(attempt)
                    outcome = attempt.task.result()
                    reached_count += outcome.reached
                    self._record(call, attempt, outcome, now)
                    outcome_so_far = merge_outcomes(outcome_so_far, outcome)
                    if outcome_so_far.is_success or not running:
                        return outcome_so_far, reached_count + len(running)
                if (
                    len(running) == 1
                    and reached_before + reached_count + 2 <= call.max_attempts
                ):
                    hedge = self._try_hedge(call, running[0], tried, now)
                    if hedge is not None:
                        running.append(hedge)
        finally:
            for attempt in running:
                attempt.task.cancel()

    def _try_hedge(
        self, call: calls.Call, first: _Attempt, tried: set[str], now: float
    ) -> _Attempt | None:
        """Start a hedge if it should end sooner and the budget allows it."""
        load = self._load_table.loads_by_instance.get(first.instance)
        if load is None:
            return None
        if now - load.received_at > placement.SILENT_NODE_S:
            left_s = call.deadline - now
        else:
            work_done_s = load.progress.done_until_s(now) - first.start_work_s
            left_work_s = hedging.remaining_work_s(call.work_s, work_done_s)
            left_s = load.progress.duration_s(left_work_s, now)
        if now + left_s <= call.target_at:
            return None
        other = self.choose(call, tried, now)
        if other is None:
            return None
        mean_s = self.estimates.mean_work_s(call.service)
        elsewhere_s = placement.expected_time_s(other, call.work_s, mean_s)
        if not other.near:
            elsewhere_s += self._far_cost(call).price_s
        if not hedging.is_worthwhile(
            left_s, elsewhere_s, call.target_at, call.deadline, now
        ):
            return None
        if not self.try_spend_budget(
            call, RetryReason.SLOW, now, is_recheck=first.is_hedge_refused
        ):
            first.is_hedge_refused = True
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
        load = self._load_table.loads_by_instance[chosen.instance]
        if load.host == self._settings.host:
            running = self._endpoint_runner.run(call, chosen.instance)
        else:
            self._load_table.on_call_sent(chosen.instance, now)
            running = self._peer_client.call(load.host, chosen.instance, call)
        task = asyncio.ensure_future(running)
        work_done_s = load.progress.done_until_s(now)
        return _Attempt(task, chosen.instance, now, work_done_s)

    def _by_service(
        self, read: Callable[[budget.BudgetState], float]
    ) -> Mapping[tuple[str, ...], float]:
        states = self._retry_budgets.states(clock.now())
        return {(service,): read(state) for service, state in states}

    def _record(
        self, call: calls.Call, attempt: _Attempt, outcome: calls.Outcome, now: float
    ) -> None:
        kind = outcome.failure.kind if outcome.failure else None
        self._metrics.record_attempt(attempt.instance, now - attempt.started_at, kind)
        if outcome.is_success:
            self._retry_budgets.on_answer(call.service, now)
        if outcome.response is not None:
            byte_count = http.message_bytes(
                outcome.response.headers, outcome.response.body
            )
            self.answer_sizes.record(call.service, call.operation, byte_count)
        if outcome.work_s > 0.0:
            self.estimates.record(call.service, call.operation, outcome.work_s)


def log_decision(call: calls.Call, message: str, now: float, **fields: object) -> None:
    """Log a decision about a call, with the time left until its target time."""
    call_fields = {
        "id": call.call_id,
        "service": call.service,
        "left_to_target_s": round(call.target_at - now, 3),
    }
    logger.info(message, extra={"fields": call_fields | fields})


def merge_outcomes(
    earlier: calls.Outcome | None, later: calls.Outcome
) -> calls.Outcome:
    """Return which outcome of two successive attempts the caller receives.

    If the earlier attempt may have run, a later failure does not replace its outcome:
    a refusal of the later attempt would tell the caller that the call has not run.
    """
    if earlier is None or later.failure is None:
        return later
    if earlier.failure is None or not earlier.failure.not_run:
        return earlier
    return later
