"""Imports the modules of the directory ``platform`` that the programs here need.

The directory cannot be a package: its name is that of a module of the standard library.
"""

from __future__ import annotations

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "platform"))

import platform_bench  # noqa: F401
