from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging
import random
import typing
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import hypothesis
import hypothesis.strategies as st
import pytest

from snipelink import clock, errors
from snipelink.decide import far_cost, slowness_period
from snipelink.generated import mesh
from snipelink.mesh import (
    admission,
    attempts,
    buffers,
    calls,
    catalog,
    dispatch,
    internal_calls,
    load_reports,
    peers,
    poison_requests,
    published_state,
)
from snipelink.mesh import settings as settings_module
from snipelink.observe import metrics
from snipelink.session import http
from tests.mesh import fleet

DRAIN_S = 2.0
# Uptime of the tested nodes, seconds: long enough to have earned their whole share of
# the retry budget.
UPTIME_S = 30.0
SERVICE = "rota"

# Results of an attempt: failures before and after it reached the endpoint, and answers.
REFUSED = "refused by the node"
UNREACHABLE = "not connected"
REJECTED = "refused by the endpoint"
RESET = "reset"
FAILED = "status 500"
SILENT = "silent until the deadline"
OK = "answered"
KINDS = (REFUSED, UNREACHABLE, REJECTED, RESET, FAILED, SILENT, OK)
REMAINING_MS = 400

Script = Callable[[calls.Call, str], Awaitable[calls.Outcome]]


@dataclasses.dataclass
class FakePeerClient:
    """Replaces the connections to endpoints; a script produces the outcomes."""

    script: Script
    sent: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    unacknowledged: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def unacknowledged_by_instance(
        self, min_age_s: float, now: float
    ) -> collections.Counter[str]:
        return self.unacknowledged

    async def call(self, host: str, instance: str, call: calls.Call) -> calls.Outcome:
        self.sent.append((call.call_id, instance))
        return await self.script(call, instance)


@dataclasses.dataclass
class Subject:
    """The tested attempt runner of a node, with its collaborators."""

    own: settings_module.Settings
    attempts: attempts.AttemptRunner
    catalog: catalog.Catalog
    client: FakePeerClient
    metrics: metrics.Metrics

    def publish(self, count: int, now: float, slots: int = 0) -> None:
        """Publish one endpoint on each of `count` machines."""
        instances = tuple(_instance(index, slots) for index in range(count))
        revision = self.catalog.revision + 1
        self.catalog.apply_snapshot(
            published_state.PublishedState(revision, None, instances), now
        )
        self.attempts.on_catalog_change(now)

    def further_attempts(self) -> dict[tuple[str, ...], float]:
        """Return the counts of further attempts by service, reason and verdict."""
        name = "snipelink_mesh_further_attempts_total"
        return self.metrics.counter(name, "").values()


def _instance(index: int, slots: int = 0) -> published_state.Instance:
    return published_state.Instance(
        f"i-{index}", SERVICE, f"10.0.0.{index}", "a", False, slots=slots
    )


def _load(instance: str) -> mesh.Load:
    return mesh.Load(instance, 1, 1, 0, 0, 9, 100, 0, True, 1, 1, False)


def _call(call_id: str = "c1", **changes: Any) -> calls.Call:
    now = clock.now()
    values: dict[str, Any] = {
        "call_id": call_id,
        "service": SERVICE,
        "operation": "view",
        "method": "GET",
        "target": "/view/1",
        "headers": [],
        "body": b"",
        "arrived_at": now,
        "target_at": now + 0.2,
        "deadline": now + 1.0,
        "priority": 2,
        "idempotent": True,
        "work_s": 0.05,
        "max_attempts": 2,
    }
    return calls.Call(**(values | changes))


async def _answer(call: calls.Call, instance: str) -> calls.Outcome:
    return calls.Outcome(http.Response(200, [], b""), reached=True)


async def _fail(call: calls.Call, instance: str) -> calls.Outcome:
    return calls.failed_outcome(errors.Kind.CONNECTION_LOST, "reset", reached=True)


def _slow_on(*slow: str) -> Script:
    async def run(call: calls.Call, instance: str) -> calls.Outcome:
        if instance in slow:
            await asyncio.sleep(0.7)
        return await _answer(call, instance)

    return run


def _subject(script: Script = _answer, *, known: int = 2, **bounds: float) -> Subject:
    now = clock.now()
    own = settings_module.Settings(
        node="n",
        host="10.0.1.1",
        failure_domain="a",
        service=SERVICE,
        endpoint_address=("10.0.1.1", 1),
        caller_listen=("10.0.1.1", 2),
        peer_listen=("10.0.1.1", 3),
        ready_listen=("10.0.1.1", 4),
        metrics_listen=("10.0.1.1", 5),
        peer_port=3,
        load_port=3,
        bounds=dataclasses.replace(fleet.BOUNDS, **bounds),
    )
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    for index in range(known):
        instance = _instance(index)
        table.update(_load(instance.id), instance.host, now)
    published = catalog.Catalog(DRAIN_S)
    client = FakePeerClient(script)
    recorded = metrics.Metrics()
    attempt_runner = attempts.AttemptRunner(
        own,
        published,
        table,
        typing.cast(admission.EndpointRunner, None),
        typing.cast(peers.PeerClient, client),
        recorded,
        random.Random(1),
    )
    subject = Subject(own, attempt_runner, published, client, recorded)
    subject.publish(known, now - UPTIME_S)
    return subject


async def _run(subject: Subject, call: calls.Call) -> tuple[calls.Outcome, int]:
    tried: set[str] = set()
    chosen = subject.attempts.choose(call, tried, clock.now())
    assert chosen is not None
    tried.add(chosen.instance)
    return await subject.attempts.run(call, chosen, tried, 0)


def test_endpoint_that_calls_do_not_reach_gets_no_further_ones() -> None:
    """Guards against an endpoint behind a congested link that looks idle.

    Its reports count the calls that have arrived, so all nodes sent it more of them.
    """
    subject = _subject()
    subject.client.unacknowledged.update({"i-0": 9})
    chosen = [subject.attempts.choose(_call(), set(), clock.now()) for _ in range(20)]
    assert {each.instance for each in chosen if each is not None} == {"i-1"}


def test_refused_attempt_is_logged_with_the_state_of_the_budget(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against refused retries that logs and metrics do not explain."""
    subject = _subject(retry_ratio=0.0, retry_allowance=20.0)
    caplog.set_level(logging.INFO)
    call, now = _call(), clock.now()
    failed = attempts.RetryReason.FAILED
    granted = [subject.attempts.try_spend_budget(call, failed, now) for _ in range(50)]
    spent = granted.count(True)
    assert 0 < spent < 50
    assert subject.further_attempts() == {
        (SERVICE, "failed", "granted"): spent,
        (SERVICE, "failed", "refused"): 50 - spent,
    }
    fields = caplog.records[-1].__dict__["fields"]
    assert fields["reason"] == "failed"
    assert fields["spent_of_allowance"] == fields["granted"] == spent
    assert spent <= fields["allowance"] < spent + 1
    text = subject.metrics.exposition()
    label = f'{{service="{SERVICE}"}}'
    assert f"snipelink_mesh_retries_granted{label} {spent}\n" in text
    assert f"snipelink_mesh_retry_allowance_spent{label} {spent}\n" in text
    assert f"snipelink_mesh_retry_allowance{label} {spent}" in text


@pytest.mark.parametrize("slots", [0, 3])
def test_rest_of_the_budget_is_kept_for_calls_in_time(slots: int) -> None:
    """Guards against a budget that calls use up whose answers are late anyway.

    Services of endpoints with more slots, or an unknown number of them, are left out.
    """
    subject = _subject(retry_ratio=0.0, retry_allowance=20.0)
    now, failed = clock.now(), attempts.RetryReason.FAILED
    subject.publish(2, now, slots)
    late, timely = _call(target_at=now - 0.1), _call()
    late_count = sum(
        subject.attempts.try_spend_budget(late, failed, now) for _ in range(50)
    )
    timely_count = sum(
        subject.attempts.try_spend_budget(timely, failed, now) for _ in range(50)
    )
    assert late_count > 0
    assert (timely_count > 0) == (slots > 0)
    denied = "snipelink_mesh_denied_attempts_total"
    counts = subject.metrics.counter(denied, "").values()
    assert counts.get((SERVICE, "late"), 0) == (50 - late_count if slots else 0)


@pytest.mark.parametrize("slots", [0, 3, 4])
def test_far_calls_cost_more_only_at_services_with_few_slots(slots: int) -> None:
    subject = _subject()
    subject.publish(2, clock.now(), slots)
    cost = subject.attempts._far_cost(_call())
    few_slots_ratio = settings_module.Balancing().few_slots_far_ratio
    expected = far_cost.FarCost(few_slots_ratio) if slots == 3 else far_cost.FarCost()
    assert cost == expected


def test_slow_call_counts_one_refused_hedge_however_often_it_is_checked() -> None:
    """Guards against counting each check of a slow call as a refused hedge."""
    subject = _subject(_slow_on("i-0", "i-1"), retry_ratio=0.0, retry_allowance=0.0)
    asyncio.run(_run(subject, _call(target_at=clock.now() + 0.05)))
    assert subject.further_attempts() == {(SERVICE, "slow", "refused"): 1}
    assert len(subject.client.sent) == 1


def test_hedge_counts_as_granted() -> None:
    subject = _subject(_slow_on("i-0", "i-1"), retry_ratio=0.0, retry_allowance=40.0)
    asyncio.run(_run(subject, _call(target_at=clock.now() + 0.05)))
    assert subject.further_attempts() == {(SERVICE, "slow", "granted"): 1}
    assert len(subject.client.sent) == 2


def test_machine_with_two_listed_endpoints_counts_once() -> None:
    """Guards against a smaller share of the allowance while endpoints are replaced.

    During a replacement, a machine is listed with its old and its new endpoint.
    """
    subject = _subject(retry_ratio=0.0, retry_allowance=40.0)
    now = clock.now()
    twice = tuple(
        dataclasses.replace(_instance(index % 2), id=f"j-{index}") for index in range(4)
    )
    subject.catalog.apply_snapshot(published_state.PublishedState(9, None, twice), now)
    subject.attempts.on_catalog_change(now)
    failed = attempts.RetryReason.FAILED
    granted = sum(
        subject.attempts.try_spend_budget(_call(), failed, now) for _ in range(50)
    )
    assert granted == 6


@dataclasses.dataclass
class _Endpoints:
    """Endpoints that count the arrivals of each call.

    Attributes
    ----------
    kinds : list of str
        Results of the next attempts, in order; later ones are answered.
    arrivals : Counter
        Attempts that reached an endpoint, by call.
    deadlines : list of float
        Deadline of the call at each attempt.
    """

    kinds: list[str]
    arrivals: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    deadlines: list[float] = dataclasses.field(default_factory=list)

    async def run(self, call: calls.Call, instance: str) -> calls.Outcome:
        kind = self.kinds.pop(0) if self.kinds else OK
        self.deadlines.append(call.deadline)
        if kind == REFUSED:
            return calls.failed_outcome(errors.Kind.OVERLOADED, kind)
        if kind == UNREACHABLE:
            return calls.failed_outcome(errors.Kind.UNREACHABLE, kind)
        self.arrivals[call.call_id] += 1
        if kind == REJECTED:
            return calls.failed_outcome(errors.Kind.OVERLOADED, kind, reached=True)
        if kind == RESET:
            return calls.failed_outcome(errors.Kind.CONNECTION_LOST, kind, reached=True)
        if kind == SILENT:
            await asyncio.sleep(max(0.0, call.deadline - clock.now()))
            return calls.failed_outcome(
                errors.Kind.DEADLINE_UNKNOWN, kind, reached=True
            )
        status = 500 if kind == FAILED else 200
        return calls.Outcome(http.Response(status, [], b""), reached=True)


def _dispatcher(
    subject: Subject, *, idempotent: bool, max_attempts: int
) -> dispatch.Dispatcher:
    route = fleet.route(
        SERVICE,
        idempotent=idempotent,
        max_attempts=max_attempts,
        target_s=0.1,
    )
    subject.catalog.apply_snapshot(
        published_state.PublishedState(
            subject.catalog.revision + 1,
            fleet.configuration(route),
            tuple(subject.catalog.instances_by_id.values()),
        ),
        clock.now(),
    )
    rng = random.Random(1)
    exchange = mock.create_autospec(load_reports.LoadExchange, instance=True)
    exchange.receivers_by_kind = {}
    return dispatch.Dispatcher(
        subject.own,
        fleet.NAMES,
        subject.catalog,
        subject.attempts,
        poison_requests.PoisonRequestGuard("n", exchange, subject.metrics, rng),
        internal_calls.InternalCalls(
            subject.own, subject.catalog, subject.metrics, clock.now()
        ),
        buffers.Buffers.for_memory_limit(buffers.DEFAULT_MEMORY_BYTES),
        subject.metrics,
        rng,
    )


def _request(call_id: str) -> http.Request:
    headers = [
        (fleet.NAMES.call_id, call_id),
        (fleet.NAMES.remaining_ms, str(REMAINING_MS)),
    ]
    return http.Request(
        "GET",
        "/view/1",
        headers,
        host="example",
        path="/view/1",
        raw_target="/view/1",
    )


@hypothesis.given(
    st.lists(st.sampled_from(KINDS), max_size=8),
    st.integers(1, 3),
    st.booleans(),
    st.sampled_from([0.0, 40.0, 1000.0]),
)
@hypothesis.example([SILENT, SILENT, SILENT], 1, True, 1000.0)
@hypothesis.example([SILENT, REFUSED, SILENT, SILENT], 2, True, 1000.0)
@hypothesis.example([SILENT, RESET, SILENT, SILENT], 3, True, 40.0)
@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
def test_arrivals_stay_within_the_retry_budget_and_max_attempts(
    kinds: list[str], max_attempts: int, idempotent: bool, allowance: float
) -> None:
    """Guards against arrivals at endpoints that the retry budget does not count.

    Also guards against more arrivals than the route allows, and against a deadline that
    a retry extends.
    """
    endpoints = _Endpoints(list(kinds))
    subject = _subject(
        endpoints.run, known=6, retry_ratio=0.0, retry_allowance=allowance
    )
    dispatcher = _dispatcher(subject, idempotent=idempotent, max_attempts=max_attempts)
    arrived = clock.now()
    asyncio.run(dispatcher.answer(_request("c1"), arrived))
    counted = subject.further_attempts()
    granted = sum(
        count for (_, _, verdict), count in counted.items() if verdict == "granted"
    )
    assert endpoints.arrivals["c1"] <= max_attempts
    assert endpoints.arrivals["c1"] <= 1 + granted
    assert all(at <= arrived + REMAINING_MS / 1000 for at in endpoints.deadlines)
