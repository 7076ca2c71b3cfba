from __future__ import annotations

import pytest

from snipelink.decide import reporting


def _report(**changes: object) -> reporting.Report:
    values: dict[str, object] = {
        "calls": 3,
        "slots": 9,
        "slowness_percent": 100,
        "failing_percent": 0,
        "state": ("i-1", True),
    }
    return reporting.Report(**(values | changes))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("changes", "near", "due"),
    [
        ({}, True, False),
        ({"calls": 4}, True, True),
        ({"calls": 4}, False, False),
        ({"calls": 6}, False, True),
        ({"slowness_percent": 120}, False, False),
        ({"slowness_percent": 700}, False, True),
        ({"failing_percent": 12}, False, True),
        ({"state": ("i-1", False)}, False, True),
    ],
)
def test_report_is_due_when_it_changes_a_choice(
    changes: dict[str, object], near: bool, due: bool
) -> None:
    assert reporting.is_due(_report(), _report(**changes), 0.1, near=near) is due


def test_unchanged_report_is_repeated() -> None:
    assert reporting.is_due(_report(), _report(), reporting.FAR_REPEAT_S, near=False)


def test_change_waits_for_the_shortest_interval() -> None:
    changed = _report(state=("i-1", False))
    assert not reporting.is_due(_report(), changed, 0.01, near=True)
