"""How long a node has been without a change that other nodes report.

Changes of the published state arrive by several ways: the node's own watch, and other
nodes that are asked once they report a newer one. Each way can fail or be slow for a
while, so the node measures the result of all of them.
"""

from __future__ import annotations

import collections

from snipelink.decide import store_position

# Missed positions whose times are kept. Beyond, later ones share the time of the last.
MAX_MISSED_REVISIONS = 256


class RevisionLag:
    """Times at which this node first heard of positions that it does not know yet."""

    def __init__(self) -> None:
        # Position and monotonic time of its first report, both ascending.
        self._missed: collections.deque[tuple[store_position.Position, float]] = (
            collections.deque()
        )

    def on_report(self, position: store_position.Position, now: float) -> None:
        """Record that another node reports a position."""
        if self._missed and position <= self._missed[-1][0]:
            return
        if len(self._missed) >= MAX_MISSED_REVISIONS:
            _, now = self._missed.pop()
        self._missed.append((position, now))

    def on_known(self, position: store_position.Position) -> None:
        """Record that this node knows the published state up to a position."""
        while self._missed and self._missed[0][0] <= position:
            self._missed.popleft()

    def behind_s(self, now: float) -> float:
        """Return for how long the oldest missed position has been known to exist."""
        return now - self._missed[0][1] if self._missed else 0.0
