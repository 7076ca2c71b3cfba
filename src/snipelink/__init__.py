"""Load balancer for services whose servers' load shifts in milliseconds."""

from __future__ import annotations

__version__ = "0.1.0"
