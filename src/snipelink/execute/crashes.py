"""Finds out which calls were running when the own endpoint crashed."""

from __future__ import annotations

import threading
import uuid

from snipelink import model
from snipelink.retry import suspects


class CrashRecorder:
    """Keeps the running calls and reports them when the endpoint crashes.

    Several calls lose their connection in one crash. They count as one crash until
    the endpoint has answered again.
    """

    def __init__(self, node: str, table: suspects.SuspectTable) -> None:
        self._node = node
        self._table = table
        self._lock = threading.Lock()
        self._running_by_id: dict[str, model.Call] = {}
        self._crash = ""

    def on_start(self, call: model.Call) -> None:
        """Record that a call is about to be sent to the endpoint."""
        with self._lock:
            self._running_by_id[call.call_id] = call

    def on_end(self, call: model.Call, answered: bool) -> None:
        """Record that a call ended; an answer ends a crash."""
        with self._lock:
            self._running_by_id.pop(call.call_id, None)
            if answered:
                self._crash = ""
        if answered and len(self._table):
            self._table.on_clean_run(suspects.fingerprint(call))

    def on_crash(self, call: model.Call, now: float) -> None:
        """Blame all running calls when one of them finds that the endpoint crashed."""
        with self._lock:
            calls = [call]
            if not self._crash:
                self._crash = uuid.uuid4().hex
                calls = list(self._running_by_id.values())
            crash = self._crash
        blamed = [suspects.fingerprint(each) for each in calls]
        self._table.on_crash(self._node, crash, blamed, now)
