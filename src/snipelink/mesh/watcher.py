"""Keeps the catalog up to date from the platform's store and from other nodes."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import random
import typing
from collections.abc import Callable

from result import Err, Result

from snipelink import clock
from snipelink.decide import (
    revision_lag,
    store_outage,
    store_position,
    watch_rotation,
)
from snipelink.mesh import catalog, published_state

logger = logging.getLogger(__name__)

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# Consecutive failures of the store after which a node ends its watch turn and relies on
# the nodes whose reports it receives.
MAX_FAILURES_PER_TURN = 5
# The store counts as unavailable for this long after the last failed attempt.
OUTAGE_EXPIRY_S = 2.0
# A shorter watch is not worth the cost of a call to the store.
MIN_WATCH_S = 0.5
# Longest time between two checks of whether it is this node's turn to watch.
TURN_CHECK_INTERVAL_S = 0.3
# Time for which a watching node waits before it requests a newer revision from another
# node, because its own watch usually returns the change within milliseconds.
PEER_SYNC_DELAY_S = 0.25
# Upper bound of the random delay between a report of a newer revision and the request
# for it.
PEER_SYNC_JITTER_S = 0.1
# A node that is behind other nodes for longer than this logs it.
LOGGED_LAG_S = 1.0
# Other nodes that are asked at the same time, and the interval between two requests
# while none has been answered.
MAX_PEER_REQUESTS = 3
PEER_REQUEST_INTERVAL_S = 0.3
# A node whose requests have failed for longer than this is away from the store. While
# most nodes are, entries of running endpoints may expire.
STORE_OUTAGE_S = 1.0


class StoreError(Exception):
    """The platform's store did not answer, or its answer was invalid."""


class HistoryLost(Exception):
    """The store no longer keeps the changes after the requested revision."""


class Store(typing.Protocol):
    """Client of the platform's store, which holds the published state."""

    async def read(self, *, fresh: bool) -> published_state.PublishedState:
        """Return the whole published state; raises ``StoreError``.

        Unless `fresh` is set, a stale read is allowed: the state may be some seconds
        old, which costs the store less.
        """

    async def watch(self, after: int, wait_s: float) -> catalog.Changes:
        """Wait for changes after a revision and return them.

        Raises ``StoreError`` or ``HistoryLost``. If nothing changes for `wait_s`
        seconds, returns empty changes with the given revision or a newer one. Changes
        of another era than that of the revision must not be applied.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedState:
    """Published state that another node reports to know.

    Attributes
    ----------
    host : str
        Address of the node's machine; empty for no node.
    configuration_version : int
        Version of the configuration in force at the node; 0 for none.
    """

    host: str
    position: store_position.Position
    configuration_version: int = 0

    def order_from(
        self, known: store_position.Position
    ) -> tuple[store_position.Position, int]:
        """Return the sort key of states for a node that knows a position of their era.

        The version of the configuration decides among states that are not ahead.
        """
        return max(self.position, known), self.configuration_version


FetchFromNode = Callable[
    [str, store_position.Position],
    typing.Awaitable[Result[published_state.PublishedState | catalog.Changes, str]],
]


class Watcher:
    """Keeps the catalog up to date with the published state.

    Parameters
    ----------
    store : Store
        The platform's store.
    service_catalog : Catalog
        Catalog to which snapshots and changes are applied.
    on_change : callable
        Called after each snapshot or set of changes was applied.
    rng : random.Random
        Source of the jitter that spreads the requests of many nodes.
    other_nodes : callable
        Returns this node's view of the other nodes in the watch rotation.
    """

    def __init__(
        self,
        store: Store,
        service_catalog: catalog.Catalog,
        on_change: Callable[[], None],
        rng: random.Random,
        other_nodes: Callable[[], watch_rotation.PeerView],
    ) -> None:
        self._store = store
        self._catalog = service_catalog
        self._on_change = on_change
        self._rng = rng
        self._other_nodes = other_nodes
        self._rotation = watch_rotation.WatchRotation(rng, clock.now())
        self._is_own_turn = False
        self._unavailable_since: float | None = None
        self._last_failure_at = 0.0
        self._answered_at = -math.inf
        self._is_outage_known = False
        self._newer_state_reported = asyncio.Event()
        self._lag = revision_lag.RevisionLag()
        self._logged_lag_since: float | None = None
        self.read_count = 0
        self.failed_read_count = 0

    @property
    def is_watching(self) -> bool:
        """Whether it is this node's turn to watch and the store answers."""
        return self._is_own_turn and self._unavailable_since is None

    def is_store_unavailable(self, now: float) -> bool:
        """Whether attempts have failed for longer than a brief interruption."""
        if (
            self._unavailable_since is None
            or now - self._last_failure_at > OUTAGE_EXPIRY_S
        ):
            return False
        return now - self._unavailable_since > STORE_OUTAGE_S

    def answer_age_s(self, now: float) -> float | None:
        """Return the seconds since the last answer of the store; None before it."""
        return now - self._answered_at if math.isfinite(self._answered_at) else None

    def is_store_out(self, now: float) -> bool:
        """Whether the store is out for the nodes as a whole."""
        contact = store_outage.Contact(
            self.is_store_unavailable(now), self._answered_at
        )
        return self._is_out_with(contact, now)

    def _is_out_with(self, contact: store_outage.Contact, now: float) -> bool:
        others = self._other_nodes().store_contacts
        return store_outage.is_store_out((contact, *others), now)

    def follow_outage(self, now: float) -> None:
        """Tell the catalog of an outage of the store, and log its start and its end.

        The catalog is told at the first check after the end, too, since the store may
        have come back shortly before it.
        """
        is_out = self.is_store_out(now)
        if is_out or self._is_outage_known:
            self._catalog.on_store_unavailable(now)
        if is_out != self._is_outage_known:
            self._is_outage_known = is_out
            logger.warning(
                "platform is out" if is_out else "platform is no longer out",
                extra={"fields": {"is_own": self.is_store_unavailable(now)}},
            )

    def behind_s(self, now: float) -> float:
        """Return for how long this node has missed a revision that others report."""
        self._lag.on_known(self._catalog.position)
        return self._lag.behind_s(now)

    def on_reported_state(self, reported: ReportedState, now: float) -> None:
        """Record what another node reports to know, if it is more than this node."""
        if reported.position > self._catalog.position:
            self._lag.on_report(reported.position, now)
        if self._is_newer(reported):
            self._newer_state_reported.set()

    def _is_newer(self, reported: ReportedState) -> bool:
        """Whether another node knows a later position or configuration.

        Within an era, a node may know a higher version of the configuration at the same
        position or an earlier one: the store lacks it since it was restored.
        """
        known = self._catalog.position
        return reported.position > known or (
            reported.position.era == known.era
            and reported.configuration_version > self._catalog.configuration_version
        )

    def log_lag(self, now: float) -> None:
        """Log that the node is behind other nodes, and later that it no longer is."""
        behind_s = self.behind_s(now)
        if self._logged_lag_since is None:
            if behind_s <= LOGGED_LAG_S:
                return
            self._logged_lag_since = now - behind_s
            message = "node is behind other nodes"
        elif behind_s <= LOGGED_LAG_S:
            behind_s = now - self._logged_lag_since
            self._logged_lag_since = None
            message = "node is no longer behind"
        else:
            return
        fields = {
            "era": self._catalog.era,
            "revision": self._catalog.revision,
            "behind_s": round(behind_s, 3),
        }
        logger.warning(message, extra={"fields": fields})

    async def run(self) -> None:
        """Read a snapshot, then watch whenever it is this node's turn.

        Runs until cancelled. Lost history is followed by a fresh read, a failure by a
        retry after an exponential backoff with jitter.
        """
        failure_count, backoff_s = 0, MIN_BACKOFF_S
        must_read, fresh = True, False
        while True:
            try:
                if must_read:
                    self._on_attempt(clock.now())
                    published = await self._store.read(fresh=fresh)
                    self._on_store_success()
                    self._catalog.apply_snapshot(published, clock.now())
                    must_read = False
                else:
                    await self._wait_for_turn()
                    self._on_attempt(clock.now())
                    watch_s = self._rotation.watch_duration_s(clock.now())
                    watched = self._catalog.position
                    changes = await self._store.watch(
                        watched.revision, max(MIN_WATCH_S, watch_s)
                    )
                    self._on_store_success()
                    if changes.era > self._catalog.era:
                        raise HistoryLost
                    # Other nodes may have told of a restore during the watch. Its
                    # answer lacks the changes up to the revision of the former era.
                    if changes.era == watched.era:
                        self._catalog.apply_changes(changes, clock.now())
                self._on_change()
                failure_count, backoff_s = 0, MIN_BACKOFF_S
                await asyncio.sleep(watch_rotation.watch_pause_s(self._other_nodes()))
            except HistoryLost:
                logger.info(
                    "history of the platform is lost",
                    extra={
                        "fields": {
                            "after": self._catalog.revision,
                            "era": self._catalog.era,
                        }
                    },
                )
                must_read = fresh = True
            except StoreError as error:
                self._on_store_failure(error)
                await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2.0)
                failure_count += 1
                if failure_count >= MAX_FAILURES_PER_TURN and not must_read:
                    self._rotation.end_turn()

    async def _wait_for_turn(self) -> None:
        while not self._is_turn_due(clock.now()):
            self._is_own_turn = False
            await asyncio.sleep(TURN_CHECK_INTERVAL_S * self._rng.uniform(0.5, 1.0))
        self._is_own_turn = True

    def _is_turn_due(self, now: float) -> bool:
        return self._rotation.is_own_turn(self._other_nodes(), now, self.behind_s(now))

    async def sync_from_nodes(
        self, newest_state: Callable[[], ReportedState], fetch: FetchFromNode
    ) -> None:
        """Fetch changes from other nodes that report a newer state (anti-entropy).

        A request that is slow goes on while further nodes are asked, since on a
        congested link each of them is as slow.

        Parameters
        ----------
        newest_state : callable
            Returns the newest reported state and a host that reports it.
        fetch : callable
            Fetches the changes after a position, or the whole state, from a host.
        """
        requests_by_host: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                reported = newest_state()
                if not self._is_newer(reported):
                    _cancel_all(requests_by_host)
                    self._newer_state_reported.clear()
                    await self._newer_state_reported.wait()
                    await self._wait_for_own_watch()
                    continue
                if (
                    reported.host not in requests_by_host
                    and len(requests_by_host) < MAX_PEER_REQUESTS
                ):
                    request = self._ask_node(reported, fetch)
                    requests_by_host[reported.host] = asyncio.ensure_future(request)
                done, _ = await asyncio.wait(
                    requests_by_host.values(),
                    timeout=PEER_REQUEST_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for each in [h for h, task in requests_by_host.items() if task in done]:
                    # An exception ends this method, which the node then restarts.
                    requests_by_host.pop(each).result()
                if self._is_newer(reported):
                    await asyncio.sleep(PEER_SYNC_JITTER_S * self._rng.random())
        finally:
            _cancel_all(requests_by_host)

    async def _wait_for_own_watch(self) -> None:
        """Give a node that watches the time to receive a change by its own watch.

        The jitter spreads the requests of nodes that receive the report of a change at
        the same time.
        """
        await asyncio.sleep(PEER_SYNC_JITTER_S * self._rng.random())
        while self.is_watching and 0.0 < self.behind_s(clock.now()) < PEER_SYNC_DELAY_S:
            await asyncio.sleep(PEER_SYNC_JITTER_S * self._rng.random())

    async def _ask_node(self, reported: ReportedState, fetch: FetchFromNode) -> None:
        """Fetch what another node knows, and apply it."""
        known = self._catalog.position
        if reported.position <= known:
            # The changes after the known position do not contain the configuration.
            known = store_position.Position(known.era, 0)
        fetched = await fetch(reported.host, known)
        fields: dict[str, object] = {
            "host": reported.host,
            "era": known.era,
            "known": known.revision,
            "reported_era": reported.position.era,
            "reported": reported.position.revision,
        }
        if isinstance(fetched, Err):
            fields["error"] = fetched.err_value
        else:
            fields["changed"] = self._apply_from_node(fetched.ok_value)
            self._on_change()
        logger.info("asked a node that knows more", extra={"fields": fields})

    def _apply_from_node(
        self, known: published_state.PublishedState | catalog.Changes
    ) -> bool:
        """Apply the state of another node; return False if it is not newer."""
        before, now = self._known_state(), clock.now()
        if isinstance(known, catalog.Changes):
            self._catalog.apply_changes(known, now)
        else:
            self._catalog.apply_snapshot(known, now)
        return self._known_state() != before

    def _known_state(self) -> tuple[store_position.Position, int]:
        return self._catalog.position, self._catalog.configuration_version

    def _on_attempt(self, now: float) -> None:
        """Record the start of a request to the store.

        After a rest, nothing tells whether the store answered meanwhile, so that a
        failure before it belongs to no outage that lasts until now.
        """
        self.read_count += 1
        if (
            self._unavailable_since is not None
            and now - self._last_failure_at > OUTAGE_EXPIRY_S
        ):
            self._unavailable_since = now

    def _on_store_success(self) -> None:
        now = clock.now()
        self._answered_at = now
        if self._unavailable_since is None:
            return
        away_s = now - self._unavailable_since
        self._unavailable_since = None
        if away_s > STORE_OUTAGE_S and self._is_out_with(
            store_outage.Contact(is_away=True), now
        ):
            self._catalog.on_store_unavailable(now)
        logger.info("platform is back", extra={"fields": {"away_s": round(away_s, 3)}})

    def _on_store_failure(self, error: StoreError) -> None:
        self.failed_read_count += 1
        self._last_failure_at = clock.now()
        if self._unavailable_since is not None:
            return
        self._unavailable_since = clock.now()
        logger.warning(
            "platform does not answer",
            extra={"fields": {"error": str(error), "revision": self._catalog.revision}},
        )


def _cancel_all(tasks_by_host: dict[str, asyncio.Task[None]]) -> None:
    for task in tasks_by_host.values():
        task.cancel()
    tasks_by_host.clear()
