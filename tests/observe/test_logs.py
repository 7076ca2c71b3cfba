from __future__ import annotations

import io
import json
import logging
import os
from typing import Any

import pytest

from snipelink.observe import logs


class _Log:
    def __init__(self) -> None:
        self.now = 100.0
        self.stream = io.StringIO()
        self.handler = logs.RateLimitedHandler(self.stream, lambda: self.now)
        self.handler.setFormatter(logs.JsonFormatter())
        self.logger = logging.Logger("snipelink.test")
        self.logger.addHandler(self.handler)

    def lines(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]


@pytest.fixture
def log() -> _Log:
    return _Log()


def test_record_is_one_line_of_json(log: _Log) -> None:
    """Guards against records that a log collector splits or drops."""
    try:
        raise ValueError("two\nlines")
    except ValueError:
        log.logger.exception("read %s", "a\nb", extra={"fields": {"node": "n"}})
    (line,) = log.lines()
    assert (line["level"], line["logger"]) == ("error", "snipelink.test")
    assert (line["message"], line["node"]) == ("read a\nb", "n")
    assert "two\nlines" in line["exception"]


def test_repeated_message_is_limited_and_counted(log: _Log) -> None:
    """Guards against a recurring fault that floods the log."""
    for number in range(1000):
        log.logger.warning("lost %d", number)
    log.logger.warning("another message")
    assert len(log.lines()) == logs.BURST_LINES + 1
    assert log.lines()[-1]["message"] == "another message"
    log.now += 1
    log.logger.warning("lost %d", 1000)
    assert log.lines()[-1]["suppressed"] == 1000 - logs.BURST_LINES
    assert log.handler.suppressed_total == 1000 - logs.BURST_LINES


def test_suppressed_count_is_reported_after_the_fault(log: _Log) -> None:
    """Guards against a count that is never reported because the fault ended."""
    for _ in range(100):
        log.logger.warning("lost")
    log.now += logs.SUPPRESSED_REPORT_DELAY_S
    log.logger.warning("another message")
    report, last = log.lines()[-2:]
    assert report["message"] == "suppressed: snipelink.test:lost"
    assert report["suppressed"] == 100 - logs.BURST_LINES
    assert last["message"] == "another message"


def test_suppressed_count_is_reported_on_close(log: _Log) -> None:
    """Guards against a count that is lost when the node stops."""
    for _ in range(100):
        log.logger.warning("lost")
    log.handler.close()
    assert log.lines()[-1]["suppressed"] == 100 - logs.BURST_LINES


def test_number_of_message_ids_is_bounded(log: _Log) -> None:
    """Guards against unbounded memory if messages are formatted before logging."""
    for number in range(3 * logs.MAX_MESSAGE_IDS):
        log.logger.warning(f"lost {number}")
    assert len(log.handler._limits_by_id) == logs.MAX_MESSAGE_IDS


def test_stream_drops_lines_instead_of_blocking() -> None:
    reader, writer = os.pipe()
    try:
        stream = logs.DroppingStream(writer)
        while not stream.dropped:
            stream.write("x" * 1000 + "\n")
        assert stream.dropped == 1
    finally:
        os.close(reader)
        os.close(writer)
