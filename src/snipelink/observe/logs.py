"""JSON lines through ``logging``."""

from __future__ import annotations

import json
import logging


class _Formatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        fields = {
            "time": record.created,
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields)


def configure(level: str) -> None:
    """Write records of at least `level` to standard error."""
    handler = logging.StreamHandler()
    handler.setFormatter(_Formatter())
    logging.basicConfig(level=level.upper(), handlers=[handler])
