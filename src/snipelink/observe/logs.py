"""JSON lines through ``logging``, with a limited rate for each message."""

from __future__ import annotations

import collections
import io
import logging
import os
import time
from collections.abc import Callable
from typing import TextIO

import msgspec

from snipelink.observe import token_bucket

LINES_PER_S = 1.0
BURST = 10.0
MAX_MESSAGE_IDS = 256
# A message that stopped is not repeated to carry the number of suppressed ones;
# they are reported with another line after this time.
REPORT_AFTER_S = 10.0


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON.

    A dictionary passed as ``extra={"fields": ...}`` becomes further fields.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        fields: dict[str, object] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        extra = getattr(record, "fields", None)
        if isinstance(extra, dict):
            fields = extra | fields
        suppressed = getattr(record, "suppressed", 0)
        if suppressed:
            fields["suppressed"] = suppressed
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields, enc_hook=str).decode()


class _MessageState:
    def __init__(self, lines_per_s: float, burst: float) -> None:
        self.bucket = token_bucket.TokenBucket(lines_per_s, burst)
        self.suppressed = 0
        self.last_suppressed_at = 0.0


class RateLimitedHandler(logging.StreamHandler[TextIO]):
    """Writes a limited number of lines for each message id, after a burst.

    The id of a message is ``extra={"message_id": ...}``, by default its logger and
    its text before arguments are put in.
    """

    def __init__(
        self,
        stream: TextIO | None = None,
        clock: Callable[[], float] = time.monotonic,
        lines_per_s: float = LINES_PER_S,
        burst: float = BURST,
    ) -> None:
        super().__init__(stream)
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._states_by_id: collections.OrderedDict[str, _MessageState] = (
            collections.OrderedDict()
        )
        self._suppressed_total = 0

    @property
    def suppressed_total(self) -> int:
        """Return how many records were suppressed since the start."""
        return self._suppressed_total

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as suppressed; holds the handler's lock."""
        now = self._clock()
        message_id = getattr(record, "message_id", f"{record.name}:{record.msg}")
        written = self._admit(str(message_id), record, now)
        self._report(now - REPORT_AFTER_S)
        if written:
            super().emit(record)

    def close(self) -> None:
        """Report what is still suppressed, and close."""
        self.acquire()
        try:
            self._report(self._clock())
        finally:
            self.release()
        super().close()

    def _admit(self, message_id: str, record: logging.LogRecord, now: float) -> bool:
        state = self._states_by_id.get(message_id)
        if state is None:
            state = self._states_by_id[message_id] = _MessageState(
                self._lines_per_s, self._burst
            )
        self._states_by_id.move_to_end(message_id)
        if not state.bucket.try_take(now):
            state.suppressed += 1
            state.last_suppressed_at = now
            self._suppressed_total += 1
            return False
        if state.suppressed:
            record.suppressed = state.suppressed
            state.suppressed = 0
        return True

    def _report(self, before: float) -> None:
        """Write lines about messages that stopped, and about evicted ids."""
        summaries = []
        for message_id, state in self._states_by_id.items():
            if state.suppressed and state.last_suppressed_at <= before:
                summaries.append(_summary(message_id, state.suppressed))
                state.suppressed = 0
        while len(self._states_by_id) > MAX_MESSAGE_IDS:
            message_id, state = self._states_by_id.popitem(last=False)
            if state.suppressed:
                summaries.append(_summary(message_id, state.suppressed))
        for summary in summaries:
            super().emit(summary)


class DroppingStream(io.TextIOBase):
    """Text stream on a file descriptor that drops what would block.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to not block.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self.dropped = 0

    def write(self, text: str, /) -> int:
        """Write a line, or count it as dropped."""
        try:
            os.write(self._descriptor, text.encode(errors="replace"))
        except BlockingIOError:
            self.dropped += 1
        return len(text)


def configure(
    level: str,
    stream: TextIO | None = None,
    lines_per_s: float = LINES_PER_S,
    burst: float = BURST,
) -> RateLimitedHandler:
    """Write records of at least ``level``, by default to standard error.

    Parameters
    ----------
    lines_per_s, burst : float
        Lines of each message id per second, and at once.
    """
    # Records carry none of these, and looking for them costs a third of a line.
    logging._srcfile = None
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    handler = RateLimitedHandler(stream, lines_per_s=lines_per_s, burst=burst)
    handler.setFormatter(JsonFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    return handler


def _summary(message_id: str, suppressed: int) -> logging.LogRecord:
    record = logging.LogRecord(
        __name__, logging.WARNING, "", 0, "suppressed: %s", (message_id,), None
    )
    record.suppressed = suppressed
    return record
