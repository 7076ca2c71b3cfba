"""Finds poison requests, which crash endpoints, and refuses them on all nodes.

Nodes disseminate crashes, with the fingerprints of the requests that were running, by
gossip over the datagrams of load reports.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Iterable

import msgspec

from snipelink import errors
from snipelink.decide import crashes
from snipelink.generated import mesh
from snipelink.mesh import calls, load_reports
from snipelink.observe import metrics
from snipelink.retry import crash_suspects

logger = logging.getLogger(__name__)

# First byte of a datagram: a crash report, or a query for all known crashes.
CRASH_KIND = b"C"
QUERY_KIND = b"A"

# With this length, the probability that two of a million requests have the same
# fingerprint is 1 in 30 million.
FINGERPRINT_BYTES = 8
# Number of random nodes to which a crash is sent at a time. With this fan-out, a crash
# reaches a fleet of 100 nodes in three steps, and each node receives it, and the counts
# of clean runs, from several others.
GOSSIP_FANOUT = 8
# When several calls ran during a crash, none is suspected until the clean-run counts of
# other nodes have had this time to arrive. Nodes send them at once and after 0.2 s.
SUSPICION_DELAY_S = 0.3
# A starting node queries for known crashes this often, because datagrams get lost.
STARTUP_QUERY_COUNT = 3
# Largest count of clean runs in a datagram, which bounds the datagram's size. Far fewer
# clean runs already outweigh the crashes that a suspect can have.
MAX_CLEAN_RUN_COUNT = 10_000
# Calls that the log line of a crash lists.
MAX_LOGGED_CALLS = 16
# Larger bodies are hashed only while there are suspects: hashing takes 1 ms per MB.
MAX_HASHED_BODY_BYTES = 1 << 16

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(mesh.Crash)


class PoisonRequestGuard:
    """Collects crashes of all endpoints and refuses the requests that cause them.

    Parameters
    ----------
    node : str
        Unique name of this process of the node, used in the names of crashes.
    exchange : LoadExchange
        Sends and receives the datagrams.
    registry : Metrics
        Registry of the counters and gauges.
    rng : random.Random
        Source of randomness for the choice of gossip targets.
    """

    def __init__(
        self,
        node: str,
        exchange: load_reports.LoadExchange,
        registry: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self.detector = crashes.CrashDetector(node)
        self._exchange = exchange
        self._rng = rng
        self._table = crash_suspects.CrashSuspectTable()
        self._known_crashes = crashes.CrashDissemination()
        self._clean_runs = crashes.CleanRunCounts()
        # Crashes during which several calls ran, each with the time at which its calls
        # are added to the suspects.
        self._pending_crashes: list[tuple[float, crashes.KnownCrash]] = []
        self._queries_left = STARTUP_QUERY_COUNT
        exchange.receivers_by_kind[CRASH_KIND] = self._on_crash_datagram
        exchange.receivers_by_kind[QUERY_KIND] = self._on_query
        self._crash_counter = registry.counter(
            "snipelink_mesh_endpoint_crashes_total",
            "Crashes of the own endpoint while calls were running.",
        )
        self._suspect_counter = registry.counter(
            "snipelink_mesh_crash_suspects_total",
            "Requests that this node began to take for the cause of crashes.",
        )
        self._refusal_counter = registry.counter(
            "snipelink_mesh_crash_suspects_refused_total",
            "Calls refused unsent because they would crash an endpoint.",
        )
        registry.gauge(
            "snipelink_mesh_crash_suspects",
            "requests that ran beside crashes",
            lambda: len(self._table),
        )

    def check(self, call: calls.Call, now: float) -> calls.Outcome | None:
        """Return a refusal if a call is a poison request, else None."""
        if not len(self._table):
            return None
        name = fingerprint(call)
        failure = self._table.refusal_of_fingerprint(name, now)
        if failure is None or self._is_unlikely_cause(name):
            return None
        self._refusal_counter.increment()
        fields = {"id": call.call_id, "fingerprint": call.fingerprint}
        logger.info("contained request is refused", extra={"fields": fields})
        return calls.Outcome(failure=failure)

    def on_call_lost(self, call: calls.Call, now: float) -> None:
        """Record a call whose connection to the endpoint ended without an answer."""
        loss = crashes.LostCall(call.call_id, fingerprint(call), now)
        self.detector.on_lost_call(loss)

    def on_call_answered(self, call: calls.Call) -> None:
        """Record a clean run: an endpoint answered the call."""
        if len(self._table) or len(call.body) <= MAX_HASHED_BODY_BYTES:
            self._clean_runs.on_clean_run(fingerprint(call))

    def on_connection_refused(self, instance: str, now: float) -> None:
        """Record that the local endpoint refused a connection."""
        self._on_crash(self.detector.on_connection_refused(instance, now), now)

    def on_new_process(self, instance: str, now: float) -> None:
        """Record that another process has replaced the process `instance`."""
        self._on_crash(self.detector.on_new_process(instance, now), now)

    def request_known_crashes(self) -> None:
        """Query for known crashes again, after this or other nodes were partitioned."""
        self._queries_left = max(1, self._queries_left)

    def run_due_work(self, now: float) -> None:
        """Add due suspects, resend due crash reports and send due queries.

        Called several times a second.
        """
        due = [crash for at, crash in self._pending_crashes if at <= now]
        self._pending_crashes = [
            entry for entry in self._pending_crashes if entry[0] > now
        ]
        for crash in due:
            self._add_suspects(crash, now)
        for crash in self._known_crashes.due_resends(now):
            self._send_crash(crash, self._sample_hosts(), now)
        if self._queries_left and self._exchange.peer_hosts():
            self._queries_left -= 1
            for host in self._sample_hosts():
                self._exchange.send_datagram(QUERY_KIND, b"", host)

    def _on_crash(self, crash: crashes.Crash | None, now: float) -> None:
        if crash is None:
            return
        self._crash_counter.increment()
        running = [
            {"id": loss.call_id, "fingerprint": loss.fingerprint}
            for loss in crash.losses[:MAX_LOGGED_CALLS]
        ]
        logger.warning(
            "endpoint has crashed",
            extra={
                "fields": {
                    "crash": crash.name,
                    "age_s": round(now - crash.crashed_at, 3),
                    "count": len(crash.losses),
                    "calls": running,
                }
            },
        )
        known_crash = crashes.KnownCrash(
            crash.name, crash.crashed_at, crash.fingerprints
        )
        self._add_crash(known_crash, now)

    def _add_crash(self, crash: crashes.KnownCrash, now: float) -> None:
        """Forward a crash that is at least partly new, and suspect the running calls.

        A single call is suspected at once, several calls after `SUSPICION_DELAY_S`.
        """
        merged = self._known_crashes.add(crash, now)
        if merged is None:
            return
        self._send_crash(merged, self._sample_hosts(), now)
        if len(merged.fingerprints) == 1:
            self._add_suspects(merged, now)
        elif len(self._pending_crashes) < crashes.MAX_KNOWN_CRASHES:
            self._pending_crashes.append((now + SUSPICION_DELAY_S, merged))

    def _add_suspects(self, crash: crashes.KnownCrash, now: float) -> None:
        suspected = [f for f in crash.fingerprints if not self._is_unlikely_cause(f)]
        contained_before = {each for each in suspected if self._is_contained(each, now)}
        age_s = max(0.0, now - crash.crashed_at)
        reports = [
            crash_suspects.SuspectReport(
                name, {crash.name: age_s}, self._clean_runs.total_count(name)
            )
            for name in suspected
        ]
        self._table.merge_reports(reports, now)
        for name in suspected:
            if name not in contained_before and self._is_contained(name, now):
                self._suspect_counter.increment()
                logger.warning(
                    "request is contained",
                    extra={"fields": {"fingerprint": name, "crash": crash.name}},
                )

    def _is_contained(self, name: str, now: float) -> bool:
        if self._table.refusal_of_fingerprint(name, now) is None:
            return False
        return not self._is_unlikely_cause(name)

    def _is_unlikely_cause(self, name: str) -> bool:
        return crashes.is_unlikely_cause(
            self._known_crashes.crash_count(name), self._clean_runs.total_count(name)
        )

    def _send_crash(
        self, crash: crashes.KnownCrash, hosts: Iterable[str], now: float
    ) -> None:
        message = mesh.Crash(
            crash.name,
            int(max(0.0, now - crash.crashed_at) * 1000),
            [bytes.fromhex(name) for name in crash.fingerprints],
            [
                min(MAX_CLEAN_RUN_COUNT, self._clean_runs.own_count(name))
                for name in crash.fingerprints
            ],
        )
        payload = _encoder.encode(message)
        for host in hosts:
            self._exchange.send_datagram(CRASH_KIND, payload, host)

    def _on_crash_datagram(self, host: str, body: memoryview, now: float) -> None:
        message = _decoder.decode(body)
        fingerprints = tuple(each.hex() for each in message.fingerprints)
        if len(message.clean_runs) != len(fingerprints) or message.age_ms < 0:
            raise msgspec.ValidationError(
                "crash has a negative age or a wrong number of clean-run counts"
            )
        known_crash = crashes.KnownCrash(
            message.name, now - message.age_ms / 1000.0, fingerprints
        )
        for each, count in zip(fingerprints, message.clean_runs, strict=True):
            self._clean_runs.on_peer_count(each, host, count)
        self._add_crash(known_crash, now)

    def _on_query(self, host: str, body: memoryview, now: float) -> None:
        """Answer a node's query with all known crashes."""
        for crash in self._known_crashes.unexpired(now):
            self._send_crash(crash, [host], now)

    def _sample_hosts(self) -> list[str]:
        hosts = sorted(self._exchange.peer_hosts())
        return self._rng.sample(hosts, min(GOSSIP_FANOUT, len(hosts)))


def fingerprint(call: calls.Call) -> str:
    """Return a digest of a call's request that is equal for repeated requests.

    The service is not part of it, because a split route may send the repeated request
    to another service.
    """
    if not call.fingerprint:
        fields = (call.method, call.target, call.caller_service)
        call.fingerprint = crash_suspects.digest(fields, call.body, FINGERPRINT_BYTES)
    return call.fingerprint


def is_crash_suspect(outcome: calls.Outcome) -> bool:
    """Whether a node refused a call as a poison request."""
    failure = outcome.failure
    return failure is not None and failure.kind is errors.Kind.CRASH_SUSPECT
