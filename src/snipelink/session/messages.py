"""Conversion between call messages on the wire and the classes of `model`."""

from __future__ import annotations

import typing

import msgspec
from result import Err, Ok, Result

from snipelink import errors, model
from snipelink.generated import messages
from snipelink.session import http

VERSION = 1
# Versions only add fields, so messages of the next version are readable too, and a
# rolling upgrade can mix both versions.
SUPPORTED_VERSIONS = (VERSION, VERSION + 1)
_encoder = msgspec.msgpack.Encoder()
_hello_decoder = msgspec.msgpack.Decoder(messages.Hello)
_request_decoder = msgspec.msgpack.Decoder(messages.CallRequest)
_reply_decoder = msgspec.msgpack.Decoder(messages.CallReply)


def encode_hello(node: str, incarnation: str, revision: int = 0) -> bytes:
    """Return the first frame that a node sends on a call connection."""
    return _encoder.encode(messages.Hello(VERSION, node, incarnation, revision))


def decode_hello(payload: bytes) -> messages.Hello:
    """Decode the first frame; raise ``msgspec.MsgspecError`` if it is invalid."""
    hello = _hello_decoder.decode(payload)
    if hello.version not in SUPPORTED_VERSIONS:
        raise msgspec.ValidationError(f"version {hello.version} is not supported")
    return hello


def decode_request(payload: bytes) -> messages.CallRequest:
    """Decode a call; raise ``msgspec.DecodeError`` if it is invalid."""
    return _request_decoder.decode(payload)


def encode_request(
    call: model.Call, incarnation: str, now: float, to_owner: bool = False
) -> bytes:
    """Return the frame that forwards `call` to another node.

    Parameters
    ----------
    to_owner : bool
        Whether the receiving node handles the call as the owner of the idempotency
        key. Otherwise it handles the call as the node beside the chosen endpoint.
    """
    return _encoder.encode(
        messages.CallRequest(
            call_id=call.call_id,
            service=call.service,
            operation=call.operation.name,
            method=call.method,
            target=call.target,
            headers=_to_header_fields(call.headers),
            body=typing.cast("bytes", call.body),
            remaining_ms=int((call.deadline - now) * 1000),
            expected_incarnation=incarnation,
            traceparent=call.traceparent,
            idempotency_key=call.idempotency_key,
            depth=call.depth,
            attempt=call.attempt,
            caller=call.caller,
            endpoint_set=call.endpoint_set,
            to_owner=to_owner,
        )
    )


def to_call(
    request: messages.CallRequest, operation: model.Operation, now: float
) -> model.Call:
    """Return the call that a request describes."""
    return model.Call(
        call_id=request.call_id,
        service=request.service,
        operation=operation,
        method=request.method,
        target=request.target,
        headers=_from_header_fields(request.headers),
        body=request.body,
        deadline=now + request.remaining_ms / 1000,
        caller=request.caller,
        endpoint_set=request.endpoint_set,
        traceparent=request.traceparent,
        idempotency_key=request.idempotency_key,
        depth=request.depth,
        attempt=request.attempt,
    )


def encode_goaway(kind: errors.Kind) -> bytes:
    """Return the frame that states that no further call on the connection will run."""
    return _encoder.encode(messages.CallReply("", b"", error_kind=kind.value))


def is_goaway(reply: messages.CallReply) -> bool:
    """Whether a reply is a goaway frame.

    Calls that were not answered before the goaway frame did not run.
    """
    return not reply.call_id and bool(reply.error_kind)


def encode_reply(
    call_id: str,
    outcome: Result[model.Answer, errors.Failure],
    load: model.LoadReport | None,
) -> bytes:
    """Return the frame that answers a call."""
    report = None
    if load is not None:
        report = messages.Load(
            load.running, load.queued, load.limit, load.leaving, load.slowness
        )
    if isinstance(outcome, Ok):
        answer = outcome.ok_value
        reply = messages.CallReply(
            call_id=call_id,
            body=typing.cast("bytes", answer.body),
            status=answer.status,
            headers=_to_header_fields(answer.headers),
            load=report,
        )
    else:
        failure = outcome.err_value
        reply = messages.CallReply(
            call_id=call_id,
            body=b"",
            error_kind=failure.kind.value,
            error_detail=failure.detail,
            retry_after_ms=int(failure.retry_after_s * 1000),
            retried=failure.retried,
            crashed=failure.crashed,
            load=report,
        )
    return _encoder.encode(reply)


def decode_reply(payload: bytes) -> messages.CallReply:
    """Decode a reply; raise ``msgspec.DecodeError`` if it is invalid."""
    return _reply_decoder.decode(payload)


def to_load_report(reply: messages.CallReply) -> model.LoadReport | None:
    """Return the load report of a reply, or ``None`` if it has none."""
    load = reply.load
    if load is None:
        return None
    return model.LoadReport(
        load.running, load.queued, load.limit, load.leaving, load.slowness
    )


def to_outcome(
    reply: messages.CallReply, endpoint: str
) -> Result[model.Answer, errors.Failure]:
    """Return the answer or failure that a reply carries."""
    if not reply.error_kind:
        if not http.is_final_status(reply.status):
            # The node that read the answer should have refused it.
            detail = f"status {reply.status} from another node"
            return Err(
                errors.Failure(
                    errors.Kind.ANSWER_INVALID, detail, 0.0, endpoint, reply.retried
                )
            )
        headers = _from_header_fields(reply.headers)
        load = to_load_report(reply)
        return Ok(model.Answer(reply.status, headers, reply.body, endpoint, load))
    try:
        kind = errors.Kind(reply.error_kind)
    except ValueError:
        # A newer version of the node may send error kinds that this version lacks.
        kind = errors.Kind.INTERNAL
    retry_after_s = reply.retry_after_ms / 1000
    return Err(
        errors.Failure(
            kind,
            reply.error_detail,
            retry_after_s,
            endpoint,
            reply.retried,
            reply.crashed,
        )
    )


def _to_header_fields(headers: model.Headers) -> list[messages.HeaderField]:
    return [messages.HeaderField(name, value) for name, value in headers]


def _from_header_fields(fields: list[messages.HeaderField]) -> model.Headers:
    return [(field.name, field.value) for field in fields]
