from __future__ import annotations

import random
import threading
from collections.abc import Iterator

import pytest

from bench import platform as stand_in
from snipelink.config import platform_client

Fixture = tuple[stand_in.Platform, platform_client.PlatformClient]


class _Meter:
    def __init__(self, byte_count: int) -> None:
        self.remaining = byte_count

    def try_spend(self, byte_count: int, now: float) -> bool:
        if byte_count > self.remaining:
            return False
        self.remaining -= byte_count
        return True


@pytest.fixture
def running() -> Iterator[Fixture]:
    platform = stand_in.Platform().start()
    client = _client(platform, 10_000_000)
    yield platform, client
    client.close()
    platform.stop()


def _client(
    platform: stand_in.Platform, byte_count: int
) -> platform_client.PlatformClient:
    return platform_client.PlatformClient(
        "n1", [platform.url], 1.0, _Meter(byte_count), random.Random(1)
    )


def test_reads_values_and_revisions(running: Fixture) -> None:
    """Guards against damaged content, with and without compression."""
    platform, client = running
    big = random.Random(1).randbytes(300_000) + b"0" * 300_000
    platform.publish({"small": b"1", "service/x@1": big})
    assert client.read("small").unwrap().content == b"1"
    reading = client.read("service/x@1").unwrap()
    assert (reading.content, reading.revision) == (big, 1)
    assert client.read("none").unwrap_err() is platform_client.ReadFailure.ABSENT


def test_watch(running: Fixture) -> None:
    """Guards against a watch that misses a change or fails when there is none."""
    platform, client = running
    platform.publish({"a": b"1"})
    assert client.watch("a", 1, 0.05).unwrap() is None
    threading.Timer(0.1, platform.publish, ({"a": b"2"},)).start()
    reading = client.watch("a", 1, 5.0).unwrap()
    assert reading is not None
    assert (reading.content, reading.revision) == (b"2", 2)


def test_instances(running: Fixture) -> None:
    """Guards against a list that is read without its states."""
    platform, client = running
    assert client.instances().unwrap().instances == []
    platform.set_instances(
        [stand_in.Instance("n1"), stand_in.Instance("n2", "leaving")]
    )
    listed = client.instances().unwrap()
    assert [(i.name, i.state) for i in listed.instances] == [
        ("n1", "live"),
        ("n2", "leaving"),
    ]


@pytest.mark.parametrize(
    ("mode", "failure"),
    [(stand_in.Mode.DOWN, "unreachable"), (stand_in.Mode.SLOW, "unreachable")],
)
def test_failures(running: Fixture, mode: stand_in.Mode, failure: str) -> None:
    """Guards against exceptions when the platform is down or too slow."""
    platform, client = running
    platform.publish({"a": b"1"})
    platform.set_mode(mode, delay_s=1.5)
    assert client.read("a").unwrap_err().value == failure
    platform.set_mode(stand_in.Mode.UP)
    assert client.read("a").is_ok()


def test_limited(running: Fixture) -> None:
    """Guards against taking a refusal by the rate limit for an absent value."""
    platform, client = running
    platform.reads_per_s = 0
    assert client.read("a").unwrap_err() is platform_client.ReadFailure.LIMITED


def test_compressed_value_beyond_the_limit_is_refused(running: Fixture) -> None:
    """Guards against memory exhaustion by a value that inflates without bound."""
    platform, client = running
    platform.publish({"a": b"0" * 900_000})
    assert client.read("a", 10_000).unwrap_err() is platform_client.ReadFailure.INVALID


def test_budget_stops_a_read() -> None:
    """Guards against reads that are not charged to the byte budget."""
    platform = stand_in.Platform().start()
    platform.publish({"a": random.Random(1).randbytes(100_000)})
    client = _client(platform, 30_000)
    threading.Timer(0.3, client.close).start()
    assert client.read("a").unwrap_err() is platform_client.ReadFailure.BUDGET
    platform.stop()
