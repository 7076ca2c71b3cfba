from __future__ import annotations

from snipelink.execute import crash_recorder
from snipelink.retry import crash_suspects
from tests.execute import scripted_nodes


def crash_count(table: crash_suspects.CrashSuspectTable) -> int:
    (report,) = table.export_reports(1, 0.0)
    return len(report.ages_by_crash)


def test_crash_of_a_later_call_counts_as_a_second_crash() -> None:
    """Guards against a call that crashes the endpoint after each restart."""
    table = crash_suspects.CrashSuspectTable()
    recorder = crash_recorder.CrashRecorder("a", table)
    for call_id in ("c1", "c2"):
        call = scripted_nodes.make_call(call_id)
        recorder.on_start(call)
        recorder.on_crash(call, 0.0)
        recorder.on_end(call, answered=False)
    assert crash_count(table) == 2
    assert table.refusal_of_call(scripted_nodes.make_call("c3"), 0.0) is not None


def test_calls_lost_in_one_crash_count_once() -> None:
    """Guards against counting one crash once for each call that was running."""
    table = crash_suspects.CrashSuspectTable()
    recorder = crash_recorder.CrashRecorder("a", table)
    calls = [scripted_nodes.make_call("c1"), scripted_nodes.make_call("c2")]
    for call in calls:
        recorder.on_start(call)
    for call in calls:
        recorder.on_crash(call, 0.0)
    assert crash_count(table) == 1
    assert table.refusal_of_call(scripted_nodes.make_call("c3"), 0.0) is None
