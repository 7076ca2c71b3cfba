"""Records about a member of the fleet and the format of incarnations."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import random

_TIMESTAMP_DIGITS = 13


class State(enum.Enum):
    """State of a member.

    Nodes exchange ``LIVE`` and ``LEAVING``. Each node derives ``SUSPECTED`` from the
    suspicions of several observers.
    """

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECTED = "failed-suspected"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Record of a member that nodes exchange.

    Attributes
    ----------
    incarnation : str
        Identifier of one start of the member; incarnations sort by start time. Empty
        while the member is known only from the platform's list or an object set.
    version : int
        Raised by the member itself to refute a suspicion.
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
        """Return the precedence among records of one member; the highest rank wins."""
        return (self.incarnation, self.version, self.state is State.LEAVING)

    def checksum(self) -> int:
        """Return a 64-bit checksum of name and rank; 0 without an incarnation.

        Members without an incarnation are not exchanged. They come from the endpoint
        set or the platform's list, whose contents may differ between nodes.
        """
        if not self.incarnation:
            return 0
        text = f"{self.name}\0{self.incarnation}\0{self.version}\0{self.state.value}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Report of one observer that it can't reach a member.

    It applies only to the incarnation and version that it names.
    """

    name: str
    incarnation: str
    version: int
    observer: str
    observer_domain: str
    age_s: float


def new_incarnation(unix_ms: int, rng: random.Random) -> str:
    """Return an incarnation that sorts by its start time in Unix milliseconds."""
    return f"{unix_ms:0{_TIMESTAMP_DIGITS}d}-{rng.getrandbits(32):08x}"


def incarnation_after(incarnation: str, unix_ms: int, rng: random.Random) -> str:
    """Return an incarnation that sorts after another, even if the clock went back."""
    return new_incarnation(max(unix_ms, started_at_ms(incarnation) + 1), rng)


def started_at_ms(incarnation: str) -> int:
    """Return the start time in an incarnation, or 0 if it contains none."""
    timestamp = incarnation.partition("-")[0]
    return (
        int(timestamp)
        if timestamp.isdecimal() and len(timestamp) == _TIMESTAMP_DIGITS
        else 0
    )


def is_valid_incarnation(incarnation: str) -> bool:
    """Whether an incarnation is empty or well-formed."""
    return incarnation == "" or (
        started_at_ms(incarnation) > 0 and len(incarnation) < 32
    )
