from __future__ import annotations

import dataclasses

import hypothesis
import hypothesis.strategies as st

from snipelink.config import store
from snipelink.gossip import budget, codec, exchange
from snipelink.membership import member
from tests.gossip import fleet as fleets

WINDOW_LIMIT = budget.BYTES_PER_S * budget.WINDOW_S
# Time in which nodes find each other again: suspicions expire, and the peers of a node
# change with the epoch.
HEAL_S = 60.0


def _assert_bounded(fleet: fleets.Fleet) -> None:
    for node in fleet.nodes_by_name.values():
        assert (
            fleets.most_in_a_window(node.network_bytes_by_time, budget.WINDOW_S)
            <= WINDOW_LIMIT
        )
        assert len(node.table) <= 2 * len(fleet.nodes_by_name) + 10
        assert len(node.store.conflicting_revisions()) <= store.MAX_CONFLICTS
        assert len(node.exchange._contacts_by_name) <= exchange.MAX_CONTACTS + 16


def test_sets_and_members_reach_every_node() -> None:
    """Guards against nodes that never receive a set or the list of members."""
    fleet = fleets.Fleet(16, seed=1)
    fleet.publish()
    fleet.run(20.0)
    assert fleet.in_force() == {1}
    assert all(node.exchange.ready for node in fleet.nodes_by_name.values())
    member_counts = {len(node.table) for node in fleet.nodes_by_name.values()}
    assert member_counts == {16}
    fleet.publish(3)
    fleet.run(5.0)
    assert fleet.in_force() == {2}
    _assert_bounded(fleet)


def test_few_nodes_watch_the_platform() -> None:
    """Guards against a number of platform watches that grows with the fleet."""
    fleet = fleets.Fleet(30, seed=2)
    fleet.publish()
    fleet.run(30.0)
    watching = [
        node for node in fleet.nodes_by_name.values() if node.exchange.is_watching
    ]
    assert len(watching) == 9


def test_departure_is_known_within_three_seconds() -> None:
    """Guards against new work for an endpoint that left more than 3 s ago."""
    fleet = fleets.Fleet(16, seed=3)
    fleet.publish()
    fleet.run(20.0)
    fleet.nodes_by_name["n5"].table.set_leaving(fleet.now)
    fleet.run(3.0)
    aware = [
        node.table.is_leaving("n5", fleet.now) for node in fleet.nodes_by_name.values()
    ]
    assert all(aware)


def test_nodes_get_new_sets_while_watchers_are_paused() -> None:
    """Guards against a failure domain that gets new sets only from its watchers."""
    fleet = fleets.Fleet(18, seed=4)
    fleet.publish()
    fleet.run(20.0)
    domain = [node for node in fleet.nodes_by_name.values() if node.domain == "d0"]
    for node in domain:
        node.paused = node.exchange.is_watching
    fleet.publish(3)
    fleet.run(5.0)
    running = [node for node in fleet.nodes_by_name.values() if not node.paused]
    assert {node.store.revision() for node in running} == {2}
    for node in domain:
        node.paused = False
    fleet.run(10.0)
    assert fleet.in_force() == {2}
    _assert_bounded(fleet)


def test_confirmation_age_grows_while_the_platform_is_unreachable() -> None:
    """Guards against confirmations that appear newer while they circulate."""
    fleet = fleets.Fleet(9, seed=5)
    fleet.publish()
    fleet.run(20.0)
    fleet.published.reachable = False
    fleet.run(15.0)
    ages = [
        fleet.now - node.exchange.confirmed_at for node in fleet.nodes_by_name.values()
    ]
    assert min(ages) >= 14.0


def test_restarted_node_learns_from_peers() -> None:
    """Guards against a restarted node that serves an old set or never serves."""
    fleet = fleets.Fleet(12, seed=6)
    for servers in (1, 2, 3):
        fleet.publish(servers)
    fleet.run(20.0)
    fleet.published.reachable = False
    before = fleet.nodes_by_name["n4"].table.own.incarnation
    node = fleet.start("n4", "d1")
    assert not node.exchange.ready
    fleet.run(10.0)
    assert node.store.revision() == 3
    assert node.exchange.ready
    others = [node.table.get("n4") for node in fleet.nodes_by_name.values()]
    assert all(m is not None and m.incarnation > before for m in others)


def test_node_without_sources_stays_not_ready() -> None:
    """Guards against serving after a restart without the platform or any peer."""
    fleet = fleets.Fleet(9, seed=7)
    fleet.publish()
    fleet.run(20.0)
    fleet.published.reachable = False
    fleet.sides_by_name = {"n4": 1}
    node = fleet.start("n4", "d1")
    fleet.run(60.0)
    assert not node.exchange.ready
    assert node.store.in_force() is None


def test_conflicting_sets_are_refused_by_all() -> None:
    """Guards against two sets under one revision in different parts of the fleet."""
    fleet = fleets.Fleet(12, seed=8)
    fleet.publish()
    fleet.run(20.0)
    fleet.publish(2)
    left, right = fleet.nodes_by_name["n0"], fleet.nodes_by_name["n1"]
    for node, servers in ((left, 2), (right, 3)):
        manifest, _ = fleets.sets.rendered(2, servers)
        digest = node.store.start_assembly(manifest).unwrap().set_digest
        for other in fleet.nodes_by_name.values():
            other.store.record_claim(2, digest, fleets.PLATFORM, fleet.now)
    fleet.run(10.0)
    assert fleet.in_force() == {1}
    assert all(
        node.store.conflicting_revisions() == (2,)
        for node in fleet.nodes_by_name.values()
    )
    fleet.publish(3)
    fleet.run(10.0)
    assert fleet.in_force() == {3}


def test_crash_suspects_reach_every_node_once() -> None:
    """Guards against a crash suspect that does not reach each node exactly once."""
    fleet = fleets.Fleet(12, seed=9)
    fleet.publish()
    fleet.run(15.0)
    fleet.nodes_by_name["n3"].crash_suspects.append(b"record")
    fleet.run(12.0)
    received_records = [node.crash_suspects for node in fleet.nodes_by_name.values()]
    assert received_records == [[b"record"]] * 12


def test_messages_of_a_newer_version_are_accepted() -> None:
    """Guards against a node that refuses messages of a newer version."""
    fleet = fleets.Fleet(9, seed=10)
    transmit = fleet.transmit

    def transmit_newer_version(sender: str, receiver: str, frame: bytes) -> bool:
        if sender in ("n0", "n4", "n8"):
            message = codec.decode(frame).unwrap()
            fields = codec._without_defaults(message) | {
                "version": 2,
                "later_field": [1, {}],
            }
            fields["news"]["later"] = "x"  # type: ignore[index]
            frame = codec._UNCOMPRESSED + codec._ENCODER.encode(fields)
        return transmit(sender, receiver, frame)

    fleet.transmit = transmit_newer_version  # type: ignore[method-assign]
    fleet.publish()
    fleet.run(20.0)
    assert fleet.in_force() == {1}
    for node in fleet.nodes_by_name.values():
        assert not [
            event for event in node.exchange.counts_by_event if "refused" in event
        ]


def test_malformed_frames_are_counted_and_ignored() -> None:
    """Guards against a malformed frame that stops the exchange or is accepted."""
    fleet = fleets.Fleet(3, seed=11)
    node = fleet.nodes_by_name["n0"]
    valid = codec.encode(node.exchange._new_message(0.0))
    frames = [
        b"",
        b"\x09",
        b"\x02garbage",
        valid[:-3],
        bytes(codec.MAX_FRAME_BYTES + 1),
    ]
    receiver = fleet.nodes_by_name["n1"]
    for frame in frames:
        receiver.exchange.receive(frame, exchange.Route("n0"), 0.0)
    counts = receiver.exchange.counts_by_event
    assert counts["refused-garbage"] == 4
    assert counts["refused-oversized"] == 1
    assert receiver.table.get("n0") is None


def test_traffic_stays_bounded_after_a_pause() -> None:
    """Guards against a traffic burst, and old ages taken for new, after a pause."""
    fleet = fleets.Fleet(12, seed=12)
    fleet.publish()
    fleet.run(20.0)
    node = fleet.nodes_by_name["n2"]
    node.paused = True
    fleet.run(30.0)
    node.paused = False
    fleet.step()
    assert node.exchange.resumed_at == fleet.now
    fleet.run(20.0)
    assert node.exchange.is_fresh(fleet.now)
    _assert_bounded(fleet)


def test_only_answers_to_requests_after_a_pause_count_as_fresh() -> None:
    """Guards against serving after a pause with information from before it."""
    fleet = fleets.Fleet(6, seed=13)
    fleet.publish()
    fleet.run(20.0)
    fleet.published.reachable = False
    node = fleet.nodes_by_name["n2"]
    node.paused = True
    fleet.run(10.0)
    assert node.inbox
    assert not node.exchange.is_fresh(fleet.now, resumed_at=fleet.now)
    buffered, node.inbox = node.inbox, []
    node.exchange.tick(fleet.now)
    for frame, route in buffered:
        node.exchange.receive(frame, route, fleet.now)
    assert not node.exchange.is_fresh(fleet.now)
    node.paused = False
    fleet.run(1.0)
    assert node.exchange.is_fresh(fleet.now)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Fault or change, and the time until the next one."""

    kind: str
    node: int
    seconds: float


EVENTS = st.builds(
    Event,
    kind=st.sampled_from(
        ["publish", "pause", "wake", "restart", "cut", "heal", "loss", "leave", "down"]
    ),
    node=st.integers(0, 8),
    seconds=st.sampled_from([0.3, 1.0, 3.0]),
)


def _apply(fleet: fleets.Fleet, event: Event) -> None:
    node = fleet.nodes_by_name[f"n{event.node}"]
    if event.kind == "publish":
        fleet.publish(1 + event.node % 3)
    elif event.kind in ("pause", "wake"):
        node.paused = event.kind == "pause"
    elif event.kind == "restart":
        fleet.start(node.name, node.domain)
    elif event.kind == "cut":
        fleet.sides_by_name = {f"n{i}": int(i <= event.node) for i in range(9)}
    elif event.kind == "heal":
        fleet.sides_by_name = {}
    elif event.kind == "loss":
        fleet.loss, fleet.longest_delay_s = 0.3, 1.0
    elif event.kind == "leave":
        node.table.set_leaving(fleet.now)
    else:
        fleet.published.reachable = False


@hypothesis.settings(derandomize=True, deadline=None, max_examples=25)
@hypothesis.given(st.lists(EVENTS, max_size=10), st.integers(0, 1000))
def test_converges_once_links_heal(events: list[Event], seed: int) -> None:
    """Guards against reverts, lost news and unbounded traffic under any faults."""
    fleet = fleets.Fleet(9, seed)
    fleet.publish()
    for event in events:
        _apply(fleet, event)
        fleet.run(event.seconds)
    fleet.sides_by_name, fleet.loss, fleet.longest_delay_s = {}, 0.0, 0.05
    fleet.published.reachable = True
    for node in fleet.nodes_by_name.values():
        node.paused = False
    fleet.run(HEAL_S)
    assert fleet.in_force() == {fleet.published.revision}
    _assert_bounded(fleet)
    for node in fleet.nodes_by_name.values():
        leaving = node.table.own.state is member.State.LEAVING
        seen = [
            o.table.is_leaving(node.name, fleet.now)
            for o in fleet.nodes_by_name.values()
        ]
        assert seen == [leaving] * len(seen)
