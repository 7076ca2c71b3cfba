"""Runs calls on the endpoint of this machine, as many at once as it has slots."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import logging
import random
from collections.abc import Callable

from result import Err

from snipelink import clock, errors
from snipelink.decide import polling, retry_after, slots, slowness_period
from snipelink.mesh import calls, endpoint, poison_requests, settings
from snipelink.session import headers as header_rules
from snipelink.session import http

logger = logging.getLogger(__name__)

# Weight of one outcome in the share of failed calls; a failing endpoint is known
# after about five calls.
FAILURE_WEIGHT = 0.15
# Seconds in which the share of failed calls halves without calls, so that an endpoint
# that recovered is tried again.
FAILURE_HALF_LIFE_S = 2.0
# The connection to the endpoint ended before its answer was whole.
LOST_KINDS = (errors.Kind.CONNECTION_LOST, errors.Kind.ANSWER_INCOMPLETE)
# A call that outlives its expected work by this factor without an answer counts as
# failed by the endpoint.
HUNG_FACTOR = 4.0


@dataclasses.dataclass(slots=True)
class EndpointState:
    """What this node knows of its own endpoint.

    Attributes
    ----------
    instance : str
        Identity of the process; empty while unknown.
    is_up : bool
        Whether it accepts connections.
    is_leaving : bool
        Whether it, or this node, is about to stop.
    reported_at : float
        Monotonic time of the last report.
    """

    instance: str = ""
    is_up: bool = False
    is_leaving: bool = False
    reported_at: float = 0.0

    @property
    def is_accepting(self) -> bool:
        """Whether the node takes calls for it."""
        return self.is_up and not self.is_leaving and bool(self.instance)


class EndpointRunner:
    """Admits calls to the own endpoint and runs them.

    Parameters
    ----------
    client : EndpointClient
        Connections to the endpoint.
    names : HeaderNames
        Names of the mesh's own headers.
    rng : random.Random
        Spreads the return of refused callers.
    now : float
        Present monotonic time, seconds.
    on_change : callable
        Called with the present time when calls start, wait or end.
    shared : PeriodEstimator
        When endpoints change their slowness.
    contained : PoisonRequestGuard
        Refuses calls that crash endpoints; learns of calls that lost their connection,
        and of the endpoint's end.

    Attributes
    ----------
    poll_schedule : PollSchedule
        When the endpoint is due for a poll.
    """

    def __init__(
        self,
        client: endpoint.EndpointClient,
        names: settings.HeaderNames,
        rng: random.Random,
        now: float,
        on_change: Callable[[float], None],
        shared: slowness_period.PeriodEstimator,
        contained: poison_requests.PoisonRequestGuard,
    ) -> None:
        self._client = client
        self._names = names
        self._rng = rng
        self._on_change = on_change
        self._containment = contained
        # Wake the tasks of waiting calls, by key: None lets a call start.
        self._admitted_by_key: dict[int, asyncio.Future[calls.Outcome | None]] = {}
        self._keys = itertools.count()
        self._reported_foreign = 0
        self._failing = 0.0
        self._failing_at = now
        self.state = EndpointState()
        # Monotonic time at which this node stops, once that is known.
        self.stops_at: float | None = None
        self.slots = slots.Slots(now, shared)
        self.poll_schedule = polling.PollSchedule(shared)

    def failure_share(self, now: float) -> float:
        """Return the recent share of calls that the endpoint failed."""
        age_s = max(0.0, now - self._failing_at)
        return self._failing * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    async def run(self, call: calls.Call, instance: str) -> calls.Outcome:
        """Run a call on the process `instance`, or refuse it.

        Cancelling gives up a call that waits, and closes the connection of one that
        runs.
        """
        now = clock.now()
        unavailable = self._unavailable(instance) or self._containment.check(call, now)
        if unavailable is not None:
            return unavailable
        if self.stops_at is not None and call.deadline > self.stops_at:
            # It may last until its deadline, and must not be cut off before.
            return calls.failed_outcome(errors.Kind.LEAVING, "the node is leaving")
        key = next(self._keys)
        offered = self.slots.offer(key, call.demand(), now)
        if offered.verdict is slots.Verdict.REFUSE:
            self._log_refusal(call, offered.reason)
            after_s = retry_after.retry_after_s(offered.wait_s, self._rng)
            return calls.failed_outcome(errors.Kind.OVERLOADED, offered.reason, after_s)
        self._on_change(now)
        try:
            if offered.verdict is slots.Verdict.WAIT:
                given_up = await self._wait(key)
                if given_up is not None:
                    assert given_up.failure is not None
                    self._log_refusal(call, given_up.failure.detail)
                    return given_up
                contained = self._containment.check(call, clock.now())
                if contained is not None:
                    return contained
            return await self._exchange(key, call, instance, clock.now())
        finally:
            self.slots.release(key)
            ended = clock.now()
            self.admit(ended)
            self._on_change(ended)

    def admit(self, now: float) -> None:
        """Start the calls that may start, and refuse those that wait in vain."""
        if not self.state.is_accepting:
            self.refuse_waiting("the endpoint takes no calls")
            return
        started, refused = self.slots.admit_waiting(now)
        for key in started:
            self._wake(key, None, "")
        for each in refused:
            self._wake(each.key, errors.Kind.OVERLOADED, each.reason)

    def refuse_waiting(self, reason: str) -> None:
        """Refuse all calls that wait: none of them has been sent to the endpoint."""
        for key in self.slots.remove_all_waiting():
            self._wake(key, errors.Kind.LEAVING, reason)

    async def _wait(self, key: int) -> calls.Outcome | None:
        """Wait for a slot; return the outcome of a call that is given up."""
        admitted = asyncio.get_running_loop().create_future()
        self._admitted_by_key[key] = admitted
        try:
            return await admitted
        finally:
            del self._admitted_by_key[key]

    def _wake(self, key: int, kind: errors.Kind | None, reason: str) -> None:
        admitted = self._admitted_by_key.get(key)
        now = clock.now()
        if admitted is None or admitted.done():
            # The caller gave the call up in the same turn of the event loop.
            return
        if kind is None:
            admitted.set_result(None)
            return
        after_s = retry_after.retry_after_s(
            self.slots.progress.phase_left_s(now), self._rng
        )
        admitted.set_result(calls.failed_outcome(kind, reason, after_s))

    def on_new_process(self, instance: str, now: float) -> None:
        """Forget what was known of the endpoint's former process."""
        self._containment.on_new_process(self.state.instance, now)
        self.state.instance = instance
        self._reported_foreign = 0
        self._failing = 0.0
        self.slots.on_new_process(now)
        self.poll_schedule.reset()

    @property
    def crash_check_at(self) -> float | None:
        """Time at which to ask the endpoint what became of calls that were lost."""
        return self._containment.detector.settled_at

    def on_connection_refused(self, now: float) -> None:
        """Note that the endpoint refused a connection."""
        self._containment.on_connection_refused(self.state.instance, now)

    def on_process_confirmed(self, asked_at: float) -> None:
        """Note that the process that is known answered what was asked at a time."""
        self._containment.detector.on_answer(asked_at)

    def on_load_report(self, header: str, now: float) -> None:
        """Take over a load report of the endpoint.

        Parameters
        ----------
        header : str
            Running, waiting, slots, and the percentage of the ordinary time.
        """
        fields = [field.strip() for field in header.split(",")]
        if len(fields) < 3 or not all(f.isascii() and f.isdigit() for f in fields):
            logger.warning("load report is not readable", extra=_fields(header=header))
            return
        running, queued, capacity = (int(field) for field in fields[:3])
        if capacity > 0:
            self.slots.set_capacity(capacity, now)
        # The report counts its own request, and calls that have just ended.
        foreign = max(0, running + queued - self.slots.running_count - 1)
        self.slots.external_count = min(foreign, self._reported_foreign)
        self._reported_foreign = foreign
        changed = False
        if len(fields) > 3:
            slowness = int(fields[3]) / 100.0
            changed = self.slots.progress.set_slowness(slowness, now)
        self.on_endpoint_answered(now, changed=changed)

    def on_endpoint_answered(self, now: float, *, changed: bool = False) -> None:
        """Note that the endpoint told its load, or that it tells none."""
        self.state.reported_at = now
        self.poll_schedule.on_report(now, changed=changed)

    def _log_refusal(self, call: calls.Call, reason: str) -> None:
        fields = {
            "id": call.call_id,
            "instance": self.state.instance,
            "reason": reason,
            "running": self.slots.running_count,
            "foreign": self.slots.external_count,
            "waiting": self.slots.waiting_count,
            "slots": self.slots.capacity,
            "limit": self.slots.limit,
            "slowness": self.slots.progress.slowness,
            "report_age_s": round(clock.now() - self.state.reported_at, 3),
        }
        logger.info("call is refused", extra={"fields": fields})

    def _unavailable(self, instance: str) -> calls.Outcome | None:
        """Return why the endpoint takes no calls meant for a process, or None."""
        state = self.state
        if instance != state.instance:
            detail = f"the endpoint is {state.instance or 'unknown'}, not {instance}"
            return calls.failed_outcome(errors.Kind.STALE_INCARNATION, detail)
        if state.is_leaving:
            return calls.failed_outcome(
                errors.Kind.LEAVING, "the node or endpoint is leaving"
            )
        if not state.is_up:
            return calls.failed_outcome(errors.Kind.UNREACHABLE, "the endpoint is down")
        return None

    async def _exchange(
        self, key: int, call: calls.Call, instance: str, started: float
    ) -> calls.Outcome:
        try:
            payload = self._encode(call, instance, started)
        except ValueError as error:
            return calls.failed_outcome(errors.Kind.BAD_REQUEST, str(error))
        sent = await self._client.send(
            endpoint.EndpointRequest(
                call.call_id, call.method, payload, call.deadline, call.idempotent
            )
        )
        now = clock.now()
        if isinstance(sent, Err):
            failure = sent.err_value
            self._on_failure(failure, call, now - started, now)
            reached = failure.kind is not errors.Kind.UNREACHABLE
            return calls.Outcome(failure=failure, reached=reached)
        response = sent.ok_value
        load = header_rules.first_value(response.headers, self._names.load)
        if load:
            self.on_load_report(load, now)
        refused = self._check(response)
        if refused is not None:
            self._count(failed=True, now=now)
            return refused
        # A 504 of the endpoint says that time ran out, not that it is faulty.
        failed = response.status >= 500 and response.status != 504
        self._count(failed=failed, now=now)
        work_s = 0.0
        if response.status < 400:
            work_s = self.slots.on_answer(key, now)
        self._containment.on_call_answered(call)
        return calls.Outcome(response, reached=True, work_s=work_s)

    def _encode(self, call: calls.Call, instance: str, now: float) -> bytes:
        remaining_ms = max(1, int((call.deadline - now) * 1000))
        own = [
            (self._names.call_id, call.call_id),
            (self._names.remaining_ms, str(remaining_ms)),
            (self._names.expected_instance, instance),
            (self._names.caller_service, call.caller_service),
        ]
        return endpoint.encode_request(
            call.method, call.target, call.headers + own, call.body
        )

    def _check(self, response: http.Response) -> calls.Outcome | None:
        """Return the failure that an answer of the endpoint stands for, or None."""
        if response.status == 421:
            other = header_rules.first_value(response.headers, self._names.instance)
            detail = f"the endpoint is now {other}"
            return calls.failed_outcome(
                errors.Kind.STALE_INCARNATION, detail, reached=True
            )
        if header_rules.first_value(response.headers, self._names.not_run):
            detail = f"the endpoint refused with {response.status}"
            return calls.failed_outcome(errors.Kind.OVERLOADED, detail, reached=True)
        if header_rules.first_value(response.headers, "content-encoding"):
            detail = "the body is encoded although no encoding was asked for"
            return calls.failed_outcome(
                errors.Kind.ANSWER_INVALID, detail, reached=True
            )
        stamp = header_rules.first_value(response.headers, self._names.stamp)
        if response.status < 400 and not stamp:
            detail = "the answer bears no stamp of the endpoint"
            return calls.failed_outcome(
                errors.Kind.ANSWER_INVALID, detail, reached=True
            )
        return None

    def _on_failure(
        self, failure: errors.Failure, call: calls.Call, took_s: float, now: float
    ) -> None:
        if failure.kind is errors.Kind.UNREACHABLE:
            self.state.is_up = False
        if failure.kind in LOST_KINDS and not self.state.is_leaving:
            # An endpoint that ends as planned may break off what still runs.
            self._containment.on_call_lost(call, now)
        hung = took_s > HUNG_FACTOR * call.work_s * self.slots.progress.slowness
        if failure.kind is not errors.Kind.DEADLINE_UNKNOWN or hung:
            self._count(failed=True, now=now)

    def _count(self, *, failed: bool, now: float) -> None:
        known = self.failure_share(now)
        self._failing = known + FAILURE_WEIGHT * (failed - known)
        self._failing_at = now


def _fields(**fields: object) -> dict[str, object]:
    return {"fields": fields}
