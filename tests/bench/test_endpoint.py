from __future__ import annotations

import json
import pathlib
import random
import subprocess
import sys

import pytest
import urllib3

from bench import deployment, endpoint_behaviour, history

POOL = urllib3.PoolManager(retries=False)


class Started:
    """A stand-in endpoint in a process of its own."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.address = f"127.0.0.1:{deployment.free_ports(1)[0]}"
        self.directory = directory
        arguments = [f"--listen={self.address}", "--name=a-1", "--slots=2"]
        command = [sys.executable, "-m", "bench.endpoint", *arguments]
        log = f"--log={directory / 'a-1'}"
        self.process = subprocess.Popen([*command, "--connections=3", log])
        deployment.wait_for_port(self.address)

    def switch(self, **fields: object) -> None:
        url = f"http://{self.address}/control/switches"
        POOL.request("POST", url, body=json.dumps(fields).encode())

    def get(self, **headers: str) -> urllib3.BaseHTTPResponse:
        fields = {"Bench-Token": "t1", **headers}
        return POOL.request("GET", f"http://{self.address}/x", headers=fields)

    def runs(self) -> list[history.Execution]:
        return history.read_logs(self.directory)[0]


@pytest.fixture
def started(tmp_path: pathlib.Path) -> Started:
    endpoint = Started(tmp_path)
    yield endpoint
    endpoint.process.kill()
    endpoint.process.wait()


def test_each_start_is_logged_with_its_end(started: Started) -> None:
    """Guards against a ground truth without the calls that ran."""
    assert started.get().status == 200
    (run,) = started.runs()
    assert (run.endpoint, run.token, run.outcome) == ("a-1", "t1", "done")


def test_shed_call_is_not_logged_as_started(started: Started) -> None:
    """Guards against counting refused work as run."""
    started.switch(shed=True)
    answer = started.get()
    assert answer.status == 503
    assert answer.headers["retry-after"]
    assert started.runs() == []


def test_failing_and_draining_show_on_answers(started: Started) -> None:
    """Guards against switches without effect."""
    started.switch(fail=True, draining=True)
    answer = started.get()
    assert answer.status == 500
    assert answer.headers["snipelink-state"] == "draining"


def test_cut_answer_is_incomplete(started: Started) -> None:
    """Guards against a cut that its reader cannot see."""
    started.switch(cut=1.0)
    with pytest.raises(urllib3.exceptions.ProtocolError):
        started.get()


def test_start_survives_the_crash_it_caused(started: Started) -> None:
    """Guards against losing the evidence of the call that crashed the process."""
    with pytest.raises(urllib3.exceptions.ProtocolError):
        started.get(**{"Bench-Mark": "crash"})
    started.process.wait(10)
    (run,) = started.runs()
    assert run.ended is None


def test_noise_keeps_the_mean_capacity() -> None:
    """Guards against noise that changes what 70% of capacity means."""
    noise = endpoint_behaviour.Noise(random.Random(1), True, 0.0)
    total_s = noise.duration_s(1000.0, 0.0)
    assert total_s == pytest.approx(1000.0, rel=0.05)


def test_noise_slows_work_in_progress() -> None:
    """Guards against a shift that only counts at the start of a request."""
    whole = endpoint_behaviour.Noise(random.Random(1), True, 0.0).duration_s(2.0, 0.0)
    parts = endpoint_behaviour.Noise(random.Random(1), True, 0.0)
    first = parts.duration_s(1.0, 0.0)
    assert first + parts.duration_s(1.0, first) == pytest.approx(whole)
