"""HTTP/1.1 server for the callers of this machine, with pipelining."""

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
# Maximum number of unanswered requests of one connection. At this number, the node does
# not read the connection, and further requests wait in the kernel's buffer.
MAX_PENDING_REQUESTS = draining.MAX_UNANSWERED_REQUESTS
# Time for which a caller may read the last answer before the connection is closed.
LINGER_S = 1.0
# Keep-alive settings of callers' connections. A caller may acknowledge nothing for
# seconds, because its link loses packets or is congested, or because it reads slowly.
# The connection therefore stays open for twice `dispatch.DEFAULT_REMAINING_MS`, longer
# than any request is open; the work for a request is bounded by its deadline.
KEEPALIVE = channel.KeepAlive(idle_s=15, interval_s=15, count=4, user_timeout_ms=60_000)
# Retry time for a request that was refused for lack of memory, seconds: about the
# duration of a call, after which memory is free again.
BODY_RETRY_AFTER_S = 0.5
# Interval at which a partly read request is checked for a timeout, seconds.
PARTIAL_REQUEST_CHECK_S = 0.25
# Shortest interval between two checks of an idle connection, seconds, so that received
# bytes are read in between.
MIN_CHECK_INTERVAL_S = 0.01


@dataclasses.dataclass(slots=True, eq=False)
class _Pending:
    """A request of a connection that has no answer yet.

    Attributes
    ----------
    request : Request or None
        The request; None if it is refused.
    arrived_at : float
        Monotonic time at which its first byte arrived.
    body_charge : PoolCharge
        Memory that is charged for its body.
    refused : Failure or None
        Reason of a refusal without running the request.
    task : Task or None
        Runs the request; None until it is started.
    """

    request: http.Request | None
    arrived_at: float
    body_charge: memory.PoolCharge
    refused: errors.Failure | None = None
    task: asyncio.Task[http.Response] | None = None


class _WidestLimits:
    """Limits of one connection: for each limit, the highest value since it was opened.

    A caller may follow an older or a newer configuration than this node, and its
    requests must not be refused for that.

    Parameters
    ----------
    current_limits : callable
        Returns the limits of the configuration in force.
    """

    def __init__(
        self, current_limits: Callable[[], published_state.CallerLimits]
    ) -> None:
        self._current_limits = current_limits
        self._widest = self._last = current_limits()

    @property
    def max_header_bytes(self) -> int:
        """Largest request head, bytes."""
        return self._update_widest().max_header_bytes

    @property
    def max_body_bytes(self) -> int:
        """Largest request body, bytes."""
        return self._update_widest().max_body_bytes

    @property
    def header_timeout_s(self) -> float:
        """Longest time to receive a head, or between two parts of a body, seconds."""
        return self._update_widest().header_timeout_s

    @property
    def idle_timeout_s(self) -> float:
        """Longest time without a request, seconds."""
        return self._update_widest().idle_timeout_s

    def _update_widest(self) -> published_state.CallerLimits:
        latest = self._current_limits()
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
    """Accepts and serves the connections of callers.

    Parameters
    ----------
    dispatcher : Dispatcher
        Answers requests.
    header_names : HeaderNames
        Names of the mesh's own headers.
    limits : callable
        Returns the limits of the configuration in force.
    metrics_registry : Metrics
        Records the number of requests that got no answer.
    pool : Pool
        Memory of request bodies.

    Attributes
    ----------
    is_leaving : bool
        Whether the node is shutting down, so that connections are drained.
    is_closed : bool
        Whether no more requests are started.
    last_request_at : float
        Monotonic time at which the last request was read.
    requests_in_flight : int
        Requests that were started and whose answers are not completely sent.
    lingering_connections : int
        Connections whose callers may still be reading the last answer.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        header_names: settings.HeaderNames,
        limits: Callable[[], published_state.CallerLimits],
        metrics_registry: metrics.Metrics,
        pool: memory.Pool,
    ) -> None:
        self.dispatcher = dispatcher
        self.names = header_names
        self.limits = limits
        self.pool = pool
        self.is_leaving = False
        self.is_closed = False
        self.last_request_at = 0.0
        self.requests_in_flight = 0
        self.lingering_connections = 0
        self.unanswered_requests = metrics_registry.counter(
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
        """Refuse further connections and close the open ones."""
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
            # The caller reset the connection; its requests are cancelled below.
            pass
        except asyncio.CancelledError:
            cause = draining.CloseCause.NODE_STOPS
            raise
        except Exception:
            logger.exception("connection of a caller has failed")
            cause = draining.CloseCause.FAULT
        finally:
            connection.cancel_pending(cause)


class _Connection:
    """One connection of a caller."""

    def __init__(self, port: CallerPort, stream: channel.Channel) -> None:
        self._port = port
        self._stream = stream
        self._limits = _WidestLimits(port.limits)
        # Memory charged for the body that is being read.
        self._body_charge = memory.PoolCharge(port.pool)
        names = port.names
        single_value_headers = frozenset({names.call_id, names.remaining_ms})
        self._reader = request_reader.RequestReader(
            self._limits, self._body_charge, single_value_headers
        )
        self._pending: collections.deque[_Pending] = collections.deque()
        self._changed = asyncio.Event()
        # Times at which the first byte of the unfinished request and the last bytes
        # arrived.
        self._request_started_at = self._last_received_at = clock.now()
        self._drain = draining.ConnectionDrain(self._last_received_at)

    async def run(self) -> None:
        """Answer requests until the connection may be closed."""
        read_loop = asyncio.ensure_future(self._read_loop())
        try:
            while not self._drain.may_close:
                await self._answer_next()
        finally:
            read_loop.cancel()
            # Only one task may read the channel, and `close_gracefully` reads it next.
            await asyncio.wait((read_loop,))
        self._port.lingering_connections += 1
        try:
            await self._stream.drain()
            await self._stream.close_gracefully(LINGER_S)
        finally:
            self._port.lingering_connections -= 1

    def cancel_pending(self, cause: draining.CloseCause) -> None:
        """Cancel the unanswered requests, and log and count them with the cause."""
        if self._drain.cause is not None and self._drain.may_close:
            # This side had already decided to close the connection.
            cause = self._drain.cause
        self._reader.close()
        self._body_charge.release()
        for entry in self._pending:
            entry.body_charge.release()
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

    async def _read_loop(self) -> None:
        """Read requests until the stream ends; `_serve` then closes the connection."""
        try:
            await self._read_requests()
        except ConnectionError:
            # `_serve` closes the connection after a reset, too.
            pass
        except Exception:
            logger.exception("requests of a caller could not be read")
            failure = errors.Failure(errors.Kind.INTERNAL, "internal error")
            charge = self._body_charge.detach()
            self._pending.append(_Pending(None, clock.now(), charge, failure))
            self._changed.set()

    async def _read_requests(self) -> None:
        while True:
            while len(self._pending) >= MAX_PENDING_REQUESTS:
                await self._wait_for_change()
            data = await self._stream.receive()
            if not data or self._drain.cause is not None:
                return
            self._last_received_at = clock.now()
            if not self._reader.has_partial_request():
                self._request_started_at = self._last_received_at
            self._reader.feed(data)
            if not self._queue_requests():
                return

    def _queue_requests(self) -> bool:
        """Queue the requests that were read; false if one of them is invalid."""
        try:
            while (request := self._reader.next_request()) is not None:
                request.peer = self._stream.peer_host
                # The time that a request takes to arrive counts against its deadline.
                charge = self._body_charge.detach()
                self._enqueue(_Pending(request, self._request_started_at, charge))
                self._request_started_at = self._last_received_at
            self._write_due_continue()
        except request_reader.RequestRefused as refused:
            charge = self._body_charge.detach()
            self._enqueue(
                _Pending(None, self._last_received_at, charge, refused.failure)
            )
            return False
        self._changed.set()
        return True

    def _enqueue(self, entry: _Pending) -> None:
        self._port.last_request_at = self._last_received_at
        self._pending.append(entry)
        self._start_ready()
        self._changed.set()

    def _start_ready(self) -> None:
        """Start the oldest pending request, and idempotent ones directly after it.

        A request that is not idempotent starts only once it is the oldest. If an
        earlier answer closes the connection, the caller assumes that later requests
        were not read and sends them again.
        """
        if self._port.is_closed:
            self._drain.begin_close(draining.CloseCause.NODE_STOPS)
        while (started := self._drain.unanswered_count) < len(self._pending):
            entry = self._pending[started]
            if entry.request is None:
                return
            if started and not self._is_idempotent(entry.request):
                return
            if not self._drain.may_start:
                return
            answer = self._port.dispatcher.answer(entry.request, entry.arrived_at)
            entry.task = asyncio.ensure_future(answer)
            self._port.requests_in_flight += 1
            self._drain.on_request_start(keep_alive=entry.request.keep_alive)

    def _is_idempotent(self, request: http.Request) -> bool:
        try:
            return self._port.dispatcher.is_idempotent(request)
        except Exception:
            # Treat the request as not idempotent, so that the requests that already run
            # are still answered.
            logger.exception("route of a request could not be found")
            return False

    async def _answer_next(self) -> None:
        """Write the answer of the oldest request, or wait for a request."""
        if not self._pending:
            await self._wait_for_request()
            return
        entry = self._pending[0]
        if entry.refused is not None:
            self._write_refusal(entry.refused)
            is_fault = entry.refused.kind is errors.Kind.INTERNAL
            self._drain.begin_close(
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
            entry.body_charge.release()
            if entry.task is not None:
                self._port.requests_in_flight -= 1
        self._write_due_continue()
        self._start_ready()
        self._changed.set()

    def _write_due_continue(self) -> None:
        """Let the caller send a body, once all answers before it are written."""
        if not self._pending and self._reader.take_continue_expectation():
            self._stream.write(request_reader.CONTINUE_RESPONSE)

    async def _answer(self, entry: _Pending) -> None:
        request, task = entry.request, entry.task
        assert request is not None
        assert task is not None
        # An exception in this program must not leave the caller without an answer.
        try:
            response = await task
        except asyncio.CancelledError:
            answering = asyncio.current_task()
            if answering is None or answering.cancelling():
                raise
            # The cancellation came from inside the call, not from the connection.
            logger.exception("request could not be answered")
            response = self._internal_error(request)
        except Exception:
            logger.exception("request could not be answered")
            response = self._internal_error(request)
        keep_alive = not self._drain.is_last_answer(
            is_leaving=self._port.is_leaving, has_next_request=len(self._pending) > 1
        )
        try:
            parts = http.encode_response_parts(response, request.method, keep_alive)
        except ValueError:
            logger.exception("answer could not be encoded")
            response = self._internal_error(request)
            parts = http.encode_response_parts(response, request.method, keep_alive)
        head, body = parts
        if len(body) <= http.MAX_COPIED_BODY_BYTES:
            self._stream.write(head + body)
        else:
            await self._stream.write_parts(head, body)
        self._drain.on_request_answered()

    def _internal_error(self, request: http.Request) -> http.Response:
        call_id = request.header(self._port.names.call_id)
        failure = errors.Failure(errors.Kind.INTERNAL, "internal error")
        return dispatch.failure_response(failure, self._port.names, call_id)

    def _write_refusal(self, failure: errors.Failure) -> None:
        if failure.kind is errors.Kind.OVERLOADED:
            failure = dataclasses.replace(failure, retry_after_s=BODY_RETRY_AFTER_S)
        logger.info(
            "request is refused",
            extra={"fields": {"failure": failure.kind.value, "detail": failure.detail}},
        )
        response = dispatch.failure_response(failure, self._port.names, "")
        self._stream.write(http.encode_response(response, "GET", keep_alive=False))

    async def _wait_for_request(self) -> None:
        """Wait for a request; decide to close the connection after a timeout."""
        partial_since: float | None = None
        self._drain.on_idle(clock.now())
        while not self._pending:
            now = clock.now()
            if self._reader.has_partial_request():
                partial_since = partial_since or now
                if self._reader.is_reading_body():
                    # A body may arrive slowly as long as bytes keep arriving.
                    partial_since = max(partial_since, self._last_received_at)
                if now - partial_since > self._limits.header_timeout_s:
                    detail = "the request did not arrive in time"
                    kind = errors.Kind.REQUEST_TIMEOUT
                    self._write_refusal(errors.Failure(kind, detail))
                    self._drain.begin_close(draining.CloseCause.REFUSED_REQUEST)
                    return
                wait_s = PARTIAL_REQUEST_CHECK_S
            else:
                partial_since = None
                wait_s = self._drain.idle_remaining_s(self._limits.idle_timeout_s, now)
                if wait_s <= 0.0 and self._stream.is_idle:
                    self._drain.begin_close(draining.CloseCause.IDLE)
                    return
            await self._wait_for_change(max(MIN_CHECK_INTERVAL_S, wait_s))

    async def _wait_for_change(self, timeout_s: float | None = None) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            # The calling method checks the time itself.
            pass
