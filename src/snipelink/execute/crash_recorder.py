"""Records the calls that run on the own endpoint and reports them when it crashes."""

from __future__ import annotations

import dataclasses
import threading
import uuid

from snipelink import model
from snipelink.retry import crash_suspects


@dataclasses.dataclass(frozen=True, slots=True)
class _RunningCall:
    """A call that was sent to the endpoint, and its sequence number."""

    call: model.Call
    start_number: int


class CrashRecorder:
    """Tracks running calls and makes them crash suspects when the endpoint crashes.

    One crash breaks the connections of all running calls, so the recorder is notified
    once per call but must count the crash once. A notification belongs to a new crash
    only if its call started after the last recorded crash.
    """

    def __init__(self, node: str, table: crash_suspects.CrashSuspectTable) -> None:
        self._node = node
        self._suspects = table
        self._lock = threading.Lock()
        self._running_by_id: dict[str, _RunningCall] = {}
        self._start_count = 0
        self._start_count_at_crash = 0
        self._crash_id = ""

    def on_start(self, call: model.Call) -> None:
        """Record that a call is about to be sent to the endpoint."""
        with self._lock:
            self._start_count += 1
            self._running_by_id[call.call_id] = _RunningCall(call, self._start_count)

    def on_end(self, call: model.Call, answered: bool) -> None:
        """Record that a call ended; an answered call counts as a clean run."""
        with self._lock:
            self._running_by_id.pop(call.call_id, None)
        if answered and len(self._suspects):
            self._suspects.on_clean_run(crash_suspects.fingerprint(call))

    def on_crash(self, call: model.Call, now: float) -> None:
        """Report all running calls as suspects of the crash that ended `call`."""
        with self._lock:
            calls = [call]
            running = self._running_by_id.get(call.call_id)
            if running is None or running.start_number > self._start_count_at_crash:
                self._crash_id = uuid.uuid4().hex
                self._start_count_at_crash = self._start_count
                calls = [each.call for each in self._running_by_id.values()]
            crash_id = self._crash_id
        suspected = [crash_suspects.fingerprint(each) for each in calls]
        self._suspects.on_crash(self._node, crash_id, suspected, now)
