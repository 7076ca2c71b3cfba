"""TCP relay that drops, delays or black-holes connections for fault injection."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
import threading

RECEIVE_BYTES = 65536
ZERO_LINGER = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """How the relay treats data and connections.

    ``DROP`` resets connections, and ``BLACK_HOLE`` discards data but keeps connections
    open until the mode ends.
    """

    PASS = "pass"
    DROP = "drop"
    DELAY = "delay"
    BLACK_HOLE = "black-hole"


class Relay:
    """Relays TCP connections from one address to another, in one thread.

    Parameters
    ----------
    listen, target : str
        IP:port at which connections are accepted, and to which they are relayed.
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
        """Start to accept connections in a background thread."""
        self._thread.start()
        if not self._ready.wait(5.0):
            raise TimeoutError(f"relay on {self._listen} did not start")

    def stop(self) -> None:
        """Reset all connections and end the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5.0)

    def set_mode(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Change the mode; ``DROP`` also resets the open connections."""
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
            # With a linger time of 0, the peer receives RST in place of FIN.
            stream = writer.get_extra_info("socket")
            if stream.fileno() < 0:
                # The peer has closed the socket; its task hasn't processed this yet.
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
            upstream_streams = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, upstream_streams[1]}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._copy(reader, upstream_streams[1]),
                self._copy(upstream_streams[0], writer),
            )
        finally:
            for open_writer in writers:
                open_writer.transport.abort()
            self._writers -= writers

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(RECEIVE_BYTES):
                if self._mode is Mode.DELAY:
                    await asyncio.sleep(self._delay_s)
                # The discarded data would leave a gap in the stream, so the connection
                # is closed when the mode ends.
                if self._mode is Mode.BLACK_HOLE:
                    while self._mode is Mode.BLACK_HOLE:
                        await asyncio.sleep(0.02)
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()
