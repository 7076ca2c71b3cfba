"""How long a node has been without a revision that other nodes report.

Revisions of the published state arrive by several ways: the node's own watch, and other
nodes that are asked once they report a newer one. Each way can fail or be slow for a
while, so the node measures the result of all of them.
"""

from __future__ import annotations

import collections

# Missed revisions whose times are kept. Beyond, later ones share the time of the last.
MAX_MISSED_REVISIONS = 256


class RevisionLag:
    """Times at which this node first heard of revisions that it does not know yet."""

    def __init__(self) -> None:
        # Revision and monotonic time of its first report, both ascending.
        self._missed: collections.deque[tuple[int, float]] = collections.deque()

    def on_report(self, revision: int, now: float) -> None:
        """Record that another node reports a revision."""
        if self._missed and revision <= self._missed[-1][0]:
            return
        if len(self._missed) >= MAX_MISSED_REVISIONS:
            _, now = self._missed.pop()
        self._missed.append((revision, now))

    def on_known(self, revision: int) -> None:
        """Record that this node knows the published state up to a revision."""
        while self._missed and self._missed[0][0] <= revision:
            self._missed.popleft()

    def behind_s(self, now: float) -> float:
        """Return for how long the oldest missed revision has been known to exist."""
        return now - self._missed[0][1] if self._missed else 0.0
