"""Stand-in endpoints: run calls in slots and misbehave on demand."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable

import platform_names

from bench.soak import history
from snipelink.mesh import channel, published_state
from snipelink.session import http, memory, request_reader

NAMES = platform_names.HEADER_NAMES
SLOTS = 4
WORK_S = 0.04
SLOWNESS = 7.0
# Share of calls that misbehave while an endpoint is told to.
MISBEHAVING_SHARE = 0.4


def body_of(call_id: str, instance: str) -> bytes:
    """Return the only right body of an answer."""
    return f"{call_id} by {instance}\n".encode() * 20


class Endpoint:
    """One server process of a machine; a replacement gets a new identity.

    Attributes
    ----------
    active_fault : str
        ``slow``, ``refuse``, ``break-off``, ``mute``, or empty.
    """

    def __init__(self, address: channel.Address, seen: history.History) -> None:
        self._address = address
        self._seen = seen
        self._listener: channel.Listener | None = None
        self._running = 0
        self._count = 0
        self._starts = 0
        self.instance = ""
        self.active_fault = ""

    async def start(self) -> None:
        """Listen as a new process."""
        self._starts += 1
        self.instance = f"i-{self._address[0]}-{self._starts}"
        self._running = 0
        self._listener = await channel.listen(self._address, self._serve, 64)

    def stop(self) -> None:
        """End at once."""
        if self._listener is not None:
            self._listener.close()

    async def _serve(self, stream: channel.Channel) -> None:
        charge = memory.PoolCharge(memory.Pool(1 << 20))
        reader = request_reader.RequestReader(published_state.CallerLimits(), charge)
        instance = self.instance
        try:
            while data := await stream.receive():
                reader.feed(data)
                while (request := reader.next_request()) is not None:
                    await self._answer(stream, request, instance)
        except ConnectionError:
            # The node gave the call up.
            return

    async def _answer(
        self, stream: channel.Channel, request: http.Request, instance: str
    ) -> None:
        if request.path == "/healthz":
            fields = [(NAMES.instance, instance), (NAMES.load, self._load())]
            response = http.Response(200, fields, b"")
            stream.write(http.encode_response(response, "GET", True))
            return
        expected = request.header(NAMES.expected_instance)
        call_id = request.header(NAMES.call_id)
        fault = self._fault_of_call()
        if expected not in ("", instance):
            self._refuse(stream, call_id, 421)
        elif fault == "refuse" or self._running >= SLOTS:
            self._refuse(stream, call_id, 503)
        else:
            await self._run(stream, call_id, instance, fault)

    async def _run(
        self, stream: channel.Channel, call_id: str, instance: str, fault: str
    ) -> None:
        self._seen.ran.append(history.Ran(call_id, instance, time.monotonic()))
        self._running += 1
        try:
            work = asyncio.sleep(
                WORK_S * (SLOWNESS if self.active_fault == "slow" else 1.0)
            )
            if await channel.run_while_open(stream, _done(work)) is None:
                return
        finally:
            self._running -= 1
        if fault == "mute":
            await stream.input_ended.wait()
            return
        body = body_of(call_id, instance)
        fields = [
            (NAMES.call_id, call_id),
            (NAMES.stamp, f"{instance}.{call_id}"),
            (NAMES.load, self._load()),
        ]
        answer = http.encode_response(http.Response(200, fields, body), "GET", True)
        if fault == "break-off":
            stream.write(answer[: len(answer) // 2])
            stream.close()
            return
        stream.write(answer)

    def _refuse(self, stream: channel.Channel, call_id: str, status: int) -> None:
        fields = [(NAMES.call_id, call_id), (NAMES.not_run, "1")]
        if status == 421:
            fields.append((NAMES.instance, self.instance))
        response = http.Response(status, fields, b"")
        stream.write(http.encode_response(response, "GET", True))

    def _fault_of_call(self) -> str:
        self._count += 1
        share = self._count * MISBEHAVING_SHARE
        return self.active_fault if int(share) != int(share - MISBEHAVING_SHARE) else ""

    def _load(self) -> str:
        slowness = SLOWNESS if self.active_fault == "slow" else 1.0
        return f"{self._running},0,{SLOTS},{int(slowness * 100)}"


async def _done(work: Awaitable[None]) -> bool:
    await work
    return True
