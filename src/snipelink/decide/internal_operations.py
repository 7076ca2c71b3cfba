"""Recognises operations that only running requests use, and requests that need them.

A call that an endpoint makes while it runs a request looks like any other call, but
its refusal also fails the request, for which a caller has waited and the endpoint has
worked. Two observations of nodes tell such calls apart: they arrive only while the
endpoint of their node runs a request, and only at nodes of the services that make
them, whereas callers are everywhere.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Collection

# Number of successive calls that must all look internal.
SAMPLE_COUNT = 12
# Time for which an operation is one of callers after a call that cannot be internal,
# seconds.
CALLER_OPERATION_S = 5.0
# Time for which a service counts as a user of an operation after a call, seconds.
USER_S = 10.0
# Time for which a service counts as one with callers after a call, seconds.
CALLING_SERVICE_S = 60.0
# Maximum number of operations for which calls are remembered.
MAX_OPERATIONS = 256
# Weight of served calls that is assumed in addition to the recorded ones. A node makes
# about one internal call a second, and each refusal should count.
ASSUMED_SERVED_WEIGHT = 0.5
# Maximum weight of all recorded calls of an operation. It bounds the time for which no
# request runs after their last calls were refused.
MAX_RECORDED_WEIGHT = 2.0
# Half-life of the weight of an internal call, seconds. As the weights decay, some
# requests are run again, which shows whether their calls are served.
UNSERVED_HALF_LIFE_S = 1.0
# Share of unserved internal calls above which requests that make them are refused.
MAX_UNSERVED_SHARE = 0.6
# Time for which an operation is known to make an internal call after one, seconds.
DEPENDENCY_S = 60.0


@dataclasses.dataclass(slots=True)
class _Observations:
    """Calls of one operation.

    Attributes
    ----------
    beside_running_count : int
        Number of successive calls beside running requests, at most `SAMPLE_COUNT`.
    callers_until : float
        Monotonic time until which the operation is one of callers.
    called_at_by_service : dict of str to float
        Monotonic time of the last call by the service of the machine that made it.
    """

    beside_running_count: int = 0
    callers_until: float = 0.0
    called_at_by_service: dict[str, float] = dataclasses.field(default_factory=dict)


class InternalOperations:
    """Learns which operations of an endpoint only running requests use."""

    def __init__(self) -> None:
        self._observations_by_operation: collections.OrderedDict[str, _Observations] = (
            collections.OrderedDict()
        )
        self._called_at_by_service: dict[str, float] = {}

    def record(
        self,
        operation: str,
        caller_service: str,
        *,
        beside_running: bool | None,
        now: float,
    ) -> None:
        """Record a call.

        Parameters
        ----------
        caller_service : str
            Service of the machine where the call was made.
        beside_running : bool or None
            Whether the endpoint of that machine was running a request; None if unknown.
        """
        if not operation or not caller_service:
            return
        self._called_at_by_service[caller_service] = now
        seen = self._observations_by_operation.setdefault(operation, _Observations())
        self._observations_by_operation.move_to_end(operation)
        if len(self._observations_by_operation) > MAX_OPERATIONS:
            self._observations_by_operation.popitem(last=False)
        seen.called_at_by_service[caller_service] = now
        if beside_running is None:
            return
        if beside_running:
            count = seen.beside_running_count + 1
            seen.beside_running_count = min(SAMPLE_COUNT, count)
        else:
            seen.beside_running_count = 0
            seen.callers_until = now + CALLER_OPERATION_S

    def is_internal(self, operation: str, now: float) -> bool:
        """Whether only running requests use an operation, as far as observed.

        While all services use an operation, or all calls come from nodes of one
        service, callers cannot be told from endpoints and it is not internal.
        """
        seen = self._observations_by_operation.get(operation)
        if seen is None or seen.beside_running_count < SAMPLE_COUNT:
            return False
        if now < seen.callers_until:
            return False
        users = _recent(seen.called_at_by_service, USER_S, now)
        return bool(_recent(self._called_at_by_service, CALLING_SERVICE_S, now) - users)


def _recent(at_by_service: dict[str, float], max_age_s: float, now: float) -> set[str]:
    return {service for service, at in at_by_service.items() if now - at < max_age_s}


@dataclasses.dataclass(slots=True)
class _UnservedShare:
    """Decaying weights of the calls of one operation at a monotonic time."""

    unserved: float = 0.0
    total: float = 0.0
    updated_at: float = 0.0

    def value(self, now: float) -> float:
        decay = self._decay(now)
        return self.unserved * decay / (self.total * decay + ASSUMED_SERVED_WEIGHT)

    def record(self, *, unserved: bool, now: float) -> None:
        decay = self._decay(now)
        total = self.total * decay + 1.0
        scale = min(1.0, MAX_RECORDED_WEIGHT / total)
        self.unserved = (self.unserved * decay + unserved) * scale
        self.total = total * scale
        self.updated_at = now

    def _decay(self, now: float) -> float:
        age_s = max(0.0, now - self.updated_at)
        return 0.5 ** (age_s / UNSERVED_HALF_LIFE_S)


class Dependencies:
    """Internal calls that requests of an endpoint make, and whether they are served."""

    def __init__(self) -> None:
        self._unserved_by_operation: dict[str, _UnservedShare] = {}
        # Times until which an operation is known to make calls of an internal one.
        self._known_until_by_operation: dict[str, dict[str, float]] = {}

    def record_call(
        self, internal_operation: str, running: Collection[str], now: float
    ) -> None:
        """Record an internal call and the operations of the requests that are running.

        Only if all of these are of one operation is it known which one made the call.
        """
        if len(running) == 1:
            (operation,) = running
            known_until = self._known_until_by_operation.setdefault(operation, {})
            known_until[internal_operation] = now + DEPENDENCY_S

    def record_outcome(
        self, internal_operation: str, *, unserved: bool, now: float
    ) -> None:
        """Record whether an internal call was refused or was not answered in time."""
        share = self._unserved_by_operation.setdefault(
            internal_operation, _UnservedShare()
        )
        share.record(unserved=unserved, now=now)

    def unserved_operation(self, operation: str, now: float) -> str | None:
        """Return an internal operation that requests need and that is not served.

        Returns
        -------
        internal_operation : str or None
            None if the requests of `operation` may run.
        """
        known_until = self._known_until_by_operation.get(operation, {})
        for internal_operation, until in known_until.items():
            share = self._unserved_by_operation.get(internal_operation)
            if share is None or now >= until:
                continue
            if share.value(now) > MAX_UNSERVED_SHARE:
                return internal_operation
        return None

    def retain(self, operations: set[str]) -> None:
        """Remove operations that are no longer published."""
        for operation in self._unserved_by_operation.keys() - operations:
            del self._unserved_by_operation[operation]
        for operation in self._known_until_by_operation.keys() - operations:
            del self._known_until_by_operation[operation]
        for known_until in self._known_until_by_operation.values():
            for operation in known_until.keys() - operations:
                del known_until[operation]
