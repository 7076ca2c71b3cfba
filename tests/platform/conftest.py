"""Adds the directory ``platform`` to the import path.

The directory cannot be a package: its name is that of a module of the standard library.
"""

from __future__ import annotations

import pathlib
import sys

ADAPTER_DIRECTORY = pathlib.Path(__file__).resolve().parents[2] / "platform"
sys.path.insert(0, str(ADAPTER_DIRECTORY))
