from __future__ import annotations

import dataclasses
import random

import hypothesis
import hypothesis.strategies as st
import pytest

from snipelink.mesh import retry_budgets
from snipelink.mesh import settings as settings_module
from tests.mesh import fleet

SERVICE = "rota"
# Bound of the further attempts of all nodes in a window: ALLOWANCE + RATIO * requests.
ALLOWANCE = 58.0
RATIO = 0.2
WINDOW_S = 10.0
# Machines of the fleet.
MACHINES = 9
# Uptime after which a node has earned its whole share of the allowance, seconds.
FULL_SHARE_S = 30.0


def _budgets(
    ratio: float = RATIO, allowance: float = ALLOWANCE, window_s: float = WINDOW_S
) -> retry_budgets.RetryBudgets:
    bounds = dataclasses.replace(
        fleet.BOUNDS,
        retry_ratio=ratio,
        retry_allowance=allowance,
        retry_window_s=window_s,
    )
    own = settings_module.Settings(
        node="n",
        host="10.0.0.1",
        failure_domain="a",
        service=SERVICE,
        endpoint_address=("10.0.0.1", 1),
        caller_listen=("10.0.0.1", 2),
        peer_listen=("10.0.0.1", 3),
        ready_listen=("10.0.0.1", 4),
        metrics_listen=("10.0.0.1", 5),
        peer_port=3,
        load_port=3,
        bounds=bounds,
    )
    return retry_budgets.RetryBudgets(own)


def _count_granted(
    node_budgets: retry_budgets.RetryBudgets, now: float, count: int = 100
) -> int:
    return sum(node_budgets.try_spend(SERVICE, now) for _ in range(count))


def test_expired_entries_do_not_raise_the_share_of_a_node() -> None:
    """Guards against spending a multiple of the allowance while entries are missing.

    Published entries expire while the store is unavailable, and are published again
    about two seconds after it has recovered. Nodes must not divide the allowance by the
    small number of machines that is listed in between.
    """
    nodes = [_budgets(ratio=0.0) for _ in range(MACHINES)]
    for node in nodes:
        node.on_published(MACHINES, 0.0)
        node.on_published(1, FULL_SHARE_S)
    assert sum(_count_granted(node, FULL_SHARE_S + 1.0) for node in nodes) <= ALLOWANCE


def test_short_list_at_the_start_does_not_raise_the_share_of_a_node() -> None:
    """Guards against spending a multiple of the allowance when all nodes start at once.

    The list of machines is short until all of them are published.
    """
    nodes = [_budgets(ratio=0.0) for _ in range(MACHINES)]
    for node in nodes:
        node.on_published(1, 0.0)
    granted = sum(_count_granted(node, 2.0) for node in nodes)
    for node in nodes:
        node.on_published(MACHINES, 2.2)
    assert granted + sum(_count_granted(node, 9.0) for node in nodes) <= ALLOWANCE


def test_restarting_process_gets_no_new_allowance() -> None:
    """Guards against restarts that multiply a node's share within one window."""
    granted = 0
    for start in range(8):
        node = _budgets(ratio=0.0, allowance=ALLOWANCE)
        node.on_published(MACHINES, float(start))
        granted += _count_granted(node, start + 0.9)
    assert granted <= ALLOWANCE / MACHINES


def test_restarting_process_gets_no_new_reserve() -> None:
    """Guards against restarts that each give every service one reserve attempt."""
    granted = 0
    for start in range(8):
        node = _budgets(allowance=0.0)
        node.on_published(MACHINES, float(start))
        granted += _count_granted(node, start + 0.9)
    assert granted <= 1


def test_answers_earn_attempts_from_the_start() -> None:
    """Guards against a new process that answers calls but cannot retry any."""
    node = _budgets()
    node.on_published(MACHINES, 0.0)
    for _ in range(100):
        node.on_answer(SERVICE, 0.5)
    assert _count_granted(node, 0.6) >= 100 * RATIO * retry_budgets.RATIO_SHARE


def test_running_node_has_its_whole_share_and_the_reserve() -> None:
    """Guards against a budget below the configured bound in steady operation."""
    node = _budgets()
    node.on_published(MACHINES, 0.0)
    part = int(ALLOWANCE * retry_budgets.ALLOWANCE_SHARE / MACHINES)
    assert _count_granted(node, FULL_SHARE_S) == part + 1
    assert _count_granted(node, FULL_SHARE_S + WINDOW_S) == part


@dataclasses.dataclass
class _Fleet:
    """Retry budgets of all machines, and the times of requests and attempts."""

    rng: random.Random
    nodes: list[retry_budgets.RetryBudgets] = dataclasses.field(default_factory=list)
    requested_at: list[float] = dataclasses.field(default_factory=list)
    granted_at: list[float] = dataclasses.field(default_factory=list)

    def start(self, published: int, now: float) -> None:
        self.nodes = [_budgets() for _ in range(MACHINES)]
        for index in range(MACHINES):
            self.restart(index, published, now)

    def restart(self, index: int, published: int, now: float) -> None:
        """Replace a process by a new one that only has the published list."""
        self.nodes[index] = _budgets()
        self.nodes[index].on_published(published, now)

    def publish(self, published: int, now: float) -> None:
        for node in self.nodes:
            node.on_published(published, now)

    def call(self, count: int, failing: float, now: float) -> None:
        """Make calls at random nodes; a share of them succeeds only after a retry."""
        for _ in range(count):
            self.requested_at.append(now)
            node = self.rng.choice(self.nodes)
            if self.rng.random() < failing:
                if not node.try_spend(SERVICE, now):
                    continue
                self.granted_at.append(now)
            node.on_answer(SERVICE, now)

    def worst_excess(self) -> float:
        """Return the excess of the worst window over the bound; negative if within."""
        worst = -ALLOWANCE
        for start in self.granted_at:
            granted = _count(self.granted_at, start, start + WINDOW_S)
            requests = max(
                _count(self.requested_at, start - before, start - before + WINDOW_S)
                for before in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            worst = max(worst, granted - RATIO * requests - ALLOWANCE)
        return worst


def _count(times: list[float], start: float, end: float) -> int:
    return sum(start <= at < end for at in times)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["calls", "failures", "kill", "kill-all", "lapse", "pause"]),
        st.integers(1, 6),
        st.sampled_from([0.1, 0.5, 1.0, 2.0, 2.5, 5.0, 9.0]),
    ),
    min_size=1,
    max_size=25,
)


@hypothesis.given(STEPS, st.integers(0, 2**16), st.integers(1, MACHINES))
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_attempts_of_all_nodes_stay_within_the_bound_in_any_window(
    steps: list[tuple[str, int, float]], seed: int, first_published: int
) -> None:
    """Guards against further attempts beyond the bound after kills and expired entries.

    Expired entries are published again after two seconds, and a list that was short at
    the start is complete by then.
    """
    simulated_fleet = _Fleet(random.Random(seed))
    now = 0.0
    simulated_fleet.start(first_published, now)
    published, whole_at = first_published, 2.0
    for kind, size, pause_s in steps:
        if kind in ("calls", "failures"):
            simulated_fleet.call(30 * size, 1.0 if kind == "failures" else 0.05, now)
        elif kind == "kill":
            simulated_fleet.restart(size - 1, published, now)
        elif kind == "kill-all":
            simulated_fleet.start(published, now)
        elif kind == "lapse":
            published, whole_at = size, now + 2.0
            simulated_fleet.publish(published, now)
        if now + pause_s >= whole_at and published < MACHINES:
            published = MACHINES
            simulated_fleet.publish(published, whole_at)
        now += pause_s
    assert simulated_fleet.worst_excess() <= 0.0


@dataclasses.dataclass
class _Site:
    """Fleet in which runs at the service `rota` call the service `archive`.

    The figures are those of arrieta-mesh: requests a second for `rota` and `archive`,
    and the mean number of calls to `archive` that a run at `rota` makes.
    """

    rng: random.Random
    nodes: list[retry_budgets.RetryBudgets]
    requested_at: list[float] = dataclasses.field(default_factory=list)
    further_at: list[float] = dataclasses.field(default_factory=list)

    ROTA_PER_S = 53
    ARCHIVE_PER_S = 23
    CALLS_OF_RUN = 1.1

    def make_calls(self, needed: float, now: float) -> None:
        """Make the calls of one second; a share of them needs a further attempt."""
        rota = [
            (now + index / self.ROTA_PER_S, True) for index in range(self.ROTA_PER_S)
        ]
        archive = [
            (now + index / self.ARCHIVE_PER_S, False)
            for index in range(self.ARCHIVE_PER_S)
        ]
        for at, is_rota in sorted(rota + archive):
            if is_rota:
                self._call_rota(needed, at)
            else:
                self.requested_at.append(at)
                self._call_archive(needed, at, is_retry=False)

    def _call_rota(self, needed: float, now: float) -> None:
        node = self.rng.choice(self.nodes)
        is_retried = self.rng.random() < needed and node.try_spend("rota", now)
        node.on_answer("rota", now)
        for is_retry in (False, True)[: 1 + is_retried]:
            # Make two calls or none, with the given mean.
            for _ in range(2 * (self.rng.random() < self.CALLS_OF_RUN / 2)):
                self._call_archive(needed, now, is_retry=is_retry)

    def _call_archive(self, needed: float, now: float, *, is_retry: bool) -> None:
        if is_retry:
            self.further_at.append(now)
        node = self.rng.choice(self.nodes)
        if self.rng.random() < needed and node.try_spend("archive", now):
            self.further_at.append(now)
        node.on_answer("archive", now)


@pytest.mark.parametrize("event", ["none", "kill", "kills", "lapse"])
@pytest.mark.parametrize("needed_before", [0.0, 1.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_retries_and_the_calls_of_retried_runs_stay_within_the_bound(
    event: str, needed_before: float, seed: int
) -> None:
    """Guards against too many further attempts at a service that other services call.

    Calls that a retried run makes count as further attempts there, and calls made by
    endpoints do not count as requests. From second 30 on, every call needs a further
    attempt; `needed_before` is the share of calls that needs one before.
    """
    rng = random.Random(seed)
    site = _Site(rng, [_budgets() for _ in range(MACHINES)])
    for node in site.nodes:
        node.on_published(MACHINES, 0.0)
    kill_seconds = {"kill": [33], "kills": [32, 34, 36, 38]}.get(event, [])
    for second in range(10, 45):
        now = float(second)
        if second in kill_seconds:
            site.nodes = [_budgets() for _ in range(MACHINES)]
            for node in site.nodes:
                node.on_published(MACHINES, now)
        if event == "lapse" and second in (33, 35):
            for node in site.nodes:
                node.on_published(1 if second == 33 else MACHINES, now)
        site.make_calls(needed_before if second < 30 else 1.0, now)
    for start in range(20, 35):
        further_attempts = _count(site.further_at, start, start + WINDOW_S)
        requests = _count(site.requested_at, start, start + WINDOW_S)
        assert further_attempts <= RATIO * requests + ALLOWANCE


@dataclasses.dataclass(frozen=True)
class _Figures:
    """Figures of a site with an outer service whose runs call an inner service.

    Attributes
    ----------
    machines : int
        Machines of the site.
    allowance : float
        Configured allowance of further attempts in a window.
    outer_per_s, inner_per_s : float
        Requests a second for the outer and the inner service.
    outer_safe_share : float
        Share of the requests for the outer service that may be retried.
    calls_of_run : float
        Mean number of inner calls that a run which may be retried makes.
    """

    machines: int
    allowance: float
    outer_per_s: float
    outer_safe_share: float
    inner_per_s: float
    calls_of_run: float


SITES = {
    "arrieta-mesh": _Figures(9, 58.0, 52.8, 0.77, 22.6, 1.4),
    "arrieta-mesh-grown": _Figures(80, 200.0, 469.7, 0.77, 201.3, 1.4),
    "arrieta-mesh-large": _Figures(195, 430.0, 646.1, 0.77, 276.9, 1.4),
    "pbp-mesh-grown": _Figures(84, 208.0, 469.0, 0.645, 236.0, 1.4),
    "clpw-mesh": _Figures(14, 64.0, 132.3, 0.662, 9.1, 0.7),
    "clpw-mesh-grown": _Figures(79, 198.0, 785.8, 0.662, 54.2, 0.7),
}


def _attempts_at_inner_service(site: _Figures, needed: float) -> tuple[int, float]:
    """Return further attempts at the inner service in the worst window, and the bound.

    After 30 seconds without failures, a share of the calls that may be retried needs a
    further attempt.
    """
    rng = random.Random(1)
    nodes = [_budgets(allowance=site.allowance) for _ in range(site.machines)]
    for node in nodes:
        node.on_published(site.machines, 0.0)
    requested_at: list[float] = []
    further_at: list[float] = []

    def call_inner(now: float, *, is_retry: bool) -> None:
        if is_retry:
            further_at.append(now)
        node = rng.choice(nodes)
        if now >= 30.0 and rng.random() < needed and node.try_spend("inner", now):
            further_at.append(now)
        node.on_answer("inner", now)

    def call_outer(now: float) -> None:
        node = rng.choice(nodes)
        is_safe = rng.random() < site.outer_safe_share
        is_needed = now >= 30.0 and is_safe and rng.random() < needed
        is_retried = is_needed and node.try_spend("outer", now)
        node.on_answer("outer", now)
        for is_retry in (False, True)[: 1 + is_retried]:
            count = int(site.calls_of_run + rng.random()) if is_safe else 0
            for _ in range(count):
                call_inner(now, is_retry=is_retry)

    for second in range(42):
        count = round(site.outer_per_s)
        starts = [(second + index / count, True) for index in range(count)]
        count = round(site.inner_per_s)
        starts += [(second + index / count, False) for index in range(count)]
        for at, is_outer in sorted(starts):
            if is_outer:
                call_outer(at)
            else:
                requested_at.append(at)
                call_inner(at, is_retry=False)
    worst = (0, 0.0)
    for start in range(20, 32):
        further_attempts = _count(further_at, start, start + WINDOW_S)
        bound = RATIO * _count(requested_at, start, start + WINDOW_S) + site.allowance
        if further_attempts - bound > worst[0] - worst[1] or not worst[0]:
            worst = (further_attempts, bound)
    return worst


@pytest.mark.parametrize("name", SITES)
@pytest.mark.parametrize("needed", [0.15, 0.3])
def test_attempts_at_an_inner_service_stay_within_the_bound_on_each_site(
    name: str, needed: float
) -> None:
    """Guards against shares of the allowance that fit only one small site.

    Answers to calls that endpoints make earn further attempts although these calls do
    not count as requests, and each node keeps a reserve of one attempt per service.
    """
    further_attempts, bound = _attempts_at_inner_service(SITES[name], needed)
    assert further_attempts <= bound


@pytest.mark.parametrize("machines", [1, 2, 9, 40, 80, 200])
@pytest.mark.parametrize("answers_per_s", [1, 20, 200])
def test_attempts_at_a_service_without_requests_stay_within_the_allowance(
    machines: int, answers_per_s: int
) -> None:
    """Guards against further attempts that grow with the calls made by endpoints.

    Such calls do not count as requests, so only the allowance covers their further
    attempts. Each node answers `answers_per_s` of them, and all need a further attempt.
    """
    nodes = [_budgets() for _ in range(machines)]
    for node in nodes:
        node.on_published(machines, 0.0)
    granted_at: list[float] = []
    for second in range(20, 45):
        for node in nodes:
            for _ in range(answers_per_s):
                if second >= 30 and node.try_spend(SERVICE, second):
                    granted_at.append(second)
                node.on_answer(SERVICE, second)
    for start in range(30, 36):
        assert _count(granted_at, start, start + WINDOW_S) <= ALLOWANCE
