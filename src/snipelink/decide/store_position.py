"""Position in the histories of the platform's store."""

from __future__ import annotations

import typing


class Position(typing.NamedTuple):
    """Position in the histories of the platform's store, in order of time.

    Attributes
    ----------
    era : int
        Number of times that the store was restored from an older copy; 0 if it does not
        state it. Each restore starts another history, in which revisions are reused.
    revision : int
        Revision within the era.
    """

    era: int
    revision: int
