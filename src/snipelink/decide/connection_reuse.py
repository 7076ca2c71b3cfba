"""Which pooled connections may be reused after others turned out to be half-open.

Connections may stop delivering data without a reset, often many at once, while new
connections work. Once one connection is found to be silent, others that have received
nothing since the silence began are not reused: a request sent on them may be lost,
while a new connection costs only one round trip.
"""

from __future__ import annotations

import collections
import math

Address = tuple[str, int]

# A round trip on a slow link. Data received within this time after the silence began
# may have been sent before it and does not prove that the connection works.
IN_FLIGHT_MARGIN_S = 0.05
# If silent connections to two addresses are found within this time, all connections
# count as silent. Requests that were sent together find them within their time-outs.
CORRELATION_WINDOW_S = 1.0


class ReusePolicy:
    """Decides which pooled connections may be reused after some were found silent."""

    def __init__(self) -> None:
        self._silent_since_by_address: dict[Address, float] = collections.defaultdict(
            lambda: -math.inf
        )
        self._all_silent_since = -math.inf
        self._last_silence: tuple[Address, float] | None = None

    def on_possible_silence(self, address: Address, since: float) -> None:
        """Record that a connection has returned no answer since a monotonic time.

        Only connections to the same address are affected, as its peer may just be slow.
        """
        previous = self._silent_since_by_address[address]
        self._silent_since_by_address[address] = max(
            previous, since + IN_FLIGHT_MARGIN_S
        )

    def on_silence(
        self, address: Address, since: float, now: float, *, path_works: bool
    ) -> None:
        """Record that a connection is known to be silent since a monotonic time.

        Parameters
        ----------
        path_works : bool
            Whether the path to the address is known to work. The connection is then at
            fault rather than the peer, and other connections may be affected as well.
        """
        self.on_possible_silence(address, since)
        last, self._last_silence = self._last_silence, (address, now)
        is_correlated = (
            last is not None
            and last[0] != address
            and now - last[1] < CORRELATION_WINDOW_S
        )
        if path_works or is_correlated:
            self._all_silent_since = max(
                self._all_silent_since, since + IN_FLIGHT_MARGIN_S
            )

    def may_reuse(self, address: Address, last_received_at: float) -> bool:
        """Whether a connection that last received data at a time may be reused."""
        return last_received_at > max(
            self._all_silent_since, self._silent_since_by_address[address]
        )
