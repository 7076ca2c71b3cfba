"""Protocol of the balancing policies, and the simple policies."""

from __future__ import annotations

import itertools
import random
from collections.abc import Collection, Sequence
from typing import Protocol

from snipelink import model
from snipelink.balance import tracker as tracker_module


class Policy(Protocol):
    """Policy that chooses one endpoint for a call."""

    def choose(
        self,
        candidates: Sequence[model.Endpoint],
        now: float,
        rng: random.Random,
        *,
        exclude: Collection[str] = (),
        idempotent: bool = True,
    ) -> model.Endpoint | None:
        """Return an endpoint, or None when no candidate may receive the call.

        Parameters
        ----------
        candidates : sequence of model.Endpoint
            Endpoints that the routing rules allow. Pass the same object while they do
            not change, because policies cache by its identity.
        now : float
            Current monotonic time, seconds.
        rng : random.Random
            Source of randomness.
        exclude : collection of str
            Names of the endpoints that already failed this call.
        idempotent : bool
            Whether the call is idempotent; such calls are preferred as trials of
            ejected endpoints.
        """


class _SimplePolicy:
    """Base of the simple policies; excludes endpoints that leave the service."""

    def __init__(self, tracker: tracker_module.Tracker) -> None:
        self._tracker = tracker

    def _usable(
        self,
        candidates: Sequence[model.Endpoint],
        now: float,
        exclude: Collection[str],
    ) -> list[model.Endpoint]:
        with self._tracker.lock:
            return [
                endpoint
                for endpoint in candidates
                if endpoint.name not in exclude
                and not self._tracker.is_leaving(endpoint, now)
            ]


class RandomPolicy(_SimplePolicy):
    """Chooses each usable endpoint with the same probability."""

    def choose(
        self,
        candidates: Sequence[model.Endpoint],
        now: float,
        rng: random.Random,
        *,
        exclude: Collection[str] = (),
        idempotent: bool = True,
    ) -> model.Endpoint | None:
        """Return a random usable endpoint."""
        usable = self._usable(candidates, now, exclude)
        return rng.choice(usable) if usable else None


class RoundRobinPolicy(_SimplePolicy):
    """Chooses the usable endpoints in turn."""

    def __init__(self, tracker: tracker_module.Tracker) -> None:
        super().__init__(tracker)
        self._counter = itertools.count()

    def choose(
        self,
        candidates: Sequence[model.Endpoint],
        now: float,
        rng: random.Random,
        *,
        exclude: Collection[str] = (),
        idempotent: bool = True,
    ) -> model.Endpoint | None:
        """Return the next usable endpoint."""
        usable = self._usable(candidates, now, exclude)
        return usable[next(self._counter) % len(usable)] if usable else None


class LeastOutstandingPolicy(_SimplePolicy):
    """Chooses the endpoint with the fewest calls of this node in flight."""

    def choose(
        self,
        candidates: Sequence[model.Endpoint],
        now: float,
        rng: random.Random,
        *,
        exclude: Collection[str] = (),
        idempotent: bool = True,
    ) -> model.Endpoint | None:
        """Return a usable endpoint with the fewest calls; ties are broken at random."""
        usable = self._usable(candidates, now, exclude)
        if not usable:
            return None
        return min(
            usable,
            key=lambda endpoint: (
                self._tracker.in_flight(endpoint.name),
                rng.random(),
            ),
        )
