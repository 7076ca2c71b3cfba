from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
import pytest

from snipelink import model
from snipelink.config import source, store
from tests.config import sets

PLATFORM = source.platform("http://127.0.0.1")


def _offer(target: store.Store, revision: int, servers: int = 2) -> str:
    """Offer a set; return ``accepted`` or the reason of the refusal."""
    answer = target.offer(*sets.rendered(revision, servers), PLATFORM, 0.0)
    return "accepted" if answer.is_ok() else answer.unwrap_err().reason.value


def test_higher_revisions_are_accepted() -> None:
    """Guards against a newer set that is not put in force."""
    target = store.Store()
    assert [_offer(target, r) for r in (1, 2, 5, 5)] == ["accepted"] * 4
    assert target.revision() == 5


def test_older_set_does_not_replace_the_set_in_force() -> None:
    """Guards against a revert by a stale replica or a peer that is behind."""
    target = store.Store()
    _offer(target, 5)
    assert _offer(target, 4) == "older"
    assert target.revision() == 5


def test_set_with_damaged_documents_is_refused_as_a_whole() -> None:
    """Guards against accepting a part of a set, or documents with wrong digests."""
    target = store.Store()
    _offer(target, 1)
    manifest, documents = sets.rendered(2, 3)
    damaged = {key: content + b" " for key, content in documents.items()}
    answer = target.offer(manifest, damaged, PLATFORM, 0.0)
    assert answer.unwrap_err().reason is store.Reason.INVALID
    assert target.revision() == 1
    assert target.refused_by_reason["invalid"] == 1


def test_set_with_a_missing_document_is_refused() -> None:
    """Guards against a set that is put in force without one of its services."""
    target = store.Store()
    manifest, documents = sets.rendered(1)
    documents.pop(max(documents))
    answer = target.offer(manifest, documents, PLATFORM, 0.0)
    assert answer.unwrap_err().reason is store.Reason.INCOMPLETE
    assert target.in_force() is None


@pytest.mark.parametrize("content", [b"", b"{}", b"[", b"\xff" * 9, b'{"revision":1}'])
def test_garbage_manifest_is_refused(content: bytes) -> None:
    """Guards against an exception for a damaged manifest, and against accepting it."""
    answer = store.Store().offer(content, {}, PLATFORM, 0.0)
    assert answer.unwrap_err().reason is store.Reason.INVALID


def test_two_sets_under_one_revision_are_refused() -> None:
    """Guards against nodes that disagree about a revision without anyone noticing."""
    target = store.Store()
    _offer(target, 1)
    first, _ = sets.rendered(2, 2)
    digest = target.start_assembly(first).unwrap().set_digest
    target.record_claim(2, digest, source.peer("n"), 0.0)
    assert _offer(target, 2, 3) == "conflict"
    assert _offer(target, 2, 2) == "conflict"
    assert target.conflicting_revisions() == (2,)
    assert _offer(target, 3, 3) == "accepted"


def test_conflict_never_reverts_the_accepted_set() -> None:
    """Guards against a revert when a conflicting set arrives after acceptance."""
    target = store.Store()
    _offer(target, 2, 2)
    assert _offer(target, 2, 3) == "conflict"
    assert _offer(target, 2, 2) == "accepted"
    assert target.revision() == 2
    assert target.conflicting_revisions() == (2,)


def test_revision_with_a_conflict_reported_by_a_peer_is_refused() -> None:
    """Guards against some nodes accepting a conflicting revision that others refuse."""
    target = store.Store()
    target.record_conflict(2, source.peer("n"), 0.0)
    assert _offer(target, 2) == "conflict"


def test_unchanged_documents_are_reused() -> None:
    """Guards against reading all documents again after each change."""
    target = store.Store()
    _offer(target, 1, 2)
    manifest, documents = sets.rendered(2, 3)
    missing = target.start_assembly(manifest).unwrap().missing()
    assert len(missing) == 1
    assert missing[0].startswith("service/rota@")
    changed = {missing[0]: documents[missing[0]]}
    assert target.offer(manifest, changed, PLATFORM, 0.0).is_ok()


def test_reused_services_equal_newly_decoded_ones() -> None:
    """Guards against a set that mixes services of two revisions."""
    step_by_step, at_once = store.Store(), store.Store()
    for revision, servers in ((1, 2), (2, 3), (3, 1)):
        _offer(step_by_step, revision, servers)
    _offer(at_once, 3, 1)
    assert step_by_step.objects() == at_once.objects()


def test_only_used_services_are_needed() -> None:
    """Guards against a node that reads the documents of the whole fleet."""
    rules = (
        model.Rule("a", "archive", caller="rota"),
        model.Rule("b", "rota", caller="archive"),
    )
    manifest, documents = sets.rendered(1, 2, rules)
    target = store.Store("archive")
    assert target.offer(manifest, documents, PLATFORM, 0.0).is_ok()
    in_force = target.in_force()
    assert in_force is not None
    assert set(in_force.objects.services_by_name) == {"archive", "rota"}
    other = store.Store("rota")
    rules = (model.Rule("b", "rota", caller="archive"),)
    assert other.offer(*sets.rendered(1, 2, rules), PLATFORM, 0.0).is_ok()
    accepted = other.in_force()
    assert accepted is not None
    assert set(accepted.objects.services_by_name) == {"rota"}


def test_claim_that_no_source_supplies_can_be_dropped() -> None:
    """Guards against a faulty peer whose false claim hides later revisions for ever."""
    target = store.Store()
    _offer(target, 1)
    assert target.record_claim(900, "f" * 64, source.peer("n"), 0.0)
    assert not target.record_claim(2, "e" * 64, source.peer("m"), 0.0)
    target.drop_claim(900)
    assert target.record_claim(2, "e" * 64, source.peer("m"), 0.0)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    st.lists(st.tuples(st.integers(1, 6), st.integers(1, 3)), min_size=1, max_size=25)
)
def test_never_reverts(offers: list[tuple[int, int]]) -> None:
    """Guards against any order of offers that lowers or swaps the set in force."""
    target = store.Store()
    digests_by_revision: dict[int, str] = {}
    before = 0
    for revision, servers in offers:
        _offer(target, revision, servers)
        in_force = target.in_force()
        assert in_force is None or in_force.revision >= before
        if in_force is not None:
            before = in_force.revision
            known = digests_by_revision.setdefault(before, in_force.digest)
            assert known == in_force.digest
    assert len(target.conflicting_revisions()) <= store.MAX_CONFLICTS
