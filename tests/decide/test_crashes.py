from __future__ import annotations

from snipelink.decide import crashes


def lose(detector: crashes.Detector, at: float, *names: str) -> None:
    for name in names:
        detector.on_lost(crashes.Loss(f"id-{name}", name, at))


def test_refused_connection_after_losses_is_one_crash_of_all_of_them() -> None:
    """Guards against a crash that is counted once for each call that was running."""
    detector = crashes.Detector("n1")
    lose(detector, 10.0, "a", "b", "a")
    lose(detector, 10.005, "c")
    crash = detector.on_refused("i-1", 10.03)
    assert crash is not None
    assert crash.fingerprints == ("a", "b", "c")
    assert crash.at == 10.0
    assert detector.on_refused("i-1", 10.08) is None


def test_losses_of_one_crash_are_awaited() -> None:
    """Guards against blame for the first call alone that noticed the crash."""
    detector = crashes.Detector("n1")
    lose(detector, 10.0, "a")
    assert detector.on_refused("i-1", 10.001) is None
    lose(detector, 10.002, "b")
    crash = detector.on_refused("i-1", detector.settled_at or 0.0)
    assert crash is not None
    assert crash.fingerprints == ("a", "b")


def test_reset_of_connections_is_no_crash() -> None:
    """Guards against blame where the process goes on and something resets."""
    detector = crashes.Detector("n1")
    lose(detector, 10.0, "a", "b")
    detector.on_answer(10.0 + crashes.SETTLE_S)
    assert detector.settled_at is None
    assert detector.on_refused("i-1", 11.0) is None
    assert detector.on_new_process("i-1", 12.0) is None


def test_answer_to_a_question_asked_before_proves_nothing() -> None:
    """Guards against a last answer that hides the crash after it."""
    detector = crashes.Detector("n1")
    lose(detector, 10.0, "a")
    detector.on_answer(9.999)
    assert detector.on_refused("i-1", 10.03) is not None


def test_other_identity_after_silence_is_a_crash() -> None:
    """Guards against crashes of endpoints whose port refuses nothing meanwhile."""
    detector = crashes.Detector("n1")
    lose(detector, 10.0, "a")
    crash = detector.on_new_process("i-1", 14.0)
    assert crash is not None
    assert crash.fingerprints == ("a",)


def test_each_lifetime_has_one_crash() -> None:
    """Guards against crashes that count as one, or one that counts as several."""
    detector = crashes.Detector("n1")
    names = []
    for at in (10.0, 20.0):
        for late in (0.0, 1.0):
            lose(detector, at + late, "a")
            crash = detector.on_refused("i-1", at + late + 0.1)
            assert crash is not None
            names.append(crash.name)
        detector.on_answer(at + 5.0)
    assert names[0] == names[1]
    assert names[2] == names[3]
    assert names[0] != names[2]
    other = crashes.Detector("n2")
    lose(other, 10.0, "a")
    crash = other.on_refused("i-1", 10.1)
    assert crash is not None
    assert crash.name not in names


def test_losses_are_bounded_in_number_and_time() -> None:
    """Guards against memory for losses that nothing explains, and late blame."""
    detector = crashes.Detector("n1")
    lose(detector, 10.0, *(f"c{i}" for i in range(2 * crashes.MAX_BLAMED)))
    crash = detector.on_refused("i-1", 11.0)
    assert crash is not None
    assert len(crash.losses) == crashes.MAX_BLAMED
    lose(detector, 20.0, "old")
    lose(detector, 20.0 + crashes.LOSS_KEPT_S, "new")
    crash = detector.on_new_process("i-1", 20.0 + crashes.LOSS_KEPT_S + 1.0)
    assert crash is not None
    assert crash.fingerprints == ("new",)
