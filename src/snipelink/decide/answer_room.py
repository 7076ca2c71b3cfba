"""Room for large answers that callers read slowly.

A node holds an answer until its caller has read it. While many callers read large
answers slowly, the memory for answers fills up, and the answer to a call that has run
already could not be received. A call whose answer is expected not to fit is therefore
refused before it is sent.
"""

from __future__ import annotations

import contextlib
import typing
from collections.abc import Iterable, Iterator

# Smaller answers are not counted, since a part of each pool is kept for them.
LARGE_ANSWER_BYTES = 1 << 16


class Pool(typing.Protocol):
    """Memory of answers."""

    def has_room(self, size: int) -> bool:
        """Whether `size` bytes more have room."""


class AnswerRoom:
    """Bytes of the answers that the calls in flight are expected to bring.

    Attributes
    ----------
    expected_bytes : int
        Sum over the calls in flight.
    """

    def __init__(self) -> None:
        self.expected_bytes = 0

    def may_start(self, answer_bytes: int, pools: Iterable[Pool]) -> bool:
        """Whether the answer to a further call will have room in each of the pools.

        Parameters
        ----------
        answer_bytes : int
            Expected size of the answer.
        """
        if answer_bytes < LARGE_ANSWER_BYTES:
            return True
        size = self.expected_bytes + answer_bytes
        return all(pool.has_room(size) for pool in pools)

    @contextlib.contextmanager
    def expecting(self, answer_bytes: int) -> Iterator[None]:
        """Count the answer to a call until the block ends."""
        counted = answer_bytes if answer_bytes >= LARGE_ANSWER_BYTES else 0
        self.expected_bytes += counted
        try:
            yield
        finally:
            self.expected_bytes -= counted
