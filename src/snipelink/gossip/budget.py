"""Byte and message budget of a node's control traffic."""

from __future__ import annotations

import threading

WINDOW_S = 10.0
BYTES_PER_S = 22_000
# Sustained rate, burst and the one frame that may be received beyond it add up to
# ``BYTES_PER_S`` over a window of ``WINDOW_S``.
SUSTAINED_BYTES_PER_S = 16_000
BURST_BYTES = 43_000
MESSAGES_PER_S = 100
BURST_MESSAGES = 300


class Budget:
    """Token bucket for bytes and messages, both directions together.

    Over a window of ``t`` seconds at most ``BURST_BYTES + SUSTAINED_BYTES_PER_S * t``
    bytes are spent, and one received frame beyond that, whatever happened before the
    window: a pause fills the bucket to its burst and no further.

    Parameters
    ----------
    now : float
        Start, monotonic seconds; the bucket starts full.
    """

    def __init__(self, now: float) -> None:
        self.spent_bytes = 0
        self.spent_messages = 0
        self.refused = 0
        self._lock = threading.Lock()
        self._bytes = float(BURST_BYTES)
        self._messages = float(BURST_MESSAGES)
        self._at = now

    def try_spend(
        self, byte_count: int, now: float, messages: int = 1, reserve: float = 0.0
    ) -> bool:
        """Spend, or refuse when less than ``reserve`` of the burst would remain."""
        with self._lock:
            self._refill(now)
            if (
                self._bytes - byte_count < reserve * BURST_BYTES
                or self._messages - messages < reserve * BURST_MESSAGES
            ):
                self.refused += 1
                return False
            self._spend(byte_count, messages)
            return True

    def charge(self, byte_count: int, now: float, messages: int = 1) -> None:
        """Spend for what has already been received, if need be beyond the budget.

        Later spending is refused until the debt is worked off.
        """
        with self._lock:
            self._refill(now)
            self._spend(byte_count, messages)

    def settle(self, unspent_bytes: int) -> None:
        """Give back what was spent in advance and not used."""
        with self._lock:
            self._bytes = min(float(BURST_BYTES), self._bytes + unspent_bytes)
            self.spent_bytes -= unspent_bytes

    def may_receive(self, now: float) -> bool:
        """Whether another message may be read now."""
        with self._lock:
            self._refill(now)
            return self._bytes > 0 and self._messages > 0

    def level(self, now: float) -> float:
        """Return the unspent share of the burst."""
        with self._lock:
            self._refill(now)
            return self._bytes / BURST_BYTES

    def _refill(self, now: float) -> None:
        passed = max(0.0, now - self._at)
        self._at = max(self._at, now)
        self._bytes = min(
            float(BURST_BYTES), self._bytes + passed * SUSTAINED_BYTES_PER_S
        )
        self._messages = min(
            float(BURST_MESSAGES), self._messages + passed * MESSAGES_PER_S
        )

    def _spend(self, byte_count: int, messages: int) -> None:
        self._bytes -= byte_count
        self._messages -= messages
        self.spent_bytes += byte_count
        self.spent_messages += messages
