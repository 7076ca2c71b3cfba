from __future__ import annotations

import threading
import time

from result import Err, Ok

from snipelink import errors, model
from snipelink.admission import gate

READ = model.Operation("read", "GET", "/r", True)


def make_call(remaining_s: float) -> model.Call:
    deadline = time.monotonic() + remaining_s
    return model.Call("c", "s", READ, "GET", "/r", [], b"", deadline)


def test_concurrent_calls_never_exceed_the_slots() -> None:
    """Guards against a race that admits more calls than slots or loses a slot."""
    subject = gate.AdmissionGate(3, max_queued=100, max_wait_s=30.0)
    lock = threading.Lock()
    running = highest = admitted = 0

    def work() -> None:
        nonlocal running, highest, admitted
        for _ in range(40):
            entered = subject.acquire(make_call(60.0), time.monotonic())
            assert isinstance(entered, Ok)
            with lock:
                running += 1
                admitted += 1
                highest = max(highest, running)
            time.sleep(0)
            with lock:
                running -= 1
            subject.release(entered.ok_value, gate.Outcome.ANSWERED, time.monotonic())

    threads = [threading.Thread(target=work) for _ in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert admitted == 480
    assert highest <= 3
    assert subject.is_idle()


def test_deadline_in_the_queue_is_not_run() -> None:
    """Guards against a waiter that outlives its deadline or keeps its place."""
    subject = gate.AdmissionGate(1, max_wait_s=30.0)
    held = subject.acquire(make_call(60.0), time.monotonic()).unwrap()
    refused = subject.acquire(make_call(0.02), time.monotonic())
    assert isinstance(refused, Err)
    assert refused.err_value.kind is errors.Kind.DEADLINE_NOT_RUN
    subject.release(held, gate.Outcome.ANSWERED, time.monotonic())
    assert subject.is_idle()


def test_cancelled_call_does_not_start_and_frees_its_slot() -> None:
    """Guards against running a call whose caller has gone."""
    subject = gate.AdmissionGate(1)
    refused = subject.acquire(make_call(60.0), time.monotonic(), lambda: True)
    assert isinstance(refused, Err)
    assert refused.err_value.kind is errors.Kind.CANCELLED
    assert subject.is_idle()
