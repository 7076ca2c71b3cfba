from __future__ import annotations

import random

import pytest

from snipelink.config import source, store
from snipelink.generated import messages
from snipelink.gossip import fetch
from snipelink.membership import member
from tests.config import sets

PEERS = {n: member.Member(n, control_address=n) for n in ("good", "bad")}


def _stores() -> tuple[store.Store, store.Store]:
    """Return a store with revision 2 in force and one that only knows of it."""
    holder, target = store.Store("rota"), store.Store("rota")
    origin = source.platform("x")
    for revision in (1, 2):
        holder.offer(*sets.rendered(revision, revision), origin, 0.0)
    target.offer(*sets.rendered(1, 1), origin, 0.0)
    accepted = holder.in_force()
    assert accepted is not None
    target.learn(2, accepted.digest, source.peer("good"), 0.0)
    return holder, target


def _damage(chunk: messages.Chunk, how: str) -> messages.Chunk:
    if how == "absent":
        return messages.Chunk(chunk.key, -1, b"")
    if how == "content":
        return messages.Chunk(chunk.key, chunk.total, chunk.data[::-1], chunk.base)
    if how == "base":
        return messages.Chunk(chunk.key, chunk.total, chunk.data, "other@0")
    return messages.Chunk(chunk.key, 10**9, chunk.data, chunk.base)


@pytest.mark.parametrize("how", ["absent", "content", "base", "length"])
def test_wrong_supplier_is_left_for_another(how: str) -> None:
    """Guards against a wrong peer that keeps a node from a newer set."""
    holder, target = _stores()
    collecting = fetch.Fetch(target, random.Random(3))
    for step in range(40):
        request = collecting.next_request(PEERS, {}, step * 0.1)
        if request is None:
            break
        chunk = fetch.answer(holder, request.pull)
        if request.peer.name == "bad":
            chunk = _damage(chunk, how)
        collecting.receive(request.peer.name, chunk, step * 0.1)
    assert target.revision() == 2


def test_unasked_chunk_is_refused() -> None:
    """Guards against documents that a node did not ask for."""
    holder, target = _stores()
    collecting = fetch.Fetch(target, random.Random(1))
    request = collecting.next_request(PEERS, {}, 0.0)
    assert request is not None
    chunk = fetch.answer(holder, request.pull)
    assert not collecting.receive("stranger", chunk, 0.1)
    assert collecting.refused_chunks == 1


def test_silent_peer_is_not_waited_for() -> None:
    """Guards against a paused peer that holds up a newer set."""
    _, target = _stores()
    collecting = fetch.Fetch(target, random.Random(1))
    first = collecting.next_request(PEERS, {}, 0.0)
    assert collecting.next_request(PEERS, {}, 0.1) is None
    second = collecting.next_request(PEERS, {}, fetch.ANSWER_TIMEOUT_S)
    assert first is not None
    assert second is not None
    assert {first.peer.name, second.peer.name} == {"good", "bad"}
    assert collecting.next_request(PEERS, {}, 2 * fetch.ANSWER_TIMEOUT_S) is None
    assert collecting.needs_platform()


def test_set_without_supplier_is_given_up() -> None:
    """Guards against endless requests for a revision that nobody has."""
    _, target = _stores()
    claim = target.claim()
    collecting = fetch.Fetch(target, random.Random(1))
    collecting.next_request({}, {}, 0.0)
    collecting.next_request({}, {}, fetch.CLAIM_DROP_S + 1)
    assert target.claim().revision == 1
    assert collecting.avoids(claim.digest, fetch.CLAIM_DROP_S + 2)
