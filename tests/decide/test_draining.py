"""Every started request of a caller is answered before its connection closes."""

from __future__ import annotations

import collections
import dataclasses

import hypothesis
from hypothesis import strategies

from snipelink.decide import draining

IDLE_TIMEOUT_S = 10.0


def test_request_after_one_without_keep_alive_is_not_started() -> None:
    drain = draining.ConnectionDrain(0.0)
    drain.on_request_start(keep_alive=True)
    drain.on_request_start(keep_alive=False)
    assert not drain.may_start
    assert not drain.is_last_answer(is_leaving=False, has_next_request=True)
    drain.on_request_answered()
    assert not drain.may_close
    assert drain.is_last_answer(is_leaving=False, has_next_request=True)
    drain.on_request_answered()
    assert drain.may_close


def test_node_that_shuts_down_answers_all_received_requests() -> None:
    drain = draining.ConnectionDrain(0.0)
    drain.on_request_start(keep_alive=True)
    assert not drain.is_last_answer(is_leaving=True, has_next_request=True)
    drain.on_request_answered()
    assert not drain.may_close
    assert drain.may_start
    drain.on_request_start(keep_alive=True)
    assert drain.is_last_answer(is_leaving=True, has_next_request=False)
    assert not drain.may_start
    drain.on_request_answered()
    assert drain.may_close
    assert drain.cause is draining.CloseCause.NODE_STOPS


def test_started_requests_of_a_connection_are_bounded() -> None:
    drain = draining.ConnectionDrain(0.0)
    while drain.may_start:
        drain.on_request_start(keep_alive=True)
    assert drain.unanswered_count == draining.MAX_UNANSWERED_REQUESTS
    assert drain.cause is None


def test_first_cause_is_kept() -> None:
    drain = draining.ConnectionDrain(0.0)
    drain.begin_close(draining.CloseCause.REFUSED_REQUEST)
    drain.begin_close(draining.CloseCause.NODE_STOPS)
    assert drain.cause is draining.CloseCause.REFUSED_REQUEST


def test_idle_time_restarts_after_the_last_answer() -> None:
    drain = draining.ConnectionDrain(0.0)
    assert drain.idle_remaining_s(IDLE_TIMEOUT_S, 4.0) == 6.0
    drain.on_idle(4.0)
    assert drain.idle_remaining_s(IDLE_TIMEOUT_S, 4.0) == 10.0


@dataclasses.dataclass(eq=False)
class _Request:
    """A received request; one with `refused` set is refused without being started."""

    idempotent: bool = False
    keep_alive: bool = True
    refused: bool = False


class _Connection:
    """Simulated connection that follows the decisions of `ConnectionDrain`."""

    def __init__(self) -> None:
        self.drain = draining.ConnectionDrain(0.0)
        self.pending: collections.deque[_Request] = collections.deque()
        self.is_leaving = False
        self.now = 0.0
        self.started: list[_Request] = []
        self.answered: list[_Request] = []
        self.last_announced = False

    def read(self, request: _Request) -> None:
        self.pending.append(request)
        self._start_due()

    def answer(self) -> None:
        if not self.pending:
            return
        request = self.pending[0]
        if request.refused:
            self.drain.begin_close(draining.CloseCause.REFUSED_REQUEST)
            self.last_announced = True
        else:
            assert not self.last_announced
            self.last_announced = self.drain.is_last_answer(
                is_leaving=self.is_leaving, has_next_request=len(self.pending) > 1
            )
            self.drain.on_request_answered()
            self.answered.append(request)
        self.pending.popleft()
        self._start_due()
        if not self.pending:
            self.drain.on_idle(self.now)

    def wait(self, wait_s: float) -> None:
        self.now += wait_s
        left_s = self.drain.idle_remaining_s(IDLE_TIMEOUT_S, self.now)
        if not self.pending and left_s <= 0.0:
            self.drain.begin_close(draining.CloseCause.IDLE)

    def leave(self) -> None:
        self.is_leaving = True

    def _start_due(self) -> None:
        drain = self.drain
        while drain.unanswered_count < len(self.pending):
            request = self.pending[drain.unanswered_count]
            if request.refused or (drain.unanswered_count and not request.idempotent):
                return
            had_cause = drain.cause is not None
            if not drain.may_start:
                return
            assert not had_cause
            drain.on_request_start(keep_alive=request.keep_alive)
            self.started.append(request)


_EVENTS = strategies.one_of(
    strategies.tuples(
        strategies.just("read"),
        strategies.builds(
            _Request,
            strategies.booleans(),
            strategies.sampled_from([True, True, True, False]),
            strategies.sampled_from([False, False, False, True]),
        ),
    ),
    strategies.tuples(strategies.just("answer")),
    strategies.tuples(strategies.just("leave")),
    strategies.tuples(strategies.just("wait"), strategies.floats(0.0, 12.0)),
)


@hypothesis.given(strategies.lists(_EVENTS, max_size=60))
def test_no_started_request_is_left_unanswered(
    events: list[tuple[object, ...]],
) -> None:
    connection = _Connection()
    for name, *arguments in events:
        if connection.drain.may_close:
            break
        getattr(connection, str(name))(*arguments)
        assert len(connection.started) - len(connection.answered) == (
            connection.drain.unanswered_count
        )
    if connection.drain.may_close:
        assert connection.answered == connection.started
        if connection.drain.cause is not draining.CloseCause.IDLE:
            assert connection.last_announced


@hypothesis.given(strategies.lists(_EVENTS, max_size=40))
def test_connection_always_closes(events: list[tuple[object, ...]]) -> None:
    """Guards against connections that stay open after the decision to close."""
    connection = _Connection()
    for name, *arguments in [*events, ("leave",)]:
        if not connection.drain.may_close:
            getattr(connection, str(name))(*arguments)
    while connection.pending and not connection.drain.may_close:
        connection.answer()
    connection.wait(2 * IDLE_TIMEOUT_S)
    assert connection.drain.may_close
    assert connection.answered == connection.started
