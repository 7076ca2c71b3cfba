"""Published sets for tests."""

from __future__ import annotations

from snipelink import model
from snipelink.objects import documents


def endpoint(
    name: str, service: str, domain: str = "a", port: int = 0
) -> model.Endpoint:
    control = f"127.0.0.1:{port}" if port else ""
    return model.Endpoint(
        name, service, domain, "r", "127.0.0.1:9", control_address=control
    )


def object_set(
    revision: int,
    servers_by_service: dict[str, int],
    rules: tuple[model.Rule, ...] = (),
) -> model.ObjectSet:
    services = {
        name: model.Service(
            name,
            (model.Operation("read", "GET", "/*", True),),
            {
                f"{name}-{i}": endpoint(f"{name}-{i}", name, "abc"[i % 3])
                for i in range(count)
            },
        )
        for name, count in servers_by_service.items()
    }
    default = tuple(model.Rule(f"to-{name}", name) for name in servers_by_service)
    return model.ObjectSet(revision, "", rules or default, services)


def rendered(
    revision: int, servers: int = 2, rules: tuple[model.Rule, ...] = ()
) -> tuple[bytes, dict[str, bytes]]:
    """Return the manifest and the documents of a set.

    ``servers`` is the number of endpoints of one service, so that sets of one revision
    can differ.
    """
    keys = documents.render(
        object_set(revision, {"rota": servers, "archive": 2}, rules)
    )
    return keys.pop(documents.MANIFEST_KEY), keys
