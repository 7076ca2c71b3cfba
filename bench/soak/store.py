"""Stand-in of the platform's store, and of what operators and servers write there."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import time
import typing
import urllib.parse

import platform_names

from snipelink.mesh import channel
from snipelink.session import http, memory, request_reader

SLOW_S = 0.4
ROUTE_COLUMNS = [
    "name",
    "host",
    "prefix",
    "route_type",
    "timeout_s",
    "target_latency_s",
    "priority",
    "service",
    "max_attempts",
    "traffic_split",
]


class Limits:
    """Limits of a request to the store."""

    max_header_bytes = 16384
    max_body_bytes = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change; `value` is None for a removal."""

    revision: int
    key: str
    value: bytes | None

    def as_item(self) -> dict[str, typing.Any]:
        """Return it as the store tells it."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "deleted": True}
        text = base64.b64encode(self.value).decode()
        return {"key": self.key, "revision": self.revision, "value": text}


class Store:
    """Keeps items and tells changes; each node has an address of its own.

    Attributes
    ----------
    active_fault : str
        ``store-refuses``, ``store-silent``, ``store-slow``, or empty.
    """

    def __init__(self) -> None:
        self._latest_by_key: dict[str, Event] = {}
        self._events: list[Event] = []
        self._forgotten_until = 0
        self._revision = 0
        self._changed = asyncio.Event()
        self._listeners: list[channel.Listener] = []
        self.active_fault = ""

    async def start(self, addresses: list[channel.Address]) -> None:
        """Listen for the nodes."""
        for address in addresses:
            listener = await channel.listen(address, self._serve, 64)
            self._listeners.append(listener)

    def close(self) -> None:
        """End all connections."""
        for listener in self._listeners:
            listener.close()

    def put(self, key: str, value: dict[str, typing.Any] | None) -> float:
        """Write or remove an item; return the time of it."""
        self._revision += 1
        data = None if value is None else json.dumps(value).encode()
        event = Event(self._revision, key, data)
        self._events.append(event)
        self._latest_by_key[key] = event
        self._wake()
        return time.monotonic()

    def forget(self) -> None:
        """Drop the history and cut the watches that wait."""
        self._forgotten_until = self._revision
        self._events.clear()
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, stream: channel.Channel) -> None:
        reader = request_reader.RequestReader(
            Limits(), memory.PoolCharge(memory.Pool(0))
        )
        try:
            while data := await stream.receive():
                reader.feed(data)
                while (request := reader.next_request()) is not None:
                    await self._answer(stream, request)
        except ConnectionError:
            # The node was killed or gave the request up.
            return

    async def _answer(self, stream: channel.Channel, request: http.Request) -> None:
        if self.active_fault == "store-slow":
            await asyncio.sleep(SLOW_S)
        status, body = await self._read(request)
        if self.active_fault == "store-silent":
            await asyncio.Event().wait()
        if self.active_fault == "store-refuses":
            status, body = 503, {}
        response = http.Response(status, [], json.dumps(body).encode())
        stream.write(http.encode_response(response, "GET", True))

    async def _read(self, request: http.Request) -> tuple[int, dict[str, typing.Any]]:
        path, _, text = request.raw_target.partition("?")
        query = {
            name: values[0] for name, values in urllib.parse.parse_qs(text).items()
        }
        if path == platform_names.RANGE_PATH:
            items = [e.as_item() for e in self._latest_by_key.values() if e.value]
            return 200, {"items": items, "has_more": False, "as_of": self._revision}
        after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000.0
        if self._revision <= after and not self.active_fault:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                # Nothing has changed; the answer says so.
                pass
        if after < self._forgotten_until:
            return 410, {}
        events = [e.as_item() for e in self._events if e.revision > after]
        return 200, {"events": events, "as_of": self._revision}


def configuration(
    version: int, routes: list[tuple[str, bool, str]], timeout_s: float
) -> dict[str, typing.Any]:
    """Return the operators' document.

    Parameters
    ----------
    routes : list of (str, bool, str)
        Prefix, whether calls may run more than once, and service.
    """
    rows = [
        [
            f"r{index}",
            "soak.example",
            prefix,
            "safe" if idempotent else "unsafe",
            timeout_s,
            timeout_s / 2.0,
            index % 2,
            service,
            2,
            None,
        ]
        for index, (prefix, idempotent, service) in enumerate(routes)
    ]
    services = sorted({service for _, _, service in routes})
    return {
        "version": f"r{version}",
        "routes": {"columns": ROUTE_COLUMNS, "rows": rows},
        "services": {
            "columns": ["name", "health_path"],
            "rows": [[name, "/healthz"] for name in services],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
    }


def server(
    service: str, address: str, zone: str, state: str, born: int
) -> dict[str, typing.Any]:
    """Return a server's own entry."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": 4,
        "state": state,
        "cold_left_s": 0,
        "seq": 1,
        "born": born,
    }
