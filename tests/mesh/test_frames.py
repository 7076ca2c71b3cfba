"""Tests of the frames between nodes."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest

from bench import loopback
from snipelink.mesh import channel, frames
from snipelink.session import frames as framing
from snipelink.session import memory

ADDRESS = (loopback.next_host(), 21396)
LARGE_BYTES = 8 << 20


async def _receive_all(
    payloads: list[bytes], pool: memory.Pool | None
) -> list[bytes | Exception]:
    """Send frames on one connection and return what the other side receives."""
    received: list[bytes | Exception] = []
    done = asyncio.Event()

    async def serve(stream: channel.Channel) -> None:
        connection = frames.FrameChannel(stream, pool)
        try:
            while (frame := await connection.receive()) is not None:
                received.append(bytes(frame[1]))
                del frame
        except framing.FrameError as error:
            received.append(error)
        finally:
            done.set()

    listener = await channel.listen(ADDRESS, serve, 1)
    stream = await channel.connect(ADDRESS, 1.0)
    sender = frames.FrameChannel(stream)
    try:
        for payload in payloads:
            await sender.send_parts(frames.Kind.CALL, (payload[:3], payload[3:]))
    except ConnectionError:
        # The receiver has given up the connection.
        pass
    stream.close()
    await done.wait()
    listener.close()
    return received


def test_frames_of_all_sizes_arrive_unchanged_and_in_order() -> None:
    limit = frames.LARGE_FRAME_BYTES
    sizes = [0, 5, limit - 1, limit, 3, limit + 300_000, 0, LARGE_BYTES, 1]
    payloads = [bytes([index]) * size for index, size in enumerate(sizes)]
    pool = memory.Pool(LARGE_BYTES * 2)
    assert asyncio.run(_receive_all(payloads, pool)) == payloads
    assert pool.used == 0
    assert pool.peak > LARGE_BYTES


def test_frame_without_room_closes_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(frames, "ROOM_TIMEOUT_S", 0.05)
    pool = memory.Pool(LARGE_BYTES)
    received = asyncio.run(_receive_all([b"small", bytes(LARGE_BYTES)], pool))
    assert received[0] == b"small"
    assert isinstance(received[1], framing.FrameError)
    assert pool.used == 0


def test_large_frame_takes_about_its_size_at_each_side() -> None:
    """Guards against copies of an upload at every step of its way."""
    payload = bytes(LARGE_BYTES)

    async def serve(stream: channel.Channel) -> None:
        assert await frames.FrameChannel(stream).receive() is not None

    async def check() -> int:
        listener = await channel.listen(ADDRESS, serve, 1)
        stream = await channel.connect(ADDRESS, 1.0)
        tracemalloc.start()
        try:
            sender = frames.FrameChannel(stream)
            await sender.send_parts(frames.Kind.CALL, (payload,))
            await stream.receive()
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            stream.close()
            listener.close()
        return peak

    # The payload itself was allocated before.
    assert asyncio.run(check()) < LARGE_BYTES * 1.5
