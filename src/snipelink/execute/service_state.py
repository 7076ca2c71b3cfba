"""State that a node keeps for each service that it calls."""

from __future__ import annotations

import dataclasses
import random
import threading
import time
import typing

from snipelink import model, settings
from snipelink.balance import policy as policies
from snipelink.balance import tracker as trackers
from snipelink.execute import routing
from snipelink.retry import budget, hedge, idempotency_keys, key_ownership

KEY_LEASE_S = 1.0
# Key ownership changes this long after a set was published. Every key has an owner
# throughout if a majority of the owners has the set by the publication time plus this
# delay, minus the lease, minus twice the clock skew.
KEY_HANDOVER_DELAY_S = 2.5


class PolicyFactory(typing.Protocol):
    """Callback that creates the balancing policy of one service."""

    def __call__(
        self, tracker: trackers.Tracker, failure_domain: str, region: str
    ) -> policies.Policy:
        """Return a policy that reads the endpoint statistics of `tracker`."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyOwners:
    """Owners of a service's idempotency keys in one revision.

    The value is immutable and is replaced as a whole, so readers never combine two
    revisions. A leaving endpoint keeps the keys issued before ``handover_at`` (Unix
    seconds) of the first set that marks it as leaving.
    """

    revision: int
    endpoints: tuple[model.Endpoint, ...]
    handover_at: float

    @property
    def names(self) -> list[str]:
        """Return the names of the owners."""
        return [endpoint.name for endpoint in self.endpoints]


def find_key_owners(service: model.Service, objects: model.ObjectSet) -> KeyOwners:
    """Return the owners of a service's keys in an object set."""
    endpoints = service.endpoints_by_name.values()
    return KeyOwners(
        objects.revision,
        tuple(each for each in endpoints if each.call_address and not each.leaving),
        objects.published_at + KEY_HANDOVER_DELAY_S,
    )


class ServiceState:
    """Endpoint statistics, balancing policy, budgets and keys of one service."""

    def __init__(
        self,
        service: model.Service,
        objects: model.ObjectSet,
        make_policy: PolicyFactory,
        values: settings.Settings,
        now: float,
    ) -> None:
        location = (values.failure_domain, values.region)
        self.location = location
        self.tracker = trackers.Tracker(now)
        self.policy = make_policy(self.tracker, *location)
        self.retry_budget = budget.Budget(service.budgets.retry_ratio)
        self.hedge_policy = self._make_hedge_policy(service)
        self._service = service
        self._candidates_by_set: dict[str, tuple[model.Endpoint, ...]] = {}
        self.last_keyed_call_at = float("-inf")
        wall_time = time.time()
        ownership = key_ownership.KeyOwnership(KEY_LEASE_S, values.max_clock_skew_s)
        self.keys = idempotency_keys.KeyTable(
            values.node, wall_time, ownership=ownership
        )
        self.key_owners = find_key_owners(service, objects)
        self.adopted_owners = self.key_owners.endpoints
        self._is_own_service = values.service == service.name
        self._adopt_key_owners(wall_time)

    def update(self, service: model.Service, objects: model.ObjectSet) -> None:
        """Apply the endpoints and budgets of a newer object set.

        A node of this service adopts the new key owners later, when a majority of the
        owners has the newer set. Other nodes own no keys of the service and only route
        its calls, so they adopt the key owners at once.
        """
        if service.budgets != self._service.budgets:
            self.retry_budget = budget.Budget(service.budgets.retry_ratio)
            self.hedge_policy = self._make_hedge_policy(service)
        for name in self._service.endpoints_by_name.keys() - service.endpoints_by_name:
            self.hedge_policy.remove_endpoint(name)
        self._service = service
        self._candidates_by_set = {}
        self.key_owners = find_key_owners(service, objects)
        if not self._is_own_service:
            self._adopt_key_owners(time.time())
        self.tracker.retain(service.endpoints_by_name)

    def _adopt_key_owners(self, wall_time: float) -> None:
        owners = self.key_owners
        self.keys.apply_revision(
            owners.revision, owners.names, wall_time, owners.handover_at
        )

    def _make_hedge_policy(self, service: model.Service) -> hedge.HedgePolicy:
        hedge_budget = budget.Budget(service.budgets.hedge_ratio)
        return hedge.HedgePolicy(hedge_budget, self.retry_budget)

    def endpoint(self, name: str) -> model.Endpoint | None:
        """Return an endpoint of the service by name."""
        return self._service.endpoints_by_name.get(name)

    def candidates(self, endpoint_set: str) -> tuple[model.Endpoint, ...]:
        """Return the endpoints in an endpoint set; cached until the next update."""
        found = self._candidates_by_set.get(endpoint_set)
        if found is None:
            found = routing.select_candidates(self._service, endpoint_set)
            self._candidates_by_set[endpoint_set] = found
        return found


class ServiceStates:
    """States of the services by name, updated to the object set in force."""

    def __init__(
        self,
        make_policy: PolicyFactory,
        values: settings.Settings,
        rng: random.Random,
        on_update: typing.Callable[[model.ObjectSet], None],
    ) -> None:
        self.rng = rng
        self._make_policy = make_policy
        self._values = values
        self._on_update = on_update
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
                        service, objects, self._make_policy, self._values, now
                    )
                    self._states_by_name[service.name] = state
        return state

    def states_by_name(self) -> dict[str, ServiceState]:
        """Return a copy of the states by service name."""
        with self._lock:
            return dict(self._states_by_name)

    def retries_left(self) -> dict[tuple[str, ...], float]:
        """Return the retries that each service's budget allows now, by metric label."""
        now = time.monotonic()
        return {
            (name,): state.retry_budget.available(now)
            for name, state in self.states_by_name().items()
        }

    def _update(self, objects: model.ObjectSet) -> None:
        with self._lock:
            current = self._objects
            if objects is current or (current and objects.revision < current.revision):
                return
            self._objects = objects
            for name, state in list(self._states_by_name.items()):
                service = objects.services_by_name.get(name)
                if service is None:
                    del self._states_by_name[name]
                else:
                    state.update(service, objects)
        self._on_update(objects)
