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
OVERFLOW_LABEL = "other"
QUANTILES = (0.5, 0.9, 0.99, 0.999)
BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 60)

# With two significant digits a histogram takes 12 KB; all permitted histograms take
# about 4 MB.
_SIGNIFICANT_DIGITS = 2
_WORD_BYTES = 4
# Higher latencies are recorded as this value.
_MAX_LATENCY_US = 600_000_000
# Series per latency metric and per counter; further ones share ``OVERFLOW_LABEL``.
_MAX_HISTOGRAMS = 128
_MAX_COUNTER_SERIES = 1000
_US_PER_S = 1_000_000

Labels = tuple[str, ...]
GaugeValues = float | Mapping[Labels, float]


class Counter:
    """A counter with a series for each combination of label values."""

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
        """Add to the series with the given label values.

        Beyond the maximum number of series, new series are counted as ``other``.
        """
        with self._lock:
            values = self._values
            if label_values not in values:
                label_values = self._series_for(label_values)
            values[label_values] = values.get(label_values, 0) + amount

    def values(self) -> dict[Labels, float]:
        """Return a copy of all values."""
        with self._lock:
            return dict(self._values)

    def retain(self, names: Container[str]) -> None:
        """Drop the series whose first label value is not in `names`."""
        with self._lock:
            self._values = {
                labels: value
                for labels, value in self._values.items()
                if labels[0] == OVERFLOW_LABEL or labels[0] in names
            }

    def _series_for(self, label_values: Labels) -> Labels:
        if len(label_values) != len(self.labels):
            raise ValueError(f"{self.name}: expected values for {self.labels}")
        if len(self._values) < self._max_series:
            return label_values
        return (OVERFLOW_LABEL,) * len(self.labels)


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyDistribution:
    """Distribution of the latencies of one series since its creation."""

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
        # The counts are copied under the lock and evaluated outside of it: computing
        # percentiles with the library takes 0.4 ms, and calls would wait for the lock.
        histogram = self._histogram
        with self._lock:
            counts, sum_us = list(histogram.counts), self._sum_us
            max_us = histogram.max_value
        cumulative = list(itertools.accumulate(counts))
        total = cumulative[-1]
        quantiles = {
            quantile: min(
                self._latency_at_rank(cumulative, quantile * total), max_us / _US_PER_S
            )
            for quantile in QUANTILES
        }
        cumulative_counts = tuple(
            cumulative[histogram.get_counts_array_index(int(bound * _US_PER_S))]
            for bound in BUCKETS_S
        )
        return LatencyDistribution(
            total, sum_us / _US_PER_S, max_us / _US_PER_S, quantiles, cumulative_counts
        )

    def _latency_at_rank(self, cumulative: list[int], rank: float) -> float:
        if not cumulative[-1]:
            return 0.0
        index = bisect.bisect_left(cumulative, max(rank, 1))
        value_us = self._histogram.get_value_from_index(index)
        highest: int = self._histogram.get_highest_equivalent_value(value_us)
        return highest / _US_PER_S


class LatencyHistograms:
    """Latency histograms, one for each value of a label."""

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
        """Record a latency; label values beyond the maximum count as ``other``."""
        histogram = self._histograms.get(label_value)
        if histogram is None:
            histogram = self._histogram_for(label_value)
        histogram.record(latency_s)

    def read(self) -> dict[str, LatencyDistribution]:
        """Return the distribution of each series."""
        with self._lock:
            histograms = dict(self._histograms)
        return {value: histograms[value].read() for value in sorted(histograms)}

    def retain(self, names: Container[str]) -> None:
        """Drop the series whose label value is not in `names`."""
        with self._lock:
            self._histograms = {
                value: histogram
                for value, histogram in self._histograms.items()
                if value == OVERFLOW_LABEL or value in names
            }

    def _histogram_for(self, label_value: str) -> _Histogram:
        with self._lock:
            if len(self._histograms) >= self._max_series:
                label_value = OVERFLOW_LABEL
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
        """Record a call; ``kind`` is its error kind if it failed."""
        self._calls.record(service, latency_s)
        if kind is not None:
            self._call_failures.increment(service, kind.value)

    def record_attempt(
        self, endpoint: str, latency_s: float, kind: errors.Kind | None = None
    ) -> None:
        """Record an attempt at an endpoint; ``kind`` is its error kind if it failed."""
        self._attempts.record(endpoint, latency_s)
        if kind is not None:
            self._attempt_failures.increment(endpoint, kind.value)

    def retain(self, services: Container[str], endpoints: Container[str]) -> None:
        """Drop the series of services and endpoints that no longer exist.

        Otherwise, replaced endpoints would use up the permitted series within days, and
        all newer endpoints would be recorded as ``other``.
        """
        self._calls.retain(services)
        self._call_failures.retain(services)
        self._attempts.retain(endpoints)
        self._attempt_failures.retain(endpoints)

    def counter(self, name: str, help_text: str, labels: Labels = ()) -> Counter:
        """Return the counter with the given name; create it on first use."""
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
        """Add a gauge whose values are read at each scrape.

        ``read`` returns a number, or a mapping from label values to numbers.
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
            reading = gauge.read()
            values: Mapping[Labels, float] = (
                reading if isinstance(reading, Mapping) else {(): reading}
            )
            lines += _format_values(gauge, "gauge", values)
        return "\n".join(lines) + "\n"

    def summary(self) -> dict[str, object]:
        """Return latency distributions and counters as values for JSON."""
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
            "count": distribution.count,
            "mean_ms": round(1000 * distribution.sum_s / distribution.count, 3),
            **{
                f"p{100 * quantile:g}_ms": round(1000 * latency_s, 3)
                for quantile, latency_s in distribution.quantiles_s.items()
            },
            "max_ms": round(1000 * distribution.max_s, 3),
        }
        for value, distribution in latencies.read().items()
        if distribution.count
    }


def _format_latencies(latencies: LatencyHistograms) -> Iterator[str]:
    yield from _format_header(latencies.name, latencies.help_text, "histogram")
    for value, distribution in latencies.read().items():
        label = _format_label(latencies.label, value)
        for bound, count in zip(BUCKETS_S, distribution.cumulative_counts, strict=True):
            yield f'{latencies.name}_bucket{{{label},le="{bound:g}"}} {count}'
        yield f'{latencies.name}_bucket{{{label},le="+Inf"}} {distribution.count}'
        yield f"{latencies.name}_sum{{{label}}} {distribution.sum_s:.6f}"
        yield f"{latencies.name}_count{{{label}}} {distribution.count}"


def _format_values(
    metric: Counter | _Gauge, kind: str, values: Mapping[Labels, float]
) -> Iterator[str]:
    yield from _format_header(metric.name, metric.help_text, kind)
    for label_values, value in sorted(values.items()):
        labels = _format_labels(metric.labels, label_values)
        yield f"{metric.name}{labels} {value:.15g}"


def _format_header(name: str, help_text: str, kind: str) -> Iterator[str]:
    yield f"# HELP {name} {help_text}"
    yield f"# TYPE {name} {kind}"


def _format_labels(names: Labels, values: Labels) -> str:
    pairs = (_format_label(*pair) for pair in zip(names, values, strict=True))
    return "{" + ",".join(pairs) + "}" if names else ""


def _format_label(name: str, value: str) -> str:
    escaped = value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'{name}="{escaped}"'
