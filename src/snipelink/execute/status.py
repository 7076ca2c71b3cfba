"""Read-only views of a node's state for operators."""

from __future__ import annotations

import dataclasses
import time
import typing

from result import Err

from snipelink.balance import adaptive_policy
from snipelink.execute import control_plane, local_runner, routing, service_state
from snipelink.observe import metrics

Fields = dict[str, typing.Any]


class NodeStatus:
    """Collects the state of a node's parts.

    Parameters
    ----------
    identity : dict of str to str
        Name, incarnation, failure domain and region of the node.
    control : ControlPlane
        Configuration and membership.
    """

    def __init__(
        self,
        identity: dict[str, str],
        control: control_plane.ControlPlane,
        services: service_state.ServiceStates,
        runner: local_runner.LocalRunner,
        node_metrics: metrics.Metrics,
    ) -> None:
        self._identity = identity
        self._control = control
        self._services = services
        self._runner = runner
        self._metrics = node_metrics

    def state(self) -> Fields:
        """Return the state of the whole node."""
        now = time.monotonic()
        load = self._runner.load_report()
        return {
            **self._identity,
            "configuration": self._control.configuration(),
            "own_endpoint": dataclasses.asdict(load) if load else None,
            "services": {
                name: self._service(state, now)
                for name, state in sorted(self._services.states_by_name().items())
            },
            "members": self._control.member_rows(),
            "control": self._control.counts(),
            "latencies": self._metrics.summary(),
        }

    def explain(self, host: str, path: str, method: str, caller: str) -> Fields:
        """Return the route of a call now, with the policy's rating of each endpoint."""
        objects = self._control.in_force()
        if objects is None:
            return {"error": "not-ready", "detail": "no configuration is in force"}
        routed = routing.route(objects, host.lower(), path, method, caller)
        if isinstance(routed, Err):
            failure = routed.err_value
            return {"error": failure.kind.value, "detail": failure.detail}
        route = routed.ok_value
        now = time.monotonic()
        state = self._services.get(objects, route.service, now)
        return {
            "revision": objects.revision,
            "rule": route.rule,
            "service": route.service.name,
            "operation": dataclasses.asdict(route.operation),
            "endpoint_set": route.endpoint_set,
            "endpoints": _endpoints(state, route.endpoint_set, now),
        }

    def _service(self, state: service_state.ServiceState, now: float) -> Fields:
        return {
            "retries_left": state.retry_budget.available(now),
            "endpoints": _endpoints(state, "", now),
        }


def _endpoints(
    state: service_state.ServiceState, endpoint_set: str, now: float
) -> list[Fields]:
    explainer = adaptive_policy.AdaptivePolicy(state.tracker, *state.location)
    rows = explainer.explain(state.candidates(endpoint_set), now)
    return [dataclasses.asdict(row) for row in rows]
