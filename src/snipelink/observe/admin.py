"""Read-only HTTP server on the admin port, for metrics and inspection."""

from __future__ import annotations

import dataclasses
import json
import logging
import math
import threading
import urllib.parse
from collections.abc import Callable, Iterable
from typing import Any

import cheroot.wsgi

from snipelink.observe import metrics

logger = logging.getLogger(__name__)

MAX_SPANS_RETURNED = 512
_MIN_THREADS = 1
_MAX_THREADS = 4
_MAX_QUEUED_REQUESTS = 16
# Timeout of socket operations, and time to wait for running requests on stop.
_TIMEOUT_S = 5
_STOP_TIMEOUT_S = 1
_MAX_HEADER_BYTES = 16_384
_MAX_BODY_BYTES = 4_096
_JSON = "application/json"

Query = dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Providers:
    """Callables that return the content of the admin server's pages.

    All return values that can be encoded as JSON, except ``metrics``.

    Attributes
    ----------
    metrics : callable
        Returns the metrics in the text exposition format.
    state : callable
        Returns the state of the node.
    spans : callable
        Takes the maximum number of spans and returns recent spans, newest first.
    explain : callable
        Takes host, path, method and caller; returns how such a call would be routed.
    """

    metrics: Callable[[], str]
    state: Callable[[], Any]
    spans: Callable[[int], Any]
    explain: Callable[[str, str, str, str], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    status: str
    content_type: str
    body: bytes


class _BadQuery(ValueError):
    pass


class _Server(cheroot.wsgi.Server):
    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log a message of cheroot, in place of its write to standard error."""
        logger.log(level, "admin server: %s", msg, exc_info=traceback)


class AdminServer:
    """Serves ``/metrics``, ``/state``, ``/spans`` and ``/explain``."""

    def __init__(self, address: tuple[str, int], providers: Providers) -> None:
        self._handlers_by_path: dict[str, Callable[[Query], _Response]] = {
            "/metrics": lambda query: _Response(
                "200 OK", metrics.CONTENT_TYPE, providers.metrics().encode()
            ),
            "/state": lambda query: _json_response(providers.state()),
            "/spans": lambda query: _json_response(
                providers.spans(_parse_limit(query))
            ),
            "/explain": lambda query: _json_response(
                providers.explain(
                    query.get("host", ""),
                    _required_parameter(query, "path"),
                    query.get("method", "GET").upper(),
                    query.get("caller", ""),
                )
            ),
        }
        self._server = _Server(
            address,
            self._serve_request,
            numthreads=_MIN_THREADS,
            max=_MAX_THREADS,
            request_queue_size=_MAX_QUEUED_REQUESTS,
            timeout=_TIMEOUT_S,
            shutdown_timeout=_STOP_TIMEOUT_S,
        )
        self._server.max_request_header_size = _MAX_HEADER_BYTES
        self._server.max_request_body_size = _MAX_BODY_BYTES
        self._thread = threading.Thread(
            target=self._server.serve, name="admin", daemon=True
        )

    @property
    def address(self) -> tuple[str, int]:
        """Return the bound address, with the assigned port if port 0 was given."""
        host, port = self._server.bind_addr[:2]
        return host, port

    def start(self) -> None:
        """Bind the port and start the thread that serves it."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop the server and wait for its thread."""
        self._server.stop()
        self._thread.join(2 * _STOP_TIMEOUT_S)

    def _serve_request(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        response = self._handle(environ)
        fields = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            ("Cache-Control", "no-store"),
        ]
        if response.status.startswith("405"):
            fields.append(("Allow", "GET, HEAD"))
        start_response(response.status, fields)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [response.body]

    def _handle(self, environ: dict[str, Any]) -> _Response:
        if environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
            return _error_response("405 Method Not Allowed", "this server is read-only")
        handler = self._handlers_by_path.get(environ["PATH_INFO"])
        if handler is None:
            paths = ", ".join(self._handlers_by_path)
            return _error_response("404 Not Found", f"expected one of {paths}")
        try:
            return handler(_parse_query(environ.get("QUERY_STRING", "")))
        except _BadQuery as error:
            return _error_response("400 Bad Request", str(error))
        except Exception:
            logger.exception("admin request for %s failed", environ["PATH_INFO"])
            return _error_response(
                "500 Internal Server Error", "see the log of the node"
            )


def _parse_query(text: str) -> Query:
    try:
        return dict(
            urllib.parse.parse_qsl(text, keep_blank_values=True, errors="strict")
        )
    except ValueError as error:
        raise _BadQuery(str(error)) from error


def _required_parameter(query: Query, name: str) -> str:
    if not query.get(name):
        raise _BadQuery(f"expected the parameter {name}")
    return query[name]


def _parse_limit(query: Query) -> int:
    text = query.get("limit", str(MAX_SPANS_RETURNED))
    if not (text.isascii() and text.isdecimal()):
        raise _BadQuery(f"expected an integer as limit; found {text!r}")
    return min(int(text), MAX_SPANS_RETURNED)


def _json_response(value: Any) -> _Response:
    body = json.dumps(_replace_non_finite(value), indent=1, allow_nan=False) + "\n"
    return _Response("200 OK", _JSON, body.encode())


def _replace_non_finite(value: Any) -> Any:
    """Replace infinity and NaN by null, because JSON has neither."""
    if isinstance(value, dict):
        return {key: _replace_non_finite(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_replace_non_finite(item) for item in value]
    if isinstance(value, float) and not math.isfinite(value):
        return None
    return value


def _error_response(status: str, text: str) -> _Response:
    return _Response(status, _JSON, json.dumps({"error": text}).encode() + b"\n")
