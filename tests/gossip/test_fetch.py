from __future__ import annotations

import random

import pytest

from snipelink.config import source, store
from snipelink.generated import messages
from snipelink.gossip import fetch
from snipelink.membership import member
from tests.config import sets

PEERS = {name: member.Member(name, control_address=name) for name in ("good", "bad")}


def _stores() -> tuple[store.Store, store.Store]:
    """Return a store with revision 2 in force, and one with 1 that has claimed 2."""
    holder, receiver = store.Store("rota"), store.Store("rota")
    origin = source.platform("x")
    for revision in (1, 2):
        holder.offer(*sets.rendered(revision, revision), origin, 0.0)
    receiver.offer(*sets.rendered(1, 1), origin, 0.0)
    accepted = holder.in_force()
    assert accepted is not None
    receiver.record_claim(2, accepted.digest, source.peer("good"), 0.0)
    return holder, receiver


def _damage(chunk: messages.Chunk, fault: str) -> messages.Chunk:
    if fault == "absent":
        return messages.Chunk(chunk.key, -1, b"")
    if fault == "content":
        return messages.Chunk(chunk.key, chunk.total, chunk.data[::-1], chunk.base)
    if fault == "base":
        return messages.Chunk(chunk.key, chunk.total, chunk.data, "other@0")
    return messages.Chunk(chunk.key, 10**9, chunk.data, chunk.base)


@pytest.mark.parametrize("fault", ["absent", "content", "base", "length"])
def test_faulty_supplier_is_replaced_by_another(fault: str) -> None:
    """Guards against a faulty peer that prevents the download of a newer set."""
    holder, receiver = _stores()
    fetcher = fetch.SetFetcher(receiver, random.Random(3))
    for step in range(40):
        request = fetcher.next_request(PEERS, {}, step * 0.1)
        if request is None:
            break
        chunk = fetch.make_chunk(holder, request.pull)
        if request.peer.name == "bad":
            chunk = _damage(chunk, fault)
        fetcher.receive(request.peer.name, chunk, step * 0.1)
    assert receiver.revision() == 2


def test_unrequested_chunk_is_refused() -> None:
    """Guards against accepting documents that a node did not request."""
    holder, receiver = _stores()
    fetcher = fetch.SetFetcher(receiver, random.Random(1))
    request = fetcher.next_request(PEERS, {}, 0.0)
    assert request is not None
    chunk = fetch.make_chunk(holder, request.pull)
    assert not fetcher.receive("stranger", chunk, 0.1)
    assert fetcher.refused_chunks == 1


def test_request_times_out_and_goes_to_another_peer() -> None:
    """Guards against a paused peer that delays the download of a newer set."""
    _, receiver = _stores()
    fetcher = fetch.SetFetcher(receiver, random.Random(1))
    first = fetcher.next_request(PEERS, {}, 0.0)
    assert fetcher.next_request(PEERS, {}, 0.1) is None
    second = fetcher.next_request(PEERS, {}, fetch.CHUNK_TIMEOUT_S)
    assert first is not None
    assert second is not None
    assert {first.peer.name, second.peer.name} == {"good", "bad"}
    assert fetcher.next_request(PEERS, {}, 2 * fetch.CHUNK_TIMEOUT_S) is None
    assert fetcher.needs_platform()


def test_set_without_supplier_is_abandoned() -> None:
    """Guards against endless requests for a revision that no peer has."""
    _, receiver = _stores()
    claim = receiver.claim()
    fetcher = fetch.SetFetcher(receiver, random.Random(1))
    fetcher.next_request({}, {}, 0.0)
    fetcher.next_request({}, {}, fetch.CLAIM_TIMEOUT_S + 1)
    assert receiver.claim().revision == 1
    assert fetcher.is_avoided(claim.digest, fetch.CLAIM_TIMEOUT_S + 2)
