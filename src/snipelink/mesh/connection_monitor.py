"""Detects TCP connections whose peer stopped answering without closing them."""

from __future__ import annotations

import enum
import functools
import logging
import math
from collections.abc import Callable

from snipelink import clock
from snipelink.decide import connection_reuse, round_trip
from snipelink.mesh import channel

logger = logging.getLogger(__name__)


# Other nodes are 1 to 2 ms away. A link may lose 15% of the packets for seconds. TCP
# retransmits a lost packet after about 0.2, 0.6 and 1.4 s, so a connection survives two
# losses in a row.
NODE_PROBES = channel.KeepAlive(idle_s=1, interval_s=1, count=2, user_timeout_ms=800)
# No packets are lost on the way to the endpoint, which is on the same machine. However,
# bytes that it is slow to read count as unacknowledged while its receive window is
# closed.
ENDPOINT_PROBES = channel.KeepAlive(
    idle_s=1, interval_s=1, count=1, user_timeout_ms=1000
)
# Time to connect to another node, seconds, if the round trip is short.
NODE_CONNECT_TIMEOUT_S = 0.3


class Role(enum.Enum):
    """Role of the peer at the other end of a connection."""

    NODE = "node"
    ENDPOINT = "endpoint"


PROBES_BY_ROLE = {Role.NODE: NODE_PROBES, Role.ENDPOINT: ENDPOINT_PROBES}


class ConnectionMonitor:
    """Opens connections; counts and logs those whose peer stopped answering.

    Attributes
    ----------
    silent_count_by_role : dict
        Number of connections that were found silent, by the role of the peer.
    reuse_policy : ReusePolicy
        Decides which pooled connections may still be used.
    round_trips : RoundTrips
        Round trips to other nodes.
    on_reuse_restricted : callable
        Called when pooled connections may no longer be used.
    """

    def __init__(self) -> None:
        self.silent_count_by_role = dict.fromkeys(Role, 0)
        self.reuse_policy = connection_reuse.ReusePolicy()
        self.round_trips = round_trip.RoundTrips()
        self.on_reuse_restricted: Callable[[], None] = _do_nothing

    async def connect(
        self, role: Role, address: channel.Address, timeout_s: float
    ) -> channel.Channel:
        """Open a connection that is monitored for silence; raises ``OSError``."""
        probes = PROBES_BY_ROLE[role]
        stream = await channel.connect(address, timeout_s, probes)
        stream.on_timeout = functools.partial(
            self._on_silent_end, role, address, probes
        )
        return stream

    async def connect_to_node(
        self, address: channel.Address, left_s: float = math.inf
    ) -> channel.Channel:
        """Open a connection to another node; raises ``OSError``.

        Parameters
        ----------
        left_s : float
            Longest time to connect, also on a congested link.
        """
        started = clock.now()
        usual_s = NODE_CONNECT_TIMEOUT_S
        adapted_s = self.round_trips.timeout_s(address, usual_s, started)
        try:
            stream = await self.connect(Role.NODE, address, min(adapted_s, left_s))
        except TimeoutError:
            if adapted_s <= left_s:
                self.round_trips.on_timeout(address, clock.now())
            raise
        now = clock.now()
        self.round_trips.on_sample(address, now - started, now)
        return stream

    def on_silent_poll(
        self, role: Role, address: channel.Address, since: float, now: float
    ) -> None:
        """Record a poll that was answered on a new connection but not on a pooled one.

        No pooled connection that was last used before `since` is reused, whatever its
        address. No packets are lost between processes of one machine, and the peer
        answers on a new connection, so all established connections may be affected.

        Parameters
        ----------
        since : float
            Monotonic time since which the pooled connection has been silent.
        """
        self._record(role, address, "answered on a new connection")
        self.reuse_policy.on_silence(address, since, now, path_works=True)
        self.on_reuse_restricted()

    def on_silent_call(
        self, role: Role, address: channel.Address, since: float, now: float
    ) -> None:
        """Record an attempt that was answered on a new connection but not on the first.

        On its own, this only affects connections to the same address: unlike between
        processes of one machine, packets may be lost on a single connection.

        Parameters
        ----------
        since : float
            Monotonic time since which the first connection has been silent.
        """
        self._record(role, address, "answered on a new connection")
        self.reuse_policy.on_silence(address, since, now, path_works=False)
        self.on_reuse_restricted()

    def _on_silent_end(
        self, role: Role, address: channel.Address, probes: channel.KeepAlive
    ) -> None:
        self._record(role, address, "ended by the kernel")
        now = clock.now()
        since = now - probes.min_silence_s
        self.reuse_policy.on_silence(address, since, now, path_works=False)
        self.on_reuse_restricted()

    def _record(self, role: Role, address: channel.Address, cause: str) -> None:
        self.silent_count_by_role[role] += 1
        fields = {"role": role.value, "host": address[0], "cause": cause}
        logger.warning("connection is silent", extra={"fields": fields})


def _do_nothing() -> None:
    """Do nothing; the default of ``on_reuse_restricted``."""
