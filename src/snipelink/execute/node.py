"""Assembles one node from its parts."""

from __future__ import annotations

import functools
import logging
import random
import threading
import time

from snipelink import settings
from snipelink.execute import (
    control_plane,
    endpoint_client,
    endpoint_config,
    executor,
    forwarded_calls,
    forwarding,
    gauges,
    health_probe,
    keyed_calls,
    local_runner,
    pause_detection,
    policy_factories,
    quorum,
    request_handler,
    service_state,
    status,
)
from snipelink.observe import admin, metrics, traces
from snipelink.retry import crash_suspects
from snipelink.session import call_server, caller_server, frames, memory, tls

logger = logging.getLogger(__name__)
STOP_POLL_INTERVAL_S = 0.02


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:port``."""
    host, port = address.rsplit(":", 1)
    return host.strip("[]"), int(port)


class Node:
    """One node: the servers, the executor and the configuration reader."""

    def __init__(self, values: settings.Settings) -> None:
        self._values = values
        contexts = tls.load_contexts(values.tls)
        budget = memory.Budget(values.max_buffered_bytes)
        max_frame_bytes = values.max_body_bytes + frames.MAX_FRAME_OVERHEAD_BYTES
        self._pauses = pause_detection.PauseDetector(time.monotonic())
        rng = random.Random()
        self._metrics = metrics.Metrics()
        tracer = traces.Tracer(values.node, rng)
        self._suspects = crash_suspects.CrashSuspectTable()
        self._control = control_plane.ControlPlane(
            values, self._pauses, self._suspects, rng
        )
        self.incarnation = self._control.incarnation
        self._forwarder = forwarding.Forwarder(
            values.node,
            self.incarnation,
            max_frame_bytes,
            contexts.call_client,
            budget,
        )
        own_client = endpoint_client.EndpointClient(
            values.endpoint,
            values.node,
            budget,
            contexts.endpoint_client,
            contexts.endpoint_name,
        )
        own_endpoint = endpoint_config.OwnEndpointConfig(
            values.node, self._control.in_force, self._control.is_leaving
        )
        self._runner = local_runner.LocalRunner(
            own_endpoint,
            own_client,
            values.endpoint,
            self._suspects,
            self._control.on_crash,
        )
        self._prober = health_probe.HealthProber(
            values.node,
            values.endpoint_health_path,
            own_endpoint.budgets,
            own_client,
            self._runner,
            time.monotonic(),
        )
        self._services = service_state.ServiceStates(
            policy_factories.factories_by_name()[values.balance_policy],
            values,
            rng,
            functools.partial(gauges.retain_series, self._metrics),
        )
        calls = executor.Executor(
            values.node,
            self._services,
            self._runner,
            self._forwarder,
            self._metrics,
            self._suspects,
            self._control.is_leaving,
            own_client.for_address,
            quorum.Quorum(values.node, self._forwarder, self._control.store.revision),
        )
        self._lease_keeper = keyed_calls.LeaseRenewer(
            calls.keyed_calls, self._own_state
        )
        received = forwarded_calls.ForwardedCallHandler(
            values.node,
            self._control.in_force,
            self._runner,
            calls,
            self._pauses,
            tracer,
            self._control.store.revision,
        )
        self._entry = request_handler.RequestHandler(
            self._control.in_force, calls, tracer, self._metrics
        )
        gauges.register(
            self._metrics,
            self._control,
            self._services,
            self._runner,
            self._forwarder,
            own_client,
        )
        self._admin = self._make_admin(tracer) if values.admin_listen else None
        self._call_server = call_server.CallServer(
            parse_address(values.call_listen),
            values.node,
            self.incarnation,
            received,
            max_frame_bytes,
            values,
            budget,
            contexts.call_server,
        )
        self._caller_server = caller_server.CallerServer(
            parse_address(values.caller_listen),
            values,
            self._entry.handle,
            request_handler.failure_response,
            budget,
            contexts.caller_server,
        )

    def _make_admin(self, tracer: traces.Tracer) -> admin.AdminServer:
        values = self._values
        identity = {
            "node": values.node,
            "incarnation": self.incarnation,
            "failure_domain": values.failure_domain,
            "region": values.region,
        }
        shown = status.NodeStatus(
            identity,
            self._control,
            self._services,
            self._runner,
            self._metrics,
        )
        providers = admin.Providers(
            self._metrics.exposition, shown.state, tracer.recent, shown.explain
        )
        return admin.AdminServer(parse_address(values.admin_listen or ""), providers)

    def _own_state(self) -> service_state.ServiceState | None:
        objects = self._control.in_force()
        if objects is None:
            return None
        own = objects.services_by_name.get(self._values.service)
        if own is None:
            return None
        return self._services.get(objects, own, time.monotonic())

    def start(self) -> None:
        """Start serving."""
        if self._admin is not None:
            self._admin.start()
        self._pauses.start()
        if self._values.endpoint_health_path:
            self._prober.start()
        self._control.start(self._runner, self._services)
        self._lease_keeper.start()
        self._call_server.start()
        self._caller_server.start_serving()
        logger.info("node %s started", self._values.node)

    def stop(self, cut: threading.Event) -> int:
        """Finish what runs and stop.

        Parameters
        ----------
        cut : threading.Event
            Set to end the grace time at once.

        Returns
        -------
        status : int
            0 if no call was cut off, else 1.
        """
        self._control.set_leaving()
        self._runner.start_draining()
        self._prober.stop()
        self._call_server.stop()
        self._caller_server.stop_accepting()
        deadline = time.monotonic() + self._values.grace_s
        while self._open() and time.monotonic() < deadline and not cut.is_set():
            time.sleep(STOP_POLL_INTERVAL_S)
        left = self._busy()
        if self._admin is not None:
            self._admin.stop()
        if left:
            logger.error("stopped with %d calls in flight", left)
        self._control.stop()
        logger.info("node %s stopped", self._values.node)
        return 1 if left else 0

    def _open(self) -> int:
        # An idle connection may still receive a request that crosses the stop.
        return (
            self._running()
            + self._caller_server.open_connections()
            + self._call_server.open_connections()
        )

    def _busy(self) -> int:
        return self._running() + self._caller_server.busy_connections()

    def _running(self) -> int:
        load = self._runner.load_report()
        return load.running + load.queued if load else 0
