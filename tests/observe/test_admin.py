from __future__ import annotations

import dataclasses
import json
import math
from collections.abc import Iterator
from typing import Any

import pytest
import urllib3

from snipelink.observe import admin


def _fail() -> Any:
    raise RuntimeError("no state")


PROVIDERS = admin.Providers(
    metrics=lambda: "calls_total 3\n",
    state=lambda: {"node": "rota-1", "ages_s": (1.5, math.inf, math.nan)},
    spans=lambda limit: [{"limit": limit}],
    explain=lambda *arguments: {"arguments": arguments},
)


@pytest.fixture
def server(request: pytest.FixtureRequest) -> Iterator[admin.AdminServer]:
    running = admin.AdminServer(("127.0.0.1", 0), getattr(request, "param", PROVIDERS))
    running.start()
    yield running
    running.stop()


def _request(
    server: admin.AdminServer, path: str, method: str = "GET"
) -> urllib3.BaseHTTPResponse:
    host, port = server.address
    with urllib3.PoolManager(retries=False, timeout=10) as pool:
        return pool.request(method, f"http://{host}:{port}{path}")


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/state", {"node": "rota-1", "ages_s": [1.5, None, None]}),
        ("/spans", [{"limit": admin.MAX_SPANS_RETURNED}]),
        ("/spans?limit=3", [{"limit": 3}]),
        ("/explain?path=/a%2Fb", {"arguments": ["", "/a/b", "GET", ""]}),
        (
            "/explain?host=h&path=/a&method=post&caller=c",
            {"arguments": ["h", "/a", "POST", "c"]},
        ),
    ],
)
def test_page_returns_the_value_of_its_provider(
    server: admin.AdminServer, path: str, expected: object
) -> None:
    """Guards against query parameters that reach the wrong argument."""
    response = _request(server, path)
    assert (response.status, json.loads(response.data)) == (200, expected)


def test_metrics_are_text(server: admin.AdminServer) -> None:
    """Guards against a content type that scrapers refuse."""
    response = _request(server, "/metrics")
    assert response.data == b"calls_total 3\n"
    assert response.headers["content-type"].startswith("text/plain; version=0.0.4")


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("POST", "/state", 405),
        ("DELETE", "/state", 405),
        ("PUT", "/nosuch", 405),
        ("GET", "/nosuch", 404),
        ("GET", "/explain", 400),
        ("GET", "/spans?limit=-1", 400),
        ("GET", "/explain?path=%ff", 400),
    ],
)
def test_other_requests_are_refused(
    server: admin.AdminServer, method: str, path: str, status: int
) -> None:
    """Guards against requests that change a node and against tracebacks."""
    response = _request(server, path, method)
    assert response.status == status
    assert "error" in json.loads(response.data)


def test_head_has_no_body(server: admin.AdminServer) -> None:
    """Guards against a body that a client reads as the next response."""
    response = _request(server, "/state", "HEAD")
    assert (response.status, response.data) == (200, b"")
    assert int(response.headers["content-length"]) > 0


@pytest.mark.parametrize(
    "server", [dataclasses.replace(PROVIDERS, state=_fail)], indirect=True
)
def test_failing_provider_does_not_stop_the_server(server: admin.AdminServer) -> None:
    """Guards against a failed inspection that stops the admin server."""
    assert _request(server, "/state").status == 500
    assert _request(server, "/metrics").status == 200
