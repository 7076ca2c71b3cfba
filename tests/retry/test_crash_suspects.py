from __future__ import annotations

import random

import pytest

from snipelink import errors, model
from snipelink.retry import crash_suspects


def crash_repeatedly(
    table: crash_suspects.CrashSuspectTable,
    seed: int,
    clean_run_probability: float = 0.0,
) -> int:
    """Return how many endpoints crash before the poison request is contained."""
    rng = random.Random(seed)
    popular = [f"menu-{i}" for i in range(5)]
    now, serial = 0.0, 0
    for crash_count in range(1, 30):
        while rng.random() < clean_run_probability:
            table.on_clean_run("killer")
        running = [rng.choice(popular) for _ in range(6)]
        running += [f"once-{serial + i}" for i in range(3)]
        serial += 3
        table.on_crash(f"e{crash_count}", "1", [*running, "killer"], now)
        if table.refusal_of_fingerprint("killer", now) is not None:
            return crash_count
        for _ in range(40):
            table.on_clean_run(rng.choice(popular))
        now += 0.5
    return 30


@pytest.mark.parametrize("seed", range(10))
def test_poison_request_is_contained_without_false_positives(
    seed: int,
) -> None:
    """Guards against a request that crashes every server, and false positives."""
    table = crash_suspects.CrashSuspectTable()
    assert crash_repeatedly(table, seed) <= 3
    for name in [f"menu-{i}" for i in range(5)] + [f"once-{i}" for i in range(9)]:
        assert table.refusal_of_fingerprint(name, 2.0) is None
    refusal = table.refusal_of_fingerprint("killer", 2.0)
    assert refusal is not None
    assert refusal.kind is errors.Kind.CRASH_SUSPECT
    assert refusal.retry_after_s > 0


@pytest.mark.parametrize("seed", range(5))
def test_poison_request_that_crashes_half_the_time_is_contained(seed: int) -> None:
    """Guards against a request that crashes servers only in some of its runs."""
    assert crash_repeatedly(crash_suspects.CrashSuspectTable(), seed, 0.5) <= 8


def test_crash_counts_once_for_any_number_of_reports() -> None:
    """Guards against containing a call after one crash that many nodes report."""
    table, other = (
        crash_suspects.CrashSuspectTable(),
        crash_suspects.CrashSuspectTable(),
    )
    for _ in range(5):
        table.on_crash("e1", "1", ["a"], 0.0)
    other.on_crash("e1", "1", ["a"], 100.0)
    for _ in range(5):
        table.merge_reports(other.export_reports(10, 101.0), 1.0)
    assert table.refusal_of_fingerprint("a", 1.0) is None


def test_reports_of_other_nodes_contain_a_call_and_expire() -> None:
    """Guards against crashes through nodes that saw none, and endless containment."""
    table, other = (
        crash_suspects.CrashSuspectTable(),
        crash_suspects.CrashSuspectTable(),
    )
    other.on_crash("e1", "1", ["a"], 1000.0)
    other.on_crash("e2", "1", ["a"], 1001.0)
    table.merge_reports(other.export_reports(10, 1002.0), 2.0)
    assert table.refusal_of_fingerprint("a", 2.0) is not None
    table.merge_reports(table.export_reports(10, 100.0), 100.0)
    assert table.refusal_of_fingerprint("a", 2.0 + crash_suspects.EXPIRY_S) is None


def test_memory_is_bounded_and_keeps_contained_suspects() -> None:
    """Guards against memory that grows with the number of calls that ran at crashes."""
    table = crash_suspects.CrashSuspectTable()
    table.on_crash("e1", "1", ["killer"], 0.0)
    table.on_crash("e2", "1", ["killer"], 0.0)
    for step in range(3 * crash_suspects.MAX_SUSPECT_COUNT):
        table.on_crash(f"f{step}", "1", [f"once-{step}"], 1.0)
    assert len(table) <= crash_suspects.MAX_SUSPECT_COUNT
    assert table.refusal_of_fingerprint("killer", 1.0) is not None


def test_fingerprint_distinguishes_bodies_and_fields() -> None:
    """Guards against suspecting a different request with the same path."""
    read = model.Operation("read", "GET", "/r", True)

    def make_fingerprint(target: str, body: bytes) -> str:
        call = model.Call("c", "s", read, "GET", target, [], body, 1.0)
        return crash_suspects.fingerprint(call)

    names = {
        make_fingerprint("/r", b""),
        make_fingerprint("/r", b"x"),
        make_fingerprint("/rx", b""),
        make_fingerprint("/r\0", b""),
    }
    assert len(names) == 4
    assert make_fingerprint("/r", b"x") == make_fingerprint("/r", b"x")


def test_crash_during_a_contained_call_makes_no_other_call_suspect() -> None:
    """Guards against more suspects in crashes by copies of a contained call."""
    table = crash_suspects.CrashSuspectTable()
    table.on_crash("e1", "1", ["killer"], 0.0)
    table.on_crash("e2", "1", ["killer"], 0.0)
    table.on_crash("e3", "1", ["killer", "beside"], 0.1)
    table.on_crash("e4", "1", ["killer", "beside"], 0.1)
    assert table.refusal_of_fingerprint("beside", 0.2) is None
