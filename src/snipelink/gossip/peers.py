"""Selection of the peers of a node and of the nodes that watch the platform."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Collection, Iterable, Mapping, Sequence

from snipelink.membership import member as members

WATCHERS_PER_DOMAIN = 3
SAME_SERVICE_PEERS = 4
CALLED_SERVICE_PEERS = 3
SAME_DOMAIN_PEERS = 2
OTHER_DOMAIN_PEERS = 3
MAX_PEERS = (
    SAME_SERVICE_PEERS + CALLED_SERVICE_PEERS + SAME_DOMAIN_PEERS + OTHER_DOMAIN_PEERS
)
# Peers outside the own service are chosen again in each epoch, so that the gossip graph
# changes and doesn't stay divided into clusters.
EPOCH_S = 120.0


def choose_watchers(
    candidates: Iterable[members.Member],
    failure_domain: str,
    count: int = WATCHERS_PER_DOMAIN,
) -> list[str]:
    """Return the names of the nodes of a failure domain that watch the platform.

    The choice uses rendezvous hashing: nodes that know the same members compute the
    same names, and adding or removing a member changes at most one of them.
    """
    names = [m.name for m in candidates if m.failure_domain == failure_domain]
    return sorted(names, key=lambda name: _weight("watch", failure_domain, name))[
        :count
    ]


def choose(
    own: members.Member,
    candidates: Sequence[members.Member],
    called_services: Collection[str],
    epoch: int,
) -> dict[str, members.Member]:
    """Return the peers of a node by name, at most ``MAX_PEERS``.

    The peers are some nodes of the own service, of the services that it calls and of
    the own failure domain, and one node in each of some other failure domains. If these
    are less than half of ``MAX_PEERS``, any other nodes are added up to that half.

    Parameters
    ----------
    own : Member
        Node whose peers are chosen.
    candidates : sequence of Member
        Members to choose from.
    called_services : collection of str
        Services whose nodes are preferred as peers.
    epoch : int
        Number of the current epoch; each epoch has a different choice.
    """
    others = [m for m in candidates if m.name != own.name and m.control_address]
    chosen: dict[str, members.Member] = {}
    same_service = [m for m in others if own.service and m.service == own.service]
    _add_by_weight(chosen, same_service, SAME_SERVICE_PEERS, own, "service")
    _add_by_weight(
        chosen,
        [m for m in others if m.service in called_services],
        CALLED_SERVICE_PEERS,
        own,
        epoch,
    )
    same_domain = [m for m in others if m.failure_domain == own.failure_domain]
    _add_by_weight(chosen, same_domain, SAME_DOMAIN_PEERS, own, epoch)
    for domain in _other_domains(own, others, epoch):
        domain_members = [m for m in others if m.failure_domain == domain]
        _add_by_weight(chosen, domain_members, 1, own, epoch)
    if len(chosen) < MAX_PEERS // 2:
        _add_by_weight(chosen, others, MAX_PEERS // 2 - len(chosen), own, epoch)
    return chosen


def sample(
    peers_by_name: Mapping[str, members.Member], count: int, rng: random.Random
) -> list[members.Member]:
    """Return up to ``count`` peers at random."""
    peers = list(peers_by_name.values())
    return rng.sample(peers, min(count, len(peers)))


def _other_domains(
    own: members.Member, others: Iterable[members.Member], epoch: int
) -> list[str]:
    """Return up to ``OTHER_DOMAIN_PEERS`` other failure domains of any region."""
    domains = {m.failure_domain for m in others} - {own.failure_domain}
    ordered = sorted(domains, key=lambda domain: _weight(own.name, epoch, domain))
    return ordered[:OTHER_DOMAIN_PEERS]


def _add_by_weight(
    chosen: dict[str, members.Member],
    candidates: Iterable[members.Member],
    count: int,
    own: members.Member,
    salt: int | str,
) -> None:
    """Add up to ``count`` candidates by rendezvous hashing with the own name."""
    unchosen = [m for m in candidates if m.name not in chosen]
    unchosen.sort(key=lambda m: _weight(own.name, salt, m.name))
    for candidate in unchosen[:count]:
        chosen[candidate.name] = candidate


def _weight(*parts: int | str) -> bytes:
    text = "\0".join(str(part) for part in parts)
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
