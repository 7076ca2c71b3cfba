"""Length-prefixed frames on a connection between nodes."""

from __future__ import annotations

import select
import socket
import ssl
import struct
import typing

from snipelink.session import memory

LENGTH_PREFIX = struct.Struct(">I")
# Allowance for the fields of a message other than its body.
MAX_FRAME_OVERHEAD_BYTES = 65536
# Maximum size of one receive operation, at the start of a frame and for its rest.
RECEIVE_BYTES = 65536
MAX_RECEIVE_BYTES = 262144


class FrameError(Exception):
    """The peer violated the framing; the connection must be closed."""


class MemoryBudgetExceeded(FrameError):
    """The frame exceeds what is left of the node's memory budget."""


class Connection(typing.Protocol):
    """A socket or a stream with a deadline."""

    def recv(self, size: int, /) -> bytes:
        """Receive some bytes; return ``b""`` at the end of the stream."""

    def sendall(self, data: bytes, /) -> None:
        """Send all bytes."""


def send(connection: Connection, payload: bytes) -> None:
    """Send one frame."""
    connection.sendall(LENGTH_PREFIX.pack(len(payload)) + payload)


def receive(
    connection: Connection, limit: int, budget: memory.Budget | None = None
) -> bytes | None:
    """Receive a frame of at most `limit` bytes; return ``None`` at end of stream.

    Raises
    ------
    FrameError
        If the frame exceeds `limit`, is cut off or is followed by further bytes.
    MemoryBudgetExceeded
        If the frame exceeds what is left of `budget`.
    """
    data = connection.recv(RECEIVE_BYTES)
    if not data:
        return None
    while len(data) < LENGTH_PREFIX.size:
        data += _receive_some(connection, RECEIVE_BYTES)
    (length,) = LENGTH_PREFIX.unpack_from(data)
    if length > limit:
        raise FrameError(f"frame of {length} bytes exceeds {limit}")
    if budget is not None and not budget.charge(length):
        raise MemoryBudgetExceeded("no memory for the frame")
    end = LENGTH_PREFIX.size + length
    if len(data) < end:
        data = _receive_rest(connection, data, end)
    if len(data) != end:
        raise FrameError("data after the end of the frame")
    return data[LENGTH_PREFIX.size :]


def _receive_rest(connection: Connection, data: bytes, end: int) -> bytes:
    buffer = bytearray(data)
    while len(buffer) < end:
        buffer += _receive_some(connection, min(MAX_RECEIVE_BYTES, end - len(buffer)))
    return bytes(buffer)


def _receive_some(connection: Connection, size: int) -> bytes:
    data = connection.recv(size)
    if not data:
        raise FrameError("connection closed inside a frame")
    return data


def is_closed(connection: socket.socket) -> bool:
    """Whether the peer closed an idle connection or sent unexpected data.

    Uses poll() because ``recv`` on a socket with a timeout blocks even with
    ``MSG_DONTWAIT``.
    """
    try:
        if isinstance(connection, ssl.SSLSocket):
            return _is_tls_closed(connection)
        poller = select.poll()
        poller.register(connection, select.POLLIN)
        return bool(poller.poll(0))
    except (OSError, ValueError):
        return True


def _is_tls_closed(connection: ssl.SSLSocket) -> bool:
    # TLS session tickets make the socket readable although no application data has
    # arrived.
    connection.setblocking(False)
    try:
        connection.recv(1)
    except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
        return False
    return True
