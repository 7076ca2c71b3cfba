"""Whether the platform's store is out, or only some nodes cannot reach it.

Entries of running endpoints lapse in an outage of the store and come back after it, so
endpoints whose entries are removed then stay usable for longer. A node that is cut off
from the store alone is no reason for that: the store serves the other nodes and the
endpoints, and an entry that it removes belongs to an endpoint that has left.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

# An answer proves for this long that the store is up. It is longer than the time
# between two answers to a node that watches.
RECENT_ANSWER_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """Contact of one node with the store.

    Attributes
    ----------
    is_away : bool
        Whether the node's requests have failed for longer than a brief interruption.
    answered_at : float
        Monotonic time in seconds of the last answer; infinitely early if there is none.
    """

    is_away: bool = False
    answered_at: float = -math.inf


def is_store_out(contacts: Iterable[Contact], now: float) -> bool:
    """Whether more nodes fail to reach the store than were answered recently.

    Nodes that have not asked the store recently do not count.
    """
    away_count = answered_count = 0
    for contact in contacts:
        if contact.is_away:
            away_count += 1
        elif now - contact.answered_at <= RECENT_ANSWER_S:
            answered_count += 1
    return away_count > answered_count
