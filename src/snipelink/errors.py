"""Closed list of error kinds, with the table from kind to answer."""

from __future__ import annotations

import dataclasses
import enum


class Ran(enum.Enum):
    """Whether a call ran on an endpoint."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Repeat(enum.Enum):
    """Where a call may be repeated, whether it is idempotent or not."""

    NO = "no"
    ELSEWHERE = "elsewhere"
    LATER = "later"


class Kind(enum.Enum):
    """Kind of failure of a call."""

    BAD_REQUEST = "bad-request"
    REQUEST_TOO_LARGE = "request-too-large"
    HEADER_TOO_LARGE = "header-too-large"
    REQUEST_TIMEOUT = "request-timeout"
    NO_RULE = "no-rule"
    UNKNOWN_OPERATION = "unknown-operation"
    HOP_LIMIT = "hop-limit"
    NO_ENDPOINT = "no-endpoint"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    NOT_READY = "not-ready"
    UNREACHABLE = "unreachable"
    STALE_INCARNATION = "stale-incarnation"
    DEADLINE_NOT_RUN = "deadline-not-run"
    CANCELLED = "cancelled"
    CRASH_SUSPECT = "crash-suspect"
    DEADLINE_UNKNOWN = "deadline-unknown"
    CONNECTION_LOST = "connection-lost"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_UNKNOWN = "key-unknown"
    STOPPED = "stopped"
    INTERNAL = "internal"
    ANSWER_INCOMPLETE = "answer-incomplete"
    ANSWER_INVALID = "answer-invalid"
    ANSWER_TOO_LARGE = "answer-too-large"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Answer for one kind of failure."""

    status: int
    ran: Ran
    repeat: Repeat


ENTRIES_BY_KIND: dict[Kind, Entry] = {
    Kind.BAD_REQUEST: Entry(400, Ran.NOT_RUN, Repeat.NO),
    Kind.REQUEST_TOO_LARGE: Entry(413, Ran.NOT_RUN, Repeat.NO),
    Kind.HEADER_TOO_LARGE: Entry(431, Ran.NOT_RUN, Repeat.NO),
    Kind.REQUEST_TIMEOUT: Entry(408, Ran.NOT_RUN, Repeat.LATER),
    Kind.NO_RULE: Entry(404, Ran.NOT_RUN, Repeat.NO),
    Kind.UNKNOWN_OPERATION: Entry(404, Ran.NOT_RUN, Repeat.NO),
    Kind.HOP_LIMIT: Entry(508, Ran.NOT_RUN, Repeat.NO),
    Kind.NO_ENDPOINT: Entry(503, Ran.NOT_RUN, Repeat.LATER),
    Kind.OVERLOADED: Entry(503, Ran.NOT_RUN, Repeat.ELSEWHERE),
    Kind.LEAVING: Entry(503, Ran.NOT_RUN, Repeat.ELSEWHERE),
    Kind.NOT_READY: Entry(503, Ran.NOT_RUN, Repeat.ELSEWHERE),
    Kind.UNREACHABLE: Entry(503, Ran.NOT_RUN, Repeat.ELSEWHERE),
    Kind.STALE_INCARNATION: Entry(503, Ran.NOT_RUN, Repeat.ELSEWHERE),
    Kind.DEADLINE_NOT_RUN: Entry(504, Ran.NOT_RUN, Repeat.LATER),
    Kind.CANCELLED: Entry(499, Ran.NOT_RUN, Repeat.NO),
    Kind.CRASH_SUSPECT: Entry(503, Ran.NOT_RUN, Repeat.LATER),
    Kind.DEADLINE_UNKNOWN: Entry(504, Ran.UNKNOWN, Repeat.NO),
    Kind.CONNECTION_LOST: Entry(502, Ran.UNKNOWN, Repeat.NO),
    Kind.KEY_IN_PROGRESS: Entry(409, Ran.UNKNOWN, Repeat.LATER),
    Kind.KEY_UNKNOWN: Entry(409, Ran.UNKNOWN, Repeat.NO),
    Kind.STOPPED: Entry(503, Ran.UNKNOWN, Repeat.NO),
    Kind.INTERNAL: Entry(500, Ran.UNKNOWN, Repeat.NO),
    Kind.ANSWER_INCOMPLETE: Entry(502, Ran.RAN, Repeat.NO),
    Kind.ANSWER_INVALID: Entry(502, Ran.RAN, Repeat.NO),
    Kind.ANSWER_TOO_LARGE: Entry(502, Ran.RAN, Repeat.NO),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Failure of a call.

    Attributes
    ----------
    kind : Kind
        Kind of failure; decides the answer.
    detail : str
        Text for logs and the body of the answer.
    retry_after_s : float
        Seconds after which the caller may try again; 0 when unknown.
    endpoint : str
        Name of the endpoint concerned; empty when none was chosen.
    retried : bool
        Whether a hop nearer the failure has already decided on a retry; no other hop
        retries then.
    crashed : bool
        Whether the endpoint crashed while the call ran.
    """

    kind: Kind
    detail: str = ""
    retry_after_s: float = 0.0
    endpoint: str = ""
    retried: bool = False
    crashed: bool = False

    @property
    def entry(self) -> Entry:
        """Return the table entry of this failure's kind."""
        return ENTRIES_BY_KIND[self.kind]

    @property
    def not_run(self) -> bool:
        """Whether the call certainly did not run."""
        return self.entry.ran is Ran.NOT_RUN
