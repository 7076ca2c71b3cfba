"""Tests of attempts of other nodes that arrive late or are retransmitted."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from snipelink import errors
from snipelink.generated import mesh
from snipelink.mesh import channel, deduplication, frames
from snipelink.session import frames as framing
from tests.mesh import fleet, test_node

ATTEMPT = "sender-7"


def frame(member: fleet.Member, *, transmission: int, remaining_ms: int) -> bytes:
    """Return the frame of one transmission; all frames carry the same attempt."""
    call = mesh.Call(
        "c1",
        member.endpoint.instance,
        member.endpoint.service,
        "POST",
        "/claim/1",
        [["host", "example"]],
        b"x",
        remaining_ms,
        remaining_ms,
        10,
        2,
        False,
        "archive",
        ATTEMPT,
        transmission,
        member.node._started_ms,
    )
    kind = frames.Kind.CALL_AGAIN if transmission else frames.Kind.CALL
    payload = msgspec.msgpack.encode(call)
    return framing.LENGTH_PREFIX.pack(len(payload) + 1) + kind.value + payload


async def send(member: fleet.Member, data: bytes) -> frames.FrameChannel:
    stream = await channel.connect((member.host, fleet.PEER_PORT), 1.0)
    stream.write(data)
    return frames.FrameChannel(stream)


async def receive_reply(connection: frames.FrameChannel) -> mesh.Reply:
    async with asyncio.timeout(2.0):
        while True:
            received_frame = await connection.receive()
            assert received_frame is not None
            kind, payload = received_frame
            if kind is frames.Kind.REPLY:
                return msgspec.msgpack.decode(payload, type=mesh.Reply)


@pytest.mark.parametrize("transmission", [0, 1])
def test_delayed_transmission_does_not_run_a_dropped_attempt_again(
    monkeypatch: pytest.MonkeyPatch, transmission: int
) -> None:
    """Guards against running an attempt twice after it was dropped from memory.

    A machine that was paused reads a delayed transmission long after the run of an
    earlier one has ended.
    """
    monkeypatch.setattr(deduplication, "RETENTION_S", 0.0)

    async def check() -> None:
        async with fleet.running("rota") as members:
            first = await send(
                members[0], frame(members[0], transmission=0, remaining_ms=200)
            )
            assert (await receive_reply(first)).status == 200
            await asyncio.sleep(0.3)
            late = await send(
                members[0],
                frame(members[0], transmission=transmission, remaining_ms=2000),
            )
            assert (
                await receive_reply(late)
            ).failure == errors.Kind.CONNECTION_LOST.value
            assert test_node.arrivals(members, "c1") == 1
            for connection in (first, late):
                connection.stream.abort()

    asyncio.run(check())


def test_running_attempt_is_not_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against dropping an attempt while it runs.

    The endpoint was paused with its machine, and runs the call beyond its deadline.
    """
    monkeypatch.setattr(deduplication, "RETENTION_S", -1.0)

    async def check() -> None:
        async with fleet.running("rota") as members:
            members[0].endpoint.work_s = 0.5
            first = await send(
                members[0], frame(members[0], transmission=0, remaining_ms=1000)
            )
            await fleet.wait_until(lambda: test_node.arrivals(members, "c1") == 1)
            again = await send(
                members[0], frame(members[0], transmission=1, remaining_ms=1000)
            )
            assert (await receive_reply(again)).status == 200
            assert test_node.arrivals(members, "c1") == 1
            for connection in (first, again):
                connection.stream.abort()

    asyncio.run(check())
