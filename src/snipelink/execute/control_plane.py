"""Connects a node's configuration and gossip with its execution of calls."""

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
_suspect_decoder = msgspec.msgpack.Decoder(crash_suspects.SuspectReport)
Fields = dict[str, typing.Any]


class ControlPlane:
    """Provides configuration and membership to the parts that run calls.

    Parameters
    ----------
    values : Settings
        Settings of the node.
    pause_detector : PauseDetector
        Detects that the process was suspended and resumed.
    table : CrashSuspectTable
        Crash suspects, which are exchanged with other nodes.
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
        self._ready_confirmed_at = float("-inf")
        self._exported_crashes_by_fingerprint: dict[str, frozenset[str]] = {}
        self.store = store.Store(values.service)
        self.members = agent.new_member_table(values, rng)
        hooks = exchange.Hooks(
            load=self._load,
            on_load=self._record_load,
            crash_suspects=self._export_suspects,
            on_crash_suspects=self._import_suspects,
        )
        self._agent = agent.Agent(values, self.store, self.members, hooks, rng)

    @property
    def incarnation(self) -> str:
        """Return the incarnation, which identifies this run of the process."""
        return self.members.own.incarnation

    def start(
        self, runner: local_runner.LocalRunner, services: service_state.ServiceStates
    ) -> None:
        """Start the gossip exchange; `runner` and `services` receive its updates."""
        self._runner = runner
        self._services = services
        self._agent.start()

    def set_leaving(self) -> None:
        """Announce to the other nodes that this node is shutting down."""
        self._agent.set_leaving()

    def stop(self) -> None:
        """Stop the gossip exchange."""
        self._agent.stop()

    def in_force(self) -> model.ObjectSet | None:
        """Return the object set in force; None while the node is not ready."""
        accepted = self.store.in_force()
        if accepted is None or not self._is_ready(time.monotonic()):
            return None
        return accepted.objects

    def is_leaving(self, endpoint: str, now: float) -> bool:
        """Whether the node beside an endpoint is known to be shutting down."""
        return self.members.is_leaving(endpoint, now)

    def on_crash(self) -> None:
        """Wake the gossip agent to report a crash of the own endpoint at once."""
        self._agent.wake()

    def counts(self) -> dict[str, int]:
        """Return the counters of configuration and gossip by name."""
        return self._agent.counts()

    def configuration(self) -> Fields:
        """Return the known revisions of the configuration, for operators."""
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
        """Return the members and their states in this node's member table."""
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
        """Whether the configuration is current enough to serve calls.

        Readiness is cached and checked again only after the process was paused.
        """
        if self._pauses.is_paused(now):
            return False
        if self._ready_confirmed_at > self._pauses.resumed_at():
            return True
        resumed_at = self._pauses.resumed_at()
        ready = self._agent.readiness(now, resumed_at) is startup.Readiness.READY
        if ready:
            self._ready_confirmed_at = now
        return ready

    def _load(self) -> model.LoadReport | None:
        return self._runner.load_report() if self._runner else None

    def _record_load(self, name: str, load: model.LoadReport, age_s: float) -> None:
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
        previous, self._exported_crashes_by_fingerprint = (
            self._exported_crashes_by_fingerprint,
            {},
        )
        changed_records = []
        for report in reports:
            # The ages in a report change on each export, so a report is sent again only
            # if its set of crashes has changed.
            crashes = frozenset(report.ages_by_crash)
            self._exported_crashes_by_fingerprint[report.fingerprint] = crashes
            if previous.get(report.fingerprint) != crashes:
                changed_records.append(msgspec.msgpack.encode(report))
        return changed_records

    def _import_suspects(self, records: Sequence[bytes]) -> None:
        reports = []
        for record in records:
            try:
                reports.append(_suspect_decoder.decode(record))
            except msgspec.MsgspecError:
                continue
        self._suspects.merge_reports(reports, time.monotonic())
