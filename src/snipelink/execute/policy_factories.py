"""Factories of the balancing policies that the settings can select."""

from __future__ import annotations

from snipelink.balance import adaptive_policy
from snipelink.balance import policy as policies
from snipelink.balance import tracker as trackers
from snipelink.execute import service_state


def _make_adaptive(
    tracker: trackers.Tracker, failure_domain: str, region: str
) -> policies.Policy:
    return adaptive_policy.AdaptivePolicy(tracker, failure_domain, region)


def _make_least_outstanding(
    tracker: trackers.Tracker, failure_domain: str, region: str
) -> policies.Policy:
    return policies.LeastOutstandingPolicy(tracker)


def _make_random(
    tracker: trackers.Tracker, failure_domain: str, region: str
) -> policies.Policy:
    return policies.RandomPolicy(tracker)


def _make_round_robin(
    tracker: trackers.Tracker, failure_domain: str, region: str
) -> policies.Policy:
    return policies.RoundRobinPolicy(tracker)


def factories_by_name() -> dict[str, service_state.PolicyFactory]:
    """Return the factory of each policy by its name in the settings."""
    return {
        "adaptive": _make_adaptive,
        "least-outstanding": _make_least_outstanding,
        "random": _make_random,
        "round-robin": _make_round_robin,
    }
