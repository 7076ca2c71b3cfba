"""Polls the endpoint on this machine for its identity and its load."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from result import Err

from snipelink.mesh import admission, catalog, endpoint, settings
from snipelink.session import headers as header_rules

logger = logging.getLogger(__name__)

# Time between two polls, seconds: slowness changes a few times a second, and polling
# more often than 20 times changed little.
POLL_S = 0.05
# Factor by which polls stay below the bound.
PROBE_MARGIN = 2.0
# An endpoint answers polls at once; a silent one is asked again after this time.
TIMEOUT_S = 0.5
# Polls in a row that must fail before the endpoint counts as down.
FAILURES_UNTIL_DOWN = 2


class Poller:
    """Keeps the runner's state of the endpoint up to date.

    Parameters
    ----------
    client : EndpointClient
        Connections to the endpoint.
    runner : Runner
        Owner of the endpoint's state.
    known : Catalog
        Names the path to poll, and whether the endpoint leaves.
    own : Settings
        Names the endpoint's service and bounds the polls.
    names : HeaderNames
        Names of the mesh's own headers.
    on_poll : callable
        Called with the present time after each poll.
    """

    def __init__(
        self,
        client: endpoint.EndpointClient,
        runner: admission.Runner,
        known: catalog.Catalog,
        own: settings.Settings,
        names: settings.HeaderNames,
        on_poll: Callable[[float], None],
    ) -> None:
        self._client = client
        self._runner = runner
        self._catalog = known
        self._own = own
        self._names = names
        self._on_poll = on_poll
        self._failures = 0
        self.polls = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            now = time.monotonic()
            interval_s = max(POLL_S, PROBE_MARGIN / self._own.bounds.probes_per_s)
            path = self._path()
            state = self._runner.state
            if path and now - state.reported_at >= interval_s * 0.9:
                await self._poll(path)
            now = time.monotonic()
            self._on_poll(now)
            self._runner.admit(now)
            await asyncio.sleep(interval_s)

    def _path(self) -> str:
        table = self._catalog.table
        if table is None:
            return ""
        return table.configuration.health_paths_by_service.get(self._own.service, "")

    async def _poll(self, path: str) -> None:
        self.polls += 1
        headers = [("host", self._own.service)]
        payload = endpoint.encode("GET", path, headers, b"")
        deadline = time.monotonic() + TIMEOUT_S
        sent = await self._client.send(
            endpoint.Exchange("", "GET", payload, deadline, idempotent=True)
        )
        now = time.monotonic()
        state = self._runner.state
        if isinstance(sent, Err):
            self._failures += 1
            if state.is_up and self._failures >= FAILURES_UNTIL_DOWN:
                state.is_up = False
                logger.warning(
                    "endpoint does not answer",
                    extra={
                        "fields": {
                            "instance": state.instance,
                            "error": sent.err_value.detail,
                            "failures": self._failures,
                        }
                    },
                )
            return
        self._failures = 0
        response = sent.ok_value
        instance = header_rules.first(response.headers, self._names.instance)
        if instance and (instance != state.instance or not state.is_up):
            logger.info(
                "endpoint answers",
                extra={"fields": {"instance": instance, "was": state.instance}},
            )
            if instance != state.instance:
                self._runner.on_new_process(instance, now)
            state.is_up = True
        load = header_rules.first(response.headers, self._names.load)
        if load:
            self._runner.on_report(load, now)
        else:
            state.reported_at = now
