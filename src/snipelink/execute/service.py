"""What a node keeps for each service it calls."""

from __future__ import annotations

import random
import threading
import typing

from snipelink import model
from snipelink.balance import policy as policies
from snipelink.balance import tracker as trackers
from snipelink.execute import routing
from snipelink.retry import budget


class MakePolicy(typing.Protocol):
    """Makes the balancing policy of one service."""

    def __call__(
        self, tracker: trackers.Tracker, failure_domain: str, region: str
    ) -> policies.Policy:
        """Return a policy that reads the facts in `tracker`."""


class ServiceState:
    """Facts, policy and retry budget of one service."""

    def __init__(
        self,
        service: model.Service,
        make_policy: MakePolicy,
        location: tuple[str, str],
        now: float,
    ) -> None:
        self.location = location
        self.tracker = trackers.Tracker(now)
        self.policy = make_policy(self.tracker, *location)
        self.retries = budget.Budget(service.budgets.retry_ratio)
        self._service = service
        self._candidates_by_set: dict[str, tuple[model.Endpoint, ...]] = {}

    def update(self, service: model.Service) -> None:
        """Take over the endpoints of a newer set."""
        if service.budgets.retry_ratio != self._service.budgets.retry_ratio:
            self.retries = budget.Budget(service.budgets.retry_ratio)
        self._service = service
        self._candidates_by_set = {}
        self.tracker.retain(service.endpoints_by_name)

    def endpoint(self, name: str) -> model.Endpoint | None:
        """Return an endpoint of the service by name."""
        return self._service.endpoints_by_name.get(name)

    def candidates(self, endpoint_set: str) -> tuple[model.Endpoint, ...]:
        """Return the endpoints that a rule admits; the same object while unchanged."""
        found = self._candidates_by_set.get(endpoint_set)
        if found is None:
            found = routing.candidates(self._service, endpoint_set)
            self._candidates_by_set[endpoint_set] = found
        return found


class Services:
    """States of the services by name, following the set in force."""

    def __init__(
        self, make_policy: MakePolicy, location: tuple[str, str], rng: random.Random
    ) -> None:
        self.rng = rng
        self._make_policy = make_policy
        self._location = location
        self._lock = threading.Lock()
        self._objects: model.ObjectSet | None = None
        self._states_by_name: dict[str, ServiceState] = {}

    def get(
        self, objects: model.ObjectSet, service: model.Service, now: float
    ) -> ServiceState:
        """Return the state of a service of the set in force."""
        if objects is not self._objects:
            self._update(objects)
        state = self._states_by_name.get(service.name)
        if state is None:
            with self._lock:
                state = self._states_by_name.get(service.name)
                if state is None:
                    state = ServiceState(
                        service, self._make_policy, self._location, now
                    )
                    self._states_by_name[service.name] = state
        return state

    def states_by_name(self) -> dict[str, ServiceState]:
        """Return a copy of the states."""
        with self._lock:
            return dict(self._states_by_name)

    def _update(self, objects: model.ObjectSet) -> None:
        with self._lock:
            known = self._objects
            if objects is known or (known and objects.revision < known.revision):
                return
            self._objects = objects
            for name, state in list(self._states_by_name.items()):
                service = objects.services_by_name.get(name)
                if service is None:
                    del self._states_by_name[name]
                else:
                    state.update(service)
