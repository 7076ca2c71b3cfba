"""Loopback proxies through which nodes reach each other.

The store publishes the address of a machine's proxy in place of its own. A datagram is
passed on from the proxy address of its sender, so each node sees the others only there.
"""

from __future__ import annotations

import asyncio
import typing

from snipelink.mesh import channel

DELAY_S = 0.15
CONNECT_TIMEOUT_S = 1.0


class Link(asyncio.DatagramProtocol):
    """Proxy in front of one machine.

    Parameters
    ----------
    host, proxy_host : str
        Addresses of the machine and of its proxy.
    port : int
        Port of calls and datagrams on all machines.
    links_by_host : dict of str to Link
        All links by the machine behind them.

    Attributes
    ----------
    active_fault : str
        ``delay``, ``reset``, ``silence-in``, ``silence-out``, or empty.
    """

    def __init__(
        self, host: str, proxy_host: str, port: int, links_by_host: dict[str, Link]
    ) -> None:
        self._host = host
        self._port = port
        self._links_by_host = links_by_host
        self._transport: asyncio.DatagramTransport | None = None
        self._listener: channel.Listener | None = None
        self._silenced = 0
        self.proxy_host = proxy_host
        self.active_fault = ""
        links_by_host[host] = self

    async def start(self) -> None:
        """Take datagrams and connections."""
        address = (self.proxy_host, self._port)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._listener = await channel.listen(address, self._serve, 128)

    def close(self) -> None:
        """End all connections."""
        if self._transport is not None:
            self._transport.close()
        if self._listener is not None:
            self._listener.close()

    def reset_connections(self) -> None:
        """Cut the connections to the machine."""
        if self._listener is not None:
            for task in self._listener.tasks:
                task.cancel()

    def silence_open_connections(self) -> None:
        """Pass on nothing more of the open connections, nor their ends."""
        self._silenced += 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the open socket; called by the event loop."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on; called by the event loop."""
        sender = self._links_by_host.get(addr[0])
        if (
            sender is None
            or self.active_fault == "silence-in"
            or sender.active_fault == "silence-out"
        ):
            return
        if "delay" in (self.active_fault, sender.active_fault):
            loop = asyncio.get_running_loop()
            loop.call_later(DELAY_S, sender.send_from, data, self._host)
        else:
            sender.send_from(data, self._host)

    def send_from(self, data: bytes, host: str) -> None:
        """Send a datagram to a machine as if from this link's own one."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (host, self._port))

    async def _serve(self, stream: channel.Channel) -> None:
        if self.active_fault == "reset":
            stream.abort()
            return
        try:
            address = (self._host, self._port)
            onward = await channel.connect(address, CONNECT_TIMEOUT_S)
        except OSError:
            # Nothing listens there, which the caller is to see as well.
            stream.abort()
            return
        silenced = self._silenced
        try:
            await asyncio.gather(
                self._pump(stream, onward, "silence-in"),
                self._pump(onward, stream, "silence-out"),
            )
        except ConnectionError:
            if silenced != self._silenced:
                await asyncio.Event().wait()
            # Else one side was reset; so is the other one.
        finally:
            onward.abort()
            stream.abort()

    async def _pump(
        self, source: channel.Channel, target: channel.Channel, silent: str
    ) -> None:
        silenced = self._silenced
        while data := await source.receive():
            if self.active_fault == "delay":
                await asyncio.sleep(DELAY_S)
            # What a silent link has swallowed is never made up for.
            while self.active_fault == silent:
                await asyncio.sleep(0.05)
            if silenced == self._silenced:
                target.write(data)
        if silenced == self._silenced:
            target.close()
