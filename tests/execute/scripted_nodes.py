"""Call servers with scripted handlers, for tests of the sending side of calls."""

from __future__ import annotations

import contextlib
import dataclasses
import threading
import time
import typing

from result import Ok

from snipelink import model
from snipelink.execute import forwarding
from snipelink.generated import messages as generated
from snipelink.session import call_server, memory

HOST = "127.0.0.1"
MAX_FRAME_BYTES = 1 << 20


@dataclasses.dataclass
class Limits:
    """Limits of the call connections."""

    max_connections: int = 50
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 5.0


class ScriptedHandler:
    """Answers each call with its own name once ``may_answer`` is set."""

    def __init__(self, name: str, revision: int = 1) -> None:
        self.name = name
        self.revision_in_force = revision
        self.may_answer = threading.Event()
        self.may_answer.set()
        self.calls: list[generated.CallRequest] = []
        self.cancelled: list[str] = []

    def run_forwarded(
        self,
        request: generated.CallRequest,
        receive_started_at: float,
        now: float,
        cancelled: typing.Callable[[], bool],
    ) -> Ok[model.Answer]:
        self.calls.append(request)
        while not self.may_answer.wait(0.01):
            if cancelled():
                self.cancelled.append(request.call_id)
                break
        return Ok(model.Answer(200, [], self.name.encode()))

    def load_report(self) -> model.LoadReport | None:
        return model.LoadReport(1, 0, 10)

    def revision(self) -> int:
        return self.revision_in_force


@contextlib.contextmanager
def serving(handler: ScriptedHandler) -> typing.Iterator[model.Endpoint]:
    """Run a call server on a free port, under the handler's name."""
    server = call_server.CallServer(
        (HOST, 0),
        handler.name,
        f"{handler.name}-1",
        handler,
        MAX_FRAME_BYTES,
        Limits(),
        memory.Budget(MAX_FRAME_BYTES),
    )
    server.start()
    address = f"{HOST}:{server.port}"
    try:
        yield model.Endpoint(handler.name, "s", "d-1", "d", "127.0.0.1:1", address)
    finally:
        handler.may_answer.set()
        server.stop()


def make_call(call_id: str = "c1", timeout_s: float = 5.0) -> model.Call:
    operation = model.Operation("get", "GET", "/", idempotent=True)
    deadline = time.monotonic() + timeout_s
    return model.Call(call_id, "s", operation, "GET", "/", [], b"", deadline)


def make_forwarder() -> forwarding.Forwarder:
    return forwarding.Forwarder("caller", "caller-1", MAX_FRAME_BYTES)
