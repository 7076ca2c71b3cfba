"""Calls between nodes: deadline propagation and graceful shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import zlib

import pytest

from bench import loopback
from snipelink import clock
from snipelink.decide import store_position
from snipelink.generated import mesh
from snipelink.mesh import (
    calls,
    catalog,
    channel,
    connection_monitor,
    frames,
    messages,
    node,
    peers,
    published_state,
)
from snipelink.session import frames as framing
from snipelink.session import memory
from tests.mesh import fleet, test_node

KNOWN = store_position.Position(0, 5)


async def connect(member: fleet.Member) -> channel.Channel:
    return await channel.connect((member.host, fleet.PEER_PORT), 1.0)


@test_node.run
async def test_call_deadline_includes_the_time_to_receive_its_frame() -> None:
    """Guards against a deadline that starts only once the whole frame has arrived.

    With a large body on a slow link, the endpoint got the transfer time in addition.
    """
    async with fleet.running("rota") as members:
        data = fleet.call_frame(members[0], "c1", remaining_ms=2000)
        stream = await connect(members[0])
        stream.write(data[:50])
        await asyncio.sleep(0.8)
        stream.write(data[50:])
        await fleet.wait_until(lambda: test_node.arrivals(members, "c1") == 1)
        (seen,) = members[0].endpoint.received
        assert int(seen.request.header(fleet.NAMES.remaining_ms)) <= 1250
        stream.abort()


def test_stop_waits_for_a_call_whose_frame_is_arriving(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against closing a connection in the middle of a call's frame.

    Without a reply, the sender could not exclude that the call has run.
    """
    bounds = dataclasses.replace(fleet.BOUNDS, grace_s=8.0)
    monkeypatch.setattr(fleet, "BOUNDS", bounds)

    async def check() -> None:
        async with fleet.running("rota") as members:
            data = fleet.call_frame(members[0], "c1", remaining_ms=4000)
            stream = await connect(members[0])
            stream.write(data[:50])
            members[0].stop.set()
            await asyncio.sleep(node.MIN_SHUTDOWN_S + 0.5)
            stream.write(data[50:])
            received = await frames.FrameChannel(stream).receive()
            assert received is not None, "the node stopped in the middle of a frame"
            assert received[0] is frames.Kind.REPLY

    asyncio.run(check())


@test_node.run
async def test_call_deadline_excludes_the_idle_time_of_its_connection() -> None:
    """Guards against counting the time between two calls on a reused connection."""
    async with fleet.running("rota") as members:
        stream = await connect(members[0])
        connection = frames.FrameChannel(stream)
        for call_id in ("c1", "c2"):
            stream.write(fleet.call_frame(members[0], call_id, remaining_ms=2000))
            received = await connection.receive()
            assert received is not None
            assert received[0] is frames.Kind.REPLY
            await asyncio.sleep(0.8)
        for seen in members[0].endpoint.received:
            assert int(seen.request.header(fleet.NAMES.remaining_ms)) > 1750
        stream.abort()


@test_node.run
async def test_arrival_time_of_a_frame_is_that_of_its_first_bytes() -> None:
    """Guards against counting a frame's time from the start of the previous frame."""
    first, second = (
        framing.LENGTH_PREFIX.pack(3) + frames.Kind.CALL.value + payload
        for payload in (b"c1", b"c2")
    )
    stream = channel.Channel()
    connection = frames.FrameChannel(stream)
    await asyncio.sleep(0.05)
    began = clock.now()
    stream.data_received(first[:2])
    receiving = asyncio.ensure_future(connection.receive())
    await asyncio.sleep(0.05)
    stream.data_received(first[2:] + second[:2])
    assert await receiving == (frames.Kind.CALL, b"c1")
    assert began <= connection.frame_started_at < began + 0.04
    await asyncio.sleep(0.05)
    stream.data_received(second[2:])
    assert await connection.receive() == (frames.Kind.CALL, b"c2")
    assert began + 0.04 < connection.frame_started_at < began + 0.09


def _large_configuration(version: int) -> published_state.Configuration:
    routes = tuple(fleet.route("rota", f"/r{index}/") for index in range(2000))
    return published_state.Configuration(
        version, routes, {}, published_state.CallerLimits()
    )


@test_node.run
async def test_large_configuration_arrives_over_a_slow_connection() -> None:
    """Guards against nodes that never get a new configuration from others.

    The transfer took longer than its timeout where links were slow, and each node
    started again from its beginning.
    """
    encoded = peers._encoder.encode(
        catalog.Changes(7, configurations=(_large_configuration(2),))
    )
    address = (loopback.next_host(), fleet.PEER_PORT)
    slice_count = 6

    async def serve(stream: channel.Channel) -> None:
        connection = frames.FrameChannel(stream)
        assert await connection.receive() is not None
        head = framing.LENGTH_PREFIX.pack(len(encoded) + 1)
        data = head + frames.Kind.CHANGES.value + encoded
        size = len(data) // slice_count + 1
        for start in range(0, len(data), size):
            stream.write(data[start : start + size])
            await asyncio.sleep(peers.PUBLISHED_TIMEOUT_S / 3.0)

    listener = await channel.listen(address, serve, 1)
    monitor = connection_monitor.ConnectionMonitor()
    client = peers.PeerClient(fleet.PEER_PORT, monitor)
    fetched = await client.fetch_published_state(address[0], KNOWN)
    listener.close()
    assert fetched.is_ok(), fetched.unwrap_err()
    assert fetched.unwrap().revision == 7


@test_node.run
async def test_calls_count_as_unacknowledged_until_the_node_has_them() -> None:
    address = (loopback.next_host(), fleet.PEER_PORT)
    is_acknowledging = asyncio.Event()

    async def serve(stream: channel.Channel) -> None:
        connection = frames.FrameChannel(stream)
        assert await connection.receive() is not None
        await is_acknowledging.wait()
        connection.send(frames.Kind.ACCEPTED, messages.encode_accepted(1))
        await connection.receive()

    listener = await channel.listen(address, serve, 1)
    client = peers.PeerClient(fleet.PEER_PORT, connection_monitor.ConnectionMonitor())
    now = clock.now()
    call = calls.Call(
        "c1", "rota", "r", "POST", "/claim/", [], b"", now, now + 1.0, now + 1.0,
        2, False, 0.1,
    )  # fmt: skip
    task = asyncio.ensure_future(client.call(address[0], "i-1", call))
    await asyncio.sleep(0.05)
    assert client.unacknowledged_by_instance(0.01, clock.now()) == {"i-1": 1}
    assert not client.unacknowledged_by_instance(1.0, clock.now())
    is_acknowledging.set()
    await asyncio.sleep(0.05)
    assert not client.unacknowledged_by_instance(0.01, clock.now())
    task.cancel()
    await asyncio.wait((task,))
    assert not client._calls_in_flight
    listener.close()


# Time for which packets wait at a link that still counts as sound, both ways, seconds.
CONGESTED_ROUND_TRIP_S = 0.9


def test_changes_arrive_over_a_congested_link(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a node that asks one node after the other in vain.

    Each connection took longer than its timeout, since the packets waited at the
    machine's own link, and the next one waited as long.
    """
    encoded = peers._encoder.encode(catalog.Changes(7))
    address = (loopback.next_host(), fleet.PEER_PORT)
    connect_at_once = channel.connect

    async def connect_slowly(
        address: channel.Address, timeout_s: float
    ) -> channel.Channel:
        async with asyncio.timeout(timeout_s):
            await asyncio.sleep(CONGESTED_ROUND_TRIP_S)
        return await connect_at_once(address, timeout_s)

    async def serve(stream: channel.Channel) -> None:
        connection = frames.FrameChannel(stream)
        assert await connection.receive() is not None
        await asyncio.sleep(CONGESTED_ROUND_TRIP_S)
        connection.send(frames.Kind.CHANGES, encoded)
        await connection.receive()

    async def check() -> None:
        listener = await channel.listen(address, serve, 1)
        client = peers.PeerClient(
            fleet.PEER_PORT, connection_monitor.ConnectionMonitor()
        )
        monkeypatch.setattr(channel, "connect", connect_slowly)
        fetched = await client.fetch_published_state(address[0], KNOWN)
        listener.close()
        assert fetched.is_ok(), fetched.unwrap_err()

    asyncio.run(check())


@test_node.run
async def test_node_that_sends_no_published_state_is_given_up() -> None:
    address = (loopback.next_host(), fleet.PEER_PORT)

    async def serve(stream: channel.Channel) -> None:
        stream.write(b"\0\0")
        while await stream.receive():
            pass

    listener = await channel.listen(address, serve, 1)
    monitor = connection_monitor.ConnectionMonitor()
    client = peers.PeerClient(fleet.PEER_PORT, monitor)
    began = clock.now()
    fetched = await client.fetch_published_state(address[0], KNOWN)
    listener.close()
    assert fetched.is_err()
    assert clock.now() - began < 2.0 * peers.PUBLISHED_TIMEOUT_S


@test_node.run
async def test_transfer_that_never_ends_is_given_up() -> None:
    """Guards against a node that waits for one other node for ever."""
    address = (loopback.next_host(), fleet.PEER_PORT)

    async def serve(stream: channel.Channel) -> None:
        stream.write(framing.LENGTH_PREFIX.pack(1 << 20))
        with contextlib.suppress(ConnectionError):
            while not stream.input_ended.is_set():
                stream.write(b"x")
                await asyncio.sleep(peers.PUBLISHED_TIMEOUT_S / 4.0)

    listener = await channel.listen(address, serve, 1)
    monitor = connection_monitor.ConnectionMonitor()
    pool = memory.Pool(1 << 22)
    client = peers.PeerClient(fleet.PEER_PORT, monitor, pool)
    began = clock.now()
    fetched = await client.fetch_published_state(address[0], KNOWN)
    listener.close()
    assert fetched.is_err()
    assert clock.now() - began < peers.MAX_TRANSFER_S + peers.PUBLISHED_TIMEOUT_S
    # The transfer is charged as long as it is held.
    assert pool.peak == 1 << 20
    await fleet.wait_until(lambda: pool.used == 0)


def test_compressed_state_equals_the_plain_one_and_is_smaller() -> None:
    state = catalog.Catalog(2.0)
    configuration = _large_configuration(2)
    state.apply_snapshot(published_state.PublishedState(5, configuration, ()), 100.0)
    request = mesh.PublishedRequest(1)
    kind, plain = peers._encode_published(state, request)
    small_kind, small = peers._encode_published(state, mesh.PublishedRequest(1, True))
    assert kind is frames.Kind.PUBLISHED
    assert peers._decode_published(small_kind, small) == peers._decode_published(
        kind, plain
    )
    assert len(small) < len(plain) / 5


def test_compressed_state_beyond_its_bound_is_refused() -> None:
    """Guards against a small answer that takes any amount of memory."""
    bomb = zlib.compress(bytes(peers.MAX_PUBLISHED_BYTES + 1))
    with pytest.raises(framing.FrameError):
        peers._decode_published(frames.Kind.PUBLISHED_COMPRESSED, bomb)
