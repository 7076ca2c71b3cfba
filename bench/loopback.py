"""Loopback addresses that are distinct for each process of the tests."""

from __future__ import annotations

import itertools
import os

HOSTS_PER_NETWORK = 250
_host_indexes = itertools.count()


def network() -> str:
    """Return the first three octets of the addresses of this process.

    They are derived from the process id.
    """
    high, low = divmod(os.getpid(), HOSTS_PER_NETWORK)
    return f"127.{high % HOSTS_PER_NETWORK + 1}.{low + 1}"


def next_host() -> str:
    """Return the next address; addresses are reused in a round-robin order."""
    return f"{network()}.{next(_host_indexes) % HOSTS_PER_NETWORK + 1}"
