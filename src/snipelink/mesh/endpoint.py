"""HTTP client for the endpoint on this machine, with a connection pool."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import math

from result import Err, Ok, Result

from snipelink import clock, errors, model
from snipelink.mesh import channel, connection_monitor, settings
from snipelink.session import headers as header_rules
from snipelink.session import http, memory, response_reader

# An endpoint on the same machine accepts a connection in about a millisecond. If its
# accept queue is full, the kernel drops the SYN, which is retransmitted after a second.
CONNECT_TIMEOUT_S = 0.5
# Longest idle time of a reused connection, also if the endpoint states a longer one.
MAX_IDLE_S = 4.0
# Longest idle time of a connection that is reused for a request that is not idempotent.
# Some servers drop idle connections without notice, and it is unknown whether a request
# sent on such a connection has run.
MAX_IDLE_NON_IDEMPOTENT_S = 1.0
# A connection is reused for this share of the idle timeout that the endpoint states.
IDLE_TIMEOUT_RATIO = 0.5
# Maximum size of one answer, and of all answers that are being read. A faulty endpoint
# may send data without end, and the smallest machines have 200 MB of memory.
MAX_ANSWER_BYTES = 1 << 24
MAX_BUFFERED_ANSWERS_BYTES = 1 << 26
MAX_IDLE_CONNECTIONS = 64
# Answer of an endpoint that is not the instance a request names; it has not run it.
MISDIRECTED_STATUS = 421
# Bounds on the answer to a health check, whose content is a few headers.
HEALTH_BODY_BYTES = 1 << 14
HEALTH_FRAMING_BYTES = 1 << 14


@dataclasses.dataclass(slots=True)
class _IdleConnection:
    """A pooled connection: idle since a monotonic time, reusable for `max_idle_s`."""

    stream: channel.Channel
    address: channel.Address
    since: float
    max_idle_s: float


@dataclasses.dataclass(slots=True)
class _ActiveConnection:
    """A connection that carries one request.

    Attributes
    ----------
    is_pooled : bool
        Whether it was taken from the pool.
    is_silent : bool
        Whether the request timed out before any byte of its answer arrived.
    """

    stream: channel.Channel
    address: channel.Address
    is_pooled: bool
    is_silent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Bounds on one answer.

    Attributes
    ----------
    max_body_bytes : int
        Maximum size of the body.
    max_framing_bytes : int
        Maximum size of heads, chunk lines and trailers.
    """

    max_body_bytes: int
    max_framing_bytes: int = response_reader.MAX_FRAMING_BYTES


HEALTH_LIMITS = AnswerLimits(HEALTH_BODY_BYTES, HEALTH_FRAMING_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRequest:
    """One HTTP request to the endpoint.

    Attributes
    ----------
    call_id : str
        Identity that the answer must echo; empty if the request carries none.
    payload : bytes
        Encoded request, up to its body.
    body : Body
        Body of the request, if it is not part of the payload.
    deadline : float
        Monotonic time in seconds by which the answer must be complete.
    idempotent : bool
        Whether the request may run more than once.
    """

    call_id: str
    method: str
    payload: bytes
    deadline: float
    idempotent: bool
    body: model.Body = b""


class EndpointClient:
    """Sends requests to one endpoint over pooled connections, one at a time on each.

    Parameters
    ----------
    address : tuple of (str, int)
        Address on which the endpoint listens.
    header_names : HeaderNames
        Names of the HTTP headers that the mesh adds or reads.
    monitor : ConnectionMonitor or None
        Opens connections and records those whose peer stops answering.
    pool : Pool or None
        Memory of answers; None for a pool of `MAX_BUFFERED_ANSWERS_BYTES`.
    limits : AnswerLimits
        Bounds on each answer.

    Attributes
    ----------
    connection_refused_at : float
        Monotonic time in seconds at which the endpoint last refused a connection,
        which means that no process was listening.
    """

    def __init__(
        self,
        address: channel.Address,
        header_names: settings.HeaderNames,
        monitor: connection_monitor.ConnectionMonitor | None = None,
        pool: memory.Pool | None = None,
        limits: AnswerLimits | None = None,
    ) -> None:
        self.address = address
        self._connection_monitor = monitor or connection_monitor.ConnectionMonitor()
        self._header_names = header_names
        self._idle_connections: collections.deque[_IdleConnection] = collections.deque()
        self._pool = pool or memory.Pool(MAX_BUFFERED_ANSWERS_BYTES)
        self._limits = limits or AnswerLimits(MAX_ANSWER_BYTES)
        # Bodies that are still being sent although their answers are complete.
        self._unfinished: set[asyncio.Task[None]] = set()
        self.connections_opened = 0
        self.unexpected_answers = 0
        self.polls_repeated = 0
        self.connection_refused_at = -math.inf

    async def send(
        self, request: EndpointRequest
    ) -> Result[http.Response, errors.Failure]:
        """Send a request and return its complete answer.

        The kind of a failure says whether the request may have run. Cancelling closes
        the connection, upon which most servers abort the request.
        """
        opened = await self._acquire(request)
        if isinstance(opened, Err):
            return opened
        return await self._send_on(opened.ok_value, request, request.deadline)

    async def poll(
        self, request: EndpointRequest, pooled_connection_timeout_s: float
    ) -> Result[http.Response, errors.Failure]:
        """Send a health poll, which the endpoint answers immediately.

        If a pooled connection brings no byte within `pooled_connection_timeout_s`, the
        poll is repeated on a new one. If that succeeds, pooled connections that have
        been idle since the poll was sent are not reused either.
        """
        opened = await self._acquire(request)
        if isinstance(opened, Err):
            return opened
        first = opened.ok_value
        sent_at = clock.now()
        deadline = request.deadline
        if first.is_pooled:
            deadline = min(deadline, sent_at + pooled_connection_timeout_s)
        outcome = await self._send_on(first, request, deadline)
        if not (first.is_pooled and first.is_silent):
            return outcome
        self.polls_repeated += 1
        opened = await self._open(request)
        if isinstance(opened, Err):
            return opened
        outcome = await self._send_on(opened.ok_value, request, request.deadline)
        if isinstance(outcome, Ok):
            role = connection_monitor.Role.ENDPOINT
            self._connection_monitor.on_silent_poll(
                role, self.address, sent_at, clock.now()
            )
        return outcome

    def close(self) -> None:
        """Close the idle connections."""
        for task in self._unfinished:
            task.cancel()
        while self._idle_connections:
            self._idle_connections.pop().stream.close()

    async def _send_on(
        self, opened: _ActiveConnection, request: EndpointRequest, deadline: float
    ) -> Result[http.Response, errors.Failure]:
        """Send a request on a connection and return its answer.

        Fails if the answer is incomplete at the monotonic time `deadline`, which may be
        earlier than the deadline of the request.
        """
        stream, sent_at = opened.stream, clock.now()
        reader = response_reader.ResponseReader(
            request.method, self._limits.max_body_bytes, self._limits.max_framing_bytes
        )
        charge = memory.PoolCharge(self._pool)
        is_returned = False
        sending: asyncio.Task[None] | None = None
        try:
            stream.write(request.payload)
            if request.body:
                sending = asyncio.ensure_future(_send_body(stream, request.body))
            reading = self._read(stream, reader, request, charge)
            outcome = await channel.run_until_deadline(deadline, reading)
            if isinstance(outcome, Ok):
                if isinstance(outcome.ok_value.body, memory.ChargedBuffer):
                    outcome.ok_value.body.charge = charge.detach()
                is_clean = reader.reusable and reader.is_idle() and stream.is_idle
                if is_clean and self._may_reuse_after(outcome.ok_value, request):
                    is_returned = True
                    self._release(opened, outcome.ok_value, sending, request.deadline)
            return outcome
        except TimeoutError:
            opened.is_silent = stream.is_idle and not reader.started
            if opened.is_silent and opened.is_pooled:
                self._connection_monitor.reuse_policy.on_possible_silence(
                    self.address, sent_at
                )
            return _fail(errors.Kind.DEADLINE_UNKNOWN, "no answer in time")
        except OSError as error:
            return self._connection_lost(reader, str(error))
        finally:
            reader.close()
            charge.release()
            if not is_returned:
                if sending is not None:
                    sending.cancel()
                stream.abort()

    async def _read(
        self,
        stream: channel.Channel,
        reader: response_reader.ResponseReader,
        request: EndpointRequest,
        charge: memory.PoolCharge,
    ) -> Result[http.Response, errors.Failure]:
        ended = False
        while True:
            response = reader.next_response()
            if response is not None:
                if self._is_answer_to(response, request.call_id):
                    return Ok(response)
                self.unexpected_answers += 1
                continue
            if ended:
                return self._connection_lost(
                    reader, "the endpoint closed the connection"
                )
            data = await stream.receive()
            if not charge.charge(len(data)):
                detail = "no memory for the answer"
                return _fail(errors.Kind.ANSWER_TOO_LARGE, detail)
            try:
                if data:
                    reader.feed(data)
                else:
                    ended = True
                    reader.feed_eof()
            except response_reader.InvalidResponse as error:
                response = reader.next_response()
                if response is not None and self._is_answer_to(
                    response, request.call_id
                ):
                    return Ok(response)
                return _fail(errors.Kind.ANSWER_INVALID, str(error))

    def _is_answer_to(self, response: http.Response, call_id: str) -> bool:
        """Whether an answer is for this request, and not a late one for another."""
        echoed = header_rules.first_value(response.headers, self._header_names.call_id)
        if echoed:
            return echoed == call_id
        if not call_id:
            return True
        # A server may refuse a request before reading its call identity, so an error
        # response need not echo it.
        return response.status >= 400

    def _may_reuse_after(
        self, response: http.Response, request: EndpointRequest
    ) -> bool:
        """Whether the connection of a valid answer may carry another call.

        A faulty endpoint may repeat an answer. A repeated refusal, or a repeated answer
        without a call identity, could be taken for the answer to the next call.
        """
        if not request.call_id:
            return True
        names = self._header_names
        echoed = header_rules.first_value(response.headers, names.call_id)
        is_refusal = response.status == MISDIRECTED_STATUS or bool(
            header_rules.first_value(response.headers, names.not_run)
        )
        return bool(echoed) and not is_refusal

    def _connection_lost(
        self, reader: response_reader.ResponseReader, detail: str
    ) -> Err[errors.Failure]:
        if reader.started:
            return _fail(errors.Kind.ANSWER_INCOMPLETE, detail)
        return _fail(errors.Kind.CONNECTION_LOST, detail)

    async def _acquire(
        self, request: EndpointRequest
    ) -> Result[_ActiveConnection, errors.Failure]:
        now = clock.now()
        while self._idle_connections:
            idle = self._idle_connections.pop()
            max_idle_s = idle.max_idle_s
            if not request.idempotent:
                max_idle_s = min(max_idle_s, MAX_IDLE_NON_IDEMPOTENT_S)
            usable = idle.stream.is_idle and now - idle.since < max_idle_s
            usable = usable and idle.address == self.address
            if usable and self._connection_monitor.reuse_policy.may_reuse(
                self.address, idle.since
            ):
                return Ok(_ActiveConnection(idle.stream, idle.address, is_pooled=True))
            if not idle.stream.is_idle:
                self.unexpected_answers += not idle.stream.is_closed
            idle.stream.close()
        return await self._open(request)

    async def _open(
        self, request: EndpointRequest
    ) -> Result[_ActiveConnection, errors.Failure]:
        timeout_s = min(CONNECT_TIMEOUT_S, request.deadline - clock.now())
        if timeout_s <= 0.0:
            return _fail(errors.Kind.DEADLINE_NOT_RUN, "no time left to connect")
        role, address = connection_monitor.Role.ENDPOINT, self.address
        try:
            stream = await self._connection_monitor.connect(role, address, timeout_s)
        except OSError as error:
            if isinstance(error, ConnectionRefusedError):
                self.connection_refused_at = clock.now()
            return _fail(errors.Kind.UNREACHABLE, f"endpoint: {error}")
        self.connections_opened += 1
        return Ok(_ActiveConnection(stream, address, is_pooled=False))

    def _release(
        self,
        opened: _ActiveConnection,
        response: http.Response,
        sending: asyncio.Task[None] | None,
        deadline: float,
    ) -> None:
        """Return a connection to the pool once the request is sent completely.

        An endpoint may answer before it has read a long body. It then reads the rest,
        which must not be cut.
        """
        if sending is None or sending.done():
            self._return_to_pool(opened, response)
            return
        finishing = asyncio.ensure_future(
            self._finish_sending(opened, response, sending, deadline)
        )
        self._unfinished.add(finishing)
        finishing.add_done_callback(self._unfinished.discard)

    async def _finish_sending(
        self,
        opened: _ActiveConnection,
        response: http.Response,
        sending: asyncio.Task[None],
        deadline: float,
    ) -> None:
        is_sent = False
        try:
            await channel.run_until_deadline(deadline, sending)
            is_sent = opened.stream.is_idle
        except TimeoutError:
            # The endpoint does not read the rest, so the connection is of no use.
            pass
        finally:
            if is_sent:
                self._return_to_pool(opened, response)
            else:
                opened.stream.abort()

    def _return_to_pool(
        self, opened: _ActiveConnection, response: http.Response
    ) -> None:
        max_idle_s = MAX_IDLE_S
        stated = header_rules.keep_alive_timeout_s(response.headers)
        if stated is not None:
            max_idle_s = min(max_idle_s, stated * IDLE_TIMEOUT_RATIO)
        if max_idle_s <= 0.0 or len(self._idle_connections) >= MAX_IDLE_CONNECTIONS:
            opened.stream.close()
            return
        idle = _IdleConnection(opened.stream, opened.address, clock.now(), max_idle_s)
        self._idle_connections.append(idle)


async def _send_body(stream: channel.Channel, body: model.Body) -> None:
    try:
        await stream.write_parts(body)
    except ConnectionError:
        # The task that reads the answer reports the end of the connection.
        pass


def encode_request(
    method: str, target: str, headers: model.Headers, body: model.Body
) -> bytes:
    """Encode a request, adding a content-length header where one is needed.

    Raises
    ------
    ValueError
        If a header contains a line break, a NUL or a character outside Latin-1.
    """
    return encode_request_head(method, target, headers, len(body)) + body


def encode_request_head(
    method: str, target: str, headers: model.Headers, body_bytes: int
) -> bytes:
    """Encode a request up to its body of `body_bytes` bytes.

    Raises
    ------
    ValueError
        If a header contains a line break, a NUL or a character outside Latin-1.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body_bytes or method in ("POST", "PUT", "PATCH"):
        lines.append(f"content-length: {body_bytes}")
    return http.encode_head(lines)


def _fail(kind: errors.Kind, detail: str) -> Err[errors.Failure]:
    return Err(errors.Failure(kind, detail))
