"""One attempt at another node, sent again on a new connection if the first is silent.

The node accepts an attempt as soon as it has read it, and runs it once however often it
arrives (`received`). Sending it again is therefore safe for all calls, as long as the
same process receives it.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging

import msgspec

from snipelink import clock, errors
from snipelink.mesh import calls, channel, connection_monitor, frames, messages
from snipelink.session import frames as framing

logger = logging.getLogger(__name__)

# Time without a sign of life after which an attempt is sent again, seconds: a round
# trip takes 1 to 2 ms, and a process short of processor time stands still for up to
# 0.1 s.
ACCEPT_TIMEOUT_S = 0.12
# The same for a new connection: it fails to open within 0.3 s if the node is away.
NEW_CONNECTION_ACCEPT_TIMEOUT_S = 0.4
# Time between two signs of life of a node at which an attempt waits or runs, seconds; a
# call that is shorter costs one.
HEARTBEAT_INTERVAL_S = 0.25
# Slowest link on which a body is not sent again while it is on its way, bytes per
# second.
MIN_BYTES_PER_S = 1_000_000
# Time without a sign of life after which a connection counts as silent if a new one
# works, seconds: a lost packet is sent again after 0.2 s.
SILENCE_CONFIRMATION_S = 0.3
# Connections on which one attempt is sent.
MAX_TRANSMISSIONS = 3
CONNECT_TIMEOUT_S = 0.3

# What ends the use of a connection; a node whose bytes cannot be read is one of them.
CONNECTION_ERRORS = (OSError, ValueError, framing.FrameError, msgspec.MsgspecError)


@dataclasses.dataclass(slots=True, eq=False)
class PeerConnection:
    """A connection to a node, for one attempt at a time.

    Attributes
    ----------
    started_ms : int
        Start of the process at the other end, or of one that accepted calls there
        before the connection was opened; 0 while unknown.
    last_received_at : float
        Monotonic time at which it was last heard.
    """

    frame_channel: frames.FrameChannel
    started_ms: int
    last_received_at: float


@dataclasses.dataclass(slots=True, eq=False)
class _Leg:
    """One sending of the attempt; the connection is None while it is being opened."""

    sending: int
    connection: PeerConnection | None
    began_at: float
    is_kept: bool
    task: asyncio.Task[calls.Outcome] | None = None
    heard_at: float | None = None
    is_overdue: bool = False


class PeerAttempt:
    """One attempt.

    Parameters
    ----------
    address : tuple of (str, int)
        Where the node accepts calls.
    instance : str
        Endpoint beside it that may run the call.
    identity : str
        Unique name of the attempt.
    silent : ConnectionMonitor
        Opens connections and receives those that are silent.

    Attributes
    ----------
    reusable : PeerConnection or None
        Connection that may be used again, once the attempt is over.
    retransmission_count : int
        How often it was sent once more.
    """

    def __init__(
        self,
        call: calls.Call,
        address: channel.Address,
        instance: str,
        identity: str,
        silent: connection_monitor.ConnectionMonitor,
    ) -> None:
        self._call = call
        self._address = address
        self._instance = instance
        self._identity = identity
        self._silences = silent
        self._legs: list[_Leg] = []
        self._started_ms = 0
        self._patience_s = ACCEPT_TIMEOUT_S + len(call.body) / MIN_BYTES_PER_S
        self._waker: asyncio.Future[None] | None = None
        self.reusable: PeerConnection | None = None
        self.retransmission_count = 0

    async def run(self, connection: PeerConnection, *, is_kept: bool) -> calls.Outcome:
        """Return the outcome; cancelling closes the connections.

        Raises
        ------
        OSError, ValueError, FrameError, MsgspecError
            If no connection brought a reply.
        """
        self._started_ms = connection.started_ms
        self._begin(connection, is_kept=is_kept)
        try:
            while True:
                outcome = self._take(clock.now())
                if outcome is not None:
                    return outcome
                await self._sleep()
        finally:
            for leg in self._legs:
                self._end(leg)

    def wake(self) -> None:
        """Look again at the connections in use."""
        if self._waker is not None and not self._waker.done():
            self._waker.set_result(None)

    def is_unacknowledged(self) -> bool:
        """Whether no byte has been heard since the attempt was sent."""
        return all(leg.heard_at is None for leg in self._legs)

    async def _sleep(self) -> None:
        loop = asyncio.get_running_loop()
        self._waker = loop.create_future()
        last = self._legs[-1]
        timer = None
        due_at = self._due_at(last)
        if due_at is not None:
            left_s = due_at - clock.now()
            timer = loop.call_later(max(0.001, left_s), self.wake)
        try:
            await self._waker
        finally:
            self._waker = None
            if timer is not None:
                timer.cancel()

    def _take(self, now: float) -> calls.Outcome | None:
        """Take what has happened; return the outcome once it is known."""
        for leg in list(self._legs):
            if leg.task is None or not leg.task.done():
                continue
            error = leg.task.exception()
            if error is None:
                self._release(leg)
                return leg.task.result()
            self._legs.remove(leg)
            self._end(leg)
            if self._legs:
                continue
            if not self._may_send_again() or not _is_silent(leg):
                if isinstance(error, TimeoutError):
                    # Not the end of the call's own time.
                    raise ConnectionResetError(str(error)) from error
                raise error
            self._begin(None, is_kept=False)
        last = self._legs[-1]
        if last.heard_at is not None:
            for leg in self._legs[:-1]:
                self._retire(leg, now)
            self._legs = [last]
        due_at = self._due_at(last)
        if due_at is not None and (now >= due_at or self._is_doubted(last)):
            last.is_overdue = now >= due_at
            self._begin(None, is_kept=False)
        return None

    def _may_send_again(self) -> bool:
        return (
            bool(self._started_ms) and self.retransmission_count < MAX_TRANSMISSIONS - 1
        )

    def _due_at(self, leg: _Leg) -> float | None:
        """Return when a sign of life is overdue; None if that is of no use."""
        if not self._may_send_again():
            return None
        if leg.heard_at is not None:
            return leg.heard_at + HEARTBEAT_INTERVAL_S + ACCEPT_TIMEOUT_S
        # A new connection has hardly gone silent, but takes a round trip to open.
        return leg.began_at + (
            self._patience_s if leg.is_kept else NEW_CONNECTION_ACCEPT_TIMEOUT_S
        )

    def _is_doubted(self, leg: _Leg) -> bool:
        doubt, heard_at = self._silences.reuse_policy, leg.heard_at
        return heard_at is not None and not doubt.may_reuse(self._address, heard_at)

    def _begin(self, connection: PeerConnection | None, *, is_kept: bool) -> None:
        if self._legs or connection is None:
            self.retransmission_count += 1
            fields = {
                "id": self._call.call_id,
                "host": self._address[0],
                "sending": self.retransmission_count,
            }
            logger.info("call is sent again", extra={"fields": fields})
        leg = _Leg(self.retransmission_count, connection, clock.now(), is_kept)
        leg.task = asyncio.ensure_future(self._send(leg))
        leg.task.add_done_callback(lambda _: self.wake())
        self._legs.append(leg)

    async def _send(self, leg: _Leg) -> calls.Outcome:
        """Send the attempt on one connection and return the reply."""
        if leg.connection is None:
            stream = await self._connect()
            leg.connection = PeerConnection(frames.FrameChannel(stream), 0, clock.now())
        connection = leg.connection
        attempt = messages.Transmission(self._identity, leg.sending, self._started_ms)
        payload = messages.encode_call(self._call, self._instance, attempt, clock.now())
        kind = frames.Kind.CALL_AGAIN if leg.sending else frames.Kind.CALL
        connection.frame_channel.send(kind, payload)
        while True:
            received = await connection.frame_channel.receive()
            if received is None:
                raise ConnectionResetError("the node closed the connection")
            kind, payload = received
            connection.last_received_at = clock.now()
            if kind is frames.Kind.ACCEPTED:
                is_first, leg.heard_at = (
                    leg.heard_at is None,
                    connection.last_received_at,
                )
                if is_first:
                    connection.started_ms = messages.decode_accepted(payload).started_ms
                    if leg.sending == 0:
                        self._started_ms = connection.started_ms
                    self.wake()
                continue
            if kind is not frames.Kind.REPLY:
                raise framing.FrameError(f"{kind.name} in place of a reply")
            reply = messages.decode_reply(payload)
            if reply.call_id != self._call.call_id:
                raise framing.FrameError("reply to another call")
            return messages.to_outcome(reply)

    async def _connect(self) -> channel.Channel:
        """Open a new connection; for a call that may run once, wait for the node.

        Only that node can tell whether such a call has run. Others are tried elsewhere.
        """
        while True:
            try:
                return await self._silences.connect(
                    connection_monitor.Role.NODE, self._address, CONNECT_TIMEOUT_S
                )
            except TimeoutError:
                if self._call.idempotent:
                    raise

    def _release(self, leg: _Leg) -> None:
        if leg.connection is not None and leg.connection.frame_channel.is_idle:
            self._legs.remove(leg)
            self.reusable = leg.connection

    def _retire(self, leg: _Leg, now: float) -> None:
        """Give up a connection; it is silent if it goes on to bring nothing."""
        assert leg.task is not None
        leg.task.cancel()
        if leg.connection is None:
            return
        if leg.heard_at is None:
            left_s = max(0.0, leg.began_at + SILENCE_CONFIRMATION_S - now)
            asyncio.get_running_loop().call_later(left_s, self._judge, leg)
            return
        # The node gives signs of life only on the connection that it heard last.
        if leg.is_overdue:
            self._note(leg.heard_at)
        leg.connection.frame_channel.stream.abort()

    def _note(self, since: float) -> None:
        role, now = connection_monitor.Role.NODE, clock.now()
        self._silences.on_silent_call(role, self._address, since, now)

    def _judge(self, leg: _Leg) -> None:
        assert leg.connection is not None
        if leg.connection.frame_channel.is_idle:
            self._note(leg.began_at)
        leg.connection.frame_channel.stream.abort()

    def _end(self, leg: _Leg) -> None:
        assert leg.task is not None
        leg.task.cancel()
        if leg.connection is not None:
            leg.connection.frame_channel.stream.abort()


def _is_silent(leg: _Leg) -> bool:
    """Whether the kernel has ended a connection because its peer is silent."""
    return (
        leg.connection is not None and leg.connection.frame_channel.stream.has_timed_out
    )


def unknown_outcome(host: str, error: BaseException) -> calls.Outcome:
    """Return the outcome of an attempt that brought no reply."""
    detail = f"node at {host}: {error or type(error).__name__}"
    return calls.failed_outcome(errors.Kind.CONNECTION_LOST, detail, reached=True)
