"""Balancing policies by the name in the settings."""

from __future__ import annotations

from snipelink.balance import adaptive_policy
from snipelink.balance import policy as simple
from snipelink.balance import tracker as trackers
from snipelink.execute import service_state


def _make_adaptive(
    tracker: trackers.Tracker, failure_domain: str, region: str
) -> simple.Policy:
    return adaptive_policy.AdaptivePolicy(tracker, failure_domain, region)


def _make_least_outstanding(
    tracker: trackers.Tracker, failure_domain: str, region: str
) -> simple.Policy:
    return simple.LeastOutstandingPolicy(tracker)


def _make_random(
    tracker: trackers.Tracker, failure_domain: str, region: str
) -> simple.Policy:
    return simple.RandomPolicy(tracker)


def _make_round_robin(
    tracker: trackers.Tracker, failure_domain: str, region: str
) -> simple.Policy:
    return simple.RoundRobinPolicy(tracker)


def factories_by_name() -> dict[str, service_state.PolicyFactory]:
    """Return the functions that make the policies."""
    return {
        "adaptive": _make_adaptive,
        "least-outstanding": _make_least_outstanding,
        "random": _make_random,
        "round-robin": _make_round_robin,
    }
