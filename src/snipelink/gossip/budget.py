"""Token bucket that limits the control traffic of a node."""

from __future__ import annotations

import threading

WINDOW_S = 10.0
# Maximum traffic of a node, averaged over any window of ``WINDOW_S``.
BYTES_PER_S = 22_000
# Over ``WINDOW_S`` the sustained rate, the burst and the one frame that may be received
# beyond them stay below ``BYTES_PER_S``.
SUSTAINED_BYTES_PER_S = 16_000
BURST_BYTES = 43_000
MESSAGES_PER_S = 100
BURST_MESSAGES = 300


class Budget:
    """Token bucket for the bytes and messages that a node sends and receives.

    Within any window of ``t`` seconds a node spends at most
    ``BURST_BYTES + SUSTAINED_BYTES_PER_S * t`` bytes and one received frame. This also
    holds after a pause of the process, because the bucket never holds more than one
    burst.

    Parameters
    ----------
    now : float
        Start time, monotonic seconds. The bucket starts full.
    """

    def __init__(self, now: float) -> None:
        self.spent_bytes = 0
        self.spent_messages = 0
        self.refused_count = 0
        self._lock = threading.Lock()
        self._available_bytes = float(BURST_BYTES)
        self._available_messages = float(BURST_MESSAGES)
        self._refilled_at = now

    def try_spend(
        self,
        byte_count: int,
        now: float,
        message_count: int = 1,
        reserve_ratio: float = 0.0,
    ) -> bool:
        """Spend tokens if at least ``reserve_ratio`` of the burst remains afterwards.

        Parameters
        ----------
        byte_count : int
            Bytes to spend.
        now : float
            Monotonic seconds.
        message_count : int
            Messages to spend.
        reserve_ratio : float
            Share of the burst that is kept for more urgent messages.

        Returns
        -------
        bool
            Whether the tokens were spent.
        """
        with self._lock:
            self._refill(now)
            if (
                self._available_bytes - byte_count < reserve_ratio * BURST_BYTES
                or self._available_messages - message_count
                < reserve_ratio * BURST_MESSAGES
            ):
                self.refused_count += 1
                return False
            self._spend(byte_count, message_count)
            return True

    def charge(self, byte_count: int, now: float, message_count: int = 1) -> None:
        """Spend tokens for traffic that has already been received.

        The balance may become negative; spending is refused until it is refilled.
        """
        with self._lock:
            self._refill(now)
            self._spend(byte_count, message_count)

    def refund(self, unspent_bytes: int) -> None:
        """Return bytes that were spent in advance and not used."""
        with self._lock:
            self._available_bytes = min(
                float(BURST_BYTES), self._available_bytes + unspent_bytes
            )
            self.spent_bytes -= unspent_bytes

    def may_receive(self, now: float) -> bool:
        """Whether another message may be read now."""
        with self._lock:
            self._refill(now)
            return self._available_bytes > 0 and self._available_messages > 0

    def available_ratio(self, now: float) -> float:
        """Return the available bytes as a share of the burst."""
        with self._lock:
            self._refill(now)
            return self._available_bytes / BURST_BYTES

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        self._available_bytes = min(
            float(BURST_BYTES),
            self._available_bytes + elapsed_s * SUSTAINED_BYTES_PER_S,
        )
        self._available_messages = min(
            float(BURST_MESSAGES), self._available_messages + elapsed_s * MESSAGES_PER_S
        )

    def _spend(self, byte_count: int, message_count: int) -> None:
        self._available_bytes -= byte_count
        self._available_messages -= message_count
        self.spent_bytes += byte_count
        self.spent_messages += message_count
