"""Client of the platform's configuration service."""

from __future__ import annotations

import dataclasses
import enum
import random
import socket
import threading
import time
import urllib.parse
import zlib
from collections.abc import Sequence
from typing import Protocol

import msgspec
import result
import urllib3

# Bounds of a received value and of a received instance list, before and after
# decompression.
MAX_VALUE_BYTES = 1_000_000
MAX_LIST_BYTES = 4_000_000
# Part of a body that is charged to the budget and received at a time.
BLOCK_BYTES = 4096
# Size of the request and response headers, including TCP and IP headers, of one read on
# a persistent connection.
REQUEST_OVERHEAD_BYTES = 700
# Size of the socket receive buffer. It bounds the bytes that the kernel receives before
# they are charged to the budget.
RECEIVE_BUFFER_BYTES = 16_384
# Time between two attempts to spend from an exhausted budget.
BUDGET_POLL_INTERVAL_S = 0.02
# Added to the wait of a watch to get the timeout of its request.
WATCH_TIMEOUT_MARGIN_S = 2.0
# Marks the result of a watch that ended without a newer value.
_UNCHANGED_REVISION = -1


class ReadFailure(enum.Enum):
    """Reason why a read returned no value."""

    UNREACHABLE = "unreachable"
    RATE_LIMITED = "limited"
    ABSENT = "absent"
    INVALID = "invalid"
    BUDGET_EXHAUSTED = "budget"


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedValue:
    """A value with its revision and the URL of the replica that served it."""

    content: bytes
    revision: int
    url: str


class InstanceEntry(msgspec.Struct, frozen=True):
    """Entry of the instance list; ``name``, ``state`` and ``since`` are always sent."""

    name: str
    state: str = "live"
    since: float = 0.0
    failure_domain: str = ""
    region: str = ""
    control_address: str = ""


class InstanceList(msgspec.Struct, frozen=True):
    """Instance list; ``size_bytes`` is the length of its encoding."""

    revision: int
    instances: list[InstanceEntry]
    size_bytes: int = 0


class ByteBudget(Protocol):
    """Token bucket that the bytes of reads are charged to."""

    def try_spend(self, byte_count: int, now: float) -> bool:
        """Spend bytes if enough are available; return whether they were spent."""


class PlatformClient:
    """Reads and watches values on the platform; safe for use by several threads.

    Every read is charged to a byte budget before its bytes are received.

    Parameters
    ----------
    node : str
        Name of this node, sent in the User-Agent header.
    urls : sequence of str
        Base URLs of the replicas of the platform; each read picks one at random.
    timeout_s : float
        Timeout of one read, seconds.
    budget : ByteBudget
        Budget that the bytes of reads are charged to.
    rng : random.Random
        Source of randomness for the choice of the replica.
    """

    def __init__(
        self,
        node: str,
        urls: Sequence[str],
        timeout_s: float,
        budget: ByteBudget,
        rng: random.Random,
    ) -> None:
        self._urls = [url.rstrip("/") for url in urls]
        self._timeout_s = timeout_s
        self._budget = budget
        self._rng = rng
        self._stopped = threading.Event()
        self._last_url = ""
        options = [
            *urllib3.connection.HTTPConnection.default_socket_options,
            (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
        ]
        self._pool = urllib3.PoolManager(
            num_pools=len(self._urls),
            maxsize=2,
            retries=False,
            socket_options=options,
            headers={
                "User-Agent": f"snipelink/{node}",
                "Accept-Encoding": "gzip",
            },
        )

    def close(self) -> None:
        """Abort reads that wait for budget, and close all idle connections."""
        self._stopped.set()
        self._pool.clear()

    def read(
        self, key: str, max_bytes: int = MAX_VALUE_BYTES
    ) -> result.Result[VersionedValue, ReadFailure]:
        """Read the value of a key."""
        return self._get(f"/v1/keys/{_quote_key(key)}", self._timeout_s, max_bytes)

    def watch(
        self, key: str, after: int, wait_s: float
    ) -> result.Result[VersionedValue | None, ReadFailure]:
        """Wait for a revision above ``after``; return None if there is none in time."""
        query = f"watch=1&after={after}&timeout={wait_s:g}"
        timeout_s = wait_s + WATCH_TIMEOUT_MARGIN_S
        answer = self._get(f"/v1/keys/{_quote_key(key)}?{query}", timeout_s)
        if (
            isinstance(answer, result.Ok)
            and answer.ok_value.revision == _UNCHANGED_REVISION
        ):
            return result.Ok(None)
        return answer

    def instances(self) -> result.Result[InstanceList, ReadFailure]:
        """Read the instance list."""
        answer = self._get("/v1/instances", self._timeout_s, MAX_LIST_BYTES)
        if isinstance(answer, result.Err):
            return answer
        content = answer.ok_value.content
        try:
            listed = msgspec.json.decode(content, type=InstanceList)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return result.Err(ReadFailure.INVALID)
        return result.Ok(msgspec.structs.replace(listed, size_bytes=len(content)))

    def _get(
        self, path: str, timeout_s: float, max_bytes: int = MAX_VALUE_BYTES
    ) -> result.Result[VersionedValue, ReadFailure]:
        if not self._wait_to_spend(REQUEST_OVERHEAD_BYTES, timeout_s):
            return result.Err(ReadFailure.BUDGET_EXHAUSTED)
        url = self._choose_url()
        try:
            response = self._pool.request(
                "GET", url + path, timeout=timeout_s, preload_content=False
            )
        except urllib3.exceptions.HTTPError:
            return result.Err(ReadFailure.UNREACHABLE)
        try:
            return self._receive(response, url, max_bytes)
        finally:
            response.close()

    def _receive(
        self, response: urllib3.BaseHTTPResponse, url: str, max_bytes: int
    ) -> result.Result[VersionedValue, ReadFailure]:
        if response.status == 304:
            self._release(response)
            return result.Ok(VersionedValue(b"", _UNCHANGED_REVISION, url))
        if response.status != 200:
            self._release(response)
            limited = response.status == 429
            absent = response.status == 404
            return result.Err(
                ReadFailure.RATE_LIMITED
                if limited
                else ReadFailure.ABSENT
                if absent
                else ReadFailure.UNREACHABLE
            )
        revision = response.headers.get("X-Revision", "")
        if not revision.isdecimal():
            return result.Err(ReadFailure.INVALID)
        received = self._receive_body(response, max_bytes)
        if isinstance(received, result.Err):
            return received
        self._release(response)
        return result.Ok(VersionedValue(received.ok_value, int(revision), url))

    def _receive_body(
        self, response: urllib3.BaseHTTPResponse, max_bytes: int
    ) -> result.Result[bytes, ReadFailure]:
        """Read the body in blocks, each of which is charged before it is read."""
        encoding = response.headers.get("Content-Encoding", "identity")
        if encoding not in ("identity", "gzip"):
            return result.Err(ReadFailure.INVALID)
        inflate = zlib.decompressobj(wbits=31) if encoding == "gzip" else None
        length = response.headers.get("Content-Length", "")
        if not length.isdecimal() or int(length) > max_bytes:
            return result.Err(ReadFailure.INVALID)
        unread = int(length)
        content = bytearray()
        try:
            while unread > 0:
                size = min(BLOCK_BYTES, unread)
                if not self._wait_to_spend(size, self._timeout_s * 10):
                    return result.Err(ReadFailure.BUDGET_EXHAUSTED)
                block = response.read(size, decode_content=False)
                if not block:
                    return result.Err(ReadFailure.UNREACHABLE)
                unread -= len(block)
                room = max_bytes + 1 - len(content)
                content += inflate.decompress(block, room) if inflate else block
                if len(content) > max_bytes:
                    return result.Err(ReadFailure.INVALID)
        except zlib.error:
            return result.Err(ReadFailure.INVALID)
        except (urllib3.exceptions.HTTPError, OSError):
            return result.Err(ReadFailure.UNREACHABLE)
        if inflate is not None and not inflate.eof:
            return result.Err(ReadFailure.INVALID)
        return result.Ok(bytes(content))

    def _wait_to_spend(self, byte_count: int, timeout_s: float) -> bool:
        deadline = time.monotonic() + timeout_s
        while not self._budget.try_spend(byte_count, time.monotonic()):
            if time.monotonic() > deadline or self._stopped.wait(
                BUDGET_POLL_INTERVAL_S
            ):
                return False
        return not self._stopped.is_set()

    def _choose_url(self) -> str:
        """Choose a replica at random, but not the previous one, which may be stale."""
        others = [url for url in self._urls if url != self._last_url]
        self._last_url = self._rng.choice(others or self._urls)
        return self._last_url

    @staticmethod
    def _release(response: urllib3.BaseHTTPResponse) -> None:
        response.drain_conn()
        response.release_conn()


def _quote_key(key: str) -> str:
    return urllib.parse.quote(key, safe="/")
