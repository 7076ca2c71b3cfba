from __future__ import annotations

import asyncio
import time

import pytest

from snipelink import clock


def test_clock_includes_suspended_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against deadlines that expire late after a suspend.

    This happens with the monotonic clock, which excludes suspended time.
    """
    read = time.clock_gettime
    before = clock.now()
    monkeypatch.setattr(time, "clock_gettime", lambda name: read(name) + 5.0)
    assert clock.now() - before >= 5.0


def test_event_loop_timers_include_suspended_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    read = time.clock_gettime

    async def sleep_through_a_suspend() -> None:
        sleeper = asyncio.ensure_future(asyncio.sleep(60.0))
        await asyncio.sleep(0.01)
        monkeypatch.setattr(time, "clock_gettime", lambda name: read(name) + 60.0)
        await asyncio.wait_for(asyncio.shield(sleeper), 5.0)

    started = time.perf_counter()
    with asyncio.Runner(loop_factory=clock.EventLoop) as runner:
        runner.run(sleep_through_a_suspend())
    assert time.perf_counter() - started < 10.0
