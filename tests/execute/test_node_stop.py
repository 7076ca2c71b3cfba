"""Shutdown of a real node process, as a caller and the exit status show it."""

from __future__ import annotations

import signal
import socket
import subprocess
import time
import typing

import pytest

from bench import deployment
from snipelink import model
from tests.session import servers

OPERATIONS = (model.Operation("get", "GET", "/items/{id}", True, deadline_ms=20000),)
RULES = (model.Rule("all", "left"),)
SLOW_MS = 1000
GET = b"GET /items/1 HTTP/1.1\r\nHost: left.test\r\n\r\n"


class Running(typing.NamedTuple):
    """A node process, its server, and the connection of a running call."""

    process: subprocess.Popen[bytes]
    server: deployment.Server
    call: socket.socket


@pytest.fixture
def running(request: pytest.FixtureRequest) -> typing.Iterator[Running]:
    grace_s, service_ms = request.param
    planned = deployment.Deployment(
        RULES,
        {"left": OPERATIONS},
        {"left-1": ("left", "here-1")},
        endpoint_options=(f"--service-ms={service_ms}",),
    )
    planned.settings_by_server["left-1"] = {"grace_s": grace_s}
    with planned as started:
        server = started.servers_by_name["left-1"]
        assert server.node_process is not None
        with _connect(server) as call:
            call.sendall(GET)
            # Gives the call time to reach its endpoint.
            time.sleep(0.3)
            yield Running(server.node_process, server, call)


def _connect(server: deployment.Server) -> socket.socket:
    host, port = server.caller_address.rsplit(":", 1)
    return socket.create_connection((host, int(port)), 10)


@pytest.mark.parametrize("running", [(15, SLOW_MS)], indirect=True)
def test_graceful_shutdown_finishes_running_calls(running: Running) -> None:
    """Guards against a shutdown that cuts a call or keeps idle connections open."""
    with _connect(running.server) as idle:
        running.process.send_signal(signal.SIGTERM)
        assert servers.read_all(idle) == b""
        answer = servers.read_all(running.call)
    assert servers.statuses(answer) == [200]
    assert b"connection: close" in answer
    assert running.process.wait(10) == 0


@pytest.mark.parametrize("running", [(0.3, 15000)], indirect=True)
def test_exit_status_reports_calls_cut_off_after_the_grace_time(
    running: Running,
) -> None:
    """Guards against a node that never stops, or that hides the calls it cut off."""
    running.process.send_signal(signal.SIGTERM)
    assert running.process.wait(10) == 1


@pytest.mark.parametrize("running", [(60, 15000)], indirect=True)
def test_second_signal_ends_the_grace_time(running: Running) -> None:
    """Guards against a long grace time that an operator cannot end early."""
    running.process.send_signal(signal.SIGTERM)
    time.sleep(0.5)
    assert running.process.poll() is None
    running.process.send_signal(signal.SIGTERM)
    assert running.process.wait(10) == 1
