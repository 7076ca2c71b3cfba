from __future__ import annotations

import pytest

from snipelink.decide import domain_summary


def _entry(instance: str = "i-1", **changes: object) -> domain_summary.Entry:
    values: dict[str, object] = {
        "identity_hash": domain_summary.identity_hash(instance),
        "running": 2,
        "waiting": 1,
        "slots": 3,
        "slowness_percent": 100,
        "failing_percent": 0,
    }
    return domain_summary.Entry(**(values | changes))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "entry",
    [
        _entry(),
        _entry(running=0, waiting=255, slots=1, slowness_percent=725),
        _entry(failing_percent=100, accepting=False, overdue_s=0.5),
    ],
)
def test_entry_is_decoded_as_it_was_encoded(entry: domain_summary.Entry) -> None:
    (part,) = domain_summary.encode_parts([entry])
    assert len(part) == domain_summary.ENTRY_BYTES == 10
    assert domain_summary.decode(part) == [entry]


def test_values_beyond_the_range_are_bounded() -> None:
    extreme = _entry(running=1000, waiting=-1, slowness_percent=9999, overdue_s=60.0)
    (decoded,) = domain_summary.decode(domain_summary.encode_parts([extreme])[0])
    assert (decoded.running, decoded.waiting) == (255, 0)
    assert decoded.slowness_percent == 1275
    assert decoded.overdue_s == pytest.approx(2.55)


@pytest.mark.parametrize("count", [0, 1, 80, 81, 100, 400])
def test_parts_hold_all_entries_and_are_bounded(count: int) -> None:
    entries = [_entry(f"i-{index}") for index in range(count)]
    parts = domain_summary.encode_parts(entries)
    decoded = [entry for part in parts for entry in domain_summary.decode(part)]
    assert decoded == entries
    limit = domain_summary.MAX_ENTRIES_PER_PART * domain_summary.ENTRY_BYTES
    assert all(len(part) <= limit for part in parts)


def test_part_that_is_cut_off_is_rejected() -> None:
    (part,) = domain_summary.encode_parts([_entry()])
    with pytest.raises(ValueError, match="no whole number"):
        domain_summary.decode(part[:-1])


def test_identities_with_equal_hashes_are_left_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(domain_summary, "identity_hash", lambda name: name[:1].encode())
    assert domain_summary.hashes_to_instances(["a1", "a2", "b1"]) == {b"b": "b1"}
