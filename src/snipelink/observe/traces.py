"""W3C trace context and the recent spans of a node; a call has a span per hop."""

from __future__ import annotations

import collections
import dataclasses
import enum
import json
import random
import re
import threading
import time
from collections.abc import Callable
from typing import Any, TextIO

from snipelink.observe import token_bucket

MAX_KEPT_SPANS = 512
MAX_EVENTS_PER_SPAN = 32
# Rate limits for new sampled traces and kept sampled spans, and for kept failed spans.
MAX_SAMPLED_SPANS_PER_S = 5.0
MAX_FAILED_SPANS_PER_S = 5.0
SPAN_BURST = 20.0

_TRACEPARENT = re.compile(
    r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-[^\s]*)?", re.ASCII
)
_SAMPLED_FLAG = 0x01
_ZERO_TRACE_ID = "0" * 32
_ZERO_SPAN_ID = "0" * 16


class Step(enum.Enum):
    """Kind of an event in the processing of a call on one hop."""

    ACCEPTED = "accepted"
    QUEUED = "queued"
    FORWARDED = "forwarded"
    EXECUTED = "executed"
    RETRIED = "retried"


@dataclasses.dataclass(slots=True)
class TraceContext:
    """Content of a ``traceparent`` header."""

    trace_id: str
    span_id: str
    sampled: bool


@dataclasses.dataclass(slots=True)
class Event:
    """A step of a call, with its endpoint and cause or empty strings."""

    step: Step
    at: float
    endpoint: str
    cause: str


class Span:
    """The processing of a call on one hop; used only by the thread of the call."""

    __slots__ = ("call_id", "context", "events", "operation", "parent_id", "service")

    def __init__(
        self, context: TraceContext, parent_id: str, call_id: str, started_at: float
    ) -> None:
        self.context = context
        self.parent_id = parent_id
        self.call_id = call_id
        self.service = ""
        self.operation = ""
        self.events = [Event(Step.ACCEPTED, started_at, "", "")]

    @property
    def traceparent(self) -> str:
        """Return the ``traceparent`` header for the next hop."""
        return format_traceparent(self.context)

    def add(self, step: Step, now: float, endpoint: str = "", cause: str = "") -> None:
        """Add a step; steps beyond ``MAX_EVENTS_PER_SPAN`` are dropped."""
        if len(self.events) < MAX_EVENTS_PER_SPAN:
            self.events.append(Event(step, now, endpoint, cause))


class Tracer:
    """Starts spans and keeps recent spans that are sampled or failed.

    Parameters
    ----------
    node : str
        Name of the node.
    rng : random.Random
        Source of ids.
    span_log : text file, optional
        Each kept span is written to it as one line of JSON.
    wall_clock : callable
        Returns Unix time in seconds.
    """

    def __init__(
        self,
        node: str,
        rng: random.Random,
        span_log: TextIO | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._node = node
        self._rng = rng
        self._span_log = span_log
        self._wall_clock = wall_clock
        self._spans: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=MAX_KEPT_SPANS
        )
        self._lock = threading.Lock()
        self._new_trace_limit = token_bucket.TokenBucket(
            MAX_SAMPLED_SPANS_PER_S, SPAN_BURST
        )
        self._sampled_span_limit = token_bucket.TokenBucket(
            MAX_SAMPLED_SPANS_PER_S, SPAN_BURST
        )
        self._failed_span_limit = token_bucket.TokenBucket(
            MAX_FAILED_SPANS_PER_S, SPAN_BURST
        )

    def start(self, traceparent: str, call_id: str, now: float) -> Span:
        """Start the span of a call; an absent or invalid header starts a new trace."""
        parent = parse_traceparent(traceparent)
        span_id = self._new_span_id()
        if parent is not None:
            context = TraceContext(parent.trace_id, span_id, parent.sampled)
            return Span(context, parent.span_id, call_id, now)
        sampled = self._new_trace_limit.try_take(now)
        trace_id = self._new_span_id() + self._new_span_id()
        return Span(TraceContext(trace_id, span_id, sampled), "", call_id, now)

    def finish(self, span: Span, now: float, error_kind: str = "") -> None:
        """End a span; ``error_kind`` is empty if the call was answered."""
        if error_kind:
            kept = self._failed_span_limit.try_take(now)
        else:
            kept = span.context.sampled and self._sampled_span_limit.try_take(now)
        if not kept:
            return
        record = self._to_record(span, now, error_kind)
        with self._lock:
            self._spans.append(record)
            if self._span_log is not None:
                self._span_log.write(json.dumps(record) + "\n")
                self._span_log.flush()

    def recent(self, limit: int = MAX_KEPT_SPANS) -> list[dict[str, Any]]:
        """Return the most recent spans, newest first."""
        with self._lock:
            spans = list(self._spans)
        return spans[::-1][:limit]

    def _new_span_id(self) -> str:
        # An id of zeros is invalid in a traceparent header.
        return f"{self._rng.getrandbits(64) or 1:016x}"

    def _to_record(self, span: Span, now: float, error_kind: str) -> dict[str, Any]:
        started_at = span.events[0].at
        return {
            "trace_id": span.context.trace_id,
            "span_id": span.context.span_id,
            "parent_id": span.parent_id,
            "node": self._node,
            "call_id": span.call_id,
            "service": span.service,
            "operation": span.operation,
            "start_unix_s": round(self._wall_clock() - (now - started_at), 6),
            "duration_ms": round(1000 * (now - started_at), 3),
            "error_kind": error_kind,
            "events": [
                {
                    "step": event.step.value,
                    "at_ms": round(1000 * (event.at - started_at), 3),
                    "endpoint": event.endpoint,
                    "cause": event.cause,
                }
                for event in span.events
            ],
        }


def parse_traceparent(text: str) -> TraceContext | None:
    """Return the content of a ``traceparent`` header; None if it is invalid.

    As the standard requires, only the fields of version 00 are read from headers of
    later versions.
    """
    match = _TRACEPARENT.fullmatch(text)
    if match is None:
        return None
    version, trace_id, span_id, flags, rest = match.groups()
    if version == "ff" or (version == "00" and rest is not None):
        return None
    if trace_id == _ZERO_TRACE_ID or span_id == _ZERO_SPAN_ID:
        return None
    return TraceContext(trace_id, span_id, bool(int(flags, 16) & _SAMPLED_FLAG))


def format_traceparent(context: TraceContext) -> str:
    """Return a ``traceparent`` header of version 00."""
    flags = _SAMPLED_FLAG if context.sampled else 0
    return f"00-{context.trace_id}-{context.span_id}-{flags:02x}"
