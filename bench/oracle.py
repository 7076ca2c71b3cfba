"""Oracle: a caller that knows the true queue of every endpoint."""

from __future__ import annotations

import dataclasses
import random

from bench import deployment, load_generator

NAME = "oracle"


class Runner(load_generator.Runner):
    """Sends each call straight to the endpoint with the least outstanding calls.

    All calls pass through this one process, so its counts are the true queues.
    """

    def __init__(
        self,
        running: deployment.Deployment,
        hosts_by_service: dict[str, str],
        seed: int,
    ) -> None:
        endpoints = [server.endpoint for server in running.servers_by_name.values()]
        super().__init__({e.name: e.address for e in endpoints}, hosts_by_service)
        self._rng = random.Random(f"oracle/{seed}")
        self._names_by_service: dict[str, list[str]] = {}
        for endpoint in endpoints:
            self._names_by_service.setdefault(endpoint.service, []).append(
                endpoint.name
            )
        self._outstanding_by_name = {endpoint.name: 0 for endpoint in endpoints}

    async def _call(self, call: load_generator.PlannedCall, intended_at: float) -> None:
        counts = self._outstanding_by_name
        names = self._names_by_service[call.kind.service]
        fewest = min(counts[name] for name in names)
        chosen = self._rng.choice([n for n in names if counts[n] == fewest])
        counts[chosen] += 1
        try:
            await super()._call(dataclasses.replace(call, entry=chosen), intended_at)
        finally:
            counts[chosen] -= 1
