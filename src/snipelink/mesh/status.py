"""Minimal HTTP server for readiness probes and metrics."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from snipelink.mesh import channel
from snipelink.session import http, memory, request_reader

logger = logging.getLogger(__name__)

ACCEPT_BACKLOG = 16
MAX_BODY_BYTES = 4096
IDLE_TIMEOUT_S = 30.0

ResponseFactory = Callable[[], http.Response]


class _Limits:
    max_header_bytes = 8192
    max_body_bytes = MAX_BODY_BYTES


class StatusPort:
    """Answers GET requests by path.

    Parameters
    ----------
    response_factories_by_path : dict
        Functions that return the response, by URL path.
    """

    def __init__(self, response_factories_by_path: dict[str, ResponseFactory]) -> None:
        self._response_factories_by_path = response_factories_by_path
        self._listener: channel.Listener | None = None

    async def start(self, address: channel.Address) -> None:
        """Accept connections."""
        self._listener = await channel.listen(address, self._serve, ACCEPT_BACKLOG)

    def close(self) -> None:
        """Refuse further connections and end the open ones."""
        if self._listener is not None:
            self._listener.close()

    async def _serve(self, stream: channel.Channel) -> None:
        pool = memory.Pool(MAX_BODY_BYTES)
        reader = request_reader.RequestReader(_Limits(), memory.PoolCharge(pool))
        try:
            async with asyncio.timeout(None) as idle:
                while True:
                    idle.reschedule(asyncio.get_running_loop().time() + IDLE_TIMEOUT_S)
                    data = await stream.receive()
                    if not data:
                        return
                    reader.feed(data)
                    while (request := reader.next_request()) is not None:
                        stream.write(self._encode_answer(request))
                        if not request.keep_alive:
                            return
        except (OSError, request_reader.RequestRefused) as error:
            logger.info(
                "connection to a status port has failed",
                extra={"fields": {"peer": stream.peer_host, "error": str(error)}},
            )
        finally:
            reader.close()

    def _encode_answer(self, request: http.Request) -> bytes:
        make_response = self._response_factories_by_path.get(request.path)
        response = (
            make_response() if make_response else http.Response(404, [], b"not found\n")
        )
        return http.encode_response(response, request.method, request.keep_alive)
