"""Stand-in endpoint: answers HTTP with a set number of slots.

Usage:
  endpoint --listen=ADDRESS --name=NAME [--slots=N] [--service-ms=MS]

Options:
  --listen=ADDRESS   IP:port to listen on.
  --name=NAME        Name of the endpoint.
  --slots=N          Requests run at once [default: 10].
  --service-ms=MS    Time a request takes, milliseconds [default: 0].
"""

from __future__ import annotations

import asyncio
import json

import docopt
import httptools


class Endpoint:
    def __init__(self, name: str, slots: int, service_ms: float) -> None:
        self.name = name
        self.service_s = service_ms / 1000
        self.slots = asyncio.Semaphore(slots)
        self.running = 0

    async def answer(self, method: str, target: str, body: bytes) -> bytes:
        if self.service_s:
            async with self.slots:
                self.running += 1
                await asyncio.sleep(self.service_s)
                self.running -= 1
        fields = {"endpoint": self.name, "target": target, "size": len(body)}
        return json.dumps(fields).encode()


class Connection(asyncio.Protocol):
    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.chunks: list[bytes] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.target = url

    def on_body(self, data: bytes) -> None:
        self.chunks.append(data)

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode()
        body, self.chunks = b"".join(self.chunks), []
        task = asyncio.ensure_future(self._answer(method, self.target.decode(), body))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(self, method: str, target: str, body: bytes) -> None:
        content = await self.endpoint.answer(method, target, body)
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(content)}\r\n\r\n".encode()
        self.transport.write(head + content)


async def serve(options: dict[str, str]) -> None:
    slots, service_ms = int(options["--slots"]), float(options["--service-ms"])
    endpoint = Endpoint(options["--name"], slots, service_ms)
    host, port = options["--listen"].rsplit(":", 1)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Connection(endpoint), host, int(port))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(docopt.docopt(__doc__)))
