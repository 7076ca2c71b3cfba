"""Load of all endpoints, exchanged by datagrams between the nodes beside them."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import time
import typing
from collections.abc import Callable, Iterable

import msgspec

from snipelink.decide import placement, reporting, work
from snipelink.generated import mesh
from snipelink.mesh import channel, objects

logger = logging.getLogger(__name__)

# Hosts of nodes that are heard but not published are told for so long, seconds.
HEARD_S = 3.0
MAX_DATAGRAM_BYTES = 1024
# Calls sent to an endpoint are added to its reported load for so long, seconds: the
# time until a report that counts them arrives.
UNREPORTED_S = 0.06

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(mesh.Load)


@dataclasses.dataclass(slots=True)
class Fact:
    """Load of one endpoint as last reported.

    Attributes
    ----------
    host : str
        Machine whose node reported it.
    received_at : float
        Monotonic time in seconds.
    progress : Progress
        Work the endpoint has done since it was first reported.
    sent_at : list of float
        Times at which this node sent calls that the report may not count.
    """

    load: mesh.Load
    host: str
    received_at: float
    progress: work.Progress
    sent_at: list[float] = dataclasses.field(default_factory=list)

    def unreported(self, now: float) -> int:
        """Return the calls that were sent since the report."""
        self.sent_at = [at for at in self.sent_at if now - at < UNREPORTED_S]
        return len(self.sent_at)


class LoadTable:
    """Latest fact of each endpoint, by identity of its process."""

    def __init__(self) -> None:
        self.facts_by_instance: dict[str, Fact] = {}
        self.facts_by_host: dict[str, Fact] = {}
        self.stale_reports = 0
        self._silent_hosts: set[str] = set()

    def update(self, load: mesh.Load, host: str, now: float) -> bool:
        """Take over a report; false if it is older than the known one."""
        known = self.facts_by_host.get(host)
        if known is not None and known.load.started_ms == load.started_ms:
            if load.sequence <= known.load.sequence:
                self.stale_reports += 1
                return False
        else:
            known = None
        progress = work.Progress(now)
        sent_at: list[float] = []
        if known is not None and known.load.instance == load.instance:
            progress, sent_at = known.progress, known.sent_at
        progress.set_slowness(load.slowness_percent / 100.0, now)
        fact = Fact(load, host, now, progress, sent_at)
        self.facts_by_host[host] = fact
        if load.instance:
            self.facts_by_instance[load.instance] = fact
        return True

    def on_sent(self, instance: str, now: float) -> None:
        """Note a call sent to the endpoint of another machine."""
        fact = self.facts_by_instance.get(instance)
        if fact is not None:
            fact.sent_at.append(now)

    def candidate(
        self, instance: objects.Instance, *, near: bool, now: float
    ) -> placement.Candidate | None:
        """Return what is known of an endpoint; None if it takes no calls."""
        fact = self.facts_by_instance.get(instance.id)
        if fact is None:
            return None
        load = fact.load
        if not load.accepting:
            return None
        return placement.Candidate(
            instance.id,
            near,
            load.running + fact.unreported(now),
            load.waiting,
            load.slots,
            load.slowness_percent / 100.0,
            fact.progress.mean_slowness,
            load.failing_percent / 100.0,
            max(0.0, now - fact.received_at),
        )

    def silence(self, now: float) -> tuple[set[str], set[str]]:
        """Return the hosts that fell silent, and those that are heard again."""
        silent = {
            host
            for host, fact in self.facts_by_host.items()
            if now - fact.received_at > placement.SILENT_S
        }
        fallen, back = silent - self._silent_hosts, self._silent_hosts - silent
        self._silent_hosts = silent
        return fallen, back

    def expire(self, published: set[str], now: float) -> None:
        """Forget endpoints that are not published and not heard of."""
        for name, fact in list(self.facts_by_instance.items()):
            if name not in published and now - fact.received_at > HEARD_S:
                del self.facts_by_instance[name]
        for host, fact in list(self.facts_by_host.items()):
            if fact.load.instance not in published and (
                now - fact.received_at > HEARD_S
            ):
                del self.facts_by_host[host]


class LoadExchange(asyncio.DatagramProtocol):
    """Sends this node's load to the other nodes and receives theirs.

    Parameters
    ----------
    host : str
        Address of this machine, which is left out.
    port : int
        Port of the datagrams on all machines.
    table : LoadTable
        Receives what is reported.
    current : callable
        Returns this node's load, without a sequence number.
    on_report : callable
        Called with the sender's host and its report.
    """

    def __init__(
        self,
        host: str,
        port: int,
        table: LoadTable,
        current: Callable[[float], mesh.Load],
        on_report: Callable[[str, mesh.Load], None],
    ) -> None:
        self._host = host
        self._port = port
        self._table = table
        self._current = current
        self._on_report = on_report
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        self._sent_by_host: dict[str, tuple[float, reporting.Report]] = {}
        self.sent_datagrams = 0
        self.unreadable_datagrams = 0

    async def start(self, address: channel.Address) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the open socket; called by the event loop."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take over a report; called by the event loop."""
        try:
            load = _decoder.decode(data)
        except msgspec.MsgspecError as error:
            self.unreadable_datagrams += 1
            logger.warning(
                "load datagram is not readable",
                extra={"fields": {"host": addr[0], "error": str(error)}},
            )
            return
        if self._table.update(load, addr[0], time.monotonic()):
            self._on_report(addr[0], load)

    def error_received(self, exc: Exception) -> None:
        """Note a datagram that could not be sent; called by the event loop."""
        logger.info("load datagram was not sent", extra={"fields": {"error": str(exc)}})

    def publish(self, hosts: Iterable[tuple[str, bool]], now: float) -> None:
        """Send the present load to the hosts that are due for it.

        Parameters
        ----------
        hosts : iterable of (str, bool)
            Machines with a node, and whether they are in this failure domain.
        """
        if self._transport is None:
            return
        load = self._current(now)
        self._sequence += 1
        load.sequence = self._sequence
        self._table.update(load, self._host, now)
        report = _report(load)
        due = []
        for host, near in hosts:
            sent = self._sent_by_host.get(host)
            if host != self._host and (
                sent is None
                or reporting.is_due(sent[1], report, now - sent[0], near=near)
            ):
                due.append(host)
        if not due:
            return
        payload = _encoder.encode(load)
        for host in due:
            self._transport.sendto(payload, (host, self._port))
            self._sent_by_host[host] = (now, report)
            self.sent_datagrams += 1

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


def _report(load: mesh.Load) -> reporting.Report:
    state = (load.instance, load.accepting, load.configuration, load.revision)
    return reporting.Report(
        load.running + load.waiting,
        load.slots,
        load.slowness_percent,
        load.failing_percent,
        state,
    )
