"""Encodes and decodes the messages with which nodes pass calls to each other."""

from __future__ import annotations

import dataclasses
import struct

import msgspec

from snipelink import errors, model
from snipelink.generated import mesh
from snipelink.mesh import calls
from snipelink.session import http

# Heads of an array of up to 2^16 elements and of up to 2^32 bytes in msgpack.
_ARRAY_16_HEAD = struct.Struct(">BH")
_BIN_32_HEAD = struct.Struct(">BI")

_encoder = msgspec.msgpack.Encoder()
_call_decoder = msgspec.msgpack.Decoder(mesh.Call)
_accepted_decoder = msgspec.msgpack.Decoder(mesh.Accepted)
_reply_decoder = msgspec.msgpack.Decoder(mesh.Reply)


# Parts of one message, which are sent one after the other.
Parts = tuple[model.Body, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptHeader:
    """Identification of an attempt in a call message.

    Attributes
    ----------
    attempt_id : str
        Unique name of the attempt, the same for all its transmissions.
    number : int
        Number of earlier transmissions of the attempt.
    started_ms : int
        Start time of the process that was the receiver of the first transmission, Unix
        milliseconds; 0 if unknown.
    """

    attempt_id: str
    number: int
    started_ms: int


def attempt_id(sender: str, number: int) -> str:
    """Return the unique name of an attempt.

    Parameters
    ----------
    sender : str
        Name of the sending process.
    number : int
        Number of the attempt; each process numbers its attempts in ascending order.
    """
    return f"{sender}-{number}"


def parse_attempt_id(name: str) -> tuple[str, int]:
    """Return the sending process and the number that an attempt's name contains."""
    sender, _, number = name.rpartition("-")
    return sender, int(number) if number.isascii() and number.isdigit() else 0


def encode_call(
    call: calls.Call, instance: str, header: AttemptHeader, now: float
) -> Parts:
    """Return the parts of the message that requests a node to run a call."""
    message = mesh.Call(
        call.call_id,
        instance,
        call.service,
        call.method,
        call.target,
        [list(field) for field in call.headers],
        memoryview(b""),
        _ms(call.deadline - now),
        _ms(call.target_at - now),
        _ms(call.work_s),
        call.priority,
        call.idempotent,
        call.caller_service,
        header.attempt_id,
        header.number,
        header.started_ms,
        call.operation,
        call.beside_running,
        call.may_precede,
    )
    return _encode_with_body(message, call.body)


def decode_call(payload: bytes | memoryview) -> mesh.Call:
    """Decode a call message; raises ``MsgspecError`` if it is invalid."""
    return _call_decoder.decode(payload)


def to_call(message: mesh.Call, arrived_at: float) -> calls.Call:
    """Return the call that a message describes.

    Parameters
    ----------
    arrived_at : float
        Monotonic time at which the first byte of the message arrived. The target time
        and the deadline in the message are relative to it.
    """
    return calls.Call(
        message.call_id,
        message.service,
        message.operation,
        message.method,
        message.target,
        [(name, value) for name, value in message.headers],
        message.body,
        arrived_at,
        arrived_at + message.target_ms / 1000.0,
        arrived_at + message.remaining_ms / 1000.0,
        message.priority,
        message.idempotent,
        message.work_ms / 1000.0,
        message.caller_service,
        beside_running=message.beside_running,
        may_precede=message.may_precede,
    )


def encode_accepted(started_ms: int) -> bytes:
    """Return the encoded message that acknowledges a received call."""
    return _encoder.encode(mesh.Accepted(started_ms))


def decode_accepted(payload: bytes | memoryview) -> mesh.Accepted:
    """Decode an acknowledgement; raises ``MsgspecError`` if it is invalid."""
    return _accepted_decoder.decode(payload)


def decode_reply(payload: bytes | memoryview) -> mesh.Reply:
    """Decode a reply; raises ``MsgspecError`` if it is invalid."""
    return _reply_decoder.decode(payload)


def encode_reply(call_id: str, outcome: calls.Outcome) -> Parts:
    """Return the parts of the message that carries the outcome of a call."""
    failure, response = outcome.failure, outcome.response
    message = mesh.Reply(
        call_id,
        failure.kind.value if failure else "",
        failure.detail if failure else "",
        _ms(failure.retry_after_s) if failure else 0,
        outcome.reached,
        _ms(outcome.work_s),
        response.status if response else 0,
        [list(field) for field in response.headers] if response else [],
        memoryview(b""),
        outcome.internal,
    )
    return _encode_with_body(message, response.body if response else b"")


def to_outcome(reply: mesh.Reply) -> calls.Outcome:
    """Return the outcome in a reply; raises ``ValueError`` for an unknown failure."""
    if reply.failure:
        failure = errors.Failure(
            errors.Kind(reply.failure), reply.detail, reply.retry_after_ms / 1000.0
        )
        return calls.Outcome(
            failure=failure, reached=reply.reached, internal=reply.internal
        )
    if not http.is_final_status(reply.status):
        # The node that read the answer should have refused it.
        detail = f"status {reply.status} from another node"
        return calls.failed_outcome(errors.Kind.ANSWER_INVALID, detail, reached=True)
    headers = [(name, value) for name, value in reply.headers]
    response = http.Response(reply.status, headers, reply.body)
    work_s = reply.work_ms / 1000.0
    return calls.Outcome(response, reached=True, work_s=work_s, internal=reply.internal)


def _encode_with_body(message: mesh.Call | mesh.Reply, body: model.Body) -> Parts:
    """Encode a message with a body; a large body is a part of its own, not copied."""
    if len(body) <= http.MAX_COPIED_BODY_BYTES:
        message.body = memoryview(body)
        return (_encoder.encode(message),)
    fields = msgspec.structs.astuple(message)
    index = message.__struct_fields__.index("body")
    before = b"".join(_encoder.encode(field) for field in fields[:index])
    after = b"".join(_encoder.encode(field) for field in fields[index + 1 :])
    head = _ARRAY_16_HEAD.pack(0xDC, len(fields)) + before
    return head + _BIN_32_HEAD.pack(0xC6, len(body)), body, after


def _ms(seconds: float) -> int:
    return int(seconds * 1000)
