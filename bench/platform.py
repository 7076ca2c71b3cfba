"""Fake platform: configuration service and instance list over HTTP.

Usage:
  platform.py [--listen=ADDRESS] [--reads-per-s=N] [--list-lag-s=S]

Options:
  --listen=ADDRESS   IP:port to listen on [default: 127.0.0.1:0].
  --reads-per-s=N    Limit of reads per second of all readers [default: 2000].
  --list-lag-s=S     Delay until the instance list shows a change [default: 0].

Readers use ``/v1/keys/<key>`` and ``/v1/instances``. Tests use the paths under
``/control/``: ``publish``, ``instances``, ``mode`` (POST) and ``counts`` (GET).
"""

from __future__ import annotations

import base64
import collections
import dataclasses
import enum
import gzip
import http.server
import json
import threading
import time
import urllib.parse
from collections.abc import Mapping

import docopt

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_S = 300.0
READ_COUNTS_KEPT_S = 600
GZIP_MIN_BYTES = 512


class Mode(enum.Enum):
    """How the platform answers a reader.

    ``DOWN`` closes connections, ``STALE`` answers with the values at the time at which
    the mode was set, ``SLOW`` delays answers, and ``FLAPPING`` alternates between
    ``DOWN`` and ``UP``.
    """

    UP = "up"
    DOWN = "down"
    STALE = "stale"
    SLOW = "slow"
    FLAPPING = "flapping"


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveMode:
    """Mode with its parameters.

    ``delay_s`` applies to ``SLOW`` and ``period_s`` to ``FLAPPING``; ``since`` is the
    time at which the mode was set.
    """

    mode: Mode = Mode.UP
    delay_s: float = 1.0
    period_s: float = 1.0
    since: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """Value with the revision of the store at which it was written."""

    content: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """Entry of the instance list.

    Empty ``failure_domain``, ``region`` and ``control_address`` are omitted from JSON.
    """

    name: str
    state: str = "live"
    since: float = 0.0
    failure_domain: str = ""
    region: str = ""
    control_address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceList:
    """Instance list at one revision."""

    revision: int = 0
    instances: tuple[Instance, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StaleReplica:
    """Snapshot that readers in mode ``STALE`` receive."""

    values_by_key: Mapping[str, Value]
    instances: InstanceList


class Platform:
    """HTTP server of the configuration service and the instance list.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 chooses a free port.
    reads_per_s : int
        Limit of reads per second of all readers; further reads are answered 429.
    list_lag_s : float
        Delay until the instance list shows a change.
    """

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        reads_per_s: int = 2000,
        list_lag_s: float = 0.0,
    ) -> None:
        self.reads_per_s = reads_per_s
        self.list_lag_s = list_lag_s
        self._changed = threading.Condition()
        self._revision = 0
        self._values_by_key: dict[str, Value] = {}
        self._instance_lists: list[tuple[float, InstanceList]] = [(0.0, InstanceList())]
        self._modes_by_reader: dict[str, ActiveMode] = {"": ActiveMode()}
        self._replicas_by_reader: dict[str, StaleReplica] = {}
        self._reads_by_second: collections.Counter[int] = collections.Counter()
        self._reads_by_reader: collections.Counter[str] = collections.Counter()
        self._refused_by_second: collections.Counter[int] = collections.Counter()
        self._server = _Server((host, port), self)
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        )

    @property
    def url(self) -> str:
        """Return the base URL for readers."""
        host, port = self._server.server_address[:2]
        return f"http://{host}:{port}"

    def start(self) -> Platform:
        """Start the server in a background thread."""
        self._thread.start()
        return self

    def stop(self) -> None:
        """Stop the server; pending watches end without an answer."""
        self.set_mode(Mode.DOWN)
        self._server.shutdown()
        self._server.server_close()

    def publish(self, contents_by_key: Mapping[str, bytes]) -> int:
        """Write all keys atomically at a new revision of the store, and return it."""
        for key, content in contents_by_key.items():
            if len(content) > MAX_VALUE_BYTES:
                raise ValueError(f"{key}: value of {len(content)} bytes is too large")
        with self._changed:
            self._revision += 1
            for key, content in contents_by_key.items():
                self._values_by_key[key] = Value(content, self._revision)
            self._changed.notify_all()
            return self._revision

    def set_instances(self, instances: list[Instance]) -> None:
        """Replace the instance list; readers see the change after ``list_lag_s``."""
        with self._changed:
            revision = self._instance_lists[-1][1].revision + 1
            visible_at = time.monotonic() + self.list_lag_s
            self._instance_lists.append(
                (visible_at, InstanceList(revision, tuple(instances)))
            )

    def set_mode(
        self,
        mode: Mode,
        reader: str = "",
        delay_s: float = 1.0,
        period_s: float = 1.0,
    ) -> None:
        """Set the mode for one reader, or for all readers if ``reader`` is empty."""
        with self._changed:
            now = time.monotonic()
            if not reader:
                self._modes_by_reader.clear()
                self._replicas_by_reader.clear()
            self._modes_by_reader[reader] = ActiveMode(mode, delay_s, period_s, now)
            if mode is Mode.STALE:
                self._replicas_by_reader[reader] = StaleReplica(
                    dict(self._values_by_key), self._visible_list(now)
                )
            self._changed.notify_all()

    def reads_by_second(self) -> dict[int, int]:
        """Return the number of reads by second, including refused reads."""
        with self._changed:
            return dict(self._reads_by_second)

    def reads_by_reader(self) -> dict[str, int]:
        """Return the number of reads by reader, including refused reads."""
        with self._changed:
            return dict(self._reads_by_reader)

    def refused_reads(self) -> int:
        """Return the number of reads answered 429."""
        with self._changed:
            return sum(self._refused_by_second.values())

    def admit(self, reader: str, now: float) -> bool:
        """Count a read and return whether the rate limit allows it."""
        second = int(now)
        with self._changed:
            self._reads_by_second[second] += 1
            self._reads_by_reader[reader] += 1
            self._reads_by_second.pop(second - READ_COUNTS_KEPT_S, None)
            if self._reads_by_second[second] <= self.reads_per_s:
                return True
            self._refused_by_second[second] += 1
            return False

    def active_mode(self, reader: str) -> ActiveMode:
        """Return the mode that applies to a reader."""
        with self._changed:
            return self._active_mode(reader)

    def get(self, reader: str, key: str) -> Value | None:
        """Return the value of a key as the reader sees it, which may be stale."""
        with self._changed:
            return self._get(reader, key)

    def watch(
        self, reader: str, key: str, after: int, timeout_s: float
    ) -> Value | None:
        """Wait for a revision newer than ``after``; return None on timeout."""
        deadline = time.monotonic() + min(timeout_s, MAX_WATCH_S)
        with self._changed:
            while True:
                value = self._get(reader, key)
                remaining = deadline - time.monotonic()
                if value is not None and value.revision > after:
                    return value
                if remaining <= 0 or self._active_mode(reader).mode is Mode.DOWN:
                    return None
                self._changed.wait(remaining)

    def instances(self, reader: str, now: float) -> InstanceList:
        """Return the instance list as the reader sees it, which may be stale."""
        with self._changed:
            replica = self._replica(reader)
            return replica.instances if replica else self._visible_list(now)

    def _active_mode(self, reader: str) -> ActiveMode:
        common = self._modes_by_reader[""]
        return self._modes_by_reader.get(reader, common)

    def _replica(self, reader: str) -> StaleReplica | None:
        if self._active_mode(reader).mode is not Mode.STALE:
            return None
        return self._replicas_by_reader.get(reader) or self._replicas_by_reader[""]

    def _get(self, reader: str, key: str) -> Value | None:
        replica = self._replica(reader)
        values_by_key = replica.values_by_key if replica else self._values_by_key
        return values_by_key.get(key)

    def _visible_list(self, now: float) -> InstanceList:
        while len(self._instance_lists) > 1 and self._instance_lists[1][0] <= now:
            del self._instance_lists[0]
        return self._instance_lists[0][1]


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = 256

    def __init__(self, address: tuple[str, int], platform: Platform) -> None:
        self.platform = platform
        super().__init__(address, _Handler)

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore errors of connections that readers have closed."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    server: _Server

    def log_message(self, format: str, *args: object) -> None:
        """Write no access log."""

    def do_GET(self) -> None:
        platform = self.server.platform
        parts = urllib.parse.urlsplit(self.path)
        if parts.path == "/control/counts":
            self._answer_counts()
            return
        reader = self.headers.get("User-Agent", "").removeprefix("snipelink/")
        if not self._apply_mode(reader):
            return
        if not platform.admit(reader, time.monotonic()):
            self._answer(429, b"", {"Retry-After": "1"})
        elif parts.path == "/v1/instances":
            self._answer_instances(reader)
        elif parts.path.startswith("/v1/keys/"):
            key = urllib.parse.unquote(parts.path.removeprefix("/v1/keys/"))
            self._answer_key(reader, key, urllib.parse.parse_qs(parts.query))
        else:
            self._answer(404, b"")

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        platform = self.server.platform
        fields = json.loads(body)
        if self.path == "/control/publish":
            platform.publish(
                {key: base64.b64decode(text) for key, text in fields.items()}
            )
        elif self.path == "/control/instances":
            platform.set_instances([Instance(**entry) for entry in fields])
        elif self.path == "/control/mode":
            platform.set_mode(Mode(fields.pop("mode")), **fields)
        else:
            self._answer(404, b"")
            return
        self._answer(200, b"{}")

    def _apply_mode(self, reader: str) -> bool:
        """Apply the reader's mode; return False if it closes the connection."""
        active_mode = self.server.platform.active_mode(reader)
        if active_mode.mode is Mode.SLOW:
            time.sleep(active_mode.delay_s)
        phase = (time.monotonic() - active_mode.since) // active_mode.period_s
        down = active_mode.mode is Mode.FLAPPING and phase % 2 == 0
        if down or active_mode.mode is Mode.DOWN:
            self.close_connection = True
            return False
        return True

    def _answer_key(self, reader: str, key: str, query: dict[str, list[str]]) -> None:
        platform = self.server.platform
        if "watch" in query:
            after = int(query.get("after", ["0"])[0])
            timeout_s = float(query.get("timeout", ["10"])[0])
            value = platform.watch(reader, key, after, timeout_s)
            if platform.active_mode(reader).mode is Mode.DOWN:
                self.close_connection = True
                return
            if value is None:
                self._answer(304, b"")
                return
        else:
            value = platform.get(reader, key)
        if value is None:
            self._answer(404, b"")
        else:
            self._answer(200, value.content, {"X-Revision": str(value.revision)})

    def _answer_instances(self, reader: str) -> None:
        instance_list = self.server.platform.instances(reader, time.monotonic())
        entries = [
            {k: v for k, v in dataclasses.asdict(i).items() if v != ""}
            for i in instance_list.instances
        ]
        body = json.dumps(
            {"revision": instance_list.revision, "instances": entries},
            separators=(",", ":"),
        )
        self._answer(200, body.encode(), {"X-Revision": str(instance_list.revision)})

    def _answer_counts(self) -> None:
        platform = self.server.platform
        counts = {
            "reads_by_second": platform.reads_by_second(),
            "reads_by_reader": platform.reads_by_reader(),
            "refused": platform.refused_reads(),
        }
        self._answer(200, json.dumps(counts).encode())

    def _answer(
        self, status: int, body: bytes, fields: Mapping[str, str] | None = None
    ) -> None:
        accepted_encodings = self.headers.get("Accept-Encoding", "")
        compress = "gzip" in accepted_encodings and len(body) >= GZIP_MIN_BYTES
        if compress:
            body = gzip.compress(body, 6, mtime=0)
        self.send_response(status)
        if compress:
            self.send_header("Content-Encoding", "gzip")
        for name, value in (fields or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def main(argv: list[str] | None = None) -> None:
    arguments = docopt.docopt(__doc__, argv)
    host, _, port = arguments["--listen"].rpartition(":")
    platform = Platform(
        host,
        int(port),
        int(arguments["--reads-per-s"]),
        float(arguments["--list-lag-s"]),
    )
    print(platform.url, flush=True)
    platform.start()
    threading.Event().wait()


if __name__ == "__main__":
    main()
