"""Connections of this node that went silent, by the role of their peer."""

from __future__ import annotations

import enum
import functools
import logging

from snipelink.mesh import channel

logger = logging.getLogger(__name__)


class Role(enum.Enum):
    """What is at the other end of a connection."""

    NODE = "node"
    ENDPOINT = "endpoint"


class Silences:
    """Counts and logs connections whose peer fell silent without closing them.

    Attributes
    ----------
    count_by_role : dict
        Connections that ended silently.
    """

    def __init__(self) -> None:
        self.count_by_role = dict.fromkeys(Role, 0)

    def watch(
        self, stream: channel.Channel, role: Role, address: channel.Address
    ) -> None:
        """Note it if the kernel ends a connection because its peer is silent."""
        cause = "the kernel's time-out"
        stream.on_silence = functools.partial(self.note, role, address, cause)

    def note(self, role: Role, address: channel.Address, cause: str) -> None:
        """Note a connection that is silent."""
        self.count_by_role[role] += 1
        fields = {"role": role.value, "host": address[0], "cause": cause}
        logger.warning("connection is silent", extra={"fields": fields})
