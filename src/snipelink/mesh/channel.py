"""A TCP connection as one task reads and writes it."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import socket
import typing
from collections.abc import Callable

from snipelink import clock

# Bytes received and not yet taken above which the peer is made to wait.
MAX_UNREAD_BYTES = 262144
# Delay of a timer beyond which the process has stalled, seconds: some turns of the
# event loop.
STALL_S = 0.02
# Time to read what had arrived before a deadline that passed in a stall, seconds.
READ_UNREAD_S = 0.05

Address = tuple[str, int]
T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class KeepAlive:
    """When the kernel ends a connection whose peer is silent.

    Attributes
    ----------
    idle_s, interval_s, count : int
        Whole seconds without traffic before the first probe, between two of them, and
        the number of unanswered ones that end the connection.
    user_timeout_ms : int
        Longest time for which sent bytes may stay unacknowledged, milliseconds.
    """

    idle_s: int
    interval_s: int
    count: int
    user_timeout_ms: int

    @property
    def min_silence_s(self) -> float:
        """Shortest silence after which the kernel ends a connection, seconds."""
        return min(self.user_timeout_ms / 1000.0, float(self.interval_s * self.count))


# A silent peer is noticed by the kernel after about three seconds; connections may
# go silent without a reset while new ones work.
KEEPALIVE = KeepAlive(idle_s=1, interval_s=1, count=2, user_timeout_ms=3000)


class Channel(asyncio.Protocol):
    """Bytes received and sent on one connection.

    `receive` is for one task at a time. The end of the stream is an empty result; a
    reset raises ``ConnectionError``.

    Parameters
    ----------
    keepalive : KeepAlive
        When the kernel ends it for silence.

    Attributes
    ----------
    input_ended : asyncio.Event
        Set once the peer sends no more.
    """

    def __init__(self, keepalive: KeepAlive = KEEPALIVE) -> None:
        self._keepalive = keepalive
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._error: Exception | None = None
        self._ended = False
        self._lost = False
        self._paused = False
        self.input_ended = asyncio.Event()
        self.peer_host = ""
        # Called once if the kernel ends the connection because its peer is silent.
        self.on_timeout: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over an open connection; called by the event loop."""
        self._transport = typing.cast(asyncio.Transport, transport)
        connection = transport.get_extra_info("socket")
        if connection is not None:
            _tune(connection, self._keepalive)
        peer = transport.get_extra_info("peername")
        self.peer_host = peer[0] if peer else ""

    def data_received(self, data: bytes) -> None:
        """Keep received bytes; called by the event loop."""
        self._buffer += data
        if len(self._buffer) > MAX_UNREAD_BYTES and self._transport is not None:
            self._transport.pause_reading()
            self._paused = True
        self._wake()

    def eof_received(self) -> bool:
        """Note the end of the peer's bytes; called by the event loop."""
        self._ended = True
        self.input_ended.set()
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection; called by the event loop."""
        self._lost = True
        self._ended = True
        self.input_ended.set()
        self._error = exc
        if self.has_timed_out and self.on_timeout is not None:
            self.on_timeout()
        self._wake()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    def pause_writing(self) -> None:
        """Hold back `drain`; called by the event loop."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let `drain` go on; called by the event loop."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and holds no unread bytes."""
        return not self._ended and not self._buffer

    @property
    def is_closed(self) -> bool:
        """Whether the connection is gone in both directions."""
        return self._lost

    @property
    def has_timed_out(self) -> bool:
        """Whether the kernel has ended the connection because its peer was silent."""
        return isinstance(self._error, TimeoutError)

    async def receive(self) -> bytes:
        """Return the next bytes; empty at the end of the stream."""
        while not self._buffer:
            if self._ended:
                if self._error is not None:
                    raise ConnectionResetError(str(self._error))
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        data = bytes(self._buffer)
        self._buffer.clear()
        if self._paused and self._transport is not None:
            self._transport.resume_reading()
            self._paused = False
        return data

    def write(self, data: bytes) -> None:
        """Send bytes without waiting.

        Raises
        ------
        ConnectionError
            If the connection is gone.
        """
        if self._lost or self._transport is None or self._transport.is_closing():
            raise ConnectionResetError("the connection is closed")
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait until most of what was written has been sent."""
        if self._writable is not None:
            await self._writable
        if self._lost:
            raise ConnectionResetError("the connection is closed")

    def disable_write_buffer(self) -> None:
        """Let `drain` wait until the kernel has all that was written."""
        if self._transport is not None:
            self._transport.set_write_buffer_limits(0)

    async def close_gracefully(self, timeout_s: float) -> None:
        """Close after the peer has read what was written.

        Closing with unread bytes resets the connection, and the reset may destroy an
        answer that the peer has not read yet.
        """
        if self._transport is None or self._lost:
            return
        try:
            self._transport.write_eof()
            async with asyncio.timeout(timeout_s):
                while await self.receive():
                    pass
        except (OSError, RuntimeError):
            # The peer closed first, or keeps its side open; both end here.
            pass
        self.close()

    def close(self) -> None:
        """Close after all that was written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once; what was written and not sent is dropped."""
        if self._transport is not None:
            self._transport.abort()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


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
    """Return the result of `work`, which takes what must come by a deadline.

    After a stall of the process the deadline is due in the same turn of the event loop
    as what arrived long before; this is taken first.

    Raises
    ------
    TimeoutError
        If the deadline passes; `work` is cancelled.
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
    has_stalled = clock.now() - deadline > STALL_S
    limit.reschedule(now + READ_UNREAD_S if has_stalled else now)


async def run_while_open(
    stream: Channel, work: typing.Coroutine[typing.Any, typing.Any, T]
) -> T | None:
    """Run `work` and return its result; cancel it, and return None, at a close.

    The peer's close counts from the end of its bytes on.
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
    """Accept connections and run `serve` on each in a task of its own."""
    listener = Listener(serve, keepalive)
    loop = asyncio.get_running_loop()
    listener.server = await loop.create_server(
        listener.make, *address, backlog=backlog, reuse_address=True
    )
    return listener


class Listener:
    """Tasks of the connections that were accepted on one port."""

    def __init__(
        self,
        serve: Callable[[Channel], typing.Awaitable[None]],
        keepalive: KeepAlive = KEEPALIVE,
    ) -> None:
        self._serve = serve
        self.keepalive = keepalive
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    def make(self) -> Channel:
        """Return the channel of a connection that is being accepted."""
        return _Accepted(self)

    def start(self, channel: Channel) -> None:
        """Serve an accepted connection."""
        task = asyncio.ensure_future(self._run(channel))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop_accepting(self) -> None:
        """Refuse further connections."""
        if self.server is not None:
            self.server.close()

    def close(self) -> None:
        """Refuse further connections and end the open ones."""
        self.stop_accepting()
        for task in self.tasks:
            task.cancel()

    async def _run(self, channel: Channel) -> None:
        try:
            await self._serve(channel)
        finally:
            channel.close()


class _Accepted(Channel):
    def __init__(self, listener: Listener) -> None:
        super().__init__(listener.keepalive)
        self._listener = listener

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._listener.start(self)


def _tune(connection: socket.socket, keepalive: KeepAlive) -> None:
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
