"""Delays between a node's reads of the platform, with jitter.

A few nodes of each failure domain watch the platform and pass changes on by gossip. In
addition every node reads directly at long intervals (resync), after failed reads
(backoff), and when the confirmations from watching nodes are missing (fallback). The
functions change nothing but the state of the random generator; times are in seconds.
"""

from __future__ import annotations

import random

# Backoff of a node after failed reads; the bound doubles with each further failure.
BASE_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
# Bounds of the mean time between two resyncs of one node.
MIN_RESYNC_INTERVAL_S = 10.0
MAX_RESYNC_INTERVAL_S = 300.0
# Mean rate of resyncs of one failure domain while confirmations arrive.
RESYNCS_PER_S_PER_DOMAIN = 1.0
# Age of the last confirmation after which the nodes of a failure domain read directly.
MAX_CONFIRMATION_AGE_S = 6.0
# Mean rate of reads of one failure domain once confirmations are missing.
FALLBACK_READS_PER_S_PER_DOMAIN = 10.0
# Least mean delay of a fallback read.
MIN_FALLBACK_SPREAD_S = 1.0
# Mean traffic of one node for reads of the instance list, and the least mean time
# between two of them.
LIST_BYTES_PER_S = 5_000.0
MIN_LIST_INTERVAL_S = 1.0


def retry_delay(failures: int, rng: random.Random) -> float:
    """Return the delay after consecutive failed reads.

    The delay is exponential backoff with full jitter, and at least half of
    ``BASE_BACKOFF_S``.
    """
    longest = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2.0 ** min(failures, 16))
    return rng.uniform(BASE_BACKOFF_S / 2, longest)


def resync_delay(domain_size: int, rng: random.Random) -> float:
    """Return the time until a node's next resync while confirmations arrive.

    A resync is a direct read. It detects watching nodes that report a wrong revision or
    read from a stale replica. The interval grows with the failure domain, so that the
    resyncs of the domain have a constant rate.
    """
    mean = min(
        MAX_RESYNC_INTERVAL_S,
        max(MIN_RESYNC_INTERVAL_S, domain_size / RESYNCS_PER_S_PER_DOMAIN),
    )
    return rng.uniform(0.5, 1.5) * mean


def fallback_delay(domain_size: int, rng: random.Random) -> float:
    """Return the time until a node reads directly once confirmations are missing.

    The delays are spread over a time that grows with the failure domain, which bounds
    the rate of its reads. The first node that succeeds sends a confirmation to the
    others, which cancels their pending fallback reads.
    """
    spread = max(MIN_FALLBACK_SPREAD_S, domain_size / FALLBACK_READS_PER_S_PER_DOMAIN)
    return rng.uniform(0.0, 2.0) * spread


def list_delay(list_bytes: int, rng: random.Random) -> float:
    """Return the time until the next read of the instance list.

    The mean interval is proportional to the size of the list, which bounds the mean
    traffic.
    """
    mean = max(MIN_LIST_INTERVAL_S, list_bytes / LIST_BYTES_PER_S)
    return rng.uniform(0.75, 1.25) * mean
