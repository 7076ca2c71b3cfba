"""Puts the adapter's folder on the path; it is no package, for its name is taken."""

from __future__ import annotations

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parents[3] / "platform"
sys.path.insert(0, str(FOLDER))
