"""Loopback proxies between nodes that simulate faults of network links.

The store publishes the address of a machine's proxy in place of the machine's own. The
proxies also forward datagrams with the sender's proxy address as source, so that nodes
know each other only by their proxy addresses.
"""

from __future__ import annotations

import asyncio
import typing

from snipelink.mesh import channel

# Added to received TCP data and to datagrams while the fault ``delay`` is active.
ADDED_DELAY_S = 0.15
CONNECT_TIMEOUT_S = 1.0


class Link(asyncio.DatagramProtocol):
    """Fault-injecting proxy for TCP connections and UDP datagrams to one machine.

    Parameters
    ----------
    host, proxy_host : str
        Addresses of the machine and of its proxy.
    port : int
        TCP and UDP port of the nodes on all machines.
    links_by_host : dict of str to Link
        All links by the address of their machine; the new link adds itself.

    Attributes
    ----------
    active_fault : str
        ``delay``, ``reset`` (new connections are aborted), ``silence-in`` (nothing
        reaches the machine), ``silence-out`` (nothing leaves it), or empty.
    """

    def __init__(
        self, host: str, proxy_host: str, port: int, links_by_host: dict[str, Link]
    ) -> None:
        self._host = host
        self._port = port
        self._links_by_host = links_by_host
        self._transport: asyncio.DatagramTransport | None = None
        self._listener: channel.Listener | None = None
        self._silence_count = 0
        self.proxy_host = proxy_host
        self.active_fault = ""
        links_by_host[host] = self

    async def start(self) -> None:
        """Listen for datagrams and connections."""
        address = (self.proxy_host, self._port)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._listener = await channel.listen(address, self._serve, 128)

    def close(self) -> None:
        """Close the listening sockets and all connections."""
        if self._transport is not None:
            self._transport.close()
        if self._listener is not None:
            self._listener.close()

    def reset_connections(self) -> None:
        """Abort the open connections to the machine."""
        if self._listener is not None:
            for task in self._listener.tasks:
                task.cancel()

    def silence_open_connections(self) -> None:
        """Forward no more data of the open connections and hide their end.

        New connections work.
        """
        self._silence_count += 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open socket; called by the event loop."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram to the machine; called by the event loop."""
        sender = self._links_by_host.get(addr[0])
        if (
            sender is None
            or self.active_fault == "silence-in"
            or sender.active_fault == "silence-out"
        ):
            return
        if "delay" in (self.active_fault, sender.active_fault):
            loop = asyncio.get_running_loop()
            loop.call_later(ADDED_DELAY_S, sender.send_datagram, data, self._host)
        else:
            sender.send_datagram(data, self._host)

    def send_datagram(self, data: bytes, host: str) -> None:
        """Send a datagram to a machine from this link's proxy address."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (host, self._port))

    async def _serve(self, node_stream: channel.Channel) -> None:
        if self.active_fault == "reset":
            node_stream.abort()
            return
        try:
            address = (self._host, self._port)
            machine_stream = await channel.connect(address, CONNECT_TIMEOUT_S)
        except OSError:
            # Nothing listens on the machine; the connecting node sees an error too.
            node_stream.abort()
            return
        silence_count = self._silence_count
        try:
            await asyncio.gather(
                self._relay(node_stream, machine_stream, "silence-in"),
                self._relay(machine_stream, node_stream, "silence-out"),
            )
        except ConnectionError:
            if silence_count != self._silence_count:
                await asyncio.Event().wait()
            # Otherwise one side was reset; ``finally`` resets the other side too.
        finally:
            machine_stream.abort()
            node_stream.abort()

    async def _relay(
        self, source: channel.Channel, target: channel.Channel, silencing_fault: str
    ) -> None:
        silence_count = self._silence_count
        while data := await source.receive():
            if self.active_fault == "delay":
                await asyncio.sleep(ADDED_DELAY_S)
            # Data is held back while the fault is active and forwarded after it, but
            # never forwarded after ``silence_open_connections``.
            while self.active_fault == silencing_fault:
                await asyncio.sleep(0.05)
            if silence_count == self._silence_count:
                target.write(data)
        if silence_count == self._silence_count:
            target.close()
