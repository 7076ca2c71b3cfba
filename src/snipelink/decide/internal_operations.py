"""Recognises operations that only running requests use, and requests that need them.

A call that an endpoint makes while it runs a request looks like any other call, but
its refusal also fails the request, for which a caller has waited and the endpoint has
worked. Two observations of nodes tell such calls apart: they arrive only while the
endpoint of their node runs a request, and only at nodes of the service that makes
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
# Maximum number of operations for which calls are remembered.
MAX_OPERATIONS = 256
# Weight of one outcome in the moving average of unserved internal calls.
UNSERVED_WEIGHT = 0.2
# Half-life of the share of unserved internal calls without new calls, seconds. As the
# share decays, some requests are run again, which shows whether their calls are served.
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
    caller_service : str
        Service of the machines where the last calls were made.
    count : int
        Number of successive calls from that service, at most `SAMPLE_COUNT`.
    callers_until : float
        Monotonic time until which the operation is one of callers.
    """

    caller_service: str
    count: int = 0
    callers_until: float = 0.0


class InternalOperations:
    """Learns which operations of an endpoint only running requests use."""

    def __init__(self) -> None:
        self._observations_by_operation: collections.OrderedDict[str, _Observations] = (
            collections.OrderedDict()
        )
        self._caller_services: set[str] = set()

    def record(
        self, operation: str, caller_service: str, *, beside_running: bool, now: float
    ) -> None:
        """Record a call.

        Parameters
        ----------
        caller_service : str
            Service of the machine where the call was made.
        beside_running : bool
            Whether the endpoint of that machine was running a request.
        """
        if not operation or not caller_service:
            return
        if len(self._caller_services) < 2:
            self._caller_services.add(caller_service)
        seen = self._observations_by_operation.get(operation)
        if seen is None:
            seen = _Observations(caller_service)
            self._observations_by_operation[operation] = seen
            if len(self._observations_by_operation) > MAX_OPERATIONS:
                self._observations_by_operation.popitem(last=False)
        self._observations_by_operation.move_to_end(operation)
        if not beside_running or caller_service != seen.caller_service:
            seen.caller_service = caller_service
            seen.count = 0
            seen.callers_until = now + CALLER_OPERATION_S
            return
        seen.count = min(SAMPLE_COUNT, seen.count + 1)

    def is_internal(self, operation: str, now: float) -> bool:
        """Whether only running requests use an operation, as far as observed.

        While all calls come from nodes of one service, callers cannot be told from
        endpoints and no operation is internal.
        """
        seen = self._observations_by_operation.get(operation)
        return (
            seen is not None
            and seen.count >= SAMPLE_COUNT
            and now >= seen.callers_until
            and len(self._caller_services) > 1
        )


@dataclasses.dataclass(slots=True)
class _UnservedShare:
    """Moving average of the unserved calls of one operation at a monotonic time."""

    share: float = 0.0
    updated_at: float = 0.0

    def value(self, now: float) -> float:
        age_s = max(0.0, now - self.updated_at)
        return self.share * 0.5 ** (age_s / UNSERVED_HALF_LIFE_S)

    def record(self, *, unserved: bool, now: float) -> None:
        share = self.value(now)
        self.share = share + UNSERVED_WEIGHT * (unserved - share)
        self.updated_at = now


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
