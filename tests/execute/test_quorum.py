from __future__ import annotations

import contextlib

import hypothesis
import hypothesis.strategies as st

from snipelink import model
from snipelink.execute import quorum
from tests.execute import scripted_nodes

UNREACHABLE = model.Endpoint("gone", "s", "d", "r", "127.0.0.1:1", "127.0.0.1:1")
OWN = model.Endpoint("caller", "s", "d", "r", "127.0.0.1:1", "127.0.0.1:1")


def query_majority(
    revisions: list[int], own_revision: int, unreachable: int
) -> tuple[bool, bool]:
    """Return `confirms_latest` and `majority_has_reached` for revision 5."""
    with contextlib.ExitStack() as stack:
        owners = [OWN] + [UNREACHABLE] * unreachable
        for index, revision in enumerate(revisions):
            handler = scripted_nodes.ScriptedHandler(f"owner-{index}", revision)
            owners.append(stack.enter_context(scripted_nodes.serving(handler)))
        owner_quorum = quorum.Quorum(
            "caller", scripted_nodes.make_forwarder(), lambda: own_revision
        )
        return owner_quorum.confirms_latest(
            owners, 5
        ), owner_quorum.majority_has_reached(owners, 5)


def test_majority_at_the_revision_confirms_it() -> None:
    """Guards against keyed calls that are refused while one owner is down."""
    assert query_majority([5, 4], own_revision=5, unreachable=1) == (False, False)
    assert query_majority([5, 5], own_revision=5, unreachable=1) == (True, True)


def test_one_owner_at_a_later_revision_prevents_confirmation() -> None:
    """Guards against an owner that keeps keys which a later set assigned elsewhere."""
    assert query_majority([5, 5, 6], own_revision=5, unreachable=0) == (False, True)


def test_minority_side_of_a_partition_confirms_nothing() -> None:
    """Guards against two sides of a partition that both accept a key."""
    assert query_majority([5], own_revision=5, unreachable=2) == (False, False)


@hypothesis.given(st.integers(1, 20), st.data())
@hypothesis.settings(derandomize=True, deadline=None)
def test_two_majorities_share_a_member(members: int, data: st.DataObject) -> None:
    """Guards against a rule under which two groups of owners could both agree."""
    names = st.sets(st.integers(0, members - 1))
    first, second = data.draw(names), data.draw(names)
    if quorum.is_majority(len(first), members) and quorum.is_majority(
        len(second), members
    ):
        assert first & second
