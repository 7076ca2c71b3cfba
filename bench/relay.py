"""TCP relay that can drop, delay or black-hole the connections through it."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
import threading

RECEIVE_BYTES = 65536
ZERO_LINGER = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What happens to data and connections."""

    PASS = "pass"
    DROP = "drop"
    DELAY = "delay"
    BLACK_HOLE = "black-hole"


class Relay:
    """Relays from one address to another, in one thread.

    Parameters
    ----------
    listen, target : str
        IP:port to accept at and to connect to.
    """

    def __init__(self, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self._mode = Mode.PASS
        self._delay_s = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)

    def start(self) -> None:
        """Accept connections."""
        self._thread.start()
        if not self._ready.wait(5.0):
            raise TimeoutError(f"relay on {self._listen} did not start")

    def stop(self) -> None:
        """Close everything and end the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5.0)

    def set_mode(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Change the mode; ``DROP`` also closes the open connections."""
        self._mode, self._delay_s = mode, delay_s
        if mode is Mode.DROP:
            self._loop.call_soon_threadsafe(self._reset_all)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        host, port = self._listen.rsplit(":", 1)
        server = self._loop.run_until_complete(
            asyncio.start_server(self._relay, host, int(port))
        )
        self._ready.set()
        self._loop.run_forever()
        server.close()
        self._reset_all()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()

    def _reset_all(self) -> None:
        for writer in self._writers:
            # Without lingering the peer sees a reset and not an ordinary end.
            stream = writer.get_extra_info("socket")
            if stream.fileno() < 0:
                # The peer closed it, and the task that serves it has not run since.
                continue
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
            writer.transport.abort()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode is Mode.DROP:
            writer.transport.abort()
            return
        host, port = self._target.rsplit(":", 1)
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, upstream[1]}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._pump(reader, upstream[1]), self._pump(upstream[0], writer)
            )
        finally:
            for end in pair:
                end.transport.abort()
            self._writers -= pair

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(RECEIVE_BYTES):
                if self._mode is Mode.DELAY:
                    await asyncio.sleep(self._delay_s)
                # Lost data is never made up for: the stream ends with the mode.
                if self._mode is Mode.BLACK_HOLE:
                    while self._mode is Mode.BLACK_HOLE:
                        await asyncio.sleep(0.02)
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()
