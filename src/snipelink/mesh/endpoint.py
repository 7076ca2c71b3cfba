"""HTTP client of the endpoint on this machine, over kept connections."""

from __future__ import annotations

import collections
import dataclasses
import math

from result import Err, Ok, Result

from snipelink import clock, errors, model
from snipelink.mesh import channel, connection_monitor, settings
from snipelink.session import headers as header_rules
from snipelink.session import http, memory, response_reader

# An endpoint on the same machine accepts in about a millisecond; a full one drops
# the opening packet, which is sent again after a second.
CONNECT_TIMEOUT_S = 0.5
# Idle time after which a connection is not used again when the endpoint names none.
DEFAULT_MAX_IDLE_S = 4.0
# Some servers forget idle connections without notice, and a request sent on one has
# perhaps run. A call that may run only once uses connections that were just in use.
MAX_IDLE_NON_IDEMPOTENT_S = 1.0
# Share of the idle time named by an endpoint for which a connection is kept.
IDLE_TIMEOUT_RATIO = 0.5
# Largest answer, and bytes of all answers that are being read; an endpoint in trouble
# may send bytes without end, and the smallest machines have 200 MB.
MAX_ANSWER_BYTES = 1 << 24
MAX_BUFFERED_ANSWERS_BYTES = 1 << 26
MAX_IDLE_CONNECTIONS = 64


@dataclasses.dataclass(slots=True)
class _Kept:
    """An idle connection, since a monotonic time, usable for some seconds."""

    stream: channel.Channel
    address: channel.Address
    since: float
    limit_s: float


@dataclasses.dataclass(slots=True)
class _Opened:
    """A connection for one request, and whether its time passed without a byte."""

    stream: channel.Channel
    address: channel.Address
    is_kept: bool
    is_silent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRequest:
    """One request for the endpoint.

    Attributes
    ----------
    call_id : str
        Identity that the answer must echo; empty if the request has none.
    deadline : float
        Monotonic time in seconds by which the answer must be complete.
    idempotent : bool
        Whether the request may run twice.
    """

    call_id: str
    method: str
    payload: bytes
    deadline: float
    idempotent: bool


class EndpointClient:
    """Sends requests to one endpoint, one at a time on a connection.

    Parameters
    ----------
    address : tuple of (str, int)
        Where the endpoint listens.
    names : HeaderNames
        Names of the mesh's own headers.
    silent : ConnectionMonitor or None
        Receives connections that go silent.

    Attributes
    ----------
    connection_refused_at : float
        Monotonic time in seconds at which the endpoint last refused a connection:
        there is no process that listens.
    """

    def __init__(
        self,
        address: channel.Address,
        names: settings.HeaderNames,
        silent: connection_monitor.ConnectionMonitor | None = None,
    ) -> None:
        self.address = address
        self._connection_monitor = silent or connection_monitor.ConnectionMonitor()
        self._names = names
        self._kept: collections.deque[_Kept] = collections.deque()
        self._pool = memory.Pool(MAX_BUFFERED_ANSWERS_BYTES)
        self.connections_opened = 0
        self.unexpected_answers = 0
        self.polls_repeated = 0
        self.connection_refused_at = -math.inf

    async def send(
        self, exchange: EndpointRequest
    ) -> Result[http.Response, errors.Failure]:
        """Return the complete answer to a request.

        A failure's kind tells whether the request may have run. Cancelling closes the
        connection, which makes most servers drop the request.
        """
        opened = await self._acquire(exchange)
        if isinstance(opened, Err):
            return opened
        return await self._exchange(opened.ok_value, exchange, exchange.deadline)

    async def poll(
        self, exchange: EndpointRequest, patience_s: float
    ) -> Result[http.Response, errors.Failure]:
        """Return the complete answer to a request that is answered at once.

        A kept connection that is silent for `patience_s` is given up for a new one. If
        that brings the answer, kept connections are not trusted.
        """
        opened = await self._acquire(exchange)
        if isinstance(opened, Err):
            return opened
        first = opened.ok_value
        sent_at = clock.now()
        until = exchange.deadline
        if first.is_kept:
            until = min(until, sent_at + patience_s)
        outcome = await self._exchange(first, exchange, until)
        if not (first.is_kept and first.is_silent):
            return outcome
        self.polls_repeated += 1
        opened = await self._open(exchange)
        if isinstance(opened, Err):
            return opened
        outcome = await self._exchange(opened.ok_value, exchange, exchange.deadline)
        if isinstance(outcome, Ok):
            role = connection_monitor.Role.ENDPOINT
            self._connection_monitor.on_silent_poll(
                role, self.address, sent_at, clock.now()
            )
        return outcome

    def close(self) -> None:
        """Close the idle connections."""
        while self._kept:
            self._kept.pop().stream.close()

    async def _exchange(
        self, opened: _Opened, exchange: EndpointRequest, until: float
    ) -> Result[http.Response, errors.Failure]:
        """Return the answer on a connection, if it is complete by a monotonic time."""
        stream, sent_at = opened.stream, clock.now()
        reader = response_reader.ResponseReader(exchange.method, MAX_ANSWER_BYTES)
        charge = memory.PoolCharge(self._pool)
        kept = False
        try:
            stream.write(exchange.payload)
            reading = self._read(stream, reader, exchange, charge)
            outcome = await channel.run_until_deadline(until, reading)
            if isinstance(outcome, Ok) and reader.reusable and reader.is_idle():
                kept = stream.is_idle
                if kept:
                    self._keep(opened, outcome.ok_value)
            return outcome
        except TimeoutError:
            opened.is_silent = stream.is_idle and not reader.started
            if opened.is_silent and opened.is_kept:
                self._connection_monitor.trust.on_possible_silence(
                    self.address, sent_at
                )
            return _fail(errors.Kind.DEADLINE_UNKNOWN, "no answer in time")
        except OSError as error:
            return self._lost(reader, str(error))
        finally:
            charge.release()
            if not kept:
                stream.abort()

    async def _read(
        self,
        stream: channel.Channel,
        reader: response_reader.ResponseReader,
        exchange: EndpointRequest,
        charge: memory.PoolCharge,
    ) -> Result[http.Response, errors.Failure]:
        ended = False
        while True:
            response = reader.next_response()
            if response is not None:
                if self._belongs(response, exchange.call_id):
                    return Ok(response)
                self.unexpected_answers += 1
                continue
            if ended:
                return self._lost(reader, "the endpoint closed the connection")
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
                if response is not None and self._belongs(response, exchange.call_id):
                    return Ok(response)
                return _fail(errors.Kind.ANSWER_INVALID, str(error))

    def _belongs(self, response: http.Response, call_id: str) -> bool:
        """Whether an answer is for this request; a late one of another is not."""
        echoed = header_rules.first_value(response.headers, self._names.call_id)
        if echoed:
            return echoed == call_id
        if not call_id:
            return True
        # Servers that refuse a request need not know whose it was.
        return response.status >= 400

    def _lost(
        self, reader: response_reader.ResponseReader, detail: str
    ) -> Err[errors.Failure]:
        if reader.started:
            return _fail(errors.Kind.ANSWER_INCOMPLETE, detail)
        return _fail(errors.Kind.CONNECTION_LOST, detail)

    async def _acquire(
        self, exchange: EndpointRequest
    ) -> Result[_Opened, errors.Failure]:
        now = clock.now()
        while self._kept:
            kept = self._kept.pop()
            limit_s = kept.limit_s
            if not exchange.idempotent:
                limit_s = min(limit_s, MAX_IDLE_NON_IDEMPOTENT_S)
            usable = kept.stream.is_idle and now - kept.since < limit_s
            usable = usable and kept.address == self.address
            if usable and self._connection_monitor.trust.may_reuse(
                self.address, kept.since
            ):
                return Ok(_Opened(kept.stream, kept.address, is_kept=True))
            if not kept.stream.is_idle:
                self.unexpected_answers += not kept.stream.is_closed
            kept.stream.close()
        return await self._open(exchange)

    async def _open(self, exchange: EndpointRequest) -> Result[_Opened, errors.Failure]:
        timeout_s = min(CONNECT_TIMEOUT_S, exchange.deadline - clock.now())
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
        return Ok(_Opened(stream, address, is_kept=False))

    def _keep(self, opened: _Opened, response: http.Response) -> None:
        limit_s = DEFAULT_MAX_IDLE_S
        stated = header_rules.keep_alive_timeout_s(response.headers)
        if stated is not None:
            limit_s = min(limit_s, stated * IDLE_TIMEOUT_RATIO)
        if limit_s <= 0.0 or len(self._kept) >= MAX_IDLE_CONNECTIONS:
            opened.stream.close()
            return
        kept = _Kept(opened.stream, opened.address, clock.now(), limit_s)
        self._kept.append(kept)


def encode_request(
    method: str, target: str, headers: model.Headers, body: bytes
) -> bytes:
    """Return the bytes of a request with its framing header.

    Raises
    ------
    ValueError
        If a header cannot be written in one line.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"content-length: {len(body)}")
    return http.encode_head(lines) + body


def _fail(kind: errors.Kind, detail: str) -> Err[errors.Failure]:
    return Err(errors.Failure(kind, detail))
