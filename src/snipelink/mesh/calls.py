"""A call on its way through the mesh, and what became of it."""

from __future__ import annotations

import dataclasses

from snipelink import errors, model
from snipelink.decide import placement, queue_policy
from snipelink.session import http


@dataclasses.dataclass(slots=True)
class Call:
    """One call of a caller; times in seconds of this process's monotonic clock.

    Attributes
    ----------
    call_id : str
        Identity that the caller gave to it.
    operation : str
        Name of its route; empty at the node beside the endpoint.
    target : str
        Request target, unchanged.
    target_at, deadline : float
        Times by which an answer has its full value, and any.
    caller_service : str
        Service on whose machine the call began.
    work_s : float
        Expected work in undisturbed seconds.
    choice : Candidate or None
        What was known of the endpoint that it was last sent to.
    fingerprint : str
        What it asks for, see `poison_requests`; empty until it is needed.
    """

    call_id: str
    service: str
    operation: str
    method: str
    target: str
    headers: model.Headers
    body: bytes
    arrived_at: float
    target_at: float
    deadline: float
    priority: int
    idempotent: bool
    work_s: float
    caller_service: str = ""
    max_attempts: int = 1
    choice: placement.Candidate | None = None
    fingerprint: str = ""

    def demand(self) -> queue_policy.Demand:
        """Return what the call needs while it waits."""
        return queue_policy.Demand(
            self.work_s,
            self.target_at,
            self.deadline,
            self.priority,
            self.arrived_at,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one attempt to run a call.

    Attributes
    ----------
    response : Response or None
        Answer of the endpoint.
    failure : Failure or None
        Why there is none.
    reached : bool
        Whether the call was sent to the endpoint.
    work_s : float
        Work that the call took, in undisturbed seconds; 0 while unknown.
    """

    response: http.Response | None = None
    failure: errors.Failure | None = None
    reached: bool = False
    work_s: float = 0.0

    @property
    def is_success(self) -> bool:
        """Whether the endpoint answered, and not with a failure of its own."""
        return self.response is not None and self.response.status < 500


def failed_outcome(
    kind: errors.Kind,
    detail: str,
    retry_after_s: float = 0.0,
    *,
    reached: bool = False,
) -> Outcome:
    """Return the outcome of an attempt without an answer."""
    return Outcome(failure=errors.Failure(kind, detail, retry_after_s), reached=reached)
