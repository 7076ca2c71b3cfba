"""Log output as JSON lines, with a rate limit for each message."""

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

# Rate limit for the lines of each message.
LINES_PER_S = 1.0
BURST_LINES = 10.0
# Bounds the memory of rate limits; the least recently used message is evicted.
MAX_MESSAGE_IDS = 256
# The count of suppressed lines is normally added to the next line of the same message.
# If no such line follows within this time, a line of its own reports the count.
SUPPRESSED_REPORT_DELAY_S = 10.0


class JsonFormatter(logging.Formatter):
    """Formats a log record as one line of JSON.

    A dictionary passed as ``extra={"fields": ...}`` is merged into the JSON object.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a line of JSON."""
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


class _MessageLimit:
    def __init__(self, lines_per_s: float, burst: float) -> None:
        self.bucket = token_bucket.TokenBucket(lines_per_s, burst)
        self.suppressed = 0
        self.last_suppressed_at = 0.0


class RateLimitedHandler(logging.StreamHandler[TextIO]):
    """Writes log lines with a rate limit for each message id.

    The id of a message is ``extra={"message_id": ...}``. By default it is the name of
    the logger and the format string of the message.
    """

    def __init__(
        self,
        stream: TextIO | None = None,
        clock: Callable[[], float] = time.monotonic,
        lines_per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
    ) -> None:
        super().__init__(stream)
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._limits_by_id: collections.OrderedDict[str, _MessageLimit] = (
            collections.OrderedDict()
        )
        self._suppressed_total = 0

    @property
    def suppressed_total(self) -> int:
        """Return the number of records suppressed since the start."""
        return self._suppressed_total

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record or count it as suppressed.

        The caller holds the lock of the handler.
        """
        now = self._clock()
        message_id = getattr(record, "message_id", f"{record.name}:{record.msg}")
        is_written = self._is_within_limit(str(message_id), record, now)
        self._report_suppressed(now - SUPPRESSED_REPORT_DELAY_S)
        if is_written:
            super().emit(record)

    def close(self) -> None:
        """Report all remaining counts of suppressed records and close the handler."""
        self.acquire()
        try:
            self._report_suppressed(self._clock())
        finally:
            self.release()
        super().close()

    def _is_within_limit(
        self, message_id: str, record: logging.LogRecord, now: float
    ) -> bool:
        limit = self._limits_by_id.get(message_id)
        if limit is None:
            limit = self._limits_by_id[message_id] = _MessageLimit(
                self._lines_per_s, self._burst
            )
        self._limits_by_id.move_to_end(message_id)
        if not limit.bucket.try_take(now):
            limit.suppressed += 1
            limit.last_suppressed_at = now
            self._suppressed_total += 1
            return False
        if limit.suppressed:
            record.suppressed = limit.suppressed
            limit.suppressed = 0
        return True

    def _report_suppressed(self, before: float) -> None:
        """Report the counts of evicted ids and of ids not suppressed since `before`."""
        reports = []
        for message_id, limit in self._limits_by_id.items():
            if limit.suppressed and limit.last_suppressed_at <= before:
                reports.append(_suppressed_record(message_id, limit.suppressed))
                limit.suppressed = 0
        while len(self._limits_by_id) > MAX_MESSAGE_IDS:
            message_id, limit = self._limits_by_id.popitem(last=False)
            if limit.suppressed:
                reports.append(_suppressed_record(message_id, limit.suppressed))
        for report in reports:
            super().emit(report)


class DroppingStream(io.TextIOBase):
    """Text stream on a file descriptor that drops a line if writing would block.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking mode.
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
    burst: float = BURST_LINES,
) -> RateLimitedHandler:
    """Send log records of at least ``level`` to a stream, by default standard error.

    Parameters
    ----------
    lines_per_s, burst : float
        Rate limit for each message id: lines per second, and lines at once.
    """
    # Log lines do not contain source location, thread or process; determining them
    # takes a third of the time of a line.
    logging._srcfile = None
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    handler = RateLimitedHandler(stream, lines_per_s=lines_per_s, burst=burst)
    handler.setFormatter(JsonFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    return handler


def _suppressed_record(message_id: str, suppressed: int) -> logging.LogRecord:
    record = logging.LogRecord(
        __name__, logging.WARNING, "", 0, "suppressed: %s", (message_id,), None
    )
    record.suppressed = suppressed
    return record
