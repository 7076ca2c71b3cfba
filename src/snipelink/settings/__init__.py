"""Settings of a node."""

from __future__ import annotations

import pathlib

import msgspec
from result import Err, Ok, Result

from snipelink.generated import settings as generated

Settings = generated.Settings


def load(path: pathlib.Path) -> Result[Settings, list[str]]:
    """Read and validate a settings file."""
    try:
        return Ok(msgspec.json.decode(path.read_bytes(), type=Settings))
    except (OSError, msgspec.MsgspecError) as error:
        return Err([str(error)])
