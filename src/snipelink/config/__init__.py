"""Accepted set of objects: reading it, collecting its documents, judging it."""
