"""Open-loop load generator: sends calls at planned times, independently of answers."""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import hashlib
import json
import math
import random
import time
from collections.abc import Callable, Sequence

import httptools

from bench import endpoint

CALLER_TIMEOUT_S = 5.0
MAX_CONNECTIONS_PER_ENTRY = 200
ANSWER_SIZES_BYTES = (0, 100, 3000)
BODY_SIZES_BYTES = (0, 10, 1000)
# Appended to the token of a call for its repeat with the same idempotency key.
REPEAT_SUFFIX = "r"


@dataclasses.dataclass(frozen=True, slots=True)
class CallKind:
    """Kind of call in a mix.

    Attributes
    ----------
    share : float
        Weight with which this kind is drawn, relative to the others of the mix.
    weight : int
        Value of one answered call in the goodput.
    keyed : bool
        Whether the calls have an idempotency key.
    """

    service: str
    operation: str
    method: str
    path: str
    idempotent: bool
    share: float = 1.0
    weight: int = 1
    keyed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedCall:
    """One call that will be sent.

    Attributes
    ----------
    offset_s : float
        Time at which the call is due, in seconds after the start of the run.
    entry : str
        Name of the node to which the caller sends the call.
    mark : str
        Value of ``Bench-Mark``; ``crash`` for a poison request.
    repeat_of : str
        Token of the call that this call repeats with the same idempotency key.
    """

    token: str
    offset_s: float
    entry: str
    kind: CallKind
    body: bytes = b""
    key: str = ""
    mark: str = ""
    answer_bytes: int = 0
    timeout_s: float = CALLER_TIMEOUT_S
    repeat_of: str = ""


@dataclasses.dataclass(slots=True)
class CallRecord:
    """What the caller observed of one call; times are of the monotonic clock.

    Attributes
    ----------
    outcome : str
        ``answered``, ``refused`` (with an error kind), ``gave-up`` (timeout of the
        caller) or ``lost`` (connection failed or closed).
    intended_at : float
        Time at which the call was due. Latencies start here and not at `sent_at`, so
        that a stall also counts for the calls that it delays.
    answered_token : str
        Token of the call whose answer arrived; a call with an idempotency key may
        receive the answer to its repeat.
    """

    token: str
    service: str
    operation: str
    idempotent: bool
    entry: str
    intended_at: float
    weight: int = 1
    key: str = ""
    sent_at: float = 0.0
    finished_at: float = 0.0
    outcome: str = "lost"
    status: int = 0
    error: str = ""
    ran: str = ""
    retry_after: str = ""
    endpoint: str = ""
    mark: str = ""
    body_valid: bool = True
    answered_token: str = ""
    detail: str = ""

    @property
    def latency_s(self) -> float:
        """Return the seconds from the intended time to the end of the call."""
        return self.finished_at - self.intended_at


def poisson_arrivals(rng: random.Random, rate: float, duration_s: float) -> list[float]:
    """Return the arrival times of a Poisson process."""
    times = []
    now = rng.expovariate(rate)
    while now < duration_s:
        times.append(now)
        now += rng.expovariate(rate)
    return times


def constant_arrivals(rate: float, duration_s: float) -> list[float]:
    """Return arrival times at a constant rate."""
    return [index / rate for index in range(math.floor(rate * duration_s))]


def plan_calls(
    seed: int,
    times: Sequence[float],
    kinds: Sequence[CallKind],
    entries: Sequence[str],
    repeat_ratio: float = 0.0,
) -> list[PlannedCall]:
    """Return calls at `times`; equal arguments give equal calls but for issue times.

    Parameters
    ----------
    entries : sequence of str
        Names of the nodes to which callers send; each call uses a random one.
    repeat_ratio : float
        Share of the calls with an idempotency key that the caller repeats through a
        randomly chosen node, at the same time or up to 300 ms later.
    """
    rng = random.Random(f"plan/{seed}")
    issued_ms = int(time.time() * 1000)
    shares = [kind.share for kind in kinds]
    planned = []
    for index, at in enumerate(times):
        kind = rng.choices(kinds, shares)[0]
        key = (
            f"{issued_ms + int(at * 1000)}-{seed:04d}-{index:08d}" if kind.keyed else ""
        )
        first = PlannedCall(
            f"t{seed}-{index}",
            at,
            rng.choice(entries),
            kind,
            rng.randbytes(rng.choice(BODY_SIZES_BYTES))
            if kind.method == "POST"
            else b"",
            key,
            answer_bytes=rng.choice(ANSWER_SIZES_BYTES),
        )
        planned.append(first)
        if key and rng.random() < repeat_ratio:
            repeat = dataclasses.replace(
                first,
                token=f"{first.token}{REPEAT_SUFFIX}",
                offset_s=at + rng.choice((0.0, 0.01, 0.3)),
                entry=rng.choice(entries),
                repeat_of=first.token,
            )
            planned.append(repeat)
    return sorted(planned, key=lambda call: call.offset_s)


class _Connection(asyncio.Protocol):
    """Client side of a keep-alive connection that carries one call at a time."""

    def __init__(self) -> None:
        self.closed = False
        self.answer_future: asyncio.Future[bool] | None = None
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers_by_name: dict[str, str] = {}
        self.chunks: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.answer_future and not self.answer_future.done():
            self.answer_future.set_result(False)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers_by_name[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self.chunks.append(data)

    def on_message_complete(self) -> None:
        if not self.parser.should_keep_alive():
            self.closed = True
        if self.answer_future and not self.answer_future.done():
            self.answer_future.set_result(True)

    def send(self, payload: bytes) -> asyncio.Future[bool]:
        """Send a request; the future resolves to whether the answer was complete."""
        self._reset()
        self.answer_future = asyncio.get_running_loop().create_future()
        self.transport.write(payload)
        return self.answer_future


class Runner:
    """Sends planned calls and records what their callers observe.

    Parameters
    ----------
    addresses_by_entry : dict of str to str
        Address at which each node accepts calls, by the name of the node.
    hosts_by_service : dict of str to str
        Host header of the calls to each service.
    """

    def __init__(
        self, addresses_by_entry: dict[str, str], hosts_by_service: dict[str, str]
    ) -> None:
        self._addresses_by_entry = addresses_by_entry
        self._hosts_by_service = hosts_by_service
        self._idle_by_entry: dict[str, list[_Connection]] = {}
        self._connection_limits_by_entry: dict[str, asyncio.Semaphore] = {}
        self.records: list[CallRecord] = []

    def run(
        self,
        calls: Sequence[PlannedCall],
        actions: Sequence[tuple[float, Callable[[], object]]] = (),
    ) -> list[CallRecord]:
        """Send `calls`, and run each of `actions` in a thread at its offset.

        Garbage is collected and frozen first, so that collector pauses don't add to
        the measured latencies.
        """
        gc.collect()
        gc.freeze()
        asyncio.run(self._run(calls, actions))
        return self.records

    async def _run(
        self,
        calls: Sequence[PlannedCall],
        actions: Sequence[tuple[float, Callable[[], object]]],
    ) -> None:
        start = time.monotonic() + 0.05
        actions_running = [
            asyncio.create_task(self._run_action(start, *item)) for item in actions
        ]
        running = []
        for call in calls:
            delay = start + call.offset_s - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            running.append(
                asyncio.create_task(self._send_call(call, start + call.offset_s))
            )
        await asyncio.gather(*running, *actions_running)
        for connections in self._idle_by_entry.values():
            for connection in connections:
                connection.transport.close()

    async def _run_action(
        self, start: float, at: float, action: Callable[[], object]
    ) -> None:
        await asyncio.sleep(start + at - time.monotonic())
        await asyncio.to_thread(action)

    async def _send_call(self, call: PlannedCall, intended_at: float) -> None:
        kind = call.kind
        record = CallRecord(
            call.token,
            kind.service,
            kind.operation,
            kind.idempotent,
            call.entry,
            intended_at,
            kind.weight,
            call.key,
            mark=call.mark,
        )
        self.records.append(record)
        limit = self._connection_limits_by_entry.setdefault(
            call.entry, asyncio.Semaphore(MAX_CONNECTIONS_PER_ENTRY)
        )
        try:
            async with asyncio.timeout(call.timeout_s), limit:
                await self._exchange(call, record)
        except TimeoutError:
            record.outcome = "gave-up"
        except OSError as error:
            record.detail = str(error)
        record.finished_at = time.monotonic()

    async def _exchange(self, call: PlannedCall, record: CallRecord) -> None:
        connection = await self._acquire(call.entry)
        record.sent_at = time.monotonic()
        complete = False
        try:
            complete = await connection.send(self._encode(call))
        finally:
            if not complete:
                connection.transport.abort()
        if not complete:
            record.detail = "connection closed before the answer was complete"
            return
        _record_answer(call, connection, record)
        if not connection.closed:
            self._idle_by_entry.setdefault(call.entry, []).append(connection)

    async def _acquire(self, entry: str) -> _Connection:
        idle = self._idle_by_entry.get(entry, [])
        while idle:
            connection = idle.pop()
            if not connection.closed:
                return connection
        host, port = self._addresses_by_entry[entry].rsplit(":", 1)
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(_Connection, host, int(port))
        return connection

    def _encode(self, call: PlannedCall) -> bytes:
        kind = call.kind
        fields = {
            "host": self._hosts_by_service[kind.service],
            "content-length": str(len(call.body)),
            "bench-token": call.token,
            "bench-operation": kind.operation,
            "bench-answer-bytes": str(call.answer_bytes),
        }
        if call.key:
            fields["idempotency-key"] = call.key
        if call.mark:
            fields["bench-mark"] = call.mark
        lines = [f"{kind.method} {request_target(call)} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + call.body


def request_target(call: PlannedCall) -> str:
    """Return the request target of a call.

    All calls with the same mark share one target: repeats of one poison request.
    """
    return call.kind.path.replace("{id}", call.mark or call.token)


def _record_answer(
    call: PlannedCall, connection: _Connection, record: CallRecord
) -> None:
    fields = connection.headers_by_name
    record.status = connection.parser.get_status_code()
    record.error = fields.get("snipelink-error", "")
    record.ran = fields.get("snipelink-ran", "")
    record.retry_after = fields.get("retry-after", "")
    if record.error:
        record.outcome = "refused"
        return
    record.outcome = "answered"
    content = b"".join(connection.chunks)
    record.answered_token, record.endpoint = _match_answer(call, content)
    record.body_valid = bool(record.answered_token)


def _match_answer(call: PlannedCall, content: bytes) -> tuple[str, str]:
    """Return the token of the call that an answer belongs to, and the endpoint.

    Calls with the same idempotency key may receive each other's answer. The token is
    empty if the answer is incomplete or belongs to another call.
    """
    try:
        fields = json.loads(content)
    except ValueError:
        return "", ""
    name = fields.pop("endpoint", "") if isinstance(fields, dict) else ""
    tokens = [call.token]
    if call.key:
        first = call.repeat_of or call.token
        tokens = [first, f"{first}{REPEAT_SUFFIX}"]
    matching_tokens = [
        token for token in tokens if fields == _expected_fields(call, token)
    ]
    return (matching_tokens[0] if matching_tokens else ""), name


def _expected_fields(call: PlannedCall, token: str) -> dict[str, object]:
    return {
        "target": request_target(call),
        "size": len(call.body),
        "digest": hashlib.sha256(call.body).hexdigest(),
        "token": token,
        "filler": endpoint.filler(token, call.answer_bytes),
    }


def quantile(values: Sequence[float], share: float) -> float:
    """Return the quantile of `values` at `share`, or 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
