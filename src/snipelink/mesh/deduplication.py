"""Runs attempts of other nodes at most once, although they may be retransmitted.

A sender that gets no acknowledgement on one connection retransmits its attempt on
another one (see `peer_attempts`). A retransmission joins the run that an earlier
transmission has started, or gets its cached reply.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging
import typing

from snipelink import clock, errors
from snipelink.generated import mesh
from snipelink.mesh import calls, frames, messages, peer_attempts

logger = logging.getLogger(__name__)

# Time for which an attempt is retained after its deadline, seconds. Senders do not
# retransmit after the deadline, but an earlier transmission may still be in a buffer.
RETENTION_S = 2.0
# Maximum number of attempts that are retained at once. At 300 attempts a second, about
# 1500 are within their deadlines.
MAX_RETAINED_ATTEMPTS = 10_000
# Largest response body that is cached for retransmissions.
MAX_CACHED_REPLY_BYTES = 1 << 16
# Maximum bytes of all cached response bodies; the smallest machines have 200 MB of
# memory.
MAX_REPLY_CACHE_BYTES = 1 << 22


class CallRunner(typing.Protocol):
    """Runs calls on the endpoint of this machine."""

    async def run(self, call: calls.Call, instance: str) -> calls.Outcome:
        """Run a call if the endpoint's process is `instance`; else refuse it."""


@dataclasses.dataclass(slots=True, eq=False)
class _Run:
    """Execution of one attempt, and the connection of its latest transmission.

    Attributes
    ----------
    attempt_id : str
        Unique name of the attempt; empty if the sender does not retransmit.
    task : Future
        Yields the outcome.
    connection : FrameChannel
        Connection on which the latest transmission arrived and the reply is sent.
    transmission : int
        Number of the latest transmission.
    retained_until : float
        Monotonic time until which the attempt is retained.
    cached_bytes : int
        Bytes of the reply that count against the cache.
    """

    attempt_id: str
    task: asyncio.Future[calls.Outcome]
    call_id: str
    connection: frames.FrameChannel
    transmission: int
    retained_until: float
    cached_bytes: int = 0


class Deduplicator:
    """Runs each attempt of other nodes once and answers all its transmissions.

    Parameters
    ----------
    runner : CallRunner
        Runs calls on the endpoint of this machine.
    started_ms : int
        Start time of this process, Unix milliseconds. It distinguishes this process
        from earlier ones at the same address.

    Attributes
    ----------
    in_flight : int
        Number of transmissions that are being served.
    """

    def __init__(self, runner: CallRunner, started_ms: int) -> None:
        self._runner = runner
        self._started_ms = started_ms
        self._runs_by_attempt: collections.OrderedDict[str, _Run] = (
            collections.OrderedDict()
        )
        self._cached_bytes = 0
        # Highest number among the attempts that are no longer retained, by sending
        # process. Each process numbers its attempts in ascending order.
        self._highest_dropped_by_sender: dict[str, int] = {}
        self.in_flight = 0

    async def serve(self, connection: frames.FrameChannel, message: mesh.Call) -> bool:
        """Run and answer an attempt; return whether the connection may be kept."""
        self.in_flight += 1
        try:
            return await self._serve(connection, message)
        finally:
            self.in_flight -= 1

    async def _serve(self, connection: frames.FrameChannel, message: mesh.Call) -> bool:
        now = clock.now()
        self._drop_expired(now)
        run = self._runs_by_attempt.get(message.attempt) if message.attempt else None
        if run is None and not self._is_new(message):
            outcome = _unknown_outcome("the node cannot tell whether the call has run")
            return await self._reply(connection, message.call_id, outcome)
        if run is None:
            run = self._start_run(connection, message)
        elif message.sending <= run.transmission:
            # A later transmission has overtaken this one.
            return False
        else:
            fields = {"id": message.call_id, "is_running": not run.task.done()}
            logger.info("call has arrived again", extra={"fields": fields})
            run.connection, run.transmission = connection, message.sending
        return await self._wait_and_reply(connection, run)

    def _is_new(self, message: mesh.Call) -> bool:
        """Whether an attempt that is not retained cannot have arrived before.

        Any transmission may arrive late, for example after its machine was paused, and
        the attempt may have run and been dropped in the meantime. That is excluded if
        the attempt was first sent to this process and its number is higher than those
        of all dropped attempts of its sender.
        """
        if not message.attempt:
            return True
        if message.sending and message.started_ms != self._started_ms:
            return False
        sender, number = messages.parse_attempt_id(message.attempt)
        return number > self._highest_dropped_by_sender.get(sender, -1)

    def _start_run(self, connection: frames.FrameChannel, message: mesh.Call) -> _Run:
        # The time that the message took to arrive counts against the deadline.
        call = messages.to_call(message, connection.frame_started_at)
        task = asyncio.ensure_future(self._runner.run(call, message.instance))
        retained_until = call.deadline + RETENTION_S
        run = _Run(
            message.attempt,
            task,
            call.call_id,
            connection,
            message.sending,
            retained_until,
        )
        if message.attempt:
            self._runs_by_attempt[message.attempt] = run
        return run

    async def _wait_and_reply(self, connection: frames.FrameChannel, run: _Run) -> bool:
        ended = asyncio.ensure_future(connection.stream.input_ended.wait())
        try:
            done: set[asyncio.Future[typing.Any]] = set()
            while not done:
                if run.attempt_id and run.connection is connection:
                    accepted = messages.encode_accepted(self._started_ms)
                    connection.send(frames.Kind.ACCEPTED, accepted)
                done, _ = await asyncio.wait(
                    (run.task, ended),
                    timeout=peer_attempts.HEARTBEAT_INTERVAL_S
                    if run.attempt_id
                    else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            if run.connection is not connection:
                return False
            if run.task.done():
                return await self._reply(connection, run.call_id, _outcome(run.task))
        finally:
            ended.cancel()
            if run.connection is connection and not run.task.done():
                run.task.cancel()
                await asyncio.wait((run.task,))
            if run.task.done():
                self._cache_reply(run)
        fields = {"id": run.call_id}
        logger.info("call given up by its caller", extra={"fields": fields})
        return False

    async def _reply(
        self, connection: frames.FrameChannel, call_id: str, outcome: calls.Outcome
    ) -> bool:
        reply = messages.encode_reply(call_id, outcome)
        await connection.send_parts(frames.Kind.REPLY, reply)
        await connection.stream.drain()
        return True

    def _cache_reply(self, run: _Run) -> None:
        """Cache a small reply for retransmissions, and discard a large one."""
        is_retained = self._runs_by_attempt.get(run.attempt_id) is run
        if not is_retained or run.cached_bytes or run.task.cancelled():
            return
        if run.task.exception() is not None:
            return
        response = run.task.result().response
        size = len(response.body) if response is not None else 0
        if (
            size <= MAX_CACHED_REPLY_BYTES
            and self._cached_bytes + size <= MAX_REPLY_CACHE_BYTES
        ):
            run.cached_bytes = size
            self._cached_bytes += size
            return
        discarded: asyncio.Future[calls.Outcome]
        discarded = asyncio.get_running_loop().create_future()
        discarded.set_result(_unknown_outcome("the answer is no longer held"))
        run.task = discarded

    def _drop_expired(self, now: float) -> None:
        """Drop finished attempts whose retention has ended, the oldest first.

        The oldest one is dropped early if `MAX_RETAINED_ATTEMPTS` is reached.
        """
        while self._runs_by_attempt:
            attempt_id, run = next(iter(self._runs_by_attempt.items()))
            is_full = len(self._runs_by_attempt) >= MAX_RETAINED_ATTEMPTS
            if not run.task.done() or (now <= run.retained_until and not is_full):
                return
            del self._runs_by_attempt[attempt_id]
            self._cached_bytes -= run.cached_bytes
            run.cached_bytes = 0
            sender, number = messages.parse_attempt_id(attempt_id)
            highest = self._highest_dropped_by_sender.get(sender, -1)
            self._highest_dropped_by_sender[sender] = max(highest, number)


def _outcome(run: asyncio.Future[calls.Outcome]) -> calls.Outcome:
    if run.cancelled():
        return _unknown_outcome("the call was given up")
    return run.result()


def _unknown_outcome(detail: str) -> calls.Outcome:
    return calls.failed_outcome(errors.Kind.CONNECTION_LOST, detail, reached=True)
