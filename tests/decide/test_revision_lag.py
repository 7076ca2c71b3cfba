from __future__ import annotations

from snipelink.decide import revision_lag


def test_lag_counts_from_the_first_report_of_the_oldest_missed_revision() -> None:
    lag = revision_lag.RevisionLag()
    assert lag.behind_s(1.0) == 0.0
    lag.on_report(5, 1.0)
    lag.on_report(5, 1.5)
    lag.on_report(4, 1.5)
    lag.on_report(8, 2.0)
    assert lag.behind_s(3.0) == 2.0
    lag.on_known(4)
    assert lag.behind_s(3.0) == 2.0
    lag.on_known(6)
    assert lag.behind_s(3.0) == 1.0
    lag.on_known(8)
    assert lag.behind_s(3.0) == 0.0


def test_number_of_missed_revisions_in_memory_is_bounded() -> None:
    lag = revision_lag.RevisionLag()
    for revision in range(1, 2000):
        lag.on_report(revision, float(revision))
    assert len(lag._missed) == revision_lag.MAX_MISSED_REVISIONS
    assert lag.behind_s(2000.0) == 1999.0
    lag.on_known(1999)
    assert lag.behind_s(2000.0) == 0.0
