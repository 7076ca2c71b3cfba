"""Simulated callers with persistent connections."""

from __future__ import annotations

import asyncio
import random
import time

from bench.soak import endpoints, history, nodes
from snipelink.mesh import channel
from snipelink.session import http, response_reader

HEADER_NAMES = endpoints.HEADER_NAMES
CONNECT_TIMEOUT_S = 0.5
# Mean pause of a caller between the end of a call and the next call.
MEAN_THINK_TIME_S = 0.08
# Share of calls that the caller abandons, and the time after which it does so.
ABANDONED_RATIO = 0.04
ABANDON_AFTER_S = 0.02
# Time for which a caller waits beyond the timeout of its call.
TIMEOUT_MARGIN_S = 1.0


class Caller:
    """Caller on the machine of one node; makes one call at a time."""

    def __init__(
        self,
        name: str,
        node_number: int,
        node: nodes.Node,
        paths: list[tuple[str, bool]],
        recorded: history.History,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._node_number = node_number
        self._node = node
        # Path prefixes, and whether their calls are idempotent. The list is shared with
        # the run, which appends the prefixes of new routes.
        self._paths = paths
        self._history = recorded
        self._rng = rng
        self._stream: channel.Channel | None = None
        self._call_count = 0

    async def run(self, end_time: float) -> None:
        """Make calls with random pauses, one after the other, until `end_time`."""
        while time.monotonic() < end_time:
            await asyncio.sleep(self._rng.expovariate(1.0 / MEAN_THINK_TIME_S))
            if self._stream is None and self._node.is_stopping:
                # Callers open no connections to a node that is shutting down.
                continue
            await self._call()
        if self._stream is not None:
            self._stream.close()

    async def _call(self) -> None:
        self._call_count += 1
        prefix, idempotent = self._rng.choice(self._paths)
        call_id = f"{self._name}-{self._call_count}"
        call = history.CallRecord(
            call_id, self._node_number, prefix, idempotent, time.monotonic()
        )
        if self._stream is None:
            try:
                address = (self._node.host, nodes.CALLER_PORT)
                self._stream = await channel.connect(address, CONNECT_TIMEOUT_S)
            except OSError:
                # The node is down or accepts no connections; nothing was sent.
                return
            call.sent_at = time.monotonic()
        self._history.calls.append(call)
        is_abandoned = idempotent and self._rng.random() < ABANDONED_RATIO
        wait_limit_s = (
            ABANDON_AFTER_S
            if is_abandoned
            else self._history.timeout_s + TIMEOUT_MARGIN_S
        )
        try:
            async with asyncio.timeout(wait_limit_s):
                call.outcome = await self._exchange(self._stream, call)
        except TimeoutError:
            call.outcome = history.Outcome.TIMED_OUT
            if is_abandoned:
                call.outcome = history.Outcome.ABANDONED
        except (OSError, response_reader.InvalidResponse):
            call.outcome = history.Outcome.CLOSED
        call.ended_at = time.monotonic()
        if call.outcome is not history.Outcome.ANSWERED:
            self._abort_connection()

    async def _exchange(
        self, stream: channel.Channel, call: history.CallRecord
    ) -> history.Outcome:
        method, body = ("GET", b"") if call.idempotent else ("POST", b"x" * 400)
        lines = [
            f"{method} {call.path}{call.call_id} HTTP/1.1",
            "host: soak.example",
            f"{HEADER_NAMES.call_id}: {call.call_id}",
            f"{HEADER_NAMES.remaining_ms}: {int(self._history.timeout_s * 1000)}",
            f"content-length: {len(body)}",
        ]
        stream.write(http.encode_head(lines) + body)
        reader = response_reader.ResponseReader(method, 1 << 20)
        while (response := reader.next_response()) is None:
            data = await stream.receive()
            if not data:
                return history.Outcome.CLOSED
            reader.feed(data)
        call.status = response.status
        call.is_intact = _is_intact(response, call.call_id)
        if not reader.reusable:
            self._abort_connection()
        return history.Outcome.ANSWERED

    def _abort_connection(self) -> None:
        if self._stream is not None:
            self._stream.abort()
            self._stream = None


def _is_intact(response: http.Response, call_id: str) -> bool:
    headers_by_name = dict(response.headers)
    stamp = headers_by_name.get(HEADER_NAMES.stamp, "")
    if not stamp.endswith(f".{call_id}"):
        return False
    instance = stamp.removesuffix(f".{call_id}")
    return response.body == endpoints.answer_body(call_id, instance)
