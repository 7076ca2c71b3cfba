"""Gauges that read the state of a node's parts whenever the metrics are scraped."""

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


def retain_series(node_metrics: metrics.Metrics, objects: model.ObjectSet) -> None:
    """Remove the series of services and endpoints that are not in the object set."""
    services = objects.services_by_name
    endpoints = {name for each in services.values() for name in each.endpoints_by_name}
    node_metrics.retain({*services, ""}, endpoints)


def register(
    node_metrics: metrics.Metrics,
    control: control_plane.ControlPlane,
    services: service_state.ServiceStates,
    runner: local_runner.LocalRunner,
    forwarder: forwarding.Forwarder,
    own_client: endpoint_client.EndpointClient,
) -> None:
    """Register the gauges of a node."""

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
        return {(name,): count for name, count in control.counts().items()}

    node_metrics.gauge(
        "snipelink_revision",
        "Revision in force; 0 before the first.",
        control.store.revision,
    )
    node_metrics.gauge(
        "snipelink_own_endpoint_calls",
        "Calls of the own endpoint and the limit of admission.",
        read_load,
        ("state",),
    )
    node_metrics.gauge(
        "snipelink_control_events",
        "Counters of configuration, membership and the control port.",
        read_control,
        ("event",),
    )
    node_metrics.gauge(
        "snipelink_retries_left",
        "Retries that the budget of a service allows now.",
        services.retries_left,
        ("service",),
    )
    node_metrics.gauge(
        "snipelink_mismatched_replies_total",
        "Replies of nodes that belonged to another call.",
        lambda: forwarder.mismatched_replies,
    )
    node_metrics.gauge(
        "snipelink_unexpected_answers_total",
        "Answers of the own endpoint that no request was waiting for.",
        lambda: own_client.unexpected_answers,
    )
    node_metrics.gauge(
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
