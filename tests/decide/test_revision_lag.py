from __future__ import annotations

from snipelink.decide import revision_lag, store_position


def _at(revision: int, era: int = 0) -> store_position.Position:
    return store_position.Position(era, revision)


def test_lag_counts_from_the_first_report_of_the_oldest_missed_revision() -> None:
    lag = revision_lag.RevisionLag()
    assert lag.behind_s(1.0) == 0.0
    lag.on_report(_at(5), 1.0)
    lag.on_report(_at(5), 1.5)
    lag.on_report(_at(4), 1.5)
    lag.on_report(_at(8), 2.0)
    assert lag.behind_s(3.0) == 2.0
    lag.on_known(_at(4))
    assert lag.behind_s(3.0) == 2.0
    lag.on_known(_at(6))
    assert lag.behind_s(3.0) == 1.0
    lag.on_known(_at(8))
    assert lag.behind_s(3.0) == 0.0


def test_number_of_missed_revisions_in_memory_is_bounded() -> None:
    lag = revision_lag.RevisionLag()
    for revision in range(1, 2000):
        lag.on_report(_at(revision), float(revision))
    assert len(lag._missed) == revision_lag.MAX_MISSED_REVISIONS
    assert lag.behind_s(2000.0) == 1999.0
    lag.on_known(_at(1999))
    assert lag.behind_s(2000.0) == 0.0


def test_lag_ends_with_a_later_era_whatever_its_revision() -> None:
    lag = revision_lag.RevisionLag()
    lag.on_report(_at(90, era=1), 1.0)
    lag.on_report(_at(50, era=2), 2.0)
    lag.on_report(_at(99, era=1), 3.0)
    lag.on_known(_at(40, era=2))
    assert lag.behind_s(4.0) == 2.0
    lag.on_known(_at(50, era=2))
    assert lag.behind_s(4.0) == 0.0
