"""Values of a node's parts that are read on each exposition of the metrics."""

from __future__ import annotations

import logging

from snipelink import model
from snipelink.execute import (
    control_plane,
    endpoint_client,
    forwarding,
    local_runner,
    service_state,
)
from snipelink.observe import logs, metrics


def retain_series(recorded: metrics.Metrics, objects: model.ObjectSet) -> None:
    """Drop the series of services and endpoints that the set no longer has."""
    services = objects.services_by_name
    endpoints = {name for each in services.values() for name in each.endpoints_by_name}
    recorded.retain({*services, ""}, endpoints)


def register(
    recorded: metrics.Metrics,
    control_part: control_plane.ControlPlane,
    services: service_state.ServiceStates,
    runner: local_runner.LocalRunner,
    forwarder: forwarding.Forwarder,
    own_client: endpoint_client.EndpointClient,
) -> None:
    """Add the gauges of a node."""

    def read_load() -> dict[tuple[str, ...], float]:
        load = runner.load_report()
        if load is None:
            return {}
        return {
            ("running",): load.running,
            ("queued",): load.queued,
            ("limit",): load.limit,
        }

    def read_control() -> dict[tuple[str, ...], float]:
        return {(name,): count for name, count in control_part.counts().items()}

    recorded.gauge(
        "snipelink_revision",
        "Revision in force; 0 before the first.",
        control_part.store.revision,
    )
    recorded.gauge(
        "snipelink_own_endpoint_calls",
        "Calls of the own endpoint and the limit of admission.",
        read_load,
        ("state",),
    )
    recorded.gauge(
        "snipelink_control_events",
        "Counters of configuration, membership and the control port.",
        read_control,
        ("event",),
    )
    recorded.gauge(
        "snipelink_retries_left",
        "Retries that the budget of a service allows now.",
        services.retries_left,
        ("service",),
    )
    recorded.gauge(
        "snipelink_mismatched_replies_total",
        "Replies of nodes that belonged to another call.",
        lambda: forwarder.mismatched_replies,
    )
    recorded.gauge(
        "snipelink_unexpected_answers_total",
        "Answers of the own endpoint that no request was waiting for.",
        lambda: own_client.unexpected_answers,
    )
    recorded.gauge(
        "snipelink_suppressed_log_records_total",
        "Log records that the rate limit suppressed.",
        _count_suppressed,
    )


def _count_suppressed() -> float:
    return sum(
        handler.suppressed_total
        for handler in logging.getLogger().handlers
        if isinstance(handler, logs.RateLimitedHandler)
    )
