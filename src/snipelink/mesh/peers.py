"""Calls between nodes: the connections to others, and the port that accepts theirs."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging

import msgspec
from result import Err, Ok, Result

from snipelink import clock, errors
from snipelink.generated import mesh
from snipelink.mesh import admission, calls, catalog, channel, frames, objects, silences
from snipelink.session import frames as framing
from snipelink.session import http

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.3
MAX_IDLE_CONNECTIONS = 32
# Idle time after which a connection is not used again, seconds: within it the kernel's
# probes have noticed a silent peer.
MAX_IDLE_S = 20.0
PUBLISHED_TIMEOUT_S = 1.0
ACCEPT_BACKLOG = 256

_encoder = msgspec.msgpack.Encoder()
_call_decoder = msgspec.msgpack.Decoder(mesh.Call)
_reply_decoder = msgspec.msgpack.Decoder(mesh.Reply)
_request_decoder = msgspec.msgpack.Decoder(mesh.PublishedRequest)
_changes_decoder = msgspec.msgpack.Decoder(catalog.Changes)
_published_decoder = msgspec.msgpack.Decoder(objects.Published)


@dataclasses.dataclass(slots=True)
class _Idle:
    """A connection without a call, since a monotonic time."""

    connection: frames.FrameChannel
    since: float


class PeerClient:
    """Sends calls to the nodes beside other endpoints, one at a time on a connection.

    Parameters
    ----------
    port : int
        Port of call connections on all machines.
    silent : Silences
        Receives connections that go silent.
    """

    def __init__(self, port: int, silent: silences.Silences) -> None:
        self._port = port
        self._silences = silent
        self._idle_by_host: dict[str, collections.deque[_Idle]] = {}

    async def call(self, host: str, instance: str, call: calls.Call) -> calls.Outcome:
        """Run a call on the endpoint `instance` beside the node on `host`.

        Cancelling closes the connection, which makes that node give up the call.
        """
        opened = await self._acquire(host, call.deadline)
        if isinstance(opened, Err):
            return calls.Outcome(failure=opened.err_value)
        connection = opened.ok_value
        kept = False
        sent_at = clock.now()
        try:
            payload = _encode_call(call, instance, sent_at)
            connection.send(frames.Kind.CALL, payload)
            async with asyncio.timeout(call.deadline - sent_at):
                outcome = await self._reply(connection, call)
            kept = connection.is_idle
            if kept:
                self._release(host, connection)
            return outcome
        except TimeoutError:
            if connection.is_idle:
                self._silences.doubt.suspect((host, self._port), sent_at)
            return calls.fail(errors.Kind.DEADLINE_UNKNOWN, host, reached=True)
        except (OSError, ValueError, framing.FrameError, msgspec.MsgspecError) as error:
            detail = f"node at {host}: {error}"
            return calls.fail(errors.Kind.CONNECTION_LOST, detail, reached=True)
        finally:
            if not kept:
                connection.stream.abort()

    async def fetch_published(
        self, host: str, after: int
    ) -> Result[objects.Published | catalog.Changes, str]:
        """Return what the node on `host` knows beyond a revision."""
        request = _encoder.encode(mesh.PublishedRequest(after))
        try:
            async with asyncio.timeout(PUBLISHED_TIMEOUT_S):
                stream = await channel.connect((host, self._port), CONNECT_TIMEOUT_S)
                connection = frames.FrameChannel(stream)
                try:
                    connection.send(frames.Kind.PUBLISHED_REQUEST, request)
                    received = await connection.receive()
                finally:
                    stream.abort()
            if received is not None and received[0] is frames.Kind.CHANGES:
                return Ok(_changes_decoder.decode(received[1]))
            if received is not None and received[0] is frames.Kind.PUBLISHED:
                return Ok(_published_decoder.decode(received[1]))
            return Err("no published state in the reply")
        except (OSError, framing.FrameError, msgspec.MsgspecError) as error:
            return Err(str(error) or type(error).__name__)

    def forget(self, host: str) -> None:
        """Close the idle connections to a node that has started anew."""
        for idle in self._idle_by_host.pop(host, ()):
            idle.connection.stream.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for host in list(self._idle_by_host):
            self.forget(host)

    async def _reply(
        self, connection: frames.FrameChannel, call: calls.Call
    ) -> calls.Outcome:
        received = await connection.receive()
        if received is None:
            detail = "the node closed the connection"
            return calls.fail(errors.Kind.CONNECTION_LOST, detail, reached=True)
        kind, payload = received
        if kind is not frames.Kind.REPLY:
            raise framing.FrameError(f"{kind.name} in place of a reply")
        reply = _reply_decoder.decode(payload)
        if reply.call_id != call.call_id:
            raise framing.FrameError("reply to another call")
        return _to_outcome(reply)

    async def _acquire(
        self, host: str, deadline: float
    ) -> Result[frames.FrameChannel, errors.Failure]:
        now = clock.now()
        address = (host, self._port)
        idle = self._idle_by_host.setdefault(host, collections.deque())
        while idle:
            entry = idle.pop()
            usable = entry.connection.is_idle and now - entry.since < MAX_IDLE_S
            if usable and self._silences.doubt.is_trusted(address, entry.since):
                return Ok(entry.connection)
            entry.connection.stream.abort()
        timeout_s = min(CONNECT_TIMEOUT_S, deadline - now)
        try:
            role = silences.Role.NODE
            stream = await self._silences.connect(role, address, timeout_s)
        except OSError as error:
            detail = f"node at {host}: {error or type(error).__name__}"
            return Err(errors.Failure(errors.Kind.UNREACHABLE, detail))
        return Ok(frames.FrameChannel(stream))

    def _release(self, host: str, connection: frames.FrameChannel) -> None:
        idle = self._idle_by_host.setdefault(host, collections.deque())
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.stream.close()
            return
        idle.append(_Idle(connection, clock.now()))


class PeerPort:
    """Runs the calls of other nodes on the own endpoint.

    Parameters
    ----------
    runner : Runner
        Runs calls on the own endpoint.
    known : Catalog
        Answers nodes that ask for the published state.
    """

    def __init__(self, runner: admission.Runner, known: catalog.Catalog) -> None:
        self._runner = runner
        self._catalog = known
        self._listener: channel.Listener | None = None
        self.calls_in_flight = 0

    async def start(self, address: channel.Address) -> None:
        """Accept connections."""
        self._listener = await channel.listen(address, self._serve, ACCEPT_BACKLOG)

    def close(self) -> None:
        """Refuse further connections and end the open ones."""
        if self._listener is not None:
            self._listener.close()

    async def _serve(self, stream: channel.Channel) -> None:
        connection = frames.FrameChannel(stream)
        try:
            while True:
                received = await connection.receive()
                if received is None:
                    return
                kind, payload = received
                if kind is frames.Kind.PUBLISHED_REQUEST:
                    self._send_published(connection, payload)
                elif kind is frames.Kind.CALL:
                    if not await self._serve_call(connection, payload):
                        return
                else:
                    raise framing.FrameError(f"{kind.name} was not asked for")
        except ConnectionError:
            # The other node is gone; its own log tells of the call.
            return
        except (framing.FrameError, msgspec.MsgspecError) as error:
            logger.warning(
                "connection of a node is closed",
                extra={"fields": {"host": stream.peer_host, "error": str(error)}},
            )

    def _send_published(self, connection: frames.FrameChannel, payload: bytes) -> None:
        request = _request_decoder.decode(payload)
        changes = self._catalog.changes_since(request.after)
        if changes is not None:
            connection.send(frames.Kind.CHANGES, _encoder.encode(changes))
            return
        published = _encoder.encode(self._catalog.published())
        connection.send(frames.Kind.PUBLISHED, published)

    async def _serve_call(
        self, connection: frames.FrameChannel, payload: bytes
    ) -> bool:
        """Run a call; false if the other node has given it up."""
        message = _call_decoder.decode(payload)
        call = _to_call(message, clock.now())
        self.calls_in_flight += 1
        try:
            outcome = await channel.run_while_open(
                connection.stream, self._runner.run(call, message.instance)
            )
        finally:
            self.calls_in_flight -= 1
        if outcome is None:
            logger.info(
                "call given up by its caller", extra={"fields": {"id": call.call_id}}
            )
            return False
        connection.send(frames.Kind.REPLY, _encode_reply(call.call_id, outcome))
        await connection.stream.drain()
        return True


def _encode_call(call: calls.Call, instance: str, now: float) -> bytes:
    return _encoder.encode(
        mesh.Call(
            call.call_id,
            instance,
            call.service,
            call.method,
            call.target,
            [list(field) for field in call.headers],
            call.body,
            _ms(call.deadline - now),
            _ms(call.target_at - now),
            _ms(call.work_s),
            call.priority,
            call.idempotent,
            call.caller_service,
        )
    )


def _to_call(message: mesh.Call, now: float) -> calls.Call:
    return calls.Call(
        message.call_id,
        message.service,
        "",
        message.method,
        message.target,
        [(name, value) for name, value in message.headers],
        message.body,
        now,
        now + message.target_ms / 1000.0,
        now + message.remaining_ms / 1000.0,
        message.priority,
        message.idempotent,
        message.work_ms / 1000.0,
        message.caller_service,
    )


def _encode_reply(call_id: str, outcome: calls.Outcome) -> bytes:
    failure, response = outcome.failure, outcome.response
    return _encoder.encode(
        mesh.Reply(
            call_id,
            failure.kind.value if failure else "",
            failure.detail if failure else "",
            _ms(failure.retry_after_s) if failure else 0,
            outcome.reached,
            _ms(outcome.work_s),
            response.status if response else 0,
            [list(field) for field in response.headers] if response else [],
            response.body if response else b"",
        )
    )


def _to_outcome(reply: mesh.Reply) -> calls.Outcome:
    if reply.failure:
        return calls.fail(
            errors.Kind(reply.failure),
            reply.detail,
            reply.retry_after_ms / 1000.0,
            reached=reply.reached,
        )
    headers = [(name, value) for name, value in reply.headers]
    response = http.Response(reply.status, headers, reply.body)
    return calls.Outcome(response, reached=True, work_s=reply.work_ms / 1000.0)


def _ms(seconds: float) -> int:
    return int(seconds * 1000)
