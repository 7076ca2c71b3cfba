"""Connects the control part of a node with the part that runs calls."""

from __future__ import annotations

import random
import time
import typing
from collections.abc import Sequence

import msgspec

from snipelink import model, settings
from snipelink.config import startup, store
from snipelink.execute import local_runner, pause_detection, service_state
from snipelink.gossip import agent, exchange
from snipelink.retry import crash_suspects

MAX_SUSPECTS_PER_MESSAGE = 16
_decoder = msgspec.msgpack.Decoder(crash_suspects.SuspectReport)
Fields = dict[str, typing.Any]


class ControlPlane:
    """Configuration and membership as the calls of a node see them.

    Parameters
    ----------
    values : Settings
        Settings of the node.
    pause_detector : PauseDetector
        Tells whether the process was stopped and resumed.
    table : CrashSuspectTable
        Crash suspects, exchanged with other nodes.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        values: settings.Settings,
        pause_detector: pause_detection.PauseDetector,
        table: crash_suspects.CrashSuspectTable,
        rng: random.Random,
    ) -> None:
        self._values = values
        self._pauses = pause_detector
        self._suspects = table
        self._runner: local_runner.LocalRunner | None = None
        self._services: service_state.ServiceStates | None = None
        self._ready_at = float("-inf")
        self._told_by_fingerprint: dict[str, frozenset[str]] = {}
        self.store = store.Store(values.service)
        self.members = agent.new_member_table(values, rng)
        hooks = exchange.Hooks(
            load=self._load,
            on_load=self._take_load,
            crash_suspects=self._export_suspects,
            on_crash_suspects=self._take_suspects,
        )
        self._agent = agent.Agent(values, self.store, self.members, hooks, rng)

    @property
    def incarnation(self) -> str:
        """Return the incarnation of this process."""
        return self.members.own.incarnation

    def start(
        self, runner: local_runner.LocalRunner, services: service_state.ServiceStates
    ) -> None:
        """Start the exchange with the parts that take its news."""
        self._runner = runner
        self._services = services
        self._agent.start()

    def set_leaving(self) -> None:
        """Tell the other nodes that this one leaves."""
        self._agent.set_leaving()

    def stop(self) -> None:
        """End the exchange."""
        self._agent.stop()

    def in_force(self) -> model.ObjectSet | None:
        """Return the set in force; None while the node may not serve calls."""
        accepted = self.store.in_force()
        if accepted is None or not self._is_ready(time.monotonic()):
            return None
        return accepted.objects

    def is_leaving(self, endpoint: str, now: float) -> bool:
        """Whether the node beside an endpoint is known to leave."""
        return self.members.is_leaving(endpoint, now)

    def on_crash(self) -> None:
        """Tell other nodes of a crash of the own endpoint at once."""
        self._agent.wake()

    def counts(self) -> dict[str, int]:
        """Return the counters of the control part by name."""
        return self._agent.counts()

    def configuration(self) -> Fields:
        """Return what is known of revisions, for operators."""
        now = time.monotonic()
        accepted = self.store.in_force()
        claim = self.store.claim()
        fields: Fields = {
            "waiting_for": self._agent.readiness(now).value,
            "revision_known": claim.revision,
            "revision_known_from": str(claim.source) if claim.source else "",
            "conflicting_revisions": list(self.store.conflicting_revisions()),
            "revision": self.store.revision(),
        }
        if accepted is not None:
            fields["digest"] = accepted.digest
            fields["learned_from"] = str(accepted.source)
            fields["in_force_for_s"] = now - accepted.accepted_at
        return fields

    def member_rows(self) -> list[Fields]:
        """Return the members as this node believes them to be."""
        now = time.monotonic()
        rows = []
        for member in sorted(self.members.all(), key=lambda each: each.name):
            state = self.members.state(member.name, now)
            rows.append(
                {
                    "name": member.name,
                    "incarnation": member.incarnation,
                    "failure_domain": member.failure_domain,
                    "state": state.value if state else "",
                    "age_s": self.members.contact_age_s(member.name, now),
                }
            )
        return rows

    def _is_ready(self, now: float) -> bool:
        """Whether beliefs are fresh; asked anew only after a pause."""
        if self._pauses.is_paused(now):
            return False
        if self._ready_at > self._pauses.resumed_at():
            return True
        resumed_at = self._pauses.resumed_at()
        ready = self._agent.readiness(now, resumed_at) is startup.Readiness.READY
        if ready:
            self._ready_at = now
        return ready

    def _load(self) -> model.LoadReport | None:
        return self._runner.load_report() if self._runner else None

    def _take_load(self, name: str, load: model.LoadReport, age_s: float) -> None:
        accepted = self.store.in_force()
        if accepted is None or self._services is None:
            return
        for state in self._services.states_by_name().values():
            endpoint = state.endpoint(name)
            if endpoint is not None:
                state.tracker.on_report(endpoint, load, age_s, time.monotonic())

    def _export_suspects(self) -> list[bytes]:
        reports = self._suspects.export_reports(
            MAX_SUSPECTS_PER_MESSAGE, time.monotonic()
        )
        told, self._told_by_fingerprint = self._told_by_fingerprint, {}
        news = []
        for report in reports:
            # Ages differ on each export; only a further crash is news.
            crashes = frozenset(report.ages_by_crash)
            self._told_by_fingerprint[report.fingerprint] = crashes
            if told.get(report.fingerprint) != crashes:
                news.append(msgspec.msgpack.encode(report))
        return news

    def _take_suspects(self, records: Sequence[bytes]) -> None:
        reports = []
        for record in records:
            try:
                reports.append(_decoder.decode(record))
            except msgspec.MsgspecError:
                continue
        self._suspects.merge_reports(reports, time.monotonic())
