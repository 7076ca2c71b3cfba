"""Ejection of endpoints that are slow, failing or stalled, and their return."""

from __future__ import annotations

import random

from snipelink.balance import endpoint_stats

MAX_EJECTED_RATIO = 0.34
FAILURE_SHARE = 0.45
SLOWNESS = 10.0
STALL = 4.0
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
TRIAL_SUCCESSES = 3
# A service without idempotent calls would otherwise never try an ejected endpoint.
TRIAL_PATIENCE_S = 5.0


def max_ejected(endpoint_count: int) -> int:
    """Return how many endpoints of a service may be ejected at once.

    The cap keeps a fault of the whole service, or of this node's network, from
    emptying the set; a third allows for the loss of one failure domain of three.
    """
    if endpoint_count < 2:
        return 0
    return max(1, int(endpoint_count * MAX_EJECTED_RATIO))


def reason_to_eject(
    subject: endpoint_stats.EndpointStats, now: float, median_s: float
) -> str:
    """Return why an active endpoint should be ejected; empty when it should not."""
    if subject.current_failure_share(now) >= FAILURE_SHARE:
        return "failing"
    if subject.current_slowness(now) >= SLOWNESS:
        return "slow"
    if subject.stall(now, median_s) >= STALL:
        return "stalled"
    return ""


def eject(
    subject: endpoint_stats.EndpointStats, reason: str, now: float, rng: random.Random
) -> None:
    """Eject an endpoint for a time that doubles with each ejection in a row."""
    subject.ejections += 1
    length = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2 ** (subject.ejections - 1))
    subject.state = endpoint_stats.State.EJECTED
    subject.reason = reason
    subject.ejected_until = now + length * rng.uniform(0.75, 1.25)
    subject.trial_successes = 0


def may_try(
    subject: endpoint_stats.EndpointStats, now: float, idempotent: bool
) -> bool:
    """Return whether an ejected endpoint may receive one call as a trial."""
    if now < subject.ejected_until or subject.attempts:
        return False
    return idempotent or now >= subject.ejected_until + TRIAL_PATIENCE_S


def record_trial(
    subject: endpoint_stats.EndpointStats, good: bool, now: float, rng: random.Random
) -> None:
    """Record the outcome of an attempt that was made on trial."""
    if not good:
        eject(subject, subject.reason, now, rng)
        return
    subject.trial_successes += 1
    if subject.trial_successes >= TRIAL_SUCCESSES:
        restore(subject, now)


def restore(subject: endpoint_stats.EndpointStats, now: float) -> None:
    """Return an endpoint to the choice with a ramp."""
    subject.state = endpoint_stats.State.ACTIVE
    subject.reason = ""
    subject.failure_share = 0.0
    subject.slowness = 1.0
    subject.ramp_from = now
