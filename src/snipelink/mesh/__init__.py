"""Mesh node: forwards the calls of local callers and serves the local endpoint."""
