"""Non-blocking connections with a deadline, over plain and TLS sockets."""

from __future__ import annotations

import select
import socket
import ssl
import time

Connection = socket.socket | ssl.SSLSocket


class Waker:
    """Wakes all threads that wait on idle streams; stays set after the first wake."""

    def __init__(self) -> None:
        self._receiver, self._sender = socket.socketpair()

    def fileno(self) -> int:
        """Return the descriptor that is readable after `wake`."""
        return self._receiver.fileno()

    def wake(self) -> None:
        """Wake all waiting threads, now and in the future."""
        self._sender.close()


class Stream:
    """A non-blocking connection; a deadline bounds each operation.

    Attributes
    ----------
    deadline : float
        Monotonic time, in seconds, at which blocking operations raise
        ``TimeoutError``.
    """

    def __init__(self, connection: Connection, waker: Waker | None = None) -> None:
        connection.setblocking(False)
        self._connection = connection
        self._tls_socket = connection if isinstance(connection, ssl.SSLSocket) else None
        self._read_poller = select.poll()
        self._read_poller.register(connection, select.POLLIN)
        self._idle_poller = self._read_poller
        if waker is not None:
            self._idle_poller = select.poll()
            self._idle_poller.register(connection, select.POLLIN)
            self._idle_poller.register(waker, select.POLLIN)
        self._descriptor = connection.fileno()
        self.deadline = 0.0

    def handshake(self) -> None:
        """Complete the TLS handshake; do nothing on a plain connection."""
        if self._tls_socket is None:
            return
        while True:
            try:
                self._tls_socket.do_handshake()
                return
            except ssl.SSLWantReadError:
                self._wait_with(self._read_poller)
            except ssl.SSLWantWriteError:
                self._wait_for_events(select.POLLOUT)

    def wait_readable_or_woken(self, timeout_s: float) -> bool:
        """Wait for data; return false after the timeout or when the waker wakes."""
        if self._tls_socket is not None and self._tls_socket.pending():
            return True
        events = self._idle_poller.poll(timeout_s * 1000)
        return any(descriptor == self._descriptor for descriptor, _ in events)

    def wait_readable(self, timeout_s: float) -> bool:
        """Wait for data or the end of the stream, regardless of the waker."""
        if self._tls_socket is not None and self._tls_socket.pending():
            return True
        return bool(self._read_poller.poll(timeout_s * 1000))

    def recv(self, size: int) -> bytes:
        """Receive some bytes; return ``b""`` at the end of the stream."""
        while True:
            try:
                return self._connection.recv(size)
            except (BlockingIOError, ssl.SSLWantReadError):
                self._wait_with(self._read_poller)
            except ssl.SSLWantWriteError:
                self._wait_for_events(select.POLLOUT)
            except (ssl.SSLZeroReturnError, ssl.SSLEOFError):
                return b""

    def recv_nowait(self, size: int) -> bytes | None:
        """Receive without waiting; return ``None`` if no data has arrived."""
        if self._tls_socket is None and not self._read_poller.poll(0):
            return None
        try:
            return self._connection.recv(size)
        except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return None
        except (ssl.SSLZeroReturnError, ssl.SSLEOFError):
            return b""

    def is_closed(self) -> bool:
        """Whether the peer closed an idle connection or sent unexpected data."""
        try:
            if self._tls_socket is None:
                return bool(self._read_poller.poll(0))
            return self.recv_nowait(1) is not None
        except (OSError, ValueError):
            return True

    def sendall(self, data: bytes) -> None:
        """Send all bytes."""
        self._send(data, select.POLLOUT)

    def send_until_readable(self, data: bytes) -> bool:
        """Send all bytes unless the peer sends first; return whether all were sent."""
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
                if self._wait_for_events(events) & select.POLLIN:
                    return False
            except ssl.SSLWantReadError:
                self._wait_with(self._read_poller)

    def close(self) -> None:
        """Close the connection at once."""
        self._end_tls()
        self._connection.close()

    def close_gracefully(self, timeout_s: float, max_bytes: int) -> None:
        """Close after the peer has had time to read the sent data (lingering close).

        Closing a socket with unread data resets the connection, and the reset may
        destroy a response that the peer has not read yet. Received data is therefore
        read and dropped until the peer closes, `timeout_s` passes or `max_bytes` are
        read.
        """
        self._end_tls()
        try:
            self._connection.shutdown(socket.SHUT_WR)
            self.deadline = time.monotonic() + timeout_s
            while max_bytes > 0:
                self._wait_with(self._read_poller)
                # Reads the TCP stream below TLS, because the TLS session has ended.
                data = socket.socket.recv(self._connection, 65536)
                if not data:
                    break
                max_bytes -= len(data)
        except OSError:
            pass
        self._connection.close()

    def _end_tls(self) -> None:
        if self._tls_socket is None:
            return
        try:
            # Sends close_notify without waiting for the peer's close_notify.
            self._tls_socket.unwrap()
        except (OSError, ValueError):
            pass

    def _wait_with(self, poller: select.poll) -> None:
        timeout_s = self.deadline - time.monotonic()
        if timeout_s <= 0 or not poller.poll(timeout_s * 1000):
            raise TimeoutError("timed out")

    def _wait_for_events(self, events: int) -> int:
        poller = select.poll()
        poller.register(self._connection, events)
        timeout_s = self.deadline - time.monotonic()
        ready = poller.poll(timeout_s * 1000) if timeout_s > 0 else []
        if not ready:
            raise TimeoutError("timed out")
        return ready[0][1]
