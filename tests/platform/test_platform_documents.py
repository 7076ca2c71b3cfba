from __future__ import annotations

import json
from typing import Any

import platform_documents
import pytest

from bench.soak import store

SPLIT = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
SERVER = {
    "service": "a",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "cold_left_s": 0,
    "seq": 4,
    "born": 1700000000000,
}


def _configuration(**changes: Any) -> bytes:
    document = {
        "version": "r12",
        "routes": {
            "columns": store.ROUTE_COLUMNS,
            "rows": [
                ["r1", "Ex.example", "/a/", "unsafe", 1.2, 0.5, 1, "a", 2, None],
                ["r2", "ex.example", "/b/", "safe", 1, 0.5, 2, None, 2, SPLIT],
            ],
        },
        "services": {
            "columns": ["name", "health_path", "max_conns"],
            "rows": [["a", "/healthz", 220], ["b", "/h", 220]],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
    }
    return json.dumps(document | changes).encode()


def test_configuration_becomes_routes_and_limits() -> None:
    decoded = platform_documents.decode_configuration(_configuration()).unwrap()
    assert decoded.version == 12
    once, split = decoded.routes
    assert (once.host, once.idempotent, once.timeout_s) == ("ex.example", False, 1.2)
    assert [(p.service, p.weight) for p in once.parts] == [("a", 1.0)]
    assert split.idempotent
    assert [(p.service, p.weight) for p in split.parts] == [("a", 90), ("b", 10)]
    assert decoded.health_paths_by_service == {"a": "/healthz", "b": "/h"}
    assert decoded.limits.max_body_bytes == 1000


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{",
        b"[]",
        _configuration(version="12x"),
        _configuration(routes={"columns": ["name"], "rows": [["a", "b"]]}),
        _configuration(limits={}),
    ],
)
def test_unreadable_configuration_is_an_error(value: bytes) -> None:
    assert platform_documents.decode_configuration(value).is_err()


def test_server_entry_becomes_an_instance() -> None:
    value = json.dumps(SERVER | {"state": "draining"}).encode()
    instance = platform_documents.decode_server("servers/i-7", value).unwrap()
    assert (instance.id, instance.host) == ("i-7", "10.128.0.9")
    assert instance.leaving
    assert instance.born_ms == 1700000000000


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "asleep"},
        {"slots": "nine"},
        {"slots": 0},
        {"address": "nowhere"},
        {"service": None},
        {"zone": 3},
    ],
)
def test_entry_of_another_writer_names_no_server(changes: dict[str, Any]) -> None:
    value = json.dumps(SERVER | changes).encode()
    assert platform_documents.decode_server("servers/i-7", value).is_err()


@pytest.mark.parametrize("field", ["service", "address", "zone", "slots", "state"])
def test_entry_with_a_field_missing_names_no_server(field: str) -> None:
    value = json.dumps({k: v for k, v in SERVER.items() if k != field}).encode()
    assert platform_documents.decode_server("servers/i-7", value).is_err()
