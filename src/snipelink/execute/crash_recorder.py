"""Finds out which calls were running when the own endpoint crashed."""

from __future__ import annotations

import dataclasses
import threading
import uuid

from snipelink import model
from snipelink.retry import crash_suspects


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    """A call that was sent to the endpoint, with its place in the order of starts."""

    call: model.Call
    order: int


class CrashRecorder:
    """Keeps the running calls and reports them when the endpoint crashes.

    Several calls lose their connection in one crash. A call that started after the
    last crash was found must have met another one.
    """

    def __init__(self, node: str, table: crash_suspects.CrashSuspectTable) -> None:
        self._node = node
        self._table = table
        self._lock = threading.Lock()
        self._running_by_id: dict[str, _Running] = {}
        self._starts = 0
        self._starts_at_crash = 0
        self._crash = ""

    def on_start(self, call: model.Call) -> None:
        """Record that a call is about to be sent to the endpoint."""
        with self._lock:
            self._starts += 1
            self._running_by_id[call.call_id] = _Running(call, self._starts)

    def on_end(self, call: model.Call, answered: bool) -> None:
        """Record that a call ended."""
        with self._lock:
            self._running_by_id.pop(call.call_id, None)
        if answered and len(self._table):
            self._table.on_clean_run(crash_suspects.fingerprint(call))

    def on_crash(self, call: model.Call, now: float) -> None:
        """Blame all running calls when one of them finds that the endpoint crashed."""
        with self._lock:
            calls = [call]
            running = self._running_by_id.get(call.call_id)
            if running is None or running.order > self._starts_at_crash:
                self._crash = uuid.uuid4().hex
                self._starts_at_crash = self._starts
                calls = [each.call for each in self._running_by_id.values()]
            crash = self._crash
        blamed = [crash_suspects.fingerprint(each) for each in calls]
        self._table.on_crash(self._node, crash, blamed, now)
