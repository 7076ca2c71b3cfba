from __future__ import annotations

import re
import threading

import hypothesis
import hypothesis.strategies as st
import pytest

from snipelink import errors
from snipelink.observe import metrics

LINE = re.compile(
    r"# (HELP|TYPE) [a-z_]+ .+"
    r'|[a-z_]+(\{([a-z]+="([^"\\\n]|\\[\\"n])*",?)+\})? [0-9.e+-]+'
)


@hypothesis.given(st.lists(st.floats(0.00001, 500), min_size=1, max_size=60))
def test_distribution_agrees_with_the_sorted_latencies(latencies: list[float]) -> None:
    """Guards against percentiles that hide slow calls."""
    recorded = metrics.LatencyHistograms("n", "h", "l")
    for latency in latencies:
        recorded.record("x", latency)
    found = recorded.read()["x"]
    ordered = sorted(latencies)
    assert found.count == len(ordered)
    assert max(found.quantiles_s.values()) <= found.max_s
    assert found.sum_s == pytest.approx(sum(ordered), rel=0.01, abs=1e-4)
    for quantile, value in found.quantiles_s.items():
        rank = max(1, -(-quantile * len(ordered) // 1))
        assert value == pytest.approx(ordered[int(rank) - 1], rel=0.02, abs=2e-6)
    for bound, count in zip(metrics.BUCKETS_S, found.cumulative_counts, strict=True):
        assert sum(v < bound * 0.98 for v in ordered) <= count
        assert count <= sum(v < bound * 1.02 for v in ordered)


@pytest.mark.parametrize("latency_s", [-1.0, 0.0, 1e9])
def test_latency_out_of_range_is_counted(latency_s: float) -> None:
    """Guards against calls that are missing in the count."""
    recorded = metrics.LatencyHistograms("n", "h", "l")
    recorded.record("x", latency_s)
    assert recorded.read()["x"].count == 1


def test_label_values_are_bounded() -> None:
    """Guards against unbounded memory for label values."""
    latencies = metrics.LatencyHistograms("n", "h", "l", max_series=3)
    counter = metrics.Counter("c", "h", ("a", "b"), max_series=3)
    for number in range(10):
        latencies.record(f"x{number}", 0.1)
        counter.increment(f"x{number}", "y")
    assert len(latencies.read()) == 4
    assert latencies.read()["other"].count == 7
    assert counter.values()["other", "other"] == 7
    assert len(counter.values()) == 4


def test_wrong_number_of_label_values_is_refused() -> None:
    """Guards against an exposition that cannot be parsed."""
    with pytest.raises(ValueError, match="expected values"):
        metrics.Counter("c", "h", ("a",)).increment("x", "y")


def test_concurrent_records_are_all_counted() -> None:
    """Guards against lost updates between concurrent threads."""
    registry = metrics.Metrics()

    def work() -> None:
        for _ in range(2000):
            registry.record_call("rota", 0.001, errors.Kind.OVERLOADED)

    threads = [threading.Thread(target=work) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    text = registry.exposition()
    assert 'snipelink_call_duration_seconds_count{service="rota"} 8000' in text
    assert (
        'snipelink_call_failures_total{service="rota",kind="overloaded"} 8000' in text
    )


@hypothesis.given(st.text(max_size=10))
def test_exposition_is_well_formed_for_any_label(value: str) -> None:
    """Guards against a name that breaks the format for every other series."""
    registry = metrics.Metrics()
    registry.record_attempt(value, 0.01, errors.Kind.UNREACHABLE)
    registry.gauge("running", "Calls running.", lambda: 3)
    registry.gauge("members", "Members.", lambda: {(value,): 2}, ("state",))
    text = registry.exposition()
    assert all(LINE.fullmatch(line) for line in text[:-1].split("\n"))
    assert "\nrunning 3\n" in text


def test_summary_gives_percentiles_by_name() -> None:
    """Guards against an inspection page that lacks the names of its series."""
    registry = metrics.Metrics()
    for milliseconds in range(1, 101):
        registry.record_call("rota", milliseconds / 1000)
    registry.counter("retries_total", "Retries.", ("service",)).increment("rota")
    summary = registry.summary()
    rota = summary["calls_by_service"]["rota"]  # type: ignore[index]
    assert rota["count"] == 100
    assert rota["p50_ms"] == pytest.approx(50, rel=0.02)
    assert summary["counters"] == {'retries_total{service="rota"}': 1}


def test_series_of_replaced_endpoints_are_dropped() -> None:
    """Guards against a long-running node that records new endpoints as ``other``."""
    registry = metrics.Metrics()
    for number in range(1000):
        name = f"rota-{number}"
        registry.retain({"rota"}, {name})
        registry.record_call("rota", 0.01)
        registry.record_attempt(name, 0.01, errors.Kind.UNREACHABLE)
    summary = registry.summary()
    assert list(summary["attempts_by_endpoint"]) == ["rota-999"]  # type: ignore[call-overload]
    assert summary["calls_by_service"]["rota"]["count"] == 1000  # type: ignore[index]
    assert 'endpoint="rota-999",kind="unreachable"} 1' in registry.exposition()
    assert "rota-998" not in registry.exposition()
