"""Settings of the test run."""

from __future__ import annotations

import hypothesis

# CI must give the same verdict on each run.
hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, max_examples=50, database=None
)
hypothesis.settings.load_profile("fixed")
