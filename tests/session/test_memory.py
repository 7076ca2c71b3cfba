"""Tests of the memory budget for bodies."""

from __future__ import annotations

import gc
import weakref

import pytest

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
    assert pool.used == 2
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
