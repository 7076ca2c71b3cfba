from __future__ import annotations

import contextlib

import hypothesis
import hypothesis.strategies as st

from snipelink import model
from snipelink.execute import quorum
from tests.execute import scripted_nodes

GONE = model.Endpoint("gone", "s", "d", "r", "127.0.0.1:1", "127.0.0.1:1")
OWN = model.Endpoint("caller", "s", "d", "r", "127.0.0.1:1", "127.0.0.1:1")


def ask(revisions: list[int], own: int, gone: int) -> tuple[bool, bool]:
    """Return what a quorum at revision 5 says."""
    with contextlib.ExitStack() as stack:
        owners = [OWN] + [GONE] * gone
        for index, revision in enumerate(revisions):
            handler = scripted_nodes.ScriptedHandler(f"owner-{index}", revision)
            owners.append(stack.enter_context(scripted_nodes.serving(handler)))
        asked = quorum.Quorum("caller", scripted_nodes.make_forwarder(), lambda: own)
        return asked.majority_has_exactly(owners, 5), asked.majority_has_reached(
            owners, 5
        )


def test_majority_at_the_revision_agrees() -> None:
    """Guards against keyed calls that are refused while one owner is down."""
    assert ask([5, 4], own=5, gone=1) == (False, False)
    assert ask([5, 5], own=5, gone=1) == (True, True)


def test_later_revision_anywhere_disagrees() -> None:
    """Guards against an owner that holds keys which a later set gave to another."""
    assert ask([5, 5, 6], own=5, gone=0) == (False, True)


def test_minority_of_a_partition_disagrees() -> None:
    """Guards against two sides of a partition that both let a key start."""
    assert ask([5], own=5, gone=2) == (False, False)


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
