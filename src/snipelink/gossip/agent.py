"""Control part of a node: the exchange thread and the platform reader."""

from __future__ import annotations

import logging
import random
import threading
import time

import result

from snipelink.config import reader, startup, store, watcher
from snipelink.generated import settings as generated
from snipelink.gossip import budget as budgets
from snipelink.gossip import exchange, keys, transport
from snipelink.membership import member as members
from snipelink.membership import table

_LOG = logging.getLogger(__name__)

TICK_S = 0.2


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
    """Keeps the set in force and the members up to date.

    Without a control port the node reads the platform only.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    target : Store
        Accepted set.
    known : Table
        Members, see `new_member_table`.
    hooks : Hooks
        Load reports and crash suspects of the node.
    rng : random.Random
        Randomness of all choices.
    """

    def __init__(
        self,
        settings: generated.Settings,
        target: store.Store,
        known: table.MemberTable,
        hooks: exchange.Hooks | None = None,
        rng: random.Random | None = None,
    ) -> None:
        rng = rng or random.Random()
        now = time.monotonic()
        self.budget = budgets.Budget(now)
        self.table = known
        self.store = target
        self._rng = rng
        self._stopped = threading.Event()
        self._transport = _open_transport(settings, self.budget)
        self.exchange = exchange.Exchange(
            target,
            known,
            self.budget,
            self._transport or _NoLink(),
            hooks or exchange.Hooks(),
            settings.control_seeds,
            now,
            rng,
            self._transport is None,
        )
        client = reader.Reader(
            settings.node,
            settings.platform_urls,
            settings.platform_timeout_s,
            self.budget,
            random.Random(rng.random()),
        )
        self.watcher = watcher.Watcher(
            target,
            client,
            self.exchange,
            self._take_list,
            self.exchange.fetch.needs_platform,
            self._wake,
            random.Random(rng.random()),
        )
        self._thread = threading.Thread(
            target=self._run, name="control-exchange", daemon=True
        )

    def start(self) -> None:
        """Start both threads."""
        self._thread.start()
        self.watcher.start()

    def stop(self) -> None:
        """Stop both threads and close all sockets."""
        self._stopped.set()
        self._wake()
        self.watcher.stop()
        if self._thread.is_alive():
            self._thread.join(TICK_S * 10)
        elif self._transport is not None and self._thread.ident is None:
            self._transport.close()

    def set_leaving(self) -> None:
        """Announce that this node leaves; the exchange goes on until `stop`."""
        self.table.set_leaving(time.monotonic())
        self._wake()

    def wake(self) -> None:
        """Send news at once instead of with the next tick."""
        self._wake()

    def readiness(self, now: float, resumed_at: float = float("-inf")) -> startup.Wait:
        """Return what the node waits for before it may serve.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        resumed_at : float
            End of the last pause that the caller has noticed; the exchange thread may
            notice it later.
        """
        if not self.exchange.ready:
            return self.exchange.readiness(now)
        fresh = self.exchange.is_fresh(now, resumed_at)
        return startup.Wait.READY if fresh else startup.Wait.SOURCES

    def counts(self) -> dict[str, int]:
        """Return counters by name, for metrics."""
        counts = {f"exchange-{k}": v for k, v in self.exchange.counts_by_event.items()}
        counts |= {f"platform-{k}": v for k, v in self.watcher.counts_by_event.items()}
        counts |= {f"set-{k}": v for k, v in self.store.refused_by_reason.items()}
        if self._transport is not None:
            port = self._transport.counts_by_event
            counts |= {f"control-{k}": v for k, v in port.items()}
        counts["control-bytes"] = self.budget.spent_bytes
        counts["control-messages"] = self.budget.spent_messages
        counts["members"] = len(self.table)
        return counts

    def _wake(self) -> None:
        if self._transport is not None:
            self._transport.wake()

    def _take_list(self, listed: reader.ListedInstances, now: float) -> None:
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
        self.table.merge_list(entries, listed.revision, now)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._step()
            except Exception:
                # One bad message or socket must not end the exchange of the node.
                _LOG.exception("control exchange")
                self.exchange.counts_by_event["errors"] += 1
                self._stopped.wait(TICK_S)
        if self._transport is not None:
            self._transport.close()

    def _step(self) -> None:
        now = time.monotonic()
        self.exchange.tick(now)
        if self._transport is None:
            self._stopped.wait(TICK_S)
            return
        received = False
        for item in self._transport.receive(TICK_S, now):
            received = True
            self.exchange.receive(item.frame, item.route, time.monotonic())
        if not received and not self.budget.may_receive(time.monotonic()):
            # Sockets with waiting messages would end each poll at once.
            self._stopped.wait(TICK_S / 4)


class _NoLink:
    """Link of a node without a control port."""

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
