"""Contents of valid object directories for tests."""

from __future__ import annotations

import copy
import json
import pathlib
from typing import Any

Files = dict[str, dict[str, Any]]


def _operation(name: str, method: str, path: str, **fields: Any) -> dict[str, Any]:
    idempotent = method == "GET"
    return {"name": name, "method": method, "path": path, "idempotent": idempotent} | (
        fields
    )


def _endpoint(service: str, number: int, port: int, **fields: Any) -> dict[str, Any]:
    return {
        "name": f"{service}-{number}",
        "service": service,
        "failure_domain": f"domain-{number}",
        "region": "central",
        "address": f"127.0.0.1:{port}",
        "call_address": f"127.0.0.1:{port + 1}",
    } | fields


FILES: Files = {
    "set.json": {"revision": 7, "budgets": {"retry_ratio": 0.1}},
    "services.json": {
        "services": [
            {
                "name": "rota",
                "operations": [
                    _operation("find", "GET", "/shifts/{id}"),
                    _operation("claim", "POST", "/shifts/{id}", weight=2),
                    _operation("today", "GET", "/shifts/today"),
                ],
            },
            {
                "name": "archive",
                "operations": [_operation("read", "GET", "/archive/*")],
                "budgets": {"retry_ratio": 0.2},
            },
        ]
    },
    "endpoints/rota.json": {
        "endpoints": [
            _endpoint("rota", 1, 9100, endpoint_sets=["blue"]),
            _endpoint("rota", 2, 9200, failure_domain="domain-1"),
            _endpoint("rota", 3, 9300, state="leaving"),
        ]
    },
    "endpoints/archive.json": {"endpoints": [_endpoint("archive", 1, 9400)]},
    "rules.json": {
        "rules": [
            {"name": "blue", "caller": "app", "service": "rota", "endpoint_set": "blue"}
            | {"path_prefix": "/shifts"},
            {"name": "rota", "service": "rota", "path_prefix": "/shifts"},
            {"name": "archive", "service": "archive", "path_prefix": "/archive"},
        ]
    },
}


def copy_files() -> Files:
    return copy.deepcopy(FILES)


def write(directory: pathlib.Path, files: Files) -> pathlib.Path:
    for name, content in files.items():
        path = directory / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text("// objects\n" + json.dumps(content, indent=1))
    return directory
