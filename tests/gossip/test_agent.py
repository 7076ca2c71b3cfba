from __future__ import annotations

import dataclasses
import pathlib
import random
import time
from collections.abc import Callable, Iterator

import pytest
import zmq.auth

from bench import platform as platform_server
from snipelink import model
from snipelink.config import store
from snipelink.generated import settings as generated
from snipelink.gossip import agent, exchange
from snipelink.objects import documents
from tests.config import sets

TIMEOUT_S = 30.0


@dataclasses.dataclass(slots=True)
class Fleet:
    """Agents, the platform that they read, and the load reports that they received."""

    platform: platform_server.Platform
    agents: list[agent.Agent]
    received_loads: dict[str, model.LoadReport]

    def publish(self, revision: int, servers: int) -> None:
        manifest, documents_by_key = sets.rendered(revision, servers)
        self.platform.publish({documents.MANIFEST_KEY: manifest} | documents_by_key)

    def revisions(self) -> set[int]:
        return {node_agent.store.revision() for node_agent in self.agents}


def _wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "condition did not hold in time"
        time.sleep(0.05)


def _settings(index: int, ports: list[int], key: str, url: str) -> generated.Settings:
    return generated.Settings(
        node=f"n{index}",
        failure_domain="abc"[index % 3],
        region="r",
        caller_listen="127.0.0.1:1",
        call_listen="127.0.0.1:1",
        endpoint="127.0.0.1:1",
        platform_urls=[url],
        service="rota",
        control_listen=f"127.0.0.1:{ports[index]}",
        control_key_files=[key],
        control_seeds=[f"127.0.0.1:{port}" for port in ports],
    )


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    platform = platform_server.Platform().start()
    key = zmq.auth.create_certificates(tmp_path, "key")[1]
    ports = _free_ports(5)
    received_loads: dict[str, model.LoadReport] = {}
    agents = []
    for index in range(5):
        settings = _settings(index, ports, key, platform.url)
        rng = random.Random(index)
        hooks = exchange.Hooks(
            load=lambda: model.LoadReport(1, 2, 3),
            on_load=lambda name, load, age: received_loads.__setitem__(name, load),
        )
        agents.append(
            agent.Agent(
                settings,
                store.Store(settings.service),
                agent.new_member_table(settings, rng),
                hooks,
                rng,
            )
        )
    yield Fleet(platform, agents, received_loads)
    for node_agent in agents:
        node_agent.stop()
    platform.stop()


def _free_ports(count: int) -> list[int]:
    with zmq.Context() as context, context.socket(zmq.ROUTER) as probe:
        ports = [probe.bind_to_random_port("tcp://127.0.0.1") for _ in range(count)]
    return ports


def test_agents_converge_over_real_sockets(fleet: Fleet) -> None:
    """Guards against components that fail when combined over real sockets."""
    fleet.publish(1, 2)
    for node_agent in fleet.agents:
        node_agent.start()
    _wait_until(lambda: fleet.revisions() == {1})
    _wait_until(
        lambda: all(
            node_agent.readiness(time.monotonic()).value == "ready"
            for node_agent in fleet.agents
        )
    )
    _wait_until(lambda: all(len(node_agent.table) == 5 for node_agent in fleet.agents))
    _wait_until(lambda: len(fleet.received_loads) == 5)
    fleet.publish(2, 3)
    _wait_until(lambda: fleet.revisions() == {2})
    fleet.agents[0].set_leaving()
    _wait_until(
        lambda: all(
            node_agent.table.is_leaving("n0", time.monotonic())
            for node_agent in fleet.agents
        )
    )
    counts = fleet.agents[1].counts()
    assert counts["members"] == 5
    assert counts["control-bytes"] > 0


def test_platform_down_at_the_start(fleet: Fleet) -> None:
    """Guards against a node that stops reading, or serves, before it has a set."""
    fleet.platform.set_mode(platform_server.Mode.DOWN)
    fleet.publish(1, 2)
    for node_agent in fleet.agents:
        node_agent.start()
    _wait_until(lambda: all(len(node_agent.table) == 5 for node_agent in fleet.agents))
    assert all(not node_agent.exchange.ready for node_agent in fleet.agents)
    fleet.platform.set_mode(platform_server.Mode.UP)
    _wait_until(lambda: fleet.revisions() == {1})


def test_stale_replica_does_not_revert(fleet: Fleet) -> None:
    """Guards against a revert by a replica that serves an old set."""
    fleet.publish(1, 2)
    fleet.platform.set_mode(platform_server.Mode.STALE, reader="n1")
    fleet.publish(2, 3)
    for node_agent in fleet.agents:
        node_agent.start()
    _wait_until(lambda: fleet.revisions() == {2})
    _wait_until(lambda: all(node_agent.exchange.ready for node_agent in fleet.agents))


def test_node_without_control_port_reads_the_platform(fleet: Fleet) -> None:
    """Guards against a node without peers that misses published sets."""
    ports = [1] * 5
    settings = _settings(0, ports, "", fleet.platform.url)
    settings.control_listen = None
    standalone = agent.Agent(
        settings,
        store.Store("rota"),
        agent.new_member_table(settings, random.Random(1)),
    )
    fleet.platform.set_instances([platform_server.Instance(f"m{i}") for i in range(9)])
    fleet.publish(1, 2)
    standalone.start()
    _wait_until(lambda: standalone.store.revision() == 1)
    _wait_until(lambda: standalone.readiness(time.monotonic()).value == "ready")
    _wait_until(lambda: len(standalone.table) == 10)
    fleet.publish(2, 2)
    _wait_until(lambda: standalone.store.revision() == 2)
    standalone.stop()
