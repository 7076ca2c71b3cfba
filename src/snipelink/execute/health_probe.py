"""Probes the own endpoint's health path when no recent answer has shown its state."""

from __future__ import annotations

import logging
import threading
import time
import typing

from result import Ok

from snipelink import model
from snipelink.execute import endpoint_client, local_runner
from snipelink.measure import probe_budget

logger = logging.getLogger(__name__)
CHECK_INTERVAL_S = 0.25
# Each answer carries the endpoint's state, so a probe is sent only if the last answer
# is older than this.
MAX_STATE_AGE_S = 1.0
PROBE_TIMEOUT_S = 0.5
EXPECTED_PROBE_COST_S = 0.0005
MAX_PROBE_ANSWER_BYTES = 4096
PROBE_HEADERS = [("snipelink-probe", "1"), ("host", "snipelink")]


class HealthProber:
    """Probes the own endpoint within the probe budgets of its service.

    One token bucket limits the number of probes, another one the time that probes take
    on the endpoint.
    """

    def __init__(
        self,
        node: str,
        path: str,
        budgets: typing.Callable[[], model.Budgets],
        client: endpoint_client.EndpointClient,
        runner: local_runner.LocalRunner,
        now: float,
    ) -> None:
        self._node = node
        self._path = path
        self._budgets = budgets
        self._client = client
        self._runner = runner
        self._count_budget = probe_budget.ProbeBudget(1.0, 1.0, 1.0, 1.0, now)
        self._time_budget = probe_budget.ProbeBudget(0.01, 0.01, 0.002, 0.005, now)
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start the probing thread."""
        threading.Thread(target=self._run, name="probe", daemon=True).start()

    def stop(self) -> None:
        """Stop sending probes."""
        self._stopped.set()

    def is_due(self, now: float) -> bool:
        """Whether the last answer of the endpoint is too old to show its state."""
        return now - self._runner.last_answer_at > MAX_STATE_AGE_S

    def _run(self) -> None:
        while not self._stopped.wait(CHECK_INTERVAL_S):
            now = time.monotonic()
            if self.is_due(now):
                self._probe(now)

    def _probe(self, now: float) -> None:
        budgets = self._budgets()
        self._count_budget.set_endpoint_rate(budgets.probes_per_s, 1.0, now)
        ratio = budgets.probe_cpu_ratio
        self._time_budget.set_endpoint_rate(
            ratio, max(ratio, EXPECTED_PROBE_COST_S), now
        )
        cost = self._time_budget.try_spend(self._node, EXPECTED_PROBE_COST_S, now)
        if cost is None:
            return
        permit = self._count_budget.try_spend(self._node, 1.0, now)
        started = time.monotonic()
        if permit is None or not permit.may_start(started):
            return
        outcome = self._client.request(
            "GET",
            self._path,
            PROBE_HEADERS,
            b"",
            started + PROBE_TIMEOUT_S,
            MAX_PROBE_ANSWER_BYTES,
        )
        self._client.release_memory()
        ended = time.monotonic()
        self._time_budget.settle(cost, ended - started, ended)
        if isinstance(outcome, Ok):
            self._runner.record_endpoint_state(outcome.ok_value.headers, ended)
