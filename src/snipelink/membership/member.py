"""One member of the fleet as this node knows it."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import random

_TIMESTAMP_DIGITS = 13


class State(enum.Enum):
    """State of a member.

    ``SUSPECTED`` is derived from suspicions of several observers; nodes exchange the
    other two only.
    """

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECTED = "failed-suspected"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Facts about a member that nodes exchange.

    Attributes
    ----------
    incarnation : str
        Changes with every start and sorts by start time; empty when the member is
        known from the platform's list only.
    version : int
        Raised by the member itself to answer a suspicion.
    """

    name: str
    incarnation: str = ""
    version: int = 0
    state: State = State.LIVE
    failure_domain: str = ""
    region: str = ""
    service: str = ""
    control_address: str = ""

    @property
    def rank(self) -> tuple[str, int, bool]:
        """Return the order in which facts about one member replace each other."""
        return (self.incarnation, self.version, self.state is State.LEAVING)

    def checksum(self) -> int:
        """Return a 64-bit checksum of name and rank; 0 without an incarnation.

        Members without one are known from a set or the platform's list, which differ
        between nodes by design, and are not exchanged.
        """
        if not self.incarnation:
            return 0
        text = f"{self.name}\0{self.incarnation}\0{self.version}\0{self.state.value}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Report of one observer that it can't reach a member."""

    name: str
    incarnation: str
    version: int
    observer: str
    observer_domain: str
    age_s: float


def new_incarnation(unix_ms: int, rng: random.Random) -> str:
    """Return an incarnation that sorts after those of earlier starts."""
    return f"{unix_ms:0{_TIMESTAMP_DIGITS}d}-{rng.getrandbits(32):08x}"


def incarnation_after(incarnation: str, unix_ms: int, rng: random.Random) -> str:
    """Return an incarnation that sorts after another, even if the clock is behind."""
    return new_incarnation(max(unix_ms, started_at_ms(incarnation) + 1), rng)


def started_at_ms(incarnation: str) -> int:
    """Return the start time within an incarnation, 0 when it has none."""
    timestamp = incarnation.partition("-")[0]
    return (
        int(timestamp)
        if timestamp.isdecimal() and len(timestamp) == _TIMESTAMP_DIGITS
        else 0
    )


def is_valid_incarnation(incarnation: str) -> bool:
    """Whether an incarnation has the usual form or is empty."""
    return incarnation == "" or (
        started_at_ms(incarnation) > 0 and len(incarnation) < 32
    )
