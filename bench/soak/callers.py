"""Callers that keep their connections until these are closed on them."""

from __future__ import annotations

import asyncio
import random
import time

from bench.soak import endpoints, history, nodes
from snipelink.mesh import channel
from snipelink.session import http, response_reader

NAMES = endpoints.NAMES
CONNECT_TIMEOUT_S = 0.5
# Mean time between two calls of a caller, seconds.
MEAN_PAUSE_S = 0.08
# Share of calls whose caller leaves before the answer, and how soon, seconds.
LEAVING_SHARE = 0.04
LEAVING_S = 0.02
# Time after the limit for which a caller still waits, seconds.
PATIENCE_S = 1.0


class Caller:
    """One caller, on the machine of one node."""

    def __init__(
        self,
        name: str,
        number: int,
        node: nodes.Node,
        paths: list[tuple[str, bool]],
        seen: history.History,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._number = number
        self._node = node
        # Prefixes and whether their calls may run more than once; may grow.
        self._paths = paths
        self._seen = seen
        self._rng = rng
        self._stream: channel.Channel | None = None
        self._count = 0

    async def run(self, until: float) -> None:
        """Call again and again; each call has ended before the next one."""
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.expovariate(1.0 / MEAN_PAUSE_S))
            if self._stream is None and self._node.is_stopping:
                # Machines get no new connections while their node stops.
                continue
            await self._call()
        if self._stream is not None:
            self._stream.close()

    async def _call(self) -> None:
        self._count += 1
        prefix, idempotent = self._rng.choice(self._paths)
        call_id = f"{self._name}-{self._count}"
        sent = history.Sent(call_id, self._number, prefix, idempotent, time.monotonic())
        if self._stream is None:
            try:
                address = (self._node.host, nodes.CALLER_PORT)
                self._stream = await channel.connect(address, CONNECT_TIMEOUT_S)
            except OSError:
                # The node is down or does not accept; nothing was sent.
                return
            sent.sent_at = time.monotonic()
        self._seen.sent.append(sent)
        leaves = idempotent and self._rng.random() < LEAVING_SHARE
        patience_s = LEAVING_S if leaves else self._seen.timeout_s + PATIENCE_S
        try:
            async with asyncio.timeout(patience_s):
                sent.ending = await self._exchange(self._stream, sent)
        except TimeoutError:
            sent.ending = history.Ending.TIMED_OUT
            if leaves:
                sent.ending = history.Ending.LEFT
        except (OSError, response_reader.InvalidResponse):
            sent.ending = history.Ending.CLOSED
        sent.ended_at = time.monotonic()
        if sent.ending is not history.Ending.ANSWERED:
            self._drop()

    async def _exchange(
        self, stream: channel.Channel, sent: history.Sent
    ) -> history.Ending:
        method, body = ("GET", b"") if sent.idempotent else ("POST", b"x" * 400)
        lines = [
            f"{method} {sent.path}{sent.call_id} HTTP/1.1",
            "host: soak.example",
            f"{NAMES.call_id}: {sent.call_id}",
            f"{NAMES.remaining_ms}: {int(self._seen.timeout_s * 1000)}",
            f"content-length: {len(body)}",
        ]
        stream.write(http.encode_head(lines) + body)
        reader = response_reader.ResponseReader(method, 1 << 20)
        while (response := reader.next_response()) is None:
            data = await stream.receive()
            if not data:
                return history.Ending.CLOSED
            reader.feed(data)
        sent.status = response.status
        sent.is_intact = _is_intact(response, sent.call_id)
        if not reader.reusable:
            self._drop()
        return history.Ending.ANSWERED

    def _drop(self) -> None:
        if self._stream is not None:
            self._stream.abort()
            self._stream = None


def _is_intact(response: http.Response, call_id: str) -> bool:
    fields = dict(response.headers)
    stamp = fields.get(NAMES.stamp, "")
    if not stamp.endswith(f".{call_id}"):
        return False
    instance = stamp.removesuffix(f".{call_id}")
    return response.body == endpoints.body_of(call_id, instance)
