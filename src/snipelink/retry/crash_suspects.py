"""Calls suspected of crashing the endpoints that run them."""

from __future__ import annotations

import dataclasses
import hashlib
import threading
from collections.abc import Iterable

from snipelink import errors, model

FINGERPRINT_BYTES = 16
MAX_SUSPECTS = 1024
MAX_CRASHES = 16
MAX_CRASH_NAMES = 4096
EXPIRY_S = 600.0
MAX_RETRY_AFTER_S = 60.0

# A call that takes part in two crashes and in no more clean runs is contained. One that
# crashes only sometimes needs more crashes, because frequent innocent calls also run
# beside a crash now and then.
FEW_CRASHES = 2
FEW_CRASHES_SHARE = 0.5
MANY_CRASHES = 4
MANY_CRASHES_SHARE = 0.2


def fingerprint(call: model.Call) -> str:
    """Return the identity of what a call asks for; equal for a repeated request."""
    fields = (call.service, call.operation.name, call.method, call.target)
    return digest(fields, call.body, FINGERPRINT_BYTES)


def digest(fields: Iterable[str], body: bytes, size: int) -> str:
    """Return a digest of `size` bytes, as hexadecimal text."""
    hashed = hashlib.blake2b(digest_size=size)
    for field in fields:
        hashed.update(field.encode())
        hashed.update(b"\0")
    hashed.update(body)
    return hashed.hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectReport:
    """What one node knows about a suspect, for other nodes.

    Attributes
    ----------
    ages_by_crash : dict
        Age in seconds of each crash, by a name that is the same on every node.
    clean_runs : int
        Runs without a crash since the first one, as seen by the reporting node.
    """

    fingerprint: str
    ages_by_crash: dict[str, float]
    clean_runs: int


@dataclasses.dataclass(slots=True)
class _Suspect:
    times_by_crash: dict[str, float]
    clean_runs: int = 0
    reported_clean_runs: int = 0
    contained_at: float | None = None

    @property
    def last_crash(self) -> float:
        return max(self.times_by_crash.values())


class CrashSuspectTable:
    """Suspects by fingerprint, with bounded memory and an expiry.

    A crash is blamed on all calls that were running. Once one of them is contained, it
    explains the crash and the others are no longer blamed for it.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._suspects_by_fingerprint: dict[str, _Suspect] = {}
        self._culprits_by_crash: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._suspects_by_fingerprint)

    def on_crash(
        self, endpoint: str, incarnation: str, fingerprints: Iterable[str], now: float
    ) -> None:
        """Record a crash and the calls that were running; repeats have no effect."""
        with self._lock:
            crash = f"{endpoint}/{incarnation}"
            self._expire(now)
            names = set(fingerprints)
            for name in names:
                self._blame(name, crash, now)
            self._judge(names, now)

    def on_clean_run(self, name: str) -> None:
        """Record that a call ran and its endpoint did not crash."""
        with self._lock:
            suspect = self._suspects_by_fingerprint.get(name)
            if suspect is not None:
                suspect.clean_runs += 1

    def refusal_of_call(self, call: model.Call, now: float) -> errors.Failure | None:
        """Return the refusal of a contained call, or None when it may run."""
        if not self._suspects_by_fingerprint:
            return None
        return self.refusal_of_fingerprint(fingerprint(call), now)

    def refusal_of_fingerprint(self, name: str, now: float) -> errors.Failure | None:
        """Return the refusal of a contained fingerprint, or None."""
        with self._lock:
            suspect = self._suspects_by_fingerprint.get(name)
            if suspect is None or suspect.contained_at is None:
                return None
            left = suspect.last_crash + EXPIRY_S - now
            if left <= 0.0:
                self._remove(name)
                return None
        return errors.Failure(
            errors.Kind.CRASH_SUSPECT,
            "endpoints crashed while running this request",
            min(left, MAX_RETRY_AFTER_S),
        )

    def export_reports(self, limit: int, now: float) -> list[SuspectReport]:
        """Return reports on the suspects with the most crashes."""
        with self._lock:
            self._expire(now)
            ranked = sorted(
                self._suspects_by_fingerprint.items(),
                key=lambda item: (len(item[1].times_by_crash), item[1].last_crash),
                reverse=True,
            )
            return [
                SuspectReport(
                    name,
                    {crash: now - at for crash, at in suspect.times_by_crash.items()},
                    suspect.clean_runs,
                )
                for name, suspect in ranked[:limit]
            ]

    def merge_reports(self, reports: Iterable[SuspectReport], now: float) -> None:
        """Take over what another node reports.

        Crashes count once by name. Of clean runs the highest report counts, because a
        sum would count repeated reports twice.
        """
        with self._lock:
            self._expire(now)
            names = set()
            for report in reports:
                for crash, age in list(report.ages_by_crash.items())[:MAX_CRASHES]:
                    if 0.0 <= age < EXPIRY_S:
                        self._blame(report.fingerprint, crash, now - age)
                suspect = self._suspects_by_fingerprint.get(report.fingerprint)
                if suspect is not None:
                    suspect.reported_clean_runs = max(
                        suspect.reported_clean_runs, report.clean_runs
                    )
                    names.add(report.fingerprint)
            self._judge(names, now)

    def _blame(self, name: str, crash: str, at: float) -> None:
        suspect = self._suspects_by_fingerprint.get(name)
        if suspect is None:
            if len(self._suspects_by_fingerprint) >= MAX_SUSPECTS:
                self._evict()
            self._suspects_by_fingerprint[name] = _Suspect({crash: at})
        elif len(suspect.times_by_crash) < MAX_CRASHES:
            suspect.times_by_crash.setdefault(crash, at)
            if suspect.contained_at is not None:
                self._explain(crash, name)

    def _judge(self, names: set[str], now: float) -> None:
        """Contain the suspects with the most evidence among the named ones.

        Suspects with equal evidence are only contained after a third crash, because
        all but one of them are innocent.
        """
        evidence_by_name = {}
        for name in names:
            evidence = self._evidence(name)
            if evidence is not None:
                evidence_by_name[name] = evidence
        if not evidence_by_name:
            return
        highest = max(evidence_by_name.values())
        leading = [n for n, each in evidence_by_name.items() if each == highest]
        if len(leading) > 1 and highest[1] <= FEW_CRASHES:
            return
        for name in leading:
            suspect = self._suspects_by_fingerprint[name]
            suspect.contained_at = now
            for crash in suspect.times_by_crash:
                self._explain(crash, name)

    def _explain(self, crash: str, name: str) -> None:
        if len(self._culprits_by_crash) < MAX_CRASH_NAMES:
            self._culprits_by_crash.setdefault(crash, name)

    def _evidence(self, name: str) -> tuple[float, int] | None:
        """Return the share of crashes and their number, or None when it is too weak."""
        suspect = self._suspects_by_fingerprint.get(name)
        if suspect is None or suspect.contained_at is not None:
            return None
        crashes = sum(
            self._culprits_by_crash.get(crash, name) == name
            for crash in suspect.times_by_crash
        )
        clean = suspect.clean_runs + suspect.reported_clean_runs
        share = crashes / max(1, crashes + clean)
        few = crashes >= FEW_CRASHES and share >= FEW_CRASHES_SHARE
        many = crashes >= MANY_CRASHES and share >= MANY_CRASHES_SHARE
        return (share, crashes) if few or many else None

    def _expire(self, now: float) -> None:
        for name in [
            name
            for name, suspect in self._suspects_by_fingerprint.items()
            if now - suspect.last_crash >= EXPIRY_S
        ]:
            self._remove(name)

    def _evict(self) -> None:
        """Remove the suspect with the least evidence, the oldest among equals."""
        name = min(
            self._suspects_by_fingerprint,
            key=lambda each: (
                self._suspects_by_fingerprint[each].contained_at is not None,
                len(self._suspects_by_fingerprint[each].times_by_crash),
                self._suspects_by_fingerprint[each].last_crash,
            ),
        )
        self._remove(name)

    def _remove(self, name: str) -> None:
        suspect = self._suspects_by_fingerprint.pop(name, None)
        if suspect is not None and suspect.contained_at is not None:
            for crash in suspect.times_by_crash:
                if self._culprits_by_crash.get(crash) == name:
                    del self._culprits_by_crash[crash]
