from __future__ import annotations

import dataclasses
import json
from typing import Any

import platform_documents
import pytest
import result
from hypothesis import given
from hypothesis import strategies as st

from bench.soak import store
from snipelink.decide import store_position
from snipelink.mesh import published_state

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


WRITTEN_AT = store_position.Position(2, 40)
NOW_MS = 1_700_000_100_000


def _decode_server(
    value: bytes, key: str = "servers/i-7"
) -> result.Result[published_state.Instance, str]:
    return platform_documents.decode_server(key, value, WRITTEN_AT, NOW_MS)


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


def test_configuration_is_decoded_into_routes_and_limits() -> None:
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
        _configuration(version="r-1"),
        _configuration(version="r" + "9" * 5000),
        _configuration(routes=[]),
        _configuration(services={"columns": []}),
        _configuration(limits=3),
        b"[" * 100_000,
        b'{"version": "r1", "routes": ' + b"[" * 100_000,
        _configuration().replace(b"1.2", b"NaN"),
    ],
)
def test_invalid_configuration_is_an_error(value: bytes) -> None:
    assert platform_documents.decode_configuration(value).is_err()


def _route_row(**changes: Any) -> list[Any]:
    row = ["r1", "ex.example", "/a/", "unsafe", 1.2, 0.5, 1, "a", 2, None]
    for name, value in changes.items():
        row[store.ROUTE_COLUMNS.index(name)] = value
    return row


OTHER_ROW = ["r2", "ex.example", "/b/", "safe", 1, 0.5, 2, None, 2, SPLIT]


def _decode_routes(*rows: list[Any], **more: Any) -> published_state.Configuration:
    columns = store.ROUTE_COLUMNS + list(more)
    rows_with_more = [row + list(more.values()) for row in rows]
    table = {"columns": columns, "rows": rows_with_more}
    value = _configuration(routes=table)
    return platform_documents.decode_configuration(value).unwrap()


def test_invalid_cold_rate_does_not_affect_the_rest_of_the_service() -> None:
    """Guards against losing a service's health path because its rate is invalid."""
    table = {
        "columns": ["name", "health_path", "cold_start_s", "cold_per_s"],
        "rows": [
            ["a", "/a", 3.0, 7.5],
            ["b", "/b", 3.0, 0],
            ["c", "/c", None, None],
            ["d", "/d", 3.0, "many"],
        ],
    }
    value = _configuration(services=table)
    decoded = platform_documents.decode_configuration(value).unwrap()
    assert decoded.cold_per_s_by_service == {"a": 7.5}
    assert set(decoded.health_paths_by_service) == {"a", "b", "c", "d"}
    assert len(decoded.problems) == 1


@pytest.mark.parametrize("route_type", ["safe", "download"])
def test_lookups_and_downloads_are_idempotent(route_type: str) -> None:
    decoded = _decode_routes(_route_row(route_type=route_type), OTHER_ROW)
    assert [route.idempotent for route in decoded.routes] == [True, True]


@pytest.mark.parametrize("route_type", ["unsafe", "upload", "", "Safe", "keyed"])
def test_routes_of_other_types_are_not_idempotent(route_type: str) -> None:
    decoded = _decode_routes(_route_row(route_type=route_type), OTHER_ROW)
    assert [route.idempotent for route in decoded.routes] == [False, True]
    assert decoded.problems == ()
    assert decoded.routes[0].problem == ""


@pytest.mark.parametrize(
    "changes",
    [
        {"route_type": 7},
        {"timeout_s": "long"},
        {"timeout_s": -1},
        {"timeout_s": None},
        {"target_latency_s": []},
        {"priority": 1.5},
        {"service": None},
        {"service": ""},
        {"max_attempts": {}},
        {"traffic_split": [{"service": "a", "weight": 0}]},
        {"traffic_split": [{"service": "a", "weight": 1e308}] * 2},
        {"traffic_split": "all"},
    ],
)
def test_invalid_route_does_not_affect_other_routes(changes: dict[str, Any]) -> None:
    decoded = _decode_routes(_route_row(**changes), OTHER_ROW)
    refused, other = decoded.routes
    assert refused.problem
    assert (refused.host, refused.prefix) == ("ex.example", "/a/")
    assert other.problem == ""
    assert len(decoded.problems) == 1


def test_route_without_a_host_is_left_out() -> None:
    decoded = _decode_routes(_route_row(host=None), OTHER_ROW)
    assert [route.name for route in decoded.routes] == ["r2"]
    assert len(decoded.problems) == 1


def test_row_that_is_not_utf8_is_left_out() -> None:
    value = _configuration().replace(b"ex.example", b"\xff\xfe")
    decoded = platform_documents.decode_configuration(value).unwrap()
    assert [route.name for route in decoded.routes] == ["r1"]
    assert len(decoded.problems) == 1


def test_row_with_too_few_values_is_left_out() -> None:
    decoded = _decode_routes(["r1", "ex.example"], OTHER_ROW)
    assert [route.name for route in decoded.routes] == ["r2"]
    assert len(decoded.problems) == 1


def test_unsupported_condition_invalidates_only_its_route() -> None:
    decoded = _decode_routes(_route_row(), OTHER_ROW, match_headers=None)
    assert decoded.problems == ()
    table = {
        "columns": store.ROUTE_COLUMNS + ["match_headers"],
        "rows": [_route_row() + [{"x": "1"}], OTHER_ROW + [None]],
    }
    value = _configuration(routes=table)
    decoded = platform_documents.decode_configuration(value).unwrap()
    assert [bool(route.problem) for route in decoded.routes] == [True, False]


def test_invalid_limits_are_replaced_by_their_defaults() -> None:
    value = _configuration(limits={"max_body_bytes": 1000, "idle_timeout_s": "x"})
    decoded = platform_documents.decode_configuration(value).unwrap()
    defaults = published_state.CallerLimits()
    assert decoded.limits == dataclasses.replace(defaults, max_body_bytes=1000)
    assert len(decoded.problems) == 3
    assert platform_documents.decode_configuration(_configuration(limits={})).is_ok()


anything = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.text()
    | st.floats(allow_nan=False, allow_infinity=False),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(
    column=st.sampled_from(store.ROUTE_COLUMNS) | st.text(max_size=12),
    value=anything,
)
def test_other_routes_go_on_whatever_one_route_says(column: str, value: Any) -> None:
    row = _route_row()
    if column in store.ROUTE_COLUMNS:
        row[store.ROUTE_COLUMNS.index(column)] = value
        decoded = _decode_routes(row, OTHER_ROW)
    else:
        table = {
            "columns": store.ROUTE_COLUMNS + [column],
            "rows": [row + [value], OTHER_ROW + [None]],
        }
        document = _configuration(routes=table)
        decoded = platform_documents.decode_configuration(document).unwrap()
    known = _decode_routes(_route_row(), OTHER_ROW).routes[1]
    assert decoded.routes[-1] == known


@given(field=st.text(max_size=12), value=anything)
def test_unknown_fields_change_nothing(field: str, value: Any) -> None:
    known = platform_documents.decode_configuration(_configuration()).unwrap()
    document = json.loads(_configuration())
    if field not in document:
        changed = json.dumps({**document, field: value}).encode()
        assert platform_documents.decode_configuration(changed).unwrap() == known
    server = _decode_server(json.dumps(SERVER).encode())
    if field not in SERVER:
        entry = json.dumps(SERVER | {field: value}).encode()
        assert _decode_server(entry) == server


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(value: bytes) -> None:
    platform_documents.decode_configuration(value)
    _decode_server(value)


def test_server_entry_is_decoded_into_an_instance() -> None:
    value = json.dumps(SERVER | {"state": "draining"}).encode()
    instance = _decode_server(value).unwrap()
    assert (instance.id, instance.host) == ("i-7", "10.128.0.9")
    assert instance.leaving
    assert instance.born_ms == 1700000000000
    assert instance.slots == SERVER["slots"]


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "asleep"},
        {"slots": "nine"},
        {"slots": 0},
        {"address": "nowhere"},
        {"service": None},
        {"service": ""},
        {"service": "s" * 300_000},
        {"zone": 3},
        {"zone": ""},
        {"zone": "z" * 300_000},
        {"version": None},
        {"version": 1},
        {"seq": None},
        {"seq": "4"},
        {"seq": True},
        {"seq": -1},
        {"cold_left_s": -1},
        {"cold_left_s": "0"},
        {"slots": 2**62},
        {"slots": 10**4000},
        {"address": "10.128.0.9:0"},
        {"address": "10.128.0.9:65536"},
        {"address": "10.128.0.9:-1"},
        {"address": "0.0.0.0:8080"},
        {"address": "224.0.0.1:8080"},
        {"address": "255.255.255.255:8080"},
        {"born": -1},
        {"born": 2**62},
        {"born": 2**64},
        {"born": 1.5},
        {"born": "1700000000000"},
        {"born": None},
    ],
)
def test_server_entry_with_an_invalid_field_is_an_error(
    changes: dict[str, Any],
) -> None:
    value = json.dumps(SERVER | changes).encode()
    assert _decode_server(value).is_err()


@pytest.mark.parametrize("field", sorted(SERVER.keys() - {"born"}))
def test_server_entry_without_a_required_field_is_an_error(field: str) -> None:
    """Guards against an entry of another writer that sends calls to a wrong service."""
    value = json.dumps({k: v for k, v in SERVER.items() if k != field}).encode()
    assert _decode_server(value).is_err()


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"null",
        b"[" * 200_000,
        b'{"service":' * 100_000,
        b"\xff\xfe",
        json.dumps([SERVER]).encode(),
        json.dumps(SERVER).encode()[:-1],
        json.dumps(SERVER).replace("1700000000000", "9" * 5000).encode(),
        json.dumps(SERVER).encode("utf-16"),
    ],
)
def test_entry_that_is_no_entry_is_an_error(value: bytes) -> None:
    """Guards against an entry of another writer that ends the process."""
    assert _decode_server(value).is_err()
    assert platform_documents.decode_configuration(value).is_err()


def test_entry_without_an_identity_is_an_error() -> None:
    assert _decode_server(json.dumps(SERVER).encode(), "servers/").is_err()


def test_server_that_started_after_a_step_of_the_clock_is_known() -> None:
    """Guards against refusing all new servers while the own clock is behind."""
    born = NOW_MS + 60_000
    entry = json.dumps(SERVER | {"born": born}).encode()
    assert _decode_server(entry).unwrap().born_ms == born


odd_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from([2**62, 2**64, -(2**63), 10**400, 0, "10.0.0.9:0", "ready"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)


@given(
    changes=st.dictionaries(st.sampled_from(sorted(SERVER)), odd_values),
    missing=st.sets(st.sampled_from(sorted(SERVER))),
)
def test_odd_entry_is_refused_or_names_one_server_of_sane_values(
    changes: dict[str, Any], missing: set[str]
) -> None:
    document = {k: v for k, v in (SERVER | changes).items() if k not in missing}
    decoded = _decode_server(json.dumps(document).encode())
    if decoded.is_err():
        return
    instance = decoded.unwrap()
    assert not missing - {"born"}
    assert (instance.id, instance.written_at) == ("i-7", WRITTEN_AT)
    assert 0 < len(instance.service) <= platform_documents.MAX_NAME_LENGTH
    assert 0 < len(instance.failure_domain) <= platform_documents.MAX_NAME_LENGTH
    assert 0 <= instance.born_ms <= NOW_MS + platform_documents.MAX_BORN_AHEAD_MS
