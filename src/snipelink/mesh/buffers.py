"""Bounds on the memory of the messages that a node buffers, by what they belong to."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from snipelink.observe import metrics
from snipelink.session import memory

# Memory limit of a node whose settings do not state one, bytes.
DEFAULT_MEMORY_BYTES = 200 << 20
# Share of the memory limit for bodies of requests that are on their way to an endpoint,
# of callers and of other nodes together. A body of 64 MiB, the usual limit of
# operators, fits also on the smallest machines.
UPLOADS_SHARE = 0.45
MIN_UPLOADS_BYTES = 76 << 20
# Share of the requests of callers alone, and of other nodes alone. Below 1, so that
# two nodes that send each other uploads cannot both run out of room for the other's.
UPLOADS_SIDE_SHARE = 0.85
# Share of the memory limit for answers of the endpoint, and for those of other nodes.
ANSWERS_SHARE = 0.1
MIN_ANSWERS_BYTES = 20 << 20
# Answers to health checks have a few hundred bytes, and one or two are read at once.
HEALTH_ANSWERS_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Buffers:
    """Pools of the bytes that a node buffers.

    Attributes
    ----------
    caller_requests : Pool
        Bodies of callers' requests, until they are answered.
    peer_calls : Pool
        Large calls of other nodes for the endpoint of this machine.
    peer_replies : Pool
        Large replies of other nodes to calls of this node.
    endpoint_answers : Pool
        Answers of the endpoint to calls.
    health_answers : Pool
        Answers of the endpoint to health checks.
    """

    caller_requests: memory.Pool
    peer_calls: memory.Pool
    peer_replies: memory.Pool
    endpoint_answers: memory.Pool
    health_answers: memory.Pool

    @classmethod
    def for_memory_limit(cls, limit: int) -> Buffers:
        """Return the pools of a process that may use `limit` bytes of memory."""
        uploads_bytes = max(MIN_UPLOADS_BYTES, int(limit * UPLOADS_SHARE))
        side_bytes = max(MIN_UPLOADS_BYTES, int(uploads_bytes * UPLOADS_SIDE_SHARE))
        answers_bytes = max(MIN_ANSWERS_BYTES, int(limit * ANSWERS_SHARE))
        uploads = memory.Pool(uploads_bytes)
        return cls(
            memory.Pool(side_bytes, "caller_requests", uploads),
            memory.Pool(side_bytes, "peer_calls", uploads),
            memory.Pool(answers_bytes, "peer_replies"),
            memory.Pool(answers_bytes, "endpoint_answers"),
            memory.Pool(HEALTH_ANSWERS_BYTES, "health_answers"),
        )

    def register_gauges(self, registry: metrics.Metrics) -> None:
        """Add gauges for the bytes held, their peak and the charges without room."""
        pools = [getattr(self, field.name) for field in dataclasses.fields(self)]

        def read(attribute: str) -> Mapping[tuple[str, ...], float]:
            return {(pool.name,): getattr(pool, attribute) for pool in pools}

        prefix, labels = "snipelink_mesh_buffered", ("pool",)
        registry.gauge(
            f"{prefix}_bytes",
            "Bytes of messages held now.",
            lambda: read("used"),
            labels,
        )
        registry.gauge(
            f"{prefix}_peak_bytes",
            "Most bytes of messages held at once.",
            lambda: read("peak"),
            labels,
        )
        registry.gauge(
            f"{prefix}_refusals",
            "Messages for which there was no room.",
            lambda: read("refused"),
            labels,
        )
