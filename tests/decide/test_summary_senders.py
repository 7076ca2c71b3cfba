from __future__ import annotations

import collections
import random

import pytest

from snipelink.decide import placement, store_position, summary_senders

POSITION = store_position.Position(0, 5)
HOSTS = [f"10.0.0.{index}" for index in range(20)]

NOW = 100.0


def _senders(silent: frozenset[str] = frozenset(), other: str = "b") -> list[str]:
    """Return the hosts that take themselves for senders, in order."""
    ordered = summary_senders.sender_order("a", other, HOSTS)
    return [
        host
        for host in ordered
        if host in summary_senders.observed_senders(ordered, host, silent.__contains__)
    ]


def test_exactly_the_first_hosts_send() -> None:
    ordered = summary_senders.sender_order("a", "b", reversed(HOSTS))
    assert _senders() == ordered[: summary_senders.SENDER_COUNT]


def test_pairs_of_domains_have_different_senders() -> None:
    assert _senders(other="b") != _senders(other="c")


def test_next_host_sends_in_place_of_a_silent_one() -> None:
    ordered = summary_senders.sender_order("a", "b", HOSTS)
    silent = frozenset(ordered[:1])
    # The silent host itself does not know that it is not heard.
    assert _senders(silent) == ordered[: summary_senders.SENDER_COUNT + 1]


def test_silent_host_is_still_observed() -> None:
    ordered = summary_senders.sender_order("a", "b", HOSTS)
    observed = summary_senders.observed_senders(
        ordered, ordered[-1], {ordered[0]}.__contains__
    )
    assert observed == ordered[:3]


def test_last_responsive_host_sends_alone() -> None:
    ordered = summary_senders.sender_order("a", "b", HOSTS)
    observed = summary_senders.observed_senders(ordered, ordered[7], lambda _: True)
    assert ordered[7] in observed


def test_summaries_are_sent_before_a_report_ages() -> None:
    schedule = summary_senders.SendSchedule()
    assert schedule.due_at(POSITION) <= 0.0
    schedule.on_sent(POSITION, 10.0)
    assert schedule.due_at(POSITION) == 10.0 + summary_senders.SUMMARY_INTERVAL_S
    assert schedule.due_at(POSITION) - 10.0 < placement.FRESH_REPORT_S


def test_newer_revision_is_sent_sooner_at_a_limited_rate() -> None:
    schedule = summary_senders.SendSchedule()
    schedule.on_sent(POSITION, 10.0)
    assert (
        schedule.due_at(store_position.Position(0, 6))
        == 10.0 + summary_senders.MIN_INTERVAL_S
    )
    assert (
        schedule.due_at(store_position.Position(1, 1))
        == 10.0 + summary_senders.MIN_INTERVAL_S
    )
    assert (
        schedule.due_at(store_position.Position(0, 4))
        == 10.0 + summary_senders.SUMMARY_INTERVAL_S
    )


def test_one_host_of_each_receiving_domain_is_chosen() -> None:
    hosts_by_domain = {"a": ["a1"], "b": ["b1", "b2"], "c": [], "d": ["d1"]}
    rng = random.Random(1)
    chosen = collections.Counter(
        host
        for _ in range(100)
        for host in summary_senders.choose_receivers(
            hosts_by_domain, {"b", "c"}, set(), rng
        ).values()
    )
    assert set(chosen) == {"b1", "b2"}
    assert chosen.total() == 100


def test_silent_hosts_receive_nothing_while_another_one_is_heard() -> None:
    hosts_by_domain = {"b": ["b1", "b2", "b3"]}
    rng = random.Random(1)

    def chosen(*silent: str) -> set[str]:
        return {
            summary_senders.choose_receivers(hosts_by_domain, {"b"}, silent, rng)["b"]
            for _ in range(50)
        }

    assert chosen("b1", "b3") == {"b2"}
    # After a cut of the whole link, any host may be the first to be reached again.
    assert chosen("b1", "b2", "b3") == {"b1", "b2", "b3"}


@pytest.mark.parametrize("count", [2, 3, 26, 100])
def test_gossip_reaches_nearly_all_nodes_of_a_domain(count: int) -> None:
    hosts = [str(index) for index in range(count)]
    rng = random.Random(1)
    reached_count = 0
    for _ in range(20):
        reached = {hosts[0]}
        pending = [hosts[0]]
        while pending:
            host = pending.pop()
            for other in summary_senders.choose_next_hops(hosts, (host,), rng):
                if other not in reached:
                    reached.add(other)
                    pending.append(other)
        reached_count += len(reached)
    assert reached_count >= 0.95 * 20 * count


def test_repeated_and_reordered_summaries_are_outdated() -> None:
    received = summary_senders.ReceivedSummaries()
    assert received.accept("h", 1000, 5, 0, NOW)
    assert not received.accept("h", 1000, 5, 0, NOW)
    assert not received.accept("h", 1000, 4, 0, NOW)
    assert received.accept("h", 1000, 6, 0, NOW)


def test_parts_and_senders_are_told_apart() -> None:
    received = summary_senders.ReceivedSummaries()
    assert received.accept("h", 1000, 5, 1, NOW)
    assert received.accept("h", 1000, 5, 0, NOW)
    assert received.accept("other", 1000, 1, 0, NOW)


def test_restarted_sender_may_restart_its_sequence_numbers() -> None:
    received = summary_senders.ReceivedSummaries()
    received.accept("h", 2000, 500, 0, NOW)
    # The clock of the machine may have been set back between the two starts.
    assert received.accept("h", 1000, 1, 0, NOW)
    assert not received.accept("h", 2000, 501, 0, NOW)
    assert received.accept("h", 1000, 2, 0, NOW)


def test_forgotten_sender_is_new_again() -> None:
    received = summary_senders.ReceivedSummaries()
    received.accept("h", 1000, 5, 0, NOW)
    received.retain({"other"})
    assert received.accept("h", 1000, 1, 0, NOW)


def test_late_summary_of_an_unknown_former_process_does_not_hide_the_present_one() -> (
    None
):
    received = summary_senders.ReceivedSummaries()
    assert received.accept("h", 2000, 7, 0, NOW)
    assert received.accept("h", 1000, 500, 0, NOW + 0.1)
    later = NOW + 0.1 + summary_senders.FORMER_PROCESS_S
    assert received.accept("h", 2000, 100, 0, later)
    assert not received.accept("h", 1000, 501, 0, later)


def test_number_of_parts_that_are_remembered_is_bounded() -> None:
    received = summary_senders.ReceivedSummaries()
    assert received.accept("h", 1000, 1, summary_senders.MAX_PARTS - 1, NOW)
    assert not received.accept("h", 1000, 1, summary_senders.MAX_PARTS, NOW)
    assert not received.accept("h", 1000, 1, -1, NOW)
