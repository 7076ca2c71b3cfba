"""A route with large answers is added; its answers take a while on a slow link."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3  # noqa: E402

SERVICES = ["desk", "files", "files"]
FIRST_ROUTES = [standins_3.Route("/view/", "safe", "files", 4.0, 1.0)]
ADDED_ROUTE = standins_3.Route(
    standins_3.LARGE_ANSWER_PREFIX, "download", "files", 5.0, 2.0
)
MACHINE = 0
MBIT_BYTES = 125_000
SLOW_LINK_BYTES_PER_S = 5 * MBIT_BYTES
FAST_LINK_BYTES_PER_S = 100 * MBIT_BYTES
ANSWER_BYTES = 400_000
WORK_S = 0.1
LIMIT_S = 5.0
# Rule CONFIG speaks of 20 or more requests on the added routes.
REQUEST_COUNT = 25
INTERVAL_S = 1.2
# `config_apply_s` of the small deployments, and some more.
APPLY_S = 3.0
# Steady state begins `liveness_s` after the last change.
LIVENESS_S = 3.0
MIN_RATIO = 0.25


async def send(
    deployment: standins_3.Deployment, prefix: str
) -> list[standins_3.Request]:
    """Send requests one after the other, each on a new connection."""
    requests = []
    for number in range(REQUEST_COUNT):
        connection = await deployment.connect(MACHINE)
        request = await deployment.request(
            MACHINE, connection, f"{prefix}{number}", LIMIT_S
        )
        connection.close()
        requests.append(request)
        await asyncio.sleep(INTERVAL_S)
    return requests


def served_share(requests: list[standins_3.Request]) -> float:
    """Return the share of the requests that were served."""
    return sum(request.status == 200 for request in requests) / len(requests)


async def main() -> int:
    """Run the case and return its exit status."""
    bytes_per_s = (
        SLOW_LINK_BYTES_PER_S if standins_3.has_trouble() else FAST_LINK_BYTES_PER_S
    )
    deployment = standins_3.Deployment(SERVICES, FIRST_ROUTES, bytes_per_s)
    for number, service in enumerate(SERVICES):
        host = deployment.hosts[number]
        deployment.servers.append(
            standins_3.Server(deployment, host, service, WORK_S, ANSWER_BYTES)
        )
    try:
        await deployment.start()
        deployment.publish_routes([*FIRST_ROUTES, ADDED_ROUTE])
        await asyncio.sleep(APPLY_S + LIVENESS_S)
        first, added = await asyncio.gather(
            send(deployment, FIRST_ROUTES[0].prefix),
            send(deployment, ADDED_ROUTE.prefix),
        )
    finally:
        deployment.stop()
    run_counts = [
        sum(run.request_id == request.request_id for run in deployment.runs)
        for request in added
    ]
    findings = [
        f"trouble: {standins_3.has_trouble()}; links of"
        f" {bytes_per_s / MBIT_BYTES:.0f} Mbit/s",
        f"first route: {len(first)} requests, {served_share(first):.0%} served",
        f"added route: {len(added)} requests, {served_share(added):.0%} served,"
        f" {sum(run_counts)} runs at servers, of which"
        f" {sum(run.outcome == 'answered 200' for run in deployment.runs)}"
        " of both routes were answered",
        "outcomes of the added route: "
        + ", ".join(sorted({request.outcome for request in added})),
        "first answer to the added route: "
        + added[0].body[:80].decode("latin-1").strip(),
    ]
    deployment.write_record(FOLDER / "record.txt", findings)
    print("\n".join(findings))
    if served_share(first) < MIN_RATIO:
        return 2
    return 1 if served_share(added) < MIN_RATIO * served_share(first) else 0


if __name__ == "__main__":
    sys.exit(standins_3.run_case(main))
