"""Length-prefixed frames on the connections between nodes."""

from __future__ import annotations

import enum

from snipelink import clock
from snipelink.mesh import channel
from snipelink.session import frames

MAX_FRAME_BYTES = 1 << 27


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


class FrameChannel:
    """Sends and receives frames on one connection.

    Parameters
    ----------
    stream : Channel
        The connection.

    Attributes
    ----------
    frame_started_at : float
        Monotonic time at which the first bytes of the last returned frame arrived.
    """

    def __init__(self, stream: channel.Channel) -> None:
        self.stream = stream
        self._buffer = bytearray()
        # Times at which the first and the last bytes in the buffer arrived.
        self._buffer_started_at = self._last_received_at = clock.now()
        self.frame_started_at = self._buffer_started_at

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and holds no unprocessed bytes."""
        return self.stream.is_idle and not self._buffer

    @property
    def is_receiving(self) -> bool:
        """Whether part of a frame has arrived on an open connection."""
        return not self.is_idle and not self.stream.input_ended.is_set()

    def send(self, kind: Kind, payload: bytes) -> None:
        """Send one frame; raises ``ConnectionError`` if the connection is closed."""
        head = frames.LENGTH_PREFIX.pack(len(payload) + 1) + kind.value
        self.stream.write(head + payload)

    async def receive(self) -> tuple[Kind, bytes] | None:
        """Return the next frame; None at the end of the stream.

        Raises
        ------
        FrameError
            If the stream ends inside a frame, or a frame has an unknown kind or an
            invalid length.
        ConnectionError
            If the connection is lost.
        """
        while True:
            frame = self._next_frame()
            if frame is not None:
                return frame
            data = await self.stream.receive()
            if not data:
                if self._buffer:
                    raise frames.FrameError("connection closed inside a frame")
                return None
            self._last_received_at = clock.now()
            if not self._buffer:
                # The connection was idle; the next frame starts with these bytes.
                self._buffer_started_at = self._last_received_at
            self._buffer += data

    def _next_frame(self) -> tuple[Kind, bytes] | None:
        if len(self._buffer) < frames.LENGTH_PREFIX.size:
            return None
        (length,) = frames.LENGTH_PREFIX.unpack_from(self._buffer)
        if not 1 <= length <= MAX_FRAME_BYTES:
            raise frames.FrameError(f"frame of {length} bytes")
        start, end = frames.LENGTH_PREFIX.size, frames.LENGTH_PREFIX.size + length
        if len(self._buffer) < end:
            return None
        payload = bytes(self._buffer[start:end])
        del self._buffer[:end]
        # The rest of the buffer arrived with the last bytes.
        self.frame_started_at, self._buffer_started_at = (
            self._buffer_started_at,
            self._last_received_at,
        )
        try:
            kind = Kind(payload[:1])
        except ValueError:
            raise frames.FrameError(f"frame of kind {payload[:1]!r}") from None
        return kind, payload[1:]
