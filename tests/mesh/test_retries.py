from __future__ import annotations

import dataclasses

from snipelink.mesh import retries
from snipelink.mesh import settings as settings_module
from tests.mesh import fleet

SERVICE = "rota"
EXTRA = 58.0
RATIO = 0.2
WINDOW_S = 10.0
# Machines for which the bound of the fleet is checked.
MACHINES = 9
# Time after which a node that has known the whole fleet has its whole part, seconds.
GROWN_S = 30.0


def _retries(
    ratio: float = RATIO, extra: float = EXTRA, window_s: float = WINDOW_S
) -> retries.Retries:
    bounds = dataclasses.replace(
        fleet.BOUNDS,
        retry_ratio=ratio,
        retry_allowance=extra,
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
    return retries.Retries(own)


def _granted(tested: retries.Retries, now: float, count: int = 100) -> int:
    return sum(tested.try_spend(SERVICE, now) for _ in range(count))


def test_entries_that_lapse_do_not_raise_the_part_of_a_node() -> None:
    """Guards against a multiple of the allowance while the list is short.

    Entries lapse while the store is away, and are back about two seconds after it.
    """
    nodes = [_retries(ratio=0.0) for _ in range(MACHINES)]
    for node in nodes:
        node.on_published(MACHINES, 0.0)
        node.on_published(1, GROWN_S)
    assert sum(_granted(node, GROWN_S + 1.0) for node in nodes) <= EXTRA


def test_answers_earn_attempts_from_the_start() -> None:
    """Guards against a fresh process that repeats nothing though it answers calls."""
    node = _retries()
    node.on_published(MACHINES, 0.0)
    for _ in range(100):
        node.on_answer(SERVICE, 0.5)
    assert _granted(node, 0.6) >= 100 * RATIO * retries.RATIO_SHARE


def test_node_that_runs_has_its_whole_part_and_the_reserve() -> None:
    """Guards against callers that lose repeats under calm conditions."""
    node = _retries()
    node.on_published(MACHINES, 0.0)
    part = int(EXTRA * retries.ALLOWANCE_SHARE / MACHINES)
    assert _granted(node, GROWN_S) == part + 1
    assert _granted(node, GROWN_S + WINDOW_S) == part
