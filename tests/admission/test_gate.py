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
    """Guards against a race that admits more calls than slots, or that leaks a slot."""
    admission_gate = gate.AdmissionGate(3, max_queued=100, max_wait_s=30.0)
    lock = threading.Lock()
    running = highest = admitted = 0

    def run_calls() -> None:
        nonlocal running, highest, admitted
        for _ in range(40):
            entered = admission_gate.acquire(make_call(60.0), time.monotonic())
            assert isinstance(entered, Ok)
            with lock:
                running += 1
                admitted += 1
                highest = max(highest, running)
            time.sleep(0)
            with lock:
                running -= 1
            admission_gate.release(
                entered.ok_value, gate.Outcome.ANSWERED, time.monotonic()
            )

    threads = [threading.Thread(target=run_calls) for _ in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert admitted == 480
    assert highest <= 3
    assert admission_gate.is_idle()


def test_call_whose_deadline_passes_in_the_queue_is_not_run() -> None:
    """Guards against a waiter that stays queued after its deadline."""
    admission_gate = gate.AdmissionGate(1, max_wait_s=30.0)
    ticket = admission_gate.acquire(make_call(60.0), time.monotonic()).unwrap()
    refused = admission_gate.acquire(make_call(0.02), time.monotonic())
    assert isinstance(refused, Err)
    assert refused.err_value.kind is errors.Kind.DEADLINE_NOT_RUN
    admission_gate.release(ticket, gate.Outcome.ANSWERED, time.monotonic())
    assert admission_gate.is_idle()


def test_cancelled_call_does_not_start_and_frees_its_slot() -> None:
    """Guards against running a call that its caller has cancelled."""
    admission_gate = gate.AdmissionGate(1)
    refused = admission_gate.acquire(make_call(60.0), time.monotonic(), lambda: True)
    assert isinstance(refused, Err)
    assert refused.err_value.kind is errors.Kind.CANCELLED
    assert admission_gate.is_idle()
