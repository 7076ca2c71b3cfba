"""Control agent of a node: the gossip exchange thread and the platform watcher."""

from __future__ import annotations

import logging
import random
import threading
import time

import result

from snipelink.config import platform_client, startup, store, watcher
from snipelink.generated import settings as generated
from snipelink.gossip import budget as budgets
from snipelink.gossip import exchange, keys, transport
from snipelink.membership import member as members
from snipelink.membership import table

_LOG = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.2


def new_member_table(
    settings: generated.Settings, rng: random.Random
) -> table.MemberTable:
    """Return a member table that contains only this node."""
    own = members.Member(
        settings.node,
        members.new_incarnation(int(time.time() * 1000), rng),
        failure_domain=settings.failure_domain,
        region=settings.region,
        service=settings.service,
        control_address=settings.control_listen or "",
    )
    return table.MemberTable(own, time.monotonic(), rng)


class Agent:
    """Keeps the object set in force and the member table up to date.

    A node without a control port receives both from the platform only.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    set_store : Store
        Store of the object set in force.
    member_table : MemberTable
        Members, see `new_member_table`.
    hooks : Hooks
        Callbacks for load reports and crash suspects.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        settings: generated.Settings,
        set_store: store.Store,
        member_table: table.MemberTable,
        hooks: exchange.Hooks | None = None,
        rng: random.Random | None = None,
    ) -> None:
        rng = rng or random.Random()
        now = time.monotonic()
        self.budget = budgets.Budget(now)
        self.table = member_table
        self.store = set_store
        self._rng = rng
        self._stopped = threading.Event()
        self._transport = _open_transport(settings, self.budget)
        self.exchange = exchange.Exchange(
            set_store,
            member_table,
            self.budget,
            self._transport or _NullLink(),
            hooks or exchange.Hooks(),
            settings.control_seeds,
            now,
            rng,
            self._transport is None,
        )
        client = platform_client.PlatformClient(
            settings.node,
            settings.platform_urls,
            settings.platform_timeout_s,
            self.budget,
            random.Random(rng.random()),
        )
        self.watcher = watcher.Watcher(
            set_store,
            client,
            self.exchange,
            self._merge_instance_list,
            self.exchange.fetcher.needs_platform,
            self._wake,
            random.Random(rng.random()),
        )
        self._thread = threading.Thread(
            target=self._run, name="control-exchange", daemon=True
        )

    def start(self) -> None:
        """Start the exchange thread and the platform watcher."""
        self._thread.start()
        self.watcher.start()

    def stop(self) -> None:
        """Stop the exchange thread and the platform watcher, and close all sockets."""
        self._stopped.set()
        self._wake()
        self.watcher.stop()
        if self._thread.is_alive():
            self._thread.join(TICK_INTERVAL_S * 10)
        elif self._transport is not None and self._thread.ident is None:
            self._transport.close()

    def set_leaving(self) -> None:
        """Announce that this node leaves; gossip continues until `stop`."""
        self.table.set_leaving(time.monotonic())
        self._wake()

    def wake(self) -> None:
        """Run the next tick of the exchange at once, so that changes are sent early."""
        self._wake()

    def readiness(
        self, now: float, resumed_at: float = float("-inf")
    ) -> startup.Readiness:
        """Return what the node waits for before it may serve.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        resumed_at : float
            End of the last pause of the process that the caller has detected. The
            exchange thread may detect the same pause later.
        """
        if not self.exchange.ready:
            return self.exchange.readiness(now)
        fresh = self.exchange.is_fresh(now, resumed_at)
        return startup.Readiness.READY if fresh else startup.Readiness.TOO_FEW_SOURCES

    def counts(self) -> dict[str, int]:
        """Return counters by name, for metrics."""
        counts = {f"exchange-{k}": v for k, v in self.exchange.counts_by_event.items()}
        counts |= {f"platform-{k}": v for k, v in self.watcher.counts_by_event.items()}
        counts |= {f"set-{k}": v for k, v in self.store.refused_by_reason.items()}
        if self._transport is not None:
            transport_counts = self._transport.counts_by_event
            counts |= {f"control-{k}": v for k, v in transport_counts.items()}
        counts["control-bytes"] = self.budget.spent_bytes
        counts["control-messages"] = self.budget.spent_messages
        counts["members"] = len(self.table)
        return counts

    def _wake(self) -> None:
        if self._transport is not None:
            self._transport.wake()

    def _merge_instance_list(
        self, listed: platform_client.InstanceList, now: float
    ) -> None:
        entries = [
            table.ListedInstance(
                entry.name,
                entry.state == "leaving",
                entry.since,
                entry.failure_domain,
                entry.region,
                entry.control_address,
            )
            for entry in listed.instances
        ]
        self.table.merge_instance_list(entries, listed.revision, now)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._step()
            except Exception:
                # A faulty message or socket must not stop the gossip of the node.
                _LOG.exception(
                    "control exchange failed; it continues with the next step"
                )
                self.exchange.counts_by_event["errors"] += 1
                self._stopped.wait(TICK_INTERVAL_S)
        if self._transport is not None:
            self._transport.close()

    def _step(self) -> None:
        now = time.monotonic()
        self.exchange.tick(now)
        if self._transport is None:
            self._stopped.wait(TICK_INTERVAL_S)
            return
        received = False
        for item in self._transport.receive(TICK_INTERVAL_S, now):
            received = True
            self.exchange.receive(item.frame, item.route, time.monotonic())
        if not received and not self.budget.may_receive(time.monotonic()):
            # The budget is exhausted: unread messages would make each poll return at
            # once and the thread would spin.
            self._stopped.wait(TICK_INTERVAL_S / 4)


class _NullLink:
    """Link of a node without a control port; it drops all frames."""

    def send(self, route: exchange.Route, frame: bytes) -> bool:
        """Drop the frame."""
        return False


def _open_transport(
    settings: generated.Settings, budget: budgets.Budget
) -> transport.Transport | None:
    if not settings.control_listen or not settings.control_key_files:
        return None
    loaded = keys.load(settings.control_key_files)
    if isinstance(loaded, result.Err):
        raise ValueError(f"control_key_files: {loaded.err_value}")
    return transport.Transport(
        settings.control_listen, loaded.ok_value, budget, time.monotonic()
    )
