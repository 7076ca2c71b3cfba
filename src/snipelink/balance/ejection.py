"""Outlier ejection of slow, failing or stalled endpoints, and their return."""

from __future__ import annotations

import random

from snipelink.balance import endpoint_stats

MAX_EJECTED_RATIO = 0.34
# Lowest values of an endpoint's statistics at which it is ejected.
MIN_EJECTION_FAILURE_SHARE = 0.45
MIN_EJECTION_SLOWNESS = 10.0
MIN_EJECTION_STALL_RATIO = 4.0
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
TRIAL_SUCCESS_COUNT = 3
# An ejected endpoint is tried with idempotent calls first. After this further delay any
# call may be the trial; otherwise a service without idempotent calls would have none.
NON_IDEMPOTENT_TRIAL_DELAY_S = 5.0


def max_ejected_count(endpoint_count: int) -> int:
    """Return how many endpoints of a service may be ejected at once.

    The cap prevents a fault of the whole service, or of this node's network, from
    ejecting every endpoint. A third covers the loss of one of three failure domains.
    """
    if endpoint_count < 2:
        return 0
    return max(1, int(endpoint_count * MAX_EJECTED_RATIO))


def reason_to_eject(
    stats: endpoint_stats.EndpointStats, now: float, median_s: float
) -> str:
    """Return the reason to eject an active endpoint; empty when there is none."""
    if stats.current_failure_share(now) >= MIN_EJECTION_FAILURE_SHARE:
        return "failing"
    if stats.current_slowness(now) >= MIN_EJECTION_SLOWNESS:
        return "slow"
    if stats.stall_ratio(now, median_s) >= MIN_EJECTION_STALL_RATIO:
        return "stalled"
    return ""


def eject(
    stats: endpoint_stats.EndpointStats, reason: str, now: float, rng: random.Random
) -> None:
    """Eject an endpoint; the duration doubles with each ejection and has jitter."""
    stats.ejection_count += 1
    duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2 ** (stats.ejection_count - 1))
    stats.state = endpoint_stats.EjectionState.EJECTED
    stats.reason = reason
    stats.ejected_until = now + duration_s * rng.uniform(0.75, 1.25)
    stats.trial_successes = 0


def is_trial_due(
    stats: endpoint_stats.EndpointStats, now: float, idempotent: bool
) -> bool:
    """Return whether an ejected endpoint may receive one call as a trial."""
    if now < stats.ejected_until or stats.attempts:
        return False
    return idempotent or now >= stats.ejected_until + NON_IDEMPOTENT_TRIAL_DELAY_S


def record_trial(
    stats: endpoint_stats.EndpointStats, succeeded: bool, now: float, rng: random.Random
) -> None:
    """Record the outcome of a trial attempt; a failed one ejects the endpoint again."""
    if not succeeded:
        eject(stats, stats.reason, now, rng)
        return
    stats.trial_successes += 1
    if stats.trial_successes >= TRIAL_SUCCESS_COUNT:
        restore(stats, now)


def restore(stats: endpoint_stats.EndpointStats, now: float) -> None:
    """Make an ejected endpoint active again, with a slow start."""
    stats.state = endpoint_stats.EjectionState.ACTIVE
    stats.reason = ""
    stats.failure_share = 0.0
    stats.slowness = 1.0
    stats.slow_start_from = now
