"""Shows the state of one node, read from its admin port; changes nothing.

Usage:
  snipelink-inspect ADDRESS state [--json] [--timeout S]
  snipelink-inspect ADDRESS metrics [--json] [--timeout S]
  snipelink-inspect ADDRESS spans [--limit N] [--json] [--timeout S]
  snipelink-inspect ADDRESS explain PATH [--method M] [--host H] [--caller C]
                    [--json] [--timeout S]
  snipelink-inspect (-h | --help)

Arguments:
  ADDRESS      Admin address of the node, IP:port.
  PATH         Path of the request to explain, such as /shifts/7.

Options:
  --method M   Method of the request [default: GET].
  --host H     Host of the request [default: ].
  --caller C   Name of the caller [default: ].
  --limit N    Maximum number of spans [default: 20].
  --json       Print JSON instead of tables.
  --timeout S  Timeout of the request, seconds [default: 5].
  -h --help    Show this text.

Exit codes: 0 if the node answered, 1 if it did not, 2 for invalid usage.
"""

from __future__ import annotations

import json
import sys
import urllib.parse
from typing import Any

import docopt
import result
import urllib3

from snipelink import addresses
from snipelink.cli import tables

MAX_ANSWER_BYTES = 64 << 20
ADMIN_PAGES = ("state", "metrics", "spans", "explain")


def main(argv: list[str]) -> int:
    """Run the program with the given arguments and return its exit code."""
    try:
        arguments = docopt.docopt(__doc__, argv)
    except docopt.DocoptExit as error:
        print(error, file=sys.stderr)
        return 2
    usage_error = _find_usage_error(arguments)
    if usage_error:
        print(usage_error, file=sys.stderr)
        return 2
    page = next(name for name in ADMIN_PAGES if arguments[name])
    fetched = _fetch(_build_url(page, arguments), float(arguments["--timeout"]))
    if isinstance(fetched, result.Err):
        print(fetched.err_value, file=sys.stderr)
        return 1
    print(_render(page, fetched.ok_value, arguments["--json"]))
    return 0


def run() -> None:
    """Run the program with the arguments of the process."""
    sys.exit(main(sys.argv[1:]))


def _find_usage_error(arguments: dict[str, Any]) -> str:
    parsed = addresses.parse(arguments["ADDRESS"])
    if isinstance(parsed, result.Err):
        return f"ADDRESS: {parsed.err_value}; found {arguments['ADDRESS']!r}"
    if arguments["PATH"] is not None and not arguments["PATH"].startswith("/"):
        return f"PATH: expected a path that starts with /; found {arguments['PATH']!r}"
    if not arguments["--limit"].isdecimal():
        return f"--limit: expected an integer; found {arguments['--limit']!r}"
    try:
        positive = 0 < float(arguments["--timeout"]) < float("inf")
    except ValueError:
        positive = False
    if not positive:
        return f"--timeout: expected seconds above 0; found {arguments['--timeout']!r}"
    return ""


def _build_url(page: str, arguments: dict[str, Any]) -> str:
    query: dict[str, str] = {}
    if page == "spans":
        query = {"limit": arguments["--limit"]}
    elif page == "explain":
        query = {
            "host": arguments["--host"],
            "path": arguments["PATH"],
            "method": arguments["--method"],
            "caller": arguments["--caller"],
        }
    return f"http://{arguments['ADDRESS']}/{page}?{urllib.parse.urlencode(query)}"


def _fetch(url: str, timeout_s: float) -> result.Result[str, str]:
    """Return the body of the node's answer, or an error text."""
    try:
        with urllib3.PoolManager(retries=False, timeout=timeout_s) as pool:
            response = pool.request("GET", url, redirect=False, preload_content=False)
            content = response.read(MAX_ANSWER_BYTES + 1)
            response.release_conn()
    except urllib3.exceptions.HTTPError as error:
        return result.Err(f"no answer from {url}: {error}")
    if len(content) > MAX_ANSWER_BYTES:
        return result.Err(f"answer of {url} is larger than {MAX_ANSWER_BYTES} bytes")
    text = content.decode(errors="replace")
    if response.status != 200:
        return result.Err(f"{url} answered {response.status}: {text.strip()}")
    return result.Ok(text)


def _render(page: str, text: str, as_json: bool) -> str:
    if page == "metrics":
        values: Any = _parse_metrics(text)
    else:
        values = json.loads(text)
    if as_json:
        return json.dumps(values, indent=1)
    if page == "spans":
        return tables.format_value([_flatten_span(span) for span in values])
    return tables.format_value(values)


def _parse_metrics(text: str) -> dict[str, float]:
    lines = (line for line in text.splitlines() if line and not line.startswith("#"))
    pairs = (line.rsplit(" ", 1) for line in lines)
    return {series: float(value) for series, value in pairs}


def _flatten_span(span: dict[str, Any]) -> dict[str, Any]:
    steps = []
    for event in span["events"]:
        details = " ".join(event[name] for name in ("endpoint", "cause") if event[name])
        steps.append(f"{event['at_ms']:g} {event['step']} {details}".rstrip())
    columns = ("start_unix_s", "duration_ms", "service", "operation", "error_kind")
    row = {name: span[name] for name in columns}
    return row | {"trace_id": span["trace_id"], "steps (ms)": "; ".join(steps)}


if __name__ == "__main__":
    run()
