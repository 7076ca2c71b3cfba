"""Tests of the memory budget for bodies."""

from __future__ import annotations

import asyncio
import gc
import weakref

import pytest

from snipelink import errors
from snipelink.mesh import published_state
from snipelink.session import memory, request_reader

HEAD = b"POST /p HTTP/1.1\r\nHost: a.example\r\n"
PLAIN = HEAD + b"Content-Length: 5\r\n\r\nhello"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"


def test_charge_beyond_the_limit_is_refused_and_not_counted() -> None:
    pool = memory.Pool(10)
    charge = memory.PoolCharge(pool)
    assert charge.charge(10)
    assert not charge.charge(1)
    assert (pool.used, pool.refused) == (10, 1)
    charge.release()
    charge.release()
    assert pool.used == 0


def test_detach_moves_the_bytes_which_are_freed_once() -> None:
    """Guards against freeing the memory of one request together with another's."""
    pool = memory.Pool(10)
    charge = memory.PoolCharge(pool)
    assert charge.charge(3)
    first = charge.detach()
    assert charge.charge(4)
    first.release()
    first.release()
    assert pool.used == 4
    charge.release()
    assert pool.used == 0


@pytest.mark.parametrize("request_bytes", [PLAIN, CHUNKED])
def test_partly_read_body_stays_charged(request_bytes: bytes) -> None:
    """Guards against freeing a partly read body with the request before it."""
    pool = memory.Pool(100)
    charge = memory.PoolCharge(pool)
    reader = request_reader.RequestReader(published_state.CallerLimits(), charge)
    reader.feed(request_bytes + request_bytes[: request_bytes.index(b"llo")])
    assert reader.next_request() is not None
    first = charge.detach()
    whole = pool.used
    assert whole >= 5
    assert reader.next_request() is None
    first.release()
    assert pool.used == 5
    reader.feed(request_bytes[request_bytes.index(b"llo") :])
    assert reader.next_request() is not None
    assert pool.used == whole
    charge.detach().release()
    assert pool.used == 0


@pytest.mark.parametrize("request_bytes", [PLAIN, CHUNKED])
def test_closed_reader_is_freed_without_a_garbage_collection(
    request_bytes: bytes,
) -> None:
    """Guards against bodies of closed connections that stay in memory.

    The reader and its parser referred to each other until a garbage collection.
    """
    charge = memory.PoolCharge(memory.Pool(100))
    gc.disable()
    try:
        reader = request_reader.RequestReader(published_state.CallerLimits(), charge)
        reader.feed(request_bytes + request_bytes[:-2])
        assert reader.next_request() is not None
        reader.close()
        freed = weakref.ref(reader)
        del reader
        assert freed() is None
    finally:
        gc.enable()


@pytest.mark.parametrize("request_bytes", [PLAIN, CHUNKED])
def test_returned_body_is_not_kept_by_its_reader(request_bytes: bytes) -> None:
    """Guards against an idle connection that keeps the last body."""
    charge = memory.PoolCharge(memory.Pool(100))
    reader = request_reader.RequestReader(published_state.CallerLimits(), charge)
    reader.feed(request_bytes)
    request = reader.next_request()
    assert request is not None
    body = request.body
    del request
    assert body == b"hello"
    assert not any(held is body for held in gc.get_referents(reader._body))


def test_charges_of_two_pools_share_the_limit_of_their_parent() -> None:
    parent = memory.Pool(10)
    first = memory.PoolCharge(memory.Pool(8, parent=parent))
    second = memory.PoolCharge(memory.Pool(8, parent=parent))
    assert first.charge(8)
    assert not second.charge(3)
    assert second.charge(2)
    first.release()
    assert parent.used == 2
    assert second.charge(6)


def test_large_charges_leave_room_for_small_ones() -> None:
    """Guards against small requests that are refused because of a few large ones."""
    pool = memory.Pool(memory.SMALL_CHARGE_BYTES * 16)
    large = memory.PoolCharge(pool)
    reserve = pool.limit // memory.RESERVE_DIVISOR
    assert not large.charge(pool.limit - reserve + 1)
    # A charge that grows in small steps is a large one, too.
    while large.charge(memory.SMALL_CHARGE_BYTES // 2):
        pass
    assert pool.used <= pool.limit - reserve
    assert memory.PoolCharge(pool).charge(reserve // 2)


def test_waiting_charges_are_admitted_in_their_order() -> None:
    async def check() -> None:
        pool = memory.Pool(10)
        held = memory.PoolCharge(pool)
        assert held.charge(8)
        charges = [memory.PoolCharge(pool) for _ in range(2)]
        admitted: list[int] = []

        async def wait(index: int, size: int) -> None:
            assert await charges[index].wait_and_charge(size, 5.0)
            admitted.append(index)

        tasks = [
            asyncio.ensure_future(wait(0, 6)),
            asyncio.ensure_future(wait(1, 1)),
        ]
        await asyncio.sleep(0)
        # The second would fit, but the first must not wait for ever behind small ones.
        await asyncio.sleep(0.01)
        assert admitted == []
        held.release()
        await asyncio.gather(*tasks)
        assert admitted == [0, 1]
        assert pool.used == 7

    asyncio.run(check())


def test_charge_that_waits_in_vain_or_is_cancelled_holds_nothing() -> None:
    async def check() -> None:
        pool = memory.Pool(10)
        held = memory.PoolCharge(pool)
        assert held.charge(8)
        late = memory.PoolCharge(pool)
        assert not await late.wait_and_charge(6, 0.01)
        assert pool.refused == 1
        waiting = asyncio.ensure_future(late.wait_and_charge(6, 5.0))
        await asyncio.sleep(0.01)
        held.release()
        # Room has been found, and the waiting task is cancelled before it runs.
        waiting.cancel()
        await asyncio.wait((waiting,))
        assert pool.used == 0
        assert await late.wait_and_charge(6, 0.01)
        assert pool.used == 6

    asyncio.run(check())


def test_charge_of_a_buffer_ends_with_the_buffer() -> None:
    pool = memory.Pool(10)
    buffer = memory.ChargedBuffer(b"x" * 5)
    buffer.charge = memory.PoolCharge(pool)
    assert buffer.charge.charge(5)
    view = memoryview(buffer)[1:]
    del buffer
    assert pool.used == 5
    del view
    assert pool.used == 0


def test_body_with_a_length_is_refused_by_its_head_and_not_halfway() -> None:
    """Guards against uploads that are cut although most of them has been sent."""
    pool = memory.Pool(100)
    others = memory.PoolCharge(pool)
    reader = request_reader.RequestReader(
        published_state.CallerLimits(), memory.PoolCharge(pool)
    )
    head = HEAD + b"Content-Length: 60\r\n\r\n"
    reader.feed(head)
    assert reader.next_request() is None
    # What arrives meanwhile cannot take the room of the upload.
    assert not others.charge(41)
    assert others.charge(40)
    reader.feed(b"x" * 60)
    request = reader.next_request()
    assert request is not None
    assert len(request.body) == 60
    late = request_reader.RequestReader(
        published_state.CallerLimits(), memory.PoolCharge(pool)
    )
    late.feed(head)
    with pytest.raises(request_reader.RequestRefused) as refused:
        late.next_request()
    assert refused.value.failure.kind is errors.Kind.OVERLOADED


def test_charge_that_can_never_have_room_does_not_wait() -> None:
    """Guards against one oversized message that holds up all that wait behind it."""

    async def check() -> None:
        pool = memory.Pool(8, parent=memory.Pool(10))
        assert not await memory.PoolCharge(pool).wait_and_charge(9, 60.0)
        assert pool.refused == 1

    asyncio.run(check())
