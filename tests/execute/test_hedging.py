from __future__ import annotations

import random

import pytest
from result import Ok

from snipelink import model, settings
from snipelink.execute import hedging, policy_factories, service_state
from snipelink.retry import hedge
from tests.execute import scripted_nodes


def make_state(*endpoints: model.Endpoint) -> service_state.ServiceState:
    by_name = {endpoint.name: endpoint for endpoint in endpoints}
    service = model.Service("s", (), by_name, model.Budgets(0.1, 0.05))
    objects = model.ObjectSet(1, "", (), {"s": service})
    values = settings.Settings(
        "caller", "d-1", "d", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", ["http://x"]
    )
    make_policy = policy_factories.factories_by_name()["round-robin"]
    return service_state.ServiceState(service, objects, make_policy, values, 0.0)


@pytest.fixture
def recorded() -> list[tuple[str, bool]]:
    return []


@pytest.fixture
def forwarder(recorded) -> hedging.HedgedForwarder:
    def record(state, attempt, outcome, now) -> None:
        recorded.append((attempt.endpoint, isinstance(outcome, Ok)))

    return hedging.HedgedForwarder(scripted_nodes.make_forwarder(), record)


def test_hedge_answers_and_first_attempt_is_cancelled(forwarder, recorded) -> None:
    """Guards against a slow attempt that still runs after the hedge was answered."""
    slow, fast = (
        scripted_nodes.ScriptedHandler("slow"),
        scripted_nodes.ScriptedHandler("fast"),
    )
    slow.may_answer.clear()
    with scripted_nodes.serving(slow) as first, scripted_nodes.serving(fast) as second:
        state = make_state(first, second)
        call = scripted_nodes.make_call()
        outcome = forwarder.run(state, call, first, 0.01, lambda now: second)
        assert outcome.unwrap().body == b"fast"
        while not slow.cancelled:
            assert slow.calls
    assert slow.cancelled == ["c1"]
    assert recorded == [("fast", True)]
    assert state.tracker.in_flight("slow") == 0


def test_no_hedge_without_budget(forwarder, recorded) -> None:
    """Guards against hedges that add load beyond their budget."""
    slow, fast = (
        scripted_nodes.ScriptedHandler("slow"),
        scripted_nodes.ScriptedHandler("fast"),
    )
    with scripted_nodes.serving(slow) as first, scripted_nodes.serving(fast) as second:
        state = make_state(first, second)
        assert state.hedge_policy.try_start(0.0)
        slow.may_answer.clear()

        def choose(now: float) -> model.Endpoint:
            slow.may_answer.set()
            return second

        outcome = forwarder.run(state, scripted_nodes.make_call(), first, 0.01, choose)
        assert outcome.unwrap().body == b"slow"
    assert fast.calls == []


def test_first_attempt_without_a_reply_leaves_the_hedge(forwarder, recorded) -> None:
    """Guards against a hedged call that fails although the hedge is answered."""
    lost, fast = (
        scripted_nodes.ScriptedHandler("lost"),
        scripted_nodes.ScriptedHandler("fast"),
    )
    lost.may_answer.clear()
    fast.may_answer.clear()
    with scripted_nodes.serving(fast) as second, scripted_nodes.serving(lost) as first:
        state = make_state(first, second)
        pending = scripted_nodes.make_forwarder()

        def choose(now: float) -> model.Endpoint:
            fast.may_answer.set()
            return second

        outcome = forwarder.run(state, scripted_nodes.make_call(), first, 0.01, choose)
        assert outcome.unwrap().body == b"fast"
        pending.close()


def test_hedge_delay_needs_enough_samples() -> None:
    """Guards against hedges right after a start, when latencies are unknown."""
    state = make_state()
    call = scripted_nodes.make_call()
    assert state.hedge_policy.delay_s(call, 0.0) is None
    rng = random.Random(1)
    for _ in range(2 * hedge.MIN_SAMPLE_COUNT):
        state.hedge_policy.record("get", "a", rng.uniform(0.01, 0.02))
    assert state.hedge_policy.delay_s(call, 0.0) is not None
