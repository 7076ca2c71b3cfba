"""ZeroMQ transport of control messages.

A ROUTER socket accepts inbound connections. Each outbound connection has a DEALER
socket.
"""

from __future__ import annotations

import collections
import dataclasses
import logging
import socket
from collections.abc import Iterator, Sequence

import zmq
import zmq.utils.monitor
from zmq.utils import z85

from snipelink.gossip import budget as budgets
from snipelink.gossip import codec, exchange, keys

_LOG = logging.getLogger(__name__)

MAX_CONNECTIONS = 32
IDLE_TIMEOUT_S = 180.0
# A connection without any answer for this long is opened again with the other key.
KEY_TRIAL_TIMEOUT_S = 4.0
MAX_QUEUED_MESSAGES = 16
MAX_MESSAGES_PER_READ = 16
RECONNECT_INTERVAL_MS = 500
MAX_RECONNECT_INTERVAL_MS = 10_000
HANDSHAKE_TIMEOUT_MS = 5_000
# libzmq closes a connection that announces a larger message, before buffering it.
ZMQ_MAX_MESSAGE_BYTES = 2 * codec.MAX_FRAME_BYTES
# Fixed address of the ZeroMQ authentication protocol (ZAP, RFC 27).
ZAP_ADDRESS = "inproc://zeromq.zap.01"
_HANDSHAKE_FAILURE_EVENTS = (
    zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
)


@dataclasses.dataclass(slots=True)
class _Connection:
    socket: zmq.Socket[bytes]
    key_index: int
    opened_at: float
    last_used_at: float
    last_received_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedFrame:
    """A received frame, and the route for answers to its sender."""

    route: exchange.Route
    frame: bytes


class Transport:
    """Sockets of the control port of a node.

    All methods except `wake` must be called from one thread.

    Parameters
    ----------
    listen : str
        IP:port of the control port.
    key_pairs : sequence of KeyPair
        Key pairs that peers may use; this node serves with the first one.
    budget : Budget
        Traffic budget. Connections are charged here; frames are charged by the caller.
    now : float
        Start time, monotonic seconds.
    """

    def __init__(
        self,
        listen: str,
        key_pairs: Sequence[keys.KeyPair],
        budget: budgets.Budget,
        now: float,
    ) -> None:
        self.counts_by_event: collections.Counter[str] = collections.Counter()
        self._key_pairs = list(key_pairs)
        self._budget = budget
        self._now = now
        self._context = zmq.Context()
        self._poller = zmq.Poller()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._zap = self._context.socket(zmq.REP)
        self._zap.bind(ZAP_ADDRESS)
        self._router = self._new_socket(zmq.ROUTER)
        self._router.curve_server = True
        self._router.curve_publickey = self._key_pairs[0].public
        self._router.curve_secretkey = self._key_pairs[0].secret
        self._router.zap_domain = b"control"
        events = _HANDSHAKE_FAILURE_EVENTS | zmq.EVENT_ACCEPTED
        self._monitor = self._router.get_monitor_socket(events)
        self._router.bind(f"tcp://{listen}")
        self._connections_by_address: dict[str, _Connection] = {}
        self._addresses_by_socket: dict[zmq.Socket[bytes], str] = {}
        for polled_socket in (self._zap, self._router, self._monitor):
            self._poller.register(polled_socket, zmq.POLLIN)
        self._poller.register(self._wake_reader.fileno(), zmq.POLLIN)

    @property
    def address(self) -> str:
        """Return the IP and port on which the node listens."""
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.rstrip("\0").removeprefix("tcp://")

    def wake(self) -> None:
        """Make a running `receive` return; may be called from any thread."""
        try:
            self._wake_writer.send(b"\0")
        except OSError:
            pass  # the pipe is full of wake-ups, or the transport is closed

    def close(self) -> None:
        """Close all sockets; queued messages may still be sent for a short time."""
        self._router.disable_monitor()
        self._monitor.close(0)
        for address in list(self._connections_by_address):
            self._close_connection(address, linger_ms=200)
        self._router.close(200)
        self._zap.close(0)
        self._context.term()
        self._wake_reader.close()
        self._wake_writer.close()

    def send(self, route: exchange.Route, frame: bytes) -> bool:
        """Queue a frame for sending; return False if it was dropped.

        A frame is dropped if the queue of the connection is full, the address is
        invalid or the budget doesn't allow a new connection.
        """
        try:
            if route.identity:
                self._router.send_multipart([route.identity, frame], zmq.DONTWAIT)
                return True
            connection = self._get_or_connect(route.address)
            if connection is None:
                return False
            connection.last_used_at = self._now
            connection.socket.send(frame, zmq.DONTWAIT)
            return True
        except zmq.ZMQError:
            self.counts_by_event["dropped"] += 1
            return False

    def receive(self, timeout_s: float, now: float) -> Iterator[ReceivedFrame]:
        """Wait for frames and yield a bounded number of them.

        While the budget is exhausted, messages stay in the socket buffers, so that TCP
        flow control slows their senders.
        """
        self._now = now
        self._maintain_connections(now)
        ready = dict(self._poller.poll(max(0, int(timeout_s * 1000))))
        if self._wake_reader.fileno() in ready:
            self._drain_wake_pipe()
        if self._zap in ready:
            self._authenticate_peer()
        if self._monitor in ready:
            self._read_monitor(now)
        for ready_socket in ready:
            if ready_socket is self._router:
                yield from self._read_router(now)
            elif ready_socket in self._addresses_by_socket:
                yield from self._read_connection(ready_socket, now)

    def _new_socket(self, kind: int) -> zmq.Socket[bytes]:
        zmq_socket: zmq.Socket[bytes] = self._context.socket(kind)
        zmq_socket.linger = 0
        zmq_socket.sndhwm = zmq_socket.rcvhwm = MAX_QUEUED_MESSAGES
        zmq_socket.maxmsgsize = ZMQ_MAX_MESSAGE_BYTES
        zmq_socket.handshake_ivl = HANDSHAKE_TIMEOUT_MS
        zmq_socket.reconnect_ivl = RECONNECT_INTERVAL_MS
        zmq_socket.reconnect_ivl_max = MAX_RECONNECT_INTERVAL_MS
        return zmq_socket

    def _get_or_connect(self, address: str) -> _Connection | None:
        existing = self._connections_by_address.get(address)
        if existing is not None:
            return existing
        if not self._budget.try_spend(codec.CONNECTION_OVERHEAD_BYTES, self._now):
            return None
        if len(self._connections_by_address) >= MAX_CONNECTIONS:
            oldest = min(
                self._connections_by_address,
                key=lambda address: self._connections_by_address[address].last_used_at,
            )
            self._close_connection(oldest)
        return self._connect(address, 0)

    def _connect(self, address: str, key_index: int) -> _Connection | None:
        dealer = self._new_socket(zmq.DEALER)
        key = self._key_pairs[key_index]
        dealer.curve_serverkey = key.public
        dealer.curve_publickey = key.public
        dealer.curve_secretkey = key.secret
        try:
            dealer.connect(f"tcp://{address}")
        except zmq.ZMQError:
            dealer.close(0)
            self.counts_by_event["bad-address"] += 1
            return None
        now = self._now
        connection = _Connection(dealer, key_index, now, now, float("-inf"))
        self._connections_by_address[address] = connection
        self._addresses_by_socket[dealer] = address
        self._poller.register(dealer, zmq.POLLIN)
        self.counts_by_event["connections"] += 1
        return connection

    def _close_connection(self, address: str, linger_ms: int = 0) -> None:
        connection = self._connections_by_address.pop(address)
        del self._addresses_by_socket[connection.socket]
        self._poller.unregister(connection.socket)
        connection.socket.close(linger_ms)

    def _maintain_connections(self, now: float) -> None:
        """Close idle connections; reopen unanswered ones with the other key."""
        for address, connection in list(self._connections_by_address.items()):
            if now - connection.last_used_at > IDLE_TIMEOUT_S:
                self._close_connection(address)
            elif (
                len(self._key_pairs) > 1
                and connection.last_received_at < connection.opened_at
                and now - connection.opened_at > KEY_TRIAL_TIMEOUT_S
                and self._budget.try_spend(codec.CONNECTION_OVERHEAD_BYTES, now)
            ):
                self._close_connection(address)
                self._connect(
                    address, (connection.key_index + 1) % len(self._key_pairs)
                )

    def _read_router(self, now: float) -> Iterator[ReceivedFrame]:
        for _ in range(MAX_MESSAGES_PER_READ):
            if not self._budget.may_receive(now):
                return
            try:
                parts = self._router.recv_multipart(zmq.DONTWAIT)
            except zmq.ZMQError:
                return
            if len(parts) != 2:
                self._budget.charge(codec.MESSAGE_OVERHEAD_BYTES, now)
                self.counts_by_event["refused-parts"] += 1
                continue
            yield ReceivedFrame(exchange.Route(identity=parts[0]), parts[1])

    def _read_connection(
        self, ready_socket: zmq.Socket[bytes], now: float
    ) -> Iterator[ReceivedFrame]:
        address = self._addresses_by_socket[ready_socket]
        for _ in range(MAX_MESSAGES_PER_READ):
            connection = self._connections_by_address.get(address)
            if connection is None or not self._budget.may_receive(now):
                return
            try:
                parts = connection.socket.recv_multipart(zmq.DONTWAIT)
            except zmq.ZMQError:
                return
            connection.last_received_at = now
            yield ReceivedFrame(exchange.Route(address), parts[-1])

    def _drain_wake_pipe(self) -> None:
        try:
            while self._wake_reader.recv(64):
                pass
        except OSError:
            return

    def _authenticate_peer(self) -> None:
        """Answer a ZAP request: admit a peer that uses one of the valid keys."""
        parts = self._zap.recv_multipart()
        request_id = parts[1] if len(parts) > 1 else b""
        admitted = (
            len(parts) == 7
            and parts[5] == b"CURVE"
            and z85.encode(parts[6]) in {key.public for key in self._key_pairs}
        )
        status, status_text = (b"200", b"OK") if admitted else (b"400", b"unknown key")
        self._zap.send_multipart([b"1.0", request_id, status, status_text, b"", b""])
        if not admitted:
            self.counts_by_event["refused-key"] += 1

    def _read_monitor(self, now: float) -> None:
        for _ in range(MAX_MESSAGES_PER_READ):
            try:
                event = zmq.utils.monitor.recv_monitor_message(
                    self._monitor, zmq.DONTWAIT
                )
            except zmq.ZMQError:
                return
            self._budget.charge(codec.CONNECTION_OVERHEAD_BYTES, now, message_count=0)
            if event["event"] & _HANDSHAKE_FAILURE_EVENTS:
                self.counts_by_event["refused-handshake"] += 1
