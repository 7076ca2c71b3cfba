from __future__ import annotations

import collections

import pytest

from snipelink.decide import subsetting
from snipelink.mesh import published_state

DOMAINS = "abc"


def _endpoints(count: int, service: str = "rota") -> list[published_state.Instance]:
    return [
        published_state.Instance(
            f"{service}-{index}",
            service,
            f"{service}.{index}",
            DOMAINS[index % len(DOMAINS)],
            False,
        )
        for index in range(count)
    ]


def _followed(
    host: str,
    domain: str,
    endpoints: list[published_state.Instance],
    silent: frozenset[str] = frozenset(),
) -> dict[str, bool]:
    chosen = subsetting.EndpointSubset(host)
    chosen.set_endpoints(endpoints, domain)
    return chosen.followed_hosts(silent.__contains__)


def test_small_fleet_is_followed_except_for_the_own_host() -> None:
    followed = _followed("rota.0", "a", _endpoints(9))
    assert set(followed) == {f"rota.{index}" for index in range(1, 9)}
    assert {host for host, near in followed.items() if near} == {"rota.3", "rota.6"}


@pytest.mark.parametrize("count", [60, 300, 3000])
def test_number_of_followed_hosts_does_not_grow_with_the_fleet(count: int) -> None:
    followed = _followed("x", "a", _endpoints(count) + _endpoints(count, "archive"))
    assert len(followed) == 2 * (subsetting.NEAR_HOST_COUNT + subsetting.FAR_HOST_COUNT)


def test_every_endpoint_has_a_similar_number_of_followers() -> None:
    endpoints = _endpoints(300)
    followers: collections.Counter[str] = collections.Counter()
    for endpoint in endpoints:
        followers.update(_followed(endpoint.host, endpoint.failure_domain, endpoints))
    expected = subsetting.NEAR_HOST_COUNT + subsetting.FAR_HOST_COUNT
    assert len(followers) == len(endpoints)
    assert min(followers.values()) > expected * 0.4
    assert max(followers.values()) < expected * 2.0


def test_silent_host_is_still_followed_and_another_is_added() -> None:
    endpoints = _endpoints(90)
    followed = _followed("x", "a", endpoints)
    silent = next(host for host, near in followed.items() if near)
    replaced = _followed("x", "a", endpoints, frozenset({silent}))
    assert set(followed) < set(replaced)
    assert len(replaced) == len(followed) + 1


def test_domain_without_endpoints_follows_more_far_hosts() -> None:
    endpoints = [e for e in _endpoints(300) if e.failure_domain != "a"]
    followed = _followed("x", "a", endpoints)
    assert len(followed) == subsetting.NEAR_HOST_COUNT
    assert not any(followed.values())


def test_endpoint_that_shuts_down_is_not_followed() -> None:
    leaving = published_state.Instance("i-1", "rota", "rota.1", "a", True)
    assert _followed("x", "a", [leaving]) == {}


def test_far_endpoints_of_summarized_services_are_not_followed() -> None:
    chosen = subsetting.EndpointSubset("x")
    endpoints = _endpoints(12) + _endpoints(12, "archive")
    chosen.set_endpoints(endpoints, "a", {"rota"})
    followed = chosen.followed_hosts(lambda _: False)
    far = {host for host, near in followed.items() if not near}
    assert sum(host.startswith("rota") for host in followed) == 4
    assert far == {f"archive.{i}" for i in range(12) if i % len(DOMAINS)}
