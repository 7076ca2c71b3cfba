from __future__ import annotations

import gc
import weakref

import pytest

from snipelink.session import response_reader

HEAD = b"HTTP/1.1 200 OK\r\nx-id: 1\r\n"


def _reader(method: str = "GET") -> response_reader.ResponseReader:
    return response_reader.ResponseReader(method, 1000)


def test_response_with_a_length_is_complete_after_its_last_byte() -> None:
    reader = _reader()
    reader.feed(HEAD + b"content-length: 3\r\n\r\nab")
    assert reader.next_response() is None
    reader.feed(b"c")
    response = reader.next_response()
    assert response is not None
    assert (response.status, response.body) == (200, b"abc")
    assert response.headers == [("x-id", "1"), ("content-length", "3")]
    assert reader.reusable
    assert reader.is_idle()


def test_chunked_response_is_complete_after_its_last_chunk() -> None:
    reader = _reader()
    reader.feed(HEAD + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n")
    assert reader.next_response() is None
    reader.feed(b"0\r\n\r\n")
    response = reader.next_response()
    assert response is not None
    assert response.body == b"abc"


def test_response_without_length_is_complete_only_at_an_orderly_end() -> None:
    reader = _reader()
    reader.feed(HEAD + b"\r\nabc")
    assert reader.next_response() is None
    reader.feed_eof()
    response = reader.next_response()
    assert response is not None
    assert response.body == b"abc"
    assert not reader.reusable


def test_truncated_response_never_becomes_complete() -> None:
    reader = _reader()
    reader.feed(HEAD + b"content-length: 5\r\n\r\nabc")
    reader.feed_eof()
    assert reader.next_response() is None


def test_second_response_is_separate_and_makes_the_connection_not_idle() -> None:
    reader = _reader()
    one = HEAD + b"content-length: 1\r\n\r\n"
    reader.feed(one + b"a" + one + b"b")
    first = reader.next_response()
    assert first is not None
    assert first.body == b"a"
    assert not reader.is_idle()
    second = reader.next_response()
    assert second is not None
    assert second.body == b"b"


def test_garbage_after_a_response_keeps_it_and_prevents_reuse() -> None:
    reader = _reader()
    with pytest.raises(response_reader.InvalidResponse):
        reader.feed(HEAD + b"content-length: 1\r\n\r\na\x00\x01garbage\r\n\r\n")
    first = reader.next_response()
    assert first is not None
    assert first.body == b"a"
    assert not reader.reusable


def test_interim_response_is_skipped() -> None:
    reader = _reader()
    reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert reader.next_response() is None
    reader.feed(HEAD + b"content-length: 0\r\n\r\n")
    assert reader.next_response() is not None


def test_response_to_head_has_no_body() -> None:
    reader = _reader("HEAD")
    reader.feed(HEAD + b"content-length: 12\r\n\r\n")
    response = reader.next_response()
    assert response is not None
    assert response.body == b""
    assert not reader.reusable


def test_response_with_connection_close_prevents_reuse() -> None:
    reader = _reader()
    reader.feed(HEAD + b"connection: close\r\ncontent-length: 0\r\n\r\n")
    assert reader.next_response() is not None
    assert not reader.reusable


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        HEAD + b"content-length: 1\r\ncontent-length: 2\r\n\r\na",
        HEAD + b"content-length: 1001\r\n\r\n",
        HEAD + b"transfer-encoding: gzip, chunked\r\n\r\n",
        HEAD + b"x: " + b"y" * response_reader.MAX_FRAMING_BYTES + b"\r\n",
    ],
)
def test_invalid_responses_are_refused(data: bytes) -> None:
    reader = _reader()
    with pytest.raises(response_reader.InvalidResponse):
        reader.feed(data)
    assert reader.next_response() is None


def test_closed_reader_is_freed_without_a_garbage_collection() -> None:
    """Guards against broken-off answers that stay in memory.

    The reader and its parser referred to each other until a garbage collection, which
    hardly ever ran.
    """
    gc.disable()
    try:
        reader = _reader()
        reader.feed(HEAD + b"content-length: 900\r\n\r\n" + b"x" * 800)
        reader.close()
        freed = weakref.ref(reader)
        del reader
        assert freed() is None
    finally:
        gc.enable()


def test_reader_that_is_closed_after_a_violation_holds_no_bytes() -> None:
    """Guards against an answer without end that stays in memory after its limit."""
    gc.disable()
    try:
        reader = _reader()
        with pytest.raises(response_reader.InvalidResponse):
            reader.feed(HEAD + b"\r\n" + b"x" * 2000)
        reader.close()
        freed = weakref.ref(reader)
        del reader
        assert freed() is None
    finally:
        gc.enable()


def test_head_above_its_limit_is_refused() -> None:
    reader = response_reader.ResponseReader("GET", 1000, 100)
    with pytest.raises(response_reader.InvalidResponse):
        reader.feed(b"HTTP/1.1 200 OK\r\nx: " + b"a" * 100)


@pytest.mark.parametrize(
    "status", ["000", "0", "00", "-1", "099", "101", "600", "999", "2000", "x", ""]
)
def test_undefined_status_is_invalid(status: str) -> None:
    """Guards against an answer with status 000 that is passed on to the caller."""
    reader = _reader()
    with pytest.raises(response_reader.InvalidResponse):
        reader.feed(f"HTTP/1.1 {status} X\r\nContent-Length: 3\r\n\r\nabc".encode())
    assert reader.next_response() is None
    assert not reader.reusable
