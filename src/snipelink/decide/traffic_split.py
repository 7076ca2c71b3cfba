"""Which part of a split route a call goes to."""

from __future__ import annotations

import random
from collections.abc import Sequence


class TrafficSplitter:
    """Deals the calls of one route to its parts by weight.

    The shares hold over any few calls, not only in the mean: each part earns its
    weight with every call, and the part that has earned most is served.
    """

    def __init__(self, weights: Sequence[float], rng: random.Random) -> None:
        self._total = float(sum(weights))
        self._weights = list(weights)
        # Nodes that start together must not deal their first calls alike.
        self._earned = [rng.random() * weight for weight in weights]

    def next_index(self) -> int:
        """Return the index of the part that the next call goes to."""
        for index, weight in enumerate(self._weights):
            self._earned[index] += weight
        best = max(range(len(self._earned)), key=self._earned.__getitem__)
        self._earned[best] -= self._total
        return best
