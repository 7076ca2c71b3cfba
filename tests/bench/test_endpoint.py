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


class EndpointProcess:
    """Fake endpoint that runs in a child process."""

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

    def executions(self) -> list[history.Execution]:
        return history.read_logs(self.directory)[0]


@pytest.fixture
def endpoint(tmp_path: pathlib.Path) -> EndpointProcess:
    endpoint = EndpointProcess(tmp_path)
    yield endpoint
    endpoint.process.kill()
    endpoint.process.wait()


def test_each_start_is_logged_with_its_end(endpoint: EndpointProcess) -> None:
    """Guards against executions that are missing from the event log."""
    assert endpoint.get().status == 200
    (execution,) = endpoint.executions()
    assert (execution.endpoint, execution.token, execution.outcome) == (
        "a-1",
        "t1",
        "done",
    )


def test_shed_call_is_not_logged_as_started(endpoint: EndpointProcess) -> None:
    """Guards against an event log that counts shed calls as executions."""
    endpoint.switch(shed=True)
    answer = endpoint.get()
    assert answer.status == 503
    assert answer.headers["retry-after"]
    assert endpoint.executions() == []


def test_fail_and_drain_switches_change_answers(endpoint: EndpointProcess) -> None:
    """Guards against fault switches without effect."""
    endpoint.switch(fail=True, draining=True)
    answer = endpoint.get()
    assert answer.status == 500
    assert answer.headers["snipelink-state"] == "draining"


def test_truncated_answer_is_incomplete(endpoint: EndpointProcess) -> None:
    """Guards against truncated answers that look complete to the caller."""
    endpoint.switch(cut=1.0)
    with pytest.raises(urllib3.exceptions.ProtocolError):
        endpoint.get()


def test_start_is_logged_before_a_crash(endpoint: EndpointProcess) -> None:
    """Guards against an event log that lacks the call that crashed the endpoint."""
    with pytest.raises(urllib3.exceptions.ProtocolError):
        endpoint.get(**{"Bench-Mark": "crash"})
    endpoint.process.wait(10)
    (execution,) = endpoint.executions()
    assert execution.ended is None


def test_noise_keeps_the_mean_capacity() -> None:
    """Guards against noise that changes the mean capacity of an endpoint.

    Loads are given as a share of the capacity, and would differ from their names.
    """
    noise = endpoint_behaviour.Noise(random.Random(1), True, 0.0)
    total_s = noise.duration_s(1000.0, 0.0)
    assert total_s == pytest.approx(1000.0, rel=0.05)


def test_noise_slows_running_requests() -> None:
    """Guards against speed changes that don't affect requests that already run."""
    whole = endpoint_behaviour.Noise(random.Random(1), True, 0.0).duration_s(2.0, 0.0)
    parts = endpoint_behaviour.Noise(random.Random(1), True, 0.0)
    first = parts.duration_s(1.0, 0.0)
    assert first + parts.duration_s(1.0, first) == pytest.approx(whole)
