"""Randomized fault injection into a deployment of real nodes on loopback.

Each node is a process of ``platform/sidecar.py``. The soak's own process simulates the
store, the endpoints, the network links and the callers. The checks use only what
callers and endpoints observed, what was published, and how node processes exited.
"""

from __future__ import annotations

import pathlib
import sys

# The directory cannot be a package: its name is that of a module of the standard
# library.
ADAPTER_DIRECTORY = pathlib.Path(__file__).resolve().parents[2] / "platform"
sys.path.insert(0, str(ADAPTER_DIRECTORY))
