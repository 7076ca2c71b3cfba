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
COMPRESSION_THRESHOLD_BYTES = 300
# ZMTP and CurveZMQ envelope, TCP and IP headers and the acknowledgement of a message.
MESSAGE_OVERHEAD_BYTES = 150
# Greeting, CurveZMQ handshake and TCP set-up of a connection.
CONNECTION_OVERHEAD_BYTES = 1_500

_UNCOMPRESSED = b"\x01"
_COMPRESSED = b"\x02"
_DECODER = msgspec.msgpack.Decoder(messages.ControlMessage)
_ENCODER = msgspec.msgpack.Encoder()


class RefusalReason(enum.Enum):
    """Why a frame was refused."""

    OVERSIZED = "oversized"
    GARBAGE = "garbage"


def encode(message: messages.ControlMessage) -> bytes:
    """Return the frame of a message; fields with their default are left out."""
    body = _ENCODER.encode(_without_defaults(message))
    if len(body) >= COMPRESSION_THRESHOLD_BYTES:
        compressed = zlib.compress(body, 1)
        if len(compressed) < len(body):
            return _COMPRESSED + compressed
    return _UNCOMPRESSED + body


def decode(frame: bytes) -> result.Result[messages.ControlMessage, RefusalReason]:
    """Return the message of a frame; unknown fields are ignored."""
    if len(frame) > MAX_FRAME_BYTES:
        return result.Err(RefusalReason.OVERSIZED)
    kind, body = frame[:1], frame[1:]
    if kind == _COMPRESSED:
        inflated = _decompress(body)
        if inflated is None:
            return result.Err(RefusalReason.GARBAGE)
        body = inflated
    elif kind != _UNCOMPRESSED:
        return result.Err(RefusalReason.GARBAGE)
    try:
        return result.Ok(_DECODER.decode(body))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return result.Err(RefusalReason.GARBAGE)


def network_bytes(frame: bytes) -> int:
    """Return the bytes that a frame costs on the network."""
    return len(frame) + MESSAGE_OVERHEAD_BYTES


def _decompress(body: bytes) -> bytes | None:
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(body, MAX_DECODED_BYTES)
    except zlib.error:
        return None
    return content if decompressor.eof and not decompressor.unused_data else None


@functools.cache
def _struct_fields(kind: type[msgspec.Struct]) -> tuple[msgspec.structs.FieldInfo, ...]:
    return msgspec.structs.fields(kind)


def _without_defaults(struct: msgspec.Struct) -> dict[str, object]:
    encoded_fields: dict[str, object] = {}
    for field in _struct_fields(type(struct)):
        value = getattr(struct, field.name)
        if isinstance(value, msgspec.Struct):
            encoded_fields[field.name] = _without_defaults(value)
        elif isinstance(value, list):
            if value:
                encoded_fields[field.name] = [
                    _without_defaults(item)
                    if isinstance(item, msgspec.Struct)
                    else item
                    for item in value
                ]
        elif field.required or value != field.default:
            encoded_fields[field.name] = value
    return encoded_fields
