"""Latency histograms, counters and gauges in the text exposition format."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import threading
from collections.abc import Callable, Container, Iterator, Mapping

import hdrh.histogram

from snipelink import errors

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
OTHER = "other"
QUANTILES = (0.5, 0.9, 0.99, 0.999)
BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 60)

# With two digits a histogram takes 12 KB, and all that are allowed about 4 MB.
_SIGNIFICANT_DIGITS = 2
_WORD_BYTES = 4
_MAX_LATENCY_US = 600_000_000
_MAX_HISTOGRAMS = 128
_MAX_COUNTER_SERIES = 1000
_US_PER_S = 1_000_000

Labels = tuple[str, ...]
GaugeValues = float | Mapping[Labels, float]


class Counter:
    """Counts events by the values of its labels."""

    def __init__(
        self,
        name: str,
        help_text: str,
        labels: Labels = (),
        max_series: int = _MAX_COUNTER_SERIES,
    ) -> None:
        self.name = name
        self.help_text = help_text
        self.labels = labels
        self._max_series = max_series
        self._values: dict[Labels, float] = {}
        self._lock = threading.Lock()

    def increment(self, *label_values: str, amount: float = 1) -> None:
        """Add to the series of the label values.

        Once there are too many series, new ones are counted as ``other``.
        """
        with self._lock:
            values = self._values
            if label_values not in values:
                label_values = self._admit(label_values)
            values[label_values] = values.get(label_values, 0) + amount

    def values(self) -> dict[Labels, float]:
        """Return a copy of all values."""
        with self._lock:
            return dict(self._values)

    def retain(self, names: Container[str]) -> None:
        """Drop the series whose first label value is none of the names."""
        with self._lock:
            self._values = {
                labels: value
                for labels, value in self._values.items()
                if labels[0] == OTHER or labels[0] in names
            }

    def _admit(self, label_values: Labels) -> Labels:
        if len(label_values) != len(self.labels):
            raise ValueError(f"{self.name}: expected values for {self.labels}")
        if len(self._values) < self._max_series:
            return label_values
        return (OTHER,) * len(self.labels)


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyDistribution:
    """Latencies of one series up to now."""

    count: int
    sum_s: float
    max_s: float
    quantiles_s: dict[float, float]
    cumulative_counts: tuple[int, ...]


class _Histogram:
    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sum_us = 0
        self._histogram = hdrh.histogram.HdrHistogram(
            1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS, word_size=_WORD_BYTES
        )

    def record(self, latency_s: float) -> None:
        latency_us = min(max(int(latency_s * _US_PER_S), 1), _MAX_LATENCY_US)
        with self._lock:
            self._histogram.record_value(latency_us)
            self._sum_us += latency_us

    def read(self) -> LatencyDistribution:
        # Counts are copied under the lock and evaluated outside of it, because
        # percentiles of the library take 0.4 ms, which calls would wait for.
        histogram = self._histogram
        with self._lock:
            counts, sum_us = list(histogram.counts), self._sum_us
            max_us = histogram.max_value
        cumulative = list(itertools.accumulate(counts))
        total = cumulative[-1]
        quantiles = {
            quantile: min(
                self._value_at(cumulative, quantile * total), max_us / _US_PER_S
            )
            for quantile in QUANTILES
        }
        at_bounds = tuple(
            cumulative[histogram.get_counts_array_index(int(bound * _US_PER_S))]
            for bound in BUCKETS_S
        )
        return LatencyDistribution(
            total, sum_us / _US_PER_S, max_us / _US_PER_S, quantiles, at_bounds
        )

    def _value_at(self, cumulative: list[int], rank: float) -> float:
        if not cumulative[-1]:
            return 0.0
        index = bisect.bisect_left(cumulative, max(rank, 1))
        value_us = self._histogram.get_value_from_index(index)
        highest: int = self._histogram.get_highest_equivalent_value(value_us)
        return highest / _US_PER_S


class LatencyHistograms:
    """Latency histograms by one label."""

    def __init__(
        self,
        name: str,
        help_text: str,
        label: str,
        max_series: int = _MAX_HISTOGRAMS,
    ) -> None:
        self.name = name
        self.help_text = help_text
        self.label = label
        self._max_series = max_series
        self._histograms: dict[str, _Histogram] = {}
        self._lock = threading.Lock()

    def record(self, label_value: str, latency_s: float) -> None:
        """Record one latency; too many label values are recorded as ``other``."""
        histogram = self._histograms.get(label_value)
        if histogram is None:
            histogram = self._admit(label_value)
        histogram.record(latency_s)

    def read(self) -> dict[str, LatencyDistribution]:
        """Return the distribution of each series."""
        with self._lock:
            histograms = dict(self._histograms)
        return {value: histograms[value].read() for value in sorted(histograms)}

    def retain(self, names: Container[str]) -> None:
        """Drop the series whose label value is none of the names."""
        with self._lock:
            self._histograms = {
                value: histogram
                for value, histogram in self._histograms.items()
                if value == OTHER or value in names
            }

    def _admit(self, label_value: str) -> _Histogram:
        with self._lock:
            if len(self._histograms) >= self._max_series:
                label_value = OTHER
            return self._histograms.setdefault(label_value, _Histogram())


@dataclasses.dataclass(frozen=True, slots=True)
class _Gauge:
    name: str
    help_text: str
    labels: Labels
    read: Callable[[], GaugeValues]


class Metrics:
    """All metrics of a process."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters_by_name: dict[str, Counter] = {}
        self._gauges_by_name: dict[str, _Gauge] = {}
        self._calls = LatencyHistograms(
            "snipelink_call_duration_seconds",
            "Time from a caller's request to its answer, with retries.",
            "service",
        )
        self._attempts = LatencyHistograms(
            "snipelink_attempt_duration_seconds",
            "Time of one attempt at an endpoint.",
            "endpoint",
        )
        self._call_failures = self.counter(
            "snipelink_call_failures_total",
            "Calls answered with an error kind.",
            ("service", "kind"),
        )
        self._attempt_failures = self.counter(
            "snipelink_attempt_failures_total",
            "Attempts that failed, by error kind.",
            ("endpoint", "kind"),
        )

    def record_call(
        self, service: str, latency_s: float, kind: errors.Kind | None = None
    ) -> None:
        """Record a caller's call; ``kind`` is its error kind, if it failed."""
        self._calls.record(service, latency_s)
        if kind is not None:
            self._call_failures.increment(service, kind.value)

    def record_attempt(
        self, endpoint: str, latency_s: float, kind: errors.Kind | None = None
    ) -> None:
        """Record one attempt at an endpoint."""
        self._attempts.record(endpoint, latency_s)
        if kind is not None:
            self._attempt_failures.increment(endpoint, kind.value)

    def retain(self, services: Container[str], endpoints: Container[str]) -> None:
        """Drop the series of services and endpoints that the set no longer has.

        Without this, replaced endpoints would use up the allowed series within days,
        and every newer one would be recorded as ``other``.
        """
        self._calls.retain(services)
        self._call_failures.retain(services)
        self._attempts.retain(endpoints)
        self._attempt_failures.retain(endpoints)

    def counter(self, name: str, help_text: str, labels: Labels = ()) -> Counter:
        """Return the counter of a name; it is created on first use."""
        with self._lock:
            return self._counters_by_name.setdefault(
                name, Counter(name, help_text, labels)
            )

    def gauge(
        self,
        name: str,
        help_text: str,
        read: Callable[[], GaugeValues],
        labels: Labels = (),
    ) -> None:
        """Add a gauge whose values are read on each exposition.

        ``read`` returns a number, or numbers by label values.
        """
        with self._lock:
            self._gauges_by_name[name] = _Gauge(name, help_text, labels, read)

    def exposition(self) -> str:
        """Return all metrics in the text exposition format."""
        with self._lock:
            counters = sorted(self._counters_by_name.items())
            gauges = sorted(self._gauges_by_name.items())
        lines: list[str] = []
        for latencies in (self._calls, self._attempts):
            lines += _format_latencies(latencies)
        for _, counter in counters:
            lines += _format_values(counter, "counter", counter.values())
        for _, gauge in gauges:
            found = gauge.read()
            values: Mapping[Labels, float] = (
                found if isinstance(found, Mapping) else {(): found}
            )
            lines += _format_values(gauge, "gauge", values)
        return "\n".join(lines) + "\n"

    def summary(self) -> dict[str, object]:
        """Return distributions and counters as values for JSON."""
        with self._lock:
            counters = sorted(self._counters_by_name.items())
        return {
            "calls_by_service": _summarize(self._calls),
            "attempts_by_endpoint": _summarize(self._attempts),
            "counters": {
                name + _format_labels(counter.labels, values): value
                for name, counter in counters
                for values, value in sorted(counter.values().items())
            },
        }


def _summarize(latencies: LatencyHistograms) -> dict[str, dict[str, float]]:
    return {
        value: {
            "count": found.count,
            "mean_ms": round(1000 * found.sum_s / found.count, 3),
            **{
                f"p{100 * quantile:g}_ms": round(1000 * latency_s, 3)
                for quantile, latency_s in found.quantiles_s.items()
            },
            "max_ms": round(1000 * found.max_s, 3),
        }
        for value, found in latencies.read().items()
        if found.count
    }


def _format_latencies(latencies: LatencyHistograms) -> Iterator[str]:
    yield from _format_head(latencies.name, latencies.help_text, "histogram")
    for value, found in latencies.read().items():
        label = _format_label(latencies.label, value)
        for bound, count in zip(BUCKETS_S, found.cumulative_counts, strict=True):
            yield f'{latencies.name}_bucket{{{label},le="{bound:g}"}} {count}'
        yield f'{latencies.name}_bucket{{{label},le="+Inf"}} {found.count}'
        yield f"{latencies.name}_sum{{{label}}} {found.sum_s:.6f}"
        yield f"{latencies.name}_count{{{label}}} {found.count}"


def _format_values(
    metric: Counter | _Gauge, kind: str, values: Mapping[Labels, float]
) -> Iterator[str]:
    yield from _format_head(metric.name, metric.help_text, kind)
    for label_values, value in sorted(values.items()):
        labels = _format_labels(metric.labels, label_values)
        yield f"{metric.name}{labels} {value:.15g}"


def _format_head(name: str, help_text: str, kind: str) -> Iterator[str]:
    yield f"# HELP {name} {help_text}"
    yield f"# TYPE {name} {kind}"


def _format_labels(names: Labels, values: Labels) -> str:
    pairs = (_format_label(*pair) for pair in zip(names, values, strict=True))
    return "{" + ",".join(pairs) + "}" if names else ""


def _format_label(name: str, value: str) -> str:
    escaped = value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'{name}="{escaped}"'
