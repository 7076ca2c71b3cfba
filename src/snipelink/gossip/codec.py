"""Frames of the control port: msgpack in a checked, bounded envelope."""

from __future__ import annotations

import enum
import functools
import zlib

import msgspec
import result

from snipelink.generated import messages

VERSION = 1
MAX_FRAME_BYTES = 16_384
MAX_DECODED_BYTES = 65_536
COMPRESS_FROM_BYTES = 300
# ZMTP and CurveZMQ envelope, TCP and IP headers and the acknowledgement of a message.
MESSAGE_OVERHEAD_BYTES = 150
# Greeting, CurveZMQ handshake and TCP set-up of a connection.
CONNECTION_OVERHEAD_BYTES = 1_500

_PLAIN = b"\x01"
_COMPRESSED = b"\x02"
_DECODER = msgspec.msgpack.Decoder(messages.ControlMessage)
_ENCODER = msgspec.msgpack.Encoder()


class Problem(enum.Enum):
    """Why a frame was refused."""

    OVERSIZED = "oversized"
    GARBAGE = "garbage"


def encode(message: messages.ControlMessage) -> bytes:
    """Return the frame of a message; fields with their default are left out."""
    body = _ENCODER.encode(_compact(message))
    if len(body) >= COMPRESS_FROM_BYTES:
        compressed = zlib.compress(body, 1)
        if len(compressed) < len(body):
            return _COMPRESSED + compressed
    return _PLAIN + body


def decode(frame: bytes) -> result.Result[messages.ControlMessage, Problem]:
    """Return the message of a frame; unknown fields are ignored."""
    if len(frame) > MAX_FRAME_BYTES:
        return result.Err(Problem.OVERSIZED)
    kind, body = frame[:1], frame[1:]
    if kind == _COMPRESSED:
        inflated = _inflate(body)
        if inflated is None:
            return result.Err(Problem.GARBAGE)
        body = inflated
    elif kind != _PLAIN:
        return result.Err(Problem.GARBAGE)
    try:
        return result.Ok(_DECODER.decode(body))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return result.Err(Problem.GARBAGE)


def cost(frame: bytes) -> int:
    """Return the bytes that a frame costs on the network."""
    return len(frame) + MESSAGE_OVERHEAD_BYTES


def _inflate(body: bytes) -> bytes | None:
    inflate = zlib.decompressobj()
    try:
        content = inflate.decompress(body, MAX_DECODED_BYTES)
    except zlib.error:
        return None
    return content if inflate.eof and not inflate.unused_data else None


@functools.cache
def _fields(kind: type[msgspec.Struct]) -> tuple[msgspec.structs.FieldInfo, ...]:
    return msgspec.structs.fields(kind)


def _compact(part: msgspec.Struct) -> dict[str, object]:
    compact: dict[str, object] = {}
    for field in _fields(type(part)):
        value = getattr(part, field.name)
        if isinstance(value, msgspec.Struct):
            compact[field.name] = _compact(value)
        elif isinstance(value, list):
            if value:
                compact[field.name] = [
                    _compact(item) if isinstance(item, msgspec.Struct) else item
                    for item in value
                ]
        elif field.required or value != field.default:
            compact[field.name] = value
    return compact
