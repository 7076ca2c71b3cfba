from __future__ import annotations

from snipelink.decide import crashes
from snipelink.retry import crash_suspects


def lose(detector: crashes.CrashDetector, at: float, *names: str) -> None:
    for name in names:
        detector.on_lost_call(crashes.LostCall(f"id-{name}", name, at))


def test_refused_connection_after_losses_is_one_crash_of_all_of_them() -> None:
    """Guards against a crash that is counted once for each call that was running."""
    detector = crashes.CrashDetector("n1")
    lose(detector, 10.0, "a", "b", "a")
    lose(detector, 10.005, "c")
    crash = detector.on_connection_refused("i-1", 10.03)
    assert crash is not None
    assert crash.fingerprints == ("a", "b", "c")
    assert crash.crashed_at == 10.0
    assert detector.on_connection_refused("i-1", 10.08) is None


def test_losses_of_one_crash_are_awaited() -> None:
    """Guards against blame for the first call alone that noticed the crash."""
    detector = crashes.CrashDetector("n1")
    lose(detector, 10.0, "a")
    assert detector.on_connection_refused("i-1", 10.001) is None
    lose(detector, 10.002, "b")
    crash = detector.on_connection_refused("i-1", detector.settled_at or 0.0)
    assert crash is not None
    assert crash.fingerprints == ("a", "b")


def test_reset_of_connections_is_no_crash() -> None:
    """Guards against blame where the process goes on and something resets."""
    detector = crashes.CrashDetector("n1")
    lose(detector, 10.0, "a", "b")
    detector.on_answer(10.0 + crashes.LOSS_SETTLE_S)
    assert detector.settled_at is None
    assert detector.on_connection_refused("i-1", 11.0) is None
    assert detector.on_new_process("i-1", 12.0) is None


def test_answer_to_a_question_asked_before_proves_nothing() -> None:
    """Guards against a last answer that hides the crash after it."""
    detector = crashes.CrashDetector("n1")
    lose(detector, 10.0, "a")
    detector.on_answer(9.999)
    assert detector.on_connection_refused("i-1", 10.03) is not None


def test_other_identity_after_silence_is_a_crash() -> None:
    """Guards against crashes of endpoints whose port refuses nothing meanwhile."""
    detector = crashes.CrashDetector("n1")
    lose(detector, 10.0, "a")
    crash = detector.on_new_process("i-1", 14.0)
    assert crash is not None
    assert crash.fingerprints == ("a",)


def test_each_lifetime_has_one_crash() -> None:
    """Guards against crashes that count as one, or one that counts as several."""
    detector = crashes.CrashDetector("n1")
    names = []
    for at in (10.0, 20.0):
        for late in (0.0, 1.0):
            lose(detector, at + late, "a")
            crash = detector.on_connection_refused("i-1", at + late + 0.1)
            assert crash is not None
            names.append(crash.name)
        detector.on_answer(at + 5.0)
    assert names[0] == names[1]
    assert names[2] == names[3]
    assert names[0] != names[2]
    other = crashes.CrashDetector("n2")
    lose(other, 10.0, "a")
    crash = other.on_connection_refused("i-1", 10.1)
    assert crash is not None
    assert crash.name not in names


def test_losses_are_bounded_in_number_and_time() -> None:
    """Guards against memory for losses that nothing explains, and late blame."""
    detector = crashes.CrashDetector("n1")
    lose(detector, 10.0, *(f"c{i}" for i in range(2 * crashes.MAX_SUSPECTS_PER_CRASH)))
    crash = detector.on_connection_refused("i-1", 11.0)
    assert crash is not None
    assert len(crash.losses) == crashes.MAX_SUSPECTS_PER_CRASH
    lose(detector, 20.0, "old")
    lose(detector, 20.0 + crashes.LOSS_KEPT_S, "new")
    crash = detector.on_new_process("i-1", 20.0 + crashes.LOSS_KEPT_S + 1.0)
    assert crash is not None
    assert crash.fingerprints == ("new",)


def known(name: str, *fingerprints: str, at: float = 10.0) -> crashes.KnownCrash:
    return crashes.KnownCrash(name, at, fingerprints)


def test_crash_is_news_once_and_told_again_a_few_times() -> None:
    """Guards against datagrams that nodes pass on to each other without end."""
    news = crashes.CrashDissemination()
    assert news.add(known("x", "a"), 10.0) == known("x", "a")
    assert news.add(known("x", "a", at=10.2), 10.3) is None
    told = [news.due_resends(10.4) for _ in range(crashes.SEND_COUNT + 1)]
    assert told == [[known("x", "a")]] * (crashes.SEND_COUNT - 1) + [[], []]


def test_call_that_is_named_later_is_news() -> None:
    """Guards against a culprit that noticed the crash after the others."""
    news = crashes.CrashDissemination()
    news.add(known("x", "a"), 10.0)
    assert news.add(known("x", "b", at=10.1), 10.1) == known("x", "a", "b")
    assert news.add(known("x", "b", "a"), 10.2) is None
    assert news.unexpired(10.2) == [known("x", "a", "b")]


def test_news_is_bounded_and_expires() -> None:
    """Guards against memory and datagrams for many crashes at once."""
    news = crashes.CrashDissemination()
    for index in range(3 * crashes.MAX_KNOWN_CRASHES):
        news.add(known(f"x{index}", "a"), 10.0)
    assert len(news.unexpired(10.0)) == crashes.MAX_KNOWN_CRASHES
    assert len(news.due_resends(10.0)) == crashes.MAX_DUE
    assert news.unexpired(10.0 + crash_suspects.EXPIRY_S) == []
    assert news.add(known("late", "a"), 10.0 + crash_suspects.EXPIRY_S) is None


def test_clean_runs_of_all_nodes_add_up_and_repeats_do_not() -> None:
    """Guards against evidence that is counted twice, or seen by one node only."""
    clean = crashes.CleanRunCounts()
    clean.on_clean_run("a")
    for _ in range(3):
        clean.on_peer_count("a", "h1", 4)
    clean.on_peer_count("a", "h2", 2)
    clean.on_peer_count("a", "h2", 1)
    assert clean.own_count("a") == 1
    assert clean.total_count("a") == 7
    assert clean.total_count("b") == 0


def test_counts_of_clean_runs_are_bounded_and_keep_the_latest() -> None:
    """Guards against memory for requests that never come again."""
    clean = crashes.CleanRunCounts()
    clean.on_clean_run("old")
    for index in range(crashes.MAX_COUNTED):
        clean.on_clean_run("popular")
        clean.on_clean_run(f"once-{index}")
        clean.on_peer_count(f"once-{index}", "h", 1)
        clean.on_peer_count("popular", f"h{index}", 1)
    assert clean.own_count("old") == 0
    assert clean.own_count("popular") == crashes.MAX_COUNTED
    assert clean.total_count("popular") == crashes.MAX_COUNTED + crashes.MAX_COUNTING
    assert clean.total_count("once-0") == 0


def test_request_is_acquitted_by_more_clean_runs_than_crashes() -> None:
    """Guards against containment of popular requests, and none of real culprits."""
    assert not crashes.is_unlikely_cause(2, 0)
    assert not crashes.is_unlikely_cause(2, 2)
    assert crashes.is_unlikely_cause(2, 3)
    assert not crashes.is_unlikely_cause(6, 6)
    assert crashes.is_unlikely_cause(6, 7)


def test_answer_explains_only_losses_before_its_question() -> None:
    """Guards against a reset that hides the crash just after it."""
    detector = crashes.CrashDetector("n1")
    lose(detector, 10.0, "reset")
    asked_at = 10.0 + crashes.LOSS_SETTLE_S
    lose(detector, asked_at + 0.001, "crashed")
    detector.on_answer(asked_at)
    crash = detector.on_connection_refused("i-1", asked_at + 0.05)
    assert crash is not None
    assert crash.fingerprints == ("crashed",)
