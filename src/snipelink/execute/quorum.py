"""Queries the owners of a service's idempotency keys for their revision in force."""

from __future__ import annotations

import threading
import time
import typing
from collections.abc import Iterable

from snipelink import model
from snipelink.execute import forwarding

REVISION_QUERY_TIMEOUT_S = 0.3


class GetRevision(typing.Protocol):
    """Callback that returns the revision in force on this node."""

    def __call__(self) -> int:
        """Return the revision; 0 before the first."""


def is_majority(agreeing: int, members: int) -> bool:
    """Whether `agreeing` is more than half of `members`."""
    return 2 * agreeing > members


class Quorum:
    """Checks whether a majority of key owners has a revision, by a handshake with each.

    Parameters
    ----------
    node : str
        Name of this node. If it is an owner, its own revision counts.
    forwarder : Forwarder
        Opens connections to the owners.
    revision : callable
        Returns the revision in force on this node.
    """

    def __init__(
        self, node: str, forwarder: forwarding.Forwarder, revision: GetRevision
    ) -> None:
        self._node = node
        self._forwarder = forwarder
        self._revision = revision

    def confirms_latest(self, owners: Iterable[model.Endpoint], revision: int) -> bool:
        """Whether a majority has exactly `revision` and no reached owner a higher one.

        Any two majorities of the same owners share a member, and a member never goes
        back, so no later revision is in force at a majority when this returns true.
        """
        revisions = self._query_revisions(owners)
        if any(found is not None and found > revision for found in revisions):
            return False
        agreeing = sum(found == revision for found in revisions)
        return is_majority(agreeing, len(revisions))

    def majority_has_reached(
        self, owners: Iterable[model.Endpoint], revision: int
    ) -> bool:
        """Whether a majority has `revision` or a higher revision."""
        revisions = self._query_revisions(owners)
        reached = sum(found is not None and found >= revision for found in revisions)
        return is_majority(reached, len(revisions))

    def _query_revisions(self, owners: Iterable[model.Endpoint]) -> list[int | None]:
        members = list(owners)
        revisions: list[int | None] = [None] * len(members)
        threads = []
        for index, endpoint in enumerate(members):
            if endpoint.name == self._node:
                continue
            thread = threading.Thread(
                target=self._query_one, args=(endpoint, revisions, index), daemon=True
            )
            thread.start()
            threads.append(thread)
        deadline = time.monotonic() + REVISION_QUERY_TIMEOUT_S
        for thread in threads:
            thread.join(max(0.0, deadline - time.monotonic()))
        for index, endpoint in enumerate(members):
            if endpoint.name == self._node:
                revisions[index] = self._revision()
        # Copied, because a late answer must not change the result while it is counted.
        return list(revisions)

    def _query_one(
        self, endpoint: model.Endpoint, revisions: list[int | None], index: int
    ) -> None:
        deadline = time.monotonic() + REVISION_QUERY_TIMEOUT_S
        revisions[index] = self._forwarder.query_revision(endpoint, deadline)
