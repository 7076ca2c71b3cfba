"""Tests of the messages between nodes."""

from __future__ import annotations

import msgspec
import pytest

from snipelink import errors
from snipelink.generated import mesh
from snipelink.mesh import calls, messages
from snipelink.session import http


def _call(body: bytes) -> calls.Call:
    return calls.Call(
        "c1",
        "",
        "rota",
        "POST",
        "/claim/1",
        [("accept", "*/*"), ("x", "1")],
        body,
        10.0,
        11.0,
        12.0,
        1,
        idempotent=False,
        work_s=0.2,
        caller_service="desk",
    )


@pytest.mark.parametrize("size", [0, 1, http.MAX_COPIED_BODY_BYTES, 1 << 17])
def test_call_in_parts_is_the_same_message_as_a_whole_one(size: int) -> None:
    """Guards against a large call that a node of the version before cannot read."""
    body = bytes(size)
    header = messages.AttemptHeader("p-1", 2, 3)
    parts = messages.encode_call(_call(body), "i-1", header, 10.0)
    message = messages.decode_call(b"".join(parts))
    assert message.body == body
    whole = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(b"".join(parts)) == msgspec.msgpack.decode(whole)
    assert (message.call_id, message.started_ms, message.sending) == ("c1", 3, 2)


@pytest.mark.parametrize("size", [0, 1, http.MAX_COPIED_BODY_BYTES, 1 << 17])
def test_reply_in_parts_is_the_same_message_as_a_whole_one(size: int) -> None:
    response = http.Response(200, [("a", "b")], bytes(size))
    parts = messages.encode_reply("c1", calls.Outcome(response, reached=True))
    reply = messages.decode_reply(b"".join(parts))
    assert messages.to_outcome(reply).response == response


@pytest.mark.parametrize("status", [-1, 0, 99, 100, 199, 600, 999])
def test_reply_with_an_undefined_or_interim_status_is_no_answer(status: int) -> None:
    """Guards against a status 000 that reaches the caller by way of another node."""
    response = http.Response(status, [], b"abc")
    parts = messages.encode_reply("c1", calls.Outcome(response, reached=True))
    outcome = messages.to_outcome(messages.decode_reply(b"".join(parts)))
    assert outcome.response is None
    assert outcome.reached
    assert outcome.failure is not None
    assert outcome.failure.kind is errors.Kind.ANSWER_INVALID
    assert not outcome.failure.not_run


def test_body_of_a_large_message_is_not_copied() -> None:
    body = bytes(1 << 17)
    parts = messages.encode_reply("c1", calls.Outcome(http.Response(200, [], body)))
    assert any(part is body for part in parts)


def test_reply_of_a_failure_has_no_body() -> None:
    parts = messages.encode_reply(
        "c1", calls.failed_outcome(errors.Kind.LEAVING, "the node is leaving")
    )
    reply = messages.decode_reply(b"".join(parts))
    assert isinstance(reply, mesh.Reply)
    assert reply.body == b""
