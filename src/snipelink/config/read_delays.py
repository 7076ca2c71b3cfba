"""When a node reads from the platform: delays, audits and the fallback.

All functions are pure; times are in seconds.
"""

from __future__ import annotations

import random

FIRST_RETRY_S = 0.5
LONGEST_RETRY_S = 30.0
SHORTEST_AUDIT_S = 10.0
LONGEST_AUDIT_S = 300.0
# Expected direct reads per second in one failure domain while news arrive.
AUDITS_PER_S_AND_DOMAIN = 1.0
# A domain without confirmation for this time starts to read directly.
MAX_CONFIRMATION_AGE_S = 6.0
FALLBACK_READS_PER_S_AND_DOMAIN = 10.0
SHORTEST_FALLBACK_S = 1.0
LIST_BYTES_PER_S = 5_000.0
SHORTEST_LIST_INTERVAL_S = 1.0


def retry_delay(failures: int, rng: random.Random) -> float:
    """Return the time to wait after a row of failed reads (full jitter)."""
    longest = min(LONGEST_RETRY_S, FIRST_RETRY_S * 2.0 ** min(failures, 16))
    return rng.uniform(FIRST_RETRY_S / 2, longest)


def audit_delay(domain_size: int, rng: random.Random) -> float:
    """Return the time until a node's next direct read while all is well.

    Audits find watching nodes that are wrong or read from a stale replica.
    """
    mean = min(
        LONGEST_AUDIT_S, max(SHORTEST_AUDIT_S, domain_size / AUDITS_PER_S_AND_DOMAIN)
    )
    return rng.uniform(0.5, 1.5) * mean


def fallback_delay(domain_size: int, rng: random.Random) -> float:
    """Return the time until a node reads directly once confirmations are missing.

    The spread grows with the failure domain, so that its reads stay bounded; the first
    node that succeeds tells the others, whose delays then start anew.
    """
    spread = max(SHORTEST_FALLBACK_S, domain_size / FALLBACK_READS_PER_S_AND_DOMAIN)
    return rng.uniform(0.0, 2.0) * spread


def list_delay(list_bytes: int, rng: random.Random) -> float:
    """Return the time between reads of the instance list, by its size."""
    mean = max(SHORTEST_LIST_INTERVAL_S, list_bytes / LIST_BYTES_PER_S)
    return rng.uniform(0.75, 1.25) * mean
