"""When a node reads from the platform: delays, audits and the fallback.

All functions are pure; times are in seconds.
"""

from __future__ import annotations

import random

BASE_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
MIN_RESYNC_INTERVAL_S = 10.0
MAX_RESYNC_INTERVAL_S = 300.0
# Expected direct reads per second in one failure domain while news arrive.
RESYNCS_PER_S_PER_DOMAIN = 1.0
# A domain without confirmation for this time starts to read directly.
MAX_CONFIRMATION_AGE_S = 6.0
FALLBACK_READS_PER_S_PER_DOMAIN = 10.0
MIN_FALLBACK_SPREAD_S = 1.0
LIST_BYTES_PER_S = 5_000.0
MIN_LIST_INTERVAL_S = 1.0


def retry_delay(failures: int, rng: random.Random) -> float:
    """Return the time to wait after a row of failed reads (full jitter)."""
    longest = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2.0 ** min(failures, 16))
    return rng.uniform(BASE_BACKOFF_S / 2, longest)


def resync_delay(domain_size: int, rng: random.Random) -> float:
    """Return the time until a node's next direct read while all is well.

    Audits find watching nodes that are wrong or read from a stale replica.
    """
    mean = min(
        MAX_RESYNC_INTERVAL_S,
        max(MIN_RESYNC_INTERVAL_S, domain_size / RESYNCS_PER_S_PER_DOMAIN),
    )
    return rng.uniform(0.5, 1.5) * mean


def fallback_delay(domain_size: int, rng: random.Random) -> float:
    """Return the time until a node reads directly once confirmations are missing.

    The spread grows with the failure domain, so that its reads stay bounded; the first
    node that succeeds tells the others, whose delays then start anew.
    """
    spread = max(MIN_FALLBACK_SPREAD_S, domain_size / FALLBACK_READS_PER_S_PER_DOMAIN)
    return rng.uniform(0.0, 2.0) * spread


def list_delay(list_bytes: int, rng: random.Random) -> float:
    """Return the time between reads of the instance list, by its size."""
    mean = max(MIN_LIST_INTERVAL_S, list_bytes / LIST_BYTES_PER_S)
    return rng.uniform(0.75, 1.25) * mean
