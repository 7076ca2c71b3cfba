"""Assembles one node from its parts."""

from __future__ import annotations

import logging
import random
import threading
import time
import uuid

from snipelink import settings
from snipelink.config import poll
from snipelink.execute import endpoint_client, executor, forward, pauses
from snipelink.session import call, caller, frames, memory

logger = logging.getLogger(__name__)
STOP_POLL_S = 0.02


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:port``."""
    host, port = address.rsplit(":", 1)
    return host.strip("[]"), int(port)


class Node:
    """One node: the servers, the executor and the configuration reader."""

    def __init__(self, values: settings.Settings) -> None:
        self._values = values
        self.incarnation = uuid.uuid4().hex
        max_frame_bytes = values.max_body_bytes + frames.MESSAGE_OVERHEAD_BYTES
        budget = memory.Budget(values.max_buffered_bytes)
        self._reader = poll.PollingReader(
            values.platform_urls, values.platform_timeout_s
        )
        self._pauses = pauses.PauseDetector(time.monotonic())
        self._forwarder = forward.Forwarder(
            values.node, self.incarnation, max_frame_bytes
        )
        self._executor = executor.Executor(
            values.node,
            self._reader.in_force,
            endpoint_client.EndpointClient(values.endpoint, values.node, budget),
            self._forwarder,
            self._pauses,
            random.Random(),
        )
        self._call_server = call.CallServer(
            parse_address(values.call_listen),
            values.node,
            self.incarnation,
            self._executor,
            max_frame_bytes,
            values.max_connections,
        )
        self._caller_server = caller.CallerServer(
            parse_address(values.caller_listen),
            values,
            self._executor.handle,
            executor.failure_response,
            budget,
        )

    def start(self) -> None:
        """Start serving."""
        self._pauses.start()
        self._reader.start()
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
        self._executor.start_draining()
        self._call_server.stop()
        self._caller_server.stop_accepting()
        deadline = time.monotonic() + self._values.grace_s
        while self._open() and time.monotonic() < deadline and not cut.is_set():
            time.sleep(STOP_POLL_S)
        left = self._busy()
        if left:
            logger.error("stopped with %d calls in flight", left)
        logger.info("node %s stopped", self._values.node)
        return 1 if left else 0

    def _open(self) -> int:
        # An idle connection may still receive a request that crosses the stop.
        return self._executor.running() + self._caller_server.open_connections()

    def _busy(self) -> int:
        return self._executor.running() + self._caller_server.busy_connections()
