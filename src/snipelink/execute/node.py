"""Assembles, starts and stops a node."""

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
    """Split ``IP:port`` into host and port."""
    host, port = address.rsplit(":", 1)
    return host.strip("[]"), int(port)


class Node:
    """A load balancer node that runs beside one endpoint."""

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
        own_config = endpoint_config.OwnEndpointConfig(
            values.node, self._control.in_force, self._control.is_leaving
        )
        self._runner = local_runner.LocalRunner(
            own_config,
            own_client,
            values.endpoint,
            self._suspects,
            self._control.on_crash,
        )
        self._prober = health_probe.HealthProber(
            values.node,
            values.endpoint_health_path,
            own_config.budgets,
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
        call_executor = executor.Executor(
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
        self._lease_renewer = keyed_calls.LeaseRenewer(
            call_executor.keyed_calls, self._own_service_state
        )
        forwarded_call_handler = forwarded_calls.ForwardedCallHandler(
            values.node,
            self._control.in_force,
            self._runner,
            call_executor,
            self._pauses,
            tracer,
            self._control.store.revision,
        )
        self._request_handler = request_handler.RequestHandler(
            self._control.in_force, call_executor, tracer, self._metrics
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
            forwarded_call_handler,
            max_frame_bytes,
            values,
            budget,
            contexts.call_server,
        )
        self._caller_server = caller_server.CallerServer(
            parse_address(values.caller_listen),
            values,
            self._request_handler.handle,
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
        node_status = status.NodeStatus(
            identity,
            self._control,
            self._services,
            self._runner,
            self._metrics,
        )
        providers = admin.Providers(
            self._metrics.exposition,
            node_status.state,
            tracer.recent,
            node_status.explain,
        )
        return admin.AdminServer(parse_address(values.admin_listen or ""), providers)

    def _own_service_state(self) -> service_state.ServiceState | None:
        objects = self._control.in_force()
        if objects is None:
            return None
        own_service = objects.services_by_name.get(self._values.service)
        if own_service is None:
            return None
        return self._services.get(objects, own_service, time.monotonic())

    def start(self) -> None:
        """Start the background threads and the servers."""
        if self._admin is not None:
            self._admin.start()
        self._pauses.start()
        if self._values.endpoint_health_path:
            self._prober.start()
        self._control.start(self._runner, self._services)
        self._lease_renewer.start()
        self._call_server.start()
        self._caller_server.start_serving()
        logger.info("node %s started", self._values.node)

    def stop(self, abort: threading.Event) -> int:
        """Shut down gracefully: refuse new calls and drain the open connections.

        Parameters
        ----------
        abort : threading.Event
            Ends the grace time at once when it is set.

        Returns
        -------
        status : int
            Exit status: 0 if all calls finished, 1 if some were cut off.
        """
        self._control.set_leaving()
        self._runner.start_draining()
        self._prober.stop()
        self._call_server.stop()
        self._caller_server.stop_accepting()
        deadline = time.monotonic() + self._values.grace_s
        while (
            self._open_work_count()
            and time.monotonic() < deadline
            and not abort.is_set()
        ):
            time.sleep(STOP_POLL_INTERVAL_S)
        unfinished = self._busy_call_count()
        if self._admin is not None:
            self._admin.stop()
        if unfinished:
            logger.error("stopped with %d calls in flight", unfinished)
        self._control.stop()
        logger.info("node %s stopped", self._values.node)
        return 1 if unfinished else 0

    def _open_work_count(self) -> int:
        # Idle connections count, because a request may be in transit on them.
        return (
            self._running_call_count()
            + self._caller_server.open_connections()
            + self._call_server.open_connections()
        )

    def _busy_call_count(self) -> int:
        return self._running_call_count() + self._caller_server.busy_connections()

    def _running_call_count(self) -> int:
        load = self._runner.load_report()
        return load.running + load.queued if load else 0
