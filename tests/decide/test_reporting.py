from __future__ import annotations

import pytest

from snipelink.decide import placement, reporting


def _report(**changes: object) -> reporting.LoadReport:
    values: dict[str, object] = {
        "calls": 5,
        "slots": 9,
        "slowness_percent": 100,
        "failing_percent": 0,
        "state": ("i-1", True),
    }
    return reporting.LoadReport(**(values | changes))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("changes", "near", "due"),
    [
        ({}, True, False),
        # With six calls on nine slots, the next call would be slowed down.
        ({"calls": 6}, True, True),
        ({"calls": 6}, False, False),
        ({"calls": 7}, False, False),
        ({"calls": 8}, False, True),
        ({"calls": 0}, True, False),
        ({"slowness_percent": 120}, False, False),
        ({"slowness_percent": 700}, False, True),
        ({"failing_percent": 12}, False, True),
        ({"state": ("i-1", False)}, False, True),
        # An endpoint that becomes cold loses most of its slots.
        ({"slots": 4}, False, True),
        ({"slots": 5}, False, False),
    ],
)
def test_report_is_due_when_it_affects_the_choice_of_an_endpoint(
    changes: dict[str, object], near: bool, due: bool
) -> None:
    interval_s = reporting.interval_s(_report(), _report(**changes), near=near)
    assert (interval_s <= 0.1) is due


def test_unchanged_report_is_repeated() -> None:
    interval_s = reporting.interval_s(_report(), _report(), near=False)
    assert interval_s == reporting.REPEAT_INTERVAL_S <= placement.SILENT_NODE_S / 2


def test_urgent_change_waits_for_the_minimum_interval() -> None:
    changed = _report(state=("i-1", False))
    assert reporting.interval_s(_report(), changed, near=True) > 0.01


def test_end_of_an_endpoint_is_reported_sooner_than_its_calls() -> None:
    ended, busy = _report(state=("i-1", False)), _report(calls=9)
    assert reporting.interval_s(_report(), ended, near=True) < reporting.interval_s(
        _report(), busy, near=True
    )


@pytest.mark.parametrize("slots", [1, 2, 4, 5, 9, 12])
def test_unreported_calls_do_not_affect_the_choice_of_an_endpoint(
    slots: int,
) -> None:
    sent = _report(calls=0, slots=slots)
    for calls in range(2 * slots):
        current = _report(calls=calls, slots=slots)
        if reporting.interval_s(sent, current, near=True) < reporting.REPEAT_INTERVAL_S:
            continue
        reported_s, present_s = (
            placement.expected_time_s(_candidate(count, slots), 0.2, 0.2)
            for count in (sent.calls, calls)
        )
        assert reported_s == present_s


def _candidate(calls: int, slots: int) -> placement.Candidate:
    return placement.Candidate("i-1", True, calls, 0, slots, 1.0)
