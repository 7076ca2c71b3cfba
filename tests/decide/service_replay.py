"""Replays calls of many nodes to one service of endpoints with few slots."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

import pytest

from bench import replay
from snipelink.decide import (
    placement,
    queue_policy,
    retry_after,
    service_admission,
    service_floor,
    slots,
)

NODE_COUNT = 80
SLOT_COUNT = 4
SERVER_COUNT = 12
SECONDS = 9.0
# Interval at which a node hears of all endpoints, and the time of an attempt that an
# endpoint's node refuses, seconds.
REPORT_INTERVAL_S = 0.05
HOP_S = 0.02
MAX_ATTEMPTS = 4
# Times that a refused caller comes back.
MAX_RETURNS = 2

URGENT = replay.Kind("order", 0.5, 0.35, 0.7, 4.6, 1, 1.0)
LESS_URGENT = replay.Kind("peek", 0.5, 0.3, 0.6, 5.8, 2, 1.0)
KINDS = (URGENT, LESS_URGENT)


class NodesPolicy(replay.AdmissionPolicy):
    """Places calls by the reports that the node of their caller has heard.

    Parameters
    ----------
    by_service : bool
        Whether nodes refuse calls for which no endpoint has room.
    with_floors : bool
        Whether timely calls of lower priority have a floor.

    Attributes
    ----------
    attempts_by_key : dict
        Number of endpoints that were asked for a call since its last arrival.
    refusal_times_s : list of float
        Time from the arrival of a call at its node to the refusal, of each refusal.
    """

    def __init__(self, *, by_service: bool, with_floors: bool) -> None:
        super().__init__(0.0)
        self._by_service = by_service
        self._views: dict[int, tuple[float, list[placement.Candidate]]] = {}
        self._sent_by_node = [
            service_floor.ServiceFloor(service_floor.SENT_TIME_CONSTANT_S)
            for _ in range(NODE_COUNT)
        ]
        for sent in self._sent_by_node:
            sent.is_enabled = with_floors
        self._tried_by_key: dict[int, set[str]] = {}
        self._arrived_by_key: dict[int, float] = {}
        self._returns_by_key: dict[int, int] = {}
        self.attempts_by_key: dict[int, int] = {}
        self.refusal_times_s: list[float] = []
        self.attempts_of_refused: list[int] = []

    def place_call(
        self, call: replay.Call, simulation: replay.Replay, now: float
    ) -> None:
        """Refuse a call or offer it to the best endpoint, then to the next one."""
        node = call.key % NODE_COUNT
        sent = self._sent_by_node[node]
        tried = self._tried_by_key.setdefault(call.key, set())
        if not tried:
            self._arrived_by_key[call.key] = now
            sent.on_offer(call.kind.priority, call.kind.work_s, now)
        demand = self._demand(call)
        candidates = [
            each
            for each in self._view(node, simulation, now)
            if each.instance not in tried
        ]
        if self._by_service:
            room = service_admission.find_room(
                candidates,
                demand,
                replay.MEAN_WORK_S,
                sent.share_ahead(call.kind.priority),
                now,
                wait_factor=service_admission.RETRY_WAIT_FACTOR
                if tried
                else service_admission.SERVICE_WAIT_FACTOR,
            )
            if not room.is_sufficient:
                self._refuse(call, room.start_s, simulation, now)
                return
        if not tried:
            sent.on_start(call.kind.priority, call.kind.work_s, now)
        chosen = placement.choose(
            candidates, call.kind.work_s, replay.MEAN_WORK_S, simulation.rng
        )
        if chosen is None or len(tried) >= MAX_ATTEMPTS:
            self._refuse(call, replay.MEAN_WORK_S, simulation, now)
            return
        tried.add(chosen.instance)
        server = simulation.servers_by_name[chosen.instance]
        offered = server.slots.offer(call.key, demand, now)
        if offered.verdict is slots.Verdict.START:
            server.run(call, now)
        elif offered.verdict is slots.Verdict.WAIT:
            server.waiting_by_key[call.key] = call
        else:
            simulation.place_again(call, now + HOP_S)

    def on_slots_freed(
        self, server: replay.Server, simulation: replay.Replay, now: float
    ) -> None:
        """Start waiting calls; refused ones are offered to the next endpoint."""
        started, refused = server.slots.admit_waiting(now)
        for key in started:
            server.run(server.waiting_by_key.pop(key), now)
        for refusal in refused:
            call = server.waiting_by_key.pop(refusal.key)
            simulation.place_again(call, now + HOP_S)

    def _demand(self, call: replay.Call) -> queue_policy.Demand:
        """Return the call with the objective that its node sees at each arrival."""
        arrived = self._arrived_by_key[call.key]
        return dataclasses.replace(
            call.demand(), target=arrived + call.kind.target_s, arrived_at=arrived
        )

    def _refuse(
        self,
        call: replay.Call,
        start_s: float,
        simulation: replay.Replay,
        now: float,
    ) -> None:
        tried = self._tried_by_key.pop(call.key)
        self.refusal_times_s.append(now - self._arrived_by_key[call.key])
        self.attempts_of_refused.append(len(tried))
        back_at = now + retry_after.retry_after_s(start_s, simulation.rng)
        returns = self._returns_by_key.get(call.key, 0)
        if returns >= MAX_RETURNS or back_at >= call.arrived + call.kind.timeout_s:
            simulation.refuse(call, now)
            return
        self._returns_by_key[call.key] = returns + 1
        simulation.place_again(call, back_at)

    def _view(
        self, node: int, simulation: replay.Replay, now: float
    ) -> list[placement.Candidate]:
        heard_at, view = self._views.get(node, (-1.0, []))
        if now - heard_at > REPORT_INTERVAL_S:
            view = simulation.candidates(0.0, now)
            self._views[node] = (now, view)
        return view


def run(
    monkeypatch: pytest.MonkeyPatch,
    *,
    by_service: bool = True,
    with_floors: bool = True,
    load: float = 0.8,
    burst: float = 2.5,
    cold_s: float = 0.0,
    kinds: Sequence[replay.Kind] = KINDS,
    seed: int = 1,
) -> tuple[NodesPolicy, list[replay.Call]]:
    """Replay a load whose middle third is a burst; return all calls."""
    mean_s = sum(kind.share * kind.work_s for kind in kinds)
    mean_speed = 1 - replay.SLOW_TIME_SHARE * (1 - 1 / replay.SLOW_FACTOR)
    capacity_per_s = SERVER_COUNT * SLOT_COUNT * mean_speed / mean_s
    monkeypatch.setattr(replay, "SERVER_COUNT", SERVER_COUNT)
    monkeypatch.setattr(replay, "SLOTS_PER_SERVER", SLOT_COUNT)
    monkeypatch.setattr(replay, "CALL_KINDS", tuple(kinds))
    monkeypatch.setattr(replay, "MEAN_WORK_S", mean_s)
    monkeypatch.setattr(replay, "CAPACITY_PER_S", capacity_per_s)
    policy = NodesPolicy(by_service=by_service, with_floors=with_floors)
    case = replay.Case(burst=burst, cold_s=cold_s)
    simulation = replay.Replay(policy, case, load, SECONDS, seed)
    for server in simulation.servers_by_name.values():
        server.slots.floor.is_enabled = with_floors
    simulation.run()
    return policy, simulation.calls


def goodput(
    calls: Sequence[replay.Call], start: float, end: float, kind: str = ""
) -> float:
    """Return the share of value of the calls that arrived in a period."""
    period = [
        call
        for call in calls
        if start <= call.arrived < end and kind in ("", call.kind.name)
    ]
    worth = sum(call.kind.value for call in period)
    return sum(call.value for call in period) / worth
