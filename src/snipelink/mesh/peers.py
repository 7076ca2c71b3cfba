"""Calls between nodes: pooled client connections, and the port for other nodes."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import logging
import secrets
import zlib

import msgspec
from result import Err, Ok, Result

from snipelink import clock, errors
from snipelink.decide import store_position
from snipelink.generated import mesh
from snipelink.mesh import (
    calls,
    catalog,
    channel,
    connection_monitor,
    deduplication,
    frames,
    messages,
    peer_attempts,
    published_state,
)
from snipelink.session import frames as framing
from snipelink.session import memory

logger = logging.getLogger(__name__)

MAX_IDLE_CONNECTIONS = 32
# A connection that was idle for longer is not reused. The kernel's keepalive probes
# detect a silent peer within this time.
MAX_IDLE_S = 20.0
# Longest time without any byte of the published state that another node sends. A large
# configuration takes seconds on a slow link that several nodes read from at once; a
# bound on the whole transfer would end them all, and all would start again.
PUBLISHED_TIMEOUT_S = 2.0
# Longest time to connect for it. On a congested link packets wait, and a new attempt
# would wait as long; meanwhile the watcher asks further nodes.
PUBLISHED_CONNECT_TIMEOUT_S = 2.0
# Longest transfer, after which another node is asked.
MAX_TRANSFER_S = 5.0
# Bound on a decompressed answer.
MAX_PUBLISHED_BYTES = 1 << 26
# Encoded answers kept for nodes that ask for the same; after a change, many nodes ask
# at once.
MAX_ENCODED_ANSWERS = 4
# Fast compression: the names and values of a configuration repeat.
COMPRESSION_LEVEL = 1
ACCEPT_BACKLOG = 256

COMPRESSED_KINDS_BY_KIND = {
    frames.Kind.CHANGES: frames.Kind.CHANGES_COMPRESSED,
    frames.Kind.PUBLISHED: frames.Kind.PUBLISHED_COMPRESSED,
}

_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(mesh.PublishedRequest)
_changes_decoder = msgspec.msgpack.Decoder(catalog.Changes)
_published_decoder = msgspec.msgpack.Decoder(published_state.PublishedState)


@dataclasses.dataclass(slots=True, eq=False)
class _SentCall:
    """A call that is being sent to an instance since a monotonic time.

    Attributes
    ----------
    attempt : PeerAttempt or None
        The attempt; None until its connection is open.
    """

    instance: str
    since: float
    attempt: peer_attempts.PeerAttempt | None = None

    def is_unacknowledged(self) -> bool:
        return self.attempt is None or self.attempt.is_unacknowledged()


class PeerClient:
    """Sends calls to other nodes over pooled connections, one at a time on each.

    Parameters
    ----------
    port : int
        Port on which the nodes of all machines accept calls.
    monitor : ConnectionMonitor
        Opens connections and records those whose peer stops answering.
    reply_pool : Pool or None
        Memory of large replies; None for no limit.
    """

    def __init__(
        self,
        port: int,
        monitor: connection_monitor.ConnectionMonitor,
        reply_pool: memory.Pool | None = None,
    ) -> None:
        self._port = port
        self._reply_pool = reply_pool
        self._connection_monitor = monitor
        self._idle_by_host: dict[
            str, collections.deque[peer_attempts.PeerConnection]
        ] = {}
        # Random prefix that makes attempt identities unique across all processes.
        self._attempt_id_prefix = secrets.token_hex(8)
        self._attempt_numbers = itertools.count()
        self._started_ms_by_host: dict[str, int] = {}
        self._calls_in_flight: set[_SentCall] = set()
        self.calls_sent_again = 0
        monitor.on_reuse_restricted = self._wake_attempts

    async def call(self, host: str, instance: str, call: calls.Call) -> calls.Outcome:
        """Run a call on the endpoint `instance` through the node on `host`.

        Cancelling closes the connection, upon which that node cancels the call.
        """
        sent = _SentCall(instance, clock.now())
        self._calls_in_flight.add(sent)
        try:
            return await self._call((host, self._port), call, sent)
        finally:
            self._calls_in_flight.discard(sent)

    def unacknowledged_by_instance(
        self, min_age_s: float, now: float
    ) -> collections.Counter[str]:
        """Return the numbers of calls on their way to instances for some time.

        Nodes count a call in their load reports once it has arrived in full.
        """
        return collections.Counter(
            sent.instance
            for sent in self._calls_in_flight
            if now - sent.since >= min_age_s and sent.is_unacknowledged()
        )

    async def _call(
        self, address: channel.Address, call: calls.Call, sent: _SentCall
    ) -> calls.Outcome:
        connection = self._take_idle(address, clock.now())
        is_pooled = connection is not None
        if connection is None:
            opened = await self._open(address, call.deadline)
            if isinstance(opened, Err):
                return calls.Outcome(failure=opened.err_value)
            connection = opened.ok_value
        attempt_id = messages.attempt_id(
            self._attempt_id_prefix, next(self._attempt_numbers)
        )
        attempt = sent.attempt = peer_attempts.PeerAttempt(
            call,
            address,
            sent.instance,
            attempt_id,
            self._connection_monitor,
            self._reply_pool,
        )
        sent_at = clock.now()
        try:
            running = attempt.run(connection, is_pooled=is_pooled)
            return await channel.run_until_deadline(call.deadline, running)
        except TimeoutError:
            if attempt.is_unacknowledged():
                self._connection_monitor.reuse_policy.on_possible_silence(
                    address, sent_at
                )
            return calls.failed_outcome(
                errors.Kind.DEADLINE_UNKNOWN, address[0], reached=True
            )
        except peer_attempts.CONNECTION_ERRORS as error:
            return peer_attempts.unknown_outcome(address[0], error)
        finally:
            self.calls_sent_again += attempt.retransmission_count
            if attempt.reusable is not None:
                self._release(address, attempt.reusable)

    def _wake_attempts(self) -> None:
        for sent in self._calls_in_flight:
            if sent.attempt is not None:
                sent.attempt.wake()

    async def fetch_published_state(
        self, host: str, after: store_position.Position
    ) -> Result[published_state.PublishedState | catalog.Changes, str]:
        """Fetch the changes after a position, or the whole state, from a node."""
        request = _encoder.encode(
            mesh.PublishedRequest(after.revision, True, after.era)
        )
        try:
            address = (host, self._port)
            stream = await channel.connect(address, PUBLISHED_CONNECT_TIMEOUT_S)
            connection = frames.FrameChannel(stream, self._reply_pool)
            try:
                connection.send(frames.Kind.PUBLISHED_REQUEST, request)
                frame = await _receive_while_arriving(connection)
            finally:
                stream.abort()
            if frame is None:
                return Err("no published state in the reply")
            return Ok(_decode_published(*frame))
        except (
            OSError,
            framing.FrameError,
            msgspec.MsgspecError,
            zlib.error,
        ) as error:
            return Err(str(error) or type(error).__name__)

    def drop_idle_connections(self, host: str) -> None:
        """Close the idle connections to a node, for example after its restart."""
        self._started_ms_by_host.pop(host, None)
        for connection in self._idle_by_host.pop(host, ()):
            connection.frame_channel.stream.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for host in list(self._idle_by_host):
            self.drop_idle_connections(host)

    def _take_idle(
        self, address: channel.Address, now: float
    ) -> peer_attempts.PeerConnection | None:
        idle = self._idle_by_host.get(address[0])
        while idle:
            connection = idle.pop()
            usable = (
                connection.frame_channel.is_idle
                and now - connection.last_received_at < MAX_IDLE_S
            )
            if usable and self._connection_monitor.reuse_policy.may_reuse(
                address, connection.last_received_at
            ):
                return connection
            connection.frame_channel.stream.abort()
        return None

    async def _open(
        self, address: channel.Address, deadline: float
    ) -> Result[peer_attempts.PeerConnection, errors.Failure]:
        started_ms = self._started_ms_by_host.get(address[0], 0)
        try:
            stream = await self._connection_monitor.connect_to_node(
                address, deadline - clock.now()
            )
        except OSError as error:
            detail = f"node at {address[0]}: {error or type(error).__name__}"
            return Err(errors.Failure(errors.Kind.UNREACHABLE, detail))
        return Ok(
            peer_attempts.PeerConnection(
                frames.FrameChannel(stream, self._reply_pool), started_ms, clock.now()
            )
        )

    def _release(
        self, address: channel.Address, connection: peer_attempts.PeerConnection
    ) -> None:
        self._started_ms_by_host[address[0]] = connection.started_ms
        idle = self._idle_by_host.setdefault(address[0], collections.deque())
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.frame_channel.stream.close()
            return
        idle.append(connection)


class PeerPort:
    """Accepts calls and requests for published state from other nodes.

    Parameters
    ----------
    deduplicator : Deduplicator
        Runs each received attempt once on the local endpoint.
    service_catalog : Catalog
        Source of the published state that other nodes request.
    call_pool : Pool or None
        Memory of large calls; None for no limit.
    """

    def __init__(
        self,
        deduplicator: deduplication.Deduplicator,
        service_catalog: catalog.Catalog,
        call_pool: memory.Pool | None = None,
    ) -> None:
        self._call_pool = call_pool
        # Encoded answers by the state in force, the position that the asking node
        # knows, and whether they are compressed.
        self._answers: collections.OrderedDict[
            tuple[int, store_position.Position, bool], tuple[frames.Kind, bytes]
        ] = collections.OrderedDict()
        self._deduplicator = deduplicator
        self._catalog = service_catalog
        self._connections: set[frames.FrameChannel] = set()
        self._listener: channel.Listener | None = None

    @property
    def calls_in_flight(self) -> int:
        """Calls of other nodes that are being received, queued, run or answered.

        A partly received frame counts as a call, because its sender could not tell
        whether the call has run if the connection ended now. Frames of other kinds are
        only a few bytes long.
        """
        arriving = sum(each.is_receiving for each in self._connections)
        return self._deduplicator.in_flight + arriving

    async def start(self, address: channel.Address) -> None:
        """Accept connections."""
        self._listener = await channel.listen(address, self._serve, ACCEPT_BACKLOG)

    def close(self) -> None:
        """Refuse further connections and end the open ones."""
        if self._listener is not None:
            self._listener.close()

    async def _serve(self, stream: channel.Channel) -> None:
        # During a graceful shutdown, a call counts as in flight until the kernel has
        # taken its whole reply.
        stream.disable_write_buffer()
        connection = frames.FrameChannel(stream, self._call_pool)
        self._connections.add(connection)
        try:
            while await self._serve_frame(connection):
                pass
        except ConnectionError:
            # The other node closed the connection; it logs the outcome of the call.
            return
        except (framing.FrameError, msgspec.MsgspecError) as error:
            logger.warning(
                "connection of a node is closed",
                extra={"fields": {"host": stream.peer_host, "error": str(error)}},
            )
        finally:
            self._connections.discard(connection)

    async def _serve_frame(self, connection: frames.FrameChannel) -> bool:
        """Serve the next frame; return whether the connection may be kept.

        The frame is a local variable of this method, so that a connection that waits
        for its next frame does not keep the last one in memory.
        """
        frame = await connection.receive()
        if frame is None:
            return False
        kind, payload = frame
        if kind is frames.Kind.PUBLISHED_REQUEST:
            answer = self._published_answer(_request_decoder.decode(payload))
            await connection.send_parts(answer[0], (answer[1],))
            return True
        if kind not in (frames.Kind.CALL, frames.Kind.CALL_AGAIN):
            raise framing.FrameError(f"unexpected frame of kind {kind.name}")
        message = messages.decode_call(payload)
        return await self._deduplicator.serve(connection, message)

    def _published_answer(
        self, request: mesh.PublishedRequest
    ) -> tuple[frames.Kind, bytes]:
        after = store_position.Position(request.era, request.after)
        key = (self._catalog.update_count, after, request.compressed)
        answer = self._answers.get(key)
        if answer is None:
            answer = _encode_published(self._catalog, request)
            self._answers[key] = answer
            if len(self._answers) > MAX_ENCODED_ANSWERS:
                self._answers.popitem(last=False)
        return answer


async def _receive_while_arriving(
    connection: frames.FrameChannel,
) -> tuple[frames.Kind, bytes | memoryview] | None:
    """Return the next frame; raise ``TimeoutError`` once nothing arrives any more.

    Raises it after `MAX_TRANSFER_S`, too.
    """
    ends_at = clock.now() + MAX_TRANSFER_S
    receiving = asyncio.ensure_future(connection.receive())
    try:
        while True:
            due_at = connection.last_received_at + PUBLISHED_TIMEOUT_S
            left_s = min(due_at, ends_at) - clock.now()
            if left_s <= 0.0:
                raise TimeoutError("no published state arrives")
            await asyncio.wait((receiving,), timeout=left_s)
            if receiving.done():
                return receiving.result()
    finally:
        receiving.cancel()


def _encode_published(
    service_catalog: catalog.Catalog, request: mesh.PublishedRequest
) -> tuple[frames.Kind, bytes]:
    after = store_position.Position(request.era, request.after)
    changes = service_catalog.changes_since(after)
    if changes is not None:
        kind, payload = frames.Kind.CHANGES, _encoder.encode(changes)
    else:
        kind = frames.Kind.PUBLISHED
        payload = _encoder.encode(service_catalog.snapshot())
    if request.compressed:
        kind = COMPRESSED_KINDS_BY_KIND[kind]
        payload = zlib.compress(payload, COMPRESSION_LEVEL)
    return kind, payload


def _decode_published(
    kind: frames.Kind, payload: bytes | memoryview
) -> published_state.PublishedState | catalog.Changes:
    """Decode the answer of another node; raises ``FrameError`` for other frames."""
    if kind in COMPRESSED_KINDS_BY_KIND.values():
        decompressor = zlib.decompressobj()
        payload = decompressor.decompress(payload, MAX_PUBLISHED_BYTES)
        if not decompressor.eof:
            raise framing.FrameError("published state is not complete or too large")
    if kind in (frames.Kind.CHANGES, frames.Kind.CHANGES_COMPRESSED):
        return _changes_decoder.decode(payload)
    if kind in (frames.Kind.PUBLISHED, frames.Kind.PUBLISHED_COMPRESSED):
        return _published_decoder.decode(payload)
    raise framing.FrameError(f"{kind.name} in place of published state")
