"""Tests of TCP connections over asyncio."""

from __future__ import annotations

import asyncio

from bench import loopback
from snipelink.mesh import channel

ADDRESS = (loopback.next_host(), 21397)
# More than the socket buffers of the kernel hold.
LARGE_BYTES = 16 << 20


def test_abort_after_a_close_that_sent_the_rest_does_nothing() -> None:
    """Guards against an exception in the task that ends a connection.

    The connection was closed with bytes left to send, and aborted after they were sent.
    """
    received = 0

    async def serve(stream: channel.Channel) -> None:
        nonlocal received
        await asyncio.sleep(0.1)
        while data := await stream.receive():
            received += len(data)

    async def check() -> None:
        listener = await channel.listen(ADDRESS, serve, 1)
        stream = await channel.connect(ADDRESS, 1.0)
        stream.write(bytes(LARGE_BYTES))
        stream.close()
        async with asyncio.timeout(5.0):
            while not stream.is_closed:
                await asyncio.sleep(0.01)
        stream.abort()
        await asyncio.sleep(0.1)
        listener.close()

    asyncio.run(check())
    assert received == LARGE_BYTES


def test_parts_of_a_large_message_are_sent_in_order_to_a_slow_reader() -> None:
    parts = [bytes([index]) * (1 << 20) for index in range(8)]
    received = bytearray()

    async def serve(stream: channel.Channel) -> None:
        while data := await stream.receive():
            received.extend(data)
            await asyncio.sleep(0.001)

    async def check() -> None:
        listener = await channel.listen(ADDRESS, serve, 1)
        stream = await channel.connect(ADDRESS, 1.0)
        await stream.write_parts(*parts)
        stream.close()
        async with asyncio.timeout(5.0):
            while len(received) < sum(map(len, parts)):
                await asyncio.sleep(0.01)
        listener.close()

    asyncio.run(check())
    assert received == b"".join(parts)
