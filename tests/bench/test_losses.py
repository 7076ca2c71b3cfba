from __future__ import annotations

from typing import Any

import pytest

from bench import losses


def _entry(**changes: Any) -> dict[str, Any]:
    values = {
        "message": "call is answered",
        "route": "view",
        "took_s": 0.2,
        "to_target_s": 0.5,
        "expected_work_s": 0.16,
        "work_s": 0.16,
        "status": 200,
    }
    return values | changes


REFUSED = {"failure": "overloaded", "status": None}


@pytest.mark.parametrize(
    ("changes", "end"),
    [
        ({}, "in time"),
        ({"took_s": 0.6}, "late slow"),
        ({"took_s": 0.6, "work_s": 0.3}, "late crowded"),
        ({"to_target_s": 0.1}, "late back"),
        (REFUSED, "refused new"),
        (REFUSED | {"to_target_s": -0.2}, "refused back"),
        ({"failure": "connection-lost", "status": None}, "failed"),
        ({"status": 500}, "failed"),
    ],
)
def test_end_of_a_call(changes: dict[str, Any], end: str) -> None:
    assert losses.end_of(_entry(**changes)) == end


def test_table_has_a_row_for_each_window_of_arrivals_and_operation() -> None:
    refusal = {
        "message": "call is refused",
        "running": 7,
        "limit": 8,
        "waiting": 2,
        "slowness": 1.5,
    }
    entries = [
        (4.1, _entry(took_s=0.3)),
        (4.2, _entry()),
        (4.3, _entry(**REFUSED)),
        (4.4, _entry(route="other")),
        (4.4, refusal),
        (-1.0, _entry()),
    ]
    rows = losses.table(entries, 2.0, 1).splitlines()[1:]
    assert [row.split()[:2] for row in rows] == [
        ["2", "view"],
        ["4", "other"],
        ["4", "view"],
    ]
    counts, state = rows[2].split()[2:10], rows[2].split()[10:]
    assert counts == ["2", "1", "0", "0", "0", "1", "0", "0"]
    assert state == ["7.0", "8.0", "2.0", "1.5"]
    assert losses.table(entries, 2.0, 2).count("view") == 1
