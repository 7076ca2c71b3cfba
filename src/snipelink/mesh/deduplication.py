"""Attempts that other nodes have sent: each is run once, however often it arrives.

A node that hears nothing on a connection sends its attempt again on another one, where
it joins the run that the first sending has started, if that one has arrived.
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

# Time after its deadline for which an attempt is remembered, seconds: it is not sent
# again after its deadline, and a first sending may still wait in a buffer then.
RETENTION_S = 2.0
# Attempts that are remembered at once; 300 a second are 1500 within their deadlines.
MAX_RETAINED_ATTEMPTS = 10_000
# Largest answer that is held for a later sending, and bytes of all of them; the
# smallest machines have 200 MB.
MAX_CACHED_REPLY_BYTES = 1 << 16
MAX_REPLY_CACHE_BYTES = 1 << 22


class CallRunner(typing.Protocol):
    """Runs calls on the own endpoint."""

    async def run(self, call: calls.Call, instance: str) -> calls.Outcome:
        """Run a call on the process `instance`, or refuse it."""


@dataclasses.dataclass(slots=True, eq=False)
class _Run:
    """One attempt, and the connection on which it arrived last."""

    identity: str
    task: asyncio.Future[calls.Outcome]
    call_id: str
    holder: frames.FrameChannel
    sending: int
    until: float
    held_bytes: int = 0


class Deduplicator:
    """Runs the attempts of other nodes.

    Parameters
    ----------
    runner : CallRunner
        Runs calls on the own endpoint.
    started_ms : int
        Start of this process, which tells it from others on this machine.
    """

    def __init__(self, runner: CallRunner, started_ms: int) -> None:
        self._runner = runner
        self._started_ms = started_ms
        self._runs_by_attempt: collections.OrderedDict[str, _Run] = (
            collections.OrderedDict()
        )
        self._held_bytes = 0
        # Highest number of an attempt that was forgotten, by the sending process; its
        # attempts are numbered upwards.
        self._forgotten_by_sender: dict[str, int] = {}
        self.in_flight = 0

    async def serve(self, connection: frames.FrameChannel, message: mesh.Call) -> bool:
        """Answer an attempt; false if the connection is of no more use."""
        self.in_flight += 1
        try:
            return await self._serve(connection, message)
        finally:
            self.in_flight -= 1

    async def _serve(self, connection: frames.FrameChannel, message: mesh.Call) -> bool:
        now = clock.now()
        self._forget(now)
        run = self._runs_by_attempt.get(message.attempt) if message.attempt else None
        if run is None and not self._is_new(message):
            unknown = _lost("the node cannot tell whether the call has run")
            return await self._reply(connection, message.call_id, unknown)
        if run is None:
            run = self._start(connection, message)
        elif message.sending <= run.sending:
            # An earlier sending that was held up on the way.
            return False
        else:
            fields = {"id": message.call_id, "is_running": not run.task.done()}
            logger.info("call has arrived again", extra={"fields": fields})
            run.holder, run.sending = connection, message.sending
        return await self._finish(connection, run)

    def _is_new(self, message: mesh.Call) -> bool:
        """Whether an attempt that is not remembered has certainly not arrived before.

        Any sending may have been held up for long, as by a machine that stood still.
        """
        if not message.attempt:
            return True
        if message.sending and message.started_ms != self._started_ms:
            return False
        sender, number = messages.parse_attempt_id(message.attempt)
        return number > self._forgotten_by_sender.get(sender, -1)

    def _start(self, connection: frames.FrameChannel, message: mesh.Call) -> _Run:
        # The caller's time runs while the message arrives.
        call = messages.to_call(message, connection.frame_started_at)
        task = asyncio.ensure_future(self._runner.run(call, message.instance))
        until = call.deadline + RETENTION_S
        run = _Run(
            message.attempt, task, call.call_id, connection, message.sending, until
        )
        if message.attempt:
            self._runs_by_attempt[message.attempt] = run
        return run

    async def _finish(self, connection: frames.FrameChannel, run: _Run) -> bool:
        ended = asyncio.ensure_future(connection.stream.input_ended.wait())
        try:
            done: set[asyncio.Future[typing.Any]] = set()
            while not done:
                if run.identity and run.holder is connection:
                    accepted = messages.encode_accepted(self._started_ms)
                    connection.send(frames.Kind.ACCEPTED, accepted)
                done, _ = await asyncio.wait(
                    (run.task, ended),
                    timeout=peer_attempts.HEARTBEAT_INTERVAL_S
                    if run.identity
                    else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            if run.holder is not connection:
                return False
            if run.task.done():
                return await self._reply(connection, run.call_id, _outcome(run.task))
        finally:
            ended.cancel()
            if run.holder is connection and not run.task.done():
                run.task.cancel()
                await asyncio.wait((run.task,))
            if run.task.done():
                self._hold(run)
        fields = {"id": run.call_id}
        logger.info("call given up by its caller", extra={"fields": fields})
        return False

    async def _reply(
        self, connection: frames.FrameChannel, call_id: str, outcome: calls.Outcome
    ) -> bool:
        reply = messages.encode_reply(call_id, outcome)
        connection.send(frames.Kind.REPLY, reply)
        await connection.stream.drain()
        return True

    def _hold(self, run: _Run) -> None:
        """Hold a small answer for a later sending, and drop a large one."""
        is_known = self._runs_by_attempt.get(run.identity) is run
        if not is_known or run.held_bytes or run.task.cancelled():
            return
        if run.task.exception() is not None:
            return
        response = run.task.result().response
        size = len(response.body) if response is not None else 0
        if (
            size <= MAX_CACHED_REPLY_BYTES
            and self._held_bytes + size <= MAX_REPLY_CACHE_BYTES
        ):
            run.held_bytes = size
            self._held_bytes += size
            return
        dropped: asyncio.Future[calls.Outcome]
        dropped = asyncio.get_running_loop().create_future()
        dropped.set_result(_lost("the answer is no longer held"))
        run.task = dropped

    def _forget(self, now: float) -> None:
        """Forget attempts that have ended and are not sent again, the oldest first."""
        while self._runs_by_attempt:
            identity, run = next(iter(self._runs_by_attempt.items()))
            is_full = len(self._runs_by_attempt) >= MAX_RETAINED_ATTEMPTS
            if not run.task.done() or (now <= run.until and not is_full):
                return
            del self._runs_by_attempt[identity]
            self._held_bytes -= run.held_bytes
            run.held_bytes = 0
            sender, number = messages.parse_attempt_id(identity)
            known = self._forgotten_by_sender.get(sender, -1)
            self._forgotten_by_sender[sender] = max(known, number)


def _outcome(run: asyncio.Future[calls.Outcome]) -> calls.Outcome:
    if run.cancelled():
        return _lost("the call was given up")
    return run.result()


def _lost(detail: str) -> calls.Outcome:
    return calls.failed_outcome(errors.Kind.CONNECTION_LOST, detail, reached=True)
