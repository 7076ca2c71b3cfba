"""Load of all endpoints, exchanged by datagrams between the nodes beside them."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
import typing
from collections.abc import Callable, Collection, Mapping

import msgspec

from snipelink import clock
from snipelink.decide import placement, reporting, slowness_period, work_estimation
from snipelink.generated import mesh
from snipelink.mesh import channel, published_state

logger = logging.getLogger(__name__)

# Takes a message of another kind: the sender's host, the message and the present time.
# It raises ``msgspec.MsgspecError`` if the message cannot be read.
Receiver = Callable[[str, memoryview, float], None]

# Facts of endpoints that are neither published nor followed are kept so long, seconds.
RETENTION_S = 3.0
# A node that follows is told for so long, seconds; two repetitions may be lost.
FOLLOWER_EXPIRY_S = 5.0
# Time after which a heard node, and one that is not heard, is asked again, seconds.
FOLLOW_RENEWAL_S = 2.0
FOLLOW_RETRY_S = 0.25
# A followed node that repeats its reports is asked again after this silence.
REPORT_OVERDUE_S = 0.6
MAX_DATAGRAM_BYTES = 1024
# Calls sent to an endpoint are added to its reported load for so long, seconds: the
# time until a report that counts them arrives.
UNREPORTED_CALL_S = 0.08

# First byte of a datagram: what the rest is.
LOAD_KIND = b"L"
FOLLOW_KIND = b"F"

_encoder = msgspec.msgpack.Encoder()
_load_decoder = msgspec.msgpack.Decoder(mesh.Load)
_follow_decoder = msgspec.msgpack.Decoder(mesh.Follow)


@dataclasses.dataclass(slots=True)
class _Follower:
    """A node that is told this node's load, and what it was told last."""

    near: bool
    until: float
    sent_at: float
    sent: reporting.LoadReport | None


@dataclasses.dataclass(slots=True)
class EndpointLoad:
    """Load of one endpoint as last reported.

    Attributes
    ----------
    host : str
        Machine whose node reported it.
    received_at : float
        Monotonic time in seconds.
    progress : EndpointProgress
        Work the endpoint has done since it was first reported.
    sent_at : list of float
        Times at which this node sent calls that the report may not count.
    """

    load: mesh.Load
    host: str
    received_at: float
    progress: work_estimation.EndpointProgress
    sent_at: list[float] = dataclasses.field(default_factory=list)

    def unreported(self, now: float) -> int:
        """Return the calls that were sent since the report."""
        self.sent_at = [at for at in self.sent_at if now - at < UNREPORTED_CALL_S]
        return len(self.sent_at)


@dataclasses.dataclass(slots=True)
class _Asked:
    """Times at which a node was first and last asked for its reports."""

    first_at: float
    last_at: float


class LoadTable:
    """Latest fact of each endpoint, by identity of its process.

    Parameters
    ----------
    shared : PeriodEstimator
        Learns when endpoints change their slowness.
    """

    def __init__(self, shared: slowness_period.PeriodEstimator) -> None:
        self._rhythm = shared
        self.loads_by_instance: dict[str, EndpointLoad] = {}
        self.loads_by_host: dict[str, EndpointLoad] = {}
        self.stale_reports = 0
        self._silent_hosts: set[str] = set()

    def update(self, load: mesh.Load, host: str, now: float) -> bool:
        """Take over a report; false if it is older than the known one."""
        known = self.loads_by_host.get(host)
        if known is not None and known.load.started_ms == load.started_ms:
            if load.sequence <= known.load.sequence:
                self.stale_reports += 1
                return False
        else:
            known = None
        slowness = load.slowness_percent / 100.0
        if known is not None and known.load.instance == load.instance:
            known.load, known.received_at = load, now
            known.progress.set_slowness(slowness, now)
            return True
        progress = work_estimation.EndpointProgress(now, self._rhythm)
        progress.set_slowness(slowness, now)
        fact = EndpointLoad(load, host, now, progress)
        self.loads_by_host[host] = fact
        if load.instance:
            self.loads_by_instance[load.instance] = fact
        return True

    def on_call_sent(self, instance: str, now: float) -> None:
        """Note a call sent to the endpoint of another machine."""
        fact = self.loads_by_instance.get(instance)
        if fact is not None:
            fact.sent_at.append(now)

    def candidate(
        self, instance: published_state.Instance, *, near: bool, now: float
    ) -> placement.Candidate | None:
        """Return what is known of an endpoint; None if it takes no calls."""
        fact = self.loads_by_instance.get(instance.id)
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
            fact.progress.phase_left_s(now),
        )

    def update_silent_hosts(self, now: float) -> tuple[set[str], set[str]]:
        """Return the hosts that fell silent, and those that are heard again."""
        silent = {
            host
            for host, fact in self.loads_by_host.items()
            if now - fact.received_at > placement.SILENT_NODE_S
        }
        fallen, back = silent - self._silent_hosts, self._silent_hosts - silent
        self._silent_hosts = silent
        return fallen, back

    def has_recent_report(self, host: str, now: float) -> bool:
        """Whether the node on a machine has reported lately."""
        fact = self.loads_by_host.get(host)
        return fact is not None and now - fact.received_at <= placement.SILENT_NODE_S

    def expire(self, kept_hosts: Collection[str], now: float) -> None:
        """Forget the endpoints on other machines than `kept_hosts` that are silent."""
        for host, fact in list(self.loads_by_host.items()):
            if host not in kept_hosts and now - fact.received_at > RETENTION_S:
                del self.loads_by_host[host]
        for name, fact in list(self.loads_by_instance.items()):
            replaced = self.loads_by_host.get(fact.host) is not fact
            if replaced and now - fact.received_at > RETENTION_S:
                del self.loads_by_instance[name]


class LoadExchange(asyncio.DatagramProtocol):
    """Reports this node's load to the nodes that follow it, and receives theirs.

    Parameters
    ----------
    host : str
        Address of this machine.
    port : int
        Port of the datagrams on all machines.
    table : LoadTable
        Receives what is reported.
    current : callable
        Returns this node's load, without a sequence number.
    on_report : callable
        Called with the sender's host and its report.
    rng : random.Random
        Chooses who is told first of a newer published state.

    Attributes
    ----------
    receivers_by_kind : dict
        Receivers of datagrams of other kinds, by their first byte.
    """

    def __init__(
        self,
        host: str,
        port: int,
        table: LoadTable,
        current: Callable[[float], mesh.Load],
        on_report: Callable[[str, mesh.Load], None],
        rng: random.Random,
    ) -> None:
        self._host = host
        self._port = port
        self._table = table
        self._current = current
        self._on_report = on_report
        self._rng = rng
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        self._followers_by_host: dict[str, _Follower] = {}
        self._asked_by_host: dict[str, _Asked] = {}
        self._published: reporting.LoadReport | None = None
        self._next_at = 0.0
        self.receivers_by_kind: dict[bytes, Receiver] = {}
        self.sent_datagrams = 0
        self.unreadable_datagrams = 0

    @property
    def follower_count(self) -> int:
        """Nodes that are told this node's load."""
        return len(self._followers_by_host)

    def peer_hosts(self) -> set[str]:
        """Return the machines whose nodes follow this one, or are followed."""
        return self._followers_by_host.keys() | self._asked_by_host.keys()

    async def start(self, address: channel.Address) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the open socket; called by the event loop."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take over a message; called by the event loop."""
        now = clock.now()
        host = addr[0]
        try:
            kind, body = data[:1], memoryview(data)[1:]
            if kind == FOLLOW_KIND:
                self._on_follow(host, _follow_decoder.decode(body), now)
                return
            if kind in self.receivers_by_kind:
                self.receivers_by_kind[kind](host, body, now)
                return
            if kind != LOAD_KIND:
                raise msgspec.DecodeError(f"datagram of kind {kind!r}")
            load = _load_decoder.decode(body)
        except msgspec.MsgspecError as error:
            self.unreadable_datagrams += 1
            logger.warning(
                "datagram is not readable",
                extra={"fields": {"host": host, "error": str(error)}},
            )
            return
        if self._table.update(load, host, now):
            self._on_report(host, load)

    def error_received(self, exc: Exception) -> None:
        """Note a datagram that could not be sent; called by the event loop."""
        logger.info("datagram was not sent", extra={"fields": {"error": str(exc)}})

    def follow(self, near_by_host: Mapping[str, bool], now: float) -> None:
        """Ask for the reports of machines that are due to be asked.

        Parameters
        ----------
        near_by_host : mapping of str to bool
            Machines to follow, and whether they are in this failure domain.
        """
        for host in [h for h in self._asked_by_host if h not in near_by_host]:
            del self._asked_by_host[host]
        for host, near in near_by_host.items():
            asked = self._asked_by_host.get(host)
            fact = self._table.loads_by_host.get(host)
            heard = fact is not None and now - fact.received_at <= REPORT_OVERDUE_S
            again_s = FOLLOW_RENEWAL_S if heard else FOLLOW_RETRY_S
            if asked is None:
                asked = self._asked_by_host[host] = _Asked(now, now)
            elif now - asked.last_at < again_s:
                continue
            asked.last_at = now
            self.send(FOLLOW_KIND, _encoder.encode(mesh.Follow(near)), host)

    def is_silent(self, host: str, now: float) -> bool:
        """Whether a machine has long been asked for reports and sends none."""
        asked = self._asked_by_host.get(host)
        if asked is None or now - asked.first_at <= placement.SILENT_NODE_S:
            return False
        return not self._table.has_recent_report(host, now)

    def publish(self, now: float) -> None:
        """Report the present load to the followers that are due for it."""
        load = self._current(now)
        report = _report(load)
        self._sequence += 1
        load.sequence = self._sequence
        self._table.update(load, self._host, now)
        unchanged = report == self._published
        if unchanged and now < self._next_at:
            return
        told_at_once = self._told_at_once(report)
        self._published = report
        self._next_at = now + reporting.REPEAT_INTERVAL_S
        payload = b""
        for host, follower in list(self._followers_by_host.items()):
            if now > follower.until:
                del self._followers_by_host[host]
                continue
            sent = follower.sent
            due_s = 0.0
            if sent is not None and host not in told_at_once:
                due_s = reporting.interval_s(sent, report, near=follower.near)
            if now - follower.sent_at >= due_s:
                payload = payload or _encoder.encode(load)
                follower.sent_at, follower.sent = now, report
                self.send(LOAD_KIND, payload, host)
                continue
            self._next_at = min(self._next_at, follower.sent_at + due_s)

    def _told_at_once(self, report: reporting.LoadReport) -> set[str]:
        """Return the followers that are told at once of a newer published state."""
        known = self._published
        if known is not None and known.revision >= report.revision:
            return set()
        hosts = list(self._followers_by_host)
        count = min(len(hosts), reporting.REVISION_FANOUT)
        return set(self._rng.sample(hosts, count))

    @property
    def next_report_at(self) -> float:
        """Monotonic time at which some follower is due for a report."""
        return self._next_at

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def _on_follow(self, host: str, message: mesh.Follow, now: float) -> None:
        known = self._followers_by_host.get(host)
        until = now + FOLLOWER_EXPIRY_S
        if known is not None:
            known.near, known.until = message.near, until
            return
        self._followers_by_host[host] = _Follower(message.near, until, now, None)
        self._next_at = now
        self.publish(now)

    def send(self, kind: bytes, payload: bytes, host: str) -> None:
        """Send a datagram to the node on a machine."""
        if self._transport is None:
            return
        self._transport.sendto(kind + payload, (host, self._port))
        self.sent_datagrams += 1


def _report(load: mesh.Load) -> reporting.LoadReport:
    return reporting.LoadReport(
        load.running + load.waiting,
        load.slots,
        load.slowness_percent,
        load.failing_percent,
        (load.instance, load.accepting, load.source_away),
        load.revision,
    )
