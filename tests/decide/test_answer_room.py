from __future__ import annotations

import dataclasses

from snipelink.decide import answer_room

POOL_BYTES = 4_000_000
ANSWER_BYTES = 500_000
CALLER_COUNT = 30


@dataclasses.dataclass
class FakePool:
    used: int = 0

    def has_room(self, size: int) -> bool:
        return self.used + size <= POOL_BYTES


def _play_slow_readers(*, is_enabled: bool) -> tuple[int, int]:
    """Start calls whose answers nobody reads; return the started and the lost ones."""
    room, pool = answer_room.AnswerRoom(), FakePool()
    started = lost = 0
    for _ in range(CALLER_COUNT):
        if is_enabled and not room.may_start(ANSWER_BYTES, [pool]):
            continue
        started += 1
        with room.expecting(ANSWER_BYTES):
            if pool.has_room(ANSWER_BYTES):
                pool.used += ANSWER_BYTES
            else:
                lost += 1
    return started, lost


def test_answers_that_would_not_fit_are_refused_before_the_calls_run() -> None:
    assert _play_slow_readers(is_enabled=False) == (CALLER_COUNT, 22)
    assert _play_slow_readers(is_enabled=True) == (8, 0)


def test_calls_in_flight_count_until_they_end() -> None:
    room, pool = answer_room.AnswerRoom(), FakePool(POOL_BYTES - ANSWER_BYTES)
    with room.expecting(ANSWER_BYTES):
        assert not room.may_start(ANSWER_BYTES, [pool])
    assert room.may_start(ANSWER_BYTES, [pool])
    assert room.expected_bytes == 0


def test_small_answers_are_not_refused() -> None:
    room = answer_room.AnswerRoom()
    with room.expecting(POOL_BYTES):
        size = answer_room.LARGE_ANSWER_BYTES - 1
        assert room.may_start(size, [FakePool(POOL_BYTES)])
        with room.expecting(size):
            assert room.expected_bytes == POOL_BYTES


def test_each_pool_needs_room() -> None:
    room = answer_room.AnswerRoom()
    assert not room.may_start(ANSWER_BYTES, [FakePool(), FakePool(POOL_BYTES)])
