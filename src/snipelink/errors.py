"""Error kinds of failed calls, with the HTTP status and retryability of each."""

from __future__ import annotations

import dataclasses
import enum


class ExecutionStatus(enum.Enum):
    """Whether a failed call was executed on an endpoint."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Retryability(enum.Enum):
    """Whether and where a call may be retried, even if it is not idempotent."""

    NO = "no"
    ELSEWHERE = "elsewhere"
    LATER = "later"


class Kind(enum.Enum):
    """Kind of failure of a call; the set of kinds is closed."""

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
class KindTraits:
    """HTTP status, execution status and retryability of one kind of failure."""

    status: int
    execution_status: ExecutionStatus
    retryability: Retryability


TRAITS_BY_KIND: dict[Kind, KindTraits] = {
    Kind.BAD_REQUEST: KindTraits(400, ExecutionStatus.NOT_RUN, Retryability.NO),
    Kind.REQUEST_TOO_LARGE: KindTraits(413, ExecutionStatus.NOT_RUN, Retryability.NO),
    Kind.HEADER_TOO_LARGE: KindTraits(431, ExecutionStatus.NOT_RUN, Retryability.NO),
    Kind.REQUEST_TIMEOUT: KindTraits(408, ExecutionStatus.NOT_RUN, Retryability.LATER),
    Kind.NO_RULE: KindTraits(404, ExecutionStatus.NOT_RUN, Retryability.NO),
    Kind.UNKNOWN_OPERATION: KindTraits(404, ExecutionStatus.NOT_RUN, Retryability.NO),
    Kind.HOP_LIMIT: KindTraits(508, ExecutionStatus.NOT_RUN, Retryability.NO),
    Kind.NO_ENDPOINT: KindTraits(503, ExecutionStatus.NOT_RUN, Retryability.LATER),
    Kind.OVERLOADED: KindTraits(503, ExecutionStatus.NOT_RUN, Retryability.ELSEWHERE),
    Kind.LEAVING: KindTraits(503, ExecutionStatus.NOT_RUN, Retryability.ELSEWHERE),
    Kind.NOT_READY: KindTraits(503, ExecutionStatus.NOT_RUN, Retryability.ELSEWHERE),
    Kind.UNREACHABLE: KindTraits(503, ExecutionStatus.NOT_RUN, Retryability.ELSEWHERE),
    Kind.STALE_INCARNATION: KindTraits(
        503, ExecutionStatus.NOT_RUN, Retryability.ELSEWHERE
    ),
    Kind.DEADLINE_NOT_RUN: KindTraits(504, ExecutionStatus.NOT_RUN, Retryability.LATER),
    Kind.CANCELLED: KindTraits(499, ExecutionStatus.NOT_RUN, Retryability.NO),
    Kind.CRASH_SUSPECT: KindTraits(503, ExecutionStatus.NOT_RUN, Retryability.LATER),
    Kind.DEADLINE_UNKNOWN: KindTraits(504, ExecutionStatus.UNKNOWN, Retryability.NO),
    Kind.CONNECTION_LOST: KindTraits(502, ExecutionStatus.UNKNOWN, Retryability.NO),
    Kind.KEY_IN_PROGRESS: KindTraits(409, ExecutionStatus.UNKNOWN, Retryability.LATER),
    Kind.KEY_UNKNOWN: KindTraits(409, ExecutionStatus.UNKNOWN, Retryability.NO),
    Kind.STOPPED: KindTraits(503, ExecutionStatus.UNKNOWN, Retryability.NO),
    Kind.INTERNAL: KindTraits(500, ExecutionStatus.UNKNOWN, Retryability.NO),
    Kind.ANSWER_INCOMPLETE: KindTraits(502, ExecutionStatus.RAN, Retryability.NO),
    Kind.ANSWER_INVALID: KindTraits(502, ExecutionStatus.RAN, Retryability.NO),
    Kind.ANSWER_TOO_LARGE: KindTraits(502, ExecutionStatus.RAN, Retryability.NO),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Failure of a call.

    Attributes
    ----------
    kind : Kind
        Kind of failure, which determines the response to the caller.
    detail : str
        Text for logs and for the body of the response.
    retry_after_s : float
        Seconds after which the caller may retry; 0 when unknown.
    endpoint : str
        Name of the endpoint that was chosen; empty when none was chosen.
    retried : bool
        Whether a node closer to the failure has already decided about a retry. Nodes
        closer to the caller then do not retry, so that retries do not multiply.
    crashed : bool
        Whether the endpoint crashed while it executed the call.
    """

    kind: Kind
    detail: str = ""
    retry_after_s: float = 0.0
    endpoint: str = ""
    retried: bool = False
    crashed: bool = False

    @property
    def traits(self) -> KindTraits:
        """Return the traits of this failure's kind."""
        return TRAITS_BY_KIND[self.kind]

    @property
    def not_run(self) -> bool:
        """Whether it is certain that no endpoint executed the call."""
        return self.traits.execution_status is ExecutionStatus.NOT_RUN
