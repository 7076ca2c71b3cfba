from __future__ import annotations

import json
import threading
from collections.abc import Iterator

import pytest
import urllib3

from bench import platform as fake_platform


@pytest.fixture
def platform() -> Iterator[fake_platform.Platform]:
    running = fake_platform.Platform(reads_per_s=5).start()
    yield running
    running.stop()


def _get(
    platform: fake_platform.Platform, path: str, reader: str = "r"
) -> urllib3.BaseHTTPResponse:
    with urllib3.PoolManager(retries=False, timeout=5) as pool:
        headers = {"User-Agent": f"snipelink/{reader}"}
        return pool.request("GET", platform.url + path, headers=headers)


def _post(platform: fake_platform.Platform, path: str, fields: object) -> None:
    with urllib3.PoolManager(retries=False, timeout=5) as pool:
        assert pool.request("POST", platform.url + path, json=fields).status == 200


def test_value_has_its_revision(platform: fake_platform.Platform) -> None:
    """Guards against answers that don't contain the revision of the value."""
    platform.publish({"a": b"0"})
    platform.publish({"a": b"1", "service/x@1": b"2"})
    assert _get(platform, "/v1/keys/a").headers["X-Revision"] == "2"
    assert _get(platform, "/v1/keys/service%2Fx%401").data == b"2"
    assert _get(platform, "/v1/keys/b").status == 404


def test_watch_returns_the_next_revision(platform: fake_platform.Platform) -> None:
    """Guards against a watch that misses a change or answers with a stale value."""
    platform.publish({"a": b"0"})
    timer = threading.Timer(0.1, platform.publish, ({"a": b"1"},))
    timer.start()
    answer = _get(platform, "/v1/keys/a?watch=1&after=1&timeout=4")
    assert (answer.status, answer.data) == (200, b"1")
    assert _get(platform, "/v1/keys/a?watch=1&after=2&timeout=0").status == 304
    assert sum(platform.reads_by_second().values()) == 2


def test_reads_beyond_the_limit_are_refused(platform: fake_platform.Platform) -> None:
    """Guards against a fake platform that accepts more reads than the real one."""
    admitted = [platform.admit("r", 7.0) for _ in range(7)]
    assert admitted == [True] * 5 + [False] * 2
    assert platform.refused_reads() == 2
    assert platform.admit("r", 8.0)


def test_limit_answers_429() -> None:
    """Guards against a rate limit that a reader can't distinguish from a failure."""
    platform = fake_platform.Platform(reads_per_s=0).start()
    assert _get(platform, "/v1/keys/a").status == 429
    platform.stop()


def test_modes_apply_to_one_reader_or_all(platform: fake_platform.Platform) -> None:
    """Guards against a mode that affects readers for which it wasn't set."""
    platform.publish({"a": b"0"})
    platform.set_mode(fake_platform.Mode.STALE, reader="old")
    platform.publish({"a": b"1"})
    assert _get(platform, "/v1/keys/a", "old").data == b"0"
    assert _get(platform, "/v1/keys/a", "new").data == b"1"
    _post(platform, "/control/mode", {"mode": "down"})
    with pytest.raises(urllib3.exceptions.HTTPError):
        _get(platform, "/v1/keys/a", "old")
    _post(platform, "/control/mode", {"mode": "up"})
    assert _get(platform, "/v1/keys/a", "old").data == b"1"


def test_flapping_starts_down(platform: fake_platform.Platform) -> None:
    """Guards against a mode FLAPPING in which the platform is never down."""
    platform.set_mode(fake_platform.Mode.FLAPPING, period_s=1000)
    with pytest.raises(urllib3.exceptions.HTTPError):
        _get(platform, "/v1/keys/a")


def test_instance_list_lags(platform: fake_platform.Platform) -> None:
    """Guards against an instance list that changes without the configured delay."""
    platform.set_instances([fake_platform.Instance("a")])
    instance_list = json.loads(_get(platform, "/v1/instances").data)
    assert instance_list["instances"] == [{"name": "a", "state": "live", "since": 0.0}]
    platform.list_lag_s = 1000.0
    platform.set_instances([])
    assert json.loads(_get(platform, "/v1/instances").data) == instance_list
