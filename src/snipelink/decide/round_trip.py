"""Time-outs between nodes that follow the measured round trip, as those of TCP do.

On a congested link packets wait for longer than any time-out that finds a dead peer
soon. Each attempt is then repeated before its answer can arrive, and the repetitions,
which carry whole bodies, keep the link congested. The time-outs therefore grow with
the round trip (RFC 6298) and return to their usual values with it.
"""

from __future__ import annotations

import collections
import dataclasses

Address = tuple[str, int]

# Weights of a new sample in the mean and in the mean deviation, and number of
# deviations in a time-out (RFC 6298).
MEAN_WEIGHT = 1.0 / 8.0
DEVIATION_WEIGHT = 1.0 / 4.0
DEVIATION_COUNT = 4.0
# Half-life of an estimate without new samples, seconds: a queue of packets drains
# within seconds once the load ends.
HALF_LIFE_S = 2.0
# Longest time-out, seconds, and largest factor of backoff.
MAX_TIMEOUT_S = 2.0
MAX_BACKOFF = 16.0


@dataclasses.dataclass(slots=True)
class _Estimate:
    """Round trip to one address.

    Attributes
    ----------
    mean_s, deviation_s : float
        Mean and mean deviation of the round trip, seconds.
    backoff : float
        Factor of time-outs since the last sample.
    at : float
        Monotonic time of the last change.
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0
    backoff: float = 1.0
    at: float = 0.0

    def remaining_ratio(self, now: float) -> float:
        """Return the share of the estimate that has not decayed."""
        return 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)


class RoundTrips:
    """Estimates of the round trip to each address."""

    def __init__(self) -> None:
        self._estimates_by_address: collections.defaultdict[Address, _Estimate] = (
            collections.defaultdict(_Estimate)
        )

    def timeout_s(self, address: Address, usual_s: float, now: float) -> float:
        """Return the time-out of a packet exchange with an address.

        Parameters
        ----------
        usual_s : float
            Time-out on links that are not congested, seconds; the result is not below.
        """
        estimate = self._estimates_by_address.get(address)
        if estimate is None:
            return usual_s
        measured_s = estimate.mean_s + DEVIATION_COUNT * estimate.deviation_s
        if estimate.backoff > 1.0:
            measured_s = max(usual_s, measured_s) * estimate.backoff
        adapted_s = min(MAX_TIMEOUT_S, measured_s * estimate.remaining_ratio(now))
        return max(usual_s, adapted_s)

    def on_sample(self, address: Address, took_s: float, now: float) -> None:
        """Record the time between a message and its acknowledgement."""
        estimate = self._estimates_by_address[address]
        # An old estimate must not count again because its age starts anew.
        remaining_ratio = estimate.remaining_ratio(now)
        estimate.mean_s *= remaining_ratio
        estimate.deviation_s *= remaining_ratio
        deviation_s = abs(took_s - estimate.mean_s)
        estimate.deviation_s += DEVIATION_WEIGHT * (deviation_s - estimate.deviation_s)
        estimate.mean_s += MEAN_WEIGHT * (took_s - estimate.mean_s)
        estimate.backoff, estimate.at = 1.0, now

    def on_timeout(self, address: Address, now: float) -> None:
        """Double the time-outs until the next sample, after one has passed."""
        estimate = self._estimates_by_address[address]
        estimate.backoff = min(MAX_BACKOFF, 2.0 * estimate.backoff)
        estimate.at = now
