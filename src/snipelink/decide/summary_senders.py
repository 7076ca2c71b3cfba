"""Which nodes send the summaries of their failure domain, when and to whom.

The nodes of a domain send and pass on summaries without an appointment: each computes
the senders from the published machines and leaves out those that it does not hear.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from snipelink.balance import rendezvous
from snipelink.decide import placement, store_position

# Nodes that send the summaries of one domain to another one. With two, the loss of one
# sender costs nothing until the next in order has noticed it.
SENDER_COUNT = 2
# Time between two summaries of a sender. It is half of the age up to which a report
# counts as current.
SUMMARY_INTERVAL_S = placement.FRESH_REPORT_S / 2.0
# Shortest time between two summaries; a new revision is sent after this time.
MIN_INTERVAL_S = 0.05
# Gossip fan-out inside a domain. With this number, a summary reaches 98% of the nodes
# of a domain, and the next one mostly reaches others.
FANOUT = 4
# Nodes of each other domain that receive crash reports from this node.
FAR_PEER_COUNT = 2
# Former processes of a sender whose late datagrams are recognised, and the time for
# which they are, seconds. The time ends because which of two processes is the former
# one is only known from the order of their first datagrams, which may be reversed.
MAX_FORMER_PROCESSES = 4
FORMER_PROCESS_S = 5.0
# Parts of one summary at most.
MAX_PARTS = 256


def sender_order(own_domain: str, other_domain: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts of a domain in the order in which they send to another one."""
    return rendezvous.rank(f"summary\0{own_domain}\0{other_domain}", hosts)


def observed_senders(
    ordered: Sequence[str], own_host: str, is_silent: Callable[[str], bool]
) -> list[str]:
    """Return the first hosts in order, up to the last one that sends.

    These are the hosts that a node must hear to know whether it is a sender itself.
    """
    observed: list[str] = []
    responsive_count = 0
    for host in ordered:
        if responsive_count >= SENDER_COUNT:
            break
        observed.append(host)
        responsive_count += host == own_host or not is_silent(host)
    return observed


class SendSchedule:
    """When one sender sends its next summaries."""

    def __init__(self) -> None:
        self._sent_at: float | None = None
        self._sent_position: store_position.Position | None = None

    def due_at(self, position: store_position.Position) -> float:
        """Return the monotonic time of the next summaries.

        Parameters
        ----------
        position : Position
            Position of the published state that the sender knows.
        """
        if self._sent_at is None:
            return 0.0
        is_newer = self._sent_position is None or position > self._sent_position
        return self._sent_at + (MIN_INTERVAL_S if is_newer else SUMMARY_INTERVAL_S)

    def on_sent(self, position: store_position.Position, now: float) -> None:
        """Record that summaries were sent."""
        self._sent_at, self._sent_position = now, position


def responsive_hosts(hosts: Sequence[str], silent: Collection[str]) -> Sequence[str]:
    """Return the hosts that are not silent; all hosts if all are silent."""
    return [host for host in hosts if host not in silent] or hosts


def choose_receivers(
    hosts_by_domain: Mapping[str, Sequence[str]],
    domains: Collection[str],
    silent: Collection[str],
    rng: random.Random,
) -> dict[str, str]:
    """Return one random host of each of the domains, by domain.

    Silent hosts are left out unless all hosts of the domain are silent.
    """
    return {
        domain: rng.choice(responsive_hosts(hosts, silent))
        for domain, hosts in hosts_by_domain.items()
        if domain in domains and hosts
    }


def choose_next_hops(
    hosts: Sequence[str], excluded: Collection[str], rng: random.Random
) -> list[str]:
    """Return the hosts of the own domain to which a new summary is passed on."""
    others = [host for host in hosts if host not in excluded]
    return rng.sample(others, min(FANOUT, len(others)))


@dataclasses.dataclass(slots=True)
class _Process:
    """Latest process of a sender, and its last sequence number by part.

    Attributes
    ----------
    former : deque of tuple of int and float
        Start of each former process, and the monotonic time at which it was replaced.
    """

    started_ms: int
    sequences_by_part: dict[int, int] = dataclasses.field(default_factory=dict)
    former: collections.deque[tuple[int, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_FORMER_PROCESSES)
    )

    def is_former(self, started_ms: int, now: float) -> bool:
        """Whether a process was replaced recently."""
        return any(
            each == started_ms and now - replaced_at < FORMER_PROCESS_S
            for each, replaced_at in self.former
        )


class ReceivedSummaries:
    """Tells new summaries from repeated, reordered and outdated ones."""

    def __init__(self) -> None:
        self._processes_by_host: dict[str, _Process] = {}

    def accept(
        self, host: str, started_ms: int, sequence: int, part: int, now: float
    ) -> bool:
        """Record a part of a summary; return whether it is newer than all before."""
        if not 0 <= part < MAX_PARTS:
            return False
        process = self._processes_by_host.get(host)
        if process is None:
            process = self._processes_by_host[host] = _Process(started_ms)
        elif process.started_ms != started_ms:
            if process.is_former(started_ms, now):
                return False
            process.former.append((process.started_ms, now))
            process.started_ms = started_ms
            process.sequences_by_part.clear()
        if sequence <= process.sequences_by_part.get(part, 0):
            return False
        process.sequences_by_part[part] = sequence
        return True

    def retain(self, hosts: Collection[str]) -> None:
        """Discard the senders that are not among the given hosts."""
        for host in [h for h in self._processes_by_host if h not in hosts]:
            del self._processes_by_host[host]
