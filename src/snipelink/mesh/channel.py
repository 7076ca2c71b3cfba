"""TCP connections over asyncio, with keep-alive, deadlines and a graceful close."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import socket
import typing
from collections.abc import Callable

from snipelink import clock, model

# Unread bytes above which the connection stops reading, which throttles the peer.
MAX_UNREAD_BYTES = 262144
# Bytes that are passed to the event loop at a time. It copies what the kernel does not
# take, so a large message would be held twice.
WRITE_SLICE_BYTES = 262144
# Lateness of a timer above which the event loop counts as stalled, seconds: a few
# iterations of the loop.
STALL_THRESHOLD_S = 0.02
# Extra time after a stall to read what arrived before the deadline, seconds.
STALL_GRACE_S = 0.05

Address = tuple[str, int]
T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class KeepAlive:
    """TCP keep-alive settings, after which the kernel closes a dead connection.

    Attributes
    ----------
    idle_s : int
        Whole seconds without traffic before the first keep-alive probe.
    interval_s : int
        Whole seconds between two probes.
    count : int
        Number of unanswered probes after which the connection is closed.
    user_timeout_ms : int
        Longest time for which sent bytes may stay unacknowledged, milliseconds.
    """

    idle_s: int
    interval_s: int
    count: int
    user_timeout_ms: int

    @property
    def min_silence_s(self) -> float:
        """Shortest silence after which the kernel closes a connection, seconds."""
        return min(self.user_timeout_ms / 1000.0, float(self.interval_s * self.count))


# The kernel closes a connection about three seconds after its peer went silent. A
# connection can stop carrying data without a reset while new connections work.
KEEPALIVE = KeepAlive(idle_s=1, interval_s=1, count=2, user_timeout_ms=3000)


class Channel(asyncio.Protocol):
    """Byte stream over one TCP connection.

    Only one task at a time may call `receive`. It returns no bytes at the end of the
    stream, and raises ``ConnectionError`` after a reset.

    Parameters
    ----------
    keepalive : KeepAlive
        Keep-alive settings of the connection.

    Attributes
    ----------
    input_ended : asyncio.Event
        Set once the peer has closed its side or the connection is closed.
    peer_host : str
        Address of the peer; empty until the connection is open.
    on_timeout : callable or None
        Called once if the kernel closes the connection because the peer is silent.
    """

    def __init__(self, keepalive: KeepAlive = KEEPALIVE) -> None:
        self._keepalive = keepalive
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._error: Exception | None = None
        self._has_input_ended = False
        self._is_closed = False
        self._is_reading_paused = False
        self.input_ended = asyncio.Event()
        self.peer_host = ""
        self.on_timeout: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up an opened connection; called by the event loop."""
        self._transport = typing.cast(asyncio.Transport, transport)
        connection = transport.get_extra_info("socket")
        if connection is not None:
            _set_socket_options(connection, self._keepalive)
        peer = transport.get_extra_info("peername")
        self.peer_host = peer[0] if peer else ""

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; called by the event loop."""
        self._buffer += data
        if len(self._buffer) > MAX_UNREAD_BYTES and self._transport is not None:
            self._transport.pause_reading()
            self._is_reading_paused = True
        self._wake_reader()

    def eof_received(self) -> bool:
        """Record that the peer closed its side; called by the event loop."""
        self._has_input_ended = True
        self.input_ended.set()
        self._wake_reader()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is closed; called by the event loop."""
        self._is_closed = True
        self._has_input_ended = True
        self.input_ended.set()
        self._error = exc
        if self.has_timed_out and self.on_timeout is not None:
            self.on_timeout()
        self._wake_reader()
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)

    def pause_writing(self) -> None:
        """Block `drain` while the write buffer is full; called by the event loop."""
        self._write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Unblock `drain`; called by the event loop."""
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)
        self._write_waiter = None

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and holds no unread bytes."""
        return not self._has_input_ended and not self._buffer

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed in both directions."""
        return self._is_closed

    @property
    def has_timed_out(self) -> bool:
        """Whether the kernel closed the connection because the peer was silent."""
        return isinstance(self._error, TimeoutError)

    async def receive(self) -> bytes:
        """Return the next bytes, or none at the end of the stream.

        Raises
        ------
        ConnectionError
            If the connection was reset.
        """
        while not self._buffer:
            if self._has_input_ended:
                if self._error is not None:
                    raise ConnectionResetError(str(self._error))
                return b""
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        data = bytes(self._buffer)
        self._buffer.clear()
        if self._is_reading_paused and self._transport is not None:
            self._transport.resume_reading()
            self._is_reading_paused = False
        return data

    def write(self, data: model.Body) -> None:
        """Queue bytes for sending without waiting.

        Raises
        ------
        ConnectionError
            If the connection is closed.
        """
        if self._is_closed or self._transport is None or self._transport.is_closing():
            raise ConnectionResetError("the connection is closed")
        self._transport.write(data)

    async def write_parts(self, *parts: model.Body) -> None:
        """Send the parts of a large message, waiting while the peer does not read.

        Raises
        ------
        ConnectionError
            If the connection is closed.
        """
        for part in parts:
            view = memoryview(part)
            for start in range(0, len(view), WRITE_SLICE_BYTES):
                self.write(view[start : start + WRITE_SLICE_BYTES])
                await self.drain()

    async def drain(self) -> None:
        """Wait until the write buffer is below its limit.

        Raises
        ------
        ConnectionError
            If the connection is closed.
        """
        if self._write_waiter is not None:
            await self._write_waiter
        if self._is_closed:
            raise ConnectionResetError("the connection is closed")

    def disable_write_buffer(self) -> None:
        """Make `drain` wait until all written bytes were passed to the kernel."""
        if self._transport is not None:
            self._transport.set_write_buffer_limits(0)

    async def close_gracefully(self, timeout_s: float) -> None:
        """Close the sending side, discard input until the peer closes, then close.

        A plain close with unread input makes the kernel reset the connection, and the
        reset can discard an answer that the peer has not read yet.

        Parameters
        ----------
        timeout_s : float
            Longest time to wait for the peer, seconds.
        """
        if self._transport is None or self._is_closed:
            return
        try:
            self._transport.write_eof()
            async with asyncio.timeout(timeout_s):
                while await self.receive():
                    pass
        except (OSError, RuntimeError):
            # The peer reset the connection or did not close its side in time.
            pass
        self.close()

    def close(self) -> None:
        """Close once all written bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once and discard bytes that were not sent."""
        # A transport that was closed while bytes were left, and has sent them, fails
        # when it is aborted afterwards.
        if self._transport is not None and not self._is_closed:
            self._transport.abort()

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)


async def connect(
    address: Address, timeout_s: float, keepalive: KeepAlive = KEEPALIVE
) -> Channel:
    """Open a connection.

    Raises
    ------
    OSError
        If it cannot be opened in time.
    """
    loop = asyncio.get_running_loop()
    opening = loop.create_connection(functools.partial(Channel, keepalive), *address)
    _, channel = await run_until_deadline(clock.now() + timeout_s, opening)
    return channel


async def run_until_deadline(deadline: float, work: typing.Awaitable[T]) -> T:
    """Return the result of `work`, or cancel it at a monotonic deadline.

    If the event loop stalls past the deadline, `work` gets `STALL_GRACE_S` more: bytes
    that arrived before the deadline are processed in the same iteration of the loop as
    the expired timer, and would otherwise be lost to the cancellation.

    Raises
    ------
    TimeoutError
        If the deadline passes.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:
        left_s = max(0.0, deadline - clock.now())
        timer = loop.call_later(left_s, _expire, limit, deadline)
        try:
            return await work
        finally:
            timer.cancel()


def _expire(limit: asyncio.Timeout, deadline: float) -> None:
    now = asyncio.get_running_loop().time()
    has_stalled = clock.now() - deadline > STALL_THRESHOLD_S
    limit.reschedule(now + STALL_GRACE_S if has_stalled else now)


async def run_while_open(
    stream: Channel, work: typing.Coroutine[typing.Any, typing.Any, T]
) -> T | None:
    """Run `work` and return its result; cancel it and return None if the peer closes.

    The peer counts as closed as soon as it has closed its sending side.
    """
    task = asyncio.ensure_future(work)
    ended = asyncio.ensure_future(stream.input_ended.wait())
    try:
        await asyncio.wait((task, ended), return_when=asyncio.FIRST_COMPLETED)
        return task.result() if task.done() else None
    finally:
        ended.cancel()
        if not task.done():
            task.cancel()
            await asyncio.wait((task,))


async def listen(
    address: Address,
    serve: Callable[[Channel], typing.Awaitable[None]],
    backlog: int,
    keepalive: KeepAlive = KEEPALIVE,
) -> Listener:
    """Accept connections and run `serve` for each of them in a separate task."""
    listener = Listener(serve, keepalive)
    loop = asyncio.get_running_loop()
    listener.server = await loop.create_server(
        listener.make_channel, *address, backlog=backlog, reuse_address=True
    )
    return listener


class Listener:
    """Listening port and the tasks of its accepted connections."""

    def __init__(
        self,
        serve: Callable[[Channel], typing.Awaitable[None]],
        keepalive: KeepAlive = KEEPALIVE,
    ) -> None:
        self._serve = serve
        self.keepalive = keepalive
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    def make_channel(self) -> Channel:
        """Return a channel for a connection that is being accepted."""
        return _AcceptedChannel(self)

    def start_serving(self, channel: Channel) -> None:
        """Start the task that serves an accepted connection."""
        task = asyncio.ensure_future(self._run(channel))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop_accepting(self) -> None:
        """Stop listening; open connections stay."""
        if self.server is not None:
            self.server.close()

    def close(self) -> None:
        """Stop listening and cancel the tasks of open connections."""
        self.stop_accepting()
        for task in self.tasks:
            task.cancel()

    async def _run(self, channel: Channel) -> None:
        try:
            await self._serve(channel)
        finally:
            channel.close()


class _AcceptedChannel(Channel):
    def __init__(self, listener: Listener) -> None:
        super().__init__(listener.keepalive)
        self._listener = listener

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._listener.start_serving(self)


def _set_socket_options(connection: socket.socket, keepalive: KeepAlive) -> None:
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, keepalive.idle_s),
        (socket.TCP_KEEPINTVL, keepalive.interval_s),
        (socket.TCP_KEEPCNT, keepalive.count),
        (socket.TCP_USER_TIMEOUT, keepalive.user_timeout_ms),
    )
    for option, value in options:
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
