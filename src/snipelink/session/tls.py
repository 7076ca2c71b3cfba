"""TLS contexts built from the certificate files in the settings."""

from __future__ import annotations

import dataclasses
import ssl
import typing

import cheroot.errors
import cheroot.makefile
import cheroot.ssl

from snipelink.generated import settings as generated


@dataclasses.dataclass(frozen=True, slots=True)
class Contexts:
    """TLS contexts of a node; ``None`` where the settings configure plain text.

    Attributes
    ----------
    caller_server : SSLContext or None
        Server context of the caller port.
    call_server, call_client : SSLContext or None
        Contexts of the call port and of calls to other nodes. Both sides present a
        certificate (mutual TLS). The server's certificate must be issued for the name
        of its node.
    endpoint_client : SSLContext or None
        Client context of requests to endpoints.
    endpoint_name : str
        Name that certificates of endpoints must be issued for.
    """

    caller_server: ssl.SSLContext | None = None
    call_server: ssl.SSLContext | None = None
    call_client: ssl.SSLContext | None = None
    endpoint_client: ssl.SSLContext | None = None
    endpoint_name: str = ""


def load_contexts(files: generated.Tls | None) -> Contexts:
    """Build the contexts; raise ``OSError`` if a file cannot be used."""
    if files is None:
        return Contexts()
    caller_server = call_server = call_client = endpoint_client = None
    if files.callers is not None:
        caller_server = _server_context(files.callers.certificate, files.callers.key)
    if files.calls is not None:
        call_server = _server_context(files.calls.certificate, files.calls.key)
        call_server.load_verify_locations(files.calls.ca)
        call_server.verify_mode = ssl.CERT_REQUIRED
        call_client = _client_context(files.calls.ca)
        call_client.load_cert_chain(files.calls.certificate, files.calls.key)
    if files.endpoints is not None:
        endpoint_client = _client_context(files.endpoints.ca)
    endpoint_name = files.endpoints.name if files.endpoints is not None else ""
    return Contexts(
        caller_server, call_server, call_client, endpoint_client, endpoint_name
    )


def _server_context(certificate: str, key: str) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, key)
    return context


def _client_context(ca: str) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_verify_locations(ca)
    return context


class CherootAdapter(cheroot.ssl.Adapter):
    """Wraps accepted sockets and leaves the TLS handshake to the connection's thread.

    cheroot's own adapter does the handshake in the accepting thread, where one slow
    caller blocks all others (head-of-line blocking).
    """

    def __init__(self, context: ssl.SSLContext) -> None:
        self.context = context

    def bind(self, sock: typing.Any) -> typing.Any:
        """Return the listening socket unchanged."""
        return sock

    def wrap(self, sock: typing.Any) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Return the TLS socket for an accepted connection."""
        try:
            wrapped = self.context.wrap_socket(
                sock, server_side=True, do_handshake_on_connect=False
            )
        except OSError as error:
            raise cheroot.errors.FatalSSLAlert(*error.args) from error
        return wrapped, {}

    def get_environ(self) -> dict[str, str]:
        """Return no variables, because the server is not used for WSGI."""
        return {}

    def makefile(self, sock: typing.Any, mode: str = "r", bufsize: int = -1) -> object:
        """Return the file object that cheroot requires for each connection."""
        return cheroot.makefile.MakeFile(sock, mode, bufsize)
