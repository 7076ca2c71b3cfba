"""Polls the endpoint on this machine for its identity and its load."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable

from result import Err

from snipelink import clock
from snipelink.decide import polling
from snipelink.mesh import admission, catalog, endpoint, settings
from snipelink.session import headers as header_rules

logger = logging.getLogger(__name__)

# Time between two looks at calls that wait, seconds.
WAITING_CALLS_CHECK_S = 0.05
# Shortest time between two looks, seconds.
MIN_CHECK_INTERVAL_S = 0.001
# Factor by which polls stay below the bound.
PROBE_INTERVAL_FACTOR = 2.0
# An endpoint answers polls at once; a silent one is asked again after this time.
POLL_TIMEOUT_S = 0.5
# Time after which a poll on a kept connection is repeated on a new one, seconds: a
# process that is short of processor time stands still for up to a tenth of a second.
KEPT_CONNECTION_TIMEOUT_S = 0.25
# Polls in a row that must fail before the endpoint counts as down.
FAILURE_COUNT_UNTIL_DOWN = 2
# Longer times are not milliseconds of a cold start.
MAX_COLD_MS_DIGIT_COUNT = 9


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
    on_look : callable
        Called with the present time after each poll and at least as often as it asks
        for: it returns the monotonic time of its next call.
    """

    def __init__(
        self,
        client: endpoint.EndpointClient,
        runner: admission.EndpointRunner,
        known: catalog.Catalog,
        own: settings.Settings,
        names: settings.HeaderNames,
        on_look: Callable[[float], float],
    ) -> None:
        self._client = client
        self._runner = runner
        self._catalog = known
        self._own = own
        self._names = names
        self._on_look = on_look
        self._failures = 0
        self._polled_at = -math.inf
        self._sleeper: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._look_at = math.inf
        self.polls = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            path, now = self._path(), clock.now()
            if path and now >= self._due_at(now):
                await self._poll(path)
            now = clock.now()
            next_at = self._on_look(now)
            self._runner.admit(now)
            if self._runner.slots.waiting_count:
                next_at = min(next_at, now + WAITING_CALLS_CHECK_S)
            due_at = (
                self._due_at(now) if self._path() else now + polling.DEFAULT_INTERVAL_S
            )
            await self._sleep_until(
                max(now + MIN_CHECK_INTERVAL_S, min(next_at, due_at))
            )

    def wake_by(self, at: float) -> None:
        """Look again at a monotonic time, if not earlier."""
        timer, sleeper = self._timer, self._sleeper
        if timer is None or sleeper is None or self._look_at <= at:
            return
        timer.cancel()
        self._set_timer(at, sleeper)

    async def _sleep_until(self, at: float) -> None:
        self._sleeper = asyncio.get_running_loop().create_future()
        self._set_timer(at, self._sleeper)
        try:
            await self._sleeper
        finally:
            assert self._timer is not None
            self._timer.cancel()
            self._timer = self._sleeper = None

    def _set_timer(self, at: float, sleeper: asyncio.Future[None]) -> None:
        loop = asyncio.get_running_loop()
        self._look_at = at
        self._timer = loop.call_later(max(0.0, at - clock.now()), _finish, sleeper)

    def _due_at(self, now: float) -> float:
        """Return the monotonic time of the next poll."""
        earliest = (
            self._polled_at + PROBE_INTERVAL_FACTOR / self._own.bounds.probes_per_s
        )
        settled_at = self._runner.crash_check_at
        if settled_at is not None and self._polled_at < settled_at:
            return max(earliest, settled_at)
        if self._failures:
            return max(earliest, self._polled_at + polling.DEFAULT_INTERVAL_S)
        cold_at = self._runner.slots.slow_start.poll_due_at(now)
        return max(earliest, min(self._runner.poll_schedule.next_at(now), cold_at))

    def _path(self) -> str:
        table = self._catalog.route_table
        if table is None:
            return ""
        return table.configuration.health_paths_by_service.get(self._own.service, "")

    async def _poll(self, path: str) -> None:
        self.polls += 1
        self._polled_at = clock.now()
        headers = [("host", self._own.service)]
        payload = endpoint.encode_request("GET", path, headers, b"")
        deadline = self._polled_at + POLL_TIMEOUT_S
        exchange = endpoint.EndpointRequest(
            "", "GET", payload, deadline, idempotent=True
        )
        sent = await self._client.poll(exchange, KEPT_CONNECTION_TIMEOUT_S)
        now = clock.now()
        state = self._runner.state
        if isinstance(sent, Err):
            self._failures += 1
            if self._client.connection_refused_at >= self._polled_at:
                self._runner.on_connection_refused(now)
            if state.is_up and self._failures >= FAILURE_COUNT_UNTIL_DOWN:
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
        instance = header_rules.first_value(response.headers, self._names.instance)
        if instance and instance == state.instance:
            self._runner.on_process_confirmed(self._polled_at)
        if instance and (instance != state.instance or not state.is_up):
            logger.info(
                "endpoint answers",
                extra={"fields": {"instance": instance, "was": state.instance}},
            )
            if instance != state.instance:
                self._runner.on_new_process(instance, now)
            state.is_up = True
        told = header_rules.first_value(response.headers, self._names.cold_ms)
        self._runner.slots.slow_start.on_poll_answer(
            self._polled_at, _cold_s(told), now
        )
        load = header_rules.first_value(response.headers, self._names.load)
        if load:
            self._runner.on_load_report(load, now)
        else:
            self._runner.on_endpoint_answered(now)


def _cold_s(told: str) -> float:
    """Return for how long an endpoint stays cold; an unreadable time has no end."""
    if not told:
        return 0.0
    if not (told.isascii() and told.isdigit()) or len(told) > MAX_COLD_MS_DIGIT_COUNT:
        return math.inf
    return int(told) / 1000.0


def _finish(sleeper: asyncio.Future[None]) -> None:
    if not sleeper.done():
        sleeper.set_result(None)
