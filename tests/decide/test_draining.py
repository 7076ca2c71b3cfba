"""No started request of a caller is left without its answer."""

from __future__ import annotations

import collections
import dataclasses

import hypothesis
from hypothesis import strategies

from snipelink.decide import draining

IDLE_TIMEOUT_S = 10.0


def test_request_behind_the_last_one_of_a_caller_is_not_started() -> None:
    decided = draining.ConnectionDrain(0.0)
    decided.on_request_start(keep_alive=True)
    decided.on_request_start(keep_alive=False)
    assert not decided.may_start
    assert not decided.is_last_answer(is_leaving=False, has_next_request=True)
    decided.on_request_answered()
    assert not decided.may_close
    assert decided.is_last_answer(is_leaving=False, has_next_request=True)
    decided.on_request_answered()
    assert decided.may_close


def test_leaving_node_answers_all_that_it_has_read() -> None:
    decided = draining.ConnectionDrain(0.0)
    decided.on_request_start(keep_alive=True)
    assert not decided.is_last_answer(is_leaving=True, has_next_request=True)
    decided.on_request_answered()
    assert not decided.may_close
    assert decided.may_start
    decided.on_request_start(keep_alive=True)
    assert decided.is_last_answer(is_leaving=True, has_next_request=False)
    assert not decided.may_start
    decided.on_request_answered()
    assert decided.may_close
    assert decided.cause is draining.CloseCause.NODE_STOPS


def test_one_connection_does_not_start_requests_without_bound() -> None:
    decided = draining.ConnectionDrain(0.0)
    while decided.may_start:
        decided.on_request_start(keep_alive=True)
    assert decided.unanswered_count == draining.MAX_UNANSWERED_REQUESTS
    assert decided.cause is None


def test_first_cause_holds() -> None:
    decided = draining.ConnectionDrain(0.0)
    decided.begin_close(draining.CloseCause.REFUSED_REQUEST)
    decided.begin_close(draining.CloseCause.NODE_STOPS)
    assert decided.cause is draining.CloseCause.REFUSED_REQUEST


def test_idle_time_starts_anew_with_the_last_answer() -> None:
    decided = draining.ConnectionDrain(0.0)
    assert decided.idle_remaining_s(IDLE_TIMEOUT_S, 4.0) == 6.0
    decided.on_idle(4.0)
    assert decided.idle_remaining_s(IDLE_TIMEOUT_S, 4.0) == 10.0


@dataclasses.dataclass(eq=False)
class _Request:
    """A request that was read; refused if it is neither."""

    idempotent: bool = False
    keep_alive: bool = True
    refused: bool = False


class _Connection:
    """Connection that does as `ConnectionDrain` decides, without I/O."""

    def __init__(self) -> None:
        self.closing = draining.ConnectionDrain(0.0)
        self.pending: collections.deque[_Request] = collections.deque()
        self.is_leaving = False
        self.now = 0.0
        self.started: list[_Request] = []
        self.answered: list[_Request] = []
        self.last_told = False

    def read(self, request: _Request) -> None:
        self.pending.append(request)
        self._start_due()

    def answer(self) -> None:
        if not self.pending:
            return
        request = self.pending[0]
        if request.refused:
            self.closing.begin_close(draining.CloseCause.REFUSED_REQUEST)
            self.last_told = True
        else:
            assert not self.last_told
            self.last_told = self.closing.is_last_answer(
                is_leaving=self.is_leaving, has_next_request=len(self.pending) > 1
            )
            self.closing.on_request_answered()
            self.answered.append(request)
        self.pending.popleft()
        self._start_due()
        if not self.pending:
            self.closing.on_idle(self.now)

    def wait(self, wait_s: float) -> None:
        self.now += wait_s
        left_s = self.closing.idle_remaining_s(IDLE_TIMEOUT_S, self.now)
        if not self.pending and left_s <= 0.0:
            self.closing.begin_close(draining.CloseCause.IDLE)

    def leave(self) -> None:
        self.is_leaving = True

    def _start_due(self) -> None:
        decided = self.closing
        while decided.unanswered_count < len(self.pending):
            request = self.pending[decided.unanswered_count]
            if request.refused or (decided.unanswered_count and not request.idempotent):
                return
            had_cause = decided.cause is not None
            if not decided.may_start:
                return
            assert not had_cause
            decided.on_request_start(keep_alive=request.keep_alive)
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
        if connection.closing.may_close:
            break
        getattr(connection, str(name))(*arguments)
        assert len(connection.started) - len(connection.answered) == (
            connection.closing.unanswered_count
        )
    if connection.closing.may_close:
        assert connection.answered == connection.started
        if connection.closing.cause is not draining.CloseCause.IDLE:
            assert connection.last_told


@hypothesis.given(strategies.lists(_EVENTS, max_size=40))
def test_connection_always_comes_to_its_end(events: list[tuple[object, ...]]) -> None:
    """A connection whose end has been decided must not wait for anything else."""
    connection = _Connection()
    for name, *arguments in [*events, ("leave",)]:
        if not connection.closing.may_close:
            getattr(connection, str(name))(*arguments)
    while connection.pending and not connection.closing.may_close:
        connection.answer()
    connection.wait(2 * IDLE_TIMEOUT_S)
    assert connection.closing.may_close
    assert connection.answered == connection.started
