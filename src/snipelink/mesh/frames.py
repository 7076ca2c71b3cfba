"""Length-prefixed frames on the connections between nodes."""

from __future__ import annotations

import enum

from snipelink import clock, model
from snipelink.mesh import channel
from snipelink.session import frames, memory

MAX_FRAME_BYTES = 1 << 27
# A frame above this size is charged to the pool of its connection, is received into a
# buffer of its own and is sent in slices.
LARGE_FRAME_BYTES = memory.SMALL_CHARGE_BYTES
# Longest wait for room for a large frame, seconds. It is shorter than the time after
# which the sender's kernel gives up a connection that is not read.
ROOM_TIMEOUT_S = 1.0


class Kind(enum.Enum):
    """First byte of a frame: the type of its payload."""

    CALL = b"C"
    # Kind of a retransmitted call. Versions without deduplication reject it as an
    # unknown kind; if it had the kind of a new call, they would run the call twice.
    CALL_AGAIN = b"S"
    ACCEPTED = b"A"
    REPLY = b"R"
    PUBLISHED_REQUEST = b"Q"
    PUBLISHED = b"P"
    CHANGES = b"D"
    # The same two with a payload compressed by zlib, for senders that ask for it.
    PUBLISHED_COMPRESSED = b"Z"
    CHANGES_COMPRESSED = b"Y"


class FrameChannel:
    """Sends and receives frames on one connection.

    Parameters
    ----------
    stream : Channel
        The connection.
    pool : Pool or None
        Memory of large frames, until they are freed; None for no limit.

    Attributes
    ----------
    frame_started_at : float
        Monotonic time at which the first bytes of the last returned frame arrived.
    """

    def __init__(
        self, stream: channel.Channel, pool: memory.Pool | None = None
    ) -> None:
        self.stream = stream
        self._pool = pool
        self._buffer = bytearray()
        self._is_receiving_large = False
        # Times at which the first and the last bytes in the buffer arrived.
        self._buffer_started_at = self._last_received_at = clock.now()
        self.frame_started_at = self._buffer_started_at

    @property
    def last_received_at(self) -> float:
        """Monotonic time at which the last bytes arrived, or the connection opened."""
        return self._last_received_at

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and holds no unprocessed bytes."""
        is_empty = not self._buffer and not self._is_receiving_large
        return self.stream.is_idle and is_empty

    @property
    def is_receiving(self) -> bool:
        """Whether part of a frame has arrived on an open connection."""
        return not self.is_idle and not self.stream.input_ended.is_set()

    def send(self, kind: Kind, payload: bytes) -> None:
        """Send one frame; raises ``ConnectionError`` if the connection is closed."""
        head = frames.LENGTH_PREFIX.pack(len(payload) + 1) + kind.value
        self.stream.write(head + payload)

    async def send_parts(self, kind: Kind, parts: tuple[model.Body, ...]) -> None:
        """Send a frame whose payload consists of several parts.

        A large frame is not copied, and is sent as fast as the peer reads it. Raises
        ``ConnectionError`` if the connection is closed.
        """
        size = sum(len(part) for part in parts) + 1
        head = frames.LENGTH_PREFIX.pack(size) + kind.value
        if size <= LARGE_FRAME_BYTES:
            self.stream.write(b"".join((head, *parts)))
            return
        await self.stream.write_parts(head, *parts)

    async def receive(self) -> tuple[Kind, bytes | memoryview] | None:
        """Return the next frame; None at the end of the stream.

        Raises
        ------
        FrameError
            If the stream ends inside a frame, a frame has an unknown kind or an invalid
            length, or there is no memory for it.
        ConnectionError
            If the connection is lost.
        """
        while True:
            length = self._next_length()
            if length is not None:
                if length > LARGE_FRAME_BYTES:
                    return await self._receive_large(length)
                if len(self._buffer) >= frames.LENGTH_PREFIX.size + length:
                    return self._take_small(length)
            data = await self._receive_bytes()
            if not data:
                if self._buffer:
                    raise frames.FrameError("connection closed inside a frame")
                return None
            if not self._buffer:
                # The connection was idle; the next frame starts with these bytes.
                self._buffer_started_at = self._last_received_at
            self._buffer += data

    def _next_length(self) -> int | None:
        """Return the length of the frame in the buffer; None if more bytes are needed.

        Raises ``FrameError`` if it is invalid.
        """
        if len(self._buffer) < frames.LENGTH_PREFIX.size:
            return None
        length: int
        (length,) = frames.LENGTH_PREFIX.unpack_from(self._buffer)
        if not 1 <= length <= MAX_FRAME_BYTES:
            raise frames.FrameError(f"frame of {length} bytes")
        return length

    def _take_small(self, length: int) -> tuple[Kind, bytes]:
        start, end = frames.LENGTH_PREFIX.size, frames.LENGTH_PREFIX.size + length
        frame = bytes(self._buffer[start:end])
        del self._buffer[:end]
        self._on_frame()
        return _parse_kind(frame[:1]), frame[1:]

    async def _receive_large(self, length: int) -> tuple[Kind, memoryview]:
        """Receive the rest of a large frame into a buffer of its size."""
        self._is_receiving_large = True
        try:
            frame = memory.ChargedBuffer()
            if self._pool is not None:
                charge = memory.PoolCharge(self._pool)
                if not await charge.wait_and_charge(length, ROOM_TIMEOUT_S):
                    raise frames.FrameError(f"no memory for a frame of {length} bytes")
                frame.charge = charge
            received = bytes(self._buffer[frames.LENGTH_PREFIX.size :])
            self._buffer.clear()
            while len(frame) + len(received) < length:
                frame += received
                received = await self._receive_bytes()
                if not received:
                    raise frames.FrameError("connection closed inside a frame")
            rest_start = length - len(frame)
            frame += received[:rest_start]
            self._buffer += received[rest_start:]
        finally:
            self._is_receiving_large = False
        self._on_frame()
        view = memoryview(frame)
        return _parse_kind(bytes(view[:1])), view[1:]

    async def _receive_bytes(self) -> bytes:
        data = await self.stream.receive()
        if data:
            self._last_received_at = clock.now()
        return data

    def _on_frame(self) -> None:
        """Update the times of arrival after a complete frame.

        The rest of the buffer arrived with the last bytes.
        """
        self.frame_started_at = self._buffer_started_at
        self._buffer_started_at = self._last_received_at


def _parse_kind(code: bytes) -> Kind:
    try:
        return Kind(code)
    except ValueError:
        raise frames.FrameError(f"frame of kind {code!r}") from None
