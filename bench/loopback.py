"""Loopback addresses that no other process uses for the same purpose."""

from __future__ import annotations

import itertools
import os

HOSTS_PER_NETWORK = 250
_numbers = itertools.count()


def network() -> str:
    """Return the first three parts of the addresses of this process."""
    high, low = divmod(os.getpid(), HOSTS_PER_NETWORK)
    return f"127.{high % HOSTS_PER_NETWORK + 1}.{low + 1}"


def next_host() -> str:
    """Return an address; it comes again only after all others."""
    return f"{network()}.{next(_numbers) % HOSTS_PER_NETWORK + 1}"
