"""Encoding of control messages as size-limited, optionally deflated msgpack frames."""

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
# Per message: ZMTP and CurveZMQ framing, TCP and IP headers, TCP acknowledgement.
MESSAGE_OVERHEAD_BYTES = 150
# Per connection: TCP handshake, ZMTP greeting and CurveZMQ handshake.
CONNECTION_OVERHEAD_BYTES = 1_500

_UNCOMPRESSED = b"\x01"
_COMPRESSED = b"\x02"
_DECODER = msgspec.msgpack.Decoder(messages.ControlMessage)
_ENCODER = msgspec.msgpack.Encoder()


class RefusalReason(enum.Enum):
    """Why a frame was refused."""

    OVERSIZED = "oversized"
    MALFORMED = "garbage"


def encode(message: messages.ControlMessage) -> bytes:
    """Encode a message as a frame, omitting fields that have their default value."""
    body = _ENCODER.encode(_without_defaults(message))
    if len(body) >= COMPRESSION_THRESHOLD_BYTES:
        compressed = zlib.compress(body, 1)
        if len(compressed) < len(body):
            return _COMPRESSED + compressed
    return _UNCOMPRESSED + body


def decode(frame: bytes) -> result.Result[messages.ControlMessage, RefusalReason]:
    """Decode a frame, ignoring unknown fields.

    Damaged, oversized and unknown frames are refused, never raised as an exception.
    """
    if len(frame) > MAX_FRAME_BYTES:
        return result.Err(RefusalReason.OVERSIZED)
    kind, body = frame[:1], frame[1:]
    if kind == _COMPRESSED:
        inflated = _decompress(body)
        if inflated is None:
            return result.Err(RefusalReason.MALFORMED)
        body = inflated
    elif kind != _UNCOMPRESSED:
        return result.Err(RefusalReason.MALFORMED)
    try:
        return result.Ok(_DECODER.decode(body))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return result.Err(RefusalReason.MALFORMED)


def network_bytes(frame: bytes) -> int:
    """Return the bytes that a frame takes on the network, with protocol overhead."""
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
