"""Oracle policy: chooses by the exact number of outstanding calls of each endpoint."""

from __future__ import annotations

import dataclasses
import random

from bench import deployment, load_generator

NAME = "oracle"


class Runner(load_generator.Runner):
    """Sends each call directly to the endpoint with the fewest outstanding calls.

    All calls are sent by this process, so its counters are exact and never stale.
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

    async def _send_call(
        self, call: load_generator.PlannedCall, intended_at: float
    ) -> None:
        counts = self._outstanding_by_name
        names = self._names_by_service[call.kind.service]
        min_outstanding = min(counts[name] for name in names)
        chosen = self._rng.choice([n for n in names if counts[n] == min_outstanding])
        counts[chosen] += 1
        try:
            await super()._send_call(
                dataclasses.replace(call, entry=chosen), intended_at
            )
        finally:
            counts[chosen] -= 1
