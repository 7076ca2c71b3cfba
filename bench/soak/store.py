"""Simulated metadata store of the platform, and documents published in it."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import functools
import json
import time
import typing
import urllib.parse

import platform_names

from snipelink.mesh import channel
from snipelink.session import http, memory, request_reader

SLOW_ANSWER_DELAY_S = 0.4
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
    """Limits of requests to the store."""

    max_header_bytes = 16384
    max_body_bytes = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Change of an item; `value` is None if the item was removed."""

    revision: int
    key: str
    value: bytes | None
    written_at: float

    def to_item(self) -> dict[str, typing.Any]:
        """Return the JSON form of the change in answers of the store."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "deleted": True}
        text = base64.b64encode(self.value).decode()
        return {"key": self.key, "revision": self.revision, "value": text}


class Store:
    """Store that answers range reads and watches, on one address per node.

    Attributes
    ----------
    active_fault : str
        ``store-refuses`` (status 503), ``store-silent`` (no answer), ``store-slow``, or
        empty.
    """

    def __init__(self) -> None:
        self._latest_by_key: dict[str, Event] = {}
        # Latest changes that restores have lost and that were not written again.
        self._lost_by_key: dict[str, Event] = {}
        self._events: list[Event] = []
        self._era = 1
        self._forgotten_revision = 0
        self._revision = 0
        self._changed = asyncio.Event()
        self._listeners: list[channel.Listener] = []
        self.active_fault = ""
        self._cut_hosts: set[str] = set()

    async def start(self, addresses: list[channel.Address]) -> None:
        """Listen on the addresses of all nodes."""
        for address in addresses:
            serve = functools.partial(self._serve, address[0])
            listener = await channel.listen(address, serve, 64)
            self._listeners.append(listener)

    def close(self) -> None:
        """Close the listeners and all connections."""
        for listener in self._listeners:
            listener.close()

    def put(self, key: str, value: dict[str, typing.Any] | None) -> float:
        """Write an item, or remove it if `value` is None; return the time."""
        return self._write(key, None if value is None else json.dumps(value).encode())

    def _write(self, key: str, data: bytes | None) -> float:
        self._revision += 1
        event = Event(self._revision, key, data, time.monotonic())
        self._events.append(event)
        self._latest_by_key[key] = event
        self._lost_by_key.pop(key, None)
        self._notify_watchers()
        return event.written_at

    def cut_off(self, host: str) -> None:
        """Reset the connections of a node, also new ones, until it is reconnected."""
        self._cut_hosts.add(host)
        self._notify_watchers()

    def reconnect(self, host: str) -> None:
        """Serve a node again."""
        self._cut_hosts.discard(host)

    def forget_history(self) -> None:
        """Discard the history of changes and end all waiting watches."""
        self._forgotten_revision = self._revision
        self._notify_watchers()

    def restore(self, lost_s: float) -> None:
        """Return to the state of `lost_s` seconds ago, in the next era."""
        copied_at = time.monotonic() - lost_s
        kept = [event for event in self._events if event.written_at <= copied_at]
        lost = self._events[len(kept) :]
        self._events = kept
        self._latest_by_key = {event.key: event for event in kept}
        self._lost_by_key |= {event.key: event for event in lost}
        self._revision = kept[-1].revision if kept else 0
        self._forgotten_revision = min(self._forgotten_revision, self._revision)
        self._era += 1
        self._notify_watchers()

    def write_lost_changes_again(self) -> None:
        """Write the lost changes of items that were not written since."""
        for key, event in list(self._lost_by_key.items()):
            self._write(key, event.value)

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, host: str, stream: channel.Channel) -> None:
        reader = request_reader.RequestReader(
            Limits(), memory.PoolCharge(memory.Pool(0))
        )
        try:
            while data := await stream.receive():
                reader.feed(data)
                while (request := reader.next_request()) is not None:
                    await self._answer(host, stream, request)
        except ConnectionError:
            # The node was killed or gave up the request.
            return

    async def _answer(
        self, host: str, stream: channel.Channel, request: http.Request
    ) -> None:
        if self.active_fault == "store-slow":
            await asyncio.sleep(SLOW_ANSWER_DELAY_S)
        status, body = await self._read_state(request)
        if host in self._cut_hosts:
            stream.abort()
            return
        if self.active_fault == "store-silent":
            await asyncio.Event().wait()
        if self.active_fault == "store-refuses":
            status, body = 503, {}
        fields = [(platform_names.STORE_ERA_HEADER, str(self._era))]
        response = http.Response(status, fields, json.dumps(body).encode())
        stream.write(http.encode_response(response, "GET", True))

    async def _read_state(
        self, request: http.Request
    ) -> tuple[int, dict[str, typing.Any]]:
        path, _, text = request.raw_target.partition("?")
        query = {
            name: values[0] for name, values in urllib.parse.parse_qs(text).items()
        }
        if path == platform_names.RANGE_PATH:
            items = [
                event.to_item() for event in self._latest_by_key.values() if event.value
            ]
            return 200, {"items": items, "has_more": False, "as_of": self._revision}
        after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000.0
        if self._revision <= after and not self.active_fault:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                # Nothing has changed; the answer contains no events.
                pass
        if not self._forgotten_revision <= after <= self._revision:
            return 410, {}
        events = [event.to_item() for event in self._events if event.revision > after]
        return 200, {"events": events, "as_of": self._revision}


def configuration_document(
    version: int, routes: list[tuple[str, bool, str]], timeout_s: float
) -> dict[str, typing.Any]:
    """Return the operators' configuration as published in the store.

    Parameters
    ----------
    routes : list of (str, bool, str)
        Path prefix, whether calls are idempotent, and service.
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
            "max_body_bytes": 1 << 26,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
    }


def server_entry(
    service: str, address: str, zone: str, state: str, born: int
) -> dict[str, typing.Any]:
    """Return the entry that a server publishes about itself."""
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
