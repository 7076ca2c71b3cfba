"""Port of the callers on this machine: reads requests and writes answers in order."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging
from collections.abc import Callable

from snipelink import clock, errors
from snipelink.decide import draining
from snipelink.mesh import channel, dispatch, published_state, settings
from snipelink.observe import metrics
from snipelink.session import http, memory, request_reader

logger = logging.getLogger(__name__)

ACCEPT_BACKLOG = 1024
# Requests of one connection that are held; further ones wait in the kernel's buffer.
MAX_PENDING = draining.MAX_UNANSWERED_REQUESTS
# Time for which a caller may go on reading the last answer of a connection.
LINGER_S = 1.0
# A caller may acknowledge nothing for seconds on a lossy or choked link, or read
# slowly. Its connection outlives the longest open request by far, whose deadline
# bounds the work: twice `dispatch.DEFAULT_REMAINING_MS`.
KEEPALIVE = channel.KeepAlive(idle_s=15, interval_s=15, count=4, user_timeout_ms=60_000)
# Bytes of request bodies held at once, a share of the smallest machine's memory.
MAX_BODY_BYTES = 1 << 26
# Time after which a caller may find memory for its body, seconds: that of a call.
BODY_RETRY_AFTER_S = 0.5
# Request that has been read only in part is looked at again after this time.
LOOK_S = 0.25
# Least time between two looks at an idle connection: bytes that were received are read.
MIN_CHECK_INTERVAL_S = 0.01


@dataclasses.dataclass(slots=True, eq=False)
class _Pending:
    """A request that has been read, and the task that answers it once started.

    `body` is the memory of what was read of its body.
    """

    request: http.Request | None
    arrived_at: float
    body: memory.PoolCharge
    refused: errors.Failure | None = None
    task: asyncio.Task[http.Response] | None = None


class _WidestLimits:
    """Limits of one connection: of each, the widest that has been in force.

    Callers go by the newest configuration, or by the one before until they know it.

    Parameters
    ----------
    in_force : callable
        Returns the limits in force.
    """

    def __init__(self, in_force: Callable[[], published_state.CallerLimits]) -> None:
        self._in_force = in_force
        self._widest = self._last = in_force()

    @property
    def max_header_bytes(self) -> int:
        """Largest head, bytes."""
        return self._now().max_header_bytes

    @property
    def max_body_bytes(self) -> int:
        """Largest body, bytes."""
        return self._now().max_body_bytes

    @property
    def header_timeout_s(self) -> float:
        """Longest time for a head, or between two parts of a body, seconds."""
        return self._now().header_timeout_s

    @property
    def idle_timeout_s(self) -> float:
        """Longest time without a request, seconds."""
        return self._now().idle_timeout_s

    def _now(self) -> published_state.CallerLimits:
        latest = self._in_force()
        if latest is not self._last:
            self._last, earlier = latest, self._widest
            self._widest = published_state.CallerLimits(
                max(earlier.max_header_bytes, latest.max_header_bytes),
                max(earlier.max_body_bytes, latest.max_body_bytes),
                max(earlier.header_timeout_s, latest.header_timeout_s),
                max(earlier.idle_timeout_s, latest.idle_timeout_s),
            )
        return self._widest


class CallerPort:
    """Accepts the connections of callers.

    Parameters
    ----------
    dispatcher : Dispatcher
        Answers requests.
    names : HeaderNames
        Names of the mesh's own headers.
    limits : callable
        Returns the limits in force.
    recorded : Metrics
        Receives the number of requests that got no answer.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        names: settings.HeaderNames,
        limits: Callable[[], published_state.CallerLimits],
        recorded: metrics.Metrics,
    ) -> None:
        self.dispatcher = dispatcher
        self.names = names
        self.limits = limits
        self.pool = memory.Pool(MAX_BODY_BYTES)
        self.is_leaving = False
        self.is_closed = False
        self.last_request_at = 0.0
        self.requests_in_flight = 0
        # Connections whose callers may still be reading the last answer.
        self.lingering_connections = 0
        self.unanswered_requests = recorded.counter(
            "snipelink_mesh_requests_unanswered_total",
            "Requests that were read and got no answer, by what ended the connection.",
            ("cause", "started"),
        )
        self._listener: channel.Listener | None = None

    async def start(self, address: channel.Address) -> None:
        """Accept connections."""
        self._listener = await channel.listen(
            address, self._serve, ACCEPT_BACKLOG, KEEPALIVE
        )

    def close(self) -> None:
        """Refuse further connections and end the open ones."""
        self.is_closed = True
        if self._listener is not None:
            self._listener.close()

    async def _serve(self, stream: channel.Channel) -> None:
        stream.disable_write_buffer()
        connection = _Connection(self, stream)
        cause = draining.CloseCause.CALLER_CLOSED
        try:
            await channel.run_while_open(stream, connection.run())
        except ConnectionError:
            # The caller reset the connection; its calls were given up.
            pass
        except asyncio.CancelledError:
            cause = draining.CloseCause.NODE_STOPS
            raise
        except Exception:
            logger.exception("connection of a caller has failed")
            cause = draining.CloseCause.FAULT
        finally:
            connection.give_up(cause)


class _Connection:
    """One connection of a caller."""

    def __init__(self, port: CallerPort, stream: channel.Channel) -> None:
        self._port = port
        self._stream = stream
        self._limits = _WidestLimits(port.limits)
        # Memory of the body that is being read.
        self._charge = memory.PoolCharge(port.pool)
        names = port.names
        single = frozenset({names.call_id, names.remaining_ms})
        self._reader = request_reader.RequestReader(self._limits, self._charge, single)
        self._pending: collections.deque[_Pending] = collections.deque()
        self._changed = asyncio.Event()
        # Times of the first byte of the request being read, and of the last bytes.
        self._request_since = self._fed_at = clock.now()
        self._closing = draining.ConnectionDrain(self._fed_at)

    async def run(self) -> None:
        """Answer requests until the connection may end."""
        pump = asyncio.ensure_future(self._pump())
        try:
            while not self._closing.may_close:
                await self._answer_next()
        finally:
            pump.cancel()
            # It must not take bytes from the channel beside `close_gracefully`.
            await asyncio.wait((pump,))
        self._port.lingering_connections += 1
        try:
            await self._stream.drain()
            await self._stream.close_gracefully(LINGER_S)
        finally:
            self._port.lingering_connections -= 1

    def give_up(self, cause: draining.CloseCause) -> None:
        """Cancel what is not answered any more, and tell why."""
        if self._closing.cause is not None and self._closing.may_close:
            # A caller that closes after the last answer has not ended the connection.
            cause = self._closing.cause
        self._charge.release()
        for entry in self._pending:
            entry.body.release()
            started = entry.task is not None
            if entry.task is not None:
                entry.task.cancel()
                self._port.requests_in_flight -= 1
            if entry.request is None:
                continue
            self._port.unanswered_requests.increment(cause.value, str(started).lower())
            logger.info(
                "connection of a caller ended before an answer",
                extra={
                    "fields": {
                        "id": entry.request.header(self._port.names.call_id),
                        "cause": cause.value,
                        "waited_s": round(clock.now() - entry.arrived_at, 4),
                        "started": started,
                    }
                },
            )
        self._pending.clear()

    async def _pump(self) -> None:
        """Read requests; the end of the stream ends the whole connection elsewhere."""
        try:
            await self._read_requests()
        except ConnectionError:
            # Ends the whole connection elsewhere, too.
            pass
        except Exception:
            logger.exception("requests could not be read")
            failure = errors.Failure(errors.Kind.INTERNAL, "internal error")
            body = self._charge.detach()
            self._pending.append(_Pending(None, clock.now(), body, failure))
            self._changed.set()

    async def _read_requests(self) -> None:
        while True:
            while len(self._pending) >= MAX_PENDING:
                await self._wait_for_change()
            data = await self._stream.receive()
            if not data or self._closing.cause is not None:
                return
            self._fed_at = clock.now()
            if not self._reader.has_partial_request():
                self._request_since = self._fed_at
            self._reader.feed(data)
            if not self._take_requests():
                return

    def _take_requests(self) -> bool:
        """Queue what has been read; false after a request that is refused."""
        try:
            while (request := self._reader.next_request()) is not None:
                request.peer = self._stream.peer_host
                # The caller's time runs while its request arrives.
                body = self._charge.detach()
                self._add(_Pending(request, self._request_since, body))
                self._request_since = self._fed_at
            if self._reader.take_continue_expectation():
                self._stream.write(request_reader.CONTINUE_RESPONSE)
        except request_reader.RequestRefused as refused:
            body = self._charge.detach()
            self._add(_Pending(None, self._fed_at, body, refused.failure))
            return False
        self._changed.set()
        return True

    def _add(self, entry: _Pending) -> None:
        self._port.last_request_at = self._fed_at
        self._pending.append(entry)
        self._start_due()
        self._changed.set()

    def _start_due(self) -> None:
        """Start the first request, and the idempotent ones right behind it.

        One that may run only once waits for its turn: if an answer before it closes
        the connection, the caller takes it as not read and sends it again.
        """
        if self._port.is_closed:
            self._closing.begin_close(draining.CloseCause.NODE_STOPS)
        while (started := self._closing.unanswered_count) < len(self._pending):
            entry = self._pending[started]
            if entry.request is None:
                return
            if started and not self._is_idempotent(entry.request):
                return
            if not self._closing.may_start:
                return
            answer = self._port.dispatcher.answer(entry.request, entry.arrived_at)
            entry.task = asyncio.ensure_future(answer)
            self._port.requests_in_flight += 1
            self._closing.on_request_start(keep_alive=entry.request.keep_alive)

    def _is_idempotent(self, request: http.Request) -> bool:
        try:
            return self._port.dispatcher.is_idempotent(request)
        except Exception:
            # It waits for its turn; what runs already must still be answered.
            logger.exception("route of a request could not be found")
            return False

    async def _answer_next(self) -> None:
        """Write the next answer, or find that there is none to wait for."""
        if not self._pending:
            await self._wait_for_request()
            return
        entry = self._pending[0]
        if entry.refused is not None:
            self._refuse(entry.refused)
            is_fault = entry.refused.kind is errors.Kind.INTERNAL
            self._closing.begin_close(
                draining.CloseCause.FAULT
                if is_fault
                else draining.CloseCause.REFUSED_REQUEST
            )
        else:
            await self._answer(entry)
        self._pending.popleft()
        try:
            await self._stream.drain()
        finally:
            entry.body.release()
            if entry.task is not None:
                self._port.requests_in_flight -= 1
        self._start_due()
        self._changed.set()

    async def _answer(self, entry: _Pending) -> None:
        request, task = entry.request, entry.task
        assert request is not None
        assert task is not None
        # A fault of this program must not cost the caller its answer.
        try:
            response = await task
        except asyncio.CancelledError:
            answering = asyncio.current_task()
            if answering is None or answering.cancelling():
                raise
            # Not this connection has been cancelled, but something within the call.
            logger.exception("request could not be answered")
            response = self._internal_error(request)
        except Exception:
            logger.exception("request could not be answered")
            response = self._internal_error(request)
        keep = not self._closing.is_last_answer(
            is_leaving=self._port.is_leaving, has_next_request=len(self._pending) > 1
        )
        try:
            data = http.encode_response(response, request.method, keep)
        except ValueError:
            logger.exception("answer could not be written")
            response = self._internal_error(request)
            data = http.encode_response(response, request.method, keep)
        self._stream.write(data)
        self._closing.on_request_answered()

    def _internal_error(self, request: http.Request) -> http.Response:
        call_id = request.header(self._port.names.call_id)
        failure = errors.Failure(errors.Kind.INTERNAL, "internal error")
        return dispatch.failure_response(failure, self._port.names, call_id)

    def _refuse(self, failure: errors.Failure) -> None:
        if failure.kind is errors.Kind.OVERLOADED:
            failure = dataclasses.replace(failure, retry_after_s=BODY_RETRY_AFTER_S)
        logger.info(
            "request is refused",
            extra={"fields": {"failure": failure.kind.value, "detail": failure.detail}},
        )
        response = dispatch.failure_response(failure, self._port.names, "")
        self._stream.write(http.encode_response(response, "GET", keep_alive=False))

    async def _wait_for_request(self) -> None:
        """Wait for a request; decide to close if the caller takes too long."""
        partial_since: float | None = None
        self._closing.on_idle(clock.now())
        while not self._pending:
            now = clock.now()
            if self._reader.has_partial_request():
                partial_since = partial_since or now
                if self._reader.is_reading_body():
                    # A body may take its time on a slow link, while it makes progress.
                    partial_since = max(partial_since, self._fed_at)
                if now - partial_since > self._limits.header_timeout_s:
                    detail = "the request did not arrive in time"
                    kind = errors.Kind.REQUEST_TIMEOUT
                    self._refuse(errors.Failure(kind, detail))
                    self._closing.begin_close(draining.CloseCause.REFUSED_REQUEST)
                    return
                wait_s = LOOK_S
            else:
                partial_since = None
                wait_s = self._closing.idle_remaining_s(
                    self._limits.idle_timeout_s, now
                )
                if wait_s <= 0.0 and self._stream.is_idle:
                    self._closing.begin_close(draining.CloseCause.IDLE)
                    return
            await self._wait_for_change(max(MIN_CHECK_INTERVAL_S, wait_s))

    async def _wait_for_change(self, timeout_s: float | None = None) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            # The time itself is what was waited for.
            pass
