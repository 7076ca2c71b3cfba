"""Load reports of all endpoints, which their nodes exchange by UDP datagrams.

A node subscribes to the reports of another one by sending it follow requests.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import random
import socket
import typing
from collections.abc import Callable, Collection, Iterable, Mapping

import msgspec

from snipelink import clock
from snipelink.decide import (
    concurrency_limit,
    placement,
    reporting,
    slowness_period,
    store_outage,
    store_position,
    work_estimation,
)
from snipelink.generated import mesh
from snipelink.mesh import channel, published_state

logger = logging.getLogger(__name__)

# Handles a datagram of another kind. The arguments are the sender's host, the payload
# and the present time. Raises ``msgspec.MsgspecError`` if the payload is invalid.
Receiver = Callable[[str, memoryview, float], None]

# The last report of an endpoint that is no longer followed is kept for this long.
RETENTION_S = 3.0
# A follow request expires after this time, so two renewals in a row may be lost.
FOLLOWER_EXPIRY_S = 5.0
# Interval of follow requests to a node that sends reports, and to one that does not.
FOLLOW_RENEWAL_S = 2.0
FOLLOW_RETRY_S = 0.25
# A followed node that has sent no report for this long receives follow requests at the
# shorter interval.
# It is longer than the interval at which nodes repeat unchanged reports.
REPORT_OVERDUE_S = 0.6
MAX_DATAGRAM_BYTES = 1024
# Datagrams that are read in one iteration of the event loop at most, so that a flood of
# them does not keep it from other work.
MAX_DATAGRAMS_PER_ITERATION = 64
# A call sent to an endpoint is added to its reported load for this long, which is the
# time until a report that includes the call arrives.
UNREPORTED_CALL_S = 0.08
# A call sent less than this time before a summary of its failure domain arrived is not
# yet included in it: the endpoint's node reports the call to the sender first.
SUMMARY_LAG_S = 0.12
# A summary replaces a direct report of the endpoint that is older than this.
DIRECT_PRECEDENCE_S = placement.FRESH_REPORT_S

# Start of a process that no direct report has told.
UNKNOWN_START_MS = 0

# Fields of a measured level: concurrency, percentage of the expected work, weight.
LEVEL_SAMPLE_FIELD_COUNT = 3

# The first byte of a datagram is the kind of its payload.
LOAD_KIND = b"L"
FOLLOW_KIND = b"F"

_encoder = msgspec.msgpack.Encoder()
_load_decoder = msgspec.msgpack.Decoder(mesh.Load)
_follow_decoder = msgspec.msgpack.Decoder(mesh.Follow)


@dataclasses.dataclass(slots=True)
class _Follower:
    """A node that subscribed to this node's reports, and the last one sent to it."""

    is_near: bool
    expires_at: float
    last_sent_at: float
    last_report: reporting.LoadReport | None


@dataclasses.dataclass(slots=True)
class EndpointLoad:
    """Load of one endpoint: its last report, and the calls sent since then.

    Attributes
    ----------
    host : str
        Machine whose node sent the report.
    received_at : float
        Monotonic time in seconds at which the report arrived.
    progress : EndpointProgress
        Work that the endpoint has done since its first report.
    unreported_sent_at : list of float
        Monotonic times at which this node sent calls that the report may not include.
    is_summarized : bool
        Whether the load comes from a summary of the endpoint's failure domain instead
        of a report of its node.
    """

    report: mesh.Load
    host: str
    received_at: float
    progress: work_estimation.EndpointProgress
    unreported_sent_at: list[float] = dataclasses.field(default_factory=list)
    is_summarized: bool = False

    def unreported_call_count(self, now: float) -> int:
        """Return the number of sent calls that the report may not include yet."""
        oldest_at = now - UNREPORTED_CALL_S
        if self.is_summarized:
            oldest_at = self.received_at - SUMMARY_LAG_S
        self.unreported_sent_at = [
            at for at in self.unreported_sent_at if at > oldest_at
        ]
        return len(self.unreported_sent_at)


@dataclasses.dataclass(slots=True)
class _FollowRequest:
    """Times of the first and the last follow request to a node."""

    first_sent_at: float
    last_sent_at: float


class LoadTable:
    """Latest load of each endpoint, by the identity of its process and by its host.

    Parameters
    ----------
    period_estimator : PeriodEstimator
        Estimator of the times at which endpoints change their slowness.

    Attributes
    ----------
    silent_hosts : set of str
        Hosts that were silent at the last update of the silent hosts.
    """

    def __init__(self, period_estimator: slowness_period.PeriodEstimator) -> None:
        self._period_estimator = period_estimator
        self.loads_by_instance: dict[str, EndpointLoad] = {}
        self.loads_by_host: dict[str, EndpointLoad] = {}
        self.stale_reports = 0
        self.silent_hosts: set[str] = set()

    def update(self, load: mesh.Load, host: str, now: float) -> bool:
        """Store a report; return False if it is older than the last one."""
        previous = self.loads_by_host.get(host)
        if previous is not None and previous.report.started_ms == load.started_ms:
            if load.sequence <= previous.report.sequence:
                self.stale_reports += 1
                return False
        elif previous is not None and previous.report.started_ms != UNKNOWN_START_MS:
            previous = None
        self._store(load, host, previous, now, is_summarized=False)
        return True

    def update_from_summary(
        self, load: mesh.Load, host: str, received_at: float, now: float
    ) -> None:
        """Store the load of an endpoint from a summary of its failure domain.

        Does nothing if there is a recent direct report, or a load that is newer: the
        senders of a domain may hear its endpoints at different times.

        Parameters
        ----------
        load : Load
            Load without the start and the sequence number of the endpoint's node.
        received_at : float
            Monotonic time from which the age of the load is counted.
        """
        previous = self.loads_by_host.get(host)
        if previous is not None:
            if received_at < previous.received_at or (
                not previous.is_summarized
                and now - previous.received_at <= DIRECT_PRECEDENCE_S
            ):
                return
            # Direct reports that arrive late still count as outdated.
            load.started_ms = previous.report.started_ms
            load.sequence = previous.report.sequence
        endpoint_load = self._store(load, host, previous, now, is_summarized=True)
        endpoint_load.received_at = received_at

    def _store(
        self,
        load: mesh.Load,
        host: str,
        previous: EndpointLoad | None,
        now: float,
        *,
        is_summarized: bool,
    ) -> EndpointLoad:
        slowness = load.slowness_percent / 100.0
        if previous is not None and previous.report.instance == load.instance:
            previous.report, previous.received_at = load, now
            previous.is_summarized = is_summarized
            previous.progress.set_slowness(slowness, now, is_prompt=not is_summarized)
            return previous
        progress = work_estimation.EndpointProgress(now, self._period_estimator)
        progress.set_slowness(slowness, now, is_prompt=not is_summarized)
        endpoint_load = EndpointLoad(load, host, now, progress)
        endpoint_load.is_summarized = is_summarized
        self.loads_by_host[host] = endpoint_load
        if load.instance:
            self.loads_by_instance[load.instance] = endpoint_load
        return endpoint_load

    def on_call_sent(self, instance: str, now: float) -> None:
        """Record that a call was sent to the endpoint of another machine."""
        endpoint_load = self.loads_by_instance.get(instance)
        if endpoint_load is not None:
            endpoint_load.unreported_sent_at.append(now)

    def candidate(
        self,
        instance: published_state.Instance,
        unacknowledged_count: int = 0,
        *,
        near: bool,
        now: float,
    ) -> placement.Candidate | None:
        """Return an endpoint's load for the choice of an endpoint.

        Returns None if there is no report of the endpoint or it accepts no calls.

        Parameters
        ----------
        unacknowledged_count : int
            Calls that this node has been sending to the endpoint for longer than
            `UNREPORTED_CALL_S`. They have not arrived, so no report counts them, and an
            endpoint behind a congested link would look idle.
        """
        endpoint_load = self.loads_by_instance.get(instance.id)
        if endpoint_load is None:
            return None
        load = endpoint_load.report
        if not load.accepting:
            return None
        return placement.Candidate(
            instance.id,
            near,
            load.running
            + endpoint_load.unreported_call_count(now)
            + unacknowledged_count,
            load.waiting,
            load.slots,
            load.slowness_percent / 100.0,
            endpoint_load.progress.mean_slowness,
            load.failing_percent / 100.0,
            max(0.0, now - endpoint_load.received_at),
            endpoint_load.progress.phase_left_s(now),
        )

    def update_silent_hosts(self, now: float) -> tuple[set[str], set[str]]:
        """Update the silent hosts; return the newly silent and the recovered ones."""
        silent_hosts = {
            host
            for host, endpoint_load in self.loads_by_host.items()
            if now - endpoint_load.received_at > placement.SILENT_NODE_S
        }
        newly_silent, recovered = (
            silent_hosts - self.silent_hosts,
            self.silent_hosts - silent_hosts,
        )
        self.silent_hosts = silent_hosts
        return newly_silent, recovered

    def has_recent_report(self, host: str, now: float) -> bool:
        """Whether the node on a machine has sent a report recently."""
        endpoint_load = self.loads_by_host.get(host)
        return (
            endpoint_load is not None
            and now - endpoint_load.received_at <= placement.SILENT_NODE_S
        )

    def newest_state(
        self, known: store_position.Position, near_hosts: Collection[str], now: float
    ) -> tuple[store_position.Position, int, list[str]]:
        """Return the highest position of the heard nodes, and the hosts to ask for it.

        If no node is ahead of `known`, the hosts are those of the same era that report
        the highest version of the configuration. That version is returned, too.

        Hosts in `near_hosts` are preferred to others. Silent nodes hardly answer and
        are left out, whatever they reported last.
        """
        states_by_host = {
            host: (position(each.report), each.report.configuration)
            for host, each in self.loads_by_host.items()
            if self.has_recent_report(host, now)
        }
        newest = max(
            (reported for reported, _ in states_by_host.values()), default=known
        )
        if newest > known:
            hosts = [h for h, state in states_by_host.items() if state[0] == newest]
        else:
            newest = known
            hosts = [
                h for h, state in states_by_host.items() if state[0].era == known.era
            ]
        version = max((states_by_host[host][1] for host in hosts), default=0)
        hosts = [host for host in hosts if states_by_host[host][1] == version]
        near = [host for host in hosts if host in near_hosts]
        return newest, version, near or hosts

    def expire(self, kept_hosts: Collection[str], now: float) -> None:
        """Remove loads whose last report is older than ``RETENTION_S``.

        Loads of hosts in `kept_hosts` stay, except those of a replaced process.
        """
        for host, endpoint_load in list(self.loads_by_host.items()):
            if host not in kept_hosts and now - endpoint_load.received_at > RETENTION_S:
                del self.loads_by_host[host]
        for name, endpoint_load in list(self.loads_by_instance.items()):
            replaced = self.loads_by_host.get(endpoint_load.host) is not endpoint_load
            if replaced and now - endpoint_load.received_at > RETENTION_S:
                del self.loads_by_instance[name]


class LoadExchange(asyncio.DatagramProtocol):
    """Sends this node's load reports to its followers and receives those of others.

    Parameters
    ----------
    host : str
        Address of this machine.
    port : int
        UDP port that the nodes of all machines use.
    table : LoadTable
        Table in which received reports are stored.
    read_load : callable
        Returns this node's present load, with 0 as its sequence number.
    on_report : callable
        Called with the sender's host and its report, unless the report is outdated.
    rng : random.Random
        Chooses the followers that receive a newer revision first.

    Attributes
    ----------
    receivers_by_kind : dict
        Handlers of datagrams of other kinds, by their first byte.
    far_peer_hosts : frozenset of str
        Some hosts of other failure domains, whose nodes need not follow this one.
    """

    def __init__(
        self,
        host: str,
        port: int,
        table: LoadTable,
        read_load: Callable[[float], mesh.Load],
        on_report: Callable[[str, mesh.Load], None],
        rng: random.Random,
    ) -> None:
        self._host = host
        self._port = port
        self._table = table
        self._read_load = read_load
        self._on_report = on_report
        self._rng = rng
        self._transport: asyncio.DatagramTransport | None = None
        self._socket: socket.socket | None = None
        self._sequence = 0
        self._followers_by_host: dict[str, _Follower] = {}
        self._follow_requests_by_host: dict[str, _FollowRequest] = {}
        self._last_report: reporting.LoadReport | None = None
        self._next_report_at = 0.0
        self.receivers_by_kind: dict[bytes, Receiver] = {}
        self.far_peer_hosts: frozenset[str] = frozenset()
        self.sent_datagrams = 0
        self.unreadable_datagrams = 0

    @property
    def follower_count(self) -> int:
        """Number of nodes that subscribed to this node's reports."""
        return len(self._followers_by_host)

    def peer_hosts(self) -> set[str]:
        """Return the hosts of the nodes with which this one exchanges datagrams."""
        followers, followed = self._followers_by_host, self._follow_requests_by_host
        return followers.keys() | followed.keys() | self.far_peer_hosts

    async def start(self, address: channel.Address) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        own_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            own_socket.setblocking(False)
            own_socket.bind(address)
            await loop.create_datagram_endpoint(lambda: self, sock=own_socket)
        except BaseException:
            own_socket.close()
            raise
        self._socket = own_socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open socket; called by the event loop."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram and those that wait behind it; called by the event loop.

        The event loop reads one datagram in each iteration. While other work makes its
        iterations long, reports would arrive faster than it reads them, and the newest
        ones would wait behind outdated ones.
        """
        now = clock.now()
        self._handle_datagram(data, addr[0], now)
        for _ in range(MAX_DATAGRAMS_PER_ITERATION - 1):
            if self._socket is None:
                return
            try:
                data, addr = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # Nothing waits, or the event loop will report the error.
                return
            self._handle_datagram(data, addr[0], now)

    def _handle_datagram(self, data: bytes, host: str, now: float) -> None:
        try:
            kind, body = data[:1], memoryview(data)[1:]
            if kind == FOLLOW_KIND:
                self._on_follow(host, _follow_decoder.decode(body), now)
                return
            if kind in self.receivers_by_kind:
                self.receivers_by_kind[kind](host, body, now)
                return
            if kind != LOAD_KIND:
                raise msgspec.DecodeError(f"unknown datagram kind {kind!r}")
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
        """Log a failure to send a datagram; called by the event loop."""
        logger.info("failed to send a datagram", extra={"fields": {"error": str(exc)}})

    def follow(self, near_by_host: Mapping[str, bool], now: float) -> None:
        """Send the follow requests that are due.

        Parameters
        ----------
        near_by_host : mapping of str to bool
            Hosts to follow, and whether each is in this node's failure domain.
        """
        for host in [h for h in self._follow_requests_by_host if h not in near_by_host]:
            del self._follow_requests_by_host[host]
        for host, near in near_by_host.items():
            request = self._follow_requests_by_host.get(host)
            endpoint_load = self._table.loads_by_host.get(host)
            has_reports = (
                endpoint_load is not None
                and now - endpoint_load.received_at <= REPORT_OVERDUE_S
            )
            interval_s = FOLLOW_RENEWAL_S if has_reports else FOLLOW_RETRY_S
            if request is None:
                request = self._follow_requests_by_host[host] = _FollowRequest(now, now)
            elif now - request.last_sent_at < interval_s:
                continue
            request.last_sent_at = now
            self.send_datagram(FOLLOW_KIND, _encoder.encode(mesh.Follow(near)), host)

    def is_silent(self, host: str, now: float) -> bool:
        """Whether a followed node has sent no report for `placement.SILENT_NODE_S`.

        A node counts as silent only once that time has passed since the first follow
        request to it.
        """
        request = self._follow_requests_by_host.get(host)
        if request is None or now - request.first_sent_at <= placement.SILENT_NODE_S:
            return False
        return not self._table.has_recent_report(host, now)

    def publish(self, now: float) -> None:
        """Send the present load to the followers whose next report is due.

        How soon a report is due depends on how much the load has changed since the
        last report to that follower.
        """
        load = self._read_load(now)
        report = _summarize(load)
        self._sequence += 1
        load.sequence = self._sequence
        self._table.update(load, self._host, now)
        unchanged = report == self._last_report
        if unchanged and now < self._next_report_at:
            return
        notified_first = self._hosts_to_notify_first(report)
        self._last_report = report
        self._next_report_at = now + reporting.REPEAT_INTERVAL_S
        payload = b""
        for host, follower in list(self._followers_by_host.items()):
            if now > follower.expires_at:
                del self._followers_by_host[host]
                continue
            sent = follower.last_report
            due_s = 0.0
            if sent is not None and host not in notified_first:
                due_s = reporting.interval_s(sent, report, near=follower.is_near)
            if now - follower.last_sent_at >= due_s:
                payload = payload or _encoder.encode(load)
                follower.last_sent_at, follower.last_report = now, report
                self.send_datagram(LOAD_KIND, payload, host)
                continue
            self._next_report_at = min(
                self._next_report_at, follower.last_sent_at + due_s
            )

    def _hosts_to_notify_first(self, report: reporting.LoadReport) -> set[str]:
        """Return a few random followers that receive a newer revision at once.

        Returns an empty set if the revision is not newer than in the last report.
        """
        previous = self._last_report
        if previous is not None and previous.position >= report.position:
            return set()
        hosts = list(self._followers_by_host)
        count = min(len(hosts), reporting.REVISION_FANOUT)
        return set(self._rng.sample(hosts, count))

    @property
    def next_report_at(self) -> float:
        """Monotonic time at which the next report to a follower is due."""
        return self._next_report_at

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = self._socket = None

    def _on_follow(self, host: str, message: mesh.Follow, now: float) -> None:
        previous = self._followers_by_host.get(host)
        until = now + FOLLOWER_EXPIRY_S
        if previous is not None:
            previous.is_near, previous.expires_at = message.near, until
            return
        self._followers_by_host[host] = _Follower(message.near, until, now, None)
        self._next_report_at = now
        self.publish(now)

    def send_datagram(self, kind: bytes, payload: bytes, host: str) -> None:
        """Send a datagram to the node on a host; do nothing if no socket is open."""
        if self._transport is None:
            return
        self._transport.sendto(kind + payload, (host, self._port))
        self.sent_datagrams += 1


def position(load: mesh.Load) -> store_position.Position:
    """Return the position of the published state that a node reports to know."""
    return store_position.Position(load.era, load.revision)


def store_contact(endpoint_load: EndpointLoad) -> store_outage.Contact:
    """Return the contact with the platform's store that a node reports."""
    report = endpoint_load.report
    answered_at = -math.inf
    if report.source_age_ms >= 0:
        answered_at = endpoint_load.received_at - report.source_age_ms / 1000.0
    return store_outage.Contact(report.source_away, answered_at)


def encode_level_samples(
    samples: Iterable[concurrency_limit.LevelSample],
) -> list[list[int]]:
    """Return measured concurrency levels as they are sent in a report."""
    return [
        [sample.level, round(sample.mean_ratio * 100), round(sample.weight_calls)]
        for sample in samples
    ]


def decode_level_samples(load: mesh.Load) -> list[concurrency_limit.LevelSample]:
    """Return the measured concurrency levels in a report, without implausible ones."""
    return [
        concurrency_limit.LevelSample(entry[0], entry[1] / 100.0, float(entry[2]))
        for entry in load.level_samples
        if len(entry) == LEVEL_SAMPLE_FIELD_COUNT and min(entry) > 0
    ]


def _summarize(load: mesh.Load) -> reporting.LoadReport:
    return reporting.LoadReport(
        load.running + load.waiting,
        load.slots,
        load.slowness_percent,
        load.failing_percent,
        (load.instance, load.accepting, load.source_away),
        position(load),
    )
