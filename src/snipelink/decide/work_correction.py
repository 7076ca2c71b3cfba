"""Correction of the expected work of calls by what an endpoint's calls have taken.

A node that has started recently has no samples of most operations and expects a fixed
part of their latency objectives as work. Where that is too much, calls that could be
answered in time are refused as late. The node beside an endpoint sees the calls of all
other nodes, so it knows within a few answers how their expectations compare with the
work. Once the nodes have learnt the work themselves, nothing is corrected: under
overload, the calls that are answered are the shorter ones.
"""

from __future__ import annotations

# Time after the start of a node or its endpoint for which expectations are corrected,
# seconds.
LEARNING_S = 5.0
# Samples from which on expectations are corrected.
MIN_SAMPLES = 3
# Minimum weight of a new sample. Expectations become right as the other nodes learn, so
# the correction has to follow within about ten calls.
MIN_SAMPLE_WEIGHT = 0.1
# Bounds of a sample. Single calls may take a multiple of the usual work.
MIN_RATIO = 0.25
MAX_RATIO = 2.0
# Bounds of the correction.
MIN_CORRECTION = 0.5
MAX_CORRECTION = 1.5
# Lower bound of the expected work, seconds.
MIN_WORK_S = 0.001


class WorkCorrection:
    """Mean ratio of the work of calls to what their nodes expected.

    Parameters
    ----------
    now : float
        Present monotonic time, seconds.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._mean_ratio = 1.0
        self._count = 0

    def record(self, expected_s: float, work_s: float) -> None:
        """Record an answered call.

        Parameters
        ----------
        expected_s : float
            Work that the caller's node expected, in seconds at normal speed.
        work_s : float
            Work of the call, in seconds at normal speed.
        """
        ratio = work_s / max(MIN_WORK_S, expected_s)
        ratio = min(MAX_RATIO, max(MIN_RATIO, ratio))
        self._count += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / self._count)
        self._mean_ratio += weight * (ratio - self._mean_ratio)

    def corrected_s(self, expected_s: float, now: float) -> float:
        """Return the work to expect of a call, in seconds at normal speed."""
        if self._count < MIN_SAMPLES or now - self._started_at > LEARNING_S:
            return expected_s
        return expected_s * min(MAX_CORRECTION, max(MIN_CORRECTION, self._mean_ratio))
