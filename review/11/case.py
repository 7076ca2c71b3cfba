"""A few load reports of a server are wrong; the node beside it stands still."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3  # noqa: E402

SERVICES = ["desk", "desk", "desk", "desk"]
TIMEOUT_S = 1.5
ROUTES = [
    standins_3.Route("/view/", "safe", "desk", TIMEOUT_S, 0.5),
    standins_3.Route("/order/", "unsafe", "desk", TIMEOUT_S, 0.5),
]
LIMIT_S = 4.0
WORK_S = 0.16
REQUESTERS_PER_MACHINE = 12
PAUSE_S = 0.2
CALM_S = 4.0
# The disruption: a third of the servers, for this long.
WRONG_SERVERS = (0,)
WRONG_S = 5.5
WRONG_SLOTS = 2_147_483_647
AFTER_S = 12.0
# Rule CONFIG: so long after the route's timeout, and so many without an answer.
SLACK_S = 0.5
MIN_COUNT = 8
MIN_SHARE = 0.25


async def request(
    deployment: standins_3.Deployment, machine: int, number: int, ends_at: float
) -> None:
    """Send requests one after the other on a kept connection."""
    loop = asyncio.get_running_loop()
    connection = None
    count = 0
    while loop.time() < ends_at:
        count += 1
        is_order = (count + number) % 3 == 0
        path = f"{ROUTES[is_order].prefix}{machine}/{number}/{count}"
        try:
            if connection is None:
                connection = await deployment.connect(machine)
        except OSError:
            await asyncio.sleep(PAUSE_S)
            continue
        body = b"order" if is_order else None
        sent = await deployment.request(machine, connection, path, LIMIT_S, body)
        if sent.status is None or sent.closes:
            connection.close()
            connection = None
        await asyncio.sleep(PAUSE_S)


async def mislead(deployment: standins_3.Deployment) -> None:
    """Let some servers state wrong slots in some of their load reports for a while."""
    await asyncio.sleep(CALM_S)
    if not standins_3.has_trouble():
        return
    for number in WRONG_SERVERS:
        deployment.servers[number].wrong_slots = WRONG_SLOTS
    await asyncio.sleep(WRONG_S)
    for number in WRONG_SERVERS:
        deployment.servers[number].wrong_slots = 0


def unanswered(
    requests: list[standins_3.Request],
) -> tuple[list[str], list[str]]:
    """Return the requests that last longer than the timeout, and the late ones."""
    lasting, late = [], []
    for each in requests:
        took_s = each.ended_at - each.sent_at if each.status else float("inf")
        if took_s > TIMEOUT_S:
            lasting.append(each.request_id)
        if took_s > TIMEOUT_S + SLACK_S:
            late.append(each.request_id)
    return lasting, late


async def main() -> int:
    """Run the case and return its exit status."""
    deployment = standins_3.Deployment(SERVICES, ROUTES)
    for number, service in enumerate(SERVICES):
        deployment.servers.append(
            standins_3.Server(deployment, deployment.hosts[number], service, WORK_S)
        )
    is_ready = []
    try:
        await deployment.start()
        length_s = CALM_S + WRONG_S + AFTER_S
        ends_at = asyncio.get_running_loop().time() + length_s
        await asyncio.gather(
            mislead(deployment),
            *(
                request(deployment, machine, number, ends_at)
                for machine in range(len(SERVICES))
                for number in range(REQUESTERS_PER_MACHINE)
            ),
        )
        for node in deployment.nodes:
            is_ready.append(await node.answers_ready())
    finally:
        deployment.stop()
    lasting, late = unanswered(deployment.requests)
    served = sum(each.status == 200 for each in deployment.requests)
    findings = [
        f"trouble: {standins_3.has_trouble()}",
        f"requests: {len(deployment.requests)}, answered 200: {served}",
        f"longer than the route's timeout of {TIMEOUT_S} s: {len(lasting)}",
        f"of these without an answer {SLACK_S} s later: {len(late)}",
        f"nodes that say ready {AFTER_S:.0f} s after the disruption: {is_ready}",
    ]
    deployment.write_record(FOLDER / "record.txt", findings)
    print("\n".join(findings))
    if not served:
        return 2
    is_broken = len(late) >= MIN_COUNT and len(late) > MIN_SHARE * len(lasting)
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(standins_3.run_case(main))
