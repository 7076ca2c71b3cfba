from __future__ import annotations

import hashlib
import json

import pytest
import urllib3

from bench import deployment
from snipelink import model

OPERATIONS = (
    model.Operation("get", "GET", "/items/{id}", True),
    model.Operation("add", "POST", "/items", False),
)
RULES = (
    model.Rule("left", "left", host="left.test"),
    model.Rule("right", "right", host="right.test"),
)


@pytest.fixture(scope="module")
def running() -> deployment.Deployment:
    servers = {"left-1": ("left", "here-1"), "right-1": ("right", "here-2")}
    operations = {"left": OPERATIONS, "right": OPERATIONS}
    with deployment.Deployment(RULES, operations, servers) as deployed:
        yield deployed


@pytest.mark.parametrize("server", ["left-1", "right-1"])
@pytest.mark.parametrize("service", ["left", "right"])
def test_call_reaches_the_endpoint_of_its_service(
    running: deployment.Deployment, server: str, service: str
) -> None:
    """Guards against calls that are routed to another service or lose their body."""
    address = running.servers_by_name[server].caller_address
    pool = urllib3.PoolManager(retries=False)
    headers = {"Host": f"{service}.test"}
    url = f"http://{address}/items"
    body = b"x" * 1000
    headers |= {"Bench-Token": "one", "Bench-Answer-Bytes": "7"}
    response = pool.request("POST", url, headers=headers, body=body)
    assert response.status == 200
    assert json.loads(response.data) == {
        "endpoint": f"{service}-1",
        "target": "/items",
        "size": 1000,
        "digest": hashlib.sha256(body).hexdigest(),
        "token": "one",
        "filler": "oneoneo",
    }


def test_request_without_rule_is_reported_as_not_run(
    running: deployment.Deployment,
) -> None:
    """Guards against an error that doesn't tell whether the call ran."""
    address = running.servers_by_name["left-1"].caller_address
    pool = urllib3.PoolManager(retries=False)
    response = pool.request("GET", f"http://{address}/", headers={"Host": "no.test"})
    assert response.status == 404
    assert response.headers["snipelink-error"] == "no-rule"
    assert response.headers["snipelink-ran"] == "not-run"


def test_node_exits_after_sigterm() -> None:
    """Guards against a thread that keeps the process alive after SIGTERM."""
    servers = {"left-1": ("left", "here-1")}
    with deployment.Deployment(RULES[:1], {"left": OPERATIONS}, servers) as deployed:
        process = deployed.servers_by_name["left-1"].node_process
        process.terminate()
        assert process.wait(timeout=deployment.STOP_TIMEOUT_S) == 0
