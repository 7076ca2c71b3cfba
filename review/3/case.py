"""A server sends bytes without end in place of some answers."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

ROUTES = [("/stock/", "safe", "desk"), ("/order/", "unsafe", "art")]
# One server in two spoils one answer in twenty, for six seconds at a time.
SPOILED_RATIO = 0.05
FAULT_S = 6.0
FAULT_PAUSE_S = 3.0
FAULT_COUNT = 3
STOCK_WORK_S = 0.1
STOCK_REQUESTERS = 16
ORDER_WORK_S = 0.4
ORDER_REQUESTERS = 12
BLOCK = b"\x00" * 65536
# "more than three times"
ALLOWED_LOSSES = 3


class FaultyServer(harness.Server):
    """Sends a body without end in place of a share of its answers."""

    is_faulty = False
    request_count = 0
    spoiled_count = 0

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: harness.Headers,
        body: bytes,
    ) -> None:
        if self.is_faulty and target != "/healthz":
            self.request_count += 1
            if int(self.request_count * SPOILED_RATIO) > self.spoiled_count:
                self.spoiled_count += 1
                await self._send_without_end(writer, headers["x-snipelink-request-id"])
        await super()._answer(reader, writer, method, target, headers, body)

    async def _send_without_end(
        self, writer: asyncio.StreamWriter, call_id: str
    ) -> None:
        self.record.write("endless-answer", id=call_id, instance=self.instance)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        # Ends with ConnectionError once the caller has closed the connection.
        while True:
            writer.write(BLOCK)
            await writer.drain()


async def spoil_answers(server: FaultyServer) -> None:
    """Make the server faulty several times."""
    await asyncio.sleep(2.0)
    for _ in range(FAULT_COUNT):
        server.is_faulty = True
        await asyncio.sleep(FAULT_S)
        server.is_faulty = False
        await asyncio.sleep(FAULT_PAUSE_S)


async def play(has_trouble: bool) -> int:
    """Send requests and orders; count the orders that ran and got no answer."""
    deployment = harness.Deployment(FOLDER, ["desk", "desk", "art", "art"])
    record, machines = deployment.record, deployment.machines
    faulty = FaultyServer(machines[0], deployment.store, record, deployment.runs)
    deployment.servers[0] = faulty
    for server in deployment.servers[:2]:
        server.work_s = STOCK_WORK_S
    for server in deployment.servers[2:]:
        server.work_s = ORDER_WORK_S
    stock: list[tuple[str, harness.Answer]] = []
    orders: list[tuple[str, harness.Answer]] = []
    tasks = []
    try:
        if not await deployment.start(harness.configuration(1, ROUTES)):
            return 2
        work = [harness.limit_memory(deployment.nodes, record)]
        for number in range(STOCK_REQUESTERS):
            requester = harness.Requester(machines[number % 4], record, f"s-{number}")
            work.append(harness.send_steadily(requester, stock, "GET", "/stock/1", 0.1))
        for number in range(ORDER_REQUESTERS):
            requester = harness.Requester(machines[0], record, f"o-{number}")
            work.append(
                harness.send_steadily(
                    requester, orders, "POST", "/order/new", 0.1, b"order"
                )
            )
        tasks = [asyncio.ensure_future(each) for each in work]
        if has_trouble:
            await spoil_answers(faulty)
        else:
            await asyncio.sleep(2.0 + FAULT_COUNT * (FAULT_S + FAULT_PAUSE_S))
    finally:
        for task in tasks:
            task.cancel()
        await deployment.close()
    ends = [cause for node in deployment.nodes for _, cause in node.ends]
    lost = harness.lost_requests(orders, deployment.runs)
    served = sum(answer.status == 200 for _, answer in orders)
    line = (
        f"{served} orders answered, {len(lost)} ran and lost their connection; "
        f"{len(stock)} lookups, {faulty.spoiled_count} answers without end; "
        f"nodes ended: {ends or 'none'}"
    )
    record.write("result", text=line)
    print(line)
    if served < 100 or len(stock) < 500:
        return 2
    return 1 if len(lost) > ALLOWED_LOSSES else 0


if __name__ == "__main__":
    sys.exit(harness.main(play))
