"""Poison requests: detects calls that crash the endpoints which run them."""

from __future__ import annotations

import dataclasses
import hashlib
import threading
from collections.abc import Iterable

from snipelink import errors, model

FINGERPRINT_BYTES = 16
MAX_SUSPECT_COUNT = 1024
MAX_CRASH_COUNT = 16
MAX_ATTRIBUTED_CRASH_COUNT = 4096
EXPIRY_S = 600.0
MAX_RETRY_AFTER_S = 60.0

# A call is contained after two crashes if it had at most as many clean runs as crashes.
# With more clean runs, four crashes are required, because frequent harmless calls also
# run during some crashes.
FEW_CRASH_COUNT = 2
FEW_CRASHES_MIN_SHARE = 0.5
MANY_CRASH_COUNT = 4
MANY_CRASHES_MIN_SHARE = 0.2


def fingerprint(call: model.Call) -> str:
    """Return a digest of the request in a call; equal for a repeated request."""
    fields = (call.service, call.operation.name, call.method, call.target)
    return digest(fields, call.body, FINGERPRINT_BYTES)


def digest(fields: Iterable[str], body: model.Body, size: int) -> str:
    """Return a digest of `size` bytes, as hexadecimal text."""
    hashed = hashlib.blake2b(digest_size=size)
    for field in fields:
        hashed.update(field.encode())
        hashed.update(b"\0")
    hashed.update(body)
    return hashed.hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectReport:
    """Evidence about one suspect, which a node sends to other nodes.

    Attributes
    ----------
    ages_by_crash : dict
        Age of each crash in seconds, by a crash name that all nodes share.
    clean_runs : int
        Runs without a crash after the first crash, as counted by the reporting node.
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
    def last_crash_at(self) -> float:
        return max(self.times_by_crash.values())


class CrashSuspectTable:
    """Suspects by fingerprint, with bounded memory and an expiry.

    A crash counts against all calls that were running. A suspect with enough evidence
    is contained: the node refuses further calls with its fingerprint. The crashes of a
    contained suspect are attributed to it and no longer count against other calls.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._suspects_by_fingerprint: dict[str, _Suspect] = {}
        self._causes_by_crash: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._suspects_by_fingerprint)

    def on_crash(
        self, endpoint: str, incarnation: str, fingerprints: Iterable[str], now: float
    ) -> None:
        """Record a crash and the running calls; a repeated record has no effect."""
        with self._lock:
            crash = f"{endpoint}/{incarnation}"
            self._expire(now)
            suspected = set(fingerprints)
            for fingerprint in suspected:
                self._add_crash(fingerprint, crash, now)
            self._contain_strongest(suspected, now)

    def on_clean_run(self, fingerprint: str) -> None:
        """Record that a call ran without a crash of its endpoint."""
        with self._lock:
            suspect = self._suspects_by_fingerprint.get(fingerprint)
            if suspect is not None:
                suspect.clean_runs += 1

    def refusal_of_call(self, call: model.Call, now: float) -> errors.Failure | None:
        """Return the failure for a contained call; None when the call may run."""
        if not self._suspects_by_fingerprint:
            return None
        return self.refusal_of_fingerprint(fingerprint(call), now)

    def refusal_of_fingerprint(
        self, fingerprint: str, now: float
    ) -> errors.Failure | None:
        """Return the failure for a contained fingerprint; None when it may run."""
        with self._lock:
            suspect = self._suspects_by_fingerprint.get(fingerprint)
            if suspect is None or suspect.contained_at is None:
                return None
            remaining_s = suspect.last_crash_at + EXPIRY_S - now
            if remaining_s <= 0.0:
                self._remove(fingerprint)
                return None
        return errors.Failure(
            errors.Kind.CRASH_SUSPECT,
            "endpoints crashed while running this request",
            min(remaining_s, MAX_RETRY_AFTER_S),
        )

    def export_reports(self, limit: int, now: float) -> list[SuspectReport]:
        """Return reports on the ``limit`` suspects with the most crashes."""
        with self._lock:
            self._expire(now)
            ranked = sorted(
                self._suspects_by_fingerprint.items(),
                key=lambda item: (len(item[1].times_by_crash), item[1].last_crash_at),
                reverse=True,
            )
            return [
                SuspectReport(
                    fingerprint,
                    {
                        crash: now - crashed_at
                        for crash, crashed_at in suspect.times_by_crash.items()
                    },
                    suspect.clean_runs,
                )
                for fingerprint, suspect in ranked[:limit]
            ]

    def merge_reports(self, reports: Iterable[SuspectReport], now: float) -> None:
        """Merge the reports of other nodes into this table.

        Each crash counts once by its name. Of the reported clean runs only the highest
        number counts, because a sum would count repeated reports twice.
        """
        with self._lock:
            self._expire(now)
            suspected = set()
            for report in reports:
                for crash, age_s in list(report.ages_by_crash.items())[
                    :MAX_CRASH_COUNT
                ]:
                    if 0.0 <= age_s < EXPIRY_S:
                        self._add_crash(report.fingerprint, crash, now - age_s)
                suspect = self._suspects_by_fingerprint.get(report.fingerprint)
                if suspect is not None:
                    suspect.reported_clean_runs = max(
                        suspect.reported_clean_runs, report.clean_runs
                    )
                    suspected.add(report.fingerprint)
            self._contain_strongest(suspected, now)

    def _add_crash(self, fingerprint: str, crash: str, crashed_at: float) -> None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            if len(self._suspects_by_fingerprint) >= MAX_SUSPECT_COUNT:
                self._evict()
            self._suspects_by_fingerprint[fingerprint] = _Suspect({crash: crashed_at})
        elif len(suspect.times_by_crash) < MAX_CRASH_COUNT:
            suspect.times_by_crash.setdefault(crash, crashed_at)
            if suspect.contained_at is not None:
                self._attribute_crash(crash, fingerprint)

    def _contain_strongest(self, suspected: set[str], now: float) -> None:
        """Contain the suspects with the strongest evidence among the given ones.

        Suspects with equal evidence are contained only after a third crash, because all
        but one of them are probably harmless.
        """
        evidence_by_fingerprint = {}
        for fingerprint in suspected:
            evidence = self._evidence(fingerprint)
            if evidence is not None:
                evidence_by_fingerprint[fingerprint] = evidence
        if not evidence_by_fingerprint:
            return
        highest = max(evidence_by_fingerprint.values())
        leading = [
            each
            for each, evidence in evidence_by_fingerprint.items()
            if evidence == highest
        ]
        if len(leading) > 1 and highest[1] <= FEW_CRASH_COUNT:
            return
        for fingerprint in leading:
            suspect = self._suspects_by_fingerprint[fingerprint]
            suspect.contained_at = now
            for crash in suspect.times_by_crash:
                self._attribute_crash(crash, fingerprint)

    def _attribute_crash(self, crash: str, fingerprint: str) -> None:
        if len(self._causes_by_crash) < MAX_ATTRIBUTED_CRASH_COUNT:
            self._causes_by_crash.setdefault(crash, fingerprint)

    def _evidence(self, fingerprint: str) -> tuple[float, int] | None:
        """Return the crash share and the crash count; None when they are too low."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None or suspect.contained_at is not None:
            return None
        crashes = sum(
            self._causes_by_crash.get(crash, fingerprint) == fingerprint
            for crash in suspect.times_by_crash
        )
        clean_runs = suspect.clean_runs + suspect.reported_clean_runs
        share = crashes / max(1, crashes + clean_runs)
        few = crashes >= FEW_CRASH_COUNT and share >= FEW_CRASHES_MIN_SHARE
        many = crashes >= MANY_CRASH_COUNT and share >= MANY_CRASHES_MIN_SHARE
        return (share, crashes) if few or many else None

    def _expire(self, now: float) -> None:
        for fingerprint in [
            fingerprint
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            if now - suspect.last_crash_at >= EXPIRY_S
        ]:
            self._remove(fingerprint)

    def _evict(self) -> None:
        """Remove the suspect with the weakest evidence; the oldest one on a tie."""
        fingerprint = min(
            self._suspects_by_fingerprint,
            key=lambda each: (
                self._suspects_by_fingerprint[each].contained_at is not None,
                len(self._suspects_by_fingerprint[each].times_by_crash),
                self._suspects_by_fingerprint[each].last_crash_at,
            ),
        )
        self._remove(fingerprint)

    def _remove(self, fingerprint: str) -> None:
        suspect = self._suspects_by_fingerprint.pop(fingerprint, None)
        if suspect is not None and suspect.contained_at is not None:
            for crash in suspect.times_by_crash:
                if self._causes_by_crash.get(crash) == fingerprint:
                    del self._causes_by_crash[crash]
