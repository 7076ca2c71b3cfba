"""Randomized fault soak: real nodes as processes on loopback, faults from outside.

The store, the endpoints, the links and the callers are stand-ins in the soak's own
process; the nodes are ``platform/sidecar.py``. Checks judge only what callers and
endpoints saw and what was published.
"""

from __future__ import annotations

import pathlib
import sys

# The adapter's folder is no package, for its name is taken by the standard library.
ADAPTER_DIRECTORY = pathlib.Path(__file__).resolve().parents[2] / "platform"
sys.path.insert(0, str(ADAPTER_DIRECTORY))
