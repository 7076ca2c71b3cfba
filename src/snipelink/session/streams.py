"""Connections with a deadline over plain and TLS sockets."""

from __future__ import annotations

import select
import socket
import ssl
import time

Connection = socket.socket | ssl.SSLSocket


class Waker:
    """Wakes every thread that waits on an idle stream, once and for good."""

    def __init__(self) -> None:
        self._receiver, self._sender = socket.socketpair()

    def fileno(self) -> int:
        """Return the descriptor that becomes readable."""
        return self._receiver.fileno()

    def wake(self) -> None:
        """Make the descriptor readable."""
        self._sender.close()


class Stream:
    """One connection in non-blocking mode; a deadline bounds each operation.

    Attributes
    ----------
    deadline : float
        Monotonic time, in seconds, at which `recv` and `sendall` give up.
    """

    def __init__(self, connection: Connection, waker: Waker | None = None) -> None:
        connection.setblocking(False)
        self._connection = connection
        self._tls = connection if isinstance(connection, ssl.SSLSocket) else None
        self._readable = select.poll()
        self._readable.register(connection, select.POLLIN)
        self._idle = self._readable
        if waker is not None:
            self._idle = select.poll()
            self._idle.register(connection, select.POLLIN)
            self._idle.register(waker, select.POLLIN)
        self._descriptor = connection.fileno()
        self.deadline = 0.0

    def handshake(self) -> None:
        """Complete the TLS handshake; nothing on a plain connection."""
        if self._tls is None:
            return
        while True:
            try:
                self._tls.do_handshake()
                return
            except ssl.SSLWantReadError:
                self._wait(self._readable)
            except ssl.SSLWantWriteError:
                self._wait_for(select.POLLOUT)

    def wait_readable_or_woken(self, timeout_s: float) -> bool:
        """Wait for data; false after the timeout or when the waker wakes."""
        if self._tls is not None and self._tls.pending():
            return True
        events = self._idle.poll(timeout_s * 1000)
        return any(descriptor == self._descriptor for descriptor, _ in events)

    def wait_readable(self, timeout_s: float) -> bool:
        """Wait for data or the end of the stream, whatever the waker says."""
        if self._tls is not None and self._tls.pending():
            return True
        return bool(self._readable.poll(timeout_s * 1000))

    def recv(self, size: int) -> bytes:
        """Receive some bytes; empty at the end of the stream."""
        while True:
            try:
                return self._connection.recv(size)
            except (BlockingIOError, ssl.SSLWantReadError):
                self._wait(self._readable)
            except ssl.SSLWantWriteError:
                self._wait_for(select.POLLOUT)
            except (ssl.SSLZeroReturnError, ssl.SSLEOFError):
                return b""

    def recv_nowait(self, size: int) -> bytes | None:
        """Receive what has arrived; ``None`` if nothing has."""
        if self._tls is None and not self._readable.poll(0):
            return None
        try:
            return self._connection.recv(size)
        except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return None
        except (ssl.SSLZeroReturnError, ssl.SSLEOFError):
            return b""

    def is_closed(self) -> bool:
        """Whether the peer closed the connection or sent without being asked."""
        try:
            if self._tls is None:
                return bool(self._readable.poll(0))
            return self.recv_nowait(1) is not None
        except (OSError, ValueError):
            return True

    def sendall(self, data: bytes) -> None:
        """Send all bytes."""
        self._send(data, select.POLLOUT)

    def send_until_readable(self, data: bytes) -> bool:
        """Send all bytes, but stop when the peer sends; whether all were sent."""
        return self._send(data, select.POLLOUT | select.POLLIN)

    def _send(self, data: bytes, events: int) -> bool:
        view = memoryview(data)
        while True:
            try:
                sent = self._connection.send(view)
                if sent == len(view):
                    return True
                view = view[sent:]
            except (BlockingIOError, ssl.SSLWantWriteError):
                if self._wait_for(events) & select.POLLIN:
                    return False
            except ssl.SSLWantReadError:
                self._wait(self._readable)

    def close(self) -> None:
        """Close the connection at once."""
        self._end_tls()
        self._connection.close()

    def close_gracefully(self, timeout_s: float, max_bytes: int) -> None:
        """Close after the peer has read what was sent.

        Closing with unread data resets the connection, and the reset may destroy
        an answer that the peer has not read yet.
        """
        self._end_tls()
        try:
            self._connection.shutdown(socket.SHUT_WR)
            self.deadline = time.monotonic() + timeout_s
            while max_bytes > 0:
                self._wait(self._readable)
                # Bytes of the TCP stream; a TLS session has ended here.
                data = socket.socket.recv(self._connection, 65536)
                if not data:
                    break
                max_bytes -= len(data)
        except OSError:
            pass
        self._connection.close()

    def _end_tls(self) -> None:
        if self._tls is None:
            return
        try:
            # Sends the closing alert; waits for none.
            self._tls.unwrap()
        except (OSError, ValueError):
            pass

    def _wait(self, poller: select.poll) -> None:
        timeout_s = self.deadline - time.monotonic()
        if timeout_s <= 0 or not poller.poll(timeout_s * 1000):
            raise TimeoutError("timed out")

    def _wait_for(self, events: int) -> int:
        poller = select.poll()
        poller.register(self._connection, events)
        timeout_s = self.deadline - time.monotonic()
        ready = poller.poll(timeout_s * 1000) if timeout_s > 0 else []
        if not ready:
            raise TimeoutError("timed out")
        return ready[0][1]
