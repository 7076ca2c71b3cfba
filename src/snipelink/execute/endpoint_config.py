"""What the set in force says about the node's own endpoint."""

from __future__ import annotations

import typing

from snipelink import model

DEFAULT_SLOT_COUNT = 10
Objects = typing.Callable[[], model.ObjectSet | None]
IsLeaving = typing.Callable[[str, float], bool]


class OwnEndpointConfig:
    """Finds the own endpoint in the set, once for each set.

    Parameters
    ----------
    name : str
        Name of the node and of its endpoint.
    objects : callable
        Returns the set in force.
    is_leaving : callable
        Tells whether the member of a name is known to leave at a time, also when
        the platform or another node said so.
    """

    def __init__(self, name: str, objects: Objects, is_leaving: IsLeaving) -> None:
        self.name = name
        self._objects = objects
        self._is_leaving = is_leaving
        self._seen: model.ObjectSet | None = None
        self._service: model.Service | None = None

    def service(self) -> model.Service | None:
        """Return the own service; None while the set does not have the endpoint."""
        objects = self._objects()
        if objects is not None and objects is not self._seen:
            services = objects.services_by_name.values()
            own = (s for s in services if self.name in s.endpoints_by_name)
            self._service, self._seen = next(own, None), objects
        return self._service

    def budgets(self) -> model.Budgets:
        """Return the budgets of the own service."""
        service = self.service()
        return service.budgets if service else model.Budgets()

    def slots(self) -> int:
        """Return how many calls the endpoint runs at once."""
        service = self.service()
        return (
            service.endpoints_by_name[self.name].slots
            if service
            else DEFAULT_SLOT_COUNT
        )

    def is_leaving(self, now: float) -> bool:
        """Whether the endpoint may receive no new work."""
        service = self.service()
        if service is not None and service.endpoints_by_name[self.name].leaving:
            return True
        return self._is_leaving(self.name, now)
