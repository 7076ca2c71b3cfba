"""Tests of the benchmark of the nodes' memory."""

from __future__ import annotations

from bench import memory
from bench.soak import nodes


def test_idle_nodes_are_measured_and_hold_all_invariants() -> None:
    line = memory.measure(memory.IDLE, 1, 2, nodes.ROOT)
    kind, peak_mb, _, last_mb, *rest = line.split()
    assert kind == memory.IDLE
    assert 5.0 < float(last_mb) <= float(peak_mb) < nodes.MEMORY_LIMIT_MB
    assert rest == ["MB", "at", "the", "end", "0", "killed", "held"]
