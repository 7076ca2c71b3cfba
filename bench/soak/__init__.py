"""Randomized fault soak: real nodes as processes on loopback, faults from outside.

The store, the endpoints, the links and the callers are stand-ins in the soak's own
process; the nodes are ``platform/sidecar.py``. Checks judge only what callers and
endpoints saw and what was published.
"""
