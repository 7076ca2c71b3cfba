from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterator

import hypothesis
import hypothesis.strategies as st
import pytest

from snipelink.cli import inspect, tables
from snipelink.observe import admin, metrics, traces

Show = Callable[..., str]
STATE = {
    "node": "rota-1",
    "revision": 7,
    "leaving": False,
    "endpoints": {
        "rota-1": {"running": 3},
        "rota-2": {"running": 0, "note": "\x1b[2J"},
    },
}


@pytest.fixture
def address() -> Iterator[str]:
    registry = metrics.Metrics()
    registry.record_call("rota", 0.02)
    tracer = traces.Tracer("rota-1", random.Random(1), wall_clock=lambda: 1000.0)
    for number in range(3):
        span = tracer.start("", f"call-{number}", 1.0)
        span.add(traces.Step.RETRIED, 1.002, "rota-2", "overloaded")
        tracer.finish(span, 1.1)
    server = admin.AdminServer(
        ("127.0.0.1", 0),
        admin.Providers(
            metrics=registry.exposition,
            state=lambda: STATE,
            spans=tracer.recent,
            explain=lambda host, path, method, caller: {
                "request": f"{method} {host}{path} by {caller}"
            },
        ),
    )
    server.start()
    yield "{}:{}".format(*server.address)
    server.stop()


@pytest.fixture
def show(address: str, capsys: pytest.CaptureFixture[str]) -> Show:
    """Return a function that runs the program and returns its standard output."""

    def run(*arguments: str) -> str:
        assert inspect.main([address, *arguments]) == 0
        return capsys.readouterr().out

    return run


def test_state_is_a_table_without_control_characters(show: Show) -> None:
    """Guards against names whose control characters act on the operator's terminal."""
    assert show("state").splitlines() == [
        "node      rota-1",
        "revision  7",
        "leaving   no",
        "",
        "endpoints:",
        "          running  note",
        "  rota-1  3",
        "  rota-2  0        ?[2J",
    ]


def test_json_output_equals_the_state_of_the_node(show: Show) -> None:
    """Guards against rounded or renamed values in the input of scripts."""
    assert json.loads(show("state", "--json")) == STATE


def test_metrics_are_listed_by_series(show: Show) -> None:
    """Guards against parsing a label that contains a space as the value."""
    series = json.loads(show("metrics", "--json"))
    assert series['snipelink_call_duration_seconds_count{service="rota"}'] == 1
    assert "snipelink_call_duration_seconds_count" in show("metrics")


def test_spans_are_limited_and_show_their_steps(show: Show) -> None:
    """Guards against a retry that is shown without its cause."""
    head, *rows = show("spans", "--limit", "2").splitlines()
    assert "steps (ms)" in head
    assert len(rows) == 2
    assert all("0 accepted; 2 retried rota-2 overloaded" in row for row in rows)


def test_explain_sends_the_described_request(show: Show) -> None:
    """Guards against the explanation of a different request."""
    options = ["--method", "POST", "--host", "h", "--caller", "a&b"]
    explained = json.loads(show("explain", "/x?y", *options, "--json"))
    assert explained == {"request": "POST h/x?y by a&b"}


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["127.0.0.1:1"],
        ["localhost:1", "state"],
        ["127.0.0.1:1", "spans", "--limit", "x"],
        ["127.0.0.1:1", "explain", "shifts"],
        ["127.0.0.1:1", "state", "--timeout", "0"],
        ["127.0.0.1:1", "drain"],
    ],
)
def test_invalid_usage_exits_with_2(arguments: list[str]) -> None:
    """Guards against scripts that take a usage error for a failing node."""
    assert inspect.main(arguments) == 2


def test_unreachable_node_is_reported(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a traceback when a node is down."""
    assert inspect.main(["127.0.0.1:1", "state"]) == 1
    assert "no answer" in capsys.readouterr().err


def test_nested_tables_are_shown_as_sections() -> None:
    """Guards against a table that is shown in one cell of another table."""
    rows = [{"endpoint": "rota-1", "cost": 1.00012345}, {"endpoint": "rota-2"}]
    shown = tables.format_value({"services": {"rota": {"left": 4, "endpoints": rows}}})
    assert shown.splitlines() == [
        "services:",
        "  rota:",
        "    left  4",
        "",
        "    endpoints:",
        "      endpoint  cost",
        "      rota-1    1.0001",
        "      rota-2",
    ]


JSON = st.recursive(
    st.none() | st.booleans() | st.floats(allow_nan=False) | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner)
    ),
    max_leaves=12,
)


@hypothesis.given(JSON)
def test_any_value_can_be_shown(value: object) -> None:
    """Guards against an inspection that fails on a state it has not seen."""
    assert tables.format_value(value).replace("\n", "").isprintable()
