"""Sends one attempt to another node, with retransmission on new connections.

The receiving node acknowledges an attempt as soon as it has read it, and repeats the
acknowledgement as a heartbeat while the call waits or runs. If an acknowledgement is
overdue, the sender retransmits the attempt on a new connection. The receiver runs each
attempt at most once (see `deduplication`), so retransmission is safe for all calls,
also for those that are not idempotent, as long as the same process receives all
transmissions.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging

import msgspec

from snipelink import clock, errors
from snipelink.mesh import calls, channel, connection_monitor, frames, messages
from snipelink.session import frames as framing
from snipelink.session import memory

logger = logging.getLogger(__name__)

# Time without an acknowledgement after which an attempt is retransmitted, seconds, if
# the round trip is short. It takes 1 to 2 ms on a link that is not congested, and a
# process that is short of CPU time can pause for up to 0.1 s.
ACCEPT_TIMEOUT_S = 0.12
# The same timeout on a new connection, seconds. It is longer because it includes the
# time to connect; connecting to an unreachable node fails after 0.3 s.
NEW_CONNECTION_ACCEPT_TIMEOUT_S = 0.4
# Interval at which a node repeats the acknowledgement of an attempt that waits or runs,
# seconds. A call shorter than this causes a single acknowledgement.
HEARTBEAT_INTERVAL_S = 0.25
# Slowest transfer in which a body is not retransmitted while it is still being sent,
# bytes per second: a link of 10 Mbit/s that a dozen transfers share.
MIN_LINK_BYTES_PER_S = 100_000
# Time without an acknowledgement after which a connection counts as silent if a newer
# one works, seconds. TCP retransmits a lost packet after 0.2 s.
SILENCE_CONFIRMATION_S = 0.3
# Maximum number of connections on which one attempt is sent, including the first one.
MAX_TRANSMISSIONS = 3

# Errors that end the use of a connection: network errors and undecodable messages.
CONNECTION_ERRORS = (OSError, ValueError, framing.FrameError, msgspec.MsgspecError)


@dataclasses.dataclass(slots=True, eq=False)
class PeerConnection:
    """A connection to another node that carries one attempt at a time.

    Attributes
    ----------
    started_ms : int
        Start time of the process at the other end, Unix milliseconds. Until that
        process has acknowledged a call here, it is the start time of the process last
        known at that address, or 0 if none is known.
    last_received_at : float
        Monotonic time at which the last frame was received.
    """

    frame_channel: frames.FrameChannel
    started_ms: int
    last_received_at: float


@dataclasses.dataclass(slots=True, eq=False)
class _Transmission:
    """One transmission of the attempt on a connection of its own.

    Attributes
    ----------
    number : int
        Number of earlier transmissions.
    connection : PeerConnection or None
        The connection; None while it is being opened.
    started_at : float
        Monotonic time at which the transmission started.
    is_pooled : bool
        Whether the connection was used before and taken from the pool.
    acknowledged_at : float or None
        Monotonic time of the last acknowledgement.
    is_overdue : bool
        Whether an acknowledgement was overdue when the next transmission started.
    """

    number: int
    connection: PeerConnection | None
    started_at: float
    is_pooled: bool
    task: asyncio.Task[calls.Outcome] | None = None
    acknowledged_at: float | None = None
    is_overdue: bool = False


class PeerAttempt:
    """One attempt to run a call at another node.

    Parameters
    ----------
    call : Call
        The call.
    address : tuple of (str, int)
        Address at which the node accepts calls.
    instance : str
        Identity of the endpoint's process that may run the call.
    attempt_id : str
        Unique name of the attempt.
    monitor : ConnectionMonitor
        Opens connections and records those whose peer stops answering.
    reply_pool : Pool or None
        Memory of large replies; None for no limit.

    Attributes
    ----------
    reusable : PeerConnection or None
        Connection that may be reused for another attempt, once this one is over.
    retransmission_count : int
        Number of transmissions after the first one.
    """

    def __init__(
        self,
        call: calls.Call,
        address: channel.Address,
        instance: str,
        attempt_id: str,
        monitor: connection_monitor.ConnectionMonitor,
        reply_pool: memory.Pool | None = None,
    ) -> None:
        self._call = call
        self._reply_pool = reply_pool
        self._address = address
        self._instance = instance
        self._attempt_id = attempt_id
        self._connection_monitor = monitor
        self._transmissions: list[_Transmission] = []
        self._started_ms = 0
        self._sending_s = len(call.body) / MIN_LINK_BYTES_PER_S
        self._waker: asyncio.Future[None] | None = None
        self.reusable: PeerConnection | None = None
        self.retransmission_count = 0

    async def run(
        self, connection: PeerConnection, *, is_pooled: bool
    ) -> calls.Outcome:
        """Send the attempt and return its outcome; cancelling closes its connections.

        Parameters
        ----------
        connection : PeerConnection
            Connection for the first transmission.
        is_pooled : bool
            Whether the connection was used before.

        Raises
        ------
        OSError, ValueError, FrameError, MsgspecError
            If no reply was received on any connection.
        """
        self._started_ms = connection.started_ms
        self._transmit(connection, is_pooled=is_pooled)
        try:
            while True:
                outcome = self._process_events(clock.now())
                if outcome is not None:
                    return outcome
                await self._wait_for_event()
        finally:
            for transmission in self._transmissions:
                self._abort(transmission)

    def wake(self) -> None:
        """Check the transmissions again, for example after a connection fell silent."""
        if self._waker is not None and not self._waker.done():
            self._waker.set_result(None)

    def is_unacknowledged(self) -> bool:
        """Whether no acknowledgement was received on the connections in use."""
        return all(
            transmission.acknowledged_at is None for transmission in self._transmissions
        )

    async def _wait_for_event(self) -> None:
        loop = asyncio.get_running_loop()
        self._waker = loop.create_future()
        last = self._transmissions[-1]
        timer = None
        retransmit_at = self._retransmit_at(last)
        if retransmit_at is not None:
            left_s = retransmit_at - clock.now()
            timer = loop.call_later(max(0.001, left_s), self.wake)
        try:
            await self._waker
        finally:
            self._waker = None
            if timer is not None:
                timer.cancel()

    def _process_events(self, now: float) -> calls.Outcome | None:
        """Process finished and overdue transmissions; return the outcome if known."""
        for transmission in list(self._transmissions):
            if transmission.task is None or not transmission.task.done():
                continue
            error = transmission.task.exception()
            if error is None:
                self._keep_connection(transmission)
                return transmission.task.result()
            self._transmissions.remove(transmission)
            self._abort(transmission)
            if self._transmissions:
                continue
            if not self._may_retransmit() or not _has_timed_out(transmission):
                if isinstance(error, TimeoutError):
                    # A timeout of the connection is not the deadline of the call.
                    raise ConnectionResetError(str(error)) from error
                raise error
            self._transmit(None, is_pooled=False)
        last = self._transmissions[-1]
        if last.acknowledged_at is not None:
            for transmission in self._transmissions[:-1]:
                self._retire(transmission, now)
            self._transmissions = [last]
        retransmit_at = self._retransmit_at(last)
        if retransmit_at is not None and (
            now >= retransmit_at or self._is_possibly_silent(last)
        ):
            last.is_overdue = now >= retransmit_at
            self._transmit(None, is_pooled=False)
        return None

    def _may_retransmit(self) -> bool:
        return (
            bool(self._started_ms) and self.retransmission_count < MAX_TRANSMISSIONS - 1
        )

    def _retransmit_at(self, transmission: _Transmission) -> float | None:
        """Return the monotonic time to retransmit at; None if that is not allowed."""
        if not self._may_retransmit():
            return None
        if transmission.acknowledged_at is not None:
            heartbeat_due_at = transmission.acknowledged_at + HEARTBEAT_INTERVAL_S
            return heartbeat_due_at + self._timeout_s(ACCEPT_TIMEOUT_S)
        # A new connection is unlikely to be silent, and needs a round trip to open.
        accept_timeout_s = self._timeout_s(
            ACCEPT_TIMEOUT_S
            if transmission.is_pooled
            else NEW_CONNECTION_ACCEPT_TIMEOUT_S
        )
        return transmission.started_at + accept_timeout_s + self._sending_s

    def _timeout_s(self, usual_s: float) -> float:
        """Return a time-out that is adapted to the round trip to the node."""
        round_trips = self._connection_monitor.round_trips
        return round_trips.timeout_s(self._address, usual_s, clock.now())

    def _is_possibly_silent(self, transmission: _Transmission) -> bool:
        reuse_policy, acknowledged_at = (
            self._connection_monitor.reuse_policy,
            transmission.acknowledged_at,
        )
        return acknowledged_at is not None and not reuse_policy.may_reuse(
            self._address, acknowledged_at
        )

    def _transmit(self, connection: PeerConnection | None, *, is_pooled: bool) -> None:
        if self._transmissions or connection is None:
            self.retransmission_count += 1
            fields = {
                "id": self._call.call_id,
                "host": self._address[0],
                "sending": self.retransmission_count,
            }
            logger.info("call is sent again", extra={"fields": fields})
        transmission = _Transmission(
            self.retransmission_count, connection, clock.now(), is_pooled
        )
        transmission.task = asyncio.ensure_future(self._exchange(transmission))
        transmission.task.add_done_callback(lambda _: self.wake())
        self._transmissions.append(transmission)

    async def _exchange(self, transmission: _Transmission) -> calls.Outcome:
        """Send the attempt on one connection and return the outcome in the reply."""
        if transmission.connection is None:
            stream = await self._connect()
            transmission.connection = PeerConnection(
                frames.FrameChannel(stream, self._reply_pool), 0, clock.now()
            )
        connection = transmission.connection
        header = messages.AttemptHeader(
            self._attempt_id, transmission.number, self._started_ms
        )
        parts = messages.encode_call(self._call, self._instance, header, clock.now())
        kind = frames.Kind.CALL_AGAIN if transmission.number else frames.Kind.CALL
        await connection.frame_channel.send_parts(kind, parts)
        while True:
            received = await connection.frame_channel.receive()
            if received is None:
                raise ConnectionResetError("the node closed the connection")
            kind, payload = received
            connection.last_received_at = clock.now()
            if kind is frames.Kind.ACCEPTED:
                is_first, transmission.acknowledged_at = (
                    transmission.acknowledged_at is None,
                    connection.last_received_at,
                )
                if is_first:
                    self._record_round_trip(transmission)
                    connection.started_ms = messages.decode_accepted(payload).started_ms
                    if transmission.number == 0:
                        self._started_ms = connection.started_ms
                    self.wake()
                continue
            if kind is not frames.Kind.REPLY:
                raise framing.FrameError(f"{kind.name} in place of a reply")
            reply = messages.decode_reply(payload)
            if reply.call_id != self._call.call_id:
                raise framing.FrameError("reply to another call")
            return messages.to_outcome(reply)

    def _record_round_trip(self, transmission: _Transmission) -> None:
        """Record how long the first acknowledgement took, without the body's share."""
        now = clock.now()
        took_s = max(0.0, now - transmission.started_at - self._sending_s)
        self._connection_monitor.round_trips.on_sample(self._address, took_s, now)

    async def _connect(self) -> channel.Channel:
        """Open a new connection to the node.

        A call that is not idempotent keeps trying after a timeout, because only this
        node knows whether the call has run. An idempotent call fails, so that it can be
        retried on another endpoint.
        """
        while True:
            try:
                return await self._connection_monitor.connect_to_node(self._address)
            except TimeoutError:
                if self._call.idempotent:
                    raise

    def _keep_connection(self, transmission: _Transmission) -> None:
        if (
            transmission.connection is not None
            and transmission.connection.frame_channel.is_idle
        ):
            self._transmissions.remove(transmission)
            self.reusable = transmission.connection

    def _retire(self, transmission: _Transmission, now: float) -> None:
        """Abandon a transmission that was replaced, and record a silent connection.

        A connection that never delivered an acknowledgement gets the rest of
        `SILENCE_CONFIRMATION_S` to deliver one before it counts as silent.
        """
        assert transmission.task is not None
        transmission.task.cancel()
        if transmission.connection is None:
            return
        if transmission.acknowledged_at is None:
            silent_at = transmission.started_at + self._timeout_s(
                SILENCE_CONFIRMATION_S
            )
            left_s = max(0.0, silent_at - now)
            asyncio.get_running_loop().call_later(
                left_s, self._check_silence, transmission
            )
            return
        # The node sends heartbeats only on the connection of the latest transmission,
        # so no further heartbeat can arrive on this connection.
        if transmission.is_overdue:
            self._record_silence(transmission.acknowledged_at)
        transmission.connection.frame_channel.stream.abort()

    def _record_silence(self, since: float) -> None:
        role, now = connection_monitor.Role.NODE, clock.now()
        self._connection_monitor.on_silent_call(role, self._address, since, now)

    def _check_silence(self, transmission: _Transmission) -> None:
        assert transmission.connection is not None
        if transmission.connection.frame_channel.is_idle:
            self._record_silence(transmission.started_at)
        transmission.connection.frame_channel.stream.abort()

    def _abort(self, transmission: _Transmission) -> None:
        assert transmission.task is not None
        transmission.task.cancel()
        if transmission.connection is not None:
            transmission.connection.frame_channel.stream.abort()


def _has_timed_out(transmission: _Transmission) -> bool:
    """Whether the kernel closed the connection because the peer was silent."""
    return (
        transmission.connection is not None
        and transmission.connection.frame_channel.stream.has_timed_out
    )


def unknown_outcome(host: str, error: BaseException) -> calls.Outcome:
    """Return the outcome of an attempt without a reply: the call may have run."""
    detail = f"node at {host}: {error or type(error).__name__}"
    return calls.failed_outcome(errors.Kind.CONNECTION_LOST, detail, reached=True)
