"""Finds calls that crash endpoints, tells other nodes of them, and refuses them."""

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

# First byte of a datagram: a crash, or the question for all that are known.
CRASH_KIND = b"C"
QUERY_KIND = b"A"

# Bytes of a fingerprint; among a million requests, two alike have a chance of 1 in
# 30 million.
FINGERPRINT_BYTES = 8
# Nodes that are told of a crash at a time. Each tells as many others, so a fleet of 100
# knows after three steps, and each node hears of it, and of clean runs, from several.
GOSSIP_FANOUT = 8
# Time for which the clean runs of calls that ran together are awaited from other nodes
# before one of them is blamed, seconds: nodes tell at once, and again after 0.2 s.
BLAME_DELAY_S = 0.3
# Times that a node which starts asks for what is known; datagrams get lost.
STARTUP_QUERY_COUNT = 3
# Largest count of clean runs in a datagram, which bounds its size; far fewer already
# outweigh the crashes that a suspect can have.
MAX_CLEAN_RUN_COUNT = 10_000
# Calls of a crash that are named in its line of the log.
MAX_LOGGED_CALLS = 16
# Larger bodies are not hashed as long as there is no suspect; it takes 1 ms per MB.
MAX_HASHED_BODY_BYTES = 1 << 16

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(mesh.Crash)


class PoisonRequestGuard:
    """Suspects that this node knows of, from all endpoints.

    Parameters
    ----------
    node : str
        Name of this process of the node; no other one names crashes alike.
    exchange : LoadExchange
        Carries the datagrams.
    recorded : Metrics
        Receives the counts.
    rng : random.Random
        Chooses who is told.
    """

    def __init__(
        self,
        node: str,
        exchange: load_reports.LoadExchange,
        recorded: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self.detector = crashes.CrashDetector(node)
        self._exchange = exchange
        self._rng = rng
        self._table = crash_suspects.CrashSuspectTable()
        self._news = crashes.CrashDissemination()
        self._clean = crashes.CleanRunCounts()
        # Crashes beside which several calls ran, with the times of their judgement.
        self._unjudged: list[tuple[float, crashes.KnownCrash]] = []
        self._asks_left = STARTUP_QUERY_COUNT
        exchange.receivers_by_kind[CRASH_KIND] = self._receive
        exchange.receivers_by_kind[QUERY_KIND] = self._answer
        self._crashes = recorded.counter(
            "snipelink_mesh_endpoint_crashes_total",
            "Crashes of the own endpoint while calls were running.",
        )
        self._contained = recorded.counter(
            "snipelink_mesh_crash_suspects_total",
            "Requests that this node began to take for the cause of crashes.",
        )
        self._refused = recorded.counter(
            "snipelink_mesh_crash_suspects_refused_total",
            "Calls refused unsent because they would crash an endpoint.",
        )
        recorded.gauge(
            "snipelink_mesh_crash_suspects",
            "requests that ran beside crashes",
            lambda: len(self._table),
        )

    def check(self, call: calls.Call, now: float) -> calls.Outcome | None:
        """Return the refusal of a call that crashes endpoints, else None."""
        if not len(self._table):
            return None
        name = fingerprint(call)
        failure = self._table.refusal_of_fingerprint(name, now)
        if failure is None or self._is_acquitted(name):
            return None
        self._refused.increment()
        fields = {"id": call.call_id, "fingerprint": call.fingerprint}
        logger.info("contained request is refused", extra={"fields": fields})
        return calls.Outcome(failure=failure)

    def on_call_lost(self, call: calls.Call, now: float) -> None:
        """Note a call whose connection to the endpoint ended without an answer."""
        loss = crashes.LostCall(call.call_id, fingerprint(call), now)
        self.detector.on_lost_call(loss)

    def on_call_answered(self, call: calls.Call) -> None:
        """Note a call that an endpoint answered."""
        if len(self._table) or len(call.body) <= MAX_HASHED_BODY_BYTES:
            self._clean.on_clean_run(fingerprint(call))

    def on_connection_refused(self, instance: str, now: float) -> None:
        """Note that the endpoint refused a connection."""
        self._on_crash(self.detector.on_connection_refused(instance, now), now)

    def on_new_process(self, instance: str, now: float) -> None:
        """Note that there is another process in place of `instance`."""
        self._on_crash(self.detector.on_new_process(instance, now), now)

    def request_known_crashes(self) -> None:
        """Ask what is known: this node was cut off, or others were."""
        self._asks_left = max(1, self._asks_left)

    def run_due_work(self, now: float) -> None:
        """Judge and tell what is due, and ask; called several times a second."""
        due = [crash for at, crash in self._unjudged if at <= now]
        self._unjudged = [entry for entry in self._unjudged if entry[0] > now]
        for crash in due:
            self._judge(crash, now)
        for crash in self._news.due_resends(now):
            self._tell(crash, self._some_hosts(), now)
        if self._asks_left and self._exchange.peer_hosts():
            self._asks_left -= 1
            for host in self._some_hosts():
                self._exchange.send(QUERY_KIND, b"", host)

    def _on_crash(self, crash: crashes.Crash | None, now: float) -> None:
        if crash is None:
            return
        self._crashes.increment()
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
        known = crashes.KnownCrash(crash.name, crash.crashed_at, crash.fingerprints)
        self._take(known, now)

    def _take(self, crash: crashes.KnownCrash, now: float) -> None:
        """Pass a crash on if it is news, and judge the calls that ran."""
        news = self._news.add(crash, now)
        if news is None:
            return
        self._tell(news, self._some_hosts(), now)
        if len(news.fingerprints) == 1:
            self._judge(news, now)
        elif len(self._unjudged) < crashes.MAX_KNOWN_CRASHES:
            self._unjudged.append((now + BLAME_DELAY_S, news))

    def _judge(self, crash: crashes.KnownCrash, now: float) -> None:
        names = [n for n in crash.fingerprints if not self._is_acquitted(n)]
        before = {name for name in names if self._is_contained(name, now)}
        age_s = max(0.0, now - crash.crashed_at)
        reports = [
            crash_suspects.SuspectReport(
                name, {crash.name: age_s}, self._clean.total_count(name)
            )
            for name in names
        ]
        self._table.merge_reports(reports, now)
        for name in names:
            if name not in before and self._is_contained(name, now):
                self._contained.increment()
                logger.warning(
                    "request is contained",
                    extra={"fields": {"fingerprint": name, "crash": crash.name}},
                )

    def _is_contained(self, name: str, now: float) -> bool:
        if self._table.refusal_of_fingerprint(name, now) is None:
            return False
        return not self._is_acquitted(name)

    def _is_acquitted(self, name: str) -> bool:
        return crashes.is_unlikely_cause(
            self._news.crash_count(name), self._clean.total_count(name)
        )

    def _tell(
        self, crash: crashes.KnownCrash, hosts: Iterable[str], now: float
    ) -> None:
        message = mesh.Crash(
            crash.name,
            int(max(0.0, now - crash.crashed_at) * 1000),
            [bytes.fromhex(name) for name in crash.fingerprints],
            [
                min(MAX_CLEAN_RUN_COUNT, self._clean.own_count(name))
                for name in crash.fingerprints
            ],
        )
        payload = _encoder.encode(message)
        for host in hosts:
            self._exchange.send(CRASH_KIND, payload, host)

    def _receive(self, host: str, body: memoryview, now: float) -> None:
        message = _decoder.decode(body)
        names = tuple(each.hex() for each in message.fingerprints)
        if len(message.clean_runs) != len(names) or message.age_ms < 0:
            raise msgspec.ValidationError("crash with fields that do not fit")
        known = crashes.KnownCrash(message.name, now - message.age_ms / 1000.0, names)
        for name, count in zip(names, message.clean_runs, strict=True):
            self._clean.on_peer_count(name, host, count)
        self._take(known, now)

    def _answer(self, host: str, body: memoryview, now: float) -> None:
        """Tell a node all that is known."""
        for crash in self._news.unexpired(now):
            self._tell(crash, [host], now)

    def _some_hosts(self) -> list[str]:
        hosts = sorted(self._exchange.peer_hosts())
        return self._rng.sample(hosts, min(GOSSIP_FANOUT, len(hosts)))


def fingerprint(call: calls.Call) -> str:
    """Return the identity of what a call asks for; equal for a repeated request.

    The service is left out: a request may come again on another part of a split route.
    """
    if not call.fingerprint:
        fields = (call.method, call.target, call.caller_service)
        call.fingerprint = crash_suspects.digest(fields, call.body, FINGERPRINT_BYTES)
    return call.fingerprint


def is_crash_suspect(outcome: calls.Outcome) -> bool:
    """Whether a node refused a call because it crashes endpoints."""
    failure = outcome.failure
    return failure is not None and failure.kind is errors.Kind.CRASH_SUSPECT
