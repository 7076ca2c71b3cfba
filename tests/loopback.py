"""Loopback addresses that no other process uses for the same purpose."""

from __future__ import annotations

import itertools
import os

HOSTS_PER_PROCESS = 250
_numbers = itertools.count()


def next_host() -> str:
    """Return an address; those of two test processes differ."""
    high, low = divmod(os.getpid(), HOSTS_PER_PROCESS)
    number = next(_numbers) % HOSTS_PER_PROCESS
    return f"127.{high % HOSTS_PER_PROCESS + 1}.{low + 1}.{number + 1}"
