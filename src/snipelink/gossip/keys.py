"""CurveZMQ key pairs of the control port."""

from __future__ import annotations

import dataclasses
import pathlib
from collections.abc import Sequence

import result
import zmq.auth

MAX_KEY_PAIRS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class KeyPair:
    """CurveZMQ key pair in Z85 text encoding."""

    public: bytes
    secret: bytes


def load(paths: Sequence[str]) -> result.Result[tuple[KeyPair, ...], str]:
    """Read key pairs from CurveZMQ certificate files.

    The node serves and connects with the first key pair, and accepts peers that use any
    of them. Keys are rotated in three steps: add the new key pair as second, make it
    the first, remove the old one.
    """
    if not 1 <= len(paths) <= MAX_KEY_PAIRS:
        return result.Err(
            f"expected 1 to {MAX_KEY_PAIRS} key files, found {len(paths)}"
        )
    pairs = []
    for path in paths:
        try:
            public, secret = zmq.auth.load_certificate(pathlib.Path(path))
        except (OSError, ValueError) as error:
            return result.Err(f"{path}: {error}")
        if secret is None:
            return result.Err(f"{path}: the file contains no secret key")
        pairs.append(KeyPair(public, secret))
    return result.Ok(tuple(pairs))
