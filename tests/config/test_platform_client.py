from __future__ import annotations

import random
import threading
from collections.abc import Iterator

import pytest

from bench import platform as fake_platform
from snipelink.config import platform_client

PlatformAndClient = tuple[fake_platform.Platform, platform_client.PlatformClient]


class _ByteBudget:
    def __init__(self, byte_count: int) -> None:
        self.remaining = byte_count

    def try_spend(self, byte_count: int, now: float) -> bool:
        if byte_count > self.remaining:
            return False
        self.remaining -= byte_count
        return True


@pytest.fixture
def platform_and_client() -> Iterator[PlatformAndClient]:
    platform = fake_platform.Platform().start()
    client = _client(platform, 10_000_000)
    yield platform, client
    client.close()
    platform.stop()


def _client(
    platform: fake_platform.Platform, byte_count: int
) -> platform_client.PlatformClient:
    return platform_client.PlatformClient(
        "n1", [platform.url], 1.0, _ByteBudget(byte_count), random.Random(1)
    )


def test_read_returns_content_and_revision(
    platform_and_client: PlatformAndClient,
) -> None:
    """Guards against damaged content, with and without compression."""
    platform, client = platform_and_client
    big = random.Random(1).randbytes(300_000) + b"0" * 300_000
    platform.publish({"small": b"1", "service/x@1": big})
    assert client.read("small").unwrap().content == b"1"
    value = client.read("service/x@1").unwrap()
    assert (value.content, value.revision) == (big, 1)
    assert client.read("none").unwrap_err() is platform_client.ReadFailure.ABSENT


def test_watch_returns_a_newer_value_or_none(
    platform_and_client: PlatformAndClient,
) -> None:
    """Guards against a watch that misses a change, or fails if there is no change."""
    platform, client = platform_and_client
    platform.publish({"a": b"1"})
    assert client.watch("a", 1, 0.05).unwrap() is None
    threading.Timer(0.1, platform.publish, ({"a": b"2"},)).start()
    value = client.watch("a", 1, 5.0).unwrap()
    assert value is not None
    assert (value.content, value.revision) == (b"2", 2)


def test_instance_list_contains_states(platform_and_client: PlatformAndClient) -> None:
    """Guards against an instance list whose states are lost when it is decoded."""
    platform, client = platform_and_client
    assert client.instances().unwrap().instances == []
    platform.set_instances(
        [fake_platform.Instance("n1"), fake_platform.Instance("n2", "leaving")]
    )
    listed = client.instances().unwrap()
    assert [(i.name, i.state) for i in listed.instances] == [
        ("n1", "live"),
        ("n2", "leaving"),
    ]


@pytest.mark.parametrize(
    ("mode", "failure"),
    [
        (fake_platform.Mode.DOWN, "unreachable"),
        (fake_platform.Mode.SLOW, "unreachable"),
    ],
)
def test_unavailable_platform_is_reported_as_failure(
    platform_and_client: PlatformAndClient, mode: fake_platform.Mode, failure: str
) -> None:
    """Guards against an exception when the platform is down or too slow."""
    platform, client = platform_and_client
    platform.publish({"a": b"1"})
    platform.set_mode(mode, delay_s=1.5)
    assert client.read("a").unwrap_err().value == failure
    platform.set_mode(fake_platform.Mode.UP)
    assert client.read("a").is_ok()


def test_refusal_by_the_rate_limit_is_reported(
    platform_and_client: PlatformAndClient,
) -> None:
    """Guards against reporting a refusal by the rate limit as an absent value."""
    platform, client = platform_and_client
    platform.reads_per_s = 0
    assert client.read("a").unwrap_err() is platform_client.ReadFailure.RATE_LIMITED


def test_compressed_value_beyond_the_limit_is_refused(
    platform_and_client: PlatformAndClient,
) -> None:
    """Guards against memory exhaustion by a value that inflates without bound."""
    platform, client = platform_and_client
    platform.publish({"a": b"0" * 900_000})
    assert client.read("a", 10_000).unwrap_err() is platform_client.ReadFailure.INVALID


def test_read_stops_when_the_budget_is_exhausted() -> None:
    """Guards against reads that are not charged to the byte budget."""
    platform = fake_platform.Platform().start()
    platform.publish({"a": random.Random(1).randbytes(100_000)})
    client = _client(platform, 30_000)
    threading.Timer(0.3, client.close).start()
    assert client.read("a").unwrap_err() is platform_client.ReadFailure.BUDGET_EXHAUSTED
    platform.stop()
