"""Reads the configuration of the node's own endpoint from the set in force."""

from __future__ import annotations

import typing

from snipelink import model

DEFAULT_SLOT_COUNT = 10
Objects = typing.Callable[[], model.ObjectSet | None]
IsLeaving = typing.Callable[[str, float], bool]


class OwnEndpointConfig:
    """Finds the own endpoint in the object set, once for each set.

    Parameters
    ----------
    name : str
        Name of the node and of its endpoint.
    objects : callable
        Returns the object set in force.
    is_leaving : callable
        Returns whether the named member is known to be leaving at a time. The
        information may come from the platform or from another node.
    """

    def __init__(self, name: str, objects: Objects, is_leaving: IsLeaving) -> None:
        self.name = name
        self._objects = objects
        self._is_leaving = is_leaving
        self._resolved_objects: model.ObjectSet | None = None
        self._service: model.Service | None = None

    def service(self) -> model.Service | None:
        """Return the own service; None while the set lacks the own endpoint."""
        objects = self._objects()
        if objects is not None and objects is not self._resolved_objects:
            services = objects.services_by_name.values()
            owning_services = (s for s in services if self.name in s.endpoints_by_name)
            self._service, self._resolved_objects = next(owning_services, None), objects
        return self._service

    def budgets(self) -> model.Budgets:
        """Return the budgets of the own service."""
        service = self.service()
        return service.budgets if service else model.Budgets()

    def slots(self) -> int:
        """Return the number of calls that the endpoint executes concurrently."""
        service = self.service()
        return (
            service.endpoints_by_name[self.name].slots
            if service
            else DEFAULT_SLOT_COUNT
        )

    def is_leaving(self, now: float) -> bool:
        """Whether the endpoint is leaving and must not receive new calls."""
        service = self.service()
        if service is not None and service.endpoints_by_name[self.name].leaving:
            return True
        return self._is_leaving(self.name, now)
