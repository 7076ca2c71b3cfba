"""Length-prefixed frames on a call connection."""

from __future__ import annotations

import select
import socket
import struct

LENGTH = struct.Struct(">I")
# Room for the fields of a message beside its body and headers.
MESSAGE_OVERHEAD_BYTES = 65536


class FrameError(Exception):
    """The peer broke the framing; the connection is unusable."""


def send(connection: socket.socket, payload: bytes) -> None:
    """Send one frame."""
    connection.sendall(LENGTH.pack(len(payload)) + payload)


def receive(connection: socket.socket, limit: int) -> bytes | None:
    """Receive one frame of at most `limit` bytes; ``None`` at end of stream."""
    data = connection.recv(65536)
    if not data:
        return None
    while len(data) < LENGTH.size:
        data += _receive_some(connection, 65536)
    (length,) = LENGTH.unpack_from(data)
    if length > limit:
        raise FrameError(f"frame of {length} bytes exceeds {limit}")
    end = LENGTH.size + length
    if len(data) < end:
        data = _receive_rest(connection, data, end)
    if len(data) != end:
        raise FrameError("data after the end of the frame")
    return data[LENGTH.size :]


def _receive_rest(connection: socket.socket, data: bytes, end: int) -> bytes:
    buffer = bytearray(data)
    while len(buffer) < end:
        buffer += _receive_some(connection, min(262144, end - len(buffer)))
    return bytes(buffer)


def _receive_some(connection: socket.socket, size: int) -> bytes:
    data = connection.recv(size)
    if not data:
        raise FrameError("connection closed inside a frame")
    return data


def is_readable(connection: socket.socket) -> bool:
    """Whether data or the end of the stream waits; does not block.

    A socket with a timeout would wait in ``recv`` even with ``MSG_DONTWAIT``.
    """
    poller = select.poll()
    poller.register(connection, select.POLLIN)
    return bool(poller.poll(0))


def is_closed(connection: socket.socket) -> bool:
    """Whether the peer closed the connection or broke the one-call protocol."""
    try:
        return is_readable(connection)
    except (OSError, ValueError):
        return True
