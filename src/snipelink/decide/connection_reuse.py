"""Which kept connections are still trusted after others fell silent.

Connections may go silent without a reset while new ones work, often many of them at
once. One that is found silent casts doubt on those that have not been heard since: a
request sent on one of them may be lost, while a new connection costs a round trip.
"""

from __future__ import annotations

import collections
import math

Address = tuple[str, int]

# Time from a sign of life to its receipt, seconds: a round trip on a slow link. What
# was heard so shortly after the silence began may have been sent before it.
MARGIN_S = 0.05
# Silence at two addresses within this time is taken for one of all connections,
# seconds: requests that were sent together find it within their time-outs.
SPREAD_S = 1.0


class ReusePolicy:
    """What is known of silent connections, by their address."""

    def __init__(self) -> None:
        self._since_by_address: dict[Address, float] = collections.defaultdict(
            lambda: -math.inf
        )
        self._since = -math.inf
        self._last: tuple[Address, float] | None = None

    def on_possible_silence(self, address: Address, since: float) -> None:
        """Note that a connection has given no answer since a monotonic time.

        Only those to the same address are doubted: its peer may also be slow.
        """
        known = self._since_by_address[address]
        self._since_by_address[address] = max(known, since + MARGIN_S)

    def on_silence(
        self, address: Address, since: float, now: float, *, path_works: bool
    ) -> None:
        """Note that a connection has certainly been silent since a monotonic time.

        Parameters
        ----------
        path_works : bool
            Whether the path to the address is known to work, so that the silence is
            one of connections and not of the peer.
        """
        self.on_possible_silence(address, since)
        last, self._last = self._last, (address, now)
        spread = last is not None and last[0] != address and now - last[1] < SPREAD_S
        if path_works or spread:
            self._since = max(self._since, since + MARGIN_S)

    def may_reuse(self, address: Address, last_received_at: float) -> bool:
        """Whether a connection that was last heard at a time may be used again."""
        return last_received_at > max(self._since, self._since_by_address[address])
