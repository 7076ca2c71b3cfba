from __future__ import annotations

import collections
import random

from snipelink.gossip import codec, dissemination, peers
from snipelink.membership import member

FLEET = [
    member.Member(
        f"n{i}",
        failure_domain=f"d{i % 11}",
        service=f"s{i % 40}",
        control_address=f"127.0.0.1:{i}",
    )
    for i in range(440)
]


def test_every_node_computes_the_same_watchers() -> None:
    """Guards against a choice of watchers that depends on the order of members."""
    shuffled = random.Random(1).sample(FLEET, len(FLEET))
    chosen = peers.choose_watchers(FLEET, "d3")
    assert chosen == peers.choose_watchers(shuffled, "d3")
    assert len(chosen) == peers.WATCHERS_PER_DOMAIN


def test_departure_of_a_watcher_replaces_only_that_one() -> None:
    """Guards against replacing all watchers when one of them leaves."""
    before = peers.choose_watchers(FLEET, "d3")
    remaining = [m for m in FLEET if m.name != before[0]]
    after = peers.choose_watchers(remaining, "d3")
    assert after[:2] == before[1:]


def test_peers_are_bounded_and_spread() -> None:
    """Guards against peers in a single failure domain, and nodes with many peers."""
    inbound: collections.Counter[str] = collections.Counter()
    for own in FLEET:
        chosen = peers.choose(own, FLEET, {"s1", "s2"}, 7)
        domains = {m.failure_domain for m in chosen.values()}
        assert own.name not in chosen
        assert len(chosen) == peers.MAX_PEERS
        assert len(domains) >= 4
        inbound.update(chosen.keys())
    others = [n for m in FLEET if m.service not in ("s1", "s2") for n in [m.name]]
    assert max(inbound[name] for name in others) <= 4 * peers.MAX_PEERS


def test_small_fleet_uses_all_nodes_as_peers() -> None:
    """Guards against isolated nodes in a small deployment."""
    small_fleet = FLEET[:4]
    assert len(peers.choose(small_fleet[0], small_fleet, (), 0)) == 3


def test_dissemination_queue_is_bounded() -> None:
    """Guards against records that are forwarded forever, and unbounded memory."""
    queue: dissemination.Queue[int] = dissemination.Queue(8, 10.0)
    assert all(queue.add(item, 2, 0.0) for item in range(20))
    assert len(queue) == 8
    assert sorted(queue.take_batch(99, 1.0)) == list(range(12, 20))
    assert not queue.add(19, 2, 1.0)
    queue.take_batch(99, 1.0)
    assert not queue.has_pending()
    assert queue.take_batch(99, 11.0) == []
    assert len(queue) == 0


def test_compressed_frame_has_a_bounded_size() -> None:
    """Guards against a small frame that decompresses without bound."""
    bomb = codec._COMPRESSED + codec.zlib.compress(bytes(10_000_000))
    assert len(bomb) < codec.MAX_FRAME_BYTES
    assert codec.decode(bomb).unwrap_err() is codec.RefusalReason.MALFORMED
