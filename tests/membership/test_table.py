from __future__ import annotations

import dataclasses
import itertools
import random

import hypothesis
import hypothesis.strategies as st

from snipelink.membership import member, table

FIRST = "1700000000000-00000001"
SECOND = "1700000001000-00000001"
LEAVING, LIVE = member.State.LEAVING, member.State.LIVE
STARTED_S = 1_700_000_000.0


def _table(name: str = "own", incarnation: str = FIRST) -> table.MemberTable:
    own = member.Member(name, incarnation, failure_domain="a")
    return table.MemberTable(own, 0.0, random.Random(1))


def _peer(incarnation: str = FIRST, **fields: object) -> member.Member:
    return dataclasses.replace(
        member.Member("p", incarnation, failure_domain="b", control_address="x:1"),
        **fields,  # type: ignore[arg-type]
    )


def _suspicion(observer: str, domain: str, name: str = "p") -> member.Suspicion:
    return member.Suspicion(name, FIRST, 0, observer, domain, 0.0)


def test_higher_incarnation_replaces_a_departure() -> None:
    """Guards against a restarted node that stays excluded by its earlier departure."""
    known = _table()
    known.merge([_peer(state=LEAVING)], 0.0)
    assert known.is_leaving("p", 0.0)
    known.merge([_peer(SECOND)], 1.0)
    assert not known.is_leaving("p", 1.0)
    assert known.merge([_peer(state=LEAVING)], 2.0) == 0


def test_leaving_is_sticky_within_an_incarnation() -> None:
    """Guards against a leaving endpoint that receives work after a late report."""
    known = _table()
    known.merge([_peer(state=LEAVING)], 0.0)
    known.merge([_peer(version=7)], 1.0)
    assert known.is_leaving("p", 1.0)


def test_one_domain_never_condemns() -> None:
    """Guards against one bad link that excludes a healthy node for everybody."""
    known = _table()
    known.merge([_peer()], 0.0)
    for observer in ("x", "y", "z"):
        known.suspect(_suspicion(observer, "c"), 1.0)
    assert known.state("p", 1.0) is LIVE
    known.suspect(_suspicion("w", "d"), 1.0)
    assert known.state("p", 1.0) is member.State.SUSPECTED
    assert [m.name for m in known.usable(1.0)] == ["own"]


def test_suspicion_ends() -> None:
    """Guards against a member that stays suspected after it answered or in time."""
    known = _table()
    known.merge([_peer()], 0.0)
    for observer, domain in (("x", "c"), ("y", "d")):
        known.suspect(_suspicion(observer, domain), 1.0)
    assert not known.is_suspected("p", 1.0 + table.SUSPICION_S)
    known.observe(_peer(), 2.0)
    assert not known.is_suspected("p", 2.0)
    known.expire(1000.0)
    assert known.suspicions(1000.0) == []


def test_member_refutes_suspicion_of_itself() -> None:
    """Guards against a healthy node that can't clear its name."""
    known, other = _table(), _table("other")
    other.merge([known.own], 0.0)
    for target in (known, other):
        target.suspect(_suspicion("x", "c", "own"), 1.0)
        target.suspect(_suspicion("y", "d", "own"), 1.0)
    assert other.is_suspected("own", 1.0)
    other.merge([known.own], 2.0)
    assert not other.is_suspected("own", 2.0)
    assert not other.suspect(_suspicion("x", "c", "own"), 2.0)


def test_node_outranks_its_earlier_start() -> None:
    """Guards against a node whose clock went back and whose new start is ignored."""
    known = _table("own", FIRST)
    known.merge([member.Member("own", SECOND, state=LEAVING)], 0.0)
    assert known.own.incarnation > SECOND
    assert known.own.state is LIVE


def test_list_starts_departures_but_lags() -> None:
    """Guards against missed departures and against an old entry that ends a restart."""
    known = _table()
    known.merge([_peer(SECOND)], 0.0)
    old = table.ListedInstance("p", True, STARTED_S - 10)
    assert known.merge_list([old], 1, 1.0) == 0
    new = table.ListedInstance("p", True, STARTED_S + 10)
    assert known.merge_list([new], 2, 2.0) == 1
    assert known.is_leaving("p", 2.0)
    assert known.merge_list([], 1, 3.0) == 0
    assert known.rejected_by_reason["old-list"] == 1


def test_member_missing_in_the_list_is_gone_only_when_suspected() -> None:
    """Guards against a stale list that excludes live members."""
    known = _table()
    known.merge([_peer()], 0.0)
    known.merge_list([table.ListedInstance("own", False)], 1, 1.0)
    assert [m.name for m in known.unlisted()] == ["p"]
    known.expire(table.FORGET_S + 1)
    assert known.state("p", table.FORGET_S + 1) is LIVE
    for observer, domain in (("x", "c"), ("y", "d")):
        known.suspect(_suspicion(observer, domain), table.FORGET_S + 1)
    known.expire(table.FORGET_S + 1)
    assert known.is_leaving("p", table.FORGET_S + 1)


def test_departed_member_is_removed_and_does_not_return() -> None:
    """Guards against unbounded growth and against members revived by old gossip."""
    known = _table()
    known.merge([_peer(state=LEAVING)], 0.0)
    assert known.expire(table.FORGET_S - 1) == 0
    assert known.expire(table.FORGET_S) == 1
    assert known.merge([_peer()], 700.0) == 0
    assert known.merge([_peer(SECOND)], 700.0) == 1


def test_members_are_bounded() -> None:
    """Guards against memory exhaustion by a peer that invents members."""
    known = _table()
    facts = [member.Member(f"m{i}", FIRST) for i in range(table.MAX_MEMBERS + 5)]
    known.merge(facts, 0.0)
    assert len(known) == table.MAX_MEMBERS
    assert known.merge([member.Member("z", "garbage")], 0.0) == 0
    assert known.rejected_by_reason == {"full": 6, "invalid": 1}


FACTS = st.builds(
    member.Member,
    name=st.sampled_from(["p", "q"]),
    incarnation=st.sampled_from(["", FIRST, SECOND]),
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
