"""Finds calls that crash endpoints."""

from __future__ import annotations

import logging

from snipelink.decide import crashes
from snipelink.mesh import calls
from snipelink.observe import metrics
from snipelink.retry import suspects

logger = logging.getLogger(__name__)

# Calls of a crash that are named in its line of the log.
MAX_LOGGED_CALLS = 16
# Bytes of a fingerprint; among a million requests, two alike have a chance of 1 in
# 30 million.
FINGERPRINT_BYTES = 8


class Containment:
    """Suspects of this node, from the crashes of its endpoint.

    Parameters
    ----------
    node : str
        Name of this process of the node; no other one names crashes alike.
    recorded : Metrics
        Receives the counts.
    """

    def __init__(self, node: str, recorded: metrics.Metrics) -> None:
        self.detector = crashes.Detector(node)
        self._table = suspects.SuspectTable()
        self._crashes = recorded.counter(
            "snipelink_mesh_endpoint_crashes_total",
            "Crashes of the own endpoint while calls were running.",
        )
        self._contained = recorded.counter(
            "snipelink_mesh_crash_suspects_total",
            "Requests that this node began to take for the cause of crashes.",
        )
        recorded.gauge(
            "snipelink_mesh_crash_suspects",
            "requests that ran beside crashes",
            lambda: len(self._table),
        )

    def on_lost(self, call: calls.Call, now: float) -> None:
        """Note a call whose connection to the endpoint ended without an answer."""
        loss = crashes.Loss(call.call_id, fingerprint(call), now)
        self.detector.on_lost(loss)

    def on_answered(self, call: calls.Call) -> None:
        """Note a call that an endpoint answered."""
        if len(self._table):
            self._table.on_clean_run(fingerprint(call))

    def on_refused(self, instance: str, now: float) -> None:
        """Note that the endpoint refused a connection."""
        self._on_crash(self.detector.on_refused(instance, now), now)

    def on_new_process(self, instance: str, now: float) -> None:
        """Note that there is another process in place of `instance`."""
        self._on_crash(self.detector.on_new_process(instance, now), now)

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
                    "age_s": round(now - crash.at, 3),
                    "count": len(crash.losses),
                    "calls": running,
                }
            },
        )
        reports = [
            suspects.Report(name, {crash.name: now - crash.at}, 0)
            for name in crash.fingerprints
        ]
        known = [n for n in crash.fingerprints if self._is_contained(n, now)]
        self._table.merge(reports, now)
        for name in crash.fingerprints:
            if name not in known and self._is_contained(name, now):
                self._contained.increment()
                logger.warning(
                    "request is contained",
                    extra={"fields": {"fingerprint": name, "crash": crash.name}},
                )

    def _is_contained(self, name: str, now: float) -> bool:
        return self._table.check_fingerprint(name, now) is not None


def fingerprint(call: calls.Call) -> str:
    """Return the identity of what a call asks for; equal for a repeated request.

    The service is left out: a request may come again on another part of a split route.
    """
    if not call.fingerprint:
        fields = (call.method, call.target, call.caller_service)
        call.fingerprint = suspects.digest(fields, call.body, FINGERPRINT_BYTES)
    return call.fingerprint
