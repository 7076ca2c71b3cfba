"""Attempts of other nodes that arrive late, or again."""

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


def frame(member: fleet.Member, *, sending: int, remaining_ms: int) -> bytes:
    """Return the bytes of one sending of the same attempt."""
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
        sending,
        member.node._started_ms,
    )
    kind = frames.Kind.CALL_AGAIN if sending else frames.Kind.CALL
    payload = msgspec.msgpack.encode(call)
    return framing.LENGTH_PREFIX.pack(len(payload) + 1) + kind.value + payload


async def send(member: fleet.Member, data: bytes) -> frames.FrameChannel:
    stream = await channel.connect((member.host, fleet.PEER_PORT), 1.0)
    stream.write(data)
    return frames.FrameChannel(stream)


async def reply(connection: frames.FrameChannel) -> mesh.Reply:
    async with asyncio.timeout(2.0):
        while True:
            received_frame = await connection.receive()
            assert received_frame is not None
            kind, payload = received_frame
            if kind is frames.Kind.REPLY:
                return msgspec.msgpack.decode(payload, type=mesh.Reply)


@pytest.mark.parametrize("sending", [0, 1])
def test_sending_that_was_held_up_does_not_run_a_forgotten_attempt_again(
    monkeypatch: pytest.MonkeyPatch, sending: int
) -> None:
    """A machine that stood still reads it long after the first one has ended."""
    monkeypatch.setattr(deduplication, "RETENTION_S", 0.0)

    async def check() -> None:
        async with fleet.running("rota") as members:
            first = await send(
                members[0], frame(members[0], sending=0, remaining_ms=200)
            )
            assert (await reply(first)).status == 200
            await asyncio.sleep(0.3)
            late = await send(
                members[0], frame(members[0], sending=sending, remaining_ms=2000)
            )
            assert (await reply(late)).failure == errors.Kind.CONNECTION_LOST.value
            assert test_node.arrivals(members, "c1") == 1
            for connection in (first, late):
                connection.stream.abort()

    asyncio.run(check())


def test_attempt_that_still_runs_is_not_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The endpoint stood still with its machine, and worked on past the deadline."""
    monkeypatch.setattr(deduplication, "RETENTION_S", -1.0)

    async def check() -> None:
        async with fleet.running("rota") as members:
            members[0].endpoint.work_s = 0.5
            first = await send(
                members[0], frame(members[0], sending=0, remaining_ms=1000)
            )
            await fleet.wait_until(lambda: test_node.arrivals(members, "c1") == 1)
            again = await send(
                members[0], frame(members[0], sending=1, remaining_ms=1000)
            )
            assert (await reply(again)).status == 200
            assert test_node.arrivals(members, "c1") == 1
            for connection in (first, again):
                connection.stream.abort()

    asyncio.run(check())
