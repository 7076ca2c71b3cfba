from __future__ import annotations

from snipelink.decide import crashes
from snipelink.retry import crash_suspects


def lose_calls(detector: crashes.CrashDetector, at: float, *names: str) -> None:
    for name in names:
        detector.on_lost_call(crashes.LostCall(f"id-{name}", name, at))


def test_refused_connection_after_lost_calls_is_one_crash() -> None:
    """Guards against counting a crash once for each call that was running."""
    detector = crashes.CrashDetector("n1")
    lose_calls(detector, 10.0, "a", "b", "a")
    lose_calls(detector, 10.005, "c")
    crash = detector.on_connection_refused("i-1", 10.03)
    assert crash is not None
    assert crash.fingerprints == ("a", "b", "c")
    assert crash.crashed_at == 10.0
    assert detector.on_connection_refused("i-1", 10.08) is None


def test_crash_is_reported_only_after_the_settle_time() -> None:
    """Guards against suspecting only the first call that noticed the crash."""
    detector = crashes.CrashDetector("n1")
    lose_calls(detector, 10.0, "a")
    assert detector.on_connection_refused("i-1", 10.001) is None
    lose_calls(detector, 10.002, "b")
    crash = detector.on_connection_refused("i-1", detector.settled_at or 0.0)
    assert crash is not None
    assert crash.fingerprints == ("a", "b")


def test_reset_of_connections_is_not_a_crash() -> None:
    """Guards against suspects while the process keeps running after resets."""
    detector = crashes.CrashDetector("n1")
    lose_calls(detector, 10.0, "a", "b")
    detector.on_answer(10.0 + crashes.LOSS_SETTLE_S)
    assert detector.settled_at is None
    assert detector.on_connection_refused("i-1", 11.0) is None
    assert detector.on_new_process("i-1", 12.0) is None


def test_answer_to_a_poll_sent_before_the_loss_is_ignored() -> None:
    """Guards against missing a crash because of the answer just before it."""
    detector = crashes.CrashDetector("n1")
    lose_calls(detector, 10.0, "a")
    detector.on_answer(9.999)
    assert detector.on_connection_refused("i-1", 10.03) is not None


def test_new_process_after_lost_calls_is_a_crash() -> None:
    """Guards against missing the crash of an endpoint whose port never refused."""
    detector = crashes.CrashDetector("n1")
    lose_calls(detector, 10.0, "a")
    crash = detector.on_new_process("i-1", 14.0)
    assert crash is not None
    assert crash.fingerprints == ("a",)


def test_each_process_lifetime_has_one_crash_name() -> None:
    """Guards against two crashes counted as one, or one counted as several."""
    detector = crashes.CrashDetector("n1")
    names = []
    for at in (10.0, 20.0):
        for late in (0.0, 1.0):
            lose_calls(detector, at + late, "a")
            crash = detector.on_connection_refused("i-1", at + late + 0.1)
            assert crash is not None
            names.append(crash.name)
        detector.on_answer(at + 5.0)
    assert names[0] == names[1]
    assert names[2] == names[3]
    assert names[0] != names[2]
    other = crashes.CrashDetector("n2")
    lose_calls(other, 10.0, "a")
    crash = other.on_connection_refused("i-1", 10.1)
    assert crash is not None
    assert crash.name not in names


def test_lost_calls_are_bounded_in_number_and_time() -> None:
    """Guards against unbounded memory, and suspects from losses long ago."""
    detector = crashes.CrashDetector("n1")
    lose_calls(
        detector, 10.0, *(f"c{i}" for i in range(2 * crashes.MAX_SUSPECTS_PER_CRASH))
    )
    crash = detector.on_connection_refused("i-1", 11.0)
    assert crash is not None
    assert len(crash.losses) == crashes.MAX_SUSPECTS_PER_CRASH
    lose_calls(detector, 20.0, "old")
    lose_calls(detector, 20.0 + crashes.LOSS_RETENTION_S, "new")
    crash = detector.on_new_process("i-1", 20.0 + crashes.LOSS_RETENTION_S + 1.0)
    assert crash is not None
    assert crash.fingerprints == ("new",)


def known_crash(name: str, *fingerprints: str, at: float = 10.0) -> crashes.KnownCrash:
    return crashes.KnownCrash(name, at, fingerprints)


def test_crash_is_new_once_and_sent_a_fixed_number_of_times() -> None:
    """Guards against datagrams that nodes forward to each other endlessly."""
    gossip = crashes.CrashDissemination()
    assert gossip.add(known_crash("x", "a"), 10.0) == known_crash("x", "a")
    assert gossip.add(known_crash("x", "a", at=10.2), 10.3) is None
    sent = [gossip.due_resends(10.4) for _ in range(crashes.SEND_COUNT + 1)]
    assert sent == [[known_crash("x", "a")]] * (crashes.SEND_COUNT - 1) + [[], []]


def test_call_that_is_suspected_later_is_sent() -> None:
    """Guards against losing a poison request that noticed the crash last."""
    gossip = crashes.CrashDissemination()
    gossip.add(known_crash("x", "a"), 10.0)
    assert gossip.add(known_crash("x", "b", at=10.1), 10.1) == known_crash(
        "x", "a", "b"
    )
    assert gossip.add(known_crash("x", "b", "a"), 10.2) is None
    assert gossip.unexpired(10.2) == [known_crash("x", "a", "b")]


def test_known_crashes_are_bounded_and_expire() -> None:
    """Guards against unbounded memory and datagrams after many crashes at once."""
    gossip = crashes.CrashDissemination()
    for index in range(3 * crashes.MAX_KNOWN_CRASHES):
        gossip.add(known_crash(f"x{index}", "a"), 10.0)
    assert len(gossip.unexpired(10.0)) == crashes.MAX_KNOWN_CRASHES
    assert len(gossip.due_resends(10.0)) == crashes.MAX_RESENDS_PER_ROUND
    assert gossip.unexpired(10.0 + crash_suspects.EXPIRY_S) == []
    assert gossip.add(known_crash("late", "a"), 10.0 + crash_suspects.EXPIRY_S) is None


def test_clean_runs_of_all_nodes_are_added_once() -> None:
    """Guards against counting clean runs twice, or only those of one node."""
    clean = crashes.CleanRunCounts()
    clean.on_clean_run("a")
    for _ in range(3):
        clean.on_peer_count("a", "h1", 4)
    clean.on_peer_count("a", "h2", 2)
    clean.on_peer_count("a", "h2", 1)
    assert clean.own_count("a") == 1
    assert clean.total_count("a") == 7
    assert clean.total_count("b") == 0


def test_clean_run_counts_are_bounded_and_keep_the_latest() -> None:
    """Guards against unbounded memory for requests that are never repeated."""
    clean = crashes.CleanRunCounts()
    clean.on_clean_run("old")
    for index in range(crashes.MAX_OWN_FINGERPRINTS):
        clean.on_clean_run("popular")
        clean.on_clean_run(f"once-{index}")
        clean.on_peer_count(f"once-{index}", "h", 1)
        clean.on_peer_count("popular", f"h{index}", 1)
    assert clean.own_count("old") == 0
    assert clean.own_count("popular") == crashes.MAX_OWN_FINGERPRINTS
    assert (
        clean.total_count("popular")
        == crashes.MAX_OWN_FINGERPRINTS + crashes.MAX_PEERS_PER_FINGERPRINT
    )
    assert clean.total_count("once-0") == 0


def test_request_with_more_clean_runs_than_crashes_is_an_unlikely_cause() -> None:
    """Guards against containing popular requests, or not containing poison ones."""
    assert not crashes.is_unlikely_cause(2, 0)
    assert not crashes.is_unlikely_cause(2, 2)
    assert crashes.is_unlikely_cause(2, 3)
    assert not crashes.is_unlikely_cause(6, 6)
    assert crashes.is_unlikely_cause(6, 7)


def test_answer_covers_only_losses_before_its_poll() -> None:
    """Guards against missing a crash just after a reset."""
    detector = crashes.CrashDetector("n1")
    lose_calls(detector, 10.0, "reset")
    polled_at = 10.0 + crashes.LOSS_SETTLE_S
    lose_calls(detector, polled_at + 0.001, "crashed")
    detector.on_answer(polled_at)
    crash = detector.on_connection_refused("i-1", polled_at + 0.05)
    assert crash is not None
    assert crash.fingerprints == ("crashed",)
