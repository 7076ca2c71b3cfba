from __future__ import annotations

from snipelink import model


def make_endpoints(count: int, domains: int = 1) -> tuple[model.Endpoint, ...]:
    return tuple(
        model.Endpoint(f"e{i}", "s", f"d{i % domains}", "r", "127.0.0.1:1")
        for i in range(count)
    )
