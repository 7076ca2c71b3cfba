from __future__ import annotations

import dataclasses
import itertools
import random

import hypothesis
import hypothesis.strategies as st

from snipelink.membership import member, table

FIRST_INCARNATION = "1700000000000-00000001"
SECOND_INCARNATION = "1700000001000-00000001"
LEAVING, LIVE = member.State.LEAVING, member.State.LIVE
FIRST_START_UNIX_S = 1_700_000_000.0


def _table(
    name: str = "own", incarnation: str = FIRST_INCARNATION
) -> table.MemberTable:
    own = member.Member(name, incarnation, failure_domain="a")
    return table.MemberTable(own, 0.0, random.Random(1))


def _peer(incarnation: str = FIRST_INCARNATION, **fields: object) -> member.Member:
    return dataclasses.replace(
        member.Member("p", incarnation, failure_domain="b", control_address="x:1"),
        **fields,  # type: ignore[arg-type]
    )


def _suspicion(observer: str, domain: str, name: str = "p") -> member.Suspicion:
    return member.Suspicion(name, FIRST_INCARNATION, 0, observer, domain, 0.0)


def test_higher_incarnation_replaces_a_departure() -> None:
    """Guards against a restarted node that stays excluded by its earlier departure."""
    members = _table()
    members.merge([_peer(state=LEAVING)], 0.0)
    assert members.is_leaving("p", 0.0)
    members.merge([_peer(SECOND_INCARNATION)], 1.0)
    assert not members.is_leaving("p", 1.0)
    assert members.merge([_peer(state=LEAVING)], 2.0) == 0


def test_leaving_is_final_within_an_incarnation() -> None:
    """Guards against a leaving endpoint that receives work after a late report."""
    members = _table()
    members.merge([_peer(state=LEAVING)], 0.0)
    members.merge([_peer(version=7)], 1.0)
    assert members.is_leaving("p", 1.0)


def test_suspicions_from_one_domain_do_not_count() -> None:
    """Guards against one faulty link that excludes a healthy node everywhere."""
    members = _table()
    members.merge([_peer()], 0.0)
    for observer in ("x", "y", "z"):
        members.add_suspicion(_suspicion(observer, "c"), 1.0)
    assert members.state("p", 1.0) is LIVE
    members.add_suspicion(_suspicion("w", "d"), 1.0)
    assert members.state("p", 1.0) is member.State.SUSPECTED
    assert [m.name for m in members.usable(1.0)] == ["own"]


def test_suspicion_expires_and_is_cleared_by_contact() -> None:
    """Guards against a member that stays suspected after a contact or a timeout."""
    members = _table()
    members.merge([_peer()], 0.0)
    for observer, domain in (("x", "c"), ("y", "d")):
        members.add_suspicion(_suspicion(observer, domain), 1.0)
    assert not members.is_suspected("p", 1.0 + table.SUSPICION_TIMEOUT_S)
    members.merge_self_report(_peer(), 2.0)
    assert not members.is_suspected("p", 2.0)
    members.expire(1000.0)
    assert members.active_suspicions(1000.0) == []


def test_member_refutes_suspicion_of_itself() -> None:
    """Guards against a healthy node that stays suspected by other nodes."""
    members, other = _table(), _table("other")
    other.merge([members.own], 0.0)
    for observer_table in (members, other):
        observer_table.add_suspicion(_suspicion("x", "c", "own"), 1.0)
        observer_table.add_suspicion(_suspicion("y", "d", "own"), 1.0)
    assert other.is_suspected("own", 1.0)
    other.merge([members.own], 2.0)
    assert not other.is_suspected("own", 2.0)
    assert not other.add_suspicion(_suspicion("x", "c", "own"), 2.0)


def test_new_start_outranks_an_earlier_one() -> None:
    """Guards against a restart that is ignored because the node's clock went back."""
    members = _table("own", FIRST_INCARNATION)
    members.merge([member.Member("own", SECOND_INCARNATION, state=LEAVING)], 0.0)
    assert members.own.incarnation > SECOND_INCARNATION
    assert members.own.state is LIVE


def test_list_marks_departures_unless_it_is_outdated() -> None:
    """Guards against missed departures, and outdated entries that stop a new start."""
    members = _table()
    members.merge([_peer(SECOND_INCARNATION)], 0.0)
    old = table.ListedInstance("p", True, FIRST_START_UNIX_S - 10)
    assert members.merge_instance_list([old], 1, 1.0) == 0
    new = table.ListedInstance("p", True, FIRST_START_UNIX_S + 10)
    assert members.merge_instance_list([new], 2, 2.0) == 1
    assert members.is_leaving("p", 2.0)
    assert members.merge_instance_list([], 1, 3.0) == 0
    assert members.rejected_by_reason["old-list"] == 1


def test_unlisted_member_leaves_only_when_suspected() -> None:
    """Guards against a stale instance list that excludes live members."""
    members = _table()
    members.merge([_peer()], 0.0)
    members.merge_instance_list([table.ListedInstance("own", False)], 1, 1.0)
    assert [m.name for m in members.unlisted_members()] == ["p"]
    members.expire(table.REMOVAL_DELAY_S + 1)
    assert members.state("p", table.REMOVAL_DELAY_S + 1) is LIVE
    for observer, domain in (("x", "c"), ("y", "d")):
        members.add_suspicion(_suspicion(observer, domain), table.REMOVAL_DELAY_S + 1)
    members.expire(table.REMOVAL_DELAY_S + 1)
    assert members.is_leaving("p", table.REMOVAL_DELAY_S + 1)


def test_departed_member_is_removed_and_does_not_return() -> None:
    """Guards against unbounded growth, and members added again by old gossip."""
    members = _table()
    members.merge([_peer(state=LEAVING)], 0.0)
    assert members.expire(table.REMOVAL_DELAY_S - 1) == 0
    assert members.expire(table.REMOVAL_DELAY_S) == 1
    assert members.merge([_peer()], 700.0) == 0
    assert members.merge([_peer(SECOND_INCARNATION)], 700.0) == 1


def test_member_count_is_bounded() -> None:
    """Guards against memory exhaustion by a peer that invents members."""
    members = _table()
    reports = [
        member.Member(f"m{i}", FIRST_INCARNATION) for i in range(table.MAX_MEMBERS + 5)
    ]
    members.merge(reports, 0.0)
    assert len(members) == table.MAX_MEMBERS
    assert members.merge([member.Member("z", "garbage")], 0.0) == 0
    assert members.rejected_by_reason == {"full": 6, "invalid": 1}


# Few distinct values, so that reports about the same member often conflict.
FACTS = st.builds(
    member.Member,
    name=st.sampled_from(["p", "q"]),
    incarnation=st.sampled_from(["", FIRST_INCARNATION, SECOND_INCARNATION]),
    version=st.integers(0, 2),
    state=st.sampled_from([LIVE, LEAVING]),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(st.lists(FACTS, max_size=4))
def test_merge_is_independent_of_order(facts: list[member.Member]) -> None:
    """Guards against nodes that disagree for good after the same reports."""
    outcomes = set()
    for order in itertools.permutations(facts):
        known = _table()
        for fact in (*order, *order):
            known.merge([fact], 0.0)
        outcomes.add(frozenset(known.all()))
    assert len(outcomes) == 1


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(st.lists(FACTS, max_size=12))
def test_rank_never_falls(facts: list[member.Member]) -> None:
    """Guards against a late report that undoes a restart or a departure."""
    known = _table()
    for fact in facts:
        before = known.get(fact.name)
        known.merge([fact], 0.0)
        after = known.get(fact.name)
        assert after is not None
        assert before is None or after.rank >= before.rank
        same = before is not None and before.incarnation == after.incarnation
        assert (
            not same
            or before is None
            or before.state is LIVE
            or (after.state is LEAVING)
        )
