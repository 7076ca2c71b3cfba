from __future__ import annotations

import collections
import random

import hypothesis
import hypothesis.strategies as st
import pytest
from result import Err, Ok, Result

from snipelink import errors, model
from snipelink.retry import idempotency_keys, key_ownership

SKEW_S = key_ownership.MAX_SKEW_S
NAMES = ["a", "b", "c", "d"]
ANSWER = model.Answer(200, [("x", "y")], b"done")
NOT_RUN = errors.Failure(errors.Kind.OVERLOADED)
LOST = errors.Failure(errors.Kind.CONNECTION_LOST)


class Fleet:
    """Nodes with skewed clocks and a seeded random schedule of their events."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.time = 1_000_000.0
        self.published: list[frozenset[str]] = []
        self.handovers: list[float] = []
        self.skews = {name: self.rng.uniform(-SKEW_S / 2, SKEW_S / 2) for name in NAMES}
        self.tables = {name: self.start(name) for name in NAMES}
        self.revisions = dict.fromkeys(NAMES, 0)
        self.claims: list[tuple[idempotency_keys.KeyTable, idempotency_keys.Claim]] = []
        self.delayed: list[tuple[idempotency_keys.KeyTable, str, float, float]] = []
        self.issued: list[str] = []
        self.starts: collections.Counter[str] = collections.Counter()
        self.publish()

    def wall_time(self, name: str) -> float:
        return self.time + self.skews[name]

    def start(self, name: str) -> idempotency_keys.KeyTable:
        return idempotency_keys.KeyTable(
            name, self.wall_time(name), max_records=12, retention_s=60.0
        )

    def publish(self) -> None:
        size = self.rng.randint(1, len(NAMES))
        self.published.append(frozenset(self.rng.sample(NAMES, size)))
        handover = self.time + self.rng.choice([-30.0, 0.0, 2.5, 9.0, 30.0])
        self.handovers.append(max([*self.handovers[-1:], handover]))

    def apply_revision(self) -> None:
        name = self.rng.choice(NAMES)
        known, latest = self.revisions[name], len(self.published)
        if known < latest:
            revision = self.rng.choice([known + 1, latest, latest])
            owners = self.published[revision - 1]
            handover = self.handovers[revision - 1]
            self.tables[name].apply_revision(
                revision, owners, self.wall_time(name), handover
            )
            self.revisions[name] = revision

    def renew_lease(self) -> None:
        name = self.rng.choice(NAMES)
        if self.revisions[name] == len(self.published):
            self.tables[name].renew_lease(
                self.revisions[name], self.time, self.wall_time(name)
            )

    def restart(self) -> None:
        name = self.rng.choice(NAMES)
        self.tables[name] = self.start(name)
        self.revisions[name] = 0
        self.claims = [
            claim for claim in self.claims if claim[0] in self.tables.values()
        ]
        self.delayed = [
            begin for begin in self.delayed if begin[0] in self.tables.values()
        ]

    def issue_key(self) -> None:
        issued = self.time + self.rng.choice([0, 0, 0, -0.5, -3, -8, -30, 0.9, 4])
        self.issued.append(f"{int(issued * 1000)}-key{len(self.issued):08d}")

    def send_call(self, paused: bool = False) -> None:
        if not self.issued:
            return
        key = self.rng.choice(self.issued[-30:])
        name = self.rng.choice(NAMES)
        table = self.tables[name]
        if paused:
            self.delayed.append((table, key, self.time, self.wall_time(name)))
        else:
            self.begin(table, key, self.time, self.wall_time(name))

    def resume_call(self) -> None:
        if self.delayed:
            index = self.rng.randrange(len(self.delayed))
            self.begin(*self.delayed.pop(index))

    def begin(
        self, table: idempotency_keys.KeyTable, key: str, now: float, wall_time: float
    ) -> Result[idempotency_keys.Claim, errors.Failure]:
        outcome = table.begin(key, "f", now, wall_time)
        if (
            isinstance(outcome, Ok)
            and outcome.ok_value.state is idempotency_keys.ClaimState.IN_PROGRESS
        ):
            self.starts[key] += 1
            assert self.starts[key] <= 1, key
            self.claims.append((table, outcome.ok_value))
        return outcome

    def end_claim(self) -> None:
        if not self.claims:
            return
        index = self.rng.randrange(len(self.claims))
        table, claim = self.claims.pop(index)
        draw = self.rng.random()
        if draw < 0.5:
            table.finish(claim, ANSWER)
        elif draw < 0.8:
            table.abandon(claim, LOST)
        else:
            table.abandon(claim, NOT_RUN)
            self.starts[claim.key] -= 1

    def run(self, steps: int) -> None:
        actions = [
            self.apply_revision,
            self.renew_lease,
            self.issue_key,
            self.send_call,
            self.end_claim,
        ]
        weights = [12.0, 30.0, 20.0, 60.0, 15.0]
        actions += [self.publish, self.restart, self.resume_call]
        weights += [self.rng.choice([0.1, 1.0, 4.0]), self.rng.choice([0.0, 0.2]), 4.0]
        for _ in range(steps):
            self.time += self.rng.choice([0.0, 0.01, 0.1, 0.2])
            if self.rng.random() < 0.01:
                self.time += self.rng.choice([3.0, 8.0, 30.0])
            if self.rng.random() < 0.03:
                self.send_call(paused=True)
            self.rng.choices(actions, weights)[0]()


@hypothesis.given(st.integers(0, 1 << 32))
@hypothesis.settings(max_examples=150, derandomize=True, deadline=None)
def test_no_key_starts_twice_over_any_schedule(seed: int) -> None:
    """Guards against a second start of a keyed call after any sequence of events.

    The events are restarts, pauses, and changes of the owners.
    """
    Fleet(seed).run(800)


def test_random_schedules_start_many_keys() -> None:
    """Guards against the test above passing because every key is refused."""
    started = 0
    for seed in range(20):
        fleet = Fleet(seed)
        fleet.run(800)
        started += len(fleet.starts)
    assert started >= 200


def make_table(wall_time: float = 0.0) -> idempotency_keys.KeyTable:
    """Return a table that owns all keys issued after 7 s; renewed at 10 s."""
    table = idempotency_keys.KeyTable("a", wall_time, max_records=4)
    table.apply_revision(1, ["a"], wall_time)
    table.renew_lease(1, 10.0, 10.0)
    return table


def begin(
    table: idempotency_keys.KeyTable,
    issued_ms: int,
    now: float = 10.0,
    suffix: str = "12345678",
) -> Result[idempotency_keys.Claim, errors.Failure]:
    return table.begin(f"{issued_ms}-{suffix}", "f", now, now)


def test_repeated_call_gets_the_state_or_the_answer() -> None:
    """Guards against a second start, and against losing the recorded answer."""
    table = make_table()
    claim = begin(table, 9500).unwrap()
    assert begin(table, 9500).unwrap_err().kind is errors.Kind.KEY_IN_PROGRESS
    table.finish(claim, ANSWER)
    assert begin(table, 9500).unwrap().answer == ANSWER
    other = table.begin("9500-12345678", "another request", 10.0, 10.0)
    assert other.unwrap_err().kind is errors.Kind.BAD_REQUEST


def test_key_may_start_again_only_after_a_call_that_did_not_run() -> None:
    """Guards against a second start after an unknown outcome, and a lost key."""
    table = make_table()
    table.abandon(begin(table, 9500).unwrap(), LOST)
    assert begin(table, 9500).unwrap_err().kind is errors.Kind.KEY_UNKNOWN
    table.abandon(begin(table, 9600).unwrap(), NOT_RUN)
    assert begin(table, 9600).unwrap().state is idempotency_keys.ClaimState.IN_PROGRESS


@pytest.mark.parametrize(
    ("issued_ms", "now"),
    [(1000, 10.0), (6000, 10.0), (11_500, 10.0), (9500, 15.5)],
)
def test_owner_refuses_keys_whose_outcome_it_may_not_know(
    issued_ms: int, now: float
) -> None:
    """Guards against starting keys issued before the start, or without a lease."""
    refused = begin(make_table(), issued_ms, now)
    assert isinstance(refused, Err)
    assert refused.err_value.kind is errors.Kind.KEY_UNKNOWN


def test_eviction_refuses_older_keys_instead_of_restarting_them() -> None:
    """Guards against a second start of a key whose record was evicted."""
    table = make_table()
    for step in range(6):
        table.finish(begin(table, 9000 + step).unwrap(), ANSWER)
    assert begin(table, 9000).unwrap_err().kind is errors.Kind.KEY_UNKNOWN
    assert begin(table, 9005).unwrap().state is idempotency_keys.ClaimState.FINISHED


def test_keys_in_progress_are_not_evicted() -> None:
    """Guards against evicting the claim of a running call when the table is full."""
    table = make_table()
    for step in range(4):
        begin(table, 9000 + step).unwrap()
    refused = begin(table, 9100).unwrap_err()
    assert refused.kind is errors.Kind.OVERLOADED
    assert begin(table, 9000).unwrap_err().kind is errors.Kind.KEY_IN_PROGRESS


def test_consecutive_revisions_leave_most_keys_owned() -> None:
    """Guards against a configuration change after which no key has an owner."""
    key_owners = key_ownership.KeyOwnership()
    owners = [f"e{i}" for i in range(10)]
    key_owners.apply_revision(1, owners, 0.0)
    key_owners.renew_lease(1, 100.0, 100.0)
    key_owners.apply_revision(2, owners[:-1], 101.0)
    key_owners.renew_lease(2, 101.0, 101.0)
    for issued in (50.0, 107.0, 120.0):
        owned = [key_owners.owner(f"k{i}", issued) for i in range(300)]
        assert owned.count(None) <= 60


@pytest.mark.parametrize("key", ["", "12", "x-12345678", "1-short", "1-12345678 "])
def test_malformed_key_is_a_bad_request(key: str) -> None:
    """Guards against accepting keys without a valid issue time."""
    refused = make_table().begin(key, "f", 10.0, 10.0)
    assert refused.unwrap_err().kind is errors.Kind.BAD_REQUEST


def test_unreachable_owner_is_answered_as_key_unknown() -> None:
    """Guards against answering not-run when an earlier attempt may have run."""
    failure = errors.Failure(errors.Kind.UNREACHABLE)
    assert (
        idempotency_keys.owner_unreached_failure(failure).kind
        is errors.Kind.KEY_UNKNOWN
    )
    assert idempotency_keys.owner_unreached_failure(LOST) is LOST
