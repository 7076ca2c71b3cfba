"""Data of a call that passes through the mesh, and the outcome of its attempts."""

from __future__ import annotations

import dataclasses

from snipelink import errors, model
from snipelink.decide import placement, queue_policy, return_schedule
from snipelink.session import http


@dataclasses.dataclass(slots=True)
class Call:
    """One call of a caller; times are seconds of this process's monotonic clock.

    Attributes
    ----------
    call_id : str
        Identity of the call, assigned by the caller.
    operation : str
        Name of the call's route; empty at the node that runs the call on its endpoint.
    target : str
        Request target, unchanged.
    arrived_at : float
        Time at which the first byte of the request arrived.
    target_at : float
        Target time of the answer: a later answer is worth less to the caller.
    deadline : float
        Time after which an answer is worthless to the caller.
    caller_service : str
        Service on the machine where the call was made.
    work_s : float
        Expected run time on an endpoint without slowdown, seconds.
    choice : Candidate or None
        Load data of the endpoint that the call was last sent to.
    appointment : Appointment or None
        When its caller should retry, if the call was refused and its return is planned.
    fingerprint : str
        Hash of the request by which `poison_requests` recognises requests that crash
        endpoints; empty until it is first needed.
    """

    call_id: str
    service: str
    operation: str
    method: str
    target: str
    headers: model.Headers
    body: model.Body
    arrived_at: float
    target_at: float
    deadline: float
    priority: int
    idempotent: bool
    work_s: float
    caller_service: str = ""
    max_attempts: int = 1
    choice: placement.Candidate | None = None
    appointment: return_schedule.Appointment | None = None
    fingerprint: str = ""

    def demand(self) -> queue_policy.Demand:
        """Return the data by which the queue of waiting calls orders this call."""
        return queue_policy.Demand(
            self.work_s,
            self.target_at,
            self.deadline,
            self.priority,
            self.arrived_at,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one attempt to run a call.

    Attributes
    ----------
    response : Response or None
        Answer of the endpoint; None if the attempt failed.
    failure : Failure or None
        Reason why there is no answer; None if there is one.
    reached : bool
        Whether the call was sent to the endpoint.
    work_s : float
        Run time of the call on an endpoint without slowdown, seconds; 0 if unknown.
    """

    response: http.Response | None = None
    failure: errors.Failure | None = None
    reached: bool = False
    work_s: float = 0.0

    @property
    def is_success(self) -> bool:
        """Whether the endpoint answered with a status below 500."""
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
