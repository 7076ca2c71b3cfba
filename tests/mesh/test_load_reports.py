from __future__ import annotations

import asyncio
import random
import socket
import time
from typing import Any

import msgspec
import pytest

from bench import loopback
from snipelink import clock
from snipelink.decide import (
    concurrency_limit,
    placement,
    reporting,
    slowness_period,
    store_position,
)
from snipelink.generated import mesh
from snipelink.mesh import load_reports, published_state

HOST = "10.0.0.1"
INSTANCE = published_state.Instance("i-1", "rota", HOST, "a", False)


def _load(**changes: Any) -> mesh.Load:
    values: dict[str, Any] = {
        "instance": "i-1",
        "started_ms": 1000,
        "sequence": 1,
        "running": 3,
        "waiting": 1,
        "slots": 9,
        "slowness_percent": 100,
        "failing_percent": 0,
        "accepting": True,
        "revision": 5,
        "configuration": 2,
        "source_away": False,
    }
    return mesh.Load(**(values | changes))


def _candidate(table: load_reports.LoadTable, now: float) -> placement.Candidate | None:
    return table.candidate(INSTANCE, near=True, now=now)


def test_candidate_has_the_reported_load_and_its_age() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    assert _candidate(table, 10.0) is None
    assert table.update(_load(), HOST, 10.0)
    candidate = _candidate(table, 10.2)
    assert candidate is not None
    assert (candidate.running, candidate.waiting, candidate.slots) == (3, 1, 9)
    assert candidate.age_s == pytest.approx(0.2)


def test_late_report_does_not_replace_a_newer_one() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    table.update(_load(sequence=5, running=7), HOST, 10.0)
    assert not table.update(_load(sequence=4, running=0), HOST, 10.1)
    candidate = _candidate(table, 10.1)
    assert candidate is not None
    assert candidate.running == 7


def test_restarted_node_may_restart_its_sequence_numbers() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    table.update(_load(sequence=500), HOST, 10.0)
    assert table.update(_load(started_ms=2000, sequence=1, running=0), HOST, 10.1)


def test_endpoint_that_accepts_no_calls_is_not_a_candidate() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    table.update(_load(accepting=False), HOST, 10.0)
    assert _candidate(table, 10.0) is None


def test_sent_calls_are_counted_until_a_report_can_include_them() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    table.update(_load(), HOST, 10.0)
    table.on_call_sent("i-1", 10.0)
    table.on_call_sent("i-1", 10.01)
    soon, later = _candidate(table, 10.02), _candidate(table, 10.2)
    assert soon is not None
    assert later is not None
    assert (soon.running, later.running) == (5, 3)


def test_silence_and_recovery_of_a_node_are_each_reported_once() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    table.update(_load(), HOST, 10.0)
    late = 10.0 + placement.SILENT_NODE_S + 0.1
    assert table.update_silent_hosts(late) == ({HOST}, set())
    assert table.update_silent_hosts(late + 0.1) == (set(), set())
    table.update(_load(sequence=2), HOST, late + 0.2)
    assert table.update_silent_hosts(late + 0.3) == (set(), {HOST})


def test_loads_of_followed_hosts_are_kept_and_others_removed() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    table.update(_load(), HOST, 10.0)
    table.update(_load(instance="i-2"), "10.0.0.2", 10.0)
    table.expire({HOST}, 10.0 + load_reports.RETENTION_S + 0.1)
    assert set(table.loads_by_instance) == {"i-1"}
    assert set(table.loads_by_host) == {HOST}


def test_load_of_a_replaced_process_is_removed() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    table.update(_load(), HOST, 10.0)
    table.update(_load(instance="i-2", sequence=2), HOST, 10.1)
    table.expire({HOST}, 10.1 + load_reports.RETENTION_S + 0.1)
    assert set(table.loads_by_instance) == {"i-2"}


def _summarized(table: load_reports.LoadTable, now: float, **changes: Any) -> None:
    load = _load(started_ms=0, sequence=0, **changes)
    table.update_from_summary(load, HOST, now, now)


def test_summary_gives_a_candidate() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    _summarized(table, 10.0, running=2)
    candidate = _candidate(table, 10.1)
    assert candidate is not None
    assert (candidate.running, candidate.age_s) == (2, pytest.approx(0.1))


def test_recent_direct_report_wins_over_a_summary() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    table.update(_load(running=7), HOST, 10.0)
    _summarized(table, 10.1, running=2)
    recent = _candidate(table, 10.1)
    assert recent is not None
    assert recent.running == 7
    late = 10.1 + load_reports.DIRECT_PRECEDENCE_S
    _summarized(table, late, running=2)
    replaced = _candidate(table, late)
    assert replaced is not None
    assert replaced.running == 2


def test_direct_report_replaces_a_summary_unless_it_is_outdated() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    _summarized(table, 10.0, running=2)
    progress = table.loads_by_host[HOST].progress
    assert table.update(_load(sequence=5, running=7), HOST, 10.1)
    assert table.loads_by_host[HOST].progress is progress
    _summarized(table, 11.0, running=1)
    assert not table.update(_load(sequence=4, running=6), HOST, 11.0)
    assert table.update(_load(sequence=6, running=6), HOST, 11.1)


def test_summary_of_an_older_load_does_not_replace_a_newer_one() -> None:
    """Guards against a sender that no longer hears an endpoint the other one hears."""
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    _summarized(table, 10.0, running=2)
    late = _load(started_ms=0, sequence=0, running=7)
    table.update_from_summary(late, HOST, 9.2, 10.1)
    candidate = _candidate(table, 10.1)
    assert candidate is not None
    assert (candidate.running, candidate.age_s) == (2, pytest.approx(0.1))
    former = _load(started_ms=0, sequence=0, instance="i-0")
    table.update_from_summary(former, HOST, 9.2, 10.1)
    assert table.loads_by_host[HOST].report.instance == "i-1"


def test_sent_calls_are_counted_until_a_summary_can_include_them() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    _summarized(table, 10.0, running=0)
    table.on_call_sent("i-1", 10.1)
    counts = []
    for now in (10.19, 10.2, 10.3):
        _summarized(table, now, running=0)
        candidate = _candidate(table, now + 0.05)
        assert candidate is not None
        counts.append(candidate.running)
    assert counts == [1, 1, 0]


def test_late_changes_of_slowness_do_not_affect_the_estimate_of_the_period() -> None:
    estimator = slowness_period.PeriodEstimator()
    table = load_reports.LoadTable(estimator)
    for index in range(100):
        slowness = 100 if index % 2 else 400
        _summarized(table, 10.0 + 0.4 * index, slowness_percent=slowness)
    assert estimator.period_s is None
    candidate = _candidate(table, 50.0)
    assert candidate is not None
    assert candidate.slowness == 1.0


class RecordingTransport(asyncio.DatagramTransport):
    """Transport that records the datagrams sent."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[tuple[bytes, str]] = []

    def sendto(self, data: bytes, addr: Any = None) -> None:
        self.sent.append((data, addr[0]))

    def take(self) -> list[tuple[bytes, str]]:
        sent, self.sent = self.sent, []
        return sent


def _exchange(
    table: load_reports.LoadTable, load: mesh.Load | None = None
) -> tuple[load_reports.LoadExchange, RecordingTransport]:
    exchange = load_reports.LoadExchange(
        "10.0.0.9",
        7000,
        table,
        lambda now: load or _load(instance="own"),
        lambda *_: None,
        random.Random(1),
    )
    transport = RecordingTransport()
    exchange.connection_made(transport)
    return exchange, transport


def test_load_is_sent_only_to_followers_until_their_request_expires() -> None:
    exchange, transport = _exchange(
        load_reports.LoadTable(slowness_period.PeriodEstimator())
    )
    exchange.publish(0.0)
    assert transport.take() == []
    follower, follower_transport = _exchange(
        load_reports.LoadTable(slowness_period.PeriodEstimator())
    )
    follower.follow({"10.0.0.9": True}, 0.0)
    ((request, host),) = follower_transport.take()
    assert host == "10.0.0.9"
    exchange.datagram_received(request, (HOST, 7000))
    ((report, host),) = transport.take()
    assert host == HOST
    assert report[:1] == load_reports.LOAD_KIND
    exchange.publish(clock.now() + 1.0)
    assert [host for _, host in transport.take()] == [HOST]
    exchange.publish(clock.now() + load_reports.FOLLOWER_EXPIRY_S + 0.1)
    assert transport.take() == []
    assert exchange.follower_count == 0


def test_follow_request_is_repeated_sooner_while_no_report_arrives() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    exchange, transport = _exchange(table)
    near_by_host = {HOST: True, "10.0.0.2": False}
    exchange.follow(near_by_host, 0.0)
    assert {host for _, host in transport.take()} == {HOST, "10.0.0.2"}
    table.update(_load(), HOST, 0.2)
    exchange.follow(near_by_host, load_reports.FOLLOW_RETRY_S)
    assert [host for _, host in transport.take()] == ["10.0.0.2"]


def test_followed_node_counts_as_silent_only_after_it_had_time_to_answer() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    exchange, _ = _exchange(table)
    assert not exchange.is_silent(HOST, 0.0)
    exchange.follow({HOST: True}, 0.0)
    assert not exchange.is_silent(HOST, 0.5)
    assert exchange.is_silent(HOST, placement.SILENT_NODE_S + 0.1)
    table.update(_load(), HOST, 1.5)
    assert not exchange.is_silent(HOST, 1.6)


@pytest.mark.parametrize("data", [b"", b"X123", b"L123", b"F"])
def test_unreadable_datagram_is_counted_and_dropped(data: bytes) -> None:
    exchange, transport = _exchange(
        load_reports.LoadTable(slowness_period.PeriodEstimator())
    )
    exchange.datagram_received(data, (HOST, 7000))
    assert exchange.unreadable_datagrams == 1
    assert exchange.follower_count == 0
    assert transport.take() == []


def test_newer_revision_is_sent_to_a_few_followers_at_once_and_to_all_soon() -> None:
    own_load = _load(instance="own")
    exchange, transport = _exchange(
        load_reports.LoadTable(slowness_period.PeriodEstimator()), own_load
    )
    hosts = [f"10.0.1.{index}" for index in range(30)]
    request = load_reports.FOLLOW_KIND + msgspec.msgpack.encode(mesh.Follow(True))
    for host in hosts:
        exchange.datagram_received(request, (host, 7000))
    now = clock.now()
    transport.take()
    own_load.revision += 1
    exchange.publish(now + 0.05)
    assert len(transport.take()) == reporting.REVISION_FANOUT
    exchange.publish(now + 0.06)
    assert transport.take() == []
    assert exchange.next_report_at <= now + reporting.REPEAT_INTERVAL_S
    exchange.publish(now + 0.06 + reporting.REPEAT_INTERVAL_S)
    assert {host for _, host in transport.take()} == set(hosts)


@pytest.mark.parametrize("data", [b"", b"L", b"F", b"X\x00", b"L\xc1", b"L" * 900])
def test_unreadable_datagram_is_counted_and_raises_nothing(data: bytes) -> None:
    exchange, _ = _exchange(load_reports.LoadTable(slowness_period.PeriodEstimator()))
    exchange.datagram_received(data, (HOST, 7000))
    assert exchange.unreadable_datagrams == 1


LEVELS = [
    concurrency_limit.LevelSample(7, 1.02, 31.0),
    concurrency_limit.LevelSample(9, 1.7, 4.0),
]


def test_measured_levels_survive_a_report() -> None:
    sent = _load(level_samples=load_reports.encode_level_samples(LEVELS))
    received = msgspec.msgpack.decode(msgspec.msgpack.encode(sent), type=mesh.Load)
    assert load_reports.decode_level_samples(received) == LEVELS


def test_implausible_measured_levels_are_ignored() -> None:
    load = _load(level_samples=[[7], [], [7, 0, 5], [-1, 100, 5], [8, 100, 5, 1]])
    assert load_reports.decode_level_samples(load) == []


def test_report_of_a_version_without_measured_levels_is_readable() -> None:
    older = msgspec.msgpack.encode(list(msgspec.structs.astuple(_load()))[:12])
    received = msgspec.msgpack.decode(older, type=mesh.Load)
    assert (received.capacity, received.level_samples) == (0, [])


SOCKET_HOST, SOCKET_PORT = loopback.next_host(), 21396
QUEUED_REPORTS = 200
# Processor time that other work takes in each iteration of a busy event loop, seconds.
BUSY_ITERATION_S = 0.01


def test_busy_event_loop_reads_reports_as_they_arrive() -> None:
    """Guards against reports that wait for seconds in the socket of a busy node.

    One datagram was read in each iteration of the event loop, and the more work an
    iteration had, the longer the newest revision waited behind older reports.
    """

    async def check() -> float:
        reports: list[mesh.Load] = []
        exchange = load_reports.LoadExchange(
            SOCKET_HOST,
            SOCKET_PORT,
            load_reports.LoadTable(slowness_period.PeriodEstimator()),
            lambda now: _load(instance="own"),
            lambda host, load: reports.append(load),
            random.Random(1),
        )
        await exchange.start((SOCKET_HOST, SOCKET_PORT))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number in range(1, QUEUED_REPORTS + 1):
                load = _load(sequence=number, revision=number)
                payload = load_reports.LOAD_KIND + msgspec.msgpack.encode(load)
                sender.sendto(payload, (SOCKET_HOST, SOCKET_PORT))
        sent_at = clock.now()
        while not reports or reports[-1].revision < QUEUED_REPORTS:
            time.sleep(BUSY_ITERATION_S)
            await asyncio.sleep(0)
        exchange.close()
        return clock.now() - sent_at

    assert asyncio.run(check()) < reporting.REPEAT_INTERVAL_S


def _newest(
    table: load_reports.LoadTable, era: int, revision: int
) -> tuple[tuple[int, int], int, list[str]]:
    known = store_position.Position(era, revision)
    return table.newest_state(known, (), 1.0)


def test_newest_state_is_that_of_the_latest_era() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    table.update(_load(revision=90, era=1, configuration=8), "10.0.0.1", 1.0)
    table.update(_load(revision=20, era=2, configuration=5), "10.0.0.2", 1.0)
    assert _newest(table, 1, 90) == ((2, 20), 5, ["10.0.0.2"])


def test_highest_version_counts_among_nodes_of_the_known_era() -> None:
    table = load_reports.LoadTable(slowness_period.PeriodEstimator())
    table.update(_load(revision=90, era=1, configuration=9), "10.0.0.1", 1.0)
    table.update(_load(revision=19, era=2, configuration=8), "10.0.0.2", 1.0)
    table.update(_load(revision=20, era=2, configuration=5), "10.0.0.3", 1.0)
    assert _newest(table, 2, 20) == ((2, 20), 8, ["10.0.0.2"])
    assert _newest(table, 3, 1) == ((3, 1), 0, [])


def test_report_of_a_version_without_an_era_is_readable() -> None:
    era_index = mesh.Load.__struct_fields__.index("era")
    fields = msgspec.structs.astuple(_load(era=4))
    older = msgspec.msgpack.encode(list(fields)[:era_index])
    assert msgspec.msgpack.decode(older, type=mesh.Load).era == 0
