from __future__ import annotations

import dataclasses
import socket
import threading

import pytest

from snipelink import errors, model
from snipelink.session import frames, messages
from tests.execute import scripted_nodes


def scripted_peer(*replies: bytes | None) -> model.Endpoint:
    """Serve one connection that sends `replies` in turn; None closes it."""
    listener = socket.create_server((scripted_nodes.HOST, 0))

    def serve() -> None:
        with listener, listener.accept()[0] as connection:
            frames.receive(connection, scripted_nodes.MAX_FRAME_BYTES)
            frames.send(connection, messages.encode_hello("peer", "peer-1"))
            for reply in replies:
                frames.receive(connection, scripted_nodes.MAX_FRAME_BYTES)
                if reply is None:
                    return
                connection.sendall(reply)

    threading.Thread(target=serve, daemon=True).start()
    address = f"{scripted_nodes.HOST}:{listener.getsockname()[1]}"
    return model.Endpoint("peer", "s", "d-1", "d", "127.0.0.1:1", address)


def frame(payload: bytes) -> bytes:
    return frames.LENGTH_PREFIX.pack(len(payload)) + payload


def reply_to(call_id: str) -> bytes:
    answer = model.Answer(200, [], b"body")
    return messages.encode_reply(call_id, scripted_nodes.Ok(answer), None)


def test_reply_to_another_call_is_discarded_and_counted() -> None:
    """Guards against an answer that is delivered to the wrong caller."""
    forwarder = scripted_nodes.make_forwarder()
    endpoint = scripted_peer(frame(reply_to("other")))
    failure = forwarder.forward(scripted_nodes.make_call(), endpoint).unwrap_err()
    assert failure.kind is errors.Kind.CONNECTION_LOST
    assert forwarder.mismatched_replies == 1


def test_truncated_reply_fails_with_unknown_execution() -> None:
    """Guards against a partial answer, and against a wrong claim of `not-run`."""
    whole = frame(reply_to("c1"))
    for reply in (whole[:-3], whole[:2], None):
        endpoint = scripted_peer(reply, None)
        outcome = scripted_nodes.make_forwarder().forward(
            scripted_nodes.make_call(), endpoint
        )
        assert (
            outcome.unwrap_err().traits.execution_status
            is errors.ExecutionStatus.UNKNOWN
        )


def test_call_to_an_unreachable_node_is_not_run() -> None:
    """Guards against a failure that a caller could not retry safely."""
    endpoint = model.Endpoint("peer", "s", "d", "r", "127.0.0.1:1", "127.0.0.1:1")
    failure = (
        scripted_nodes.make_forwarder()
        .forward(scripted_nodes.make_call(), endpoint)
        .unwrap_err()
    )
    assert failure.kind is errors.Kind.UNREACHABLE
    assert failure.not_run


def test_different_node_at_the_address_is_not_called() -> None:
    """Guards against a node that reuses an address and gets its old owner's calls."""
    handler = scripted_nodes.ScriptedHandler("new")
    with scripted_nodes.serving(handler) as endpoint:
        former = dataclasses.replace(endpoint, name="former")
        failure = (
            scripted_nodes.make_forwarder()
            .forward(scripted_nodes.make_call(), former)
            .unwrap_err()
        )
    assert failure.kind is errors.Kind.STALE_INCARNATION
    assert handler.calls == []


def test_reply_after_the_deadline_fails_with_unknown_execution() -> None:
    """Guards against a claim of `not-run` for a call that may still be running."""
    handler = scripted_nodes.ScriptedHandler("late")
    handler.may_answer.clear()
    with scripted_nodes.serving(handler) as endpoint:
        call = scripted_nodes.make_call(timeout_s=0.05)
        failure = scripted_nodes.make_forwarder().forward(call, endpoint).unwrap_err()
    assert failure.kind is errors.Kind.DEADLINE_UNKNOWN


@pytest.mark.parametrize("status", [0, 99, 101, 600])
def test_reply_with_an_undefined_or_interim_status_is_no_answer(status: int) -> None:
    """Guards against a status 000 that reaches the caller by way of another node."""
    answer = model.Answer(status, [], b"body")
    reply = messages.encode_reply("c1", scripted_nodes.Ok(answer), None)
    endpoint = scripted_peer(frame(reply))
    failure = (
        scripted_nodes.make_forwarder()
        .forward(scripted_nodes.make_call(), endpoint)
        .unwrap_err()
    )
    assert failure.kind is errors.Kind.ANSWER_INVALID
    assert not failure.not_run
