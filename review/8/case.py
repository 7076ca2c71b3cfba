"""A service leaves while another machine cannot reach the store (rule DRAIN)."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins_2

MACHINES = [
    ("zone-a", "front"),
    ("zone-b", "front"),
    ("zone-a", "back"),
    ("zone-b", "back"),
]
CUT_NODE = 1
# The servers of the service `back`, all of which leave.
LEAVING_SERVERS = (2, 3)
# Time between the reports of the leaving servers.
REPORT_GAP_S = 0.05
CUT_AT_S, CUT_S = 2.0, 5.5
LEAVES_AT_S = 5.5
# The server goes on for `drain_s` and a little longer.
LINGER_S = 1.5
REQUESTS_PER_S = 60
TIME_LIMIT_S = 3.0


async def play(folder: pathlib.Path, has_trouble: bool) -> int:
    """Play the case; return the exit status of the script."""
    record = standins_2.Record(pathlib.Path(__file__).parent / "record.txt")
    deployment = standins_2.Deployment(
        MACHINES, 9, {"GET": 0.1}, record, folder, random.Random(8)
    )
    requesters: list[asyncio.Task[standins_2.Attempt]] = []
    try:
        if not await deployment.start([("/back/", "safe", "back")]):
            print("the nodes were not ready in time")
            return 2
        sending = asyncio.ensure_future(_send_requests(deployment, requesters))
        await asyncio.sleep(CUT_AT_S)
        cut = asyncio.ensure_future(_cut(deployment)) if has_trouble else None
        await asyncio.sleep(LEAVES_AT_S - CUT_AT_S)
        acked_at_by_instance = {}
        for index in LEAVING_SERVERS:
            server = deployment.servers[index]
            acked_at_by_instance[server.instance] = _report_draining(deployment, server)
            await asyncio.sleep(REPORT_GAP_S)
        await asyncio.sleep(standins_2.DRAIN_S + LINGER_S)
        for index in LEAVING_SERVERS:
            deployment.servers[index].stop()
        record.write("the servers exit")
        sending.cancel()
        await asyncio.gather(*requesters)
        if cut is not None:
            await cut
        if not all(node.is_running for node in deployment.nodes):
            print("a node has ended")
            return 2
        return _judge(deployment, acked_at_by_instance)
    finally:
        deployment.close()
        record.close()


async def _send_requests(
    deployment: standins_2.Deployment,
    requesters: list[asyncio.Task[standins_2.Attempt]],
) -> None:
    number = 0
    while True:
        number += 1
        request = standins_2.send(
            deployment.nodes[0],
            deployment.record,
            f"q{number}",
            "GET",
            f"/back/{number}",
            TIME_LIMIT_S,
        )
        requesters.append(asyncio.ensure_future(request))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)


async def _cut(deployment: standins_2.Deployment) -> None:
    host = deployment.store_hosts[CUT_NODE]
    node = deployment.nodes[CUT_NODE].host
    deployment.record.write(f"{node} is cut off from the store, with resets")
    deployment.store.cut_hosts.add(host)
    deployment.store.reset_connections(host)
    await asyncio.sleep(CUT_S)
    deployment.store.cut_hosts.discard(host)
    deployment.record.write(f"{node} reaches the store again")


def _report_draining(
    deployment: standins_2.Deployment, server: standins_2.Server
) -> float:
    server.state = "draining"
    acked_at = deployment.store.put(f"servers/{server.instance}", server.entry())
    deployment.record.write(
        f"the store has acknowledged: {server.instance} is draining"
    )
    return acked_at


def _judge(
    deployment: standins_2.Deployment, acked_at_by_instance: dict[str, float]
) -> int:
    ages_s = [
        run.at - acked_at_by_instance[run.instance]
        for run in deployment.runs
        if run.instance in acked_at_by_instance
    ]
    late = [age_s for age_s in ages_s if age_s > standins_2.DRAIN_S]
    deployment.record.write(
        f"DRAIN: {len(late)} of {len(ages_s)} requests reached a leaving server later "
        f"than drain_s after the ack, the last one {max(ages_s, default=0.0):.3f} s"
    )
    print(f"late requests: {len(late)}, the last {max(ages_s, default=0.0):.3f} s")
    if not ages_s:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    standins_2.run_play(play)
