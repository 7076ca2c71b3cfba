"""Load balancer for services whose load changes within milliseconds."""

from __future__ import annotations

__version__ = "0.1.0"
