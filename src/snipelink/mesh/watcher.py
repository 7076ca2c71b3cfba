"""Keeps the catalogue up to date from the platform, and from other nodes."""

from __future__ import annotations

import asyncio
import logging
import random
import typing
from collections.abc import Callable

from result import Err, Result

from snipelink import clock
from snipelink.decide import watch_rotation
from snipelink.mesh import catalog, published_state

logger = logging.getLogger(__name__)

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# Attempts without an answer after which a node leaves it to others, if it hears them.
MAX_FAILURES_PER_TURN = 5
# Time after the last attempt for which the store counts as away, seconds.
OUTAGE_EXPIRY_S = 2.0
# Shortest watch that is worth a call, seconds.
MIN_WATCH_S = 0.5
# Longest time between two looks at whether it is this node's turn, seconds.
TURN_CHECK_INTERVAL_S = 0.3
# Time for which another node must know more before it is asked by a node that watches,
# seconds: usually the own watch brings the change within milliseconds.
PEER_SYNC_DELAY_S = 0.25
# Longest time from hearing of a newer revision to asking for it, seconds.
PEER_SYNC_JITTER_S = 0.1
# A store that was out of reach for longer may have dropped entries of living servers.
STORE_OUTAGE_S = 1.0


class StoreError(Exception):
    """The platform's store did not answer as it should."""


class HistoryLost(Exception):
    """The store no longer has the changes after the given revision."""


class Store(typing.Protocol):
    """Reads the published state."""

    async def read(self, *, fresh: bool) -> published_state.PublishedState:
        """Return the whole state; raises ``StoreError``.

        Without `fresh` it may be some seconds old, which costs the store less.
        """

    async def watch(self, after: int, wait_s: float) -> catalog.Changes:
        """Return the changes after a revision, once there are some.

        Raises ``StoreError`` or ``HistoryLost``; without changes for `wait_s`
        seconds, the result has the given revision or a newer one.
        """


FetchFromNode = Callable[
    [str, int],
    typing.Awaitable[Result[published_state.PublishedState | catalog.Changes, str]],
]


class Watcher:
    """Follows the published state.

    Parameters
    ----------
    source : Store
        The platform's store.
    known : Catalog
        Receives what is published.
    on_change : callable
        Called after each change of the catalogue.
    rng : random.Random
        Spreads repeated reads of many nodes.
    others : callable
        Returns what this node knows of the others, which watch in turns with it.
    """

    def __init__(
        self,
        source: Store,
        known: catalog.Catalog,
        on_change: Callable[[], None],
        rng: random.Random,
        others: Callable[[], watch_rotation.PeerView],
    ) -> None:
        self._source = source
        self._catalog = known
        self._on_change = on_change
        self._rng = rng
        self._others = others
        self._turns = watch_rotation.WatchRotation(rng, clock.now())
        self._in_turn = False
        self._failed_since: float | None = None
        self._failed_at = 0.0
        self._behind_since: float | None = None
        self._newer = asyncio.Event()
        self.read_count = 0
        self.failed_read_count = 0

    @property
    def is_watching(self) -> bool:
        """Whether it is this node's turn, and the store answers it."""
        return self._in_turn and self._failed_since is None

    def is_store_unavailable(self, now: float) -> bool:
        """Whether the store has not answered for longer than a hiccup."""
        if self._failed_since is None or now - self._failed_at > OUTAGE_EXPIRY_S:
            return False
        return now - self._failed_since > STORE_OUTAGE_S

    def on_newer_revision(self) -> None:
        """Note that another node reports a newer revision."""
        self._newer.set()

    async def run(self) -> None:
        """Read, and watch by turns, until cancelled."""
        attempts, backoff_s = 0, MIN_BACKOFF_S
        must_read, fresh = True, False
        while True:
            try:
                if must_read:
                    self.read_count += 1
                    published = await self._source.read(fresh=fresh)
                    self._succeeded()
                    self._catalog.apply_snapshot(published, clock.now())
                    must_read = False
                else:
                    await self._wait_for_turn()
                    self.read_count += 1
                    watch_s = self._turns.watch_duration_s(clock.now())
                    changes = await self._source.watch(
                        self._catalog.revision, max(MIN_WATCH_S, watch_s)
                    )
                    self._succeeded()
                    self._catalog.apply_changes(changes, clock.now())
                self._on_change()
                attempts, backoff_s = 0, MIN_BACKOFF_S
                await asyncio.sleep(watch_rotation.watch_pause_s(self._others()))
            except HistoryLost:
                logger.info(
                    "history of the platform is lost",
                    extra={"fields": {"after": self._catalog.revision}},
                )
                must_read = fresh = True
            except StoreError as error:
                self._failed(error)
                await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2.0)
                attempts += 1
                if attempts >= MAX_FAILURES_PER_TURN and not must_read:
                    self._turns.end_turn()

    async def _wait_for_turn(self) -> None:
        while not self._turns.is_own_turn(self._others(), clock.now()):
            self._in_turn = False
            await asyncio.sleep(TURN_CHECK_INTERVAL_S * self._rng.uniform(0.5, 1.0))
        self._in_turn = True

    async def sync_from_nodes(
        self, newest: Callable[[], tuple[int, str]], fetch: FetchFromNode
    ) -> None:
        """Take the state from other nodes while they know more than this one.

        Parameters
        ----------
        newest : callable
            Returns the highest revision that a node reports, and its host.
        fetch : callable
            Returns what the node on a host knows beyond a revision.
        """
        while True:
            revision, host = newest()
            if revision <= self._catalog.revision:
                self._behind_since = None
                self._newer.clear()
                await self._newer.wait()
            # Nodes that hear of a change together do not ask together.
            await asyncio.sleep(PEER_SYNC_JITTER_S * self._rng.random())
            revision, host = newest()
            now = clock.now()
            if revision <= self._catalog.revision:
                continue
            if self._behind_since is None:
                self._behind_since = now
            if self.is_watching and now - self._behind_since < PEER_SYNC_DELAY_S:
                continue
            self._behind_since = now
            fetched = await fetch(host, self._catalog.revision)
            fields: dict[str, object] = {
                "host": host,
                "known": self._catalog.revision,
                "reported": revision,
            }
            if isinstance(fetched, Err):
                fields["error"] = fetched.err_value
            else:
                fields["changed"] = self._take(fetched.ok_value)
                self._on_change()
            logger.info("asked a node that knows more", extra={"fields": fields})

    def _take(self, known: published_state.PublishedState | catalog.Changes) -> bool:
        """Take over what another node knows; false if it is not newer."""
        before, now = self._catalog.revision, clock.now()
        if isinstance(known, catalog.Changes):
            self._catalog.apply_changes(known, now)
        else:
            self._catalog.apply_snapshot(known, now)
        return self._catalog.revision > before

    def _succeeded(self) -> None:
        if self._failed_since is None:
            return
        now = clock.now()
        away_s = now - self._failed_since
        self._failed_since = None
        if away_s > STORE_OUTAGE_S:
            self._catalog.on_store_unavailable(now)
        logger.info("platform is back", extra={"fields": {"away_s": round(away_s, 3)}})

    def _failed(self, error: StoreError) -> None:
        self.failed_read_count += 1
        self._failed_at = clock.now()
        if self._failed_since is not None:
            return
        self._failed_since = clock.now()
        logger.warning(
            "platform does not answer",
            extra={"fields": {"error": str(error), "revision": self._catalog.revision}},
        )
