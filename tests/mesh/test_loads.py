from __future__ import annotations

from typing import Any

import pytest

from snipelink.decide import placement
from snipelink.generated import mesh
from snipelink.mesh import loads, objects

HOST = "10.0.0.1"
INSTANCE = objects.Instance("i-1", "rota", HOST, "a", False)


def _load(**changes: Any) -> mesh.Load:
    values: dict[str, Any] = {
        "instance": "i-1",
        "started_ms": 1000,
        "sequence": 1,
        "running": 3,
        "waiting": 1,
        "slots": 9,
        "slowness_percent": 100,
        "failing_percent": 0,
        "accepting": True,
        "revision": 5,
        "configuration": 2,
    }
    return mesh.Load(**(values | changes))


def _candidate(table: loads.LoadTable, now: float) -> placement.Candidate | None:
    return table.candidate(INSTANCE, near=True, now=now)


def test_report_tells_load_and_its_age() -> None:
    table = loads.LoadTable()
    assert _candidate(table, 10.0) is None
    assert table.update(_load(), HOST, 10.0)
    candidate = _candidate(table, 10.2)
    assert candidate is not None
    assert (candidate.running, candidate.waiting, candidate.slots) == (3, 1, 9)
    assert candidate.age_s == pytest.approx(0.2)


def test_late_datagram_does_not_replace_a_newer_one() -> None:
    table = loads.LoadTable()
    table.update(_load(sequence=5, running=7), HOST, 10.0)
    assert not table.update(_load(sequence=4, running=0), HOST, 10.1)
    candidate = _candidate(table, 10.1)
    assert candidate is not None
    assert candidate.running == 7


def test_restarted_node_starts_its_numbers_anew() -> None:
    table = loads.LoadTable()
    table.update(_load(sequence=500), HOST, 10.0)
    assert table.update(_load(started_ms=2000, sequence=1, running=0), HOST, 10.1)


def test_endpoint_that_takes_no_calls_is_no_candidate() -> None:
    table = loads.LoadTable()
    table.update(_load(accepting=False), HOST, 10.0)
    assert _candidate(table, 10.0) is None


def test_calls_sent_count_until_a_report_can_count_them() -> None:
    table = loads.LoadTable()
    table.update(_load(), HOST, 10.0)
    table.on_sent("i-1", 10.0)
    table.on_sent("i-1", 10.01)
    soon, later = _candidate(table, 10.02), _candidate(table, 10.2)
    assert soon is not None
    assert later is not None
    assert (soon.running, later.running) == (5, 3)


def test_node_falls_silent_once_and_is_heard_again_once() -> None:
    table = loads.LoadTable()
    table.update(_load(), HOST, 10.0)
    late = 10.0 + placement.SILENT_S + 0.1
    assert table.silence(late) == ({HOST}, set())
    assert table.silence(late + 0.1) == (set(), set())
    table.update(_load(sequence=2), HOST, late + 0.2)
    assert table.silence(late + 0.3) == (set(), {HOST})


def test_published_endpoints_are_kept_and_others_forgotten() -> None:
    table = loads.LoadTable()
    table.update(_load(), HOST, 10.0)
    table.update(_load(instance="i-2"), "10.0.0.2", 10.0)
    table.expire({"i-1"}, 10.0 + loads.HEARD_S + 0.1)
    assert set(table.facts_by_instance) == {"i-1"}
