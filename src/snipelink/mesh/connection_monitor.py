"""Connections of this node that went silent, by the role of their peer."""

from __future__ import annotations

import enum
import functools
import logging
from collections.abc import Callable

from snipelink import clock
from snipelink.decide import connection_reuse
from snipelink.mesh import channel

logger = logging.getLogger(__name__)


# Nodes are 1 to 2 ms away. Links may lose 15% of the packets for seconds; what was lost
# is sent again after about 0.2, 0.6 and 1.4 s, so two losses in a row are survived.
NODE_PROBES = channel.KeepAlive(idle_s=1, interval_s=1, count=2, user_timeout_ms=800)
# The endpoint is on the same machine, where no packets are lost; but bytes that it is
# slow to read count as unacknowledged while its window is closed.
ENDPOINT_PROBES = channel.KeepAlive(
    idle_s=1, interval_s=1, count=1, user_timeout_ms=1000
)


class Role(enum.Enum):
    """What is at the other end of a connection."""

    NODE = "node"
    ENDPOINT = "endpoint"


PROBES_BY_ROLE = {Role.NODE: NODE_PROBES, Role.ENDPOINT: ENDPOINT_PROBES}


class ConnectionMonitor:
    """Counts and logs connections whose peer fell silent without closing them.

    Attributes
    ----------
    silent_count_by_role : dict
        Connections that ended silently.
    doubt : ReusePolicy
        Which kept connections are still trusted.
    """

    def __init__(self) -> None:
        self.silent_count_by_role = dict.fromkeys(Role, 0)
        self.trust = connection_reuse.ReusePolicy()
        # Called when connections are no longer trusted.
        self.on_trust_lost: Callable[[], None] = _ignore

    async def connect(
        self, role: Role, address: channel.Address, timeout_s: float
    ) -> channel.Channel:
        """Open a connection whose silence is noted; raises ``OSError``."""
        probes = PROBES_BY_ROLE[role]
        stream = await channel.connect(address, timeout_s, probes)
        stream.on_timeout = functools.partial(self._on_end, role, address, probes)
        return stream

    def on_silent_poll(
        self, role: Role, address: channel.Address, since: float, now: float
    ) -> None:
        """Note a kept connection that is silent since a time, while a new one works."""
        self._note(role, address, "answered on a new connection")
        self.trust.on_silence(address, since, now, path_works=True)
        self.on_trust_lost()

    def on_silent_call(
        self, role: Role, address: channel.Address, since: float, now: float
    ) -> None:
        """Note a connection that is silent since a time, while a new one works.

        Unlike between processes of one machine, packets may be lost in one alone.
        """
        self._note(role, address, "answered on a new connection")
        self.trust.on_silence(address, since, now, path_works=False)
        self.on_trust_lost()

    def _on_end(
        self, role: Role, address: channel.Address, probes: channel.KeepAlive
    ) -> None:
        self._note(role, address, "ended by the kernel")
        now = clock.now()
        since = now - probes.min_silence_s
        self.trust.on_silence(address, since, now, path_works=False)
        self.on_trust_lost()

    def _note(self, role: Role, address: channel.Address, cause: str) -> None:
        self.silent_count_by_role[role] += 1
        fields = {"role": role.value, "host": address[0], "cause": cause}
        logger.warning("connection is silent", extra={"fields": fields})


def _ignore() -> None:
    """Do nothing."""
