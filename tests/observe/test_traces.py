from __future__ import annotations

import io
import json
import random

import hypothesis
import hypothesis.strategies as st
import pytest

from snipelink.observe import traces

TRACE, PARENT = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
SAMPLED = f"00-{TRACE}-{PARENT}-01"
NOT_SAMPLED = f"00-{TRACE}-{PARENT}-00"


def _tracer(lines: io.StringIO | None = None) -> traces.Tracer:
    return traces.Tracer("rota-1", random.Random(1), lines, wall_clock=lambda: 1000.0)


@hypothesis.given(st.integers(1, 2**128 - 1), st.integers(1, 2**64 - 1), st.booleans())
def test_header_is_read_as_it_was_written(trace: int, span: int, sampled: bool) -> None:
    """Guards against traces that break between two nodes."""
    context = traces.TraceContext(f"{trace:032x}", f"{span:016x}", sampled)
    assert traces.parse_traceparent(traces.format_traceparent(context)) == context


@pytest.mark.parametrize(
    "text",
    [
        "",
        SAMPLED.upper(),
        SAMPLED + "-",
        SAMPLED + " ",
        SAMPLED[:-1],
        f"ff-{TRACE}-{PARENT}-01",
        f"00-{'0' * 32}-{PARENT}-01",
        f"00-{TRACE}-{'0' * 16}-01",
        f"00-{TRACE}-{PARENT}-0g",
        f"01-{TRACE}-{PARENT}-01x",
    ],
)
def test_invalid_header_starts_a_new_trace(text: str) -> None:
    """Guards against trace ids that other tools refuse."""
    assert traces.parse_traceparent(text) is None
    span = _tracer().start(text, "call", 1.0)
    assert span.parent_id == ""
    assert traces.parse_traceparent(span.traceparent) == span.context


@pytest.mark.parametrize("text", [f"01-{TRACE}-{PARENT}-03-more", SAMPLED])
def test_header_of_a_later_version_is_continued(text: str) -> None:
    """Guards against traces that are broken off at a node of this version."""
    span = _tracer().start(text, "call", 1.0)
    assert (span.context.trace_id, span.parent_id) == (TRACE, PARENT)
    assert span.context.span_id != PARENT
    assert span.traceparent.endswith("-01")


def test_span_contains_steps_with_cause_and_endpoint() -> None:
    """Guards against retries whose cause an operator cannot see."""
    lines = io.StringIO()
    tracer = _tracer(lines)
    span = tracer.start(SAMPLED, "call", 10.0)
    span.service = "rota"
    span.add(traces.Step.FORWARDED, 10.001, "rota-2")
    span.add(traces.Step.RETRIED, 10.004, "rota-3", "overloaded")
    tracer.finish(span, 10.25)
    (record,) = tracer.recent()
    assert record["start_unix_s"] == 999.75
    assert record["duration_ms"] == 250
    assert [event["step"] for event in record["events"]] == [
        "accepted",
        "forwarded",
        "retried",
    ]
    assert record["events"][2] == {
        "step": "retried",
        "at_ms": 4.0,
        "endpoint": "rota-3",
        "cause": "overloaded",
    }
    assert json.loads(lines.getvalue()) == record


def test_unsampled_calls_are_kept_only_when_they_fail() -> None:
    """Guards against failed calls without a span and against a span for every call."""
    tracer = _tracer()
    for number in range(3):
        tracer.finish(tracer.start(NOT_SAMPLED, f"ok-{number}", 1.0), 1.1)
    tracer.finish(tracer.start(NOT_SAMPLED, "failed", 1.0), 1.1, "overloaded")
    assert [record["call_id"] for record in tracer.recent()] == ["failed"]


def test_spans_are_limited_in_rate_and_number() -> None:
    """Guards against a cost of tracing that grows under load or failures."""
    tracer = _tracer()
    for number in range(10_000):
        now = number / 100
        kind = "overloaded" if number % 2 else ""
        tracer.finish(tracer.start(SAMPLED, f"call-{number}", now), now, kind)
    kept = tracer.recent()
    assert len(kept) == traces.MAX_KEPT_SPANS
    numbers = [int(record["call_id"].split("-")[1]) for record in kept]
    assert numbers == sorted(numbers, reverse=True)
    # Sampled and failed spans are kept at 5/s each, so 512 spans cover about 51 s.
    assert numbers[0] - numbers[-1] > 5000
    assert len(tracer.recent(3)) == 3


def test_new_traces_are_sampled_at_a_limited_rate() -> None:
    """Guards against a busy node that makes all later hops record every call."""
    tracer = _tracer()
    spans = [tracer.start("", "call", 1 + number / 1000) for number in range(1000)]
    sampled = sum(span.context.sampled for span in spans)
    assert (
        traces.SPAN_BURST
        <= sampled
        <= traces.SPAN_BURST + traces.MAX_SAMPLED_SPANS_PER_S
    )


def test_steps_of_a_span_are_bounded() -> None:
    """Guards against unbounded memory for the steps of one call."""
    span = _tracer().start(SAMPLED, "call", 1.0)
    for _ in range(1000):
        span.add(traces.Step.RETRIED, 1.0)
    assert len(span.events) == traces.MAX_EVENTS_PER_SPAN
