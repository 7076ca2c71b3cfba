"""When the connection of a caller ends, and why."""

from __future__ import annotations

import enum


class Cause(enum.Enum):
    """What ended the connection of a caller."""

    CALLER_CLOSED = "caller-closed"
    IDLE = "idle"
    CLOSING_ANSWER = "closing-answer"
    REFUSED_REQUEST = "refused-request"
    NODE_STOPS = "node-stops"
    FAULT = "fault"
