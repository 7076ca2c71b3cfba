"""Health checks: polls the local endpoint for its identity and its load."""

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

# Interval at which waiting calls are checked for admission.
WAITING_CALLS_CHECK_S = 0.05
# Shortest interval between two checks.
MIN_CHECK_INTERVAL_S = 0.001
# Factor by which the poll rate stays below the limit ``Bounds.probes_per_s``.
PROBE_INTERVAL_FACTOR = 2.0
# An endpoint answers polls immediately; a poll without an answer fails after this time.
POLL_TIMEOUT_S = 0.5
# A poll without an answer on a pooled connection is repeated on a new one after this
# time. A process that is short of processor time can stall for up to 0.1 s; the timeout
# is longer than that.
POOLED_CONNECTION_TIMEOUT_S = 0.25
# Consecutive failed polls after which the endpoint counts as down.
FAILURE_COUNT_UNTIL_DOWN = 2
# A longer number cannot be the duration of a cold start in milliseconds.
MAX_COLD_MS_DIGIT_COUNT = 9


class Poller:
    """Polls the endpoint and updates the endpoint state of the runner.

    Parameters
    ----------
    client : EndpointClient
        Connection pool for polls.
    runner : EndpointRunner
        Runs calls on the endpoint and holds the endpoint's state.
    service_catalog : Catalog
        Source of the health-check path of the endpoint's service.
    node_settings : Settings
        Source of the endpoint's service and of the highest poll rate.
    header_names : HeaderNames
        Names of the HTTP headers that the mesh adds or reads.
    on_check : callable
        Called with the present time after each poll and between polls. Returns the
        monotonic time by which it must be called again.
    """

    def __init__(
        self,
        client: endpoint.EndpointClient,
        runner: admission.EndpointRunner,
        service_catalog: catalog.Catalog,
        node_settings: settings.Settings,
        header_names: settings.HeaderNames,
        on_check: Callable[[float], float],
    ) -> None:
        self._client = client
        self._runner = runner
        self._catalog = service_catalog
        self._settings = node_settings
        self._header_names = header_names
        self._on_check = on_check
        self._failure_count = 0
        self._polled_at = -math.inf
        self._wakeup: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._wake_at = math.inf
        self.poll_count = 0

    async def run(self) -> None:
        """Poll the endpoint and admit waiting calls until cancelled."""
        while True:
            path, now = self._path(), clock.now()
            if path and now >= self._due_at(now):
                await self._poll(path)
            now = clock.now()
            next_at = self._on_check(now)
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
        """Bring the next check forward to a monotonic time, if it is due later."""
        timer, wakeup = self._timer, self._wakeup
        if timer is None or wakeup is None or self._wake_at <= at:
            return
        timer.cancel()
        self._set_timer(at, wakeup)

    async def _sleep_until(self, at: float) -> None:
        self._wakeup = asyncio.get_running_loop().create_future()
        self._set_timer(at, self._wakeup)
        try:
            await self._wakeup
        finally:
            assert self._timer is not None
            self._timer.cancel()
            self._timer = self._wakeup = None

    def _set_timer(self, at: float, wakeup: asyncio.Future[None]) -> None:
        loop = asyncio.get_running_loop()
        self._wake_at = at
        self._timer = loop.call_later(max(0.0, at - clock.now()), _complete, wakeup)

    def _due_at(self, now: float) -> float:
        """Return the monotonic time of the next poll."""
        earliest = (
            self._polled_at + PROBE_INTERVAL_FACTOR / self._settings.bounds.probes_per_s
        )
        settled_at = self._runner.crash_check_at
        if settled_at is not None and self._polled_at < settled_at:
            return max(earliest, settled_at)
        if self._failure_count:
            return max(earliest, self._polled_at + polling.DEFAULT_INTERVAL_S)
        cold_at = self._runner.slots.slow_start.poll_due_at(now)
        return max(earliest, min(self._runner.poll_schedule.next_at(now), cold_at))

    def _path(self) -> str:
        table = self._catalog.route_table
        if table is None:
            return ""
        return table.configuration.health_paths_by_service.get(
            self._settings.service, ""
        )

    async def _poll(self, path: str) -> None:
        self.poll_count += 1
        self._polled_at = clock.now()
        headers = [("host", self._settings.service)]
        payload = endpoint.encode_request("GET", path, headers, b"")
        deadline = self._polled_at + POLL_TIMEOUT_S
        request = endpoint.EndpointRequest(
            "", "GET", payload, deadline, idempotent=True
        )
        polled = await self._client.poll(request, POOLED_CONNECTION_TIMEOUT_S)
        now = clock.now()
        state = self._runner.state
        if isinstance(polled, Err):
            self._failure_count += 1
            if self._client.connection_refused_at >= self._polled_at:
                self._runner.on_connection_refused(now)
            if state.is_up and self._failure_count >= FAILURE_COUNT_UNTIL_DOWN:
                state.is_up = False
                logger.warning(
                    "endpoint does not answer",
                    extra={
                        "fields": {
                            "instance": state.instance,
                            "error": polled.err_value.detail,
                            "failures": self._failure_count,
                        }
                    },
                )
            return
        self._failure_count = 0
        response = polled.ok_value
        instance = header_rules.first_value(
            response.headers, self._header_names.instance
        )
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
        stated_cold_ms = header_rules.first_value(
            response.headers, self._header_names.cold_ms
        )
        self._runner.slots.slow_start.on_poll_answer(
            self._polled_at, _cold_s(stated_cold_ms), now
        )
        load = header_rules.first_value(response.headers, self._header_names.load)
        if load:
            self._runner.on_load_report(load, now)
        else:
            self._runner.on_endpoint_answered(now)


def _cold_s(stated_cold_ms: str) -> float:
    """Return the seconds for which an endpoint reports that it stays cold.

    Returns 0 without a header value and infinity for an invalid one.
    """
    if not stated_cold_ms:
        return 0.0
    if (
        not (stated_cold_ms.isascii() and stated_cold_ms.isdigit())
        or len(stated_cold_ms) > MAX_COLD_MS_DIGIT_COUNT
    ):
        return math.inf
    return int(stated_cold_ms) / 1000.0


def _complete(wakeup: asyncio.Future[None]) -> None:
    if not wakeup.done():
        wakeup.set_result(None)
