"""Gives precedence to the calls that running requests make through their node.

See `decide.internal_operations` for how they are recognised. Applies to services whose
endpoints have few slots; calls of other services are ordinary.
"""

from __future__ import annotations

import collections
import contextlib
from collections.abc import Iterator

from snipelink.decide import internal_operations
from snipelink.mesh import calls, catalog, settings
from snipelink.observe import metrics

# Calls of one internal operation that a node passes on as internal at once for each
# request that its endpoint runs, so that a caller gains little by using the operation.
MAX_INTERNAL_PER_RUNNING = 2
# Time after the end of a request for which the endpoint still counts as running one,
# seconds, as a call that the request made may still be on its way.
RUN_GRACE_S = 0.25
# The same time after the start of the node: requests that its former process sent may
# still run.
RESTART_GRACE_S = 4.0
# Time for which a caller's node remembers that an operation is internal, seconds.
KNOWN_INTERNAL_S = 5.0


class InternalCalls:
    """Calls that running requests make, as seen by their node and by the called one.

    Parameters
    ----------
    node_settings : Settings
        Source of the slots up to which precedence applies.
    service_catalog : Catalog
        Published slots of the endpoints.
    metrics_registry : Metrics
        Counts internal calls by verdict.
    now : float
        Present monotonic time, seconds.

    Attributes
    ----------
    verdicts : Counter
        Numbers of internal calls by called service and verdict.
    """

    def __init__(
        self,
        node_settings: settings.Settings,
        service_catalog: catalog.Catalog,
        metrics_registry: metrics.Metrics,
        now: float,
    ) -> None:
        self._settings = node_settings
        self._catalog = service_catalog
        self._operations = internal_operations.InternalOperations()
        self._dependencies = internal_operations.Dependencies()
        self._running_by_operation: collections.Counter[str] = collections.Counter()
        self._in_flight_by_operation: collections.Counter[str] = collections.Counter()
        self._known_until_by_operation: dict[str, float] = {}
        self._may_run_until = now + RESTART_GRACE_S
        self.verdicts = metrics_registry.counter(
            "snipelink_mesh_internal_calls_total",
            "Calls of running requests, and the verdict beside the called endpoint.",
            ("service", "verdict"),
        )

    @contextlib.contextmanager
    def passing_on(self, call: calls.Call) -> Iterator[None]:
        """Set what this node observes about a call, and count the call as in flight."""
        running_count = self._running_by_operation.total()
        if not self._applies_to(call.service):
            yield
            return
        call.beside_running = running_count > 0 or call.arrived_at < self._may_run_until
        in_flight_count = self._in_flight_by_operation[call.operation]
        limit = MAX_INTERNAL_PER_RUNNING * running_count
        call.may_precede = call.beside_running and in_flight_count < limit
        if self.is_known(call.operation, call.arrived_at):
            running = self._running_by_operation.keys()
            self._dependencies.record_call(call.operation, running, call.arrived_at)
        self._in_flight_by_operation[call.operation] += 1
        try:
            yield
        finally:
            _decrement(self._in_flight_by_operation, call.operation)

    def on_outcome(self, call: calls.Call, outcome: calls.Outcome, now: float) -> None:
        """Record the outcome that the maker of a call receives.

        The failure of a call that had less time than its work takes does not tell
        whether other calls are served.
        """
        if outcome.internal:
            self._known_until_by_operation[call.operation] = now + KNOWN_INTERNAL_S
        had_time = call.deadline - call.arrived_at >= call.work_s
        if (
            call.beside_running
            and (had_time or outcome.failure is None)
            and self.is_known(call.operation, now)
        ):
            unserved = outcome.failure is not None
            self._dependencies.record_outcome(
                call.operation, unserved=unserved, now=now
            )

    def is_known(self, operation: str, now: float) -> bool:
        """Whether nodes of called endpoints have told that an operation is internal."""
        return now < self._known_until_by_operation.get(operation, 0.0)

    def unserved_operation(self, call: calls.Call, now: float) -> str | None:
        """Return an internal operation that a call needs and that is not served."""
        if not call.operation or not self._applies_to(call.service):
            return None
        return self._dependencies.unserved_operation(call.operation, now)

    def classify(self, call: calls.Call, now: float) -> bool:
        """Record a call for this endpoint; return whether its operation is internal."""
        if not self._applies_to(call.service):
            return False
        is_known = call.may_precede or not call.beside_running
        self._operations.record(
            call.operation,
            call.caller_service,
            beside_running=call.beside_running if is_known else None,
            now=now,
        )
        return self._operations.is_internal(call.operation, now)

    def record_verdict(self, call: calls.Call, verdict: str) -> None:
        """Count the verdict on a call if it has precedence."""
        if call.is_internal:
            self.verdicts.increment(call.service, verdict)

    @contextlib.contextmanager
    def running(self, call: calls.Call) -> Iterator[None]:
        """Count a request as running on this node's endpoint."""
        self._running_by_operation[call.operation] += 1
        try:
            yield
        finally:
            _decrement(self._running_by_operation, call.operation)

    def on_run_ended(self, call: calls.Call, *, has_ended: bool, now: float) -> None:
        """Record that this node no longer waits for a request on its endpoint.

        Parameters
        ----------
        has_ended : bool
            Whether the endpoint answered the request or has not run it. It may go on
            with a request that was given up, until its deadline.
        """
        ended_at = now if has_ended else max(now, call.deadline)
        self._may_run_until = max(self._may_run_until, ended_at + RUN_GRACE_S)

    def retain(self, operations: set[str]) -> None:
        """Remove what is known of operations that are no longer published."""
        self._dependencies.retain(operations)
        for operation in self._known_until_by_operation.keys() - operations:
            del self._known_until_by_operation[operation]

    def _applies_to(self, service: str) -> bool:
        few_slots = self._settings.balancing.few_slots
        return self._catalog.has_few_slots(service, few_slots)


def _decrement(counter: collections.Counter[str], key: str) -> None:
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]
