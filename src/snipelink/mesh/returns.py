"""Tells refused callers when to retry, by the room that the endpoints report."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping

from snipelink import clock, errors
from snipelink.decide import placement, return_schedule, work_estimation
from snipelink.mesh import calls, catalog, load_reports, settings
from snipelink.observe import metrics


class ReturnPlanner:
    """Books the returns of this node's refused callers.

    Only calls to services of endpoints with few slots are booked; see
    `Catalog.has_few_slots`. The failures of other calls keep their retry time.

    Parameters
    ----------
    node_settings : Settings
        Number of slots up to which endpoints count as having few of them.
    service_catalog : Catalog
        Published endpoints.
    load_table : LoadTable
        Latest load reports of the endpoints that this node follows.
    estimates : WorkEstimates
        Expected work of the services' calls.
    metrics_registry : Metrics
        Records the promised returns.
    rng : random.Random
        Spreads the returns within a step.
    """

    def __init__(
        self,
        node_settings: settings.Settings,
        service_catalog: catalog.Catalog,
        load_table: load_reports.LoadTable,
        estimates: work_estimation.WorkEstimates,
        metrics_registry: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = node_settings
        self._catalog = service_catalog
        self._load_table = load_table
        self._estimates = estimates
        self._rng = rng
        self._node_count = 1
        self._schedule = return_schedule.ReturnSchedule()
        self._promised = metrics_registry.counter(
            "snipelink_mesh_promised_returns_total",
            "Refused callers that were told when to retry, and whether room was kept.",
            ("service", "booked"),
        )
        metrics_registry.gauge(
            "snipelink_mesh_promised_returns",
            "Returns of refused callers that this node expects.",
            self._promised_by_service,
            ("service",),
        )

    def on_catalog_change(self, node_count: int) -> None:
        """Divide the room by the number of nodes that are now published.

        Discards the returns to services that are no longer published.
        """
        self._node_count = node_count
        instances = self._catalog.instances_by_id.values()
        self._schedule.retain({instance.service for instance in instances})

    def plan(
        self, call: calls.Call, outcome: calls.Outcome, now: float
    ) -> calls.Outcome:
        """Return the outcome with the time at which the caller should retry.

        The retry time of the given outcome is the earliest one.
        """
        failure = outcome.failure
        few_slots = self._settings.balancing.few_slots
        if (
            failure is None
            or not failure.not_run
            or failure.traits.retryability is errors.Retryability.NO
            or failure.kind is errors.Kind.CRASH_SUSPECT
            or not self._catalog.has_few_slots(call.service, few_slots)
        ):
            return outcome
        per_s = self._returns_per_s(call.service, now)
        if per_s is None:
            return outcome
        appointment = self._schedule.book(
            call.service,
            per_s,
            failure.retry_after_s,
            call.deadline - now,
            now,
            self._rng,
        )
        call.appointment = appointment
        self._promised.increment(call.service, str(appointment.is_booked).lower())
        planned = dataclasses.replace(failure, retry_after_s=appointment.after_s)
        return dataclasses.replace(outcome, failure=planned)

    def _returns_per_s(self, service: str, now: float) -> float | None:
        """Return the rate of returns that fit; None if no endpoint reports."""
        instances = self._catalog.usable_instances(service, now)
        rooms = []
        for instance in instances:
            load = self._load_table.loads_by_instance.get(instance.id)
            if load is None or now - load.received_at > placement.SILENT_NODE_S:
                continue
            report = load.report
            slots = report.slots if report.accepting else 0
            slowness = max(load.progress.mean_slowness, report.slowness_percent / 100.0)
            rooms.append(
                return_schedule.EndpointRoom(
                    slots, report.running, report.waiting, slowness
                )
            )
        if not rooms:
            return None
        # This node follows only some of the endpoints.
        followed_ratio = len(rooms) / len(instances)
        node_count = max(1, round(self._node_count * followed_ratio))
        mean_s = self._estimates.mean_work_s(service)
        return return_schedule.returns_per_s(rooms, mean_s, node_count)

    def _promised_by_service(self) -> Mapping[tuple[str, ...], float]:
        now = clock.now()
        return {
            (service,): self._schedule.promised_count(service, now)
            for service in self._schedule.services
        }
