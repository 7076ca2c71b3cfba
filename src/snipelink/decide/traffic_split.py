"""Distribution of the calls of a route over services by weight."""

from __future__ import annotations

import random
from collections.abc import Sequence


class TrafficSplitter:
    """Smooth weighted round robin over the parts of one route.

    With each call every part gains credit equal to its weight, the part with the most
    credit is selected, and the total weight is deducted from it. The proportions thus
    hold over any short sequence of calls, not only on average.

    Parameters
    ----------
    weights : sequence of float
        Weights of the parts.
    rng : random.Random
        Source of the initial credits.
    """

    def __init__(self, weights: Sequence[float], rng: random.Random) -> None:
        self._total_weight = float(sum(weights))
        self._weights = list(weights)
        # Random initial credits keep nodes that start together from selecting the same
        # parts in the same order.
        self._credits = [rng.random() * weight for weight in weights]

    def next_index(self) -> int:
        """Return the index of the part that the next call goes to."""
        for index, weight in enumerate(self._weights):
            self._credits[index] += weight
        best = max(range(len(self._credits)), key=self._credits.__getitem__)
        self._credits[best] -= self._total_weight
        return best
