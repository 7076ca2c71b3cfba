"""Simulated endpoints that run calls in slots and inject faults on demand."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable

import platform_names

from bench.soak import history
from snipelink.mesh import channel, published_state
from snipelink.session import http, memory, request_reader

HEADER_NAMES = platform_names.HEADER_NAMES
# Calls that an endpoint runs at a time, and duration of a call.
SLOTS = 4
WORK_S = 0.04
# Factor of the duration of calls while the fault ``slow`` is active.
SLOWDOWN_FACTOR = 7.0
MAX_BODY_BYTES = 1 << 27
ENDLESS_BLOCK = bytes(1 << 18)
# Share of calls that a fault affects while it is active.
FAULTY_CALL_RATIO = 0.4


def answer_body(call_id: str, instance: str) -> bytes:
    """Return the only valid body of the answer to a call."""
    return f"{call_id} by {instance}\n".encode() * 20


class Endpoint:
    """Server on one machine; each start gives it the identity of a new process.

    Attributes
    ----------
    instance : str
        Identity of the simulated process.
    active_fault : str
        ``slow``, ``refuse`` (status 503), ``break-off`` (connection closed within the
        answer), ``mute`` (call run but not answered), ``endless`` or
        ``endless-health`` (body without end in place of an answer to a call or to a
        health check), ``repeat-refusals`` (like ``refuse``, and the refusal is written
        once more before the answer to the next call), ``cut-heads`` (connection closed
        within the head of an answer), or empty.
    """

    def __init__(
        self, address: channel.Address, service: str, recorded: history.History
    ) -> None:
        self._address = address
        self._service = service
        self._history = recorded
        self._listener: channel.Listener | None = None
        self._running = 0
        self._call_count = 0
        self._start_count = 0
        self._refused_streams: set[channel.Channel] = set()
        self.instance = ""
        self.active_fault = ""

    async def start(self) -> None:
        """Start to listen, as a process with a new identity."""
        self._start_count += 1
        self.instance = f"i-{self._address[0]}-{self._start_count}"
        self._running = 0
        self._listener = await channel.listen(self._address, self._serve, 64)

    def stop(self) -> None:
        """Close the listener and all connections at once."""
        if self._listener is not None:
            self._listener.close()

    async def _serve(self, stream: channel.Channel) -> None:
        instance, is_open = self.instance, True
        while is_open:
            # A connection serves many requests; the charge of each ends with it.
            pool = memory.Pool(MAX_BODY_BYTES)
            reader = request_reader.RequestReader(
                published_state.CallerLimits(), memory.PoolCharge(pool)
            )
            try:
                is_open = await self._serve_request(stream, reader, instance)
            except ConnectionError:
                # The node closed the connection, because it gave up the call.
                return
            finally:
                reader.close()
        self._refused_streams.discard(stream)

    async def _serve_request(
        self,
        stream: channel.Channel,
        reader: request_reader.RequestReader,
        instance: str,
    ) -> bool:
        """Serve one request; nodes send the next one after its answer."""
        while (request := reader.next_request()) is None:
            data = await stream.receive()
            if not data:
                return False
            reader.feed(data)
        await self._answer(stream, request, instance)
        return True

    async def _answer(
        self, stream: channel.Channel, request: http.Request, instance: str
    ) -> None:
        if request.path == "/healthz" and self.active_fault == "endless-health":
            await _send_without_end(stream)
        if request.path == "/healthz":
            headers = [
                (HEADER_NAMES.instance, instance),
                (HEADER_NAMES.load, self._load_header()),
            ]
            response = http.Response(200, headers, b"")
            stream.write(http.encode_response(response, "GET", True))
            return
        expected = request.header(HEADER_NAMES.expected_instance)
        call_id = request.header(HEADER_NAMES.call_id)
        fault = self._fault_of_call()
        if stream in self._refused_streams:
            self._refused_streams.discard(stream)
            self._refuse(stream, "", 503)
        if expected not in ("", instance):
            self._refuse(stream, call_id, 421)
        elif self.active_fault == "endless":
            await _send_without_end(stream)
        elif fault == "repeat-refusals":
            self._refused_streams.add(stream)
            self._refuse(stream, "", 503)
        elif fault == "refuse" or self._running >= SLOTS:
            self._refuse(stream, call_id, 503)
        else:
            await self._run(stream, call_id, instance, fault)

    async def _run(
        self, stream: channel.Channel, call_id: str, instance: str, fault: str
    ) -> None:
        self._history.executions.append(
            history.Execution(call_id, instance, time.monotonic(), self._service)
        )
        self._running += 1
        try:
            work = asyncio.sleep(
                WORK_S * (SLOWDOWN_FACTOR if self.active_fault == "slow" else 1.0)
            )
            if await channel.run_while_open(stream, _return_true_after(work)) is None:
                return
        finally:
            self._running -= 1
        if fault == "mute":
            await stream.input_ended.wait()
            return
        body = answer_body(call_id, instance)
        headers = [
            (HEADER_NAMES.call_id, call_id),
            (HEADER_NAMES.stamp, f"{instance}.{call_id}"),
            (HEADER_NAMES.load, self._load_header()),
        ]
        answer = http.encode_response(http.Response(200, headers, body), "GET", True)
        if fault == "break-off":
            stream.write(answer[: len(answer) // 2])
            stream.close()
            return
        if fault == "cut-heads":
            stream.write(answer[: answer.index(b"\r\n\r\n") // 2])
            stream.close()
            return
        stream.write(answer)

    def _refuse(self, stream: channel.Channel, call_id: str, status: int) -> None:
        headers = [(HEADER_NAMES.not_run, "1")]
        if call_id:
            headers.append((HEADER_NAMES.call_id, call_id))
        if status == 421:
            headers.append((HEADER_NAMES.instance, self.instance))
        response = http.Response(status, headers, b"")
        stream.write(http.encode_response(response, "GET", True))

    def _fault_of_call(self) -> str:
        self._call_count += 1
        faulty_calls = self._call_count * FAULTY_CALL_RATIO
        return (
            self.active_fault
            if int(faulty_calls) != int(faulty_calls - FAULTY_CALL_RATIO)
            else ""
        )

    def _load_header(self) -> str:
        slowness = SLOWDOWN_FACTOR if self.active_fault == "slow" else 1.0
        return f"{self._running},0,{SLOTS},{int(slowness * 100)}"


async def _send_without_end(stream: channel.Channel) -> None:
    """Send a body without end; raises ``ConnectionError`` once the node closes."""
    stream.write(b"HTTP/1.1 200 OK\r\n\r\n")
    while True:
        await stream.write_parts(ENDLESS_BLOCK)
        await asyncio.sleep(0)


async def _return_true_after(work: Awaitable[None]) -> bool:
    await work
    return True
